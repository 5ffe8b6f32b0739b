#pragma once

#include "daemon/status/logratelimiter.h"
#include "daisystream/base/clock.h"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>

/// @file
/// Asynchronous output of the log: one line for each event on standard output, as `time=… level=… vm=… KIND=NAME key=value…`.
///
/// Example:
/// @code
///   LogOutput output({.vm = settings.vm.value()}, clock);
///   LOG(INFO) << "event=started";
///   output.drain(std::chrono::milliseconds(200));
/// @endcode

namespace daisystream
{

/// Options of `LogOutput`.
struct LogOutputOptions
{
    std::string vm;                 ///< Id of the VM in each line; omitted if empty.
    std::FILE *file = stdout;       ///< Destination; must outlive the `LogOutput`.
    std::size_t queueLines = 1024;  ///< Maximum number of lines in the queue; a line has about 300 bytes.
    LogRateLimiterOptions limits{}; ///< Rate limits for each kind of line.
};

/// Receives all lines that are logged with glog during its lifetime. Lines are queued and written by a background thread, so that
/// logging never blocks. When the queue is full because the output is not read, the oldest queued lines are dropped and counted.
/// Thread-safe. At most one instance may exist at a time.
class LogOutput
{
public:
    /// @param clock for the rate limits; must outlive the object.
    LogOutput(const LogOutputOptions &options, const Clock &clock);

    /// Discards lines that are still queued.
    ~LogOutput();

    LogOutput(const LogOutput &) = delete;
    LogOutput &operator=(const LogOutput &) = delete;

    /// Waits until all queued lines are taken by the writer thread, at most for the time `longest`.
    void drain(std::chrono::milliseconds longest);

    /// @return the number of lines that were dropped because the queue was full.
    [[nodiscard]] std::uint64_t dropped() const;

    /// @return the number of lines that were suppressed by the rate limits.
    [[nodiscard]] std::uint64_t leftOut() const;

private:
    class Private;
    // Intentionally leaked by the destructor if the writer thread is blocked.
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
