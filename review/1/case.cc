// A machine gets SIGTERM and, while it still takes requests, one that its engine needs four seconds for.
#include "../bed.hpp"

using namespace bed;

namespace
{

constexpr Ms kGrace = 8000;
constexpr Ms kLate = 3000; // Requests sent no later than this after SIGTERM are excused if the engine is at work at the end of the grace.
constexpr int kTimeLimit = 6000;
// The engine keeps every objective: the first event within 1.5 s, pauses within 180 ms, the whole answer within the time limit.
constexpr Ms kFirstEvent = 600;
constexpr Ms kEventPause = 150;
constexpr int kEvents = 26;
constexpr int kEventsOfLongAnswer = 150;

struct Run
{
    Ms began = 0;
    Ms ended = -1;
    bool brokenOffByCaller = false;
};

struct Seen
{
    std::string id;
    Ms sent = 0;
    Ms ended = 0;
    int status = 0;
    bool isWhole = false;
    ReadEnd end = ReadEnd::Whole;
};

std::mutex mutex;
std::map<std::string, Run> runs;

/// The engine reads the prompts of its runs side by side; the report shows how far it has come.
std::string report()
{
    const std::lock_guard lock(mutex);
    json list = json::array();
    std::int64_t used = 0;
    for (const auto &[id, run] : runs) {
        if (run.ended < 0) {
            const auto age = now() - run.began;
            const auto events = std::clamp<Ms>((age - kFirstEvent) / kEventPause, 0, kEventsOfLongAnswer);
            const auto tokens = std::min<Ms>(2200, 2200 * age / kFirstEvent) + 4 * events;
            used += tokens;
            list.push_back({id, tokens, events, 0});
        }
    }
    return json{{"stage", "both"},  {"models", {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}}},
                {"busy", false},    {"sequence", 0},
                {"queued", 0},      {"active", list.size()},
                {"kv_used", used},  {"kv_total", 34422},
                {"kv_handles", 0},  {"pinned", 0},
                {"held", 0},        {"state", "ready"},
                {"next", 0},        {"runs", list}}
        .dump();
}

bool serveEngine(Record &record, int socket, const Message &request)
{
    const auto target = request.target();
    if (target == "/health") {
        return sendAll(socket, answerText(200, "Instance-Id: i-7f3a91c2\r\n", "{}"));
    }
    if (target == "/api/report") {
        return sendAll(socket, answerText(200, "", report()));
    }
    if (target.rfind("/api/", 0) == 0) {
        return sendAll(socket, answerText(404, "", "{}"));
    }
    const auto id = request.header("Attempt-Id");
    if (request.header("Expect-Instance") != "i-7f3a91c2") {
        return sendAll(socket, answerText(421, "Instance-Id: i-7f3a91c2\r\nNot-Executed: 1\r\n", "{}"));
    }
    {
        const std::lock_guard lock(mutex);
        runs[id] = {.began = now()};
    }
    record.line("engine_begins id=" + id + " deadline_ms=" + request.header("Deadline-Ms"));
    const auto end = [&](bool byCaller) {
        const std::lock_guard lock(mutex);
        runs[id].ended = now();
        runs[id].brokenOffByCaller = byCaller;
        record.line("engine_ends id=" + id + (byCaller ? " channel=closed_by_machine" : " answer=whole"));
        return !byCaller;
    };
    const auto wait = [&](Ms time) {
        const auto until = now() + time;
        while (now() < until) {
            if (isClosed(socket)) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return true;
    };
    if (!wait(kFirstEvent)) {
        return end(true);
    }
    sendAll(socket, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: 3e1b." + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const int events = target.rfind("/lohu930/", 0) == 0 ? kEventsOfLongAnswer : kEvents;
    for (int i = 1; i <= events; ++i) {
        const std::string event = "id: " + std::to_string(i) + "\ndata: " + id + "-" + std::to_string(i) + "\n\n";
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!sendAll(socket, size + event + "\r\n") || !wait(kEventPause)) {
            return end(true);
        }
    }
    sendAll(socket, "0\r\n\r\n");
    return end(false);
}

/// Sends one request on an open channel and waits for the end of its answer.
Seen ask(Record &record, Channel &channel, int number)
{
    Seen seen{.id = hexId(static_cast<std::uint64_t>(number))};
    const std::string more = "Model: m\r\nToken-Count: 2200,104\r\nPrompt-Prefix: 5c1e07a2:210,91bd3f06:140," + hexId(static_cast<std::uint64_t>(number)) + ":1850\r\n";
    record.line("caller_sends id=" + seen.id);
    channel.send(requestText("POST", "/pufi791/2f", seen.id, kTimeLimit, more, std::string(2900, 'p')));
    seen.sent = now();
    Message answer;
    seen.end = channel.answer(answer, seen.sent + kTimeLimit);
    seen.ended = now();
    seen.isWhole = seen.end == ReadEnd::Whole;
    seen.status = answer.first.empty() ? 0 : answer.status();
    record.line("caller_sees id=" + seen.id + " status=" + std::to_string(seen.status) + " end=" + nameOf(seen.end) + " after_ms=" + std::to_string(seen.ended - seen.sent)
                + " bytes=" + std::to_string(answer.body.size()) + " retry_after=" + answer.header("Retry-After"));
    return seen;
}

} // namespace

