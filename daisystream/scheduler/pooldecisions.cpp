#include "daisystream/scheduler/pool.h"
#include "daisystream/scheduler/poolinternal.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

namespace daisystream::internal
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Number of consecutive first-token timeouts after which an endpoint is suspected even if it generated a token recently.
constexpr std::uint32_t kTimeoutsToSuspect = 2;
// A single first-token timeout does not count against an endpoint that generated a token within this time.
constexpr milliseconds kAliveWindow(1500);
// A recovering endpoint gets only requests that may be repeated, unless none was submitted within this time.
constexpr seconds kRepeatableOnlyPeriod(5);
// Interval at which waiting requests are checked for whether they can still meet their deadlines.
constexpr milliseconds kSweepInterval(50);
// Largest number of endpoints that are tried for a request, least loaded first. Bounds the cost of a decision.
constexpr int kMaxCandidates = 6;
constexpr int kMaxComparedCandidates = 48; // The same for `Placement::LeastAddedTime`.
// Cost of a preemption by the engine: it has to prefill the prompt again, and the caller waits too long for the next token.
constexpr double kPreemptionCostMilliseconds = 10000;
// Cost of an answer that misses its pace: it loses most of its value to its caller, somewhat less than one that is preempted.
constexpr double kMissedPaceCostMilliseconds = 8000;
// Answers with a promised pace that a request without one displaces at an endpoint that keeps the pace. Lower values leave long answers to
// slow engines for the sake of short ones that would be in time there too.
constexpr double kDisplacedShare = 2.0;
// Relative errors of a measured pace that are taken as equally likely. Without them, an engine just below the bound would count as safe.
constexpr std::array kPaceErrors{0.95, 1.1, 1.25};
constexpr double kOwnMissesGain = 0.02;  // Weight of one assignment in the average of expected misses.
constexpr double kPromptRateSeconds = 5; // Time constant of the average rate of prompts.
constexpr int kMaxCancelCandidates = 4;  // Ordinary assignments that are considered for cancelling, the latest first.
// An endpoint with a cached prefix is preferred if its score is at most this much above that of the endpoint chosen without it.
constexpr double kPrefixScoreTolerance = 0.10;
constexpr milliseconds kResizeInterval(200);
constexpr seconds kShrinkDelay(3);
constexpr seconds kUrgentDemandPeriod(60); // Time after the latest urgent request in which endpoints stay reserved.
// Reserved endpoints are sized for this multiple of the current urgent requests, to absorb fluctuations.
constexpr double kReservedHeadroom = 1.25;
// Ordinary requests are added to an engine with urgent ones only up to this share of the step duration for which reserved
// endpoints are sized. Otherwise an overload of ordinary requests would use up the headroom and slow down the urgent ones.
constexpr double kSharedStepFactor = 0.8;
// An urgent answer may start on an endpoint whose step is longer than its limit by up to this factor if the step would be short
// enough without the ordinary answers there: they end soon and are not replaced.
constexpr double kTransientStepFactor = 1.6;

} // namespace

void Pool::decide(TimePoint now, std::vector<Action> &actions)
{
    lastDecisionAt_ = now;
    runTimers(now, actions);
    resizeReserved(now);
    dispatchMoves(now, actions);
    dispatch(now, actions);
    refuseUnmeetable(now, actions);
    dispatchLate(now, actions);
    // Cancels of requests on suspected endpoints. Each must precede the new Assign of its request, which comes after `kCancelGracePeriod`.
    actions.insert(actions.end(), std::make_move_iterator(pendingActions_.begin()), std::make_move_iterator(pendingActions_.end()));
    pendingActions_.clear();
}

