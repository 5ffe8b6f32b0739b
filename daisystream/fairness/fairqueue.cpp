#include "daisystream/fairness/fairqueue.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisystream
{

namespace
{

// Time constant with which the share of ordinary requests in the generated tokens is averaged.
constexpr double kShareAverageSeconds = 10.0;
// Gain with which a recent shortfall below the floor raises the target share of ordinary requests. A surplus does not lower the
// target: it mostly comes from a time without urgent requests.
constexpr double kShortfallGain = 2.0;
// Largest lag of a team with running answers behind the queue's virtual time when it queues again, in tokens of weight 1. It lets a
// team with few requests be served at once, but bounds the service that it can save up for a later burst.
constexpr double kMaxLagTokens = 2000;

} // namespace

class FairQueue::Private
{
public:
    struct TeamState
    {
        Rank rank = Rank::Ordinary;
        double weight = 1.0;
        double generatedVirtualTime = 0; // Generated tokens divided by the weight; raised to near the queue's virtual time when the team queues after a pause.
        double reservedTokens = 0;       // Sum of the reservations of running answers, in tokens.
        std::size_t running = 0;
        double key = 0; // Virtual time with which the team is in `byKey`.
        std::map<Order, UserData> items;
        std::size_t backlogPosition = 0; // Index in `backlogged`; valid while items are queued.
    };

    struct RankState
    {
        std::unordered_map<TeamId, Team> index;
        std::set<std::pair<double, Team>> byKey; // Teams with queued items.
        double virtualTime = 0;                  // Largest `generatedVirtualTime` of the teams when they were served.
        double queuedWeight = 0;
        std::size_t queued = 0;
        std::size_t running = 0;
        double recentTokens = 0; // Generated tokens, decaying with the time constant `kShareAverageSeconds`.
    };

    double floor = 0;
    std::vector<TeamState> teams;
    std::array<RankState, 2> ranks;
    std::vector<Team> backlogged;
    std::size_t lastReturned = 0; // Index in `backlogged` of the team that `nextBacklogged` returned last.
    TimePoint decayedAt{};

    RankState &rankOf(const TeamState &team)
    {
        return ranks[static_cast<std::size_t>(team.rank)];
    }

    [[nodiscard]] const RankState &rankState(Rank rank) const
    {
        return ranks[static_cast<std::size_t>(rank)];
    }

    static double virtualTimeOf(const TeamState &state)
    {
        return state.generatedVirtualTime + state.reservedTokens / state.weight;
    }

    // Updates the position of a team in `byKey` after a change of its virtual time.
    void requeue(Team team)
    {
        TeamState &state = teams[team];
        const double key = virtualTimeOf(state);
        if (!state.items.empty() && key != state.key) {
            RankState &rank = rankOf(state);
            rank.byKey.erase({state.key, team});
            state.key = key;
            rank.byKey.emplace(key, team);
        }
    }

    void enterBacklog(Team team)
    {
        TeamState &state = teams[team];
        RankState &rank = rankOf(state);
        const double lag = rank.virtualTime - state.generatedVirtualTime - (state.running > 0 ? kMaxLagTokens / state.weight : 0.0);
        state.generatedVirtualTime += std::max(0.0, lag);
        state.key = virtualTimeOf(state);
        rank.byKey.emplace(state.key, team);
        rank.queuedWeight += state.weight;
        state.backlogPosition = backlogged.size();
        backlogged.push_back(team);
    }

    void leaveBacklog(Team team)
    {
        TeamState &state = teams[team];
        RankState &rank = rankOf(state);
        rank.byKey.erase({state.key, team});
        rank.queuedWeight = rank.byKey.empty() ? 0.0 : rank.queuedWeight - state.weight;
        teams[backlogged.back()].backlogPosition = state.backlogPosition;
        backlogged[state.backlogPosition] = backlogged.back();
        backlogged.pop_back();
    }

    // Returns the share of ordinary requests in the recently generated tokens.
    [[nodiscard]] double ordinaryShare() const
    {
        const double ordinary = rankState(Rank::Ordinary).recentTokens;
        const double total = ordinary + rankState(Rank::Urgent).recentTokens;
        return total > 0 ? ordinary / total : floor;
    }

    // Returns the share of the running answers that should be ordinary ones so that ordinary requests keep their floor.
    [[nodiscard]] double targetOrdinaryShare() const
    {
        return floor + kShortfallGain * (floor - std::min(ordinaryShare(), floor));
    }
};

FairQueue::FairQueue(double ordinaryFloor)
    : d_(std::make_unique<Private>())
{
    d_->floor = ordinaryFloor;
}

FairQueue::~FairQueue() = default;
FairQueue::FairQueue(FairQueue &&) noexcept = default;
FairQueue &FairQueue::operator=(FairQueue &&) noexcept = default;

FairQueue::Team FairQueue::team(Rank rank, const TeamId &team, double weight)
{
    auto &index = d_->ranks[static_cast<std::size_t>(rank)].index;
    const auto [found, isNew] = index.try_emplace(team, static_cast<Team>(d_->teams.size()));
    if (isNew) {
        d_->teams.emplace_back();
        d_->teams.back().rank = rank;
    }
    Private::TeamState &state = d_->teams[found->second];
    const double valid = weight > 0 ? weight : 1.0;
    if (state.weight != valid) {
        if (!state.items.empty()) {
            d_->rankOf(state).queuedWeight += valid - state.weight;
        }
        state.weight = valid;
        d_->requeue(found->second);
    }
    return found->second;
}

void FairQueue::push(Team team, Order order, UserData userData)
{
    Private::TeamState &state = d_->teams[team];
    if (state.items.empty()) {
        d_->enterBacklog(team);
    }
    if (state.items.emplace(order, userData).second) {
        ++d_->rankOf(state).queued;
    }
}

void FairQueue::remove(Team team, Order order)
{
    Private::TeamState &state = d_->teams[team];
    if (state.items.erase(order) == 0) {
        return;
    }
    --d_->rankOf(state).queued;
    if (state.items.empty()) {
        d_->leaveBacklog(team);
    }
}

std::optional<Rank> FairQueue::nextRank(TimePoint) const
{
    const Private::RankState &urgent = d_->rankState(Rank::Urgent);
    const Private::RankState &ordinary = d_->rankState(Rank::Ordinary);
    if (urgent.queued == 0 && ordinary.queued == 0) {
        return std::nullopt;
    }
    if (urgent.queued == 0 || ordinary.queued == 0) {
        return urgent.queued > 0 ? Rank::Urgent : Rank::Ordinary;
    }
    const auto total = static_cast<double>(urgent.running + ordinary.running + 1);
    return static_cast<double>(ordinary.running) + 0.5 < d_->targetOrdinaryShare() * total ? Rank::Ordinary : Rank::Urgent;
}

std::optional<FairQueue::Item> FairQueue::head(Rank rank) const
{
    const Private::RankState &state = d_->rankState(rank);
    if (state.byKey.empty()) {
        return std::nullopt;
    }
    const Team team = state.byKey.begin()->second;
    const auto &[order, userData] = *d_->teams[team].items.begin();
    return Item{team, order, userData};
}

std::optional<FairQueue::Item> FairQueue::tail(Team team) const
{
    const auto &items = d_->teams[team].items;
    if (items.empty()) {
        return std::nullopt;
    }
    return Item{team, items.rbegin()->first, items.rbegin()->second};
}

void FairQueue::reserve(Team team, double tokens)
{
    Private::TeamState &state = d_->teams[team];
    Private::RankState &rank = d_->rankOf(state);
    // Reservations do not count here. Otherwise, teams that queue while one team occupies all engines would start level with it,
    // rather than before it.
    rank.virtualTime = std::max(rank.virtualTime, state.generatedVirtualTime);
    state.reservedTokens += tokens;
    ++state.running;
    ++rank.running;
    d_->requeue(team);
}

void FairQueue::updateReservation(Team team, double oldTokens, double newTokens)
{
    d_->teams[team].reservedTokens += newTokens - oldTokens;
    d_->requeue(team);
}

void FairQueue::release(Team team, double tokens)
{
    Private::TeamState &state = d_->teams[team];
    --state.running;
    --d_->rankOf(state).running;
    state.reservedTokens = state.running == 0 ? 0.0 : state.reservedTokens - tokens;
    d_->requeue(team);
}

void FairQueue::chargeGenerated(Team team, double tokens, TimePoint now)
{
    Private::TeamState &state = d_->teams[team];
    state.generatedVirtualTime += tokens / state.weight;
    const double elapsed = std::chrono::duration<double>(now - d_->decayedAt).count();
    if (elapsed > 0) {
        const double factor = std::exp(-elapsed / kShareAverageSeconds);
        for (Private::RankState &rank : d_->ranks) {
            rank.recentTokens *= factor;
        }
        d_->decayedAt = now;
    }
    d_->rankOf(state).recentTokens += tokens;
    d_->requeue(team);
}

bool FairQueue::ordinaryAboveFloor(TimePoint) const
{
    const auto ordinary = static_cast<double>(d_->rankState(Rank::Ordinary).running);
    const auto total = ordinary + static_cast<double>(d_->rankState(Rank::Urgent).running);
    return ordinary - 1.0 >= d_->targetOrdinaryShare() * total;
}

std::size_t FairQueue::queued(Rank rank) const
{
    return d_->rankState(rank).queued;
}

std::size_t FairQueue::queued(Team team) const
{
    return d_->teams[team].items.size();
}

std::size_t FairQueue::running(Rank rank) const
{
    return d_->rankState(rank).running;
}

double FairQueue::shareOf(Team team) const
{
    const Private::TeamState &state = d_->teams[team];
    const double others = d_->rankState(state.rank).queuedWeight - (state.items.empty() ? 0.0 : state.weight);
    return state.weight / (std::max(0.0, others) + state.weight);
}

bool FairQueue::isNext(Team team) const
{
    const Private::TeamState &state = d_->teams[team];
    const auto &byKey = d_->rankState(state.rank).byKey;
    return byKey.empty() || Private::virtualTimeOf(state) <= byKey.begin()->first;
}

std::optional<FairQueue::Team> FairQueue::nextBacklogged()
{
    if (d_->backlogged.empty()) {
        return std::nullopt;
    }
    d_->lastReturned = (d_->lastReturned + 1) % d_->backlogged.size();
    return d_->backlogged[d_->lastReturned];
}

} // namespace daisystream
