#include "daisystream/scheduler/pool.h"
#include "daisystream/scheduler/poolinternal.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace daisystream::internal
{

namespace
{

using std::chrono::milliseconds;

// Time between a Cancel and a new assignment of the request. It is longer than a message from an entry VM takes, so that a
// first token that was under way when the Cancel was sent arrives before the request is assigned again.
constexpr milliseconds kCancelGracePeriod(50);
// An assigned request times out if its first token takes longer than this multiple of the expected time.
constexpr double kFirstTokenTimeoutFactor = 4.0;
constexpr milliseconds kMinFirstTokenTimeout(300);  // Shortest timeout for a first token.
constexpr double kMinFirstTokenTimeoutFactor = 2.0; // Also a lower bound of that timeout, as a multiple of the expected time.
constexpr std::size_t kPrefixesPerEndpoint = 2048;
// Upper bound of the tokens that are reserved in the fair queue for a running answer; about ten seconds of decoding. Each team is
// to get its share over periods of this length. Reserving the whole expected length would stop a team for minutes because
// of a few long answers.
constexpr double kMaxReservedTokens = 300;
constexpr double kDefaultLengthLimitTokens = 131072; // Limit of an answer's length if the request sets none.

} // namespace

Pool::Pool(const SchedulerOptions &options, LengthEstimator &lengths, ModelId model)
    : options_(options)
    , lengths_(lengths)
    , model_(std::move(model))
    , memoryDeviations_(normalDeviations(options.memoryQuantile))
    , queue_(options.ordinaryFloor)
    , prefixes_(kPrefixesPerEndpoint)
{
}

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
    request.firstTokenLimit = work.firstTokenDeadline;
    request.team = queue_.team(work.rank, work.team, work.weight);
    request.order = nextOrder_++;
    request.profile = lengths_.profileOf(work.lengthClass.empty() ? work.team : TeamId(work.lengthClass), model_);
    request.load.rank = work.rank;
    request.load.pace = work.paceTokensPerSecond;
    request.load.promptTokens = prefillTokens(work);
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
    return work.maxOutputTokens == 0 ? kDefaultLengthLimitTokens : work.maxOutputTokens;
}

void Pool::enqueue(Slot slot)
{
    Request &request = requests_[slot];
    request.state = State::Queued;
    if (request.work.movesFrom) {
        evacuations_[request.work.movesFrom->endpoint].waiting.push_back(slot);
        setTimer(slot, request.work.firstTokenDeadline);
        return;
    }
    queue_.push(request.team, request.order, slot);
    // Refusing the request before its deadline leaves the caller time to try something else.
    const Duration promise = std::max(Duration{}, request.work.firstTokenDeadline - request.work.arrival);
    setTimer(slot, request.work.arrival + std::chrono::duration_cast<Duration>(kMaxQueueTimeShare * promise));
}

void Pool::dequeue(Slot slot)
{
    Request &request = requests_[slot];
    if (request.state == State::Queued && request.work.movesFrom) {
        std::erase(evacuations_[request.work.movesFrom->endpoint].waiting, slot);
    } else if (request.state == State::Queued) {
        queue_.remove(request.team, request.order);
    } else if (request.state == State::Late) {
        lateRequests_.erase({request.work.rank, request.work.arrival, slot});
    }
    setTimer(slot, std::nullopt);
}

// Adds a request to the load of an endpoint. `request.load.memory` must be set.
void Pool::addToEndpoint(Slot slot, EndpointIndex index, TimePoint now)
{
    Request &request = requests_[slot];
    Endpoint &endpoint = *endpoints_[index];
    request.endpoint = index;
    request.wasAssigned = true;
    request.lastProgressAt = now;
    request.progressSeen = false;
    request.assignedAt = now;
    request.load.awaitingFirstToken = request.state == State::Assigned;
    request.modelFirstTokenSeconds = endpoint.load.firstTokenMilliseconds(prefillTokens(request.work)) / 1000.0 / endpoint.load.calibration();
    request.reservedTokens = std::min(kMaxReservedTokens, lengths_.expectedRemaining(request.profile, request.generated, lengthLimit(request.work)));
    queue_.reserve(request.team, request.reservedTokens);
    endpoint.load.add(request.load);
    endpoint.requests.insert(slot);
    // A moving answer has no first-token timeout: the duration of its copy tells nothing about the health of the target.
    if (request.state == State::Assigned && !request.work.movesFrom) {
        const double firstToken = endpoint.load.firstTokenMilliseconds(prefillTokens(request.work)) / 1000.0;
        const Duration timeout = std::max<Duration>(kMinFirstTokenTimeout, durationOf(kFirstTokenTimeoutFactor * firstToken));
        // Half of the time that remains until the limit is kept for a second attempt.
        const Duration half = std::max<Duration>((request.firstTokenLimit - now) / 2, durationOf(kMinFirstTokenTimeoutFactor * firstToken));
        setTimer(slot, now + std::min(timeout, half));
        if (request.work.rank == Rank::Ordinary && request.work.mayMove) {
            ordinaryAwaiting_.emplace(now, slot);
        }
    }
    reindex(index);
}

