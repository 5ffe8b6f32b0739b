#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <array>

/// @file
/// Forecasts how long a queued request waits, based on the recent rate at which requests of its rank left the queue.
///
/// Example:
/// @code
///   forecast.recordDispatch(Rank::Urgent, now);
///   const double wait = forecast.forecastSeconds(Rank::Urgent, position, share, minRate, now);
/// @endcode

namespace daisystream
{

/// Wait forecast for the queue of one model. Thread-compatible.
class WaitForecast
{
public:
    /// Records that a request of the rank was assigned to an endpoint.
    void recordDispatch(Rank rank, TimePoint now);

    /// Forecasts the wait of one request.
    /// @param position position of the request within its team's queue, 1 for the first.
    /// @param share share of the rank's service that the team gets, from 0 to 1.
    /// @param minRate lower bound of the dispatch rate in requests per second, for times in which few requests left the queue.
    /// @return the expected wait, in seconds.
    [[nodiscard]] double forecastSeconds(Rank rank, double position, double share, double minRate, TimePoint now) const;

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
