#include "daisystream/scheduler/pool.h"
#include "daisystream/scheduler/poolinternal.h"

#include <algorithm>
#include <chrono>

namespace daisystream::internal
{

namespace
{

using std::chrono::seconds;

constexpr double kMinWindowSeconds = 0.5; // Shortest decoding time, summed over answers, from which a token rate is computed.
// Smallest weight of a new measurement in the calibration of its endpoint, and its weight in the typical calibration, which is
// used for new endpoints.
constexpr double kMinPaceGain = 0.2;
constexpr double kTypicalCalibrationGain = 0.02;
// Weight of a time to a first token in the pace of an endpoint. The time also depends on what waits at the endpoint.
constexpr double kFirstTokenPaceGain = 0.6;
// A first token that takes less than this share of the typical time tells nothing about the pace: most of the prompt was cached.
constexpr double kMinPlausibleFirstToken = 0.25;

} // namespace

bool Pool::hasEndpoint(const EndpointId &id) const
{
    return endpointIndex_.contains(id);
}

void Pool::setEndpoints(const std::vector<EndpointInfo> &endpoints, TimePoint now)
{
    std::set<EndpointIndex> kept;
    for (const EndpointInfo &info : endpoints) {
        if (info.state == EndpointState::Gone) {
            continue;
        }
        const auto found = endpointIndex_.find(info.id);
        if (found == endpointIndex_.end()) {
            addEndpoint(info, now);
        } else {
            endpoints_[found->second]->load.setInfo(info);
            reindex(found->second);
        }
        kept.insert(endpointIndex_.at(info.id));
    }
    for (EndpointIndex i = 0; i < endpoints_.size(); ++i) {
        if (endpoints_[i] != nullptr && !kept.contains(i)) {
            removeEndpoint(i, now);
        }
    }
}

void Pool::addEndpoint(const EndpointInfo &info, TimePoint now)
{
    EndpointHealthOptions health;
    health.reportTimeout = options_.reportTimeout;
    health.probeInterval = options_.probeInterval;
    EndpointIndex index = 0;
    if (freeEndpoints_.empty()) {
        index = static_cast<EndpointIndex>(endpoints_.size());
        endpoints_.emplace_back();
    } else {
        index = freeEndpoints_.back();
        freeEndpoints_.pop_back();
    }
    endpoints_[index] = std::make_unique<Endpoint>(info, health);
    endpoints_[index]->windowBegin = now;
    endpoints_[index]->load.setCalibration(typicalCalibration_);
    endpointIndex_.emplace(info.id, index);
    reindex(index);
}

void Pool::removeEndpoint(EndpointIndex index, TimePoint now)
{
    Endpoint &endpoint = *endpoints_[index];
    const std::set<Slot> affected = endpoint.requests;
    for (const Slot slot : affected) {
        if (requests_[slot].state == State::Assigned && requests_[slot].work.mayMove) {
            cancelAssignment(slot, now);
            requests_[slot].wasAssigned = false; // The endpoint is gone, so a late first token must not be attributed to it.
        } else {
            removeFromEndpoint(slot);
            destroy(slot);
        }
    }
    for (Request &request : requests_) {
        if (request.wasAssigned && request.endpoint == index) {
            request.wasAssigned = false;
        }
    }
    if (endpoint.indexed) {
        (endpoint.reserved ? reserved_ : general_).erase({endpoint.score, index});
    }
    frozenEndpoints_ -= endpoint.frozen ? 1 : 0;
    setEndpointTimer(index, std::nullopt);
    prefixes_.clear(index);
    endpointIndex_.erase(endpoint.load.info().id);
    endpoints_[index].reset();
    freeEndpoints_.push_back(index);
}

// Updates the position of an endpoint in the index by load, or removes it if it accepts no work.
void Pool::reindex(EndpointIndex index)
{
    Endpoint &endpoint = *endpoints_[index];
    Index &target = endpoint.reserved ? reserved_ : general_;
    if (endpoint.indexed) {
        target.erase({endpoint.score, index});
    }
    const EndpointInfo &info = endpoint.load.info();
    endpoint.indexed = info.state == EndpointState::InService && endpoint.health.accepts(endpoint.load.awaitingFirstToken());
    if (!endpoint.indexed) {
        return;
    }
    const double memory = endpoint.load.forecastMemoryFraction({}, memoryDeviations_);
    const double batch = static_cast<double>(endpoint.load.running()) / std::max(1U, info.maxBatch);
    const double prompts = static_cast<double>(endpoint.load.pendingPromptTokens())
        / static_cast<double>(2 * kMaxOrdinaryPrefillSteps * std::max(1U, info.stepCost.prefillTokensPerStep));
    endpoint.score = std::max(memory, batch) + prompts;
    target.emplace(endpoint.score, index);
}

void Pool::setEndpointTimer(EndpointIndex index, std::optional<TimePoint> at)
{
    Endpoint &endpoint = *endpoints_[index];
    if (endpoint.timer) {
        endpointTimers_.erase({*endpoint.timer, index});
    }
    endpoint.timer = at;
    if (at) {
        endpointTimers_.emplace(*at, index);
    }
}

// Cancels the assignments without a first token of an endpoint that is suspected, and schedules its next health check.
void Pool::afterHealthChange(EndpointIndex index, TimePoint now)
{
    Endpoint &endpoint = *endpoints_[index];
    if (endpoint.health.phase() == EndpointHealth::Phase::Suspected) {
        const std::set<Slot> affected = endpoint.requests;
        for (const Slot slot : affected) {
            if (requests_[slot].state == State::Assigned && requests_[slot].work.mayMove) {
                cancelAssignment(slot, now);
            }
        }
    }
    reindex(index);
    std::optional<TimePoint> next = endpoint.health.nextCheck();
    if (next && *next <= now) {
        next = now + options_.probeInterval / 2; // The check is due because of a frozen report that is ignored, see `checkEndpoint`.
    }
    // Every report postpones the next check. To save updates, the timer is postponed only when it fires.
    if (next && (!endpoint.timer || *next < *endpoint.timer)) {
        setEndpointTimer(index, next);
    }
}

void Pool::checkEndpoint(EndpointIndex index, TimePoint now, std::vector<Action> &actions)
{
    Endpoint &endpoint = *endpoints_[index];
    setEndpointTimer(index, std::nullopt);
    const bool frozen = endpoint.health.hasFrozenReport(now);
    frozenEndpoints_ += (frozen ? 1U : 0U);
    frozenEndpoints_ -= (endpoint.frozen ? 1U : 0U);
    endpoint.frozen = frozen;
    // If the reports of most endpoints are frozen, the fault is in the reporting. Endpoints are then judged by the tokens of their
    // own answers.
    const bool reportsFail = endpointIndex_.size() == 1 || 2 * frozenEndpoints_ > endpointIndex_.size();
    if (endpoint.health.check(now, reportsFail)) {
        actions.emplace_back(Probe{endpoint.load.info().id});
    }
    afterHealthChange(index, now);
}

void Pool::onLoadReport(const LoadReport &report, TimePoint now)
{
    const auto found = endpointIndex_.find(report.endpoint);
    if (found == endpointIndex_.end()) {
        return;
    }
    Endpoint &endpoint = *endpoints_[found->second];
    const double ratio = endpoint.load.onReport(report);
    const EndpointHealth::Phase before = endpoint.health.phase();
    endpoint.health.onReport(report, ratio / typicalCalibration_, endpoint.load.ownStreaming(), now);
    const bool works = endpoint.health.phase() == EndpointHealth::Phase::Working;
    if (ratio > 0 && works && before == EndpointHealth::Phase::Working) {
        // The gain starts at 1, so that the first reports correct a cost model that is wrong by a large factor.
        ++calibrationReports_;
        const double gain = std::max(0.02, 1.0 / static_cast<double>(calibrationReports_));
        if (calibrationReports_ < 10 || ratio < 4 * typicalCalibration_) {
            typicalCalibration_ += gain * (ratio - typicalCalibration_);
        }
        const double own = endpoint.load.calibration() + 0.1 * (ratio - endpoint.load.calibration());
        endpoint.load.setCalibration(std::clamp(own, 0.5 * typicalCalibration_, 2.0 * typicalCalibration_));
    } else if (!works) {
        endpoint.load.setCalibration(typicalCalibration_);
    }
    afterHealthChange(found->second, now);
}

std::optional<double> Pool::Endpoint::currentSlowness(TimePoint now) const
{
    return now - slownessAt < kSlownessLifetime ? slowness : std::nullopt;
}

void Pool::onSlowness(const RequestId &id, double slowness, TimePoint statedAt)
{
    const Request *request = find(id);
    if (request == nullptr || (request->state != State::Assigned && request->state != State::Streaming)) {
        return;
    }
    slowness_.add(slowness);
    Endpoint &endpoint = *endpoints_[request->endpoint];
    if (!endpoint.slowness || statedAt >= endpoint.slownessAt) {
        endpoint.slowness = slowness;
        endpoint.slownessAt = statedAt;
    }
}

void Pool::onCacheEvent(const CacheEvent &event)
{
    const auto found = endpointIndex_.find(event.endpoint);
    if (found == endpointIndex_.end() || event.prefixHash == 0) {
        return;
    }
    if (event.kind == CacheEvent::Kind::Inserted) {
        prefixes_.insert(found->second, event.prefixHash);
    } else {
        prefixes_.evict(found->second, event.prefixHash);
    }
}

// Estimates the pace of an endpoint from the time to a first token, until it is measured from the token rate of own answers. Where engines
// are replaced often, most requests go to engines whose token rate has not been measured yet.
void Pool::recordFirstTokenPace(const Request &request, TimePoint now)
{
    Endpoint &endpoint = *endpoints_[request.endpoint];
    if (request.work.movesFrom || endpoint.paceWindows > 0 || endpoint.health.hasReported() || request.modelFirstTokenSeconds <= 0) {
        return;
    }
    // The calibration includes slow periods on average, as the token rate does.
    const double mean = slowness_.mean();
    const double slowness = endpoint.currentSlowness(now).value_or(mean);
    const double ratio = secondsOf(now - request.assignedAt) / request.modelFirstTokenSeconds * mean / slowness;
    if (ratio < kMinPlausibleFirstToken * typicalCalibration_) {
        return;
    }
    const double own = endpoint.load.calibration() + kFirstTokenPaceGain * (ratio - endpoint.load.calibration());
    endpoint.load.setCalibration(std::clamp(own, 0.5 * typicalCalibration_, 2.0 * typicalCalibration_));
}

// Compares the token rate of own answers with the cost model, about once per second. If the endpoint sends no load reports, the
// ratio also calibrates the cost model.
void Pool::recordOwnPace(EndpointIndex index, double seconds, double modelSeconds, TimePoint now)
{
    Endpoint &endpoint = *endpoints_[index];
    endpoint.windowSeconds += seconds;
    endpoint.windowModelSeconds += modelSeconds;
    if (now - endpoint.windowBegin < std::chrono::seconds(1) || endpoint.windowSeconds < kMinWindowSeconds) {
        return;
    }
    const double ratio = endpoint.windowSeconds / endpoint.windowModelSeconds;
    endpoint.windowBegin = now;
    endpoint.windowSeconds = 0;
    endpoint.windowModelSeconds = 0;
    endpoint.health.onSlownessMeasured(ratio / typicalCalibration_, now);
    if (endpoint.health.phase() == EndpointHealth::Phase::Suspected) {
        afterHealthChange(index, now);
    } else if (!endpoint.health.hasReported()) {
        ++endpoint.paceWindows;
        const double gain = std::max(kMinPaceGain, 1.0 / (1.0 + endpoint.paceWindows));
        const double own = endpoint.load.calibration() + gain * (ratio - endpoint.load.calibration());
        endpoint.load.setCalibration(std::clamp(own, 0.5 * typicalCalibration_, 2.0 * typicalCalibration_));
        typicalCalibration_ += kTypicalCalibrationGain * (std::min(ratio, 2.0 * typicalCalibration_) - typicalCalibration_);
    }
}

} // namespace daisystream::internal
