#include "daisystream/endpoint/endpointhealth.h"

#include <algorithm>

namespace daisystream
{

namespace
{

// Consecutive slow measurements after which an endpoint is suspected. A single long step may be caused by a long prompt.
constexpr std::uint32_t kSlowMeasurementsToSuspect = 2;
// Failed requests without a first token in between after which the endpoint, not the requests, is assumed to be the cause.
constexpr std::uint32_t kFailuresToSuspect = 2;

} // namespace

EndpointHealth::EndpointHealth(EndpointHealthOptions options)
    : options_(options)
    , probeInterval_(options.probeInterval)
{
}

void EndpointHealth::onReport(const LoadReport &report, double slowness, std::uint32_t ownRunning, TimePoint now)
{
    if (reported_ && report.measuredAt <= lastReport_.measuredAt) {
        return; // Repeated or outdated report.
    }
    // A report without new tokens while answers run counts as frozen, even if its time stamp is new.
    const bool busy = report.running > 0 || ownRunning > 0;
    const bool progressed = !reported_ || report.generatedTokens != lastReport_.generatedTokens;
    if (progressed || !busy) {
        progressAt_ = now;
    }
    reported_ = true;
    lastReport_ = report;
    if (phase_ == Phase::Suspected) {
        const bool hasProgress = progressAt_ == now && report.measuredAt > lastProbeAt_;
        if (hasProgress && slowness < options_.slowFactor) {
            recover();
        }
        return;
    }
    if (slowness > 0) {
        onSlownessMeasured(slowness, now);
    }
}

void EndpointHealth::onSlownessMeasured(double slowness, TimePoint now)
{
    if (phase_ == Phase::Suspected) {
        return;
    }
    consecutiveSlow_ = slowness >= options_.slowFactor ? consecutiveSlow_ + 1 : 0;
    if (consecutiveSlow_ >= kSlowMeasurementsToSuspect) {
        suspect(Cause::Slow, now);
    }
}

void EndpointHealth::onFirstToken(TimePoint)
{
    failures_ = 0;
    if (phase_ != Phase::Recovering || ++successes_ < options_.recoveryFirstTokens) {
        return;
    }
    phase_ = Phase::Working;
    cause_ = Cause::None;
    probeInterval_ = options_.probeInterval;
}

void EndpointHealth::onFirstTokenOverdue(TimePoint now)
{
    if (phase_ != Phase::Suspected) {
        suspect(Cause::FirstTokenOverdue, now);
    }
}

void EndpointHealth::onFailed(TimePoint now)
{
    // During a recovery one failure suffices, because the endpoint was suspected before.
    if (phase_ != Phase::Suspected && (++failures_ >= kFailuresToSuspect || phase_ == Phase::Recovering)) {
        suspect(Cause::Failed, now);
    }
}

bool EndpointHealth::check(TimePoint now, bool reportsUnreliable)
{
    if (phase_ != Phase::Suspected && hasFrozenReport(now) && !reportsUnreliable) {
        suspect(Cause::FrozenReport, now);
    }
    if (phase_ != Phase::Suspected) {
        return false;
    }
    if (reportsUnreliable && cause_ == Cause::FrozenReport) {
        recover();
        return false;
    }
    if (now < nextProbeAt_) {
        return false;
    }
    lastProbeAt_ = now;
    nextProbeAt_ = now + probeInterval_;
    return true;
}

std::optional<TimePoint> EndpointHealth::nextCheck() const
{
    if (phase_ == Phase::Suspected) {
        return nextProbeAt_;
    }
    return reported_ ? std::optional(progressAt_ + options_.reportTimeout) : std::nullopt;
}

bool EndpointHealth::accepts(std::uint32_t awaitingFirstToken) const
{
    return phase_ == Phase::Working || (phase_ == Phase::Recovering && awaitingFirstToken == 0);
}

bool EndpointHealth::hasReported() const
{
    return reported_;
}

bool EndpointHealth::hasFrozenReport(TimePoint now) const
{
    return reported_ && now - progressAt_ >= options_.reportTimeout;
}

EndpointHealth::Phase EndpointHealth::phase() const
{
    return phase_;
}

EndpointHealth::Cause EndpointHealth::cause() const
{
    return cause_;
}

void EndpointHealth::suspect(Cause cause, TimePoint now)
{
    if (phase_ == Phase::Recovering) {
        probeInterval_ = std::min<Duration>(probeInterval_ * 2, options_.maxProbeInterval);
    }
    phase_ = Phase::Suspected;
    cause_ = cause;
    consecutiveSlow_ = 0;
    // Frozen reports are probed at once. For the other causes reports do arrive, so the first probe waits for the interval.
    nextProbeAt_ = cause == Cause::FrozenReport ? now : now + probeInterval_;
    lastProbeAt_ = now;
}

void EndpointHealth::recover()
{
    phase_ = Phase::Recovering;
    successes_ = 0;
    consecutiveSlow_ = 0;
    failures_ = 0;
}

const char *toString(EndpointHealth::Cause cause)
{
    switch (cause) {
    case EndpointHealth::Cause::None:
        return "none";
    case EndpointHealth::Cause::Slow:
        return "slow";
    case EndpointHealth::Cause::FrozenReport:
        return "frozenReport";
    case EndpointHealth::Cause::FirstTokenOverdue:
        return "firstTokenOverdue";
    case EndpointHealth::Cause::Failed:
        break;
    }
    return "failed";
}

} // namespace daisystream
