#include "daisystream/scheduler/pool.h"
#include "daisystream/scheduler/poolparts.h"

#include <algorithm>
#include <chrono>

namespace daisystream::internal
{

namespace
{

using std::chrono::seconds;

constexpr double kLeastWindow = 0.5; // Seconds of decoding, summed over answers, that tell a pace.
// How fast the calibration of an endpoint follows its measured pace, and that of an unknown one follows all.
constexpr double kLeastPaceGain = 0.2;
constexpr double kTypicalGain = 0.02;

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
            takeBack(slot, now);
            requests_[slot].wasAssigned = false; // A first token can no longer come from there.
        } else {
            detach(slot);
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
    frozen_ -= endpoint.frozen ? 1 : 0;
    setEndpointTimer(index, std::nullopt);
    prefixes_.clear(index);
    endpointIndex_.erase(endpoint.load.info().id);
    endpoints_[index].reset();
    freeEndpoints_.push_back(index);
}

// Puts an endpoint at its place by load, or takes it out if it receives no work.
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
    const double memory = endpoint.load.memoryShare({}, deviations_);
    const double batch = static_cast<double>(endpoint.load.running()) / std::max(1U, info.maxBatch);
    const double prompts = static_cast<double>(endpoint.load.pendingPromptTokens())
        / static_cast<double>(2 * kOrdinaryPromptSteps * std::max(1U, info.stepCost.prefillTokensPerStep));
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

// Moves requests without first token away from an endpoint that has just become suspect, and plans its next check.
void Pool::afterHealthChange(EndpointIndex index, TimePoint now)
{
    Endpoint &endpoint = *endpoints_[index];
    if (endpoint.health.phase() == EndpointHealth::Phase::Suspected) {
        const std::set<Slot> affected = endpoint.requests;
        for (const Slot slot : affected) {
            if (requests_[slot].state == State::Assigned && requests_[slot].work.mayMove) {
                takeBack(slot, now);
            }
        }
    }
    reindex(index);
    std::optional<TimePoint> next = endpoint.health.nextCheck();
    if (next && *next <= now) {
        next = now + options_.probeInterval / 2; // A frozen report that is ignored, see `checkEndpoint`.
    }
    // A check moves later with every report. The timer is not moved along, but set anew when it fires.
    if (next && (!endpoint.timer || *next < *endpoint.timer)) {
        setEndpointTimer(index, next);
    }
}

void Pool::checkEndpoint(EndpointIndex index, TimePoint now, std::vector<Action> &actions)
{
    Endpoint &endpoint = *endpoints_[index];
    setEndpointTimer(index, std::nullopt);
    const bool frozen = endpoint.health.hasFrozenReport(now);
    frozen_ += (frozen ? 1U : 0U);
    frozen_ -= (endpoint.frozen ? 1U : 0U);
    endpoint.frozen = frozen;
    // Where most reports are frozen, the fault lies in the reporting; endpoints are then judged by their own tokens.
    const bool reportsFail = endpointIndex_.size() == 1 || 2 * frozen_ > endpointIndex_.size();
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
        // The first reports count fully, so that a cost model that is off by a factor is corrected at once.
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

// Compares the pace of own answers with that of the cost model, about once a second. Without load reports, it calibrates the model.
void Pool::noteOwnPace(EndpointIndex index, double seconds, double modelSeconds, TimePoint now)
{
    Endpoint &endpoint = *endpoints_[index];
    endpoint.windowSeconds += seconds;
    endpoint.windowModelSeconds += modelSeconds;
    if (now - endpoint.windowBegin < std::chrono::seconds(1) || endpoint.windowSeconds < kLeastWindow) {
        return;
    }
    const double ratio = endpoint.windowSeconds / endpoint.windowModelSeconds;
    endpoint.windowBegin = now;
    endpoint.windowSeconds = 0;
    endpoint.windowModelSeconds = 0;
    endpoint.health.onOwnPace(ratio / typicalCalibration_, now);
    if (endpoint.health.phase() == EndpointHealth::Phase::Suspected) {
        afterHealthChange(index, now);
    } else if (!endpoint.health.reports()) {
        ++endpoint.paceWindows;
        const double gain = std::max(kLeastPaceGain, 1.0 / (1.0 + endpoint.paceWindows));
        const double own = endpoint.load.calibration() + gain * (ratio - endpoint.load.calibration());
        endpoint.load.setCalibration(std::clamp(own, 0.5 * typicalCalibration_, 2.0 * typicalCalibration_));
        typicalCalibration_ += kTypicalGain * (std::min(ratio, 2.0 * typicalCalibration_) - typicalCalibration_);
    }
}

} // namespace daisystream::internal
