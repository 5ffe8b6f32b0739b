#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/table.h"
#include "daisystream/orders/orderledger.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// @file
/// Orders with the caller's own idempotency key: a conditional insert of `orders/TEAM/SERVICE/KEY` decides which attempt
/// dispatches the order, and no other ever does.
///
/// Example:
/// @code
///   OrderRecord record(key, {.id = "vm1/7/42", .vm = self, .incarnation = 7, .digest = digest});
///   OrderStep step = record.start();
///   while (const auto *action = std::get_if<TableAction>(&step)) {
///       step = record.onReply(platform.perform(*action));
///   }
///   if (std::holds_alternative<OrderRun>(std::get<OrderBegin>(step))) {
///       step = record.finish(dispatch()); // Actions again, until the outcome is recorded.
///   }
/// @endcode

namespace daisystream
{

/// Names an order.
struct OrderKey
{
    TeamId team;
    ServiceId service;
    std::string key; ///< As the caller gave it.

    friend auto operator<=>(const OrderKey &, const OrderKey &) = default;
};

/// @return the key of the order's row; the caller's part is encoded, since it may hold any character.
[[nodiscard]] std::string rowKeyOf(const OrderKey &order);

/// One attempt of one VM incarnation to run an order.
struct OrderAttempt
{
    std::string id; ///< Unique among all attempts of all VMs.
    VmId vm;
    std::uint64_t incarnation = 0;
    std::string digest; ///< Of the order's content.

    friend auto operator<=>(const OrderAttempt &, const OrderAttempt &) = default;
};

/// The attempt that the row names has not recorded an outcome.
struct OrderRunning
{
    friend auto operator<=>(const OrderRunning &, const OrderRunning &) = default;
};

/// A decoded row.
struct OrderRow
{
    OrderAttempt attempt;
    std::variant<OrderRunning, OrderDone, OrderNotRun, OrderUnknown> state;
};

[[nodiscard]] std::string encode(const OrderRow &row);
/// @return the row, or nothing if the value is not one.
[[nodiscard]] std::optional<OrderRow> decodeOrderRow(std::string_view value);

/// The outcome is in the table, or this attempt needs none there.
struct OrderRecorded
{
};

/// Another request to send; the decision, once; or the end of recording.
using OrderStep = std::variant<TableAction, OrderBegin, OrderRecorded>;

namespace internal
{

/// Deliberate breaks for the schedules, which must notice each of them. None in the product.
struct OrderRecordFaults
{
    bool lostMeansInserted = false;   ///< Dispatches although no reply came.
    bool ignoreConflict = false;      ///< Dispatches although another attempt holds the row.
    bool rerunUnfinished = false;     ///< Takes over a row whose attempt has not recorded an outcome.
    bool ignoreKey = false;           ///< Uses one row for all orders of a team and service.
    bool unknownMeansDone = false;    ///< Records an unknown outcome as done.
    bool unknownMeansNotRun = false;  ///< Records an unknown outcome as not run.
    bool abandonWithoutTrace = false; ///< Says "not run" while a lost insert may still succeed and be found by nobody.
};

} // namespace internal

/// One attempt's use of the row. Thread-compatible.
class OrderRecord
{
public:
    OrderRecord(OrderKey order, OrderAttempt attempt, internal::OrderRecordFaults faults = {});

    [[nodiscard]] OrderStep start();
    /// @return the next request; or the decision: `OrderRun` (dispatch now, then call finish()), `OrderReplay`,
    ///     `OrderInProgress` (another attempt holds it; ask its VM, and use settle() if that incarnation is gone), or an
    ///     error: `PlatformUnavailable` (not run by this attempt), `OrderOutcomeUnknown`, `MalformedRequest` (the key was
    ///     used with other content).
    [[nodiscard]] OrderStep onReply(const TableReply &reply);

    /// Records the outcome of the dispatched order. After `PlatformUnavailable` the caller goes on with start(), whose
    /// actions make sure that an insert whose reply was lost does not stay behind as running.
    [[nodiscard]] OrderStep finish(const OrderOutcome &outcome);

    /// Replaces the state of a row whose attempt cannot do it itself: OrderUnknown when its incarnation is gone, OrderDone
    /// when an unknown outcome was resolved with the service. Nobody but the attempt itself can say "not run": it may only
    /// be paused, and dispatch when it resumes.
    /// @param number,row as read; the replacement is conditional on that number.
    [[nodiscard]] OrderStep settle(std::uint64_t number, const OrderRow &row, const std::variant<OrderDone, OrderUnknown> &outcome);

    /// @return the row as last read, when another attempt holds it.
    [[nodiscard]] const std::optional<OrderRow> &found() const
    {
        return found_;
    }
    [[nodiscard]] std::uint64_t foundNumber() const
    {
        return foundNumber_;
    }
    /// @return whether an insert without a reply may still take effect after this attempt was given up.
    [[nodiscard]] bool needsCleanUp() const
    {
        return phase_ == Phase::Abandoned;
    }
    /// @return the first request of the clean-up: it puts a row "not run" in the place of the lost insert.
    [[nodiscard]] OrderStep cleanUp();

private:
    enum class Phase : std::uint8_t {
        Insert,
        ReadBack,
        Running,
        Record,
        RecordReadBack,
        Abandoned,
        Decided,
    };

    OrderStep insert();
    OrderStep readBack();
    OrderStep decide(Phase phase, OrderBegin decision);
    OrderStep giveUp();
    OrderStep onInsertReply(const TableReply &reply);
    OrderStep onReadBack(const TableReply &reply);
    OrderStep onRow(const RowFound &found);
    OrderStep record();
    OrderStep onRecordReply(const TableReply &reply);

    OrderKey order_;
    OrderAttempt attempt_;
    internal::OrderRecordFaults faults_;
    Phase phase_ = Phase::Insert;
    std::uint64_t number_ = 0; // Condition of the next write.
    OrderRow outcome_;
    std::optional<OrderRow> found_;
    std::uint64_t foundNumber_ = 0;
    int failures_ = 0;
    bool mayTakeEffect_ = false;
};

} // namespace daisystream
