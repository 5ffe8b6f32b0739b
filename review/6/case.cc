// An endpoint that fails part of its requests answers 503 after it has run an order, without `Not-Executed`. Checks that no order that has
// run is answered with a status that promises that it has not.
#include "bed2.hpp"

using namespace bed;

namespace
{

constexpr double kGreyFrom = 2.0; // After the first order, in seconds.
constexpr double kGreyFor = 6.5;
constexpr double kOrdersFor = 10.0;
constexpr int kConsumers = 6;
constexpr int kDeadlineMs = 4000;

std::mutex mutex;
std::set<std::string> ran;                    // Attempts that an endpoint began to work on.
std::map<std::string, int> runsOfOrder;       // By the text of the order.
std::map<std::string, int> refused;           // Attempts that were answered with a promise, with the status.
std::atomic<bool> isGrey{false};

bool runOrder(Endpoint &endpoint, const Arrival &arrival)
{
    static std::atomic<unsigned> count{0};
    {
        const std::lock_guard lock(mutex);
        ran.insert(arrival.attempt);
        ++runsOfOrder[arrival.body];
    }
    note("run      " + endpoint.name() + " attempt=" + arrival.attempt + " " + arrival.body);
    sleepFor(0.06);
    // Two of five.
    if (isGrey && endpoint.name() == "counter-1" && count++ % 5 < 2) {
        note("fails    " + endpoint.name() + " attempt=" + arrival.attempt + " with 503, without Not-Executed and without Server-Seal");
        return sendAll(arrival.handle, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + arrival.attempt + "\r\nContent-Length: 0\r\n\r\n");
    }
    return endpoint.respond(arrival, "done " + arrival.body);
}

bool isPromise(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/// Sends one attempt. @return the answer.
Answer attemptOrder(int &channel, const Vm &vm, const std::string &order)
{
    if (channel < 0) {
        channel = connectTo(vm.front);
    }
    const auto attempt = newAttempt();
    note("sent     " + vm.name + " attempt=" + attempt + " " + order);
    sendAll(channel, requestText("POST", "/order/1", attempt, kDeadlineMs, "", order));
    const auto answer = readAnswer(channel, now() + kDeadlineMs / 1000.0);
    note("answered " + vm.name + " attempt=" + attempt + " status=" + std::to_string(answer.status) + (answer.isWhole ? "" : " not whole"));
    if (isPromise(answer.status)) {
        const std::lock_guard lock(mutex);
        refused[attempt] = answer.status;
    }
    if (!answer.isWhole || lower(answer.head.get("connection")) == "close") {
        close(channel);
        channel = -1;
    }
    return answer;
}

void consume(int number, const std::vector<Vm> &vms, double until)
{
    int channel = -1;
    for (int i = 0; now() < until; ++i) {
        const auto order = "order " + std::to_string(number) + "-" + std::to_string(i);
        const auto answer = attemptOrder(channel, vms[number % vms.size()], order);
        if (isPromise(answer.status)) {
            // The one retry of the sheet: on a new channel, after the time that the answer states.
            sleepFor(std::min(1.0, std::atof(answer.head.get("retry-after").c_str())));
            int again = -1;
            attemptOrder(again, vms[(number + 1) % vms.size()], order);
            if (again >= 0) {
                close(again);
            }
        }
        sleepFor(0.15);
    }
    if (channel >= 0) {
        close(channel);
    }
}

} // namespace

int main(int, char **argv)
{
    begin(argv[1]);
    const Store store;
    store.start();
    if (!store.put("op", "config", configText(3, sheetRoutes()))) {
        cannotRun("the store took no configuration");
    }
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (int i = 1; i <= 3; ++i) {
        endpoints.push_back(std::make_unique<Endpoint>("counter-" + std::to_string(i), "desk", 6, store, runOrder));
    }
    sleepFor(0.5);
    std::vector<Vm> vms{{.name = "edge-1"}, {.name = "edge-2"}};
    for (auto &vm : vms) {
        vm.start(store);
    }
    for (const auto &vm : vms) {
        vm.waitReady();
    }
    sleepFor(1);
    const double begun = now();
    std::vector<std::thread> consumers;
    for (int i = 0; i < kConsumers; ++i) {
        consumers.emplace_back(consume, i, std::cref(vms), begun + kOrdersFor);
    }
    if (hasTrouble()) {
        sleepUntil(begun + kGreyFrom);
        isGrey = true;
        note("counter-1 begins to fail 2 of 5 of its requests");
        sleepUntil(begun + kGreyFrom + kGreyFor);
        isGrey = false;
        note("counter-1 works again");
    }
    for (auto &consumer : consumers) {
        consumer.join();
    }
    sleepFor(0.5);
    const std::lock_guard lock(mutex);
    int broken = 0;
    for (const auto &[attempt, status] : refused) {
        if (ran.contains(attempt)) {
            ++broken;
            note("BROKEN   attempt=" + attempt + " was answered " + std::to_string(status) + " and has run");
        }
    }
    int twice = 0;
    for (const auto &[order, runs] : runsOfOrder) {
        if (runs > 1) {
            ++twice;
            note("twice    " + order + " ran " + std::to_string(runs) + " times, since the consumer believed the promise");
        }
    }
    if (ran.size() < 100) {
        cannotRun("only " + std::to_string(ran.size()) + " attempts ran");
    }
    const auto figures = std::to_string(ran.size()) + " attempts ran, " + std::to_string(broken) + " of them were answered as not run; " + std::to_string(twice)
        + " orders ran twice";
    finish(broken > 0 ? 1 : 0, (broken > 0 ? "broken: " : "held: ") + figures);
}
