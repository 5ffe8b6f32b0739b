#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// @file
/// Counters of one daemon, in the text format of scrapers.
///
/// Example:
/// @code
///   Counter &refused = metrics.counter("daisystream_refused_total", "Refused requests.", {{"code", "203"}});
///   refused.add(1);
/// @endcode

namespace daisystream
{

/// Labels of one series, in the order in which they are printed.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// A sum that only rises. Thread-safe.
class Counter
{
public:
    /// Adds to the sum.
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

/// A value that rises and falls. Thread-safe.
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
    /// @param seconds measured.
    void observe(double seconds);

    /// @return upper bounds of the buckets in seconds; one more bucket has no bound.
    [[nodiscard]] static const std::vector<double> &bounds();

    /// @return how many durations fell into a bucket.
    [[nodiscard]] std::uint64_t count(std::size_t bucket) const;

    /// @return sum of all durations in seconds.
    [[nodiscard]] double sum() const;

private:
    std::vector<std::atomic<std::uint64_t>> buckets_;
    std::atomic<std::uint64_t> sumMicroseconds_{0};
};

/// All series of a daemon. Thread-safe; the references that it returns stay valid for its lifetime.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// @return the series of this name and labels, created at the first call.
    [[nodiscard]] Counter &counter(std::string_view name, std::string_view help, const Labels &labels = {});
    [[nodiscard]] Gauge &gauge(std::string_view name, std::string_view help, const Labels &labels = {});
    [[nodiscard]] Histogram &histogram(std::string_view name, std::string_view help, const Labels &labels = {});

    /// @return all series in the text format of scrapers.
    [[nodiscard]] std::string text() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
