#pragma once

#include "daisystream/base/clock.h"

#include <ctime>

/// @file
/// The daemon's clock.
///
/// Example:
/// @code
///   const BootClock clock;
///   const TimePoint now = clock.now();
/// @endcode

namespace daisystream
{

/// Time since the machine started, including the time for which it was suspended. Thread-safe.
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
