#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/routes/routetable.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>

/// @file
/// Decides which requests a VM that shuts down may still begin: those that it can answer completely before its process ends.
///
/// An answer that has begun cannot be handed to another VM, because the caller's connection ends here, so that one that is begun too
/// late is lost. A request that is refused as not run can be served by another VM at once.
///
/// Example:
/// @code
///   ShutdownAdmission admission;
///   admission.onAnswer(route, untilFirstEvent, timePerEvent);
///   admission.begin({.handoverEnd = now + 2500ms, .lastAnswer = now + 7500ms});
///   if (!admission.canServe(request, now)) { ... } // Refuse the request as not run.
/// @endcode

namespace daisystream
{

/// Moments of a shutdown.
struct ShutdownTimes
{
    TimePoint handoverEnd{}; ///< Until then, a caller that is refused may be sent to this VM again.
    TimePoint lastAnswer{};  ///< Every request must have its final response by then.

    friend auto operator<=>(const ShutdownTimes &, const ShutdownTimes &) = default;
};

/// What a decision needs to know about a request.
struct ShutdownRequest
{
    RouteName route{};
    RequestKind kind{};
    TimePoint arrival{};
    TimePoint deadline{};        ///< The request gets its final response by then in any case.
    Duration goal{};             ///< As in `Route::goal`.
    std::uint64_t maxEvents = 0; ///< Largest number of events of the answer; 0 if unknown.

    friend auto operator<=>(const ShutdownRequest &, const ShutdownRequest &) = default;
};

/// Times that requests of one route have taken at their endpoints.
struct RouteTimes
{
    Duration first{}; ///< Until the response to a call, or until the first event of an answer.
    Duration gap{};   ///< Between two events of an answer, on average over the answer.

    friend auto operator<=>(const RouteTimes &, const RouteTimes &) = default;
};

/// Learns how long requests take, and decides by that while the VM shuts down. Thread-compatible.
class ShutdownAdmission
{
public:
    /// Records a call that was answered.
    /// @param took time from the sending to the response.
    void onCall(const RouteName &route, Duration took);

    /// Records an answer that was completed.
    /// @param untilFirst time from the sending to the first event.
    /// @param gap average time between two events.
    void onAnswer(const RouteName &route, Duration untilFirst, Duration gap);

    /// @return times that most of the recent requests of a route did not exceed, nothing if there were none.
    [[nodiscard]] std::optional<RouteTimes> recentTimes(const RouteName &route) const;

    /// Must be called when the shutdown begins.
    void begin(const ShutdownTimes &times);

    /// @return whether the request may begin now. Before the shutdown, every request may.
    ///
    /// A request whose deadline comes before the last answer always may. Else, a call needs the time that calls of its route took
    /// recently, at least two seconds. An answer needs the time after which it is late by the objectives of its route; a resumable one that
    /// could be refused only to come back needs just the time that answers took recently.
    [[nodiscard]] bool canServe(const ShutdownRequest &request, TimePoint now) const;

private:
    [[nodiscard]] bool canFinish(const AnswerStream &kind, const ShutdownRequest &request, TimePoint now) const;
    void record(const RouteName &route, const RouteTimes &times);

    std::map<RouteName, RouteTimes> times_;
    std::optional<ShutdownTimes> shutdown_;
};

} // namespace daisystream