std::optional<TimePoint> Pool::nextWake() const
{
    std::optional<TimePoint> wake;
    const auto consider = [&](TimePoint at) {
        wake = wake ? std::min(*wake, at) : at;
    };
    if (!pendingActions_.empty() || !newlyQueued_.empty()) {
        consider(lastDecisionAt_);
    }
    if (!timers_.empty()) {
        consider(timers_.begin()->first);
    }
    if (!endpointTimers_.empty()) {
        consider(endpointTimers_.begin()->first);
    }
    if (queue_.queued(Rank::Urgent) + queue_.queued(Rank::Ordinary) + lateRequests_.size() > 0) {
        consider(lastDecisionAt_ + kSweepInterval);
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
    if (request.state == State::Cancelling) {
        enqueue(slot);
        newlyQueued_.push_back(slot);
    } else if (request.state == State::Queued && queueAsLate(slot, now)) {
        return;
    } else if (request.state == State::Queued || request.state == State::Late) {
        refuse(slot, ResultCode::QueueDeadlinePassed, "no endpoint became free before the deadline", expectedWaitSeconds(request, 1, now), now, actions);
    } else if (request.state == State::Assigned) {
        Endpoint &endpoint = *endpoints_[request.endpoint];
        if (++endpoint.firstTokenTimeouts >= kTimeoutsToSuspect || now - endpoint.lastTokenAt >= kAliveWindow) {
            endpoint.firstTokenTimeouts = 0;
            endpoint.health.onFirstTokenOverdue(now);
            afterHealthChange(request.endpoint, now); // May cancel the assignment of this request as well.
        }
        if (request.state == State::Assigned && request.work.mayMove) {
            cancelAssignment(slot, now);
        }
    }
}

// Returns the number of endpoints that the current urgent requests need if their decode steps are to stay short.
std::size_t Pool::targetReserved() const
{
    const std::size_t usable = reserved_.size() + general_.size();
    const bool recent = lastUrgentAt_ && lastDecisionAt_ - *lastUrgentAt_ < kUrgentDemandPeriod;
    if (!options_.reservesEndpoints || usable < 2 || !recent || urgentPaceTokensPerSecond_ <= 0) {
        return 0;
    }
    const auto &least = general_.empty() ? *reserved_.begin() : *general_.begin();
    const EndpointInfo &info = endpoints_[least.second]->load.info();
    const double step = options_.urgentStepShare * 1000.0 / urgentPaceTokensPerSecond_ / typicalCalibration_;
    const double tokens = 2.0 * meanAnswerTokens_; // The mean over answers in progress is larger than over all answers, since long ones run longer.
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
    const std::size_t wanted = targetReserved();
    if (wanted >= reserved_.size()) {
        shrinkAllowedAt_ = now + kShrinkDelay;
    }
    while (reserved_.size() < wanted && !general_.empty()) {
        changeOneReserved(true);
    }
    if (reserved_.size() > wanted && now >= shrinkAllowedAt_) {
        changeOneReserved(false);
        shrinkAllowedAt_ = now + kShrinkDelay;
    }
}

// Makes the least loaded general endpoint a reserved one if `grow`, otherwise the least loaded reserved endpoint a general one.
void Pool::changeOneReserved(bool grow)
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
        const bool ordinaryBelowFloor = *rank == Rank::Ordinary && queue_.queued(Rank::Urgent) > 0;
        if (dispatchHead(*rank, ordinaryBelowFloor, now, actions)) {
            continue;
        }
        if (ordinaryBelowFloor && dispatchHead(Rank::Urgent, false, now, actions)) {
            continue;
        }
        return;
    }
}

// Assigns the next request of a rank. Returns false if no endpoint can take it.
bool Pool::dispatchHead(Rank rank, bool ordinaryBelowFloor, TimePoint now, std::vector<Action> &actions)
{
    const auto slot = static_cast<Slot>(queue_.head(rank)->userData);
    const Request &request = requests_[slot];
    const auto memory = MemoryForecast::contribution(lengths_, request.profile, request.work.promptTokens, request.work.heldTokens, lengthLimit(request.work));
    std::optional<Choice> choice = choose(request, memory, ordinaryBelowFloor, now);
    if (!choice && rank == Rank::Urgent && cancelOrdinaryFor(slot, now, actions)) {
        choice = choose(request, memory, false, now);
    }
    if (!choice) {
        return false;
    }
    assign(slot, *choice, memory, now, actions);
    return true;
}

// Cancels the assignment of an ordinary request without a first token if that makes room for an urgent request.
bool Pool::cancelOrdinaryFor(Slot urgent, TimePoint now, std::vector<Action> &actions)
{
    if (!queue_.ordinaryAboveFloor(now)) {
        return false;
    }
    const Request &request = requests_[urgent];
    const auto memory = MemoryForecast::contribution(lengths_, request.profile, request.work.promptTokens, request.work.heldTokens, lengthLimit(request.work));
    std::vector<Slot> candidates;
    for (auto latest = ordinaryAwaiting_.rbegin(); latest != ordinaryAwaiting_.rend() && candidates.size() < kMaxCancelCandidates; ++latest) {
        candidates.push_back(latest->second);
    }
    for (const Slot candidate : candidates) {
        Request &victim = requests_[candidate];
        Endpoint &endpoint = *endpoints_[victim.endpoint];
        endpoint.load.remove(victim.load);
        const bool helps = admits(endpoint, request, memory, false, now);
        endpoint.load.add(victim.load);
        if (helps) {
            cancelAssignment(candidate, now);
            actions.push_back(pendingActions_.back());
            pendingActions_.pop_back();
            return true;
        }
    }
    return false;
}

