#pragma once

#include <chrono>

/// @file
/// The time types of the decision library and the interface of its clocks. Library code never reads the system clock:
/// the current time is passed in as an argument, so that tests and simulations control it.
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

    /// @return the current time, relative to an arbitrary fixed start. It never decreases, and it continues to advance while
    ///     the VM is suspended.
    [[nodiscard]] virtual TimePoint now() const = 0;
};

/// A clock for tests that changes only when advance() is called. Thread-compatible.
class ManualClock : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override
    {
        return now_;
    }

    void advance(Duration by)
    {
        now_ += by;
    }

private:
    TimePoint now_{std::chrono::hours(1)}; // Not zero, so that a default-constructed time point lies in the past.
};

} // namespace daisystream
