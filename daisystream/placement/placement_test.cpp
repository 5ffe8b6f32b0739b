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

// Guards against a plan that ignores demand, one that strips a model of its last engine, and one that puts the spare into
// the zone whose loss it should cover.
TEST_CASE("an idle engine moves to the demand, into another zone")
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

// Guards against a move that costs more than it brings within the horizon.
TEST_CASE("a move that does not recover its load time is not made")
{
    PlacementPlanner planner;
    planner.observe(demands(2100, 1500, 400'000'000'000), kStart); // A load of 400 s within a horizon of 600 s.
    CHECK_FALSE(planner.plan(fleet(), kStart + 30s).has_value());
    PlacementPlanner quick;
    quick.observe(demands(2100, 1500, 1'000'000'000), kStart);
    CHECK(quick.plan(fleet(), kStart + 30s).has_value());
}

// Guards against loads that exceed the weight store's rate together.
TEST_CASE("loads follow one another")
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

// Guards against engines that follow every swing of the demand. 120 swings in an hour; the bound is one move for each
// engine.
TEST_CASE("a demand that swings does not make engines swing")
{
    PlacementPlanner planner;
    auto engines = fleet();
    int moves = 0;
    for (int second = 0; second < 3600; second += 5) {
        const TimePoint now = kStart + std::chrono::seconds(second);
        const bool day = second / 30 % 2 == 0;
        planner.observe(day ? demands(2600, 900) : demands(900, 2600), now);
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