std::optional<Pool::Choice> Pool::choose(const Request &request, const MemoryForecast::Contribution &memory, bool ordinaryBelowFloor, TimePoint now) const
{
    const bool urgent = request.work.rank == Rank::Urgent;
    const Index &first = urgent ? reserved_ : general_;
    std::optional<EndpointIndex> best = chooseFrom(first, request, memory, ordinaryBelowFloor, now);
    if (!best) {
        best = chooseFrom(urgent ? general_ : reserved_, request, memory, ordinaryBelowFloor, now);
    }
    if (!best) {
        return std::nullopt;
    }
    Choice choice{*best, false};
    const Endpoint &least = *endpoints_[*best];
    for (const EndpointIndex index : prefixes_.endpointsOf(request.work.prefixHash)) {
        const Endpoint &holder = *endpoints_[index];
        const bool close = holder.indexed && holder.reserved == least.reserved && holder.score <= least.score + kPrefixScoreTolerance;
        if (close && (index == *best || admits(holder, request, memory, ordinaryBelowFloor, now))) {
            return Choice{index, true};
        }
    }
    return choice;
}

std::optional<Pool::EndpointIndex>
Pool::chooseFrom(const Index &index, const Request &request, const MemoryForecast::Contribution &memory, bool ordinaryBelowFloor, TimePoint now) const
{
    const double expectedTokens = lengths_.expectedRemaining(request.profile, request.generated, lengthLimit(request.work));
    std::optional<EndpointIndex> best;
    double least = 0;
    int tried = 0;
    const bool compares = options_.placement == Placement::LeastAddedTime;
    for (auto candidate = index.begin(); candidate != index.end() && tried < (compares ? kMaxComparedCandidates : kMaxCandidates); ++candidate, ++tried) {
        const Endpoint &endpoint = *endpoints_[candidate->second];
        if (!admits(endpoint, request, memory, ordinaryBelowFloor, now)) {
            continue;
        }
        if (!compares) {
            return candidate->second;
        }
        double added = addedMilliseconds(endpoint, request, memory, expectedTokens);
        if (best && added >= least) {
            continue;
        }
        // Added last, since it takes longest to compute and cannot be negative.
        added += kMissedPaceCostMilliseconds * expectedMissedPaces(endpoint, request, expectedTokens, now);
        if (!best || added < least) {
            best = candidate->second;
            least = added;
        }
    }
    return best;
}

// Returns the sum of the time that the answer takes at an endpoint, of the delay that it causes to each answer that runs
// there, and of the expected cost of preemptions.
double Pool::addedMilliseconds(const Endpoint &endpoint, const Request &request, const MemoryForecast::Contribution &memory, double expectedTokens) const
{
    const EndpointLoad &load = endpoint.load;
    const std::uint32_t tokensToPrefill = prefillTokens(request.work);
    const double own = load.firstTokenMilliseconds(tokensToPrefill) + expectedTokens * load.stepMilliseconds(1, request.work.promptTokens);
    const double others = load.running() * (load.promptDelayMilliseconds(tokensToPrefill) + expectedTokens * load.answerDelayMilliseconds());
    return own + others + kPreemptionCostMilliseconds * load.overflowProbability(memory);
}

// Returns the expected number of answers that miss their pace because of a request: those that run at the endpoint while it prefills the prompt, and the
// request's own answer while the endpoint prefills later prompts.
double Pool::expectedMissedPaces(const Endpoint &endpoint, const Request &request, double expectedTokens, TimePoint now) const
{
    if (!options_.forecastsMissedPace) {
        return 0;
    }
    const std::uint32_t prompt = prefillTokens(request.work);
    // The measured pace of an endpoint includes its slow periods, which the distribution adds again.
    const double step = endpoint.load.prefillStepMilliseconds(request.work.promptTokens) / slowness_.mean();
    const auto current = endpoint.currentSlowness(now);
    const double prefillSeconds = endpoint.load.prefillSeconds(prompt);
    double others = 0;
    for (const double error : kPaceErrors) {
        const PrefillLoad prefill{.stepMilliseconds = error * step, .prefillSeconds = error * prefillSeconds, .answersByPace = endpoint.load.streamingByPace()};
        others += prompt == 0 ? 0.0 : expectedMisses(prefill, slowness_, current) / static_cast<double>(kPaceErrors.size());
    }
    // A short answer, or one without a promised pace, takes the place of a long one that might keep its promise here more likely than elsewhere.
    const bool displaces = !isLongAndPaced(request, expectedTokens) && ownMisses_ > 0;
    const double displaced = displaces ? kDisplacedShare * std::max(0.0, ownMisses_ - ownMissProbability(endpoint, latestPaced_)) : 0.0;
    return others + ownMissProbability(endpoint, pacedWork(request, expectedTokens)) + displaced;
}

