#include "daisystream/placement/placementplanner.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

using namespace std::chrono_literals;

const TimePoint kStart(1h);
const ModelId kChat("chat");
const ModelId kBooking("booking");

PlacementEngine engine(const char *name, const char *zone, const ModelId &model)
{
    return {.endpoint = EndpointId(name), .zone = ZoneId(zone), .model = model, .inService = true, .loading = false, .tokensPerSecond = 1000};
}

std::vector<ModelDemand> demands(double chat, double booking, std::uint64_t bytes = 20'000'000'000)
{
    return {{kChat, chat, bytes}, {kBooking, booking, bytes}};
}

std::vector<PlacementEngine> fleet()
{
    return {engine("e1", "z1", kChat), engine("e2", "z2", kChat), engine("e3", "z3", kChat), engine("e4", "z1", kBooking)};
}

// Guards against a plan that ignores demand, against one that takes the last engine from a model, and against one that moves an
// engine of the zone in which the model already runs, which adds no spare capacity for the loss of that zone.
TEST_CASE("an engine with spare capacity is moved to the model with unmet demand, in another zone")
{
    PlacementPlanner planner;
    planner.observe(demands(900, 1500), kStart);
    CHECK_FALSE(planner.plan(fleet(), kStart).has_value());
    const auto order = planner.plan(fleet(), kStart + 30s);
    REQUIRE(order.has_value());
    CHECK(order->model == kBooking);
    CHECK(order->endpoint != EndpointId("e1"));
    CHECK(order->loadTime == 20s);
    PlacementPlanner other;
    other.observe(demands(9000, 1), kStart);
    CHECK_FALSE(other.plan(fleet(), kStart + 30s).has_value());
}

// Guards against a move whose load costs more tokens than the move gains within PlacementOptions::paybackTime.
TEST_CASE("a move whose gain does not exceed the loss during its load is not made")
{
    PlacementPlanner planner;
    planner.observe(demands(2100, 1500, 400'000'000'000), kStart); // A load of 400 s; the payback time is 600 s.
    CHECK_FALSE(planner.plan(fleet(), kStart + 30s).has_value());
    PlacementPlanner quick;
    quick.observe(demands(2100, 1500, 1'000'000'000), kStart);
    CHECK(quick.plan(fleet(), kStart + 30s).has_value());
}

// Guards against concurrent loads, which would together exceed the rate limit of the weight store.
TEST_CASE("only one engine loads at a time")
{
    PlacementPlanner planner;
    planner.observe(demands(10, 4000), kStart);
    auto engines = fleet();
    const auto first = planner.plan(engines, kStart + 30s);
    REQUIRE(first.has_value());
    for (auto &candidate : engines) {
        candidate.model = candidate.endpoint == first->endpoint ? kBooking : candidate.model;
    }
    CHECK_FALSE(planner.plan(engines, kStart + 49s).has_value());
    const auto second = planner.plan(engines, kStart + 50s);
    REQUIRE(second.has_value());
    CHECK(second->endpoint != first->endpoint);
    engines[0].loading = true;
    CHECK_FALSE(PlacementPlanner(planner).plan(engines, kStart + 80s).has_value());
}

// Guards against engines that are moved at every change of the demand. The demand changes 120 times in an hour; the bound is one
// move for each engine.
TEST_CASE("an oscillating demand does not make engines oscillate between models")
{
    PlacementPlanner planner;
    auto engines = fleet();
    int moves = 0;
    for (int second = 0; second < 3600; second += 5) {
        const TimePoint now = kStart + std::chrono::seconds(second);
        const bool isChatPeak = second / 30 % 2 == 0;
        planner.observe(isChatPeak ? demands(2600, 900) : demands(900, 2600), now);
        if (const auto order = planner.plan(engines, now)) {
            ++moves;
            for (auto &candidate : engines) {
                candidate.model = candidate.endpoint == order->endpoint ? order->model : candidate.model;
            }
        }
    }
    CHECK(moves <= 4);
}

} // namespace
} // namespace daisystream