void Pool::removeFromEndpoint(Slot slot)
{
    Request &request = requests_[slot];
    Endpoint &endpoint = *endpoints_[request.endpoint];
    endMove(slot);
    ordinaryAwaiting_.erase({request.assignedAt, slot});
    queue_.release(request.team, request.reservedTokens);
    endpoint.load.remove(request.load);
    endpoint.requests.erase(slot);
    setTimer(slot, std::nullopt);
    reindex(request.endpoint);
}

// Cancels the assignment of a request that has no first token yet.
void Pool::cancelAssignment(Slot slot, TimePoint now)
{
    Request &request = requests_[slot];
    removeFromEndpoint(slot);
    request.state = State::Cancelling;
    setTimer(slot, now + kCancelGracePeriod);
    pendingActions_.emplace_back(Cancel{request.work.id, endpoints_[request.endpoint]->load.info().id});
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
    newlyQueued_.push_back(slot);
    if (work.mayRepeat) {
        lastRepeatableAt_ = now;
    }
    if (work.rank == Rank::Urgent) {
        lastUrgentAt_ = now;
        urgentPaceTokensPerSecond_ = work.paceTokensPerSecond;
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
    if (request.state == State::Cancelling || request.state == State::Queued || request.state == State::Late) {
        // The endpoint sent the first token before it got the Cancel: the request is still running there.
        if (!request.wasAssigned || endpoints_[request.endpoint] == nullptr) {
            return;
        }
        dequeue(slot);
        request.state = State::Streaming;
        addToEndpoint(slot, request.endpoint, now);
    } else if (request.state == State::Assigned) {
        endMove(slot);
        ordinaryAwaiting_.erase({request.assignedAt, slot});
        setTimer(slot, std::nullopt);
        request.state = State::Streaming;
        recordFirstTokenPace(request, now);
        endpoints_[request.endpoint]->load.firstToken(request.load);
        endpoints_[request.endpoint]->prefilledTokens += request.load.promptTokens;
    } else {
        return;
    }
    Endpoint &endpoint = *endpoints_[request.endpoint];
    request.lastProgressAt = now;
    request.prefilledTokensAtProgress = endpoint.prefilledTokens;
    request.generated = std::max(1U, request.generated);
    endpoint.lastTokenAt = now;
    endpoint.firstTokenTimeouts = 0;
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
    const double elapsed = secondsOf(now - request->lastProgressAt);
    Endpoint &endpoint = *endpoints_[request->endpoint];
    const double modelSeconds
        = endpoint.load.modelMilliseconds(tokens, static_cast<double>(endpoint.prefilledTokens - request->prefilledTokensAtProgress)) / 1000.0;
    request->generated = generated;
    request->lastProgressAt = now;
    request->prefilledTokensAtProgress = endpoint.prefilledTokens;
    endpoint.lastTokenAt = now;
    const double limit = lengthLimit(request->work);
    endpoint.load.progress(request->load, MemoryForecast::contribution(lengths_, request->profile, request->work.promptTokens, generated, limit));
    queue_.chargeGenerated(request->team, tokens, now);
    const double expected = std::min(kMaxReservedTokens, lengths_.expectedRemaining(request->profile, generated, limit));
    queue_.updateReservation(request->team, request->reservedTokens, expected);
    request->reservedTokens = expected;
    reindex(request->endpoint);
    // The first report of progress at an endpoint is not measured: for a moved answer, it includes tokens of the previous endpoint.
    if (std::exchange(request->progressSeen, true)) {
        recordOwnPace(request->endpoint, elapsed, modelSeconds, now);
    }
}

void Pool::onFinished(const RequestId &id, std::uint32_t generated, FinishReason reason, TimePoint now)
{
    const auto found = requestIndex_.find(id);
    if (found == requestIndex_.end()) {
        return;
    }
    const Slot slot = found->second;
    Request &request = requests_[slot];
    if (request.state == State::Queued || request.state == State::Late || request.state == State::Cancelling) {
        dequeue(slot);
        destroy(slot);
        return;
    }
    Endpoint &endpoint = *endpoints_[request.endpoint];
    const EndpointIndex index = request.endpoint;
    if (generated > request.generated) {
        queue_.chargeGenerated(request.team, generated - request.generated, now);
        endpoint.lastTokenAt = now;
    }
    if (generated > 0) {
        const bool whole = reason == FinishReason::Complete && (request.work.maxOutputTokens == 0 || generated < request.work.maxOutputTokens);
        lengths_.observe(request.profile, generated, whole, now);
        meanAnswerTokens_ += 0.02 * (generated - meanAnswerTokens_);
    }
    if (reason == FinishReason::Complete) {
        endpoint.health.onFirstToken(now);
    }
    removeFromEndpoint(slot);
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
            removeFromEndpoint(slot);
        } else {
            dequeue(slot);
        }
    }
    Request &request = requests_[slot];
    request.generated = generated;
    request.state = generated == 0 ? State::Assigned : State::Streaming;
    request.load.memory = MemoryForecast::contribution(lengths_, request.profile, work.promptTokens, generated, lengthLimit(work));
    addToEndpoint(slot, target->second, now);
    request.modelFirstTokenSeconds = 0; // It is not known when the previous owner assigned the request.
}

} // namespace daisystream::internal
