#pragma once

#include "daisystream/admission/lengthestimator.h"

#include <array>
#include <cstddef>
#include <cstdint>

/// @file
/// Forecasts how much KV cache memory the answers of an engine will use, so that the engine does not run out of memory while it
/// generates them.
///
/// A given number of decode steps ahead, each answer is either still running, and then uses memory for its prompt and all its
/// tokens, or has ended and uses none. The sum over all answers is approximately normally distributed. The forecast is its mean
/// plus a multiple of its standard deviation; the peak is the largest forecast over several numbers of steps. Adding or removing an
/// answer takes constant time.
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
    /// Numbers of decode steps ahead for which memory is forecast.
    static constexpr std::array<double, 6> kSteps{0, 64, 256, 1024, 4096, 16384};

    /// Mean and variance that one answer adds to the forecast, in tokens and squared tokens.
    struct Contribution
    {
        std::array<double, kSteps.size()> mean{};
        std::array<double, kSteps.size()> variance{};
    };

    /// @param generatedTokens number of tokens that the answer has already.
    /// @param limit length in tokens at which the answer is cut off.
    /// @return the contribution of an answer.
    [[nodiscard]] static Contribution
    contribution(const LengthEstimator &lengths, LengthEstimator::Profile profile, std::uint32_t promptTokens, std::uint32_t generatedTokens, double limit);

    /// Adds an answer.
    void add(const Contribution &contribution);
    /// Removes an answer.
    /// @param contribution the same value with which the answer was added.
    void remove(const Contribution &contribution);

    /// @param extra contribution of one more answer.
    /// @param deviations number of standard deviations above the mean.
    /// @return the peak with the additional answer, in tokens.
    [[nodiscard]] double peakWith(const Contribution &extra, double deviations) const;

    /// @param extra contribution of one more answer.
    /// @param capacity memory of the engine, in tokens.
    /// @return the largest probability, over the numbers of steps, that the answers use more than `capacity`.
    [[nodiscard]] double overflowProbability(const Contribution &extra, double capacity) const;

    /// @param deviations number of standard deviations above the mean.
    /// @return the peak, in tokens.
    [[nodiscard]] double peak(double deviations) const;

    /// @return the memory that the answers used when their contributions were computed, in tokens.
    [[nodiscard]] double held() const;

private:
    std::size_t count_ = 0;
    Contribution sum_;
};

/// @param quantile probability, clamped to 0.5 to 0.999999.
/// @return the number of standard deviations above its mean that a normal variable does not exceed with this probability.
[[nodiscard]] double normalDeviations(double quantile);

} // namespace daisystream
