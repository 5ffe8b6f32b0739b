#include "bench/checks.h"
#include "bench/eventqueue.h"
#include "bench/figures.h"
#include "bench/harness.h"

#include <doctest/doctest.h>

namespace daisystream::bench
{
namespace
{

// Guards against figures that look better or worse than the values they summarise.
TEST_CASE("quantiles, Jain's index and summaries")
{
    Quantiles quantiles;
    for (int i = 1; i <= 1000; ++i) {
        quantiles.add(i / 1000.0);
    }
    CHECK(quantiles.at(0.5) == doctest::Approx(0.5).epsilon(0.02));
    CHECK(quantiles.at(0.99) == doctest::Approx(0.99).epsilon(0.02));
    CHECK(jainIndex({2, 2, 2}) == doctest::Approx(1));
    CHECK(jainIndex({1, 0, 0, 0}) == doctest::Approx(0.25));
    const Summary summary = summarize({3, 1, 2});
    CHECK(summary.least == 1);
    CHECK(summary.median == 2);
    CHECK(summary.most == 3);
}

// Guards against messages that overtake each other on one link.
TEST_CASE("events of the same time keep their order")
{
    EventQueue queue;
    std::vector<int> order;
    const TimePoint at = queue.now() + std::chrono::seconds(1);
    queue.at(at, [&] { order.push_back(1); });
    queue.at(at, [&] { order.push_back(2); });
    queue.at(queue.now(), [&] { order.push_back(0); });
    while (queue.runOne(at + std::chrono::seconds(1))) { }
    CHECK(order == std::vector<int>{0, 1, 2});
}

// Guards against a check that passes although one seed misses the target.
TEST_CASE("a check holds only if it holds for every seed")
{
    Check check{"floor", "", true, 0.09, {0.1, 0.08, 0.1}};
    CHECK_FALSE(check.holds());
    check.values[1] = 0.09;
    CHECK(check.holds());
}

// Guards against a run that a seed cannot replay, and against policies that see different workloads.
TEST_CASE("a run replays from its seed")
{
    Scenario scenario = *findScenario("ordinary10");
    scenario.length = std::chrono::seconds(20);
    scenario.floodBegin = std::chrono::seconds(5);
    scenario.floodEnd = std::chrono::seconds(15);
    const auto run = [&](Policy policy, std::uint64_t seed) {
        Harness harness(fizzwell(), scenario, policy, seed);
        const Figures figures = harness.run();
        return std::pair(harness.decisionHash(), figures.at("ordinary requests"));
    };
    CHECK(run(Policy::Cells, 3) == run(Policy::Cells, 3));
    CHECK(run(Policy::Cells, 3).first != run(Policy::Cells, 4).first);
    CHECK(run(Policy::Cells, 3).second == run(Policy::RoundRobin, 3).second);
}

// Guards against a harness that ignores a fault, so that a scenario measures an undisturbed run.
TEST_CASE("each fault changes the run")
{
    for (const char *name : {"engineloss", "vmloss", "zoneloss", "ownerloss", "twoowners", "slowengine", "frozenreport"}) {
        CAPTURE(name);
        Scenario scenario = *findScenario(name);
        Harness disturbed(fizzwell(), scenario, Policy::Cells, 1);
        (void)disturbed.run();
        scenario.faults.clear();
        Harness undisturbed(fizzwell(), scenario, Policy::Cells, 1);
        (void)undisturbed.run();
        CHECK(disturbed.decisionHash() != undisturbed.decisionHash());
    }
}

} // namespace
} // namespace daisystream::bench
