#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// @file
/// Metrics of one daemon, which are exported in the Prometheus text format.
///
/// Example:
/// @code
///   Counter &refused = metrics.counter("daisystream_refused_total", "Refused requests.", {{"code", "203"}});
///   refused.add(1);
/// @endcode

namespace daisystream
{

/// Names and values of the labels of one time series, in the order in which they are exported.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// A value that only increases. Thread-safe.
class Counter
{
public:
    /// Increases the value.
    void add(std::uint64_t amount)
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A value that can increase and decrease. Thread-safe.
class Gauge
{
public:
    void set(double value)
    {
        value_.store(value, std::memory_order_relaxed);
    }

    [[nodiscard]] double value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> value_{0};
};

/// Counts durations in fixed buckets from 1 ms to 60 s. Thread-safe.
class Histogram
{
public:
    Histogram();

    /// Counts one duration.
    /// @param seconds the duration in seconds.
    void observe(double seconds);

    /// @return the inclusive upper bounds of the buckets in seconds. There is one more bucket for all longer durations.
    [[nodiscard]] static const std::vector<double> &bounds();

    /// @return the number of durations in one bucket, without those in lower buckets.
    /// @param bucket index into `bounds`, or its size for the last bucket.
    [[nodiscard]] std::uint64_t count(std::size_t bucket) const;

    /// @return the sum of all durations in seconds.
    [[nodiscard]] double sum() const;

private:
    std::vector<std::atomic<std::uint64_t>> buckets_;
    std::atomic<std::uint64_t> sumMicroseconds_{0};
};

/// All time series of a daemon. Thread-safe. Returned references stay valid for the lifetime of the object.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// @param help description of the metric for the export.
    /// @return the time series with this name and these labels, which is created at the first call. A name must always be used
    ///     with the same one of the three functions.
    [[nodiscard]] Counter &counter(std::string_view name, std::string_view help, const Labels &labels = {});
    [[nodiscard]] Gauge &gauge(std::string_view name, std::string_view help, const Labels &labels = {});
    [[nodiscard]] Histogram &histogram(std::string_view name, std::string_view help, const Labels &labels = {});

    /// @return all time series in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
