#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

/// @file
/// The request queue of one model. Urgent requests go before ordinary ones, except that ordinary requests get at least a minimum
/// share (the floor) of the generated tokens. Within a rank, teams are served by weighted fair queueing of generated tokens.
///
/// Each team of a rank has a virtual time: the number of tokens that it has generated plus the number that its running answers are
/// expected to generate soon (its reservation), divided by its weight. The team with the smallest virtual time is served next. The
/// reservation is updated as tokens arrive and removed when an answer ends, so that in the long run teams are charged for the
/// tokens that they generated. A team that was idle starts at the queue's virtual time, without reservations: it is not
/// compensated for the time in which it was idle, but it is served before teams that have answers running.
///
/// Example:
/// @code
///   FairQueue queue(0.10);
///   const FairQueue::Team team = queue.team(Rank::Urgent, TeamId("guides-north"), 1.0);
///   queue.push(team, order, userData);
///   if (const auto head = queue.head(Rank::Urgent)) {
///       queue.remove(head->team, head->order);
///       queue.reserve(head->team, expectedTokens);
///   }
///   queue.chargeGenerated(team, tokens, now);
/// @endcode

namespace daisystream
{

/// Fair queue of the requests of one model. Thread-compatible.
class FairQueue
{
public:
    using Team = std::uint32_t;     ///< Identifies a pair of rank and team.
    using Order = std::uint64_t;    ///< Position within the team's queue; smaller values go first. Unique within a team.
    using UserData = std::uint64_t; ///< Value that the caller attaches to an item; not interpreted by the queue.

    /// A queued request.
    struct Item
    {
        Team team = 0;
        Order order = 0;
        UserData userData = 0;
    };

    /// @param ordinaryFloor share of the generated tokens that ordinary requests get at least while some are queued, from 0 to 1.
    explicit FairQueue(double ordinaryFloor);
    ~FairQueue();
    FairQueue(FairQueue &&) noexcept;
    FairQueue &operator=(FairQueue &&) noexcept;

    /// Sets the weight of a team, which is created on first use.
    /// @param weight weight within the rank; 1 is used if it is not positive.
    /// @return the team.
    [[nodiscard]] Team team(Rank rank, const TeamId &team, double weight);

    /// Queues an item.
    void push(Team team, Order order, UserData userData);
    /// Removes a queued item, either to serve it or because it is no longer needed. Does nothing if it is not queued.
    void remove(Team team, Order order);

    /// @return the rank to serve next: urgent unless it has no queued items or ordinary requests are below their floor; nothing if no
    /// items are queued.
    [[nodiscard]] std::optional<Rank> nextRank(TimePoint now) const;

    /// @return the item of a rank to serve next; nothing if none is queued.
    [[nodiscard]] std::optional<Item> head(Rank rank) const;

    /// @return the last queued item of a team; nothing if none is queued.
    [[nodiscard]] std::optional<Item> tail(Team team) const;

    /// Counts a new running answer of a team.
    /// @param tokens number of tokens that it is expected to generate soon, which are reserved for the team.
    void reserve(Team team, double tokens);

    /// Replaces the reservation of a running answer.
    /// @param oldTokens its reservation so far.
    /// @param newTokens its new reservation.
    void updateReservation(Team team, double oldTokens, double newTokens);

    /// Stops counting an answer that has ended.
    /// @param tokens its reservation.
    void release(Team team, double tokens);

    /// Charges a team for tokens that a running answer has generated since the last call.
    void chargeGenerated(Team team, double tokens, TimePoint now);

    /// @return whether a running ordinary answer can be stopped without ordinary requests falling below their floor.
    [[nodiscard]] bool ordinaryAboveFloor(TimePoint now) const;

    /// @return the number of queued items of a rank.
    [[nodiscard]] std::size_t queued(Rank rank) const;
    /// @return the number of queued items of a team.
    [[nodiscard]] std::size_t queued(Team team) const;
    /// @return the number of running answers of a rank.
    [[nodiscard]] std::size_t running(Rank rank) const;

    /// @return the share of the tokens of its rank that the team gets while it and the teams that have queued items now are backlogged,
    /// from 0 to 1.
    [[nodiscard]] double shareOf(Team team) const;

    /// @return whether no other team of its rank with queued items is served before this team.
    [[nodiscard]] bool isNext(Team team) const;

    /// Iterates over the teams with queued items, of all ranks, in a cycle.
    /// @return the next such team; nothing if there is none.
    [[nodiscard]] std::optional<Team> nextBacklogged();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
