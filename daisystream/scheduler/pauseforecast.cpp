#include "daisystream/scheduler/pauseforecast.h"

#include <algorithm>
#include <cmath>

namespace daisystream
{

namespace
{

constexpr double kMillisecondsPerSecond = 1000.0;
// Usual length of a slow period, which determines how often one begins. Engines state the fraction of slow periods only.
constexpr double kSlowPeriodSeconds = 0.6;

} // namespace

void SlownessDistribution::add(double slowness)
{
    const auto added = static_cast<float>(slowness);
    if (samples_.size() == kSamples) {
        const float oldest = samples_.front();
        samples_.pop_front();
        ascending_.erase(std::lower_bound(ascending_.begin(), ascending_.end(), oldest));
        sum_ -= oldest;
    }
    samples_.push_back(added);
    ascending_.insert(std::upper_bound(ascending_.begin(), ascending_.end(), added), added);
    sum_ += added;
}

double SlownessDistribution::mean() const
{
    return ascending_.empty() ? 1.0 : sum_ / static_cast<double>(ascending_.size());
}

double SlownessDistribution::fractionAtLeast(double slowness) const
{
    if (ascending_.empty()) {
        return 0;
    }
    const auto slow = ascending_.end() - std::lower_bound(ascending_.begin(), ascending_.end(), static_cast<float>(slowness));
    return static_cast<double>(slow) / static_cast<double>(ascending_.size());
}

double missProbability(double stepMilliseconds, double pace, double prefillSeconds, const SlownessDistribution &slowness, std::optional<double> current)
{
    if (pace <= 0 || stepMilliseconds <= 0) {
        return 0;
    }
    const double tolerated = kMillisecondsPerSecond / pace / stepMilliseconds; // Slowness up to which the pace is kept.
    if (tolerated <= 1 || (current && *current >= tolerated)) {
        return 1;
    }
    const double slow = slowness.fractionAtLeast(tolerated);
    if (slow <= 0 || slow >= 1) {
        return slow;
    }
    const double beginsPerSecond = slow / (1 - slow) / kSlowPeriodSeconds;
    return 1 - (current ? 1.0 : 1 - slow) * std::exp(-prefillSeconds * beginsPerSecond);
}

double expectedMisses(const PrefillLoad &load, const SlownessDistribution &slowness, std::optional<double> current)
{
    double misses = 0;
    for (const auto &[pace, answers] : load.answersByPace) {
        misses += answers * missProbability(load.stepMilliseconds, pace, load.prefillSeconds, slowness, current);
    }
    return misses;
}

} // namespace daisystream
