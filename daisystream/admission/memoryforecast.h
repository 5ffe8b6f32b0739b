#pragma once

#include "daisystream/admission/lengthestimator.h"

#include <array>
#include <cstddef>
#include <cstdint>

/// @file
/// Forecasts how much memory the answers at an engine will hold, so that it does not run out in mid-decode.
///
/// At a number of steps ahead, each answer is either still running, and then holds its prompt and all its tokens, or
/// has ended and holds nothing. The sum over all answers is approximately normal; the forecast is the largest value
/// over the steps of its mean plus a multiple of its standard deviation. Adding or removing an answer costs the same
/// however many there are.
///
/// Example:
/// @code
///   const auto added = MemoryForecast::contribution(lengths, profile, promptTokens, 0, limit);
///   if (forecast.peakWith(added, 2.33) < capacity) {
///       forecast.add(added);
///   }
/// @endcode

namespace daisystream
{

/// Memory forecast of one engine. Thread-compatible.
class MemoryForecast
{
public:
    /// Decode steps ahead at which memory is forecast.
    static constexpr std::array<double, 6> kSteps{0, 64, 256, 1024, 4096, 16384};

    /// What one answer adds to the forecast.
    struct Contribution
    {
        std::array<double, kSteps.size()> mean{};
        std::array<double, kSteps.size()> variance{};
    };

    /// @param limit length at which the answer is cut off.
    [[nodiscard]] static Contribution
    contribution(const LengthEstimator &lengths, LengthEstimator::Profile profile, std::uint32_t promptTokens, std::uint32_t generatedTokens, double limit);

    void add(const Contribution &contribution);
    void remove(const Contribution &contribution);

    /// @param deviations standard deviations above the mean.
    /// @return the largest forecast with one more answer, in tokens.
    [[nodiscard]] double peakWith(const Contribution &extra, double deviations) const;

    /// @return the probability that the answers with one more hold more than `capacity` tokens at some time.
    [[nodiscard]] double overflowProbability(const Contribution &extra, double capacity) const;

    /// @return the largest forecast, in tokens.
    [[nodiscard]] double peak(double deviations) const;

    /// @return what the answers held when they last reported, in tokens.
    [[nodiscard]] double held() const;

private:
    std::size_t count_ = 0;
    Contribution sum_;
};

/// @return the number of standard deviations that a normal variable stays below with the probability.
/// @param quantile in (0.5, 1).
[[nodiscard]] double normalDeviations(double quantile);

} // namespace daisystream
