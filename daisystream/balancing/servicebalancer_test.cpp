#include "daisystream/balancing/servicebalancer.h"

#include <doctest/doctest.h>

#include <map>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::hours(1)};

std::vector<ServiceCandidate> candidates(std::size_t count)
{
    std::vector<ServiceCandidate> list;
    for (std::size_t i = 0; i < count; ++i) {
        list.push_back({.id = EndpointId("e" + std::to_string(i)), .slots = 6});
    }
    return list;
}

TEST_CASE("calls go to the endpoint with the fewest of them")
{
    ServiceBalancer balancer;
    Random random(1);
    std::map<EndpointId, int> chosen;
    for (int i = 0; i < 30; ++i) {
        const auto endpoint = balancer.choose(candidates(3), {}, random, kNow);
        REQUIRE(endpoint);
        balancer.onStarted(*endpoint, kNow);
        ++chosen[*endpoint];
    }
    for (const auto &[endpoint, count] : chosen) {
        CHECK(count == 10);
    }
}

TEST_CASE("an endpoint that was tried is not chosen again")
{
    ServiceBalancer balancer;
    Random random(1);
    const auto second = balancer.choose(candidates(2), {EndpointId("e0")}, random, kNow);
    REQUIRE(second);
    CHECK(*second == EndpointId("e1"));
    CHECK_FALSE(balancer.choose(candidates(1), {EndpointId("e0")}, random, kNow));
}

// Guards against an endpoint that keeps its share of the calls because its health check is good, while it fails half of them.
TEST_CASE("an endpoint that fails part of its calls is ejected and returns after successful trial calls")
{
    ServiceBalancer balancer;
    Random random(7);
    TimePoint now = kNow;
    std::map<EndpointId, int> whileFailing;
    const EndpointId bad("e0");
    bool isBad = true;
    const auto runCalls = [&](milliseconds time, std::map<EndpointId, int> &counts) {
        for (const TimePoint end = now + time; now < end; now += milliseconds(20)) {
            const auto endpoint = balancer.choose(candidates(3), {}, random, now);
            REQUIRE(endpoint);
            balancer.onStarted(*endpoint, now);
            const bool fails = isBad && *endpoint == bad && random.below(2) == 0;
            balancer.onEnded(*endpoint, fails ? CallResult::Failed : CallResult::Answered, now);
            ++counts[*endpoint];
        }
    };
    runCalls(milliseconds(6000), whileFailing);
    CHECK(whileFailing[bad] < 30); // Of 300 calls; an equal part would be 100.
    isBad = false;
    std::map<EndpointId, int> whileRecovering;
    runCalls(milliseconds(9000), whileRecovering);
    CHECK_FALSE(balancer.isEjected(bad));
    std::map<EndpointId, int> after;
    runCalls(milliseconds(3000), after);
    CHECK(after[bad] > 30);
}

TEST_CASE("a service whose endpoints all fail still gets calls")
{
    ServiceBalancer balancer;
    Random random(7);
    for (int i = 0; i < 100; ++i) {
        const TimePoint now = kNow + milliseconds(20 * i);
        const auto endpoint = balancer.choose(candidates(3), {}, random, now);
        REQUIRE(endpoint);
        balancer.onStarted(*endpoint, now);
        balancer.onEnded(*endpoint, CallResult::Failed, now);
    }
    CHECK_FALSE(balancer.isEjected(EndpointId("e0")));
}

TEST_CASE("reported load of other VMs is used for a limited time")
{
    ServiceBalancer balancer;
    Random random(1);
    balancer.onReportedLoad(EndpointId("e0"), {.running = 6, .waiting = 3, .slots = 6}, kNow);
    for (int i = 0; i < 6; ++i) {
        const auto endpoint = balancer.choose(candidates(2), {}, random, kNow);
        REQUIRE(endpoint);
        CHECK(*endpoint == EndpointId("e1"));
        balancer.onStarted(*endpoint, kNow);
    }
    const auto later = balancer.choose(candidates(2), {}, random, kNow + milliseconds(600));
    REQUIRE(later);
    CHECK(*later == EndpointId("e0"));
}

/// Makes `e0` an endpoint that is slow beyond about two concurrent calls.
void learnLimit(ServiceBalancer &balancer)
{
    for (int i = 0; i < 60; ++i) {
        const bool isLoaded = i >= 20;
        for (int endpoint = 0; endpoint < 3; ++endpoint) {
            const bool isSlow = endpoint == 0 && isLoaded;
            balancer.onSpeedSample(EndpointId("e" + std::to_string(endpoint)),
                                   {.service = ServiceId("s"),
                                    .route = RouteName("r"),
                                    .took = milliseconds(isSlow ? 120 : 30),
                                    .goal = milliseconds(100),
                                    .calls = isSlow ? 3 : 1,
                                    .slots = 6},
                                   kNow);
        }
    }
}

// Guards against a second attempt that meets the same overload as the first one.
TEST_CASE("a second attempt does not go to an endpoint beyond its load limit unless there is no other")
{
    ServiceBalancer balancer;
    learnLimit(balancer);
    REQUIRE(balancer.speed(EndpointId("e0"), kNow).loadLimit);
    balancer.onReportedLoad(EndpointId("e0"), {.running = 5, .waiting = 0, .slots = 6}, kNow);
    balancer.onReportedLoad(EndpointId("e1"), {.running = 6, .waiting = 60, .slots = 6}, kNow);
    Random random(1);
    CHECK(balancer.choose(candidates(2), {}, random, kNow) == EndpointId("e0"));
    CHECK(balancer.choose(candidates(3), {EndpointId("e2")}, random, kNow) == EndpointId("e1"));
    CHECK(balancer.choose(candidates(2), {EndpointId("e1")}, random, kNow) == EndpointId("e0"));
}

// Guards against calls that wait in vain for their deadline, and against refusals for which there was no reason.
TEST_CASE("a call is refused only if every endpoint reported an overload in which it cannot complete in time")
{
    ServiceBalancer balancer;
    const RouteName route("r");
    CHECK_FALSE(balancer.timeUntilCapacity(candidates(2), route, milliseconds(1), kNow));
    for (int i = 0; i < 20; ++i) {
        balancer.onSpeedSample(
            EndpointId("e0"), {.service = ServiceId("s"), .route = route, .took = milliseconds(30), .goal = milliseconds(100), .calls = 1, .slots = 6}, kNow);
    }
    CHECK_FALSE(balancer.timeUntilCapacity(candidates(2), route, milliseconds(1), kNow));
    const ReportedLoad full{.running = 6, .waiting = 120, .slots = 6};
    balancer.onReportedLoad(EndpointId("e0"), full, kNow);
    CHECK_FALSE(balancer.timeUntilCapacity(candidates(2), route, milliseconds(500), kNow));
    balancer.onReportedLoad(EndpointId("e1"), full, kNow);
    const auto wait = balancer.timeUntilCapacity(candidates(2), route, milliseconds(500), kNow);
    REQUIRE(wait);
    CHECK(*wait > milliseconds(500));
    CHECK(*wait < milliseconds(700));
    CHECK_FALSE(balancer.timeUntilCapacity(candidates(2), route, milliseconds(2500), kNow));
    CHECK_FALSE(balancer.timeUntilCapacity(candidates(2), route, milliseconds(500), kNow + milliseconds(600)));
    CHECK_FALSE(balancer.timeUntilCapacity({}, route, milliseconds(500), kNow));
}

} // namespace
} // namespace daisystream
