// A faulty engine answers one request with a length of 18 digits and a part of the body. Whatever the machine makes of that answer, its
// other requests, which sound engines are working on, must be answered.
#include "review/bed3.hpp"

using namespace bed;

int main(int argc, char **argv)
{
    const std::string home = argc > 1 ? argv[1] : ".";
    Record record(home + "/record.txt");
    const auto folder = makeFolder();
    const bool trouble = hasTrouble();
    Arrivals arrivals;
    std::atomic<int> spoiled{0};
    Store store(freePort());
    // 3 sound engines, which work for 1.5 s, and one that spoils its only answer of the run.
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < 3; ++i) {
        const std::string name = "order-" + std::to_string(i);
        engines.push_back(std::make_unique<Engine>(name, freePort(), arrivals, [name](const auto &link, const auto &request) {
            sleepMs(request.target() == "/orders/first" ? 20 : 1500);
            return link->send(response(200, sealed(request, name), "answer to " + request.get("Attempt-Id")));
        }));
        store.put("servers", name, engines.back()->entry("orders", "ready", "z1"));
    }
    // Two engines for lookups. One of them spoils one of 60 answers or more, the first that it gives after `maySpoil`.
    std::atomic<int> faultyAnswers{0};
    std::atomic<bool> maySpoil{false};
    for (int i = 0; i < 2; ++i) {
        const std::string name = "lookup-" + std::to_string(i);
        engines.push_back(std::make_unique<Engine>(name, freePort(), arrivals, [&, name, i](const auto &link, const auto &request) {
            sleepMs(20);
            const std::string body(800, 'y');
            std::string text = "HTTP/1.1 200 OK\r\n";
            for (const auto &[field, value] : sealed(request, name)) {
                text += field + ": " + value + "\r\n";
            }
            faultyAnswers += i == 0 ? 1 : 0;
            if (i != 0 || !trouble || !maySpoil || spoiled.exchange(1) != 0) {
                return link->send(text + "Content-Length: 800\r\n\r\n" + body);
            }
            link->send(text + "Content-Length: 800000000000000000\r\n\r\n");
            sleepMs(20);
            link->send(body);
            return false;
        }));
        store.put("servers", name, engines.back()->entry("lookups", "ready", "z1"));
    }
    json config{{"version", 1},
                {"routes", {route("order", "/orders/", "orders", "unsafe", 4000, 1), route("lookup", "/lookups/", "lookups", "safe", 4000, 2)}},
                {"services", {{{"name", "orders"}, {"max_conns", 110}}, {{"name", "lookups"}, {"max_conns", 110}}}},
                {"tenants", {{{"name", "t1"}, {"api_keys", {"key-1"}}}}},
                {"limits", limits()}};
    store.put("op", "config", config.dump());
    std::vector<std::unique_ptr<Machine>> machines;
    for (int i = 0; i < 2; ++i) {
        machines.push_back(std::make_unique<Machine>("vm" + std::to_string(i), "z1", folder, store.port()));
        machines.back()->start();
    }
    for (const auto &machine : machines) {
        if (!machine->waitUntilReady(15000)) {
            record.line("a machine does not get ready");
            finish(2, machines, folder);
        }
    }
    sleepMs(3500); // stable_ms of the sheet, and a little.
    record.line("both machines are ready");
    for (int i = 0; i < 2000 && faultyAnswers < 60; ++i) {
        (void)askOnce(machines[i % 2]->front(), requestText("GET", "/lookups/1", attemptId(), 4000, "key-1"), 5000);
    }
    if (faultyAnswers < 60) {
        record.line("lookup-0 is not used");
        finish(2, machines, folder);
    }
    // Ten consumers with kept connections, on which an order was answered before, send another one each to vm0.
    struct Outcome
    {
        std::string attempt;
        Message answer;
        bool closed = false;
    };
    std::vector<Outcome> outcomes(10);
    std::atomic<int> ready{0};
    std::atomic<bool> mayGoOn{false};
    std::vector<std::thread> consumers;
    std::vector<std::shared_ptr<Link>> links;
    for (auto &outcome : outcomes) {
        links.push_back(dial(machines[0]->front()));
        outcome.attempt = attemptId();
        consumers.emplace_back([&, link = links.back()] {
            link->send(requestText("POST", "/orders/first", attemptId(), 4000, "key-1", "{}"));
            ready += link->read(Clock::now() + milliseconds(4000), true).status() == 200 ? 1 : 0;
            while (!mayGoOn) {
                sleepMs(5);
            }
            link->send(requestText("POST", "/orders/1", outcome.attempt, 4000, "key-1", "{}"));
            outcome.answer = link->read(Clock::now() + milliseconds(6000), true);
            outcome.closed = !outcome.answer.isComplete && !link->isLate;
        });
    }
    for (int i = 0; ready < 10; ++i) {
        if (i > 100) {
            record.line("a first order is not answered");
            finish(2, machines, folder);
        }
        sleepMs(50);
    }
    mayGoOn = true;
    sleepMs(500);
    maySpoil = true;
    Message answer;
    bool isMixed = false;
    for (int i = 0; i < 40 && spoiled == 0; ++i) {
        const auto lookup = attemptId();
        answer = askOnce(machines[0]->front(), requestText("GET", "/lookups/1", lookup, 4000, "key-1"), 5000);
        const bool isWhole = answer.isComplete && answer.body == std::string(800, 'y');
        isMixed = isMixed || (answer.status() == 200 && answer.isComplete && !isWhole);
        record.line("lookup " + lookup + " to vm0 got status " + std::to_string(answer.status()) + (answer.isComplete ? "" : ", incomplete"));
    }
    for (auto &consumer : consumers) {
        consumer.join();
    }
    std::set<std::string> passedOn;
    for (const auto &arrival : arrivals.all()) {
        if (arrival.engine.starts_with("lookup")) {
            continue;
        }
        record.line("engine " + arrival.engine + " got " + arrival.attempt + " at " + std::to_string(msOf(arrival.at)) + " ms");
        passedOn.insert(arrival.attempt);
    }
    int lost = 0;
    for (const auto &outcome : outcomes) {
        const bool isLost = outcome.closed && passedOn.contains(outcome.attempt);
        lost += isLost ? 1 : 0;
        record.line("order " + outcome.attempt + (outcome.answer.isComplete ? " got status " + std::to_string(outcome.answer.status()) : " got no answer")
                    + (isLost ? "; it was passed on to a sound engine, and the connection was closed" : ""));
    }
    bool ended = false;
    for (const auto &machine : machines) {
        const auto end = machine->ended();
        ended = ended || end;
        record.line(machine->name() + (end ? " " + *end + " by itself" : " runs"));
    }
    record.line("spoiled answers: " + std::to_string(spoiled.load()) + " of " + std::to_string(faultyAnswers.load()) + " of lookup-0" + ", orders lost: " + std::to_string(lost) + " of 10 (the rule allows 3)");
    const bool broken = lost > 3 || isMixed || (!trouble && ended);
    record.line(broken ? "the rule was broken" : "the rule held");
    if (trouble && spoiled == 0) {
        finish(2, machines, folder);
    }
    finish(broken ? 1 : 0, machines, folder);
}
