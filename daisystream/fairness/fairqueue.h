#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

/// @file
/// The queue of one model: ranks in strict order with a floor for ordinary work, and weighted fair queueing by
/// generated tokens within a rank.
///
/// Each team of a rank has a virtual time: the tokens that it has generated and those that its running answers are
/// expected to generate soon, divided by its weight. The team with the smallest virtual time is served next. The
/// expected part is corrected as tokens arrive and when an answer ends, so that over time teams are charged for what
/// they generated. A team that was idle starts at the generated part of the queue's virtual time: it has no claim to the
/// past, but it is served before teams that have answers running.
///
/// Example:
/// @code
///   FairQueue queue(0.10);
///   const FairQueue::Team team = queue.team(Rank::Urgent, TeamId("guides-north"), 1.0);
///   queue.push(team, order, ticket);
///   if (const auto head = queue.head(queue.nextRank(now))) {
///       queue.remove(head->team, head->order);
///       queue.reserve(head->team, expectedTokens);
///   }
///   queue.generated(team, tokens, now);
/// @endcode

namespace daisystream
{

/// Thread-compatible.
class FairQueue
{
public:
    using Team = std::uint32_t;   ///< Names a pair of rank and team.
    using Order = std::uint64_t;  ///< Position within the team's queue; smaller goes first.
    using Ticket = std::uint64_t; ///< The caller's name of a queued item.

    struct Item
    {
        Team team = 0;
        Order order = 0;
        Ticket ticket = 0;
    };

    /// @param ordinaryFloor share of the generated tokens that ordinary work keeps while it has any.
    explicit FairQueue(double ordinaryFloor);
    ~FairQueue();
    FairQueue(FairQueue &&) noexcept;
    FairQueue &operator=(FairQueue &&) noexcept;

    /// @return the team; its weight is set to the given one.
    [[nodiscard]] Team team(Rank rank, const TeamId &team, double weight);

    void push(Team team, Order order, Ticket ticket);
    void remove(Team team, Order order);

    /// @return the rank to serve next: urgent unless ordinary work is below its floor; nothing if both queues are empty.
    [[nodiscard]] std::optional<Rank> nextRank(TimePoint now) const;

    /// @return the next item of a rank.
    [[nodiscard]] std::optional<Item> head(Rank rank) const;

    /// @return the last item of a team.
    [[nodiscard]] std::optional<Item> tail(Team team) const;

    /// Counts an answer as running that is expected to generate `tokens`.
    void reserve(Team team, double tokens);

    /// Replaces the expectation of a running answer.
    void adjust(Team team, double oldTokens, double newTokens);

    /// Ends a running answer whose expectation was `tokens`.
    void release(Team team, double tokens);

    /// Charges tokens that a running answer has generated.
    void generated(Team team, double tokens, TimePoint now);

    /// @return whether a running ordinary answer can be stopped without taking ordinary work below its floor.
    [[nodiscard]] bool ordinaryAboveFloor(TimePoint now) const;

    [[nodiscard]] std::size_t queued(Rank rank) const;
    [[nodiscard]] std::size_t queued(Team team) const;
    [[nodiscard]] std::size_t running(Rank rank) const;

    /// @return the share of its rank's service that the team gets while the present teams are queued.
    [[nodiscard]] double shareOf(Team team) const;

    /// @return whether no other team with queued items is served before this one.
    [[nodiscard]] bool isNext(Team team) const;

    /// @return some team with queued items, a different one on each call, so that all are visited; nothing if none.
    [[nodiscard]] std::optional<Team> visitBacklogged();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
