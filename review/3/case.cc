// The body of a request holds the text of another one. Its framing names a transfer coding after "chunked".
#include "../bed.hpp"

using namespace bed;

namespace
{

std::mutex mutex;
std::map<std::string, std::string> ran; ///< Body by id.

bool serve(Record &record, int socket, const Message &request)
{
    const auto id = request.header("Attempt-Id");
    if (request.target() == "/health") {
        return sendAll(socket, answerText(200, "Instance-Id: i-02d9e6b4\r\n", "{}"));
    }
    if (id.empty()) {
        return sendAll(socket, answerText(400, "Not-Executed: 1\r\n", "{}"));
    }
    if (request.header("Expect-Instance") != "i-02d9e6b4") {
        return sendAll(socket, answerText(421, "Not-Executed: 1\r\n", "{}"));
    }
    {
        const std::lock_guard lock(mutex);
        ran[id] = request.body;
    }
    record.line("engine_runs id=" + id + " request=\"" + request.first + "\" body_bytes=" + std::to_string(request.body.size()) + " tenant=" + request.header("Tenant"));
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    return sendAll(socket, answerText(200, "Attempt-Id: " + id + "\r\nServer-Seal: 3e1b." + id + "\r\n", "{\"done\":\"" + id + "\"}"));
}

std::string chunked(const std::string &text)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n0\r\n\r\n";
}

} // namespace

int main(int, char **argv)
{
    const std::string folder = argv[1];
    Record record(argv[2]);
    const std::vector<std::string> codings = hasTrouble() ? std::vector<std::string>{"chunked, identity", "identity", "gzip"} : std::vector<std::string>{"chunked"};
    Store store;
    const auto storePort = store.open();
    Server service([&](int socket, const Message &request) { return serve(record, socket, request); });
    store.put("op", "config", desiredState(7));
    store.put("servers", "i-02d9e6b4", engineEntry("wuno96b", service.port(), "akl-depot", 6, "ready", unixMs()));
    Machine machine(folder, "edge-1", "akl-depot", storePort);
    if (!machine.waitReady(now() + 15'000)) {
        finish(record, 2, "the machine did not become ready");
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    int smuggled = 0;
    int changed = 0;
    std::uint64_t number = 0;
    for (const auto &coding : codings) {
        const auto outer = hexId(++number);
        const auto inner = hexId(0x100 + number);
        const std::string order = "{\"cartridges\":100}";
        const std::string text = requestText("POST", "/pule252/smuggled", inner, 4000, "", order);
        Channel channel(machine.front());
        record.line("caller_sends id=" + outer + " transfer_encoding=\"" + coding + "\" body=chunks of " + std::to_string(text.size()) + " bytes that hold a request with id=" + inner);
        channel.send("POST /pule252/2f HTTP/1.1\r\nHost: " + std::string(kHost) + "\r\nAttempt-Id: " + outer + "\r\nDeadline-Ms: 4000\r\nCredential: " + kKey
                     + "\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + (coding.rfind("chunked", 0) == 0 ? chunked(text) : text));
        for (;;) {
            Message answer;
            const auto end = channel.answer(answer, now() + 1500);
            if (answer.first.empty()) {
                record.line(std::string("channel end=") + nameOf(end));
                break;
            }
            record.line("caller_sees answer status=" + std::to_string(answer.status()) + " id=" + answer.header("Attempt-Id") + " body=" + answer.body);
        }
        const std::lock_guard lock(mutex);
        smuggled += ran.contains(inner) ? 1 : 0;
        changed += ran.contains(outer) && ran.at(outer) != text ? 1 : 0;
    }
    machine.process().kill();
    record.line("judged smuggled_requests_run=" + std::to_string(smuggled) + " requests_run_with_changed_body=" + std::to_string(changed));
    finish(record, smuggled + changed > 0 ? 1 : 0,
           "UNASKED: " + std::to_string(smuggled) + " smuggled requests ran, " + std::to_string(changed) + " with another body, of " + std::to_string(codings.size()));
}
