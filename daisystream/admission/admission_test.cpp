#include "daisystream/admission/lengthestimator.h"
#include "daisystream/admission/memoryforecast.h"
#include "daisystream/base/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace daisystream
{
namespace
{

// Guards against an estimate that does not learn, or that ignores how much has been generated already.
TEST_CASE("the expected remainder follows the observed lengths and what has been generated")
{
    LengthEstimator lengths(LengthEstimatorOptions{});
    const auto profile = lengths.profileOf(TeamId("office"), ModelId("assistant"));
    ManualClock clock;
    for (int i = 0; i < 300; ++i) {
        lengths.observe(profile, i % 2 == 0 ? 40 : 2000, true, clock.now());
    }
    CHECK(lengths.expectedRemaining(profile, 0, 1e5) == doctest::Approx(1020).epsilon(0.25));
    // An answer that got beyond 40 tokens is one of the long ones.
    CHECK(lengths.survival(profile, 100, 1400) > 0.85);
    CHECK(lengths.survival(profile, 0, 100) < 0.6);
    CHECK(lengths.expectedRemaining(profile, 0, 10) <= 10);
}

// Guards against cancelled answers being taken for short ones.
TEST_CASE("an answer that was cut off does not shorten the estimate")
{
    LengthEstimator lengths(LengthEstimatorOptions{});
    const auto profile = lengths.profileOf(TeamId("office"), ModelId("assistant"));
    ManualClock clock;
    for (int i = 0; i < 200; ++i) {
        lengths.observe(profile, 1000, true, clock.now());
        lengths.observe(profile, 20, false, clock.now());
    }
    CHECK(lengths.survival(profile, 0, 500) > 0.8);
}

// Guards against a forecast that lets memory run out: the forecast must cover the true use in nearly all trials.
TEST_CASE("the memory forecast covers what answers come to hold")
{
    LengthEstimator lengths(LengthEstimatorOptions{});
    const auto profile = lengths.profileOf(TeamId("office"), ModelId("assistant"));
    ManualClock clock;
    Random random(11);
    const auto length = [&] {
        return static_cast<std::uint32_t>(1 - 400 * std::log(1 - random.uniform()));
    };
    for (int i = 0; i < 1000; ++i) {
        lengths.observe(profile, length(), true, clock.now());
    }
    MemoryForecast forecast;
    constexpr int kAnswers = 50;
    constexpr std::uint32_t kPrompt = 200;
    const auto each = MemoryForecast::contribution(lengths, profile, kPrompt, 0, 1e5);
    for (int i = 0; i < kAnswers; ++i) {
        forecast.add(each);
    }
    const double peak = forecast.peak(normalDeviations(0.99));
    int exceeded = 0;
    constexpr int kTrials = 400;
    for (int trial = 0; trial < kTrials; ++trial) {
        std::array<std::uint32_t, kAnswers> ends{};
        std::generate(ends.begin(), ends.end(), length);
        double most = 0;
        for (std::uint32_t step = 0; step < 3000; step += 10) {
            const auto alive = std::count_if(ends.begin(), ends.end(), [&](std::uint32_t end) { return end > step; });
            most = std::max(most, static_cast<double>(alive) * (kPrompt + step));
        }
        exceeded += most > peak ? 1 : 0;
    }
    CHECK(exceeded <= kTrials / 20);
    // Far from what the longest possible answers would hold: the forecast must leave the memory usable.
    CHECK(peak < kAnswers * (kPrompt + 1000.0));
    for (int i = 0; i < kAnswers; ++i) {
        forecast.remove(each);
    }
    CHECK(forecast.peak(3) == 0);
}

} // namespace
} // namespace daisystream