Pool::PacedWork Pool::pacedWork(const Request &request, double expectedTokens)
{
    return {.pace = request.work.paceTokensPerSecond, .promptTokens = request.work.promptTokens, .expectedTokens = expectedTokens};
}

// Returns the probability that an answer misses its pace while the endpoint prefills later prompts.
double Pool::ownMissProbability(const Endpoint &endpoint, const PacedWork &work) const
{
    if (work.pace <= 0) {
        return 0;
    }
    const EndpointLoad &load = endpoint.load;
    const double step = load.prefillStepMilliseconds(work.promptTokens) / slowness_.mean();
    const double prefillSeconds = load.prefillSeconds(work.promptTokens);
    const double seconds = work.expectedTokens * load.stepMilliseconds(1, work.promptTokens) / 1000.0;
    const double prompts = promptsPerSecond_ * seconds / static_cast<double>(std::max<std::size_t>(1, endpointIndex_.size()));
    const auto missAt = [&](double factor) {
        const double miss = missProbability(factor * step, work.pace, factor * prefillSeconds, slowness_, std::nullopt);
        return miss <= 0 || miss >= 1 ? miss : 1.0 - std::pow(1.0 - miss, factor * prompts);
    };
    double sum = 0;
    for (const double error : kPaceErrors) {
        sum += missAt(error);
    }
    return sum / static_cast<double>(kPaceErrors.size());
}

// Returns whether an answer has a promised pace and runs long enough for later prompts to be prefilled beside it.
bool Pool::isLongAndPaced(const Request &request, double expectedTokens) const
{
    return request.work.paceTokensPerSecond > 0 && expectedTokens >= meanAnswerTokens_;
}

// Averages the probability with which long answers with a promised pace miss it at the endpoints that are chosen for them.
void Pool::recordOwnMisses(const Endpoint &endpoint, const Request &request, double expectedTokens)
{
    if (isLongAndPaced(request, expectedTokens)) {
        latestPaced_ = pacedWork(request, expectedTokens);
        ownMisses_ += kOwnMissesGain * (ownMissProbability(endpoint, latestPaced_) - ownMisses_);
    }
}

void Pool::countPrompt(TimePoint now)
{
    const double elapsed = std::max(0.0, secondsOf(now - promptsUpdatedAt_));
    promptsPerSecond_ = promptsPerSecond_ * std::exp(-elapsed / kPromptRateSeconds) + 1.0 / kPromptRateSeconds;
    promptsUpdatedAt_ = now;
}

// Returns whether an endpoint can take a request now: it is healthy, has capacity, and keeps the promises to this request and to
// those that run there.
bool Pool::admits(const Endpoint &endpoint, const Request &request, const MemoryForecast::Contribution &memory, bool ordinaryBelowFloor, TimePoint now) const
{
    const WorkRequest &work = request.work;
    const EndpointLoad &load = endpoint.load;
    if (isBarred(work, load.info().id)) {
        return false;
    }
    if (work.avoids == load.info().id && reserved_.size() + general_.size() > 1) {
        return false;
    }
    // A recovering endpoint may fail again, so it is tried with requests that may be repeated, as long as there are any.
    const bool repeatableOnly = !work.mayRepeat && lastRepeatableAt_ && now - *lastRepeatableAt_ < kRepeatableOnlyPeriod;
    if (endpoint.health.phase() == EndpointHealth::Phase::Recovering && repeatableOnly) {
        return false;
    }
    const bool yields = work.rank == Rank::Ordinary && !ordinaryBelowFloor && lastUrgentAt_;
    const double usable = yields ? 1.0 - options_.urgentReserve : 1.0;
    if (!endpoint.health.accepts(load.awaitingFirstToken()) || load.running() + 1.0 > std::max(1.0, usable * load.info().maxBatch)) {
        return false;
    }
    if (load.firstTokenMilliseconds(prefillTokens(work)) > 1000.0 * secondsOf(request.firstTokenLimit - now)) {
        return false;
    }
    if (load.running() == 0) {
        return true; // Waiting would not help: an idle endpoint is never faster.
    }
    if (load.forecastMemoryFraction(memory, memoryDeviations_) > usable || !keepsPace(endpoint, work, ordinaryBelowFloor, now)) {
        return false;
    }
    // While ordinary requests are below their floor, they are admitted like urgent ones.
    return work.rank == Rank::Urgent || ordinaryBelowFloor || keepsUrgentFirstToken(endpoint, work);
}

