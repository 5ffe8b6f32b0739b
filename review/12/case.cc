// The process of one machine of four is killed again and again, and is back 0.3 s later each time. When that is over, the engines are idle, and
// streams have to be served again.
#include "review/bed3.hpp"

using namespace bed;

namespace
{

constexpr int kEngines = 4;
constexpr int kKills = 18;
constexpr long long kKillEveryMs = 1600;
constexpr long long kRestartMs = 300;
constexpr long long kCalmMs = 60000;
constexpr long long kRecoverMs = 12000; // recover_s
constexpr int kEvents = 100;
constexpr long long kEventMs = 40;

/// An engine of the model service: 24 slots, an event each 40 ms, stops when its channel closes.
struct Model
{
    std::atomic<int> active{0};

    bool work(const std::string &name, const std::shared_ptr<Link> &link, const Message &request)
    {
        if (request.target() == "/api/report") {
            const json report{{"stage", "both"}, {"models", json::array()}, {"busy", false}, {"sequence", 0}, {"queued", 0}, {"active", active.load()},
                              {"kv_used", 3200 * active}, {"kv_total", 34422}, {"kv_handles", 0}, {"state", "ready"}, {"next", 0}, {"runs", json::array()},
                              {"born", 1'700'000'000'000}};
            return link->send(response(200, {{"Content-Type", "application/json"}}, report.dump()));
        }
        if (active >= 24) {
            return link->send(response(503, {{"Attempt-Id", request.get("Attempt-Id")}, {"Not-Executed", "1"}}, ""));
        }
        ++active;
        sleepMs(215); // 3,000 tokens of a prompt at 14 in a ms.
        std::string head = "HTTP/1.1 200 OK\r\n";
        for (const auto &[field, value] : sealed(request, name)) {
            head += field + ": " + value + "\r\n";
        }
        bool isOpen = link->send(head + "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= kEvents && isOpen; ++i) {
            const auto event = "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            isOpen = !link->isClosed() && link->send(size + event + "\r\n");
            sleepMs(kEventMs);
        }
        --active;
        return isOpen && link->send("0\r\n\r\n");
    }
};

struct Outcome
{
    long long at = 0;
    bool isStream = false;
    bool isServed = false;
    int lastStatus = 0;
};

} // namespace

