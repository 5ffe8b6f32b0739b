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

constexpr int kSweepTeams = 2;
constexpr double kLongestRetry = 30.0; // Seconds.
constexpr double kShortestRetry = 0.05;
// Share of the service that requests which can be in time are expected to leave to overdue ones.
constexpr double kOverdueShare = 0.8;
constexpr double kOverduePriorSeconds = 5;   // Weight of that expectation against what is seen.
constexpr double kOverdueMemorySeconds = 10; // For which it is remembered how many were served.
constexpr double kOverdueDoubt = 1.5;        // A wait may be forecast longer by this factor than when it began.

} // namespace

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

double Pool::idleFirstTokenSeconds(const Request &request) const
{
    const Index &index = general_.empty() ? reserved_ : general_;
    return endpoints_[index.begin()->second]->load.idleFirstTokenMilliseconds(unreadTokens(request.work)) / 1000.0;
}

// Seconds that a request can wait and still get its first token in time.
double Pool::slackOf(const Request &request, TimePoint now) const
{
    const double firstToken = idleFirstTokenSeconds(request);
    const double promise = secondsOf(request.work.firstTokenDeadline - request.work.arrival);
    return std::min(secondsOf(request.work.firstTokenDeadline - now) - firstToken, kLongestWait * promise - secondsOf(now - request.work.arrival));
}

bool Pool::refuseWithoutEndpoint(Slot slot, TimePoint now, std::vector<Action> &actions)
{
    // Recovering endpoints with a trial in progress are out of the index for the moment, but will serve.
    const bool recovering = std::any_of(endpoints_.begin(), endpoints_.end(), [](const auto &endpoint) {
        return endpoint != nullptr && endpoint->load.info().state == EndpointState::InService && endpoint->health.phase() == EndpointHealth::Phase::Recovering;
    });
    if (recovering) {
        return false;
    }
    refuse(slot, ResultCode::NoEndpoint, "no endpoint of the model is in service", secondsOf(options_.probeInterval), now, actions);
    return true;
}

bool Pool::refuseIfHopeless(const FairQueue::Item &item, TimePoint now, std::vector<Action> &actions)
{
    const auto slot = static_cast<Slot>(item.ticket);
    const Request &request = requests_[slot];
    if (reserved_.empty() && general_.empty()) {
        return refuseWithoutEndpoint(slot, now, actions);
    }
    const double wait = waitOf(request, static_cast<double>(queue_.queued(item.team)), now);
    const double slack = slackOf(request, now);
    if (wait <= slack) {
        return false;
    }
    if (makeOverdue(slot, now)) {
        return true;
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

// Seconds until the overdue request at a position would be served, by the rate at which such requests were served lately.
double Pool::overdueWait(const Request &request, std::size_t position, TimePoint now) const
{
    const double expected = kOverdueShare / std::max(1e-3, waitOf(request, 1, now));
    const double rate = (overdueServed_ + kOverduePriorSeconds * expected) / (overdueSeconds_ + kOverduePriorSeconds);
    return static_cast<double>(position) / std::max(1e-6, rate);
}

void Pool::noteOverdueTime(TimePoint now)
{
    const double elapsed = std::max(0.0, secondsOf(now - overdueAt_));
    const double kept = std::exp(-elapsed / kOverdueMemorySeconds);
    overdueServed_ *= kept;
    overdueSeconds_ = overdueSeconds_ * kept + (overdue_.empty() ? 0.0 : elapsed);
    overdueAt_ = now;
}

// Those that can be in time may leave less than was expected: the last ones are told as soon as that shows.
void Pool::refuseOverdueInVain(TimePoint now, std::vector<Action> &actions)
{
    while (!overdue_.empty()) {
        const Slot slot = std::get<Slot>(*overdue_.rbegin());
        const Request &request = requests_[slot];
        const double slack = secondsOf(request.firstTokenLimit - now) - idleFirstTokenSeconds(request);
        if (overdueWait(request, overdue_.size(), now) <= kOverdueDoubt * slack) {
            return;
        }
        refuse(slot, ResultCode::PromiseCannotBeMet, "the endpoints are kept busy by requests that can be in time", slack, now, actions);
    }
}

// Lets a request that cannot be in time any more wait for room that nobody else needs, if it is likely to get any.
bool Pool::makeOverdue(Slot slot, TimePoint now)
{
    Request &request = requests_[slot];
    const auto limit = request.work.lastUsefulFirstToken;
    if (!limit || (reserved_.empty() && general_.empty())) {
        return false;
    }
    const double slack = secondsOf(*limit - now) - idleFirstTokenSeconds(request);
    if (overdueWait(request, overdue_.size() + 1, now) > slack) {
        return false;
    }
    dequeue(slot);
    request.state = State::Overdue;
    request.firstTokenLimit = *limit;
    overdue_.emplace(request.work.rank, request.work.arrival, slot);
    setTimer(slot, now + durationOf(slack));
    return true;
}

void Pool::dispatchOverdue(TimePoint now, std::vector<Action> &actions)
{
    noteOverdueTime(now);
    while (!overdue_.empty() && queue_.queued(Rank::Urgent) + queue_.queued(Rank::Ordinary) == 0) {
        const Slot slot = std::get<Slot>(*overdue_.begin());
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
        ++overdueServed_;
    }
    if (!reserved_.empty() || !general_.empty()) {
        refuseOverdueInVain(now, actions);
    }
}

void Pool::refuse(Slot slot, ResultCode code, const char *detail, double wait, TimePoint now, std::vector<Action> &actions)
{
    const Request &request = requests_[slot];
    dequeue(slot);
    // Callers that are told to come back are spread over time at the rate at which the team is served.
    TimePoint &latest = retryAt_[request.team];
    const double interval = waitOf(request, 1, now);
    if (!overdue_.empty()) {
        wait = std::max(wait, overdueWait(request, overdue_.size(), now)); // Those that wait already come first.
    }
    const TimePoint retry = std::max(now + durationOf(std::clamp(wait, kShortestRetry, kLongestRetry)), latest + durationOf(interval));
    latest = std::min(retry, now + durationOf(kLongestRetry));
    const auto after = std::chrono::ceil<milliseconds>(latest - now);
    actions.emplace_back(Refuse{request.work.id, Error{code, detail, after}});
    destroy(slot);
}

} // namespace daisystream::internal
