#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/random.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

/// @file
/// Virtual time for the schedules: events in order of their time, and the first violation of an invariant.
///
/// Example:
/// @code
///   EventQueue queue(seed);
///   queue.after(std::chrono::seconds(1), [] { ... });
///   queue.run(std::chrono::minutes(2));
/// @endcode

namespace daisystream::schedules
{

/// A process that can be killed and paused. Events that were sent to an incarnation wait while it is paused and are lost
/// with it.
struct Process
{
    std::uint64_t incarnation = 1;
    bool alive = true;
    TimePoint pausedUntil;
};

/// Events in virtual time. Not thread-safe.
class EventQueue
{
public:
    explicit EventQueue(std::uint64_t seed)
        : random(seed)
    {
    }

    [[nodiscard]] TimePoint now() const
    {
        return now_;
    }

    void after(Duration delay, std::function<void()> event)
    {
        // The count keeps events of the same time in the order of their posting.
        events_.emplace(std::pair(now_ + delay, ++posted_), std::move(event));
    }

    /// Posts to the process's present incarnation.
    void after(Duration delay, Process &process, std::function<void()> event)
    {
        postTo(delay, process, process.incarnation, std::move(event));
    }

    /// Runs the events until the time or until a violation; `check` follows each event.
    void run(Duration span, const std::function<void()> &check)
    {
        const TimePoint end = now_ + span;
        while (!violation && !events_.empty() && events_.begin()->first.first <= end) {
            const auto node = events_.extract(events_.begin());
            now_ = node.key().first;
            node.mapped()();
            check();
        }
        now_ = violation ? now_ : end;
    }

    /// Pauses a process; a pause does not shorten an earlier one.
    void pause(Process &process, Duration span) const
    {
        process.pausedUntil = std::max(process.pausedUntil, now_ + span);
    }

    /// Notes the first violation.
    void fail(const std::string &what)
    {
        if (!violation) {
            const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - kStart);
            violation = "at " + std::to_string(at.count()) + " ms: " + what;
        }
    }

    [[nodiscard]] bool chance(double probability)
    {
        return random.uniform() < probability;
    }

    /// @return a time in [low, high).
    [[nodiscard]] Duration between(Duration low, Duration high)
    {
        return low + std::chrono::duration_cast<Duration>((high - low) * random.uniform());
    }

    Random random;
    std::optional<std::string> violation;

private:
    void postTo(Duration delay, Process &process, std::uint64_t incarnation, std::function<void()> event)
    {
        after(delay, [this, &process, incarnation, event = std::move(event)]() mutable {
            if (!process.alive || process.incarnation != incarnation) {
                return;
            }
            if (now_ < process.pausedUntil) {
                postTo(process.pausedUntil - now_, process, incarnation, std::move(event));
                return;
            }
            event();
        });
    }

    static constexpr TimePoint kStart{std::chrono::hours(1)};

    TimePoint now_ = kStart;
    std::uint64_t posted_ = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
};

} // namespace daisystream::schedules
