#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/table.h"
#include "daisystream/orders/orderledger.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// @file
/// Orders with an idempotency key chosen by the caller. Every attempt to run such an order conditionally inserts the table
/// row `orders/TEAM/SERVICE/KEY`. Only the attempt whose insert succeeds dispatches the order.
///
/// Example:
/// @code
///   OrderRecord record(key, {.id = "vm1/7/42", .vm = self, .incarnation = 7, .digest = digest});
///   OrderStep step = record.start();
///   while (const auto *action = std::get_if<TableAction>(&step)) {
///       step = record.onReply(platform.perform(*action));
///   }
///   if (std::holds_alternative<OrderRun>(std::get<OrderBegin>(step))) {
///       step = record.finish(dispatch()); // Then perform actions as above until OrderRecorded.
///   }
/// @endcode

namespace daisystream
{

/// Identifies an order across all VMs.
struct OrderKey
{
    TeamId team;
    ServiceId service;
    std::string key; ///< The idempotency key as sent by the caller.

    friend auto operator<=>(const OrderKey &, const OrderKey &) = default;
};

/// @return the key of the order's table row. The caller's key is base64-encoded in it, because it may contain any character.
[[nodiscard]] std::string rowKeyOf(const OrderKey &order);

/// One attempt of one VM incarnation to run an order.
struct OrderAttempt
{
    std::string id; ///< Unique among the attempts of all VMs.
    VmId vm;
    std::uint64_t incarnation = 0;
    std::string digest; ///< Digest of the order's content.

    friend auto operator<=>(const OrderAttempt &, const OrderAttempt &) = default;
};

/// State of a row whose attempt has not recorded an outcome yet.
struct OrderRunning
{
    friend auto operator<=>(const OrderRunning &, const OrderRunning &) = default;
};

/// The decoded value of an order's table row.
struct OrderRow
{
    OrderAttempt attempt; ///< The attempt that may dispatch the order.
    std::variant<OrderRunning, OrderDone, OrderNotRun, OrderUnknown> state;
};

/// @return the row's value as JSON.
[[nodiscard]] std::string encode(const OrderRow &row);
/// @return the decoded row, or nothing if the value is not valid.
[[nodiscard]] std::optional<OrderRow> decodeOrderRow(std::string_view value);

/// The outcome has been recorded in the table, or this attempt has nothing to record.
struct OrderRecorded
{
};

/// The next request to send to the table, the decision about the order, or the end of recording its outcome.
using OrderStep = std::variant<TableAction, OrderBegin, OrderRecorded>;

namespace internal
{

/// Defects that the schedule tests inject to check that they detect each one. All are off in production.
struct OrderRecordFaults
{
    bool lostMeansInserted = false;   ///< Dispatches although the insert got no reply.
    bool ignoreConflict = false;      ///< Dispatches although the row belongs to another attempt.
    bool rerunUnfinished = false;     ///< Takes over the row of an attempt that has not recorded an outcome.
    bool ignoreKey = false;           ///< Uses one row for all orders of a team and service.
    bool unknownMeansDone = false;    ///< Records an unknown outcome as "done".
    bool unknownMeansNotRun = false;  ///< Records an unknown outcome as "not run".
    bool abandonWithoutTrace = false; ///< Skips the clean-up after an insert without a reply, which may still leave a row in state "running".
};

} // namespace internal

/// State machine by which one attempt acquires the order's row and records the outcome. Thread-compatible.
class OrderRecord
{
public:
    /// @param order the order to run.
    /// @param attempt this attempt.
    /// @param faults defects to inject; none in production.
    OrderRecord(OrderKey order, OrderAttempt attempt, internal::OrderRecordFaults faults = {});

    /// @return the first request.
    [[nodiscard]] OrderStep start();
    /// @param reply the reply to the last request.
    /// @return the next request, the end of recording, or the decision: `OrderRun` (dispatch now, then call finish()),
    ///     `OrderReplay`, `OrderInProgress` (the row belongs to another attempt; ask that attempt's VM, and call settle() if
    ///     that incarnation no longer exists), or an error: `PlatformUnavailable` (this attempt has not run the order),
    ///     `OrderOutcomeUnknown`, `MalformedRequest` (the key was used for an order with other content).
    [[nodiscard]] OrderStep onReply(const TableReply &reply);

    /// Records the outcome of the dispatched order. After the decision `PlatformUnavailable` there is no outcome to record: call
    /// cleanUp() instead if needsCleanUp().
    /// @return the first request of recording.
    [[nodiscard]] OrderStep finish(const OrderOutcome &outcome);

    /// Records an outcome on behalf of another attempt that cannot do so itself. "Not run" is not allowed here, because an
    /// attempt that seems to be gone may only be paused, and dispatch the order when it resumes.
    /// @param number the number of the row as read; the row is replaced only if it still has this number.
    /// @param row the row as read.
    /// @param outcome OrderUnknown if the attempt's incarnation no longer exists, OrderDone if the outcome was unknown and
    ///     the service has since reported it.
    /// @return the first request of recording.
    [[nodiscard]] OrderStep settle(std::uint64_t number, const OrderRow &row, const std::variant<OrderDone, OrderUnknown> &outcome);

    /// @return the row as last read, or nothing if no valid row was read.
    [[nodiscard]] const std::optional<OrderRow> &found() const
    {
        return found_;
    }
    /// @return the number of the row that found() returns.
    [[nodiscard]] std::uint64_t foundNumber() const
    {
        return foundNumber_;
    }
    /// @return whether this attempt was abandoned while an insert without a reply may still take effect.
    [[nodiscard]] bool needsCleanUp() const
    {
        return phase_ == Phase::Abandoned;
    }
    /// Records "not run" in the row, so that an insert without a reply does not leave the order as running forever.
    /// @return the first request of the clean-up.
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
    OrderStep abandon();
    OrderStep onInsertReply(const TableReply &reply);
    OrderStep onReadBack(const TableReply &reply);
    OrderStep onRow(const RowFound &found);
    OrderStep record();
    OrderStep onRecordReply(const TableReply &reply);

    OrderKey order_;
    OrderAttempt attempt_;
    internal::OrderRecordFaults faults_;
    Phase phase_ = Phase::Insert;
    std::uint64_t number_ = 0; // The number that the row must have for the next write to take effect.
    OrderRow outcome_;         // The row to write when the outcome is recorded.
    std::optional<OrderRow> found_;
    std::uint64_t foundNumber_ = 0;
    int failures_ = 0;                 // Unsuccessful requests since the last decision.
    bool insertMayTakeEffect_ = false; // An insert got no reply.
};

} // namespace daisystream
