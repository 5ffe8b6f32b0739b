#include "daisystream/scheduler/waitforecast.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace daisystream
{

namespace
{

constexpr double kRateAverageSeconds = 3.0; // Time constant with which the dispatch rate is averaged.
constexpr double kMinRatePerSecond = 0.05;  // Bounds the forecast if no request was recordDispatch recently.

} // namespace

double WaitForecast::Rate::value(TimePoint now) const
{
    return perSecond * std::exp(-std::max(0.0, std::chrono::duration<double>(now - at).count()) / kRateAverageSeconds);
}

void WaitForecast::recordDispatch(Rank rank, TimePoint now)
{
    Rate &rate = rates_[static_cast<std::size_t>(rank)];
    rate.perSecond = rate.value(now) + 1.0 / kRateAverageSeconds;
    rate.at = now;
}

double WaitForecast::forecastSeconds(Rank rank, double position, double share, double minRate, TimePoint now) const
{
    const double rate = std::max({rates_[static_cast<std::size_t>(rank)].value(now), minRate, kMinRatePerSecond});
    return position / (rate * std::max(share, 1e-6));
}

} // namespace daisystream
