#include "daisystream/scheduler/pool.h"
#include "daisystream/scheduler/poolparts.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace daisystream::internal
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Overdue first tokens in a row, without another first token in between, that make an endpoint suspect even if it made
// a token recently.
constexpr std::uint32_t kOverdueSigns = 2;
// An endpoint that made a token for any of its answers this recently is alive.
constexpr milliseconds kAliveWindow(1500);
// An endpoint that recovers waits so long for a request that a failure would not lose, before it gets any other.
constexpr seconds kTriesKept(5);
// Interval at which waiting requests are checked for whether they can still be served.
constexpr milliseconds kSweepInterval(50);
// Endpoints tried, least loaded first, before a request has to wait. Bounds the cost of a decision, as does the next one.
constexpr int kCandidates = 6;
constexpr int kComparedCandidates = 48; // The same where endpoints are compared by the time that a request adds.
// What a preemption costs: the prompt is read again, and the caller has waited too long for the next token.
constexpr double kPreemptionMilliseconds = 10000;
constexpr int kShedCandidates = 4;
// How much more loaded an endpoint with a cached prefix may be than the least loaded one that is free as well.
constexpr double kPrefixTolerance = 0.10;
constexpr milliseconds kResizeInterval(200);
constexpr seconds kShrinkDelay(3);
constexpr seconds kUrgentMemory(60);
// Reserved endpoints are sized for this multiple of the present urgent work, so that its fluctuations find room.
constexpr double kReservedHeadroom = 1.25;
// Ordinary work joins urgent work on an engine only up to this part of the step for which reserved engines are sized.
// Otherwise an overload of ordinary work would fill the headroom and lengthen the steps of urgent work.
constexpr double kOrdinaryJoins = 0.8;
// An urgent answer may start on an endpoint whose step is longer than promised by this factor, if the step is short
// enough without the ordinary answers, which are not replaced when they end.
constexpr double kTransientStepFactor = 1.6;

} // namespace

void Pool::decide(TimePoint now, std::vector<Action> &actions)
{
    decidedAt_ = now;
    runTimers(now, actions);
    resizeReserved(now);
    dispatchMoves(now, actions);
    dispatch(now, actions);
    refuseHopeless(now, actions);
    dispatchOverdue(now, actions);
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
    if (queue_.queued(Rank::Urgent) + queue_.queued(Rank::Ordinary) + overdue_.size() > 0) {
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
    } else if (request.state == State::Queued && makeOverdue(slot, now)) {
        return;
    } else if (request.state == State::Queued || request.state == State::Overdue) {
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
    const double expectedTokens = lengths_.expectedRemaining(request.profile, request.generated, lengthLimit(request.work));
    std::optional<EndpointIndex> best;
    double least = 0;
    int tried = 0;
    const bool compares = options_.placement == Placement::LeastAddedTime;
    for (auto candidate = index.begin(); candidate != index.end() && tried < (compares ? kComparedCandidates : kCandidates); ++candidate, ++tried) {
        const Endpoint &endpoint = *endpoints_[candidate->second];
        const double added = addedMilliseconds(endpoint, request, memory, expectedTokens);
        if ((!best || added < least) && admits(endpoint, request, memory, floorTurn, now)) {
            best = candidate->second;
            least = added;
            if (!compares) {
                break;
            }
        }
    }
    return best;
}

// Time that the answer takes at an endpoint, and by which it delays those that run there, summed over the answers.
double Pool::addedMilliseconds(const Endpoint &endpoint, const Request &request, const MemoryForecast::Contribution &memory, double expectedTokens) const
{
    const EndpointLoad &load = endpoint.load;
    const std::uint32_t unread = unreadTokens(request.work);
    const double own = load.firstTokenMilliseconds(unread) + expectedTokens * load.stepMilliseconds(1, request.work.promptTokens);
    const double others = load.running() * (load.promptDelayMilliseconds(unread) + expectedTokens * load.answerDelayMilliseconds());
    return own + others + kPreemptionMilliseconds * load.overflowProbability(memory);
}

bool Pool::admits(const Endpoint &endpoint, const Request &request, const MemoryForecast::Contribution &memory, bool floorTurn, TimePoint now) const
{
    const WorkRequest &work = request.work;
    const EndpointLoad &load = endpoint.load;
    if (isBarred(work, load.info().id)) {
        return false;
    }
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
    if (load.firstTokenMilliseconds(unreadTokens(work)) > 1000.0 * secondsOf(request.firstTokenLimit - now)) {
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

} // namespace daisystream::internal