int main(int argc, char **argv)
{
    const std::string home = argc > 1 ? argv[1] : ".";
    Record record(home + "/record.txt");
    const auto folder = makeFolder();
    const bool trouble = hasTrouble();
    Arrivals arrivals;
    Store store(freePort());
    std::vector<std::unique_ptr<Model>> models;
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < kEngines; ++i) {
        const std::string name = "draft-" + std::to_string(i);
        models.push_back(std::make_unique<Model>());
        engines.push_back(std::make_unique<Engine>(
            name, freePort(), arrivals, [name, model = models.back().get()](const auto &link, const auto &request) { return model->work(name, link, request); }));
        store.put("servers", name, engines.back()->entry("drafts", "ready", "z" + std::to_string(i % 3 + 1)));
    }
    for (int i = 0; i < 2; ++i) {
        const std::string name = "order-" + std::to_string(i);
        engines.push_back(std::make_unique<Engine>(name, freePort(), arrivals, [name](const auto &link, const auto &request) {
            sleepMs(30);
            return link->send(response(200, sealed(request, name), "answer to " + request.get("Attempt-Id")));
        }));
        store.put("servers", name, engines.back()->entry("orders", "ready", "z1", 6));
    }
    auto draft = route("draft", "/drafts/", "drafts", "streaming", 39000, 1);
    draft["goal_ms"] = 4000;
    draft["gap_target_ms"] = 180;
    draft["sticky"] = true;
    json config{{"version", 1},
                {"routes", {draft, route("order", "/orders/", "orders", "unsafe", 4000, 1)}},
                {"services",
                 {{{"name", "drafts"},
                   {"max_conns", 252},
                   {"engine",
                    {{"slots", 24}, {"kv_capacity", 34422}, {"kv_bytes", 131072}, {"link_mbps", 19000}, {"kv_handle_s", 10}, {"stride", 4}, {"moves", false}}}},
                  {{"name", "orders"}, {"max_conns", 110}}}},
                {"tenants", {{{"name", "t1"}, {"api_keys", {"key-1"}}}}},
                {"limits", limits()}};
    store.put("op", "config", config.dump());
    std::vector<std::unique_ptr<Machine>> machines;
    for (int i = 0; i < 4; ++i) {
        machines.push_back(std::make_unique<Machine>("vm" + std::to_string(i), "z" + std::to_string(i % 3 + 1), folder, store.port()));
        machines.back()->start();
    }
    for (const auto &machine : machines) {
        if (!machine->waitUntilReady(15000)) {
            record.line("a machine does not get ready");
            finish(2, machines, folder);
        }
    }
    sleepMs(4000);
    record.line("four machines are ready");
    std::mutex mutex;
    std::vector<Outcome> outcomes;
    std::atomic<bool> isOver{false};
    std::atomic<int> running{0};
    // A consumer tries a machine; if it cannot connect, the next one, as the platform does. It comes back once after a refusal.
    const auto ask = [&](bool isStream, std::size_t machine) {
        Outcome outcome{.at = nowMs(), .isStream = isStream};
        const int limitMs = isStream ? 39000 : 4000;
        for (int attempts = 0, dials = 0; attempts < 2 && dials < 6; ++machine, ++dials) {
            const auto link = dial(machines[machine % machines.size()]->front());
            if (!link) {
                continue;
            }
            ++attempts;
            const auto left = limitMs - (nowMs() - outcome.at);
            static std::atomic<unsigned> prompts{0};
            char parts[64];
            std::snprintf(parts, sizeof parts, "Prompt-Prefix: 5c1e07a2:79,%x:2921\r\n", 0x1000 + ++prompts);
            const std::string fields = isStream ? "Model: m\r\nToken-Count: 3000,400\r\n" + std::string(parts) : "";
            link->send(requestText("POST", isStream ? "/drafts/1" : "/orders/1", attemptId(), static_cast<int>(left), "key-1", "{}", fields));
            const auto answer = link->read(Clock::now() + milliseconds(left), true);
            outcome.lastStatus = answer.isComplete ? answer.status() : 0;
            if (outcome.lastStatus == 200 && (!isStream || answer.body.find("piece " + std::to_string(kEvents)) != std::string::npos)) {
                outcome.isServed = true;
                break;
            }
            if (outcome.lastStatus != 503) {
                break;
            }
            const auto wait = static_cast<long long>(1000 * std::atof(answer.get("Retry-After").c_str()));
            sleepMs(std::min<long long>(wait, (limitMs - (nowMs() - outcome.at)) / 3));
        }
        const std::lock_guard lock(mutex);
        outcomes.push_back(outcome);
    };
    const auto send = [&](bool isStream, std::size_t machine, long long everyMs) {
        std::thread([&, isStream, machine, everyMs] {
            while (!isOver) {
                ++running;
                std::thread([&, isStream, machine] {
                    ask(isStream, machine);
                    --running;
                }).detach();
                sleepMs(everyMs);
            }
        }).detach();
    };
    const auto isOwner = [&](const Machine &machine) {
        std::ifstream log(folder + "/" + machine.name() + ".log");
        std::stringstream text;
        text << log.rdbuf();
        return text.str().find("decision=assign") != std::string::npos;
    };
    ask(true, 0);
    // The machine that is killed is one that does not assign engines.
    std::size_t victim = 0;
    while (victim < machines.size() && isOwner(*machines[victim])) {
        ++victim;
    }
    if (victim == machines.size() || outcomes.empty() || !outcomes[0].isServed) {
        record.line("the first stream was not served");
        finish(2, machines, folder);
    }
    outcomes.clear();
    for (std::size_t i = 0; i < machines.size(); ++i) {
        send(true, i, i == victim ? 500 : 1000);
        send(false, i, 250);
    }
    sleepMs(2000);
    for (int i = 0; i < kKills; ++i) {
        if (trouble) {
            record.line("the process of " + machines[victim]->name() + " is killed");
            machines[victim]->kill();
            sleepMs(kRestartMs);
            machines[victim]->start();
            sleepMs(kKillEveryMs - kRestartMs);
        } else {
            sleepMs(kKillEveryMs);
        }
    }
    const auto backAt = nowMs();
    record.line("no machine is disturbed from now on");
    for (const auto until = backAt + kCalmMs; nowMs() < until; sleepMs(5000)) {
        std::string active;
        for (const auto &model : models) {
            active += " " + std::to_string(model->active);
        }
        record.line("requests at the four engines, of 24 slots each:" + active);
    }
    isOver = true;
    const auto endAt = nowMs();
    while (running > 0 && nowMs() < endAt + 6000) {
        sleepMs(50);
    }
    const std::lock_guard lock(mutex);
    int asked[2] = {0, 0};
    int served[2] = {0, 0};
    int lateAsked = 0;
    int lateServed = 0;
    std::map<long long, std::pair<int, int>> spans;
    std::map<int, int> statuses;
    for (const auto &outcome : outcomes) {
        ++asked[outcome.isStream ? 1 : 0];
        served[outcome.isStream ? 1 : 0] += outcome.isServed ? 1 : 0;
        if (outcome.isStream) {
            auto &span = spans[outcome.at / 5000];
            ++span.first;
            span.second += outcome.isServed ? 1 : 0;
            if (outcome.at > backAt + kRecoverMs) {
                ++lateAsked;
                lateServed += outcome.isServed ? 1 : 0;
                ++statuses[outcome.lastStatus];
            }
        }
    }
    for (const auto &[span, counts] : spans) {
        record.line("streams asked for from " + std::to_string(5 * span) + " s on: " + std::to_string(counts.first) + ", served: " + std::to_string(counts.second));
    }
    for (const auto &[status, count] : statuses) {
        record.line("of those later than recover_s after the last restart, last status " + std::to_string(status) + ": " + std::to_string(count));
    }
    const double all = static_cast<double>(served[0] + served[1]) / std::max(1, asked[0] + asked[1]);
    const double streams = static_cast<double>(served[1]) / std::max(1, asked[1]);
    record.line("streams served: " + std::to_string(served[1]) + " of " + std::to_string(asked[1]) + ", orders: " + std::to_string(served[0]) + " of "
                + std::to_string(asked[0]) + "; streams later than recover_s after the last restart: " + std::to_string(lateServed) + " of " + std::to_string(lateAsked));
    const bool broken = streams < all / 4;
    record.line("share of the streams that were served: " + std::to_string(streams) + ", of all requests: " + std::to_string(all)
                + (broken ? "; less than a quarter: the rule was broken" : "; the rule held"));
    finish(broken ? 1 : 0, machines, folder);
}
