#include "daisystream/scheduler/pauseforecast.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

constexpr double kPace = 1000.0 / 45; // An event of 4 tokens within 180 ms.
constexpr double kPrefillSeconds = 0.5;

// One sample in twenty states `slowness`, three do so for 15%.
SlownessDistribution slowTimes(double slowness, int slowOfTwenty)
{
    SlownessDistribution distribution;
    for (int i = 0; i < 200; ++i) {
        distribution.add(i % 20 < slowOfTwenty ? slowness : 1.0);
    }
    return distribution;
}

} // namespace

// Guards against a cost where nothing was stated or promised: choices would change without a reason.
TEST_CASE("nothing is missed without a promised pace, or without stated slowness on an engine that keeps the pace")
{
    const SlownessDistribution none;
    CHECK(none.mean() == 1);
    CHECK(missProbability(18, kPace, kPrefillSeconds, none, std::nullopt) == 0);
    CHECK(missProbability(18, 0, kPrefillSeconds, slowTimes(9, 20), 9.0) == 0);
    CHECK(missProbability(18, kPace, kPrefillSeconds, slowTimes(1.0, 20), std::nullopt) == 0);
}

// Guards against treating a fast engine like a slow one, which would waste the place where no answer is late.
TEST_CASE("slow periods make answers of slow engines miss their pace, not those of fast ones")
{
    const auto slowness = slowTimes(2.5, 3);
    CHECK(missProbability(18.5, kPace, 0, slowness, std::nullopt) == doctest::Approx(0.15));
    CHECK(missProbability(17.9, kPace, 0, slowness, std::nullopt) == 0);
    CHECK(missProbability(8.3, kPace, kPrefillSeconds, slowness, std::nullopt) == 0);
    CHECK(missProbability(46, kPace, 0, slowness, std::nullopt) == 1);
    CHECK(slowness.mean() == doctest::Approx(1.225));
}

// Guards against forgetting that a slow period may begin while the prompt is prefilled.
TEST_CASE("a longer prefill makes a miss more likely")
{
    const auto slowness = slowTimes(2.5, 3);
    double previous = 0;
    for (const double seconds : {0.0, 0.25, 0.5, 1.0, 4.0}) {
        const double probability = missProbability(18.5, kPace, seconds, slowness, std::nullopt);
        CHECK(probability > previous);
        CHECK(probability < 1);
        previous = probability;
    }
}

// Guards against ignoring what the engine states at present, in either direction.
TEST_CASE("the present slowness replaces the fraction of slow periods")
{
    const auto slowness = slowTimes(2.5, 3);
    CHECK(missProbability(18.5, kPace, kPrefillSeconds, slowness, 2.5) == 1);
    const double atUsualPace = missProbability(18.5, kPace, kPrefillSeconds, slowness, 1.0);
    CHECK(atUsualPace > 0);
    CHECK(atUsualPace < missProbability(18.5, kPace, kPrefillSeconds, slowness, std::nullopt));
}

// Guards against counting answers that were promised nothing.
TEST_CASE("expected misses count the running answers by their promised pace")
{
    const auto slowness = slowTimes(2.5, 3);
    const std::map<double, std::uint32_t> answers{{0, 5}, {1, 4}, {kPace, 3}};
    CHECK(expectedMisses({.stepMilliseconds = 18.5, .answersByPace = answers}, slowness, std::nullopt) == doctest::Approx(0.45));
    CHECK(expectedMisses({.stepMilliseconds = 18.5, .answersByPace = {}}, slowness, 2.5) == 0);
}

// Guards against a memory of slow periods that never fades.
TEST_CASE("old samples of the slowness are forgotten")
{
    auto slowness = slowTimes(2.5, 20);
    CHECK(slowness.fractionAtLeast(2.5) == 1);
    for (int i = 0; i < 1000; ++i) {
        slowness.add(1.0);
    }
    CHECK(slowness.fractionAtLeast(2.5) == 0);
    CHECK(slowness.mean() == doctest::Approx(1));
}

} // namespace daisystream
