#include "soak/checks.h"

#include <doctest/doctest.h>

#include <algorithm>

// Each check is seen to fail on a record that breaks its promise, and to pass on the same record without the break.

namespace daisystream::soak
{
namespace
{

using std::chrono::milliseconds;

Moment at(int milliseconds)
{
    return Moment(100000 + milliseconds);
}

/// A soak in which one request of each kind was served, long after any disturbance.
class Scene
{
public:
    Scene()
    {
        record.configurations.push_back({.configuration = firstConfiguration(), .sentAt = at(-50000), .acknowledgedAt = at(-49990)});
        record.calmSince = at(-20000);
        serve("a1", "order", Kind::Unsafe);
        serve("a2", "lookup", Kind::Safe);
        serve("a3", "long", Kind::Stream);
        serve("a4", "short", Kind::ResumableStream);
    }

    void serve(const std::string &attempt, const std::string &route, Kind kind, int sentAt = 0)
    {
        const bool isStream = kind == Kind::Stream || kind == Kind::ResumableStream;
        Exchange exchange;
        exchange.attempt = attempt;
        exchange.vm = "vm1";
        exchange.route = route;
        exchange.key = "key-cafe";
        exchange.kind = kind;
        exchange.sentAt = at(sentAt);
        exchange.endedAt = at(sentAt + 100);
        exchange.limit = milliseconds(2500);
        exchange.status = 200;
        exchange.isComplete = true;
        exchange.run = "run-" + attempt;
        record.exchanges.push_back(exchange);
        run(attempt, isStream ? "engine1" : "service1", isStream ? kModelService : kDeskService, sentAt + 5, sentAt + 95);
    }

    RunStarted &run(const std::string &attempt, const std::string &endpoint, const std::string &service, int from, int to, Ending how = Ending::Done)
    {
        const std::string segment = endpoint + "@1-" + std::to_string(record.started.size());
        RunStarted started;
        started.segment = segment;
        started.run = "run-" + attempt;
        started.attempt = attempt;
        started.endpoint = endpoint;
        started.service = service;
        started.team = "cafe";
        started.at = at(from);
        started.isIntact = true;
        record.started.push_back(started);
        record.ended.push_back({.segment = segment, .at = at(to), .how = how});
        return record.started.back();
    }

    Exchange &exchange(const std::string &attempt)
    {
        return *std::find_if(record.exchanges.begin(), record.exchanges.end(), [&](const Exchange &seen) { return seen.attempt == attempt; });
    }

    /// @return the promises that are broken.
    [[nodiscard]] std::vector<std::string> broken() const
    {
        std::vector<std::string> promises;
        for (const auto &violation : check(record, {})) {
            promises.push_back(violation.promise);
        }
        return promises;
    }

