#include "daisystream/balancing/servicebalancer.h"

#include <algorithm>
#include <cmath>

namespace daisystream
{
namespace
{

// Scores are in shares of an endpoint's slots.
constexpr double kFarScore = 0.02;    // Breaks ties in favour of the own zone.
constexpr double kColdScore = 0.5;    // A cold endpoint takes about half the calls of a warm one.
constexpr double kTieScore = 0.01;    // Random part, so that VMs do not all choose the same idle endpoint.
constexpr double kFailureScore = 1.0; // An endpoint that fails half of its calls counts as half full.
constexpr std::uint32_t kLeastSamples = 4;

} // namespace

ServiceBalancer::ServiceBalancer(ServiceBalancerOptions options)
    : options_(options)
{
}

double ServiceBalancer::scoreOf(const ServiceCandidate &candidate, TimePoint now) const
{
    const double base = (candidate.isNear ? 0.0 : kFarScore) + (candidate.isCold ? kColdScore : 0.0);
    const auto found = states_.find(candidate.id);
    if (found == states_.end()) {
        return base;
    }
    const State &state = found->second;
    double load = state.outstanding;
    if (now - state.statedAt < options_.statedLoadLife) {
        const double stated = static_cast<double>(state.stated.running) + state.stated.waiting;
        load += std::max(0.0, stated - state.outstandingThen);
    }
    return base + load / std::max(1U, candidate.slots) + kFailureScore * failureRate(state, now);
}

// Without calls nothing else would ever show that an endpoint works again.
double ServiceBalancer::failureRate(const State &state, TimePoint now) const
{
    const double halfLives = std::chrono::duration<double>(now - state.ratedAt) / options_.failureHalfLife;
    return state.failureRate * std::exp2(-halfLives);
}

std::optional<EndpointId>
ServiceBalancer::choose(const std::vector<ServiceCandidate> &candidates, const std::vector<EndpointId> &tried, Random &random, TimePoint now)
{
    const ServiceCandidate *best = nullptr;
    const ServiceCandidate *ejected = nullptr;
    double bestScore = 0;
    double ejectedScore = 0;
    for (const auto &candidate : candidates) {
        if (std::find(tried.begin(), tried.end(), candidate.id) != tried.end()) {
            continue;
        }
        const double score = scoreOf(candidate, now) + kTieScore * random.uniform();
        const auto state = states_.find(candidate.id);
        const bool isOut = state != states_.end() && state->second.trialAt;
        if (isOut && now >= *state->second.trialAt && state->second.outstanding == 0) {
            // One call at a time shows whether the endpoint works again.
            state->second.trialAt = now + state->second.ejectTime;
            return candidate.id;
        }
        auto &target = isOut ? ejected : best;
        auto &targetScore = isOut ? ejectedScore : bestScore;
        if (target == nullptr || score < targetScore) {
            target = &candidate;
            targetScore = score;
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
        if (id != endpoint && state.samples >= kLeastSamples) {
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
    if (result == CallResult::Left || result == CallResult::Refused) {
        return;
    }
    const bool failed = result == CallResult::Failed;
    const double before = failureRate(state, now);
    state.failureRate = before + options_.failureGain * ((failed ? 1.0 : 0.0) - before);
    state.ratedAt = now;
    ++state.samples;
    if (state.trialAt) {
        if (failed) {
            state.ejectTime = std::min(2 * state.ejectTime, options_.longestEjectTime);
            state.trialAt = now + state.ejectTime;
        } else {
            state.trialAt.reset();
            state.failureRate = options_.ejectAbove / 2; // It has to show that it keeps working.
        }
    } else if (failed && state.samples >= kLeastSamples && state.failureRate > options_.ejectAbove
               && state.failureRate > 2 * othersFailureRate(endpoint, now)) {
        state.ejectTime = options_.ejectTime;
        state.trialAt = now + state.ejectTime;
    }
}

void ServiceBalancer::onStatedLoad(const EndpointId &endpoint, const StatedLoad &load, TimePoint now)
{
    State &state = states_[endpoint];
    state.stated = load;
    state.statedAt = now;
    state.outstandingThen = state.outstanding;
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
