#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/random.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

/// @file
/// Limits retries: by a budget in proportion to the recent requests, and by exponential backoff with full jitter.
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
    double share = 0.10;             ///< Retries allowed per recent request.
    std::chrono::seconds window{10}; ///< Decay time of the count of recent requests. Unused retries are lost with them.
    /// Initial balance of a team, and its maximum while `share` of the recent requests is less; lets a team with few requests
    /// retry.
    double teamAllowance = 1;
    double vmAllowance = 3;                    ///< The same for the sum over all teams of the VM.
    std::chrono::minutes idleTeamLifetime{10}; ///< Time without requests after which the state of a team is removed.
};

/// Retry budgets of one VM and of each team on it. A retry is taken from both. Thread-compatible.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options);
    ~RetryBudget();
    RetryBudget(RetryBudget &&) noexcept;
    RetryBudget &operator=(RetryBudget &&) noexcept;

    /// Counts a request, but not its retries.
    void onRequest(const TeamId &team, TimePoint now);

    /// Takes one retry from the budgets of the team and the VM if both have one left.
    /// @return whether the retry is allowed.
    [[nodiscard]] bool tryRetry(const TeamId &team, TimePoint now);

    /// @return the number of teams with stored state.
    [[nodiscard]] std::size_t teams() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

/// Exponential backoff with full jitter: each delay is uniformly distributed between zero and a bound that doubles.
class Backoff
{
public:
    /// @param first upper bound of the delay before the first retry.
    /// @param longest upper bound of all delays.
    Backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest);

    /// @param attempt number of the retry, from 0.
    /// @return a random delay to wait before this retry.
    [[nodiscard]] Duration delay(std::uint32_t attempt, Random &random) const;

private:
    std::chrono::milliseconds first_;
    std::chrono::milliseconds longest_;
};

} // namespace daisystream
