#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"
#include "daisystream/cell/cellmap.h"
#include "daisystream/scheduler/scheduler.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

/// @file
/// State machine of the pending asks of an entry VM. The entry VM is the VM that the caller is connected to; an ask is its
/// message to the VM that owns a cell, which requests an endpoint for one generation.
///
/// The owner replies with Assign or Refuse, or with Queued if the request has to wait. A Queued reply shows that the owner is
/// alive, so a busy owner is not mistaken for a failed one. After a Queued reply the tracker waits until
/// WorkRequest::latestFirstToken() or until the owner is reported as lost. If a reply times out, the tracker asks the next VM
/// in the cell's owner order; after AskTrackerOptions::maxOwnersAsked VMs the entry VM chooses an endpoint itself.
///
/// The tracker does no I/O: each call returns the actions that the caller has to carry out, in this order.
///
/// Example:
/// @code
///   AskTracker asks(AskTrackerOptions{});
///   carryOut(asks.ask(request, cell, cells.owners(cell), now)); // SendAsk to the first owner
///   carryOut(asks.onAssign(from, assign, now));                 // CompleteAsk: the owner assigned an endpoint
///   carryOut(asks.expire(now));                                 // when the time of nextWake() has come
/// @endcode

namespace daisystream
{

/// Action: sends an ask for the request to an owner of the cell.
struct SendAsk
{
    VmId owner;
    CellId cell;
    WorkRequest request;

    friend auto operator<=>(const SendAsk &, const SendAsk &) = default;
};

/// Action: tells the owner to drop an ask that was sent to it earlier.
struct SendWithdraw
{
    VmId owner;
    CellId cell;
    RequestId request;

    friend auto operator<=>(const SendWithdraw &, const SendWithdraw &) = default;
};

/// Action: tells the owner that its Assign arrived too late and was not used, by a Done message with zero tokens, so that the
/// owner frees the assigned capacity.
struct SendAssignNotUsed
{
    VmId owner;
    CellId cell; ///< Empty if the ask is no longer pending.
    RequestId request;

    friend auto operator<=>(const SendAssignNotUsed &, const SendAssignNotUsed &) = default;
};

/// Action: no owner replied, so the entry VM chooses an endpoint itself. It knows only the load reports that have reached it,
/// which lag behind the owner's view.
struct DecideLocally
{
    CellId cell;
    WorkRequest request;

    friend auto operator<=>(const DecideLocally &, const DecideLocally &) = default;
};

/// Action: hands the result of an ask to the request that waits for it. The ask is no longer pending.
struct CompleteAsk
{
    RequestId request;
    VmId owner;            ///< The owner to which the progress of the request is reported; empty if no owner decided.
    Result<Assign> answer; ///< The assignment, or why the request is not run.

    friend auto operator<=>(const CompleteAsk &, const CompleteAsk &) = default;
};

/// What the caller of AskTracker has to carry out.
using AskAction = std::variant<SendAsk, SendWithdraw, SendAssignNotUsed, DecideLocally, CompleteAsk>;

/// Timeouts and limits of AskTracker.
struct AskTrackerOptions
{
    std::chrono::milliseconds urgentReplyTimeout{100};   ///< Wait for a reply of an owner to an ask of rank Urgent.
    std::chrono::milliseconds ordinaryReplyTimeout{250}; ///< The same for an ask of rank Ordinary.
    std::chrono::milliseconds repeatInterval{1000};      ///< Interval at which an ask is repeated while its request is queued. Only for requests with
                                                         ///< `lastUsefulFirstToken`, which may wait longer than their first-token deadline.
    std::uint32_t maxOwnersAsked = 2;                    ///< Owners that are asked before the entry VM chooses an endpoint itself.
};

/// Tracks the pending asks of one entry VM. Deterministic: it reads no clock and uses no random numbers. Thread-compatible.
class AskTracker
{
public:
    /// @param options timeouts and limits, fixed for the lifetime of the tracker.
    explicit AskTracker(AskTrackerOptions options);
    ~AskTracker();
    AskTracker(AskTracker &&) noexcept;
    AskTracker &operator=(AskTracker &&) noexcept;

