#pragma once

#include "daisystream/base/clock.h"

#include <ctime>

/// @file
/// The monotonic clock that the daemon uses for all timing.
///
/// Example:
/// @code
///   const BootClock clock;
///   const TimePoint now = clock.now();
/// @endcode

namespace daisystream
{

/// Reads `CLOCK_BOOTTIME`: the time since the machine was booted, including time in suspend. Thread-safe.
class BootClock : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

} // namespace daisystream
