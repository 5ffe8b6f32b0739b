#include "daisystream/scheduler/pool.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace daisystream::internal
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than a message from an entry VM takes, so that a first token that crosses a Cancel is seen before the request
// is assigned again.
constexpr milliseconds kCancelSettle(50);
// A request without first token is overdue after this multiple of the expected time, but not before the least time.
constexpr double kOverdueFactor = 4.0;
constexpr milliseconds kLeastOverdue(300);
constexpr double kSurelyOverdue = 2.0; // Multiple of the expected time below which nothing is overdue.
// Overdue first tokens in a row, without another first token in between, that make an endpoint suspect even if it made
// a token recently.
constexpr std::uint32_t kOverdueSigns = 2;
// An endpoint that made a token for any of its answers this recently is alive.
constexpr milliseconds kAliveWindow(1500);
// An endpoint that recovers waits so long for a request that a failure would not lose, before it gets any other.
constexpr seconds kTriesKept(5);
// Interval at which waiting requests are checked for whether they can still be served.
constexpr milliseconds kSweepInterval(50);
constexpr int kSweepTeams = 2;
// Endpoints tried, least loaded first, before a request has to wait. Bounds the cost of a decision.
constexpr int kCandidates = 6;
constexpr int kShedCandidates = 4;
// How much more loaded an endpoint with a cached prefix may be than the least loaded one that is free as well.
constexpr double kPrefixTolerance = 0.10;
constexpr std::size_t kPrefixesPerEndpoint = 2048;
constexpr milliseconds kResizeInterval(200);
constexpr seconds kShrinkDelay(3);
constexpr seconds kUrgentMemory(60);
// Reserved endpoints are sized for this multiple of the present urgent work, so that its fluctuations find room.
constexpr double kReservedHeadroom = 1.25;
// Ordinary work joins urgent work on an engine only up to this part of the step for which reserved engines are sized.
// Otherwise an overload of ordinary work would fill the headroom and lengthen the steps of urgent work.
constexpr double kOrdinaryJoins = 0.8;
// Prompts that an endpoint may have to read, in decode steps, when ordinary work is added.
constexpr std::uint64_t kOrdinaryPromptSteps = 4;
// An urgent answer may start on an endpoint whose step is longer than promised by this factor, if the step is short
// enough without the ordinary answers, which are not replaced when they end.
constexpr double kTransientStepFactor = 1.6;
constexpr double kLongestWait = 0.7; // Of the promised first-token time, in the queue.
// Tokens of a running answer that its team is charged ahead: about ten seconds. A team is to get its share within such a
// time, whereas charging whole answers would stop a team for minutes because of a few long ones.
constexpr double kChargedAhead = 300;
// Memory of an endpoint that may be in use when a running answer is moved there, with that answer.
constexpr double kMovedMemoryShare = 0.97;
// A copy of the largest answers takes 0.4 s between zones.
constexpr milliseconds kLongestCopy(1500);
// Shares of an endpoint's load that a target in another zone, or one that receives another copy, may have less.
constexpr double kFarMoveScore = 0.4;
constexpr double kIncomingScore = 1.0;
constexpr double kLongestAnswer = 131072; // Tokens, where the request gives no limit.
constexpr double kLongestRetry = 30.0;    // Seconds.
constexpr double kShortestRetry = 0.05;

