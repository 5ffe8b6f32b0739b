#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

/// @file
/// Learns how long answers are, by team and model, and predicts how much is left of an answer in progress.
///
/// The distribution is kept as a hazard table: for each range of lengths, how many answers entered it and how many
/// ended in it. An answer that was cancelled counts as having entered its ranges without having ended, so that
/// interrupted answers do not bias the estimate. A team's table is blended with that of its model, and the model's
/// with a fixed prior; both age.
///
/// Example:
/// @code
///   LengthEstimator lengths(LengthEstimatorOptions{});
///   const auto profile = lengths.profileOf(team, model);
///   lengths.observe(profile, 420, true, now);
///   const double left = lengths.expectedRemaining(profile, 100, 4096);
/// @endcode

namespace daisystream
{

struct LengthEstimatorOptions
{
    double priorMedianTokens = 256;    ///< Median length before anything is known.
    double blendWeight = 8;            ///< Answers of a team that weigh as much as those of its model.
    double memoryAnswers = 400;        ///< Older answers fade as newer ones arrive.
    std::chrono::minutes halfLife{30}; ///< Answers also fade with time.
};

/// Thread-compatible.
class LengthEstimator
{
public:
    using Profile = std::uint32_t; ///< Names one pair of team and model.

    explicit LengthEstimator(LengthEstimatorOptions options);
    ~LengthEstimator();
    LengthEstimator(LengthEstimator &&) noexcept;
    LengthEstimator &operator=(LengthEstimator &&) noexcept;

    /// @return the profile of the pair; it is created on first use.
    [[nodiscard]] Profile profileOf(const TeamId &team, const ModelId &model);

    /// Records an answer.
    /// @param ended false if the answer was cut off, so that its full length is not known.
    void observe(Profile profile, std::uint32_t tokens, bool ended, TimePoint now);

    /// @return the probability that an answer with `from` tokens gets beyond `to` tokens.
    [[nodiscard]] double survival(Profile profile, double from, double to) const;

    /// @return the expected number of further tokens of an answer with `from` tokens.
    /// @param limit the length at which the answer is cut off.
    [[nodiscard]] double expectedRemaining(Profile profile, double from, double limit) const;

    /// @return the number of profiles held.
    [[nodiscard]] std::size_t profiles() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
