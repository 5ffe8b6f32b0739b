// The store comes back from a copy, and the operator takes a key away. Later than revoke_ms after the ack, no request with this key may run.
#include "review/bed3.hpp"

using namespace bed;

namespace
{

constexpr long long kRevokeMs = 5000;

json desired(int version, bool hasSecondKey, int timeoutMs)
{
    json teams = json::array({{{"name", "t1"}, {"api_keys", {"key-1"}}}, {{"name", "t2"}, {"api_keys", json::array()}}});
    if (hasSecondKey) {
        teams[1]["api_keys"].push_back("key-2");
    }
    return {{"version", version},
            {"routes", {route("order", "/orders/", "orders", "unsafe", timeoutMs, 1)}},
            {"services", {{{"name", "orders"}, {"max_conns", 110}}}},
            {"tenants", teams},
            {"limits", limits()}};
}

} // namespace

int main(int argc, char **argv)
{
    const std::string home = argc > 1 ? argv[1] : ".";
    Record record(home + "/record.txt");
    const auto folder = makeFolder();
    const bool trouble = hasTrouble();
    Arrivals arrivals;
    Store store(freePort());
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < 3; ++i) {
        const std::string name = "order-" + std::to_string(i);
        engines.push_back(std::make_unique<Engine>(name, freePort(), arrivals, [name](const auto &link, const auto &request) {
            sleepMs(30);
            return link->send(response(200, sealed(request, name), "answer to " + request.get("Attempt-Id")));
        }));
    }
    store.put("servers", "order-0", engines[0]->entry("orders", "ready", "z1"));
    store.put("servers", "order-1", engines[1]->entry("orders", "ready", "z2"));
    store.put("op", "config", desired(10, true, 4000).dump());
    std::vector<std::unique_ptr<Machine>> machines;
    for (int i = 0; i < 3; ++i) {
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
    record.line("three machines are ready");
    // Each machine gets five requests a second with each key.
    struct Sent
    {
        long long at;
        std::string key;
        std::string machine;
        int status;
    };
    std::mutex mutex;
    std::map<std::string, Sent> sent;
    std::atomic<bool> isOver{false};
    std::vector<std::thread> consumers;
    for (const auto &machine : machines) {
        for (const std::string key : {"key-1", "key-2"}) {
            consumers.emplace_back([&, key, port = machine->front(), name = machine->name()] {
                while (!isOver) {
                    const auto attempt = attemptId();
                    const auto at = nowMs();
                    const auto answer = askOnce(port, requestText("POST", "/orders/1", attempt, 2000, key, "{}"), 3000);
                    {
                        const std::lock_guard lock(mutex);
                        sent[attempt] = {.at = at, .key = key, .machine = name, .status = answer.status()};
                    }
                    sleepMs(200);
                }
            });
        }
    }
    sleepMs(2000);
    if (trouble) {
        const auto copy = store.snapshot();
        record.line("the copy has version " + std::to_string(copy.version));
        // Written after the copy: a desired state, and a new engine that is cold at first.
        sleepMs(500);
        record.line("operator: desired state 11 gets version " + std::to_string(store.put("op", "config", desired(11, true, 3000).dump())));
        auto cold = json::parse(engines[2]->entry("orders", "ready", "z3"));
        cold["cold_remaining_ms"] = 1000;
        record.line("engine order-2: its entry gets version " + std::to_string(store.put("servers", "order-2", cold.dump())));
        sleepMs(1000);
        record.line("engine order-2 is warm: its entry gets version " + std::to_string(store.put("servers", "order-2", engines[2]->entry("orders", "ready", "z3"))));
        sleepMs(1500);
        record.line("the store goes away");
        store.leave();
        sleepMs(2000);
        store.restore(copy);
        record.line("the store is back from the copy");
        // What they wrote is written again.
        record.line("operator: desired state 11 gets version " + std::to_string(store.put("op", "config", desired(11, true, 3000).dump())));
    } else {
        sleepMs(5000);
        store.put("servers", "order-2", engines[2]->entry("orders", "ready", "z3"));
        store.put("op", "config", desired(11, true, 3000).dump());
    }
    const auto version = store.put("op", "config", desired(12, false, 3000).dump());
    const auto revokedAt = nowMs();
    record.line("operator: desired state 12, without key-2, gets version " + std::to_string(version) + " and its ack");
    if (trouble) {
        record.line("engine order-2: its entry gets version " + std::to_string(store.put("servers", "order-2", engines[2]->entry("orders", "ready", "z3"))));
    }
    sleepMs(12000);
    isOver = true;
    for (auto &consumer : consumers) {
        consumer.join();
    }
    std::set<std::string> ran;
    for (const auto &arrival : arrivals.all()) {
        if (arrival.hasRun) {
            ran.insert(arrival.attempt);
        }
    }
    std::map<std::string, int> lateRuns;
    int lateRequests = 0;
    int firstKeyServed = 0;
    for (const auto &[attempt, request] : sent) {
        const bool isLate = request.at > revokedAt + kRevokeMs;
        record.line("request " + attempt + " with " + request.key + " sent to " + request.machine + " at " + std::to_string(request.at) + " ms: status "
                    + std::to_string(request.status) + (ran.contains(attempt) ? ", has run" : ""));
        firstKeyServed += isLate && request.key == "key-1" && request.status == 200 ? 1 : 0;
        lateRequests += isLate && request.key == "key-2" ? 1 : 0;
        if (isLate && request.key == "key-2" && ran.contains(attempt)) {
            ++lateRuns[request.machine];
        }
    }
    int all = 0;
    for (const auto &[machine, count] : lateRuns) {
        record.line(machine + ": " + std::to_string(count) + " requests with key-2 ran that were sent later than revoke_ms after the ack");
        all += count;
    }
    record.line("of " + std::to_string(lateRequests) + " such requests " + std::to_string(all) + " ran; requests with key-1 served meanwhile: " + std::to_string(firstKeyServed));
    record.line(all > 0 ? "the rule was broken" : "the rule held");
    if (lateRequests == 0 || firstKeyServed == 0) {
        finish(2, machines, folder);
    }
    finish(all > 0 ? 1 : 0, machines, folder);
}