/// @return the tokens that an endpoint has to read before the first token of a request.
std::uint32_t unreadTokens(const WorkRequest &work)
{
    return work.movesFrom ? 0 : work.promptTokens;
}

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration durationOf(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

Pool::Pool(const SchedulerOptions &options, LengthEstimator &lengths, ModelId model)
    : options_(options)
    , lengths_(lengths)
    , model_(std::move(model))
    , deviations_(normalDeviations(options.memoryQuantile))
    , queue_(options.ordinaryFloor)
    , prefixes_(kPrefixesPerEndpoint)
{
}

// --- Requests ---------------------------------------------------------------------------------------------------

Pool::Request *Pool::find(const RequestId &id)
{
    const auto found = requestIndex_.find(id);
    return found == requestIndex_.end() ? nullptr : &requests_[found->second];
}

bool Pool::knows(const RequestId &id) const
{
    return requestIndex_.contains(id);
}

Pool::Slot Pool::create(const WorkRequest &work)
{
    Slot slot = 0;
    if (freeSlots_.empty()) {
        slot = static_cast<Slot>(requests_.size());
        requests_.emplace_back();
    } else {
        slot = freeSlots_.back();
        freeSlots_.pop_back();
    }
    Request &request = requests_[slot];
    request.work = work;
    request.team = queue_.team(work.rank, work.team, work.weight);
    request.order = nextOrder_++;
    request.profile = lengths_.profileOf(work.lengthClass.empty() ? work.team : TeamId(work.lengthClass), model_);
    request.load.rank = work.rank;
    request.load.pace = work.paceTokensPerSecond;
    request.load.promptTokens = unreadTokens(work);
    requestIndex_.emplace(work.id, slot);
    return slot;
}

void Pool::destroy(Slot slot)
{
    setTimer(slot, std::nullopt);
    requestIndex_.erase(requests_[slot].work.id);
    requests_[slot] = Request{};
    freeSlots_.push_back(slot);
}

void Pool::setTimer(Slot slot, std::optional<TimePoint> at)
{
    Request &request = requests_[slot];
    if (request.timer) {
        timers_.erase({*request.timer, slot});
    }
    request.timer = at;
    if (at) {
        timers_.emplace(*at, slot);
    }
}

double Pool::lengthLimit(const WorkRequest &work) const
{
    return work.maxOutputTokens == 0 ? kLongestAnswer : work.maxOutputTokens;
}

void Pool::enqueue(Slot slot)
{
    Request &request = requests_[slot];
    request.state = State::Queued;
    if (request.work.movesFrom) {
        departures_[request.work.movesFrom->endpoint].waiting.push_back(slot);
        setTimer(slot, request.work.firstTokenDeadline);
        return;
    }
    queue_.push(request.team, request.order, slot);
    // What has waited this long is refused while the caller can still do something else with the rest of the time.
    const Duration promise = std::max(Duration{}, request.work.firstTokenDeadline - request.work.arrival);
    setTimer(slot, request.work.arrival + std::chrono::duration_cast<Duration>(kLongestWait * promise));
}

void Pool::dequeue(Slot slot)
{
    Request &request = requests_[slot];
    if (request.state == State::Queued && request.work.movesFrom) {
        std::erase(departures_[request.work.movesFrom->endpoint].waiting, slot);
    } else if (request.state == State::Queued) {
        queue_.remove(request.team, request.order);
    }
    setTimer(slot, std::nullopt);
}

// Counts a request as running at an endpoint; `request.load.memory` is set.
void Pool::attach(Slot slot, EndpointIndex index, TimePoint now)
{
    Request &request = requests_[slot];
    Endpoint &endpoint = *endpoints_[index];
    request.endpoint = index;
    request.wasAssigned = true;
    request.progressAt = now;
    request.assignedAt = now;
    request.load.awaitingFirstToken = request.state == State::Assigned;
    request.expected = std::min(kChargedAhead, lengths_.expectedRemaining(request.profile, request.generated, lengthLimit(request.work)));
    queue_.reserve(request.team, request.expected);
    endpoint.load.add(request.load);
    endpoint.requests.insert(slot);
    // How long the copy of a moving answer takes says nothing of its endpoint.
    if (request.state == State::Assigned && !request.work.movesFrom) {
        const double firstToken = endpoint.load.firstTokenMilliseconds(unreadTokens(request.work)) / 1000.0;
        const Duration late = std::max<Duration>(kLeastOverdue, durationOf(kOverdueFactor * firstToken));
        // Half of the time left is kept for a second attempt.
        const Duration half = std::max<Duration>((request.work.firstTokenDeadline - now) / 2, durationOf(kSurelyOverdue * firstToken));
        setTimer(slot, now + std::min(late, half));
        if (request.work.rank == Rank::Ordinary && request.work.mayMove) {
            ordinaryAwaiting_.emplace(now, slot);
        }
    }
    reindex(index);
}

void Pool::detach(Slot slot)
{
    Request &request = requests_[slot];
    Endpoint &endpoint = *endpoints_[request.endpoint];
    endMove(slot);
    ordinaryAwaiting_.erase({request.assignedAt, slot});
    queue_.release(request.team, request.expected);
    endpoint.load.remove(request.load);
    endpoint.requests.erase(slot);
    setTimer(slot, std::nullopt);
    reindex(request.endpoint);
}

// Takes an assigned request without first token back from its endpoint.
void Pool::takeBack(Slot slot, TimePoint now)
{
    Request &request = requests_[slot];
    detach(slot);
    request.state = State::Held;
    setTimer(slot, now + kCancelSettle);
    pending_.emplace_back(Cancel{request.work.id, endpoints_[request.endpoint]->load.info().id});
}

void Pool::submit(const WorkRequest &work, TimePoint now)
{
    if (knows(work.id)) {
        return;
    }
    const Slot slot = create(work);
    enqueue(slot);
    if (work.movesFrom) {
        return;
    }
    fresh_.push_back(slot);
    if (work.mayRepeat) {
        repeatableSeenAt_ = now;
    }
    if (work.rank == Rank::Urgent) {
        urgentSeenAt_ = now;
        urgentPace_ = work.paceTokensPerSecond;
    }
}

void Pool::withdraw(const RequestId &id, TimePoint now)
{
    if (const Request *request = find(id)) {
        onFinished(id, request->generated, FinishReason::Cancelled, now);
    }
}

void Pool::onFirstToken(const RequestId &id, TimePoint now)
{
    const auto found = requestIndex_.find(id);
    if (found == requestIndex_.end()) {
        return;
    }
    const Slot slot = found->second;
    Request &request = requests_[slot];
    if (request.state == State::Held || request.state == State::Queued) {
        // The first token crossed the Cancel: the request still runs where it was.
        if (!request.wasAssigned || endpoints_[request.endpoint] == nullptr) {
            return;
        }
        dequeue(slot);
        request.state = State::Streaming;
        attach(slot, request.endpoint, now);
    } else if (request.state == State::Assigned) {
        endMove(slot);
        ordinaryAwaiting_.erase({request.assignedAt, slot});
        setTimer(slot, std::nullopt);
        request.state = State::Streaming;
        endpoints_[request.endpoint]->load.firstToken(request.load);
    } else {
        return;
    }
    request.progressAt = now;
    request.generated = std::max(1U, request.generated);
    Endpoint &endpoint = *endpoints_[request.endpoint];
    endpoint.tokenAt = now;
    endpoint.overdue = 0;
    endpoint.health.onFirstToken(now);
    reindex(request.endpoint);
}

void Pool::onProgress(const RequestId &id, std::uint32_t generated, TimePoint now)
{
    Request *request = find(id);
    if (request == nullptr || generated == 0) {
        return;
    }
    if (request->state != State::Streaming) {
        onFirstToken(id, now);
    }
    if (request->state != State::Streaming || generated <= request->generated) {
        return;
    }
    const double tokens = generated - request->generated;
    const double elapsed = secondsOf(now - request->progressAt);
    request->generated = generated;
    request->progressAt = now;
    Endpoint &endpoint = *endpoints_[request->endpoint];
    endpoint.tokenAt = now;
    const double limit = lengthLimit(request->work);
    endpoint.load.progress(request->load, MemoryForecast::contribution(lengths_, request->profile, request->work.promptTokens, generated, limit));
    queue_.generated(request->team, tokens, now);
    const double expected = std::min(kChargedAhead, lengths_.expectedRemaining(request->profile, generated, limit));
    queue_.adjust(request->team, request->expected, expected);
    request->expected = expected;
    reindex(request->endpoint);
    noteOwnPace(request->endpoint, elapsed, tokens, now);
}

void Pool::onFinished(const RequestId &id, std::uint32_t generated, FinishReason reason, TimePoint now)
{
    const auto found = requestIndex_.find(id);
    if (found == requestIndex_.end()) {
        return;
    }
    const Slot slot = found->second;
    Request &request = requests_[slot];
    if (request.state == State::Queued || request.state == State::Held) {
        dequeue(slot);
        destroy(slot);
        return;
    }
    Endpoint &endpoint = *endpoints_[request.endpoint];
    const EndpointIndex index = request.endpoint;
    if (generated > request.generated) {
        queue_.generated(request.team, generated - request.generated, now);
        endpoint.tokenAt = now;
    }
    if (generated > 0) {
        const bool whole = reason == FinishReason::Complete && (request.work.maxOutputTokens == 0 || generated < request.work.maxOutputTokens);
        lengths_.observe(request.profile, generated, whole, now);
        meanTokens_ += 0.02 * (generated - meanTokens_);
    }
    if (reason == FinishReason::Complete) {
        endpoint.health.onFirstToken(now);
    }
    detach(slot);
    destroy(slot);
    if (reason == FinishReason::Failed) {
        endpoint.health.onFailed(now);
        afterHealthChange(index, now);
    }
}

void Pool::onRunning(const WorkRequest &work, const EndpointId &endpoint, std::uint32_t generated, TimePoint now)
{
    const auto target = endpointIndex_.find(endpoint);
    if (target == endpointIndex_.end()) {
        return;
    }
    const auto found = requestIndex_.find(work.id);
    Slot slot = 0;
    if (found == requestIndex_.end()) {
        slot = create(work);
    } else {
        slot = found->second;
        const State state = requests_[slot].state;
        if (state == State::Assigned || state == State::Streaming) {
            detach(slot);
        } else {
            dequeue(slot);
        }
    }
    Request &request = requests_[slot];
    request.generated = generated;
    request.state = generated == 0 ? State::Assigned : State::Streaming;
    request.load.memory = MemoryForecast::contribution(lengths_, request.profile, work.promptTokens, generated, lengthLimit(work));
    attach(slot, target->second, now);
}

// --- Endpoints --------------------------------------------------------------------------------------------------

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

// Compares the pace of own answers with the expected one, about once a second.
void Pool::noteOwnPace(EndpointIndex index, double seconds, double tokens, TimePoint now)
{
    Endpoint &endpoint = *endpoints_[index];
    endpoint.windowSeconds += seconds;
    endpoint.windowTokens += tokens;
    if (now - endpoint.windowBegin < std::chrono::seconds(1) || endpoint.windowSeconds < 0.5) {
        return;
    }
    const double measured = 1000.0 * endpoint.windowSeconds / std::max(1.0, endpoint.windowTokens);
    endpoint.windowBegin = now;
    endpoint.windowSeconds = 0;
    endpoint.windowTokens = 0;
    endpoint.health.onOwnPace(measured / endpoint.load.stepMilliseconds(0, 0), now);
    if (endpoint.health.phase() == EndpointHealth::Phase::Suspected) {
        afterHealthChange(index, now);
    }
}

// --- Decisions --------------------------------------------------------------------------------------------------

void Pool::decide(TimePoint now, std::vector<Action> &actions)
{
    decidedAt_ = now;
    runTimers(now, actions);
    resizeReserved(now);
    dispatchMoves(now, actions);
    dispatch(now, actions);
    refuseHopeless(now, actions);
    // Requests that a suspect endpoint lost; their Cancel must precede a new Assign, which follows after a pause.
    actions.insert(actions.end(), std::make_move_iterator(pending_.begin()), std::make_move_iterator(pending_.end()));
    pending_.clear();
}

std::optional<TimePoint> Pool::nextWake() const
{
    std::optional<TimePoint> wake;
    const auto consider = [&](TimePoint at) {
        wake = wake ? std::min(*wake, at) : at;
    };
    if (!pending_.empty() || !fresh_.empty()) {
        consider(decidedAt_);
    }
    if (!timers_.empty()) {
        consider(timers_.begin()->first);
    }
    if (!endpointTimers_.empty()) {
        consider(endpointTimers_.begin()->first);
    }
    if (queue_.queued(Rank::Urgent) + queue_.queued(Rank::Ordinary) > 0) {
        consider(decidedAt_ + kSweepInterval);
    }
    return wake;
}

void Pool::runTimers(TimePoint now, std::vector<Action> &actions)
{
    while (!timers_.empty() && timers_.begin()->first <= now) {
        runTimer(timers_.begin()->second, now, actions);
    }
    while (!endpointTimers_.empty() && endpointTimers_.begin()->first <= now) {
        checkEndpoint(endpointTimers_.begin()->second, now, actions);
    }
}

void Pool::runTimer(Slot slot, TimePoint now, std::vector<Action> &actions)
{
    Request &request = requests_[slot];
    setTimer(slot, std::nullopt);
    if (request.state == State::Held) {
        enqueue(slot);
        fresh_.push_back(slot);
    } else if (request.state == State::Queued) {
        refuse(slot, ResultCode::QueueDeadlinePassed, "no endpoint became free before the deadline", waitOf(request, 1, now), now, actions);
    } else if (request.state == State::Assigned) {
        Endpoint &endpoint = *endpoints_[request.endpoint];
        if (++endpoint.overdue >= kOverdueSigns || now - endpoint.tokenAt >= kAliveWindow) {
            endpoint.overdue = 0;
            endpoint.health.onFirstTokenOverdue(now);
            afterHealthChange(request.endpoint, now); // Takes this request back as well.
        }
        if (request.state == State::Assigned && request.work.mayMove) {
            takeBack(slot, now);
        }
    }
}

// Number of endpoints that the present urgent work needs at a short step.
std::size_t Pool::wantedReserved() const
{
    const std::size_t usable = reserved_.size() + general_.size();
    const bool recent = urgentSeenAt_ && decidedAt_ - *urgentSeenAt_ < kUrgentMemory;
    if (!options_.reservesEndpoints || usable < 2 || !recent || urgentPace_ <= 0) {
        return 0;
    }
    const auto &least = general_.empty() ? *reserved_.begin() : *general_.begin();
    const EndpointInfo &info = endpoints_[least.second]->load.info();
    const double step = options_.urgentStepShare * 1000.0 / urgentPace_ / typicalCalibration_;
    const double tokens = 2.0 * meanTokens_; // Long answers stay longest, so an answer in progress is longer than the mean.
    const double perAnswer = info.stepCost.perSequenceMilliseconds + info.stepCost.perThousandTokensMilliseconds * tokens / 1000.0;
    double answers = std::max(1.0, (step - info.stepCost.baseMilliseconds) / std::max(1e-6, perAnswer));
    answers = std::min<double>(answers, info.maxBatch);
    const auto demand = static_cast<double>(queue_.running(Rank::Urgent) + queue_.queued(Rank::Urgent));
    const auto wanted = static_cast<std::size_t>(std::ceil(kReservedHeadroom * (demand + 1) / answers));
    return std::min(usable, wanted);
}

void Pool::resizeReserved(TimePoint now)
{
    if (now - resizedAt_ < kResizeInterval) {
        return;
    }
    resizedAt_ = now;
    const std::size_t wanted = wantedReserved();
    if (wanted >= reserved_.size()) {
        shrinkAllowedAt_ = now + kShrinkDelay;
    }
    while (reserved_.size() < wanted && !general_.empty()) {
        changeReserved(true);
    }
    if (reserved_.size() > wanted && now >= shrinkAllowedAt_) {
        changeReserved(false);
        shrinkAllowedAt_ = now + kShrinkDelay;
    }
}

void Pool::changeReserved(bool grow)
{
    const Index &from = grow ? general_ : reserved_;
    const EndpointIndex index = from.begin()->second;
    Endpoint &endpoint = *endpoints_[index];
    (grow ? general_ : reserved_).erase({endpoint.score, index});
    endpoint.indexed = false;
    endpoint.reserved = grow;
    reindex(index);
}

void Pool::dispatch(TimePoint now, std::vector<Action> &actions)
{
    while (const std::optional<Rank> rank = queue_.nextRank(now)) {
        const bool floorTurn = *rank == Rank::Ordinary && queue_.queued(Rank::Urgent) > 0;
        if (dispatchHead(*rank, floorTurn, now, actions)) {
            continue;
        }
        if (floorTurn && dispatchHead(Rank::Urgent, false, now, actions)) {
            continue;
        }
        return;
    }
}

void Pool::dispatchMoves(TimePoint now, std::vector<Action> &actions)
{
    for (auto departure = departures_.begin(); departure != departures_.end();) {
        auto &[waiting, copying, since] = departure->second;
        if (copying && now - since >= kLongestCopy) {
            endMove(*copying); // Whoever makes the copy has failed; the others must not wait for it.
        }
        while (!copying && dispatchMove(waiting, now, actions)) { }
        departure = waiting.empty() && !copying ? departures_.erase(departure) : std::next(departure);
    }
}

// Gives an endpoint to the waiting answer whose memory is copied soonest: so the most are saved before the endpoint is gone.
bool Pool::dispatchMove(std::vector<Slot> &waiting, TimePoint now, std::vector<Action> &actions)
{
    const auto tokensOf = [this](Slot slot) {
        return requests_[slot].work.promptTokens + requests_[slot].work.heldTokens;
    };
    std::sort(waiting.begin(), waiting.end(), [&](Slot one, Slot other) { return tokensOf(one) < tokensOf(other); });
    for (const Slot slot : waiting) {
        const Request &request = requests_[slot];
        if (const auto target = chooseMoveTarget(request)) {
            const auto memory
                = MemoryForecast::contribution(lengths_, request.profile, request.work.promptTokens, request.work.heldTokens, lengthLimit(request.work));
            auto &departure = departures_[request.work.movesFrom->endpoint];
            assign(slot, {.endpoint = *target, .prefixCached = false}, memory, now, actions); // Takes it out of `waiting`.
            departure.copying = slot;
            departure.copyingSince = now;
            ++endpoints_[*target]->incoming;
            return true;
        }
    }
    return false;
}

void Pool::endMove(Slot slot)
{
    const Request &request = requests_[slot];
    if (!request.work.movesFrom) {
        return;
    }
    const auto departure = departures_.find(request.work.movesFrom->endpoint);
    if (departure != departures_.end() && departure->second.copying == slot) {
        departure->second.copying.reset();
        endpoints_[request.endpoint]->incoming -= 1;
    }
}

// The alternative is the loss of a running answer: memory that suffices now will do.
std::optional<Pool::EndpointIndex> Pool::chooseMoveTarget(const Request &request) const
{
    std::optional<EndpointIndex> best;
    double bestScore = 0;
    for (EndpointIndex index = 0; index < endpoints_.size(); ++index) {
        if (endpoints_[index] == nullptr || !endpoints_[index]->indexed) {
            continue;
        }
        const Endpoint &endpoint = *endpoints_[index];
        const EndpointLoad &load = endpoint.load;
        const double held = load.heldShare(request.work.promptTokens + request.work.heldTokens);
        if (load.info().id == request.work.movesFrom->endpoint || held > kMovedMemoryShare || load.running() + 1 > load.info().maxBatch) {
            continue;
        }
        const bool isFar = load.info().zone != request.work.movesFrom->zone;
        // Prompts that wait there do not matter: the answer needs none to be read.
        const double score = held + (isFar ? kFarMoveScore : 0.0) + kIncomingScore * endpoint.incoming;
        if (!best || score < bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return best;
}

bool Pool::dispatchHead(Rank rank, bool floorTurn, TimePoint now, std::vector<Action> &actions)
{
    const auto slot = static_cast<Slot>(queue_.head(rank)->ticket);
    const Request &request = requests_[slot];
    const auto memory = MemoryForecast::contribution(lengths_, request.profile, request.work.promptTokens, request.work.heldTokens, lengthLimit(request.work));
    std::optional<Choice> choice = choose(request, memory, floorTurn, now);
    if (!choice && rank == Rank::Urgent && shedFor(slot, now, actions)) {
        choice = choose(request, memory, false, now);
    }
    if (!choice) {
        return false;
    }
    assign(slot, *choice, memory, now, actions);
    return true;
}

// Takes back an ordinary request without first token if that makes room for an urgent one.
bool Pool::shedFor(Slot urgent, TimePoint now, std::vector<Action> &actions)
{
    if (!queue_.ordinaryAboveFloor(now)) {
        return false;
    }
    const Request &request = requests_[urgent];
    const auto memory = MemoryForecast::contribution(lengths_, request.profile, request.work.promptTokens, request.work.heldTokens, lengthLimit(request.work));
    std::vector<Slot> candidates;
    for (auto latest = ordinaryAwaiting_.rbegin(); latest != ordinaryAwaiting_.rend() && candidates.size() < kShedCandidates; ++latest) {
        candidates.push_back(latest->second);
    }
    for (const Slot candidate : candidates) {
        Request &victim = requests_[candidate];
        Endpoint &endpoint = *endpoints_[victim.endpoint];
        endpoint.load.remove(victim.load);
        const bool helps = admits(endpoint, request, memory, false, now);
        endpoint.load.add(victim.load);
        if (helps) {
            takeBack(candidate, now);
            actions.push_back(pending_.back());
            pending_.pop_back();
            return true;
        }
    }
    return false;
}

std::optional<Pool::Choice> Pool::choose(const Request &request, const MemoryForecast::Contribution &memory, bool floorTurn, TimePoint now) const
{
    const bool urgent = request.work.rank == Rank::Urgent;
    const Index &first = urgent ? reserved_ : general_;
    std::optional<EndpointIndex> best = chooseFrom(first, request, memory, floorTurn, now);
    if (!best) {
        best = chooseFrom(urgent ? general_ : reserved_, request, memory, floorTurn, now);
    }
    if (!best) {
        return std::nullopt;
    }
    Choice choice{*best, false};
    const Endpoint &least = *endpoints_[*best];
    for (const EndpointIndex index : prefixes_.endpointsOf(request.work.prefixHash)) {
        const Endpoint &holder = *endpoints_[index];
        const bool close = holder.indexed && holder.reserved == least.reserved && holder.score <= least.score + kPrefixTolerance;
        if (close && (index == *best || admits(holder, request, memory, floorTurn, now))) {
            return Choice{index, true};
        }
    }
    return choice;
}

std::optional<Pool::EndpointIndex>
Pool::chooseFrom(const Index &index, const Request &request, const MemoryForecast::Contribution &memory, bool floorTurn, TimePoint now) const
{
    int tried = 0;
    for (auto candidate = index.begin(); candidate != index.end() && tried < kCandidates; ++candidate, ++tried) {
        if (admits(*endpoints_[candidate->second], request, memory, floorTurn, now)) {
            return candidate->second;
        }
    }
    return std::nullopt;
}

bool Pool::admits(const Endpoint &endpoint, const Request &request, const MemoryForecast::Contribution &memory, bool floorTurn, TimePoint now) const
{
    const WorkRequest &work = request.work;
    const EndpointLoad &load = endpoint.load;
    if (work.avoids == load.info().id && reserved_.size() + general_.size() > 1) {
        return false;
    }
    // A recovering endpoint is tried with requests that it cannot lose, while there are any.
    const bool othersTry = !work.mayRepeat && repeatableSeenAt_ && now - *repeatableSeenAt_ < kTriesKept;
    if (endpoint.health.phase() == EndpointHealth::Phase::Recovering && othersTry) {
        return false;
    }
    const bool yields = work.rank == Rank::Ordinary && !floorTurn && urgentSeenAt_;
    const double usable = yields ? 1.0 - options_.urgentReserve : 1.0;
    if (!endpoint.health.accepts(load.awaitingFirstToken()) || load.running() + 1.0 > std::max(1.0, usable * load.info().maxBatch)) {
        return false;
    }
    if (load.firstTokenMilliseconds(unreadTokens(work)) > 1000.0 * secondsOf(work.firstTokenDeadline - now)) {
        return false;
    }
    if (load.running() == 0) {
        return true; // An idle endpoint cannot do better later.
    }
    if (load.memoryShare(memory, deviations_) > usable || !keepsPace(endpoint, work, floorTurn, now)) {
        return false;
    }
    // At the turn of its floor, ordinary work is admitted like urgent work.
    return work.rank == Rank::Urgent || floorTurn || sparesUrgent(endpoint, work);
}

bool Pool::keepsPace(const Endpoint &endpoint, const WorkRequest &work, bool floorTurn, TimePoint now) const
{
    const EndpointLoad &load = endpoint.load;
    const double step = load.stepMilliseconds(1, work.promptTokens);
    // Urgent work stays below the margin, so that there is room for ordinary work when it is the turn of its floor.
    const double limit = load.paceLimit(work.paceTokensPerSecond, floorTurn ? 1.0 : options_.paceMargin);
    if (work.rank == Rank::Urgent) {
        // Ordinary answers make room only as long as they are not replaced, which they are at the floor.
        const bool makesRoom = step <= kTransientStepFactor * limit && queue_.ordinaryAboveFloor(now);
        return step <= limit || (makesRoom && load.urgentStepMilliseconds(1, work.promptTokens) <= limit);
    }
    const bool shared = endpoint.reserved || load.running(Rank::Urgent) > 0;
    const double fastest = endpoint.reserved ? std::max(urgentPace_, work.paceTokensPerSecond) : work.paceTokensPerSecond;
    return step <= (shared && !floorTurn ? load.paceLimit(fastest, kOrdinaryJoins * options_.urgentStepShare) : limit);
}

// Whether prompts of ordinary work leave the first token of urgent work in time.
bool Pool::sparesUrgent(const Endpoint &endpoint, const WorkRequest &work) const
{
    const EndpointLoad &load = endpoint.load;
    const bool shared = endpoint.reserved || load.running(Rank::Urgent) > 0;
    const std::uint64_t steps = shared ? 1 : kOrdinaryPromptSteps;
    return load.pendingPromptTokens() == 0 || load.pendingPromptTokens() + unreadTokens(work) <= steps * load.info().stepCost.prefillTokensPerStep;
}

void Pool::assign(Slot slot, const Choice &choice, const MemoryForecast::Contribution &memory, TimePoint now, std::vector<Action> &actions)
{
    Request &request = requests_[slot];
    const EndpointLoad &load = endpoints_[choice.endpoint]->load;
    DecisionFigures figures;
    figures.queuedUrgent = static_cast<std::uint32_t>(queue_.queued(Rank::Urgent));
    figures.queuedOrdinary = static_cast<std::uint32_t>(queue_.queued(Rank::Ordinary));
    figures.running = load.running();
    figures.forecastMemory = load.memoryShare(memory, deviations_);
    figures.stepMilliseconds = load.stepMilliseconds(1, request.work.promptTokens);
    figures.waited = std::chrono::duration_cast<std::chrono::microseconds>(now - request.work.arrival);
    figures.firstTokenIn = std::chrono::microseconds(std::lround(1000.0 * load.firstTokenMilliseconds(unreadTokens(request.work))));
    figures.prefixCached = choice.prefixCached;
    dequeue(slot);
    request.state = State::Assigned;
    request.load.memory = memory;
    request.generated = request.work.heldTokens;
    attach(slot, choice.endpoint, now);
    figures.expectedTokens = lengths_.expectedRemaining(request.profile, 0, lengthLimit(request.work));
    waits_.dispatched(request.work.rank, now);
    actions.emplace_back(Assign{request.work.id, load.info().id, static_cast<std::uint8_t>(request.work.rank), figures});
}

// --- Refusals ---------------------------------------------------------------------------------------------------

double Pool::waitOf(const Request &request, double position, TimePoint now) const
{
    const Rank rank = request.work.rank;
    // Answers end at least at about this rate, since each takes a step a token.
    const auto running = static_cast<double>(queue_.running(Rank::Urgent) + queue_.running(Rank::Ordinary));
    const double step = general_.empty() && reserved_.empty()
        ? 1.0
        : endpoints_[(general_.empty() ? reserved_ : general_).begin()->second]->load.stepMilliseconds(0, 0) / 1000.0;
    double least = 0.5 * running / (std::max(16.0, meanTokens_) * step);
    if (rank == Rank::Ordinary && queue_.queued(Rank::Urgent) > 0) {
        least *= options_.ordinaryFloor;
    }
    const bool first = position <= 1 && queue_.isNext(request.team);
    return waits_.seconds(rank, position, first ? 1.0 : queue_.shareOf(request.team), least, now);
}

// Seconds that a request can wait and still get its first token in time.
double Pool::slackOf(const Request &request, TimePoint now) const
{
    const Index &index = general_.empty() ? reserved_ : general_;
    const double firstToken = endpoints_[index.begin()->second]->load.idleFirstTokenMilliseconds(unreadTokens(request.work)) / 1000.0;
    const double promise = secondsOf(request.work.firstTokenDeadline - request.work.arrival);
    return std::min(secondsOf(request.work.firstTokenDeadline - now) - firstToken, kLongestWait * promise - secondsOf(now - request.work.arrival));
}

bool Pool::refuseIfHopeless(const FairQueue::Item &item, TimePoint now, std::vector<Action> &actions)
{
    const auto slot = static_cast<Slot>(item.ticket);
    const Request &request = requests_[slot];
    if (reserved_.empty() && general_.empty()) {
        // Recovering endpoints with a trial in progress are out of the index for the moment, but will serve.
        const bool recovering = std::any_of(endpoints_.begin(), endpoints_.end(), [](const auto &endpoint) {
            return endpoint != nullptr && endpoint->load.info().state == EndpointState::InService
                && endpoint->health.phase() == EndpointHealth::Phase::Recovering;
        });
        if (recovering) {
            return false;
        }
        refuse(slot, ResultCode::NoEndpoint, "no endpoint of the model is in service", secondsOf(options_.probeInterval), now, actions);
        return true;
    }
    const double wait = waitOf(request, static_cast<double>(queue_.queued(item.team)), now);
    const double slack = slackOf(request, now);
    if (wait <= slack) {
        return false;
    }
    refuse(slot, ResultCode::PromiseCannotBeMet, "the promised first-token time cannot be met", wait - slack, now, actions);
    return true;
}

void Pool::refuseHopeless(TimePoint now, std::vector<Action> &actions)
{
    for (const Slot slot : fresh_) {
        const Request &request = requests_[slot];
        if (request.state == State::Queued) {
            refuseIfHopeless({request.team, request.order, slot}, now, actions);
        }
    }
    fresh_.clear();
    // A few of the others at each decision: they were in time when they came, but other work may have come since.
    for (int i = 0; i < kSweepTeams; ++i) {
        const auto team = queue_.visitBacklogged();
        if (!team) {
            return;
        }
        while (const auto tail = queue_.tail(*team)) {
            if (!refuseIfHopeless(*tail, now, actions)) {
                break;
            }
        }
    }
}

void Pool::refuse(Slot slot, ResultCode code, const char *detail, double wait, TimePoint now, std::vector<Action> &actions)
{
    const Request &request = requests_[slot];
    dequeue(slot);
    // Callers that are told to come back are spread over time at the rate at which the team is served.
    TimePoint &latest = retryAt_[request.team];
    const double interval = waitOf(request, 1, now);
    const TimePoint retry = std::max(now + durationOf(std::clamp(wait, kShortestRetry, kLongestRetry)), latest + durationOf(interval));
    latest = std::min(retry, now + durationOf(kLongestRetry));
    const auto after = std::chrono::ceil<milliseconds>(latest - now);
    actions.emplace_back(Refuse{request.work.id, Error{code, detail, after}});
    destroy(slot);
}

} // namespace daisystream::internal
