#include "daisystream/scheduler/pool.h"
#include "daisystream/scheduler/poolparts.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace daisystream::internal
{

namespace
{

using std::chrono::milliseconds;

// Longer than a message from an entry VM takes, so that a first token that crosses a Cancel is seen before the request
// is assigned again.
constexpr milliseconds kCancelSettle(50);
// A request without first token is overdue after this multiple of the expected time, but not before the least time.
constexpr double kOverdueFactor = 4.0;
constexpr milliseconds kLeastOverdue(300);
constexpr double kSurelyOverdue = 2.0; // Multiple of the expected time below which nothing is overdue.
constexpr std::size_t kPrefixesPerEndpoint = 2048;
// Tokens of a running answer that its team is charged ahead: about ten seconds. A team is to get its share within such a
// time, whereas charging whole answers would stop a team for minutes because of a few long ones.
constexpr double kChargedAhead = 300;
constexpr double kLongestAnswer = 131072; // Tokens, where the request gives no limit.

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
    } else if (request.state == State::Overdue) {
        overdue_.erase({request.work.rank, request.work.arrival, slot});
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
    request.paceCounts = false;
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
        const Duration half = std::max<Duration>((request.firstTokenLimit - now) / 2, durationOf(kSurelyOverdue * firstToken));
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
    if (request.state == State::Held || request.state == State::Queued || request.state == State::Overdue) {
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
        endpoints_[request.endpoint]->promptsRead += request.load.promptTokens;
    } else {
        return;
    }
    Endpoint &endpoint = *endpoints_[request.endpoint];
    request.progressAt = now;
    request.promptsReadThen = endpoint.promptsRead;
    request.generated = std::max(1U, request.generated);
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
    Endpoint &endpoint = *endpoints_[request->endpoint];
    const double modelSeconds = endpoint.load.modelMilliseconds(tokens, static_cast<double>(endpoint.promptsRead - request->promptsReadThen)) / 1000.0;
    request->generated = generated;
    request->progressAt = now;
    request->promptsReadThen = endpoint.promptsRead;
    endpoint.tokenAt = now;
    const double limit = lengthLimit(request->work);
    endpoint.load.progress(request->load, MemoryForecast::contribution(lengths_, request->profile, request->work.promptTokens, generated, limit));
    queue_.generated(request->team, tokens, now);
    const double expected = std::min(kChargedAhead, lengths_.expectedRemaining(request->profile, generated, limit));
    queue_.adjust(request->team, request->expected, expected);
    request->expected = expected;
    reindex(request->endpoint);
    // A moved answer has tokens that its first endpoint made, which are seen with its first progress at this one.
    if (std::exchange(request->paceCounts, true)) {
        noteOwnPace(request->endpoint, elapsed, modelSeconds, now);
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
    if (request.state == State::Queued || request.state == State::Overdue || request.state == State::Held) {
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

} // namespace daisystream::internal
