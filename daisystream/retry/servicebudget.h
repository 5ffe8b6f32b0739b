#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

/// @file
/// Retry budget of each service across all VMs, without messages between them: a VM uses an equal part of the fixed
/// allowance and, in addition, retries in proportion to its own requests.
///
/// Example:
/// @code
///   ServiceRetryBudget budget({.ratio = 0.2, .allowance = 58});
///   budget.setVms(4);
///   budget.onRequest(service, now);
///   if (budget.tryRetry(service, now)) { ... }
/// @endcode

namespace daisystream
{

struct ServiceRetryBudgetOptions
{
    double ratio = 0.2;                      ///< Retries allowed per request within the window.
    double allowance = 10;                   ///< Additional retries that all VMs together may make within the window.
    std::chrono::milliseconds window{10000}; ///< Sliding window over which requests and retries are counted.

    friend auto operator<=>(const ServiceRetryBudgetOptions &, const ServiceRetryBudgetOptions &) = default;
};

/// Part of one VM in the retry budgets of all services. Thread-compatible.
class ServiceRetryBudget
{
public:
    explicit ServiceRetryBudget(ServiceRetryBudgetOptions options);

    /// Sets among how many VMs the allowance is divided.
    /// @param count number of VMs that use the budget, including this one; 0 counts as 1.
    void setVms(std::size_t count);

    /// Counts a request of a caller.
    void onRequest(const ServiceId &service, TimePoint now);

    /// Takes one retry from the budget of the service if there is one left.
    /// @return whether a request may be sent to another endpoint of the service.
    [[nodiscard]] bool tryRetry(const ServiceId &service, TimePoint now);

private:
    struct Counts
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    Counts &countsOf(const ServiceId &service, TimePoint now);

    ServiceRetryBudgetOptions options_;
    std::size_t vms_ = 1;
    std::unordered_map<ServiceId, Counts> services_;
};

} // namespace daisystream
