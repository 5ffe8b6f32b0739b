#include "daisystream/admission/memoryforecast.h"

#include <boost/math/distributions/normal.hpp>

#include <algorithm>
#include <cmath>

namespace daisystream
{

MemoryForecast::Contribution MemoryForecast::contribution(
    const LengthEstimator &lengths, LengthEstimator::Profile profile, std::uint32_t promptTokens, std::uint32_t generatedTokens, double limit)
{
    Contribution result;
    for (std::size_t i = 0; i < kSteps.size(); ++i) {
        const double length = generatedTokens + kSteps[i];
        const double runningProbability = length >= limit && i > 0 ? 0.0 : lengths.survival(profile, generatedTokens, length);
        const double tokensIfRunning = promptTokens + length;
        result.mean[i] = runningProbability * tokensIfRunning;
        result.variance[i] = runningProbability * (1.0 - runningProbability) * tokensIfRunning * tokensIfRunning;
    }
    return result;
}

void MemoryForecast::add(const Contribution &contribution)
{
    ++count_;
    for (std::size_t i = 0; i < kSteps.size(); ++i) {
        sum_.mean[i] += contribution.mean[i];
        sum_.variance[i] += contribution.variance[i];
    }
}

void MemoryForecast::remove(const Contribution &contribution)
{
    --count_;
    if (count_ == 0) {
        sum_ = Contribution{}; // Clears the rounding errors that additions and subtractions leave.
        return;
    }
    for (std::size_t i = 0; i < kSteps.size(); ++i) {
        sum_.mean[i] -= contribution.mean[i];
        sum_.variance[i] = std::max(0.0, sum_.variance[i] - contribution.variance[i]);
    }
}

double MemoryForecast::peakWith(const Contribution &extra, double deviations) const
{
    double peak = 0;
    for (std::size_t i = 0; i < kSteps.size(); ++i) {
        const double mean = sum_.mean[i] + extra.mean[i];
        const double variance = sum_.variance[i] + extra.variance[i];
        peak = std::max(peak, mean + deviations * std::sqrt(variance));
    }
    return peak;
}

double MemoryForecast::overflowProbability(const Contribution &extra, double capacity) const
{
    double largest = 0;
    for (std::size_t i = 0; i < kSteps.size(); ++i) {
        const double margin = capacity - sum_.mean[i] - extra.mean[i];
        const double deviation = std::sqrt(sum_.variance[i] + extra.variance[i]);
        const double probability = deviation > 0 ? 0.5 * std::erfc(margin / deviation / std::sqrt(2.0)) : (margin < 0 ? 1.0 : 0.0);
        largest = std::max(largest, probability);
    }
    return largest;
}

double MemoryForecast::peak(double deviations) const
{
    return peakWith(Contribution{}, deviations);
}

double MemoryForecast::held() const
{
    return sum_.mean[0];
}

double normalDeviations(double quantile)
{
    return boost::math::quantile(boost::math::normal(), std::clamp(quantile, 0.5, 0.999999));
}

} // namespace daisystream
