#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/random.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

/// @file
/// Bounds on retries: a budget in proportion to recent requests, and waits with full jitter.
///
/// Example:
/// @code
///   RetryBudget budget(RetryBudgetOptions{});
///   budget.onRequest(team, now);
///   if (budget.tryRetry(team, now)) {
///       retryAfter(backoff.delay(attempt, random));
///   }
/// @endcode

namespace daisystream
{

struct RetryBudgetOptions
{
    double share = 0.10;             ///< Retries for each recent request.
    std::chrono::seconds window{10}; ///< Time over which requests count as recent; unused retries lapse with them.
    /// Retries that a team may make in advance, so that a team with few requests can retry at all.
    double teamAllowance = 1;
    double vmAllowance = 3;               ///< The same for the VM.
    std::chrono::minutes forgetAfter{10}; ///< A team without requests for this long starts anew.
};

/// Retry budget of one VM and each of its teams. A retry needs room in both. Thread-compatible.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options);
    ~RetryBudget();
    RetryBudget(RetryBudget &&) noexcept;
    RetryBudget &operator=(RetryBudget &&) noexcept;

    /// Counts a first attempt.
    void onRequest(const TeamId &team, TimePoint now);

    /// @return whether a retry is allowed; it is then counted.
    [[nodiscard]] bool tryRetry(const TeamId &team, TimePoint now);

    /// @return the number of teams remembered.
    [[nodiscard]] std::size_t teams() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

/// Exponential back-off with full jitter: each wait is uniform between zero and a bound that doubles.
class Backoff
{
public:
    /// @param first bound of the wait before the first retry.
    /// @param longest bound of all waits.
    Backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest);

    /// @param attempt number of the retry, from 0.
    [[nodiscard]] Duration delay(std::uint32_t attempt, Random &random) const;

private:
    std::chrono::milliseconds first_;
    std::chrono::milliseconds longest_;
};

} // namespace daisystream
