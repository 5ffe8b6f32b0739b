#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

/// @file
/// Estimates the distribution of answer lengths by team and model, and predicts how many tokens are left of an answer in progress.
///
/// The distribution is kept as a table of hazard rates: for each bucket of lengths, the number of answers that reached it and the
/// number that ended in it. An answer that was cut off counts as having reached its buckets without having ended, so that cut-off
/// answers do not bias the estimate. The table of the model is the prior of a team's table, and a fixed distribution is the prior
/// of the model's. The counts in both tables decay.
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

/// Parameters of `LengthEstimator`.
struct LengthEstimatorOptions
{
    double priorMedianTokens = 256;    ///< Median length of the fixed prior.
    double priorWeightAnswers = 8;     ///< Weight of a prior, in answers: with this many own answers, a table and its prior count equally.
    double decayAnswers = 400;         ///< Number of newer answers after which the weight of an answer has decayed to about 1/e.
    std::chrono::minutes halfLife{30}; ///< Time after which the weight of an answer has decayed to one half; in addition to the decay by newer answers.
};

/// Estimator of answer lengths. Thread-compatible.
class LengthEstimator
{
public:
    using Profile = std::uint32_t; ///< Identifies a pair of team and model.

    explicit LengthEstimator(LengthEstimatorOptions options);
    ~LengthEstimator();
    LengthEstimator(LengthEstimator &&) noexcept;
    LengthEstimator &operator=(LengthEstimator &&) noexcept;

    /// @return the profile of a team and a model; it is created on first use.
    [[nodiscard]] Profile profileOf(const TeamId &team, const ModelId &model);

    /// Records the length of an answer.
    /// @param tokens number of tokens that were generated.
    /// @param ended whether the answer is complete; false if it was cut off, so that its full length is not known.
    void observe(Profile profile, std::uint32_t tokens, bool ended, TimePoint now);

    /// @return the probability that an answer that has `from` tokens becomes longer than `to` tokens.
    [[nodiscard]] double survival(Profile profile, double from, double to) const;

    /// @param from number of tokens that the answer has already.
    /// @param limit length in tokens at which the answer is cut off.
    /// @return the expected number of further tokens, at least 1.
    [[nodiscard]] double expectedRemaining(Profile profile, double from, double limit) const;

    /// @return the number of profiles that were created.
    [[nodiscard]] std::size_t profiles() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
