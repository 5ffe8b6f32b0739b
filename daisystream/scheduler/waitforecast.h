#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <array>

/// @file
/// Forecasts how long a queued request waits, from the rate at which requests leave the queue.
///
/// Example:
/// @code
///   waits.dispatched(Rank::Urgent, now);
///   const double seconds = waits.seconds(Rank::Urgent, position, share, leastRate, now);
/// @endcode

namespace daisystream
{

/// Thread-compatible.
class WaitForecast
{
public:
    /// A request of the rank left the queue for an endpoint.
    void dispatched(Rank rank, TimePoint now);

    /// @param position of the request within its team's queue, 1 for the first.
    /// @param share of the rank's service that the team gets.
    /// @param leastRate rate in requests a second that is certain even if few requests left the queue recently.
    /// @return the expected wait in seconds.
    [[nodiscard]] double seconds(Rank rank, double position, double share, double leastRate, TimePoint now) const;

private:
    struct Rate
    {
        double perSecond = 0;
        TimePoint at{};

        [[nodiscard]] double value(TimePoint now) const;
    };

    std::array<Rate, 2> rates_;
};

} // namespace daisystream
