#pragma once

#include "daisystream/base/clock.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

/// @file
/// Events in virtual time, in order of time and, at the same time, in order of insertion.
///
/// Example:
/// @code
///   queue.at(queue.now() + delay, [&] { deliver(message); });
///   while (queue.runOne(end)) { }
/// @endcode

namespace daisystream::bench
{

/// The event queue of a run. Not thread-safe.
class EventQueue
{
public:
    [[nodiscard]] TimePoint now() const
    {
        return now_;
    }

    /// Runs `action` at `time`, or at once after the current event if `time` has passed.
    void at(TimePoint time, std::function<void()> action)
    {
        heap_.push_back({std::max(time, now_), next_++, std::move(action)});
        std::push_heap(heap_.begin(), heap_.end(), later);
    }

    /// Runs the next event.
    /// @return false if there is none before `end`; the time is then `end`.
    bool runOne(TimePoint end)
    {
        if (heap_.empty() || heap_.front().time >= end) {
            now_ = end;
            return false;
        }
        std::pop_heap(heap_.begin(), heap_.end(), later);
        const Entry entry = std::move(heap_.back());
        heap_.pop_back();
        now_ = entry.time;
        entry.action();
        return true;
    }

private:
    struct Entry
    {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> action;
    };

    static bool later(const Entry &left, const Entry &right)
    {
        return left.time != right.time ? left.time > right.time : left.order > right.order;
    }

    std::vector<Entry> heap_;
    std::uint64_t next_ = 0;
    TimePoint now_{std::chrono::hours(1)};
};

} // namespace daisystream::bench
