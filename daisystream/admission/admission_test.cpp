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

// Guards against an estimate that does not follow the observed lengths, or that ignores how many tokens an answer has already.
TEST_CASE("the expected remaining length depends on the observed lengths and on the tokens so far")
{
    LengthEstimator lengths(LengthEstimatorOptions{});
    const auto profile = lengths.profileOf(TeamId("office"), ModelId("assistant"));
    ManualClock clock;
    for (int i = 0; i < 300; ++i) {
        lengths.observe(profile, i % 2 == 0 ? 40 : 2000, true, clock.now());
    }
    CHECK(lengths.expectedRemaining(profile, 0, 1e5) == doctest::Approx(1020).epsilon(0.25));
    // An answer of more than 40 tokens will have 2000.
    CHECK(lengths.survival(profile, 100, 1400) > 0.85);
    CHECK(lengths.survival(profile, 0, 100) < 0.6);
    CHECK(lengths.expectedRemaining(profile, 0, 10) <= 10);
}

// Guards against counting a cancelled answer as a short one.
TEST_CASE("answers that were cut off do not shorten the estimate")
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

// Guards against a forecast with which memory runs out: the real peak must be below it in nearly all trials.
TEST_CASE("the memory forecast covers the memory that answers use later")
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
    const auto perAnswer = MemoryForecast::contribution(lengths, profile, kPrompt, 0, 1e5);
    for (int i = 0; i < kAnswers; ++i) {
        forecast.add(perAnswer);
    }
    const double peak = forecast.peak(normalDeviations(0.99));
    int exceeded = 0;
    constexpr int kTrials = 400;
    for (int trial = 0; trial < kTrials; ++trial) {
        std::array<std::uint32_t, kAnswers> answerLengths{};
        std::generate(answerLengths.begin(), answerLengths.end(), length);
        double maxUsedTokens = 0;
        for (std::uint32_t step = 0; step < 3000; step += 10) {
            const auto running = std::count_if(answerLengths.begin(), answerLengths.end(), [&](std::uint32_t end) { return end > step; });
            maxUsedTokens = std::max(maxUsedTokens, static_cast<double>(running) * (kPrompt + step));
        }
        exceeded += maxUsedTokens > peak ? 1 : 0;
    }
    CHECK(exceeded <= kTrials / 20);
    // The forecast must be far below the memory for answers of the longest possible length, to make use of the memory.
    CHECK(peak < kAnswers * (kPrompt + 1000.0));
    for (int i = 0; i < kAnswers; ++i) {
        forecast.remove(perAnswer);
    }
    CHECK(forecast.peak(3) == 0);
}

} // namespace
} // namespace daisystream
