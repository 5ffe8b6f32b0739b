#pragma once

#include "daisystream/base/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// @file
/// Figures of a run and their summary over seeds.
///
/// Example:
/// @code
///   Quantiles gaps;
///   gaps.add(0.029);
///   figures["urgent token gap p99 ms"] = 1000 * gaps.at(0.99);
/// @endcode

namespace daisystream::bench
{

/// Named figures of one run.
using Figures = std::map<std::string, double>;

/// Quantiles of positive values with a relative error of 1%, in constant memory.
class Quantiles
{
public:
    void add(double value);

    /// @return the value below which `share` of all values lie; 0 without values.
    [[nodiscard]] double at(double share) const;

    [[nodiscard]] std::uint64_t count() const
    {
        return count_;
    }

private:
    static constexpr std::size_t kBuckets = 3000;
    std::array<std::uint32_t, kBuckets> buckets_{};
    std::uint64_t count_ = 0;
};

/// @return Jain's fairness index, 1 if all are equal; 1 without values.
[[nodiscard]] double jainIndex(const std::vector<double> &values);

/// Figures of the same run over several seeds.
struct Summary
{
    std::size_t count = 0;
    double least = 0;
    double median = 0;
    double most = 0;
};

[[nodiscard]] Summary summarize(std::vector<double> values);

} // namespace daisystream::bench