    Record record;
};

using Promises = std::vector<std::string>;

TEST_CASE("a record without a fault breaks nothing")
{
    CHECK(Scene().broken().empty());
}

TEST_CASE("an answer with wrong content, or of another request, is found")
{
    Scene content;
    content.exchange("a2").fault = "event 3 came where 2 was due";
    CHECK(content.broken() == Promises{"mixed"});
    Scene crossed;
    crossed.exchange("a2").run = "run-a1";
    CHECK(crossed.broken() == Promises{"mixed"});
}

TEST_CASE("a second run of a request that may run once is found, one that moved with its memory is not")
{
    Scene twice;
    twice.run("a1", "service2", kDeskService, 200, 250).run = "another";
    CHECK(twice.broken() == Promises{"twice", "attempts"});
    Scene moved;
    moved.run("a3", "engine2", kModelService, 96, 99).continuesMemory = true;
    CHECK(moved.broken().empty());
}

TEST_CASE("two endpoints that work on one run together are found")
{
    Scene scene;
    scene.record.ended[2].at = at(700); // The first engine of a3.
    scene.run("a3", "engine2", kModelService, 96, 900).continuesMemory = true;
    CHECK(scene.broken() == Promises{"twice"});
    scene.record.ended[2].at = at(400);
    CHECK(scene.broken().empty());
}

TEST_CASE("a refusal of a request that has run, or runs later, is found")
{
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
        Scene scene;
        scene.exchange("a1").status = status;
        CHECK(scene.broken() == Promises{"refused"});
    }
    Scene honest;
    honest.exchange("a1").status = 502;
    CHECK(honest.broken().empty());
}

TEST_CASE("more endpoints than a route allows are found")
{
    Scene scene;
    scene.run("a2", "service2", kDeskService, 20, 50);
    CHECK(scene.broken().empty());
    scene.run("a2", "service3", kDeskService, 60, 70);
    CHECK(scene.broken() == Promises{"attempts"});
}

TEST_CASE("a run that nobody asked for, or that was changed, is found")
{
    Scene unknown;
    unknown.run("a9", "service1", kDeskService, 10, 20);
    CHECK(unknown.broken() == Promises{"unasked"});
    Scene changed;
    changed.record.started[0].isIntact = false;
    CHECK(changed.broken() == Promises{"unasked"});
    Scene key;
    key.record.started[0].namesKey = true;
    CHECK(key.broken() == Promises{"unasked"});
    Scene team;
    team.record.started[0].team = "forged";
    CHECK(team.broken() == Promises{"unasked"});
    Scene service;
    service.record.started[0].service = kModelService;
    CHECK(service.broken() == Promises{"route"});
}

/// Adds a configuration without the key of the cafe.
void revoke(Scene &scene, int acknowledgedAt)
{
    auto next = firstConfiguration();
    next.version = 2;
    next.teams.front().keys.clear();
    scene.record.configurations.push_back({.configuration = next, .sentAt = at(acknowledgedAt - 10), .acknowledgedAt = at(acknowledgedAt)});
}

TEST_CASE("a key that was taken away is found in use, also at a VM that is disturbed")
{
    Scene scene;
    revoke(scene, -5001);
    (void)scene.record.timeline.begin("vm1", Disturbance::Unplanned, at(-60000));
    CHECK(scene.broken() == Promises{"revoked", "revoked", "revoked", "revoked"});
    Scene inTime;
    revoke(inTime, -4999);
    (void)inTime.record.timeline.begin("vm1", Disturbance::Unplanned, at(-60000));
    CHECK(inTime.broken().empty());
}

TEST_CASE("an old configuration at a calm VM is found")
{
    Scene scene;
    revoke(scene, -2001);
    CHECK(scene.broken() == Promises{"config", "config", "config", "config"});
    Scene inTime;
    revoke(inTime, -1999);
    CHECK(inTime.broken().empty());
    Scene denied;
    denied.exchange("a1").status = 404;
    CHECK(denied.broken() == Promises{"config"});
}

TEST_CASE("a final answer that comes late is found at a calm VM only")
{
    Scene scene;
    scene.exchange("a1").endedAt = at(3100);
    CHECK(scene.broken() == Promises{"late"});
    const auto span = scene.record.timeline.begin("vm1", Disturbance::Unplanned, at(-2000));
    scene.record.timeline.end(span, at(-1000));
    CHECK(scene.broken().empty());
}

TEST_CASE("a request that reaches an endpoint that leaves is found, one that reaches its successor is not")
{
    Scene scene;
    scene.record.leaves.push_back({.endpoint = "engine1", .start = "engine1@1", .at = at(-1900)});
    CHECK(scene.broken().empty());
    scene.record.leaves.front().at = at(-2100);
    CHECK(scene.broken() == Promises{"drain", "drain"});
    scene.record.leaves.front().start = "engine1@0"; // It has been started again since.
    CHECK(scene.broken().empty());
}

TEST_CASE("a request that reaches a withdrawn zone after the bound is found, one after its return is not")
{
    Scene scene; // Its endpoints are of zone a.
    scene.record.withdrawals.push_back({.zone = "a", .acknowledgedAt = at(-4900)});
    CHECK(scene.broken().empty());
    scene.record.withdrawals.front().acknowledgedAt = at(-5500);
    CHECK(scene.broken() == Promises{"zone", "zone", "zone", "zone"});
    scene.record.started.front().continuesMemory = true;
    CHECK(scene.broken() == Promises{"zone", "zone", "zone"});
    scene.record.withdrawals.front().restoredAt = at(-100);
    CHECK(scene.broken().empty());
    scene.record.withdrawals.front() = {.zone = "b", .acknowledgedAt = at(-5500)};
    CHECK(scene.broken().empty());
}

TEST_CASE("a planned stop that cuts a request is found")
{
    Scene scene;
    auto &cut = scene.exchange("a1");
    cut.status = 0;
    cut.isComplete = false;
    CHECK(scene.broken().empty()); // A few cuts are allowed at any time.
    const auto span = scene.record.timeline.begin("vm1", Disturbance::Planned, at(50));
    scene.record.timeline.end(span, at(8000));
    CHECK(scene.broken() == Promises{"lost"});
}

TEST_CASE("many requests that are cut at calm VMs are found, unless their endpoint broke off")
{
    Scene scene;
    for (int i = 0; i < 4; ++i) {
        const auto attempt = "b" + std::to_string(i);
        scene.serve(attempt, "lookup", Kind::Safe, 200 + i);
        scene.exchange(attempt).isComplete = false;
    }
    CHECK(scene.broken() == Promises{"lost"});
    for (auto &end : scene.record.ended) {
        end.how = Ending::Broken;
    }
    CHECK(scene.broken().empty());
}

TEST_CASE("work that goes on after its callers have left is found")
{
    Scene scene;
    for (int i = 0; i < 4; ++i) {
        const auto attempt = "b" + std::to_string(i);
        scene.serve(attempt, "long", Kind::Stream, 200);
        auto &left = scene.exchange(attempt);
        left.isComplete = false;
        left.leftAt = left.endedAt;
        scene.record.ended.back().at = at(1000);
    }
    CHECK(scene.broken() == Promises{"gone"});
    for (auto &end : scene.record.ended) {
        end.at = std::min(end.at, at(700));
    }
    CHECK(scene.broken().empty());
}

TEST_CASE("repeats beyond the budget of a service are found")
{
    Scene scene;
    const Bounds bounds;
    for (unsigned i = 0; i < bounds.retryAllowance + 15; ++i) {
        const auto attempt = "b" + std::to_string(i);
        scene.serve(attempt, "lookup", Kind::Safe, static_cast<int>(i));
        scene.run(attempt, "service2", kDeskService, static_cast<int>(i) + 20, static_cast<int>(i) + 40);
    }
    CHECK(scene.broken().empty());
    for (unsigned i = 0; i < 100; ++i) {
        scene.run("b0", "service2", kDeskService, 300, 310);
    }
    CHECK(scene.broken() == Promises{"budget"});
}

TEST_CASE("only requests at calm VMs count as in touch")
{
    Scene scene;
    CHECK(summarize(scene.record, {}).inTouch == 4);
    (void)scene.record.timeline.begin("vm1", Disturbance::Unplanned, at(50));
    CHECK(summarize(scene.record, {}).inTouch == 0);
}

TEST_CASE("a fleet that does not recover, and a process that ends, are found")
{
    Scene scene;
    for (auto &exchange : scene.record.exchanges) {
        exchange.status = 502;
    }
    CHECK(scene.broken() == Promises{"recover"});
    Scene ended;
    ended.record.unexpectedEnds.emplace_back("vm1 ended by itself");
    CHECK(ended.broken() == Promises{"end"});
}

/// Lets requests reach an endpoint with a limit, through two VMs that were told of it.
/// @param perSecond the limit.
/// @param gap between two requests.
Scene limitedScene(double perSecond, int gap, int count)
{
    Scene scene;
    for (int i = 0; i < count; ++i) {
        const std::string attempt = "limited" + std::to_string(i);
        const int time = 1000 + gap * i;
        scene.serve(attempt, "lookup", Kind::Safe, time);
        scene.exchange(attempt).vm = "vm" + std::to_string(1 + i % 2);
        scene.record.limitedArrivals.push_back({.endpoint = "service1", .period = "p", .attempt = attempt, .at = at(time), .perSecond = perSecond});
        scene.record.limitsTold.push_back({.endpoint = "service1", .period = "p", .attempt = attempt, .at = at(time + 10)});
    }
    return scene;
}

// Two VMs that each keep to the limit send twice of what the endpoint takes.
TEST_CASE("limit: VMs that were told a limit may not send more than it allows together")
{
    CHECK(limitedScene(3, 250, 60).broken().empty());
    CHECK(limitedScene(3, 165, 60).broken() == std::vector<std::string>{"limit"});
    CHECK(limitedScene(3, 165, 20).broken().empty()); // Until the time for learning of the limit is over.
    CHECK(limitedScene(0.4, 2000, 20).broken().empty());
    CHECK(limitedScene(0.4, 400, 40).broken() == std::vector<std::string>{"limit"});
    auto untold = limitedScene(3, 165, 60);
    std::erase_if(untold.record.limitsTold, [&](const LimitTold &told) { return untold.exchange(told.attempt).vm == "vm2"; });
    CHECK(untold.broken().empty());
    auto disturbed = limitedScene(3, 165, 60);
    disturbed.record.timeline.begin("vm2", Disturbance::Unplanned, at(0));
    CHECK(disturbed.broken().empty());
}

/// Lets requests with a part that crashes engines reach them, the first of which crash one each.
/// @param crashes that happen, one each 100 ms.
/// @param later requests that reach engines 5 s after the last crash.
Scene crashingScene(int crashes, int later)
{
    Scene scene;
    const auto arrive = [&](int number, int time) {
        std::string attempt = "c" + std::to_string(number) + "-dead0";
        scene.serve(attempt, "short", Kind::ResumableStream, time);
        auto &exchange = scene.exchange(attempt);
        exchange.crashesEngines = true;
        exchange.status = 502;
        exchange.run.clear();
        scene.record.ended.back().how = Ending::Broken;
        return attempt;
    };
    for (int i = 0; i < crashes; ++i) {
        const int time = 1000 + 100 * i;
        scene.record.crashes.push_back({.endpoint = "engine1", .attempt = arrive(i, time), .at = at(time + 20)});
    }
    for (int i = 0; i < later; ++i) {
        arrive(100 + i, 1000 + 100 * crashes + 5000 + 50 * i);
    }
    return scene;
}

// Guards the check itself: a part of a prompt may cost all VMs together five crashes and three requests.
TEST_CASE("crashes: requests with a part that crashes engines are kept from them after the fifth crash")
{
    CHECK(crashingScene(5, 3).broken().empty());
    CHECK(crashingScene(5, 4).broken() == std::vector<std::string>{"crashes"});
    CHECK(crashingScene(4, 10).broken().empty());
    auto disturbed = crashingScene(5, 4);
    disturbed.record.timeline.end(disturbed.record.timeline.begin("vm1", Disturbance::Unplanned, at(5000)), at(5900));
    CHECK(disturbed.broken().empty());
}

// Guards the check itself: a request that is refused as not run must not have reached an engine.
TEST_CASE("refused: a request that crashed an engine is not answered with a refusal")
{
    auto scene = crashingScene(1, 0);
    scene.exchange("c0-dead0").status = 503;
    CHECK(scene.broken() == std::vector<std::string>{"refused"});
}

// Guards the check itself: sound requests must not be refused for what others do.
TEST_CASE("sound: answers without a part that crashes engines are served")
{
    auto scene = crashingScene(5, 0);
    for (int i = 0; i < 30; ++i) {
        scene.serve("s" + std::to_string(i), "short", Kind::ResumableStream, 9000 + 100 * i);
    }
    CHECK(scene.broken().empty());
    for (int i = 0; i < 20; ++i) {
        const std::string attempt = "s" + std::to_string(i);
        scene.exchange(attempt).status = 503;
        scene.exchange(attempt).run.clear();
        std::erase_if(scene.record.started, [&](const RunStarted &run) { return run.attempt == attempt; });
    }
    CHECK(scene.broken() == std::vector<std::string>{"sound"});
}

} // namespace
} // namespace daisystream::soak
