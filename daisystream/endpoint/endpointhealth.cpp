#include "daisystream/endpoint/endpointhealth.h"

#include <algorithm>

namespace daisystream
{

namespace
{

// One long step may be a long prompt; an endpoint is slow when this many signs follow each other.
constexpr std::uint32_t kSlowSigns = 2;
// Failures without a first token in between after which the fault lies with the endpoint.
constexpr std::uint32_t kFailures = 2;

} // namespace

EndpointHealth::EndpointHealth(EndpointHealthOptions options)
    : options_(options)
    , interval_(options.probeInterval)
{
}

void EndpointHealth::onReport(const LoadReport &report, double slowness, std::uint32_t ownRunning, TimePoint now)
{
    if (reported_ && report.measuredAt <= last_.measuredAt) {
        return; // A repetition tells nothing new.
    }
    // A report that claims no progress although answers run is frozen even if its time stamp moves on.
    const bool busy = report.running > 0 || ownRunning > 0;
    const bool progressed = !reported_ || report.generatedTokens != last_.generatedTokens;
    if (progressed || !busy) {
        freshAt_ = now;
    }
    reported_ = true;
    last_ = report;
    if (phase_ == Phase::Suspected) {
        const bool news = freshAt_ == now && report.measuredAt > probedAt_;
        if (news && slowness < options_.slowFactor) {
            recover();
        }
        return;
    }
    if (slowness > 0) {
        onOwnPace(slowness, now);
    }
}

void EndpointHealth::onOwnPace(double slowness, TimePoint now)
{
    if (phase_ == Phase::Suspected) {
        return;
    }
    slowSigns_ = slowness >= options_.slowFactor ? slowSigns_ + 1 : 0;
    if (slowSigns_ >= kSlowSigns) {
        suspect(Cause::Slow, now);
    }
}

void EndpointHealth::onFirstToken(TimePoint)
{
    failures_ = 0;
    if (phase_ != Phase::Recovering || ++successes_ < options_.trials) {
        return;
    }
    phase_ = Phase::Working;
    cause_ = Cause::None;
    interval_ = options_.probeInterval;
}

void EndpointHealth::onFirstTokenOverdue(TimePoint now)
{
    if (phase_ != Phase::Suspected) {
        suspect(Cause::FirstTokenOverdue, now);
    }
}

void EndpointHealth::onFailed(TimePoint now)
{
    // One failed trial is enough: the endpoint failed before.
    if (phase_ != Phase::Suspected && (++failures_ >= kFailures || phase_ == Phase::Recovering)) {
        suspect(Cause::Failed, now);
    }
}

bool EndpointHealth::check(TimePoint now, bool reportsFail)
{
    if (phase_ != Phase::Suspected && hasFrozenReport(now) && !reportsFail) {
        suspect(Cause::FrozenReport, now);
    }
    if (phase_ != Phase::Suspected) {
        return false;
    }
    if (reportsFail && cause_ == Cause::FrozenReport) {
        recover();
        return false;
    }
    if (now < probeAt_) {
        return false;
    }
    probedAt_ = now;
    probeAt_ = now + interval_;
    return true;
}

std::optional<TimePoint> EndpointHealth::nextCheck() const
{
    if (phase_ == Phase::Suspected) {
        return probeAt_;
    }
    return reported_ ? std::optional(freshAt_ + options_.reportTimeout) : std::nullopt;
}

bool EndpointHealth::accepts(std::uint32_t awaitingFirstToken) const
{
    return phase_ == Phase::Working || (phase_ == Phase::Recovering && awaitingFirstToken == 0);
}

bool EndpointHealth::reports() const
{
    return reported_;
}

bool EndpointHealth::hasFrozenReport(TimePoint now) const
{
    return reported_ && now - freshAt_ >= options_.reportTimeout;
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
        interval_ = std::min<Duration>(interval_ * 2, options_.longestInterval);
    }
    phase_ = Phase::Suspected;
    cause_ = cause;
    slowSigns_ = 0;
    // The first probe follows at once for a frozen report, and after the interval where the report itself was bad.
    probeAt_ = cause == Cause::FrozenReport ? now : now + interval_;
    probedAt_ = now;
}

void EndpointHealth::recover()
{
    phase_ = Phase::Recovering;
    successes_ = 0;
    slowSigns_ = 0;
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
