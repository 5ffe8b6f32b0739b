#include "daisystream/scheduler/waitforecast.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace daisystream
{

namespace
{

constexpr double kRateSeconds = 3.0;   // Time over which the rate is averaged.
constexpr double kSmallestRate = 0.05; // Requests a second; bounds the forecast when nothing is known.

} // namespace

double WaitForecast::Rate::value(TimePoint now) const
{
    return perSecond * std::exp(-std::max(0.0, std::chrono::duration<double>(now - at).count()) / kRateSeconds);
}

void WaitForecast::dispatched(Rank rank, TimePoint now)
{
    Rate &rate = rates_[static_cast<std::size_t>(rank)];
    rate.perSecond = rate.value(now) + 1.0 / kRateSeconds;
    rate.at = now;
}

double WaitForecast::seconds(Rank rank, double position, double share, double leastRate, TimePoint now) const
{
    const double rate = std::max({rates_[static_cast<std::size_t>(rank)].value(now), leastRate, kSmallestRate});
    return position / (rate * std::max(share, 1e-6));
}

} // namespace daisystream