int main(int, char **argv)
{
    const std::string folder = argv[1];
    Record record(argv[2]);
    const bool trouble = hasTrouble();
    Store store;
    const auto storePort = store.open();
    Server engine([&](int socket, const Message &request) { return serveEngine(record, socket, request); });
    store.put("op", "config", desiredState(7));
    store.put("servers", "i-7f3a91c2", engineEntry("huvo11a", engine.port(), "akl-depot", 24, "ready", unixMs()));
    Machine first(folder, "edge-1", "akl-depot", storePort);
    Machine second(folder, "edge-2", "ham-depot", storePort);
    if (!first.waitReady(now() + 15'000) || !second.waitReady(now() + 15'000)) {
        finish(record, 2, "the machines did not become ready");
    }
    std::this_thread::sleep_for(std::chrono::seconds(5)); // Nothing has been disturbed for longer than stable_ms.

    // Kept channels: one request each before SIGTERM, the next one after it. They rest for less than 4/5 of idle_timeout_ms (15 s).
    const std::vector<Ms> times{3300, 3500, 3700, 3900, 4100, 4300};
    std::vector<std::unique_ptr<Channel>> channels;
    for (std::size_t i = 0; i < times.size(); ++i) {
        channels.push_back(std::make_unique<Channel>(first.front()));
    }
    std::vector<Seen> before(times.size());
    std::vector<Seen> after(times.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < times.size(); ++i) {
        threads.emplace_back([&, i] { before[i] = ask(record, *channels[i], static_cast<int>(i)); });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    threads.clear();
    if (!std::all_of(before.begin(), before.end(), [](const Seen &seen) { return seen.isWhole && seen.status == 200; })) {
        finish(record, 2, "the requests before SIGTERM were not served");
    }
    // A long answer that runs on, as on any machine in use. It may be cut: its engine is still at work at the end of the grace.
    Channel longChannel(first.front());
    record.line("caller_sends id=" + hexId(50) + " long");
    longChannel.send(requestText("POST",
                                 "/lohu930/2f",
                                 hexId(50),
                                 39000,
                                 "Model: m\r\nToken-Count: 3000,2000\r\nPrompt-Prefix: 5c1e07a2:47,91bd3f06:32," + hexId(50) + ":2921\r\n",
                                 std::string(3000, 'p')));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const Ms term = now();
    if (trouble) {
        record.line("sigterm machine=edge-1");
        first.process().signal(SIGTERM);
    }
    std::thread platform([&] {
        if (!trouble) {
            return;
        }
        while (!first.process().hasEnded()) { // SIGKILL after the grace, as the platform does.
            if (now() > term + kGrace) {
                record.line("sigkill machine=edge-1");
                first.process().kill();
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        record.line("ended machine=edge-1 after_sigterm_ms=" + std::to_string(now() - term));
    });
    for (std::size_t i = 0; i < times.size(); ++i) {
        threads.emplace_back([&, i] {
            sleepUntil(term + times[i]);
            after[i] = ask(record, *channels[i], 100 + static_cast<int>(i));
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    platform.join();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    first.process().kill();
    second.process().kill();

    // LOST: the machine has read the request and passed it on, the channel ended without a whole answer, and no excuse holds.
    int lost = 0;
    for (const auto &seen : after) {
        const std::lock_guard lock(mutex);
        const auto run = runs.find(seen.id);
        const bool wasPassedOn = run != runs.end();
        const bool hasAnswer = seen.isWhole && seen.status != 0;
        const bool engineBrokeOff = wasPassedOn && !run->second.brokenOffByCaller && run->second.ended >= 0 && !hasAnswer;
        const bool timeWasUp = seen.ended - seen.sent >= kTimeLimit - 50; // The time limit and the route's timeout are the same.
        const bool sentEarly = seen.sent - term <= kLate;
        const bool breaks = wasPassedOn && !hasAnswer && !engineBrokeOff && !timeWasUp && !sentEarly;
        lost += breaks ? 1 : 0;
        record.line("judged id=" + seen.id + " sent_after_sigterm_ms=" + std::to_string(seen.sent - term) + " passed_on=" + (wasPassedOn ? "yes" : "no")
                    + " whole=" + (hasAnswer ? "yes" : "no") + " lost=" + (breaks ? "yes" : "no"));
    }
    finish(record, lost > 0 ? 1 : 0, "LOST: " + std::to_string(lost) + " of " + std::to_string(after.size()) + " requests");
}
