// The store comes back from a copy, and some seconds later an engine begins to drain. Later than drain_ms after the ack, no request may reach it.
#include "review/bed3.hpp"

using namespace bed;

namespace
{

constexpr long long kDrainMs = 2000;
constexpr long long kStableMs = 3000;

json desired()
{
    return {{"version", 10},
            {"routes", {route("order", "/orders/", "orders", "unsafe", 4000, 1)}},
            {"services", {{{"name", "orders"}, {"max_conns", 110}}}},
            {"tenants", {{{"name", "t1"}, {"api_keys", {"key-1"}}}}},
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
    std::atomic<bool> leaves[5] = {};
    for (int i = 0; i < 5; ++i) {
        const std::string name = "order-" + std::to_string(i);
        engines.push_back(std::make_unique<Engine>(name, freePort(), arrivals, [name, &isLeaving = leaves[i]](const auto &link, const auto &request) {
            sleepMs(60);
            auto fields = sealed(request, name);
            if (isLeaving) {
                fields.emplace_back("Server-Leaving", "1");
            }
            return link->send(response(200, fields, "answer to " + request.get("Attempt-Id")));
        }));
    }
    const auto write = [&](int engine, const std::string &state, int coldMs = 0) {
        auto entry = json::parse(engines[engine]->entry("orders", state, "z1", 6));
        entry["cold_remaining_ms"] = coldMs;
        leaves[engine] = state == "draining";
        const auto version = store.put("servers", engines[engine]->name(), entry.dump());
        record.line("engine " + engines[engine]->name() + ": its entry, " + state + ", gets version " + std::to_string(version));
    };
    for (int i = 0; i < 4; ++i) {
        write(i, "ready");
    }
    store.put("op", "config", desired().dump());
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
    // Each machine gets eight orders at once every 2.4 s.
    struct Sent
    {
        long long at;
        std::string machine;
        int status;
    };
    std::mutex mutex;
    std::map<std::string, Sent> sent;
    std::atomic<bool> isOver{false};
    std::atomic<int> running{0};
    std::mutex paceMutex;
    std::condition_variable pace; // Lets the groups of all machines come at one time.
    std::vector<std::thread> consumers;
    for (const auto &machine : machines) {
        consumers.emplace_back([&, port = machine->front(), name = machine->name()] {
            while (!isOver) {
                for (int i = 0; i < 8; ++i) {
                    ++running;
                    std::thread([&, port, name] {
                        const auto attempt = attemptId();
                        const auto at = nowMs();
                        const auto answer = askOnce(port, requestText("POST", "/orders/1", attempt, 2500, "key-1", "{}"), 3500);
                        const std::lock_guard lock(mutex);
                        sent[attempt] = {.at = at, .machine = name, .status = answer.isComplete ? answer.status() : 0};
                        --running;
                    }).detach();
                }
                std::unique_lock lock(paceMutex);
                pace.wait_for(lock, milliseconds(2400));
            }
        });
    }
    sleepMs(2000);
    const auto copy = store.snapshot();
    record.line("the copy has version " + std::to_string(copy.version));
    // Engine 0 is replaced by engine 4, which is cold at first.
    sleepMs(300);
    write(4, "ready", 1000);
    write(0, "draining");
    sleepMs(1000);
    write(4, "ready", 0);
    sleepMs(1500);
    record.line("engine order-0 leaves: the removal of its entry gets version " + std::to_string(store.remove("servers", "order-0")));
    engines[0]->end();
    sleepMs(700);
    if (trouble) {
        record.line("the store goes away");
        store.leave();
        sleepMs(1000);
        store.restore(copy);
        record.line("the store is back from the copy");
        // What they wrote is written again.
        record.line("operator: the desired state gets version " + std::to_string(store.put("op", "config", desired().dump())));
        write(4, "ready");
        sleepMs(kStableMs + 200);
    } else {
        sleepMs(1000 + kStableMs + 200);
    }
    pace.notify_all(); // A group of orders before the engine begins to drain; the next one comes 2.4 s later.
    sleepMs(250);
    write(2, "draining");
    const auto ackAt = nowMs();
    record.line("that is the ack of the draining of order-2");
    if (trouble) {
        sleepMs(400);
        // Three intervals of status reports after the store's return.
        record.line("the entry of order-0 lapses: version " + std::to_string(store.remove("servers", "order-0")));
        sleepMs(5600);
    } else {
        sleepMs(6000);
    }
    record.line("engine order-2 ends; the removal of its entry gets version " + std::to_string(store.remove("servers", "order-2")));
    engines[2]->end();
    const auto endAt = nowMs();
    sleepMs(1500);
    isOver = true;
    for (auto &consumer : consumers) {
        consumer.join();
    }
    while (running > 0) {
        sleepMs(20);
    }
    std::map<std::string, const Sent *> known;
    for (const auto &[attempt, request] : sent) {
        known[attempt] = &request;
    }
    int late = 0;
    int cut = 0;
    for (const auto &arrival : arrivals.all()) {
        const auto *request = known.contains(arrival.attempt) ? known[arrival.attempt] : nullptr;
        const auto at = msOf(arrival.at);
        const bool isLate = arrival.engine == "order-2" && arrival.hasRun && at > ackAt + kDrainMs;
        const bool isCut = isLate && request != nullptr && request->status != 200;
        late += isLate ? 1 : 0;
        cut += isCut ? 1 : 0;
        record.line("engine " + arrival.engine + " got " + arrival.attempt + " at " + std::to_string(at) + " ms"
                    + (request != nullptr ? " from " + request->machine + ", answered with " + std::to_string(request->status) : "") + (isLate ? "; too late" : ""));
    }
    int served = 0;
    for (const auto &[attempt, request] : sent) {
        served += request.status == 200 && request.at > ackAt ? 1 : 0;
    }
    record.line("requests that reached order-2 later than drain_ms after the ack: " + std::to_string(late) + "; orders among them that its end cut off: "
                + std::to_string(cut) + "; orders served since the ack: " + std::to_string(served) + "; end at " + std::to_string(endAt) + " ms");
    record.line(late > 0 ? "the rule was broken" : "the rule held");
    if (served == 0) {
        finish(2, machines, folder);
    }
    finish(late > 0 ? 1 : 0, machines, folder);
}
