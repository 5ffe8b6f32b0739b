#include "soak/plan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace daisystream::soak
{
namespace
{

// Guards against a failing seed that cannot be played again.
TEST_CASE("a seed gives the same plan each time, and another seed another one")
{
    CHECK(makePlan(7, {}) == makePlan(7, {}));
    CHECK(makePlan(7, {}) != makePlan(8, {}));
}

TEST_CASE("steps come in order, within their time, and configurations with rising versions")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const PlanSize size;
        const auto plan = makePlan(seed, size);
        CHECK(plan.steps.size() == size.steps + size.limits + size.withdrawals);
        CHECK(std::is_sorted(plan.steps.begin(), plan.steps.end(), [](const Step &a, const Step &b) { return a.at < b.at; }));
        CHECK(plan.steps.back().at <= size.length);
        for (std::size_t i = 1; i < plan.configurations.size(); ++i) {
            CHECK(plan.configurations[i].version > plan.configurations[i - 1].version);
        }
    }
}

// Guards against a kind of disturbance that is never drawn.
TEST_CASE("fifty plans hold every kind of step")
{
    std::set<std::size_t> kinds;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        for (const auto &step : makePlan(seed, {}).steps) {
            kinds.insert(step.action.index());
        }
    }
    CHECK(kinds.size() == std::variant_size_v<Action>);
}

TEST_CASE("the keys that are always in force come first")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto plan = makePlan(seed, {});
        const auto keys = plan.allKeys();
        for (const auto &configuration : plan.configurations) {
            CHECK_FALSE(configuration.teamOf(keys[0]).empty());
            CHECK_FALSE(configuration.teamOf(keys[1]).empty());
        }
    }
}

} // namespace
} // namespace daisystream::soak
