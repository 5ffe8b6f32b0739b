#include "daisystream/balancing/servicebalancer.h"

#include <algorithm>
#include <cmath>

namespace daisystream
{
namespace
{

// Terms of an endpoint's cost, in units of the usual duration of a call. An endpoint whose slots are all in use counts 1 more than an
// idle one. The endpoint of least cost is chosen.
constexpr double kOtherZoneCost = 0.02;  // Prefers endpoints in the zone of this VM at equal load.
constexpr double kColdCost = 0.5;        // A cold endpoint gets about half the calls of a warm one.
constexpr double kTieBreakCost = 0.01;   // Bound of a random term, so that VMs choose different idle endpoints.
constexpr double kFailureCost = 1.0;     // An endpoint that fails half of its calls costs as much as a half full one.
constexpr std::uint32_t kMinSamples = 4; // Finished calls from which on the failure rate of an endpoint is used for ejection.
// Bound of the random term while endpoints differ in speed, relative to the fastest one: VMs that learn of a change at the same moment do not all choose the
// same endpoint, and an endpoint that recovers gets calls gradually.
constexpr double kUnevenTieBreakCost = 0.3;
constexpr double kOverloadCost = 2.0;    // Per slot beyond the load limit, as a part of all slots: a further call slows down the others too.
constexpr double kAverageLoadGain = 0.2; // Weight of the latest report in the average load: about the last ten reports.

} // namespace

ServiceBalancer::ServiceBalancer(ServiceBalancerOptions options)
    : options_(options)
    , speeds_(options.speed)
{
}

double ServiceBalancer::loadOf(const State &state, TimePoint now) const
{
    double load = state.outstanding;
    if (now - state.reportedAt < options_.reportedLoadLifetime) {
        const double reportedCalls = static_cast<double>(state.reported.running) + state.reported.waiting;
        load += std::max(0.0, reportedCalls - state.outstandingAtReport);
    }
    return load;
}

ServiceBalancer::Cost ServiceBalancer::costOf(const ServiceCandidate &candidate, const EndpointSpeed &speed, bool isUneven, TimePoint now) const
{
    const double factor = speed.factor();
    double cost = (candidate.isNear ? 0.0 : kOtherZoneCost) + (candidate.isCold ? kColdCost : 0.0) + (factor - 1);
    const auto found = states_.find(candidate.id);
    if (found == states_.end()) {
        return {.value = cost};
    }
    const State &state = found->second;
    const double slots = std::max(1U, candidate.slots);
    double load = loadOf(state, now);
    if (isUneven) {
        // In a large fleet most reports are too old to be used one by one. Without the average, all VMs would send everything to the
        // fastest endpoint.
        const double halfLives = std::chrono::duration<double>(now - state.reportedAt) / options_.averageLoadHalfLife;
        load = std::max(load, state.averageLoad * std::exp2(-halfLives));
    }
    cost += factor * load / slots + kFailureCost * failureRate(state, now);
    const double excess = speed.loadLimit ? load + 1 - *speed.loadLimit : 0;
    if (excess > 0) {
        cost += kOverloadCost * factor * excess / slots;
    }
    return {.value = cost, .isOverloaded = excess > 0};
}

// The rate decays with time because an endpoint that gets no calls has no other way to lose its failure rate.
double ServiceBalancer::failureRate(const State &state, TimePoint now) const
{
    const double halfLives = std::chrono::duration<double>(now - state.failureRateAt) / options_.failureHalfLife;
    return state.failureRate * std::exp2(-halfLives);
}

std::optional<EndpointId>
ServiceBalancer::choose(const std::vector<ServiceCandidate> &candidates, const std::vector<EndpointId> &tried, Random &random, TimePoint now)
{
    const ServiceCandidate *best = nullptr;
    const ServiceCandidate *ejected = nullptr;
    const ServiceCandidate *overloaded = nullptr;
    double bestCost = 0;
    double ejectedCost = 0;
    double overloadedCost = 0;
    candidateSpeeds_.clear();
    for (const auto &candidate : candidates) {
        candidateSpeeds_.push_back(speed(candidate.id, now));
    }
    // Only differences count. An endpoint that was slow and has not reported since is assumed to be like the others, which may be slow too.
    std::optional<double> level;
    for (const auto &speed : candidateSpeeds_) {
        if (!speed.isStale) {
            level = std::min(level.value_or(speed.reported), speed.reported);
        }
    }
    for (std::size_t i = 0; i < candidates.size() && level.value_or(1) != 1; ++i) {
        candidateSpeeds_[i] = speeds_.speed(candidates[i].id, now, *level);
    }
    const bool isUneven
        = std::any_of(candidateSpeeds_.begin(), candidateSpeeds_.end(), [&](const auto &speed) { return speed.factor() != candidateSpeeds_.front().factor(); });
    double tieBreakCost = kTieBreakCost;
    if (isUneven) {
        const auto fastest = std::min_element(
            candidateSpeeds_.begin(), candidateSpeeds_.end(), [](const auto &left, const auto &right) { return left.factor() < right.factor(); });
        tieBreakCost = kUnevenTieBreakCost * fastest->factor();
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[i];
        if (std::find(tried.begin(), tried.end(), candidate.id) != tried.end()) {
            continue;
        }
        const auto [fixedCost, isOverloaded] = costOf(candidate, candidateSpeeds_[i], isUneven, now);
        const double cost = fixedCost + tieBreakCost * random.uniform();
        const auto state = states_.find(candidate.id);
        const bool isEjectedCandidate = state != states_.end() && state->second.trialAt;
        if (isEjectedCandidate && now >= *state->second.trialAt && state->second.outstanding == 0) {
            // One trial call at a time tests whether the endpoint works again.
            state->second.trialAt = now + state->second.ejectionTime;
            return candidate.id;
        }
        // A second attempt avoids a load that may have delayed the first one.
        const bool isLastResort = isOverloaded && !tried.empty();
        auto &target = isEjectedCandidate ? ejected : isLastResort ? overloaded : best;
        auto &targetCost = isEjectedCandidate ? ejectedCost : isLastResort ? overloadedCost : bestCost;
        if (target == nullptr || cost < targetCost) {
            target = &candidate;
            targetCost = cost;
        }
    }
    const auto *chosen = best != nullptr ? best : overloaded != nullptr ? overloaded : ejected;
    return chosen == nullptr ? std::nullopt : std::optional(chosen->id);
}

void ServiceBalancer::onStarted(const EndpointId &endpoint, TimePoint /*now*/)
{
    ++states_[endpoint].outstanding;
}

double ServiceBalancer::othersFailureRate(const EndpointId &endpoint, TimePoint now) const
{
    double sum = 0;
    std::size_t count = 0;
    for (const auto &[id, state] : states_) {
        if (id != endpoint && state.samples >= kMinSamples) {
            sum += failureRate(state, now);
            ++count;
        }
    }
    return count == 0 ? 1.0 : sum / static_cast<double>(count);
}

void ServiceBalancer::onEnded(const EndpointId &endpoint, CallResult result, TimePoint now)
{
    const auto found = states_.find(endpoint);
    if (found == states_.end()) {
        return;
    }
    State &state = found->second;
    state.outstanding -= state.outstanding > 0 ? 1 : 0;
    if (result == CallResult::CallerLeft || result == CallResult::Refused) {
        return;
    }
    const bool failed = result == CallResult::Failed;
    const double before = failureRate(state, now);
    state.failureRate = before + options_.failureGain * ((failed ? 1.0 : 0.0) - before);
    state.failureRateAt = now;
    ++state.samples;
    if (state.trialAt) {
        if (failed) {
            state.ejectionTime = std::min(2 * state.ejectionTime, options_.maxEjectionTime);
            state.trialAt = now + state.ejectionTime;
        } else {
            state.trialAt.reset();
            state.failureRate = options_.ejectionThreshold / 2; // Not zero: it is ejected again after fewer failures than another endpoint.
        }
    } else if (failed && state.samples >= kMinSamples && state.failureRate > options_.ejectionThreshold
               && state.failureRate > 2 * othersFailureRate(endpoint, now)) {
        state.ejectionTime = options_.ejectionTime;
        state.trialAt = now + state.ejectionTime;
    }
}

void ServiceBalancer::onReportedLoad(const EndpointId &endpoint, const ReportedLoad &load, TimePoint now)
{
    State &state = states_[endpoint];
    const double halfLives = std::chrono::duration<double>(now - state.reportedAt) / options_.averageLoadHalfLife;
    const double average = state.averageLoad * std::exp2(-halfLives);
    state.averageLoad = average + kAverageLoadGain * (static_cast<double>(load.running) + load.waiting - average);
    state.reported = load;
    state.reportedAt = now;
    state.outstandingAtReport = state.outstanding;
}

std::optional<double> ServiceBalancer::onSpeedSample(const EndpointId &endpoint, const SpeedSample &sample, TimePoint now)
{
    return speeds_.onCall(endpoint, sample, now);
}

void ServiceBalancer::onSlowness(const EndpointId &endpoint, std::uint32_t percent, TimePoint reportedAt, std::optional<double> gain)
{
    speeds_.onSlowness(endpoint, percent, reportedAt, gain);
}

EndpointSpeed ServiceBalancer::speed(const EndpointId &endpoint, TimePoint now) const
{
    return options_.usesSpeed ? speeds_.speed(endpoint, now) : EndpointSpeed{};
}

std::optional<Duration>
ServiceBalancer::timeUntilCapacity(const std::vector<ServiceCandidate> &candidates, const RouteName &route, Duration timeLeft, TimePoint now) const
{
    const auto usual = speeds_.usualDuration(route);
    if (!usual) {
        return std::nullopt;
    }
    std::optional<Duration> first;
    for (const auto &candidate : candidates) {
        const auto found = states_.find(candidate.id);
        if (found == states_.end() || now - found->second.reportedAt >= options_.reportedLoadLifetime) {
            return std::nullopt;
        }
        const auto endpointSpeed = speed(candidate.id, now);
        const double slots = std::max(1U, candidate.slots);
        const double excess = loadOf(found->second, now) + 1 - std::min(slots, endpointSpeed.loadLimit.value_or(slots));
        const auto wait = std::chrono::duration_cast<Duration>(*usual * (endpointSpeed.factor() * excess / slots));
        if (excess <= 0 || wait + std::chrono::duration_cast<Duration>(*usual * endpointSpeed.factor()) <= timeLeft) {
            return std::nullopt;
        }
        first = std::min(first.value_or(wait), wait);
    }
    return first;
}

void ServiceBalancer::retain(const std::vector<EndpointId> &endpoints)
{
    std::erase_if(states_, [&](const auto &entry) {
        return entry.second.outstanding == 0 && std::find(endpoints.begin(), endpoints.end(), entry.first) == endpoints.end();
    });
    speeds_.retain(endpoints);
}

void ServiceBalancer::remove(const EndpointId &endpoint)
{
    if (outstanding(endpoint) == 0) {
        states_.erase(endpoint);
        speeds_.remove(endpoint);
    }
}

bool ServiceBalancer::isEjected(const EndpointId &endpoint) const
{
    const auto found = states_.find(endpoint);
    return found != states_.end() && found->second.trialAt.has_value();
}

std::uint32_t ServiceBalancer::outstanding(const EndpointId &endpoint) const
{
    const auto found = states_.find(endpoint);
    return found == states_.end() ? 0 : found->second.outstanding;
}

} // namespace daisystream