// Returns whether every promised token rate at an endpoint is still kept if the request is added.
bool Pool::keepsPace(const Endpoint &endpoint, const WorkRequest &work, bool ordinaryBelowFloor, TimePoint now) const
{
    const EndpointLoad &load = endpoint.load;
    const double step = load.stepMilliseconds(1, work.promptTokens);
    // The margin to the promised token rate is left free for ordinary requests that are below their floor.
    const double limit = load.maxStepMilliseconds(work.paceTokensPerSecond, ordinaryBelowFloor ? 1.0 : options_.paceMargin);
    if (work.rank == Rank::Urgent) {
        // Ordinary answers that end make room only if they are not replaced. At the floor, they are replaced.
        const bool makesRoom = step <= kTransientStepFactor * limit && queue_.ordinaryAboveFloor(now);
        return step <= limit || (makesRoom && load.urgentStepMilliseconds(1, work.promptTokens) <= limit);
    }
    const bool shared = endpoint.reserved || load.running(Rank::Urgent) > 0;
    const double fastest = endpoint.reserved ? std::max(urgentPaceTokensPerSecond_, work.paceTokensPerSecond) : work.paceTokensPerSecond;
    return step <= (shared && !ordinaryBelowFloor ? load.maxStepMilliseconds(fastest, kSharedStepFactor * options_.urgentStepShare) : limit);
}

// Returns whether the endpoint's pending prompts, with that of an ordinary request, are few enough to not delay the first tokens
// of urgent requests.
bool Pool::keepsUrgentFirstToken(const Endpoint &endpoint, const WorkRequest &work) const
{
    const EndpointLoad &load = endpoint.load;
    const bool shared = endpoint.reserved || load.running(Rank::Urgent) > 0;
    const std::uint64_t steps = shared ? 1 : kMaxOrdinaryPrefillSteps;
    return load.pendingPromptTokens() == 0 || load.pendingPromptTokens() + prefillTokens(work) <= steps * load.info().stepCost.prefillTokensPerStep;
}

void Pool::assign(Slot slot, const Choice &choice, const MemoryForecast::Contribution &memory, TimePoint now, std::vector<Action> &actions)
{
    Request &request = requests_[slot];
    const EndpointLoad &load = endpoints_[choice.endpoint]->load;
    AssignmentDetails figures;
    figures.queuedUrgent = static_cast<std::uint32_t>(queue_.queued(Rank::Urgent));
    figures.queuedOrdinary = static_cast<std::uint32_t>(queue_.queued(Rank::Ordinary));
    figures.running = load.running();
    figures.forecastMemory = load.forecastMemoryFraction(memory, memoryDeviations_);
    figures.stepMilliseconds = load.stepMilliseconds(1, request.work.promptTokens);
    figures.waited = std::chrono::duration_cast<std::chrono::microseconds>(now - request.work.arrival);
    figures.firstTokenIn = std::chrono::microseconds(std::lround(1000.0 * load.firstTokenMilliseconds(prefillTokens(request.work))));
    figures.prefixCached = choice.prefixCached;
    figures.expectedTokens = lengths_.expectedRemaining(request.profile, 0, lengthLimit(request.work));
    if (options_.placement == Placement::LeastAddedTime) {
        recordOwnMisses(*endpoints_[choice.endpoint], request, figures.expectedTokens);
        figures.expectedMisses = expectedMissedPaces(*endpoints_[choice.endpoint], request, figures.expectedTokens, now);
    }
    figures.calibration = load.calibration();
    figures.slowness = endpoints_[choice.endpoint]->slowness;
    if (figures.slowness) {
        figures.slownessAge = std::chrono::duration_cast<std::chrono::microseconds>(now - endpoints_[choice.endpoint]->slownessAt);
    }
    dequeue(slot);
    request.state = State::Assigned;
    request.load.memory = memory;
    request.generated = request.work.heldTokens;
    addToEndpoint(slot, choice.endpoint, now);
    waitForecast_.recordDispatch(request.work.rank, now);
    countPrompt(now);
    actions.emplace_back(Assign{request.work.id, load.info().id, static_cast<std::uint8_t>(request.work.rank), figures});
}

} // namespace daisystream::internal
