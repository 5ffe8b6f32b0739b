#include "daisystream/scheduler/pauseforecast.h"

#include <algorithm>

namespace daisystream
{

namespace
{

constexpr double kMillisecondsPerSecond = 1000.0;

} // namespace

void SlownessDistribution::add(double slowness)
{
    samples_[count_ % kSamples] = static_cast<float>(slowness);
    ++count_;
}

double SlownessDistribution::fractionAtLeast(double slowness) const
{
    const auto known = static_cast<std::ptrdiff_t>(std::min(count_, kSamples));
    if (known == 0) {
        return 0;
    }
    const auto slow = std::count_if(samples_.begin(), samples_.begin() + known, [slowness](float sample) { return sample >= slowness; });
    return static_cast<double>(slow) / static_cast<double>(known);
}

double missProbability(double stepMilliseconds, double pace, const SlownessDistribution &slowness, std::optional<double> current)
{
    if (pace <= 0 || stepMilliseconds <= 0) {
        return 0;
    }
    const double tolerated = kMillisecondsPerSecond / pace / stepMilliseconds; // Slowness up to which the pace is kept.
    if (tolerated <= 1 || (current && *current >= tolerated)) {
        return 1;
    }
    return slowness.fractionAtLeast(tolerated);
}

double expectedMisses(const PrefillLoad &load, const SlownessDistribution &slowness, std::optional<double> current)
{
    double misses = 0;
    for (const auto &[pace, answers] : load.answersByPace) {
        misses += answers * missProbability(load.stepMilliseconds, pace, slowness, current);
    }
    return misses;
}

} // namespace daisystream
