#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

/// @file
/// One retry budget for each service that all VMs share without talking: each VM spends an equal part of the fixed
/// allowance, and its own part of what grows with the requests.
///
/// Example:
/// @code
///   ServiceRetryBudget budget({.ratio = 0.2, .allowance = 58});
///   budget.setVms(4);
///   budget.onRequest(service, now);
///   if (budget.tryRepeat(service, now)) { ... }
/// @endcode

namespace daisystream
{

struct ServiceRetryBudgetOptions
{
    double ratio = 0.2;    ///< Repeats for each request within the window.
    double allowance = 10; ///< Repeats within the window that all VMs together may make beside that.
    std::chrono::milliseconds window{10000};

    friend auto operator<=>(const ServiceRetryBudgetOptions &, const ServiceRetryBudgetOptions &) = default;
};

/// Thread-compatible.
class ServiceRetryBudget
{
public:
    explicit ServiceRetryBudget(ServiceRetryBudgetOptions options);

    /// @param count of the VMs that may spend the budget, this one included; at least 1.
    void setVms(std::size_t count);

    /// Counts a request of a caller.
    void onRequest(const ServiceId &service, TimePoint now);

    /// @return whether a request may be sent to a further endpoint of the service; it is then counted.
    [[nodiscard]] bool tryRepeat(const ServiceId &service, TimePoint now);

private:
    struct Counts
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
    };

    Counts &countsOf(const ServiceId &service, TimePoint now);

    ServiceRetryBudgetOptions options_;
    std::size_t vms_ = 1;
    std::unordered_map<ServiceId, Counts> services_;
};

} // namespace daisystream
