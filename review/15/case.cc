// An engine loses the store twice. The first time its entry lapses and comes back; the second time the engine begins to leave and says so in
// its answers. Later than drain_ms after a machine has passed on such an answer, no request of this machine may reach the engine.
#include "review/bed3.hpp"

using namespace bed;

namespace
{

constexpr long long kDrainMs = 2000;
constexpr long long kReportMs = 1200; // heartbeat_ms

} // namespace

int main(int argc, char **argv)
{
    const std::string home = argc > 1 ? argv[1] : ".";
    Record record(home + "/record.txt");
    const auto folder = makeFolder();
    const bool trouble = hasTrouble();
    const bool lapses = trouble && std::getenv("LAPSE") == nullptr; // LAPSE=0 leaves out the first loss only, to show the cause.
    Arrivals arrivals;
    Store store(freePort());
    std::atomic<bool> leaves{false};
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < 5; ++i) {
        const std::string name = "order-" + std::to_string(i);
        engines.push_back(std::make_unique<Engine>(name, freePort(), arrivals, [name, i, &leaves](const auto &link, const auto &request) {
            sleepMs(60);
            auto fields = sealed(request, name);
            if (i == 0 && leaves) {
                fields.emplace_back("Server-Leaving", "1");
            }
            return link->send(response(200, fields, "answer to " + request.get("Attempt-Id")));
        }));
        store.put("servers", name, engines.back()->entry("orders", "ready", "z1", 6));
    }
    json config{{"version", 1},
                {"routes", {route("order", "/orders/", "orders", "unsafe", 4000, 1)}},
                {"services", {{{"name", "orders"}, {"max_conns", 110}}}},
                {"tenants", {{{"name", "t1"}, {"api_keys", {"key-1"}}}}},
                {"limits", limits()}};
    store.put("op", "config", config.dump());
    std::vector<std::unique_ptr<Machine>> machines;
    for (int i = 0; i < 2; ++i) {
        machines.push_back(std::make_unique<Machine>("vm" + std::to_string(i), "z" + std::to_string(i + 1), folder, store.port()));
        machines.back()->start();
    }
    for (const auto &machine : machines) {
        if (!machine->waitUntilReady(15000)) {
            record.line("a machine does not get ready");
            finish(2, machines, folder);
        }
    }
    sleepMs(4000);
    record.line("both machines are ready");
    struct Sent
    {
        long long at;
        long long answeredAt;
        std::string machine;
        int status;
        bool saysLeaving;
    };
    std::mutex mutex;
    std::map<std::string, Sent> sent;
    std::atomic<bool> isOver{false};
    std::atomic<int> running{0};
    std::vector<std::thread> consumers;
    for (const auto &machine : machines) {
        consumers.emplace_back([&, port = machine->front(), name = machine->name()] {
            while (!isOver) {
                ++running;
                std::thread([&, port, name] {
                    const auto attempt = attemptId();
                    const auto at = nowMs();
                    const auto answer = askOnce(port, requestText("POST", "/orders/1", attempt, 2000, "key-1", "{}"), 3000);
                    const std::lock_guard lock(mutex);
                    sent[attempt] = {at, nowMs(), name, answer.isComplete ? answer.status() : 0, answer.get("Server-Leaving") == "1"};
                    --running;
                }).detach();
                sleepMs(50);
            }
        });
    }
    sleepMs(1000);
    const auto entry = engines[0]->entry("orders", "ready", "z1", 6);
    if (lapses) {
        record.line("engine order-0 loses the store");
        sleepMs(3 * kReportMs);
        record.line("the entry of order-0 lapses after three intervals: version " + std::to_string(store.remove("servers", "order-0")));
        sleepMs(5000 - 3 * kReportMs);
        record.line("engine order-0 reaches the store again: its entry, the same as before, gets version " + std::to_string(store.put("servers", "order-0", entry)));
        sleepMs(5000);
    } else {
        sleepMs(10000);
    }
    if (trouble) {
        record.line("engine order-0 loses the store" + std::string(lapses ? " again" : ""));
    }
    sleepMs(100);
    leaves = true;
    record.line("engine order-0 begins to leave: its answers say Server-Leaving from now on");
    if (trouble) {
        sleepMs(3 * kReportMs - 100);
        record.line("the entry of order-0 lapses: version " + std::to_string(store.remove("servers", "order-0")));
    } else {
        sleepMs(400);
        store.put("servers", "order-0", engines[0]->entry("orders", "draining", "z1", 6));
        record.line("the store accepts the report that order-0 is draining");
        sleepMs(3 * kReportMs - 500);
        store.remove("servers", "order-0");
    }
    sleepMs(1500);
    isOver = true;
    for (auto &consumer : consumers) {
        consumer.join();
    }
    while (running > 0) {
        sleepMs(20);
    }
    std::map<std::string, long long> passedOnAt; // When a machine first passed on an answer with Server-Leaving.
    for (const auto &[attempt, request] : sent) {
        if (request.saysLeaving) {
            auto &first = passedOnAt.try_emplace(request.machine, request.answeredAt).first->second;
            first = std::min(first, request.answeredAt);
        }
    }
    int late = 0;
    int served = 0;
    for (const auto &arrival : arrivals.all()) {
        const auto found = sent.find(arrival.attempt);
        if (found == sent.end() || !arrival.hasRun) {
            continue;
        }
        const auto &request = found->second;
        served += request.status == 200 ? 1 : 0;
        const auto passedOn = passedOnAt.find(request.machine);
        const bool isLate = arrival.engine == "order-0" && passedOn != passedOnAt.end() && request.at > passedOn->second + kDrainMs;
        late += isLate ? 1 : 0;
        record.line("engine " + arrival.engine + " got " + arrival.attempt + " at " + std::to_string(msOf(arrival.at)) + " ms from " + request.machine + ", sent at "
                    + std::to_string(request.at) + " ms, answered with " + std::to_string(request.status) + (request.saysLeaving ? ", Server-Leaving" : "")
                    + (isLate ? "; too late" : ""));
    }
    for (const auto &[machine, at] : passedOnAt) {
        record.line(machine + " first passed on an answer with Server-Leaving at " + std::to_string(at) + " ms");
    }
    record.line("requests that reached order-0 although they were sent later than drain_ms after that: " + std::to_string(late) + "; requests served: "
                + std::to_string(served));
    record.line(late > 0 ? "the rule was broken" : "the rule held");
    if (served == 0 || passedOnAt.empty()) {
        finish(2, machines, folder);
    }
    finish(late > 0 ? 1 : 0, machines, folder);
}
