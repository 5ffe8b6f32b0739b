#include "daisystream/limits/endpointpermits.h"

#include "daisystream/base/stablehash.h"
#include "daisystream/membership/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace daisystream
{
namespace
{

using namespace std::chrono_literals;

// The issuer and the VM that stands in for it.
constexpr std::size_t kOwners = 2;
// Retry time when neither of them replies. A dead issuer is replaced within some seconds.
constexpr Duration kRetryWithoutIssuer = 500ms;
// Bounds of the rates that are used in time arithmetic.
constexpr double kMinPerSecond = 0.001;
constexpr double kMaxPerSecond = 100'000;
// Age of the statement in a request for a permit of an endpoint that states no limit: older than every real statement.
constexpr Duration kNeverStated = std::chrono::hours(24);
// How long an issuer applies the limit of a cold endpoint that only other VMs know of. Longer than news need to reach it; each
// request for a permit extends it.
constexpr Duration kReportedColdTime = 2s;

/// @return a number in (0, 1] that is the same on all VMs.
double uniformHash(std::uint64_t request, const EndpointId &endpoint)
{
    constexpr unsigned kUnusedBits = 11; // A double holds 53 bits.
    constexpr double kRange = 9007199254740992.0;
    return (static_cast<double>(stableHash(endpoint.value(), request) >> kUnusedBits) + 1) / kRange;
}

} // namespace

EndpointPermits::EndpointPermits(VmId self, EndpointPermitOptions options)
    : self_(std::move(self))
    , options_(options)
    , limits_(options.faults.limits)
    , issuer_(options.faults.issuer)
    , live_{self_}
{
}

void EndpointPermits::setVms(const std::vector<VmId> &live, TimePoint now)
{
    for (const auto &vm : live_) {
        if (std::find(live.begin(), live.end(), vm) == live.end()) {
            lostUntil_[vm] = now + options_.lostFor;
        }
    }
    for (const auto &vm : live) {
        const auto lost = lostUntil_.find(vm);
        const bool isBack = lost != lostUntil_.end() && std::find(live_.begin(), live_.end(), vm) == live_.end();
        if (isBack) {
            lost->second = now + options_.settleFor;
        }
    }
    std::erase_if(lostUntil_, [now](const auto &entry) { return entry.second <= now; });
    if (live != live_) {
        live_ = live;
        owners_.clear();
    }
}

void EndpointPermits::retain(const std::vector<EndpointId> &endpoints)
{
    const auto isGone = [&](const auto &entry) {
        return std::find(endpoints.begin(), endpoints.end(), entry.first) == endpoints.end();
    };
    limits_.retain(endpoints);
    std::erase_if(owners_, isGone);
    std::erase_if(full_, isGone);
    std::erase_if(reportedCold_, isGone);
}

RequestLimits &EndpointPermits::limits()
{
    return limits_;
}

const RequestLimits &EndpointPermits::limits() const
{
    return limits_;
}

const std::vector<VmId> &EndpointPermits::ownersOf(const EndpointId &endpoint)
{
    const auto found = owners_.find(endpoint);
    if (found != owners_.end()) {
        return found->second;
    }
    auto order = rendezvousOrder("permits/" + endpoint.value(), live_);
    order.resize(std::min(order.size(), kOwners));
    if (order.empty() || options_.faults.eachIssuesItself) {
        order = {self_};
    }
    return owners_.emplace(endpoint, std::move(order)).first->second;
}

std::vector<LimitStatement> EndpointPermits::ownStatements(TimePoint now)
{
    std::vector<LimitStatement> statements;
    for (const auto &endpoint : limits_.limitedEndpoints()) {
        const auto &owners = ownersOf(endpoint);
        if (std::find(owners.begin(), owners.end(), self_) != owners.end()) {
            statements.push_back(*limits_.statement(endpoint, now));
        }
    }
    issuer_.removeIdle(now);
    return statements;
}

bool EndpointPermits::isFull(const EndpointId &endpoint, bool isUrgent, TimePoint now) const
{
    const auto found = full_.find(endpoint);
    if (found == full_.end() || !limits_.limit(endpoint)) {
        return false;
    }
    return found->second.pausedUntil > now || (!isUrgent && found->second.until > now);
}

std::vector<EndpointId> EndpointPermits::fullEndpoints(bool isUrgent, TimePoint now) const
{
    std::vector<EndpointId> endpoints;
    for (const auto &[endpoint, full] : full_) {
        if (isFull(endpoint, isUrgent, now)) {
            endpoints.push_back(endpoint);
        }
    }
    return endpoints;
}

std::optional<EndpointId> EndpointPermits::lineFor(std::uint64_t request, const std::vector<EndpointId> &endpoints) const
{
    // Weighted rendezvous hash: the least of exponentially distributed numbers with the limits as their rates.
    std::optional<EndpointId> best;
    double least = 0;
    for (const auto &endpoint : endpoints) {
        if (const auto limit = limits_.limit(endpoint)) {
            const double score = -std::log(uniformHash(request, endpoint)) / *limit;
            if (!best || score < least) {
                best = endpoint;
                least = score;
            }
        }
    }
    return best;
}

double EndpointPermits::followingShare(TimePoint now) const
{
    if (lostUntil_.empty() || options_.faults.ignoresLostVms) {
        return 1;
    }
    const auto isLost = [&](const VmId &vm) {
        const auto lost = lostUntil_.find(vm);
        return lost != lostUntil_.end() && lost->second > now;
    };
    const auto followers = static_cast<double>(std::count_if(live_.begin(), live_.end(), [&](const VmId &vm) { return !isLost(vm); }));
    const auto others = static_cast<double>(std::count_if(lostUntil_.begin(), lostUntil_.end(), [&](const auto &entry) { return entry.second > now; }));
    return std::max(followers, 1.0) / std::max(followers + others, 1.0);
}

std::optional<double> EndpointPermits::limitFor(const EndpointId &endpoint, TimePoint now) const
{
    const auto known = limits_.limit(endpoint);
    const auto reported = reportedCold_.find(endpoint);
    if (reported == reportedCold_.end() || reported->second.until <= now) {
        return known;
    }
    return std::min(known.value_or(reported->second.perSecond), reported->second.perSecond);
}

PermitTerms EndpointPermits::termsFor(const EndpointId &endpoint, TimePoint now)
{
    const double limit = std::clamp(limitFor(endpoint, now).value_or(kMaxPerSecond), kMinPerSecond, kMaxPerSecond);
    return {.perSecond = limit * followingShare(now), .isStandIn = ownersOf(endpoint).front() != self_};
}

PermitOutcome EndpointPermits::issue(const PermitRequest &request, TimePoint now)
{
    if (!limitFor(request.endpoint, now)) {
        return PermitGranted{};
    }
    return issuer_.request(request, termsFor(request.endpoint, now), now);
}

std::vector<PermitAction> EndpointPermits::ask(std::uint64_t number, PermitRequest request, TimePoint now)
{
    request.vm = self_;
    const auto endpoint = request.endpoint;
    if (!limits_.limit(endpoint)) {
        return {PermitDecided{.number = number, .outcome = PermitGranted{}}};
    }
    const auto full = full_.find(endpoint);
    if (full != full_.end() && full->second.pausedUntil > now) {
        const auto retryAfter = std::max(full->second.pausedUntil, full->second.until) - now;
        return {PermitDecided{.number = number, .outcome = PermitDenied{.retryAfter = retryAfter, .fullFor = retryAfter}}};
    }
    const auto &owners = ownersOf(endpoint);
    const auto avoided = avoidUntil_.find(owners.front());
    const bool skipsIssuer = avoided != avoidUntil_.end() && avoided->second > now && owners.size() > 1 && !options_.faults.neverStandsIn;
    PermitAsk ask{
        .number = number, .request = std::move(request), .statement = statementOf(endpoint, now), .coldPerSecond = limits_.coldLimit(endpoint).value_or(0)};
    return send(std::move(ask), skipsIssuer ? owners[1] : owners.front(), skipsIssuer || owners.size() == 1, now);
}

LimitStatement EndpointPermits::statementOf(const EndpointId &endpoint, TimePoint now) const
{
    return limits_.statement(endpoint, now).value_or(LimitStatement{.endpoint = endpoint, .perSecond = 0, .age = kNeverStated});
}

std::vector<PermitAction> EndpointPermits::send(PermitAsk ask, const VmId &to, bool isLast, TimePoint now)
{
    if (to == self_) {
        return {decide(ask.number, ask.request.endpoint, issue(ask.request, now), now)};
    }
    const auto number = ask.number;
    pending_[number] = Pending{.ask = ask, .sentAt = now, .to = to, .isLast = isLast || options_.faults.neverStandsIn};
    return {AskForPermit{.to = to, .ask = std::move(ask)}};
}

std::vector<PermitAction> EndpointPermits::askNext(std::uint64_t number, TimePoint now)
{
    const auto node = pending_.extract(number);
    if (node.empty()) {
        return {};
    }
    auto &pending = node.mapped();
    avoidUntil_[pending.to] = now + options_.avoidFor;
    const auto &owners = ownersOf(pending.ask.request.endpoint);
    if (pending.isLast || owners.size() < kOwners || owners[1] == pending.to) {
        const PermitDenied denied{.retryAfter = kRetryWithoutIssuer, .fullFor = options_.replyTimeout};
        return {decide(number, pending.ask.request.endpoint, denied, now)};
    }
    return send(std::move(pending.ask), owners[1], true, now);
}

PermitDecided EndpointPermits::decide(std::uint64_t number, const EndpointId &endpoint, const PermitOutcome &outcome, TimePoint now)
{
    if (const auto *denied = std::get_if<PermitDenied>(&outcome)) {
        full_[endpoint] = {.until = now + std::max(denied->fullFor, denied->pause), .pausedUntil = now + denied->pause};
    }
    return {.number = number, .outcome = outcome};
}

std::vector<PermitAction> EndpointPermits::onReply(const VmId &from, const PermitReply &reply, TimePoint now)
{
    limits_.onStatement(reply.statement, now);
    avoidUntil_.erase(from);
    if (pending_.erase(reply.number) == 0) {
        return {};
    }
    return {decide(reply.number, reply.endpoint, reply.outcome, now)};
}

std::vector<PermitAction> EndpointPermits::onSendFailed(std::uint64_t number, TimePoint now)
{
    return askNext(number, now);
}

std::vector<PermitAction> EndpointPermits::expire(TimePoint now)
{
    std::vector<std::uint64_t> late;
    for (const auto &[number, pending] : pending_) {
        if (now - pending.sentAt >= options_.replyTimeout) {
            late.push_back(number);
        }
    }
    std::vector<PermitAction> actions;
    for (const auto number : late) {
        auto next = askNext(number, now);
        actions.insert(actions.end(), std::make_move_iterator(next.begin()), std::make_move_iterator(next.end()));
    }
    return actions;
}

std::optional<TimePoint> EndpointPermits::nextWake() const
{
    std::optional<TimePoint> wake;
    for (const auto &[number, pending] : pending_) {
        wake = std::min(wake.value_or(TimePoint::max()), pending.sentAt + options_.replyTimeout);
    }
    return wake;
}

PermitReply EndpointPermits::onAsk(const PermitAsk &ask, TimePoint now)
{
    limits_.onStatement(ask.statement, now);
    if (ask.coldPerSecond > 0) {
        reportedCold_[ask.request.endpoint] = {.perSecond = ask.coldPerSecond, .until = now + kReportedColdTime};
    }
    const auto outcome = issue(ask.request, now);
    const auto known = limits_.statement(ask.request.endpoint, now);
    return {.number = ask.number, .endpoint = ask.request.endpoint, .outcome = outcome, .statement = known.value_or(ask.statement)};
}

} // namespace daisystream
