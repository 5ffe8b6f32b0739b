#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/endpoint/endpointinfo.h"

#include <chrono>
#include <cstdint>
#include <optional>

/// @file
/// Decides whether an endpoint gets new work. It gets none after it was slow, its load reports showed no progress, a first
/// token was overdue or requests failed. After a probe has returned a report with progress, it gets one request at a time
/// until enough first tokens arrived in time.
///
/// Example:
/// @code
///   EndpointHealth health(EndpointHealthOptions{});
///   health.onReport(report, slowness, ownRunning, now);
///   if (health.check(now, ownRunning)) {
///       sendProbe();
///   }
///   if (health.accepts(awaitingFirstToken)) { ... }
/// @endcode

namespace daisystream
{

struct EndpointHealthOptions
{
    std::chrono::milliseconds reportTimeout{2000};    ///< Time without a report that shows progress after which the reports count as frozen.
    std::chrono::milliseconds probeInterval{1000};    ///< Time between probes; doubles each time a recovery fails.
    std::chrono::milliseconds maxProbeInterval{8000}; ///< Upper bound of the doubled interval.
    double slowFactor = 4.0;                          ///< Ratio of the measured to the expected time from which on an endpoint counts as slow.
    std::uint32_t recoveryFirstTokens = 4;            ///< Number of first tokens in time that end the recovery.
};

/// Health of one endpoint. Thread-compatible.
class EndpointHealth
{
public:
    enum class Phase : std::uint8_t {
        Working,    ///< Gets work without restriction.
        Suspected,  ///< Gets no work; is probed.
        Recovering, ///< Gets one request at a time until its first token.
    };

    /// Why an endpoint was last suspected.
    enum class Cause : std::uint8_t {
        None,              ///< It has not been suspected, or has recovered.
        Slow,              ///< Decode steps or own tokens took too long.
        FrozenReport,      ///< Its load reports are missing or show no progress.
        FirstTokenOverdue, ///< A first token did not arrive in time.
        Failed,            ///< Requests failed.
    };

    explicit EndpointHealth(EndpointHealthOptions options);

    /// Handles a load report; one that is not newer than the last is ignored.
    /// @param slowness measured step time divided by the expected step time; 0 if the report has no step time.
    /// @param ownRunning number of answers of this scheduler that stream from the endpoint.
    void onReport(const LoadReport &report, double slowness, std::uint32_t ownRunning, TimePoint now);

    /// Handles a measurement of the tokens that this scheduler received from the endpoint.
    /// @param slowness measured time for these tokens divided by the expected time.
    void onSlownessMeasured(double slowness, TimePoint now);

    /// Handles a first token that arrived; ends the recovery after enough of them.
    void onFirstToken(TimePoint now);

    /// Handles a first token that did not arrive in time.
    void onFirstTokenOverdue(TimePoint now);

    /// Handles a request that failed at the endpoint. A single failure may be caused by the request, so the endpoint is
    /// suspected after the second one in succession, or after the first one during a recovery.
    void onFailed(TimePoint now);

    /// Suspects the endpoint if its reports are frozen, and schedules probes. Call it at `nextCheck`.
    /// @param reportsUnreliable whether most endpoints have frozen reports. The cause is then the reporting and not the endpoints,
    ///     so frozen reports are ignored.
    /// @return whether the caller must send a probe now.
    [[nodiscard]] bool check(TimePoint now, bool reportsUnreliable);

    /// @return when to call `check` next; nothing if the endpoint is not suspected and has never sent a report.
    [[nodiscard]] std::optional<TimePoint> nextCheck() const;

    /// @param awaitingFirstToken number of requests at the endpoint that have no first token yet.
    /// @return whether the endpoint may get another request.
    [[nodiscard]] bool accepts(std::uint32_t awaitingFirstToken) const;

    /// @return whether the endpoint has ever sent a load report.
    [[nodiscard]] bool hasReported() const;

    /// @return whether the endpoint has sent reports, but none with progress within the report timeout.
    [[nodiscard]] bool hasFrozenReport(TimePoint now) const;
    [[nodiscard]] Phase phase() const;
    [[nodiscard]] Cause cause() const;

private:
    void suspect(Cause cause, TimePoint now);
    void recover();

    EndpointHealthOptions options_;
    Phase phase_ = Phase::Working;
    Cause cause_ = Cause::None;
    bool reported_ = false;
    LoadReport lastReport_;
    TimePoint progressAt_{}; // When the last report arrived that showed progress or an idle endpoint.
    TimePoint nextProbeAt_{};
    TimePoint lastProbeAt_{};
    Duration probeInterval_{};
    std::uint32_t consecutiveSlow_ = 0;
    std::uint32_t successes_ = 0; // First tokens since the recovery began.
    std::uint32_t failures_ = 0;  // Since the last first token.
};

/// @return the name of the cause in log lines.
[[nodiscard]] const char *toString(EndpointHealth::Cause cause);

} // namespace daisystream