    /// Starts an ask. A request whose id is pending already is ignored.
    /// @param request the request that needs an endpoint.
    /// @param cell the cell whose owner decides.
    /// @param owners the live VMs in the order in which they are asked; see CellMap::owners().
    /// @param now the current time.
    /// @return SendAsk for the first owner, or DecideLocally if `owners` is empty; nothing if the id is pending already.
    [[nodiscard]] std::vector<AskAction> ask(const WorkRequest &request, const CellId &cell, const std::vector<VmId> &owners, TimePoint now);

    /// Handles a Queued reply: the request waits at the owner. Ignored unless the ask is pending at this owner.
    /// @param from the VM that replied.
    /// @param request the request of the ask.
    /// @param now the current time.
    void onQueued(const VmId &from, const RequestId &request, TimePoint now);

    /// Handles an Assign reply.
    /// @param from the VM that replied.
    /// @param assign the reply.
    /// @param now the current time.
    /// @return CompleteAsk, or SendAssignNotUsed if the ask is not pending at this owner any more.
    [[nodiscard]] std::vector<AskAction> onAssign(const VmId &from, const Assign &assign, TimePoint now);

    /// Handles a Refuse reply.
    /// @param from the VM that replied.
    /// @param refuse the reply.
    /// @param now the current time.
    /// @return CompleteAsk, or nothing if the ask is not pending at this owner any more.
    [[nodiscard]] std::vector<AskAction> onRefuse(const VmId &from, const Refuse &refuse, TimePoint now);

    /// Handles a Cancel of an earlier assignment: the owner took the endpoint back before the first token and queued the request
    /// again, so its ask is pending again. Ignored if the id is pending already.
    /// @param request the request whose assignment was cancelled.
    /// @param cell the cell of the request.
    /// @param owner the VM that cancelled the assignment.
    /// @param owners the live VMs in the order in which they are asked; `owner` need not be one of them.
    /// @param now the current time.
    void onCancelled(const WorkRequest &request, const CellId &cell, const VmId &owner, const std::vector<VmId> &owners, TimePoint now);

    /// Ends an ask whose caller has disconnected or cancelled.
    /// @param request the request of the ask.
    /// @param now the current time.
    /// @return SendWithdraw for the current owner, or nothing if the ask is not pending.
    [[nodiscard]] std::vector<AskAction> withdraw(const RequestId &request, TimePoint now);

    /// Moves every ask that is pending at a VM to its next owner, without waiting for the reply timeout.
    /// @param vm the VM that is suspected or dead.
    /// @param now the current time.
    /// @return for each such ask SendWithdraw, and SendAsk or DecideLocally.
    [[nodiscard]] std::vector<AskAction> onVmLost(const VmId &vm, TimePoint now);

    /// Handles that a VM has a new process, which knows nothing of the asks that were sent to the former one.
    /// @param vm the VM that is asked.
    /// @param now the current time.
    /// @return SendAsk for each ask that is pending at the VM.
    [[nodiscard]] std::vector<AskAction> onVmRestarted(const VmId &vm, TimePoint now);

    /// @return whether the ask is pending at this VM.
    [[nodiscard]] bool isPendingAt(const VmId &vm, const RequestId &request) const;

    /// Handles every timeout that has passed.
    /// @param now the current time.
    /// @return the actions that result: an ask that is repeated, sent to the next owner, decided by this VM, or settled with
    ///     ResultCode::QueueDeadlinePassed.
    [[nodiscard]] std::vector<AskAction> expire(TimePoint now);

    /// @return the time of the next timeout, at which expire() has to be called; nothing if no ask is pending.
    [[nodiscard]] std::optional<TimePoint> nextWake() const;

    /// @return the number of pending asks.
    [[nodiscard]] std::size_t pending() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
