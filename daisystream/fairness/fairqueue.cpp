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

// Time over which the share of ordinary work is averaged.
constexpr double kShareSeconds = 10.0;
// How strongly a recent shortfall below the floor is made up for. A surplus is not paid back: it is mostly what ordinary
// work used before urgent work came.
constexpr double kFloorGain = 2.0;
// A team may lag behind the queue's virtual time by this much, so that a team that asks for little is served at once,
// but cannot save up service for a later surge.
constexpr double kCreditTokens = 2000;

} // namespace

class FairQueue::Private
{
public:
    struct TeamState
    {
        Rank rank = Rank::Ordinary;
        double weight = 1.0;
        double charged = 0;  // Virtual time of generated tokens.
        double reserved = 0; // Tokens that running answers are expected to generate still.
        std::size_t running = 0;
        double key = 0; // Virtual time under which the team is queued.
        std::map<Order, Ticket> items;
        std::size_t backlogPosition = 0; // Index in `backlogged` while items are queued.
    };

    struct RankState
    {
        std::unordered_map<TeamId, Team> index;
        std::set<std::pair<double, Team>> byKey; // Teams with queued items.
        double virtualTime = 0;
        double queuedWeight = 0;
        std::size_t queued = 0;
        std::size_t running = 0;
        double recentTokens = 0; // Decays with time constant kShareSeconds.
    };

    double floor = 0;
    std::vector<TeamState> teams;
    std::array<RankState, 2> ranks;
    std::vector<Team> backlogged;
    std::size_t visited = 0;
    TimePoint decayedAt{};

    RankState &rankOf(const TeamState &team)
    {
        return ranks[static_cast<std::size_t>(team.rank)];
    }

    [[nodiscard]] const RankState &rankState(Rank rank) const
    {
        return ranks[static_cast<std::size_t>(rank)];
    }

    static double virtualKey(const TeamState &state)
    {
        return state.charged + state.reserved / state.weight;
    }

    // Puts a team with queued items at the place of its present virtual time.
    void requeue(Team team)
    {
        TeamState &state = teams[team];
        const double key = virtualKey(state);
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
        const double lag = rank.virtualTime - state.charged - (state.running > 0 ? kCreditTokens / state.weight : 0.0);
        state.charged += std::max(0.0, lag);
        state.key = virtualKey(state);
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

    // Share of ordinary work in the recently generated tokens, as of `now`.
    [[nodiscard]] double ordinaryShare() const
    {
        const double ordinary = rankState(Rank::Ordinary).recentTokens;
        const double total = ordinary + rankState(Rank::Urgent).recentTokens;
        return total > 0 ? ordinary / total : floor;
    }

    // Share of the running answers that ordinary work should have in order to keep its floor.
    [[nodiscard]] double wantedOrdinaryShare() const
    {
        return floor + kFloorGain * (floor - std::min(ordinaryShare(), floor));
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

void FairQueue::push(Team team, Order order, Ticket ticket)
{
    Private::TeamState &state = d_->teams[team];
    if (state.items.empty()) {
        d_->enterBacklog(team);
    }
    if (state.items.emplace(order, ticket).second) {
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
    return static_cast<double>(ordinary.running) + 0.5 < d_->wantedOrdinaryShare() * total ? Rank::Ordinary : Rank::Urgent;
}

std::optional<FairQueue::Item> FairQueue::head(Rank rank) const
{
    const Private::RankState &state = d_->rankState(rank);
    if (state.byKey.empty()) {
        return std::nullopt;
    }
    const Team team = state.byKey.begin()->second;
    const auto &[order, ticket] = *d_->teams[team].items.begin();
    return Item{team, order, ticket};
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
    // Only what was generated counts: a team that held all engines when others came must not start level with them.
    rank.virtualTime = std::max(rank.virtualTime, state.charged);
    state.reserved += tokens;
    ++state.running;
    ++rank.running;
    d_->requeue(team);
}

void FairQueue::adjust(Team team, double oldTokens, double newTokens)
{
    d_->teams[team].reserved += newTokens - oldTokens;
    d_->requeue(team);
}

void FairQueue::release(Team team, double tokens)
{
    Private::TeamState &state = d_->teams[team];
    --state.running;
    --d_->rankOf(state).running;
    state.reserved = state.running == 0 ? 0.0 : state.reserved - tokens;
    d_->requeue(team);
}

void FairQueue::generated(Team team, double tokens, TimePoint now)
{
    Private::TeamState &state = d_->teams[team];
    state.charged += tokens / state.weight;
    const double elapsed = std::chrono::duration<double>(now - d_->decayedAt).count();
    if (elapsed > 0) {
        const double factor = std::exp(-elapsed / kShareSeconds);
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
    return ordinary - 1.0 >= d_->wantedOrdinaryShare() * total;
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
    return byKey.empty() || Private::virtualKey(state) <= byKey.begin()->first;
}

std::optional<FairQueue::Team> FairQueue::visitBacklogged()
{
    if (d_->backlogged.empty()) {
        return std::nullopt;
    }
    d_->visited = (d_->visited + 1) % d_->backlogged.size();
    return d_->backlogged[d_->visited];
}

} // namespace daisystream
