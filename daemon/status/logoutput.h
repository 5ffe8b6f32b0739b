#pragma once

#include "daemon/status/linelimiter.h"
#include "daisystream/base/clock.h"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>

/// @file
/// Where the log goes: one line for each event on standard output, as `time=… level=… vm=… KIND=NAME key=value…`.
///
/// Example:
/// @code
///   LogOutput output({.vm = settings.vm.value()}, clock);
///   LOG(INFO) << "event=started";
///   output.drain(std::chrono::milliseconds(200));
/// @endcode

namespace daisystream
{

struct LogOutputOptions
{
    std::string vm;                ///< Named in each line; empty: left out.
    std::FILE *file = stdout;      ///< Must outlive the output.
    std::size_t queueLines = 1024; ///< Lines that wait to be written, some 300 bytes each.
    LineLimiterOptions limits{};
};

/// Takes over all lines of glog while it lives. A line is queued, never written by the thread that logs it; when nobody
/// reads the output, the oldest lines that wait are dropped and counted. Thread-safe; one at a time.
class LogOutput
{
public:
    LogOutput(const LogOutputOptions &options, const Clock &clock);

    /// Drops what waits.
    ~LogOutput();

    LogOutput(const LogOutput &) = delete;
    LogOutput &operator=(const LogOutput &) = delete;

    /// Waits until all lines are written, at most for the given time.
    void drain(std::chrono::milliseconds longest);

    /// @return lines that were dropped because they could not be written in time.
    [[nodiscard]] std::uint64_t dropped() const;

    /// @return lines that were left out because there were too many of their kind.
    [[nodiscard]] std::uint64_t leftOut() const;

private:
    class Private;
    // Leaked on purpose if its writer is stuck: see the destructor.
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
