#include "daisystream/scheduler/pool.h"
#include "daisystream/scheduler/poolinternal.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace daisystream::internal
{

namespace
{

using std::chrono::milliseconds;

constexpr int kTeamsPerSweep = 2;
constexpr double kMaxRetrySeconds = 30.0;
constexpr double kMinRetrySeconds = 0.05;
// Initial estimate of the rate at which late requests are assigned, as a share of the rate for requests that can meet their
// deadlines.
constexpr double kLateRateShare = 0.8;
constexpr double kLateRatePriorSeconds = 5;    // Weight of that estimate, as an equivalent observation time.
constexpr double kLateRateAverageSeconds = 10; // Time constant with which the observed rate is averaged.
constexpr double kLateWaitTolerance = 1.5;     // A late request is refused if its forecast wait exceeds the remaining time by this factor.

} // namespace

double Pool::expectedWaitSeconds(const Request &request, double position, TimePoint now) const
{
    const Rank rank = request.work.rank;
    // A lower estimate of the rate at which answers end, from the step duration and the mean length of answers.
    const auto running = static_cast<double>(queue_.running(Rank::Urgent) + queue_.running(Rank::Ordinary));
    const double step = general_.empty() && reserved_.empty()
        ? 1.0
        : endpoints_[(general_.empty() ? reserved_ : general_).begin()->second]->load.stepMilliseconds(0, 0) / 1000.0;
    double minRate = 0.5 * running / (std::max(16.0, meanAnswerTokens_) * step);
    if (rank == Rank::Ordinary && queue_.queued(Rank::Urgent) > 0) {
        minRate *= options_.ordinaryFloor;
    }
    const bool first = position <= 1 && queue_.isNext(request.team);
    return waitForecast_.forecastSeconds(rank, position, first ? 1.0 : queue_.shareOf(request.team), minRate, now);
}

double Pool::idleFirstTokenSeconds(const Request &request) const
{
    const Index &index = general_.empty() ? reserved_ : general_;
    return endpoints_[index.begin()->second]->load.idleFirstTokenMilliseconds(prefillTokens(request.work)) / 1000.0;
}

// Returns the time in seconds that a request can still wait and get its first token before the deadline.
double Pool::slackSeconds(const Request &request, TimePoint now) const
{
    const double firstToken = idleFirstTokenSeconds(request);
    const double promise = secondsOf(request.work.firstTokenDeadline - request.work.arrival);
    return std::min(secondsOf(request.work.firstTokenDeadline - now) - firstToken, kMaxQueueTimeShare * promise - secondsOf(now - request.work.arrival));
}

// Refuses a request of a model without a usable endpoint, unless an endpoint is recovering. Returns whether it was refused.
bool Pool::refuseWithoutEndpoint(Slot slot, TimePoint now, std::vector<Action> &actions)
{
    // A recovering endpoint is not in the index while it runs a trial request, but may accept work soon.
    const bool recovering = std::any_of(endpoints_.begin(), endpoints_.end(), [](const auto &endpoint) {
        return endpoint != nullptr && endpoint->load.info().state == EndpointState::InService && endpoint->health.phase() == EndpointHealth::Phase::Recovering;
    });
    if (recovering) {
        return false;
    }
    refuse(slot, ResultCode::NoEndpoint, "no endpoint of the model is in service", secondsOf(options_.probeInterval), now, actions);
    return true;
}

// Refuses a request, or queues it as a late one, if its forecast wait is longer than it can wait.
// Returns whether the request was removed from the queue.
bool Pool::refuseIfUnmeetable(const FairQueue::Item &item, TimePoint now, std::vector<Action> &actions)
{
    const auto slot = static_cast<Slot>(item.userData);
    const Request &request = requests_[slot];
    if (reserved_.empty() && general_.empty()) {
        return refuseWithoutEndpoint(slot, now, actions);
    }
    const double wait = expectedWaitSeconds(request, static_cast<double>(queue_.queued(item.team)), now);
    const double slack = slackSeconds(request, now);
    if (wait <= slack) {
        return false;
    }
    if (queueAsLate(slot, now)) {
        return true;
    }
    refuse(slot, ResultCode::PromiseCannotBeMet, "the promised first-token time cannot be met", wait - slack, now, actions);
    return true;
}

void Pool::refuseUnmeetable(TimePoint now, std::vector<Action> &actions)
{
    for (const Slot slot : newlyQueued_) {
        const Request &request = requests_[slot];
        if (request.state == State::Queued) {
            refuseIfUnmeetable({request.team, request.order, slot}, now, actions);
        }
    }
    newlyQueued_.clear();
    // Each decision also checks the last requests of a few teams: their wait may have become longer since they were queued.
    for (int i = 0; i < kTeamsPerSweep; ++i) {
        const auto team = queue_.nextBacklogged();
        if (!team) {
            return;
        }
        while (const auto tail = queue_.tail(*team)) {
            if (!refuseIfUnmeetable(*tail, now, actions)) {
                break;
            }
        }
    }
}

// Returns the expected time in seconds until the late request at a position (1 is the first) is assigned, based on the rate at
// which late requests were assigned recently.
double Pool::lateWaitSeconds(const Request &request, std::size_t position, TimePoint now) const
{
    const double expected = kLateRateShare / std::max(1e-3, expectedWaitSeconds(request, 1, now));
    const double rate = (lateDispatched_ + kLateRatePriorSeconds * expected) / (lateWaitingSeconds_ + kLateRatePriorSeconds);
    return static_cast<double>(position) / std::max(1e-6, rate);
}

// Updates the averages from which the rate of late requests is computed.
void Pool::updateLateRate(TimePoint now)
{
    const double elapsed = std::max(0.0, secondsOf(now - lateRateUpdatedAt_));
    const double kept = std::exp(-elapsed / kLateRateAverageSeconds);
    lateDispatched_ *= kept;
    lateWaitingSeconds_ = lateWaitingSeconds_ * kept + (lateRequests_.empty() ? 0.0 : elapsed);
    lateRateUpdatedAt_ = now;
}

// Refuses late requests, the last ones first, if requests that can meet their deadlines leave less capacity than was forecast.
void Pool::refuseStarvedLate(TimePoint now, std::vector<Action> &actions)
{
    while (!lateRequests_.empty()) {
        const Slot slot = std::get<Slot>(*lateRequests_.rbegin());
        const Request &request = requests_[slot];
        const double slack = secondsOf(request.firstTokenLimit - now) - idleFirstTokenSeconds(request);
        if (lateWaitSeconds(request, lateRequests_.size(), now) <= kLateWaitTolerance * slack) {
            return;
        }
        refuse(slot, ResultCode::PromiseCannotBeMet, "requests that can still meet their deadlines use all endpoints", slack, now, actions);
    }
}

// Puts a request that can no longer meet its deadline behind all others, to use capacity that they leave free.
// Returns false, without a change, if the request cannot be late or would probably not be assigned in time to be of use.
bool Pool::queueAsLate(Slot slot, TimePoint now)
{
    Request &request = requests_[slot];
    const auto limit = request.work.lastUsefulFirstToken;
    if (!limit || (reserved_.empty() && general_.empty())) {
        return false;
    }
    const double slack = secondsOf(*limit - now) - idleFirstTokenSeconds(request);
    if (lateWaitSeconds(request, lateRequests_.size() + 1, now) > slack) {
        return false;
    }
    dequeue(slot);
    request.state = State::Late;
    request.firstTokenLimit = *limit;
    lateRequests_.emplace(request.work.rank, request.work.arrival, slot);
    setTimer(slot, now + durationOf(slack));
    return true;
}

void Pool::dispatchLate(TimePoint now, std::vector<Action> &actions)
{
    updateLateRate(now);
    while (!lateRequests_.empty() && queue_.queued(Rank::Urgent) + queue_.queued(Rank::Ordinary) == 0) {
        const Slot slot = std::get<Slot>(*lateRequests_.begin());
        if (reserved_.empty() && general_.empty()) {
            if (!refuseWithoutEndpoint(slot, now, actions)) {
                return;
            }
            continue;
        }
        const Request &request = requests_[slot];
        const auto memory
            = MemoryForecast::contribution(lengths_, request.profile, request.work.promptTokens, request.work.heldTokens, lengthLimit(request.work));
        const auto choice = choose(request, memory, false, now);
        if (!choice) {
            break;
        }
        assign(slot, *choice, memory, now, actions);
        ++lateDispatched_;
    }
    if (!reserved_.empty() || !general_.empty()) {
        refuseStarvedLate(now, actions);
    }
}

void Pool::refuse(Slot slot, ResultCode code, const char *detail, double waitSeconds, TimePoint now, std::vector<Action> &actions)
{
    const Request &request = requests_[slot];
    dequeue(slot);
    // Spreads the retries of refused callers over time, at the rate at which requests of the team are assigned.
    TimePoint &latest = latestRetryAt_[request.team];
    const double interval = expectedWaitSeconds(request, 1, now);
    if (!lateRequests_.empty()) {
        waitSeconds = std::max(waitSeconds, lateWaitSeconds(request, lateRequests_.size(), now)); // Late requests that wait already go first.
    }
    const TimePoint retry = std::max(now + durationOf(std::clamp(waitSeconds, kMinRetrySeconds, kMaxRetrySeconds)), latest + durationOf(interval));
    latest = std::min(retry, now + durationOf(kMaxRetrySeconds));
    const auto after = std::chrono::ceil<milliseconds>(latest - now);
    actions.emplace_back(Refuse{request.work.id, Error{code, detail, after}});
    destroy(slot);
}

} // namespace daisystream::internal
