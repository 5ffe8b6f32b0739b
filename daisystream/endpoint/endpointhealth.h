#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/endpoint/endpointinfo.h"

#include <chrono>
#include <cstdint>
#include <optional>

/// @file
/// Decides whether an endpoint works: it loses new work when it is slow, when its reports are frozen or when first
/// tokens do not arrive, and gets work again, one request at a time, after a probe has brought a fresh report.
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
    std::chrono::milliseconds reportTimeout{2000};   ///< A report older than this is frozen.
    std::chrono::milliseconds probeInterval{1000};   ///< Between probes; doubles after each failed trial.
    std::chrono::milliseconds longestInterval{8000}; ///< Bound of the doubling.
    double slowFactor = 4.0;                         ///< A step this many times longer than usual counts as slow.
    std::uint32_t trials = 4;                        ///< First tokens in time that end the slow start.
};

/// Health of one endpoint. Thread-compatible.
class EndpointHealth
{
public:
    enum class Phase : std::uint8_t {
        Working,    ///< Receives work.
        Suspected,  ///< Receives nothing; probed.
        Recovering, ///< Receives one request at a time.
    };

    enum class Cause : std::uint8_t {
        None,
        Slow,
        FrozenReport,
        FirstTokenOverdue,
        Failed,
    };

    explicit EndpointHealth(EndpointHealthOptions options);

    /// @param slowness measured step time divided by the expected one; 0 if the report has no step time.
    /// @param ownRunning answers that the scheduler knows to be streaming there.
    void onReport(const LoadReport &report, double slowness, std::uint32_t ownRunning, TimePoint now);

    /// @param slowness time for own tokens at the endpoint divided by the expected time.
    void onOwnPace(double slowness, TimePoint now);

    void onFirstToken(TimePoint now);
    void onFirstTokenOverdue(TimePoint now);
    /// A request failed at the endpoint. A single failure may be the fault of the request.
    void onFailed(TimePoint now);

    /// Handles the passing of time; call it at `nextCheck`.
    /// @param reportsFail most endpoints have frozen reports, so the fault lies in the reporting: reports are ignored.
    /// @return whether a probe must be sent now.
    [[nodiscard]] bool check(TimePoint now, bool reportsFail);

    [[nodiscard]] std::optional<TimePoint> nextCheck() const;
    [[nodiscard]] bool accepts(std::uint32_t awaitingFirstToken) const;
    /// @return whether the endpoint has ever sent a load report.
    [[nodiscard]] bool reports() const;

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
    LoadReport last_;
    TimePoint freshAt_{}; // When the last report with news arrived.
    TimePoint probeAt_{};
    TimePoint probedAt_{};
    Duration interval_{};
    std::uint32_t slowSigns_ = 0;
    std::uint32_t successes_ = 0;
    std::uint32_t failures_ = 0; // Since the last first token.
};

/// @return the name of the cause, in the form of the log lines.
[[nodiscard]] const char *toString(EndpointHealth::Cause cause);

} // namespace daisystream
