#include "daisystream/balancing/servicebalancer.h"

#include <algorithm>
#include <cmath>

namespace daisystream
{
namespace
{

// Terms of an endpoint's cost, in units of its load: 1 is as many calls as it has slots. The endpoint of least cost is chosen.
constexpr double kOtherZoneCost = 0.02;  // Prefers endpoints in the zone of this VM at equal load.
constexpr double kColdCost = 0.5;        // A cold endpoint gets about half the calls of a warm one.
constexpr double kTieBreakCost = 0.01;   // Bound of a random term, so that VMs choose different idle endpoints.
constexpr double kFailureCost = 1.0;     // An endpoint that fails half of its calls costs as much as a half full one.
constexpr std::uint32_t kMinSamples = 4; // Finished calls from which on the failure rate of an endpoint is used for ejection.

} // namespace

ServiceBalancer::ServiceBalancer(ServiceBalancerOptions options)
    : options_(options)
{
}

double ServiceBalancer::costOf(const ServiceCandidate &candidate, TimePoint now) const
{
    const double base = (candidate.isNear ? 0.0 : kOtherZoneCost) + (candidate.isCold ? kColdCost : 0.0);
    const auto found = states_.find(candidate.id);
    if (found == states_.end()) {
        return base;
    }
    const State &state = found->second;
    double load = state.outstanding;
    if (now - state.reportedAt < options_.reportedLoadLifetime) {
        const double reportedCalls = static_cast<double>(state.reported.running) + state.reported.waiting;
        load += std::max(0.0, reportedCalls - state.outstandingAtReport);
    }
    return base + load / std::max(1U, candidate.slots) + kFailureCost * failureRate(state, now);
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
    double bestCost = 0;
    double ejectedCost = 0;
    for (const auto &candidate : candidates) {
        if (std::find(tried.begin(), tried.end(), candidate.id) != tried.end()) {
            continue;
        }
        const double cost = costOf(candidate, now) + kTieBreakCost * random.uniform();
        const auto state = states_.find(candidate.id);
        const bool isEjectedCandidate = state != states_.end() && state->second.trialAt;
        if (isEjectedCandidate && now >= *state->second.trialAt && state->second.outstanding == 0) {
            // One trial call at a time tests whether the endpoint works again.
            state->second.trialAt = now + state->second.ejectionTime;
            return candidate.id;
        }
        auto &target = isEjectedCandidate ? ejected : best;
        auto &targetCost = isEjectedCandidate ? ejectedCost : bestCost;
        if (target == nullptr || cost < targetCost) {
            target = &candidate;
            targetCost = cost;
        }
    }
    const auto *chosen = best != nullptr ? best : ejected;
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
    state.reported = load;
    state.reportedAt = now;
    state.outstandingAtReport = state.outstanding;
}

void ServiceBalancer::retain(const std::vector<EndpointId> &endpoints)
{
    std::erase_if(states_, [&](const auto &entry) {
        return entry.second.outstanding == 0 && std::find(endpoints.begin(), endpoints.end(), entry.first) == endpoints.end();
    });
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
