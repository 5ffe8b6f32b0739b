#pragma once

#include <chrono>

/// @file
/// Time as the decision library sees it. Library code never reads a clock by itself: the time is passed in.
///
/// Example:
/// @code
///   ManualClock clock;
///   clock.advance(std::chrono::seconds(5));
///   scheduler.decide(clock.now());
/// @endcode

namespace daisystream
{

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Source of the current time.
class Clock
{
public:
    virtual ~Clock() = default;

    /// @return the time since an arbitrary fixed start; never decreases and runs on while the VM is suspended.
    [[nodiscard]] virtual TimePoint now() const = 0;
};

/// A clock that tests advance by hand. Thread-compatible.
class ManualClock : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override
    {
        return now_;
    }

    /// Moves the clock forward.
    void advance(Duration by)
    {
        now_ += by;
    }

private:
    TimePoint now_{std::chrono::hours(1)}; // Not zero, so that a default time point lies in the past.
};

} // namespace daisystream
