#include "bench/figures.h"

#include <algorithm>
#include <cmath>

namespace daisystream::bench
{
namespace
{

constexpr double kLeast = 1e-7;
const double kGrowth = std::log(1.01);

} // namespace

void Quantiles::add(double value)
{
    const double bucket = value <= kLeast ? 0 : std::log(value / kLeast) / kGrowth;
    ++buckets_[std::min(static_cast<std::size_t>(bucket), kBuckets - 1)];
    ++count_;
}

double Quantiles::at(double share) const
{
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < kBuckets; ++i) {
        below += buckets_[i];
        if (count_ > 0 && static_cast<double>(below) >= share * static_cast<double>(count_)) {
            return kLeast * std::exp(kGrowth * (static_cast<double>(i) + 0.5));
        }
    }
    return 0;
}

double jainIndex(const std::vector<double> &values)
{
    double sum = 0;
    double squares = 0;
    for (const double value : values) {
        sum += value;
        squares += value * value;
    }
    return squares == 0 ? 1 : sum * sum / (static_cast<double>(values.size()) * squares);
}

Summary summarize(std::vector<double> values)
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    return {values.size(), values.front(), values[values.size() / 2], values.back()};
}

} // namespace daisystream::bench
