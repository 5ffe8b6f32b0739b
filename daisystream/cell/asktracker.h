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
/// The pending asks of an entry VM: which owner was asked, when to ask the next one, and when to decide alone.
///
/// An owner answers an ask with Assign or Refuse, or with Queued if the request has to wait; Queued shows that the
/// owner lives, so a busy owner is not mistaken for a dead one. After Queued the tracker waits until the request's
/// first-token deadline or until the owner is reported dead.
///
/// Example:
/// @code
///   AskTracker asks(AskTrackerOptions{});
///   carryOut(asks.ask(request, cell, cells.owners(cell), now)); // SendAsk to the first owner
///   carryOut(asks.onAssign(from, assign, now));                 // Settle
///   carryOut(asks.expire(now));                                 // at nextWake
/// @endcode

namespace daisystream
{

/// Send the ask to the owner.
struct SendAsk
{
    VmId owner;
    CellId cell;
    WorkRequest request;

    friend auto operator<=>(const SendAsk &, const SendAsk &) = default;
};

/// Tell the owner that the ask is no longer valid.
struct SendWithdraw
{
    VmId owner;
    CellId cell;
    RequestId request;

    friend auto operator<=>(const SendWithdraw &, const SendWithdraw &) = default;
};

/// Tell the owner that its late Assign was not used: Done with no tokens.
struct SendUnused
{
    VmId owner;
    CellId cell; ///< Empty if the request has been forgotten.
    RequestId request;

    friend auto operator<=>(const SendUnused &, const SendUnused &) = default;
};

/// No owner replied: choose an endpoint on this VM by the lagged reports.
struct DecideAlone
{
    CellId cell;
    WorkRequest request;

    friend auto operator<=>(const DecideAlone &, const DecideAlone &) = default;
};

/// The ask is answered.
struct Settle
{
    RequestId request;
    VmId owner; ///< Who gets the progress of the request; empty if no owner answered.
    Result<Assign> answer;

    friend auto operator<=>(const Settle &, const Settle &) = default;
};

using AskAction = std::variant<SendAsk, SendWithdraw, SendUnused, DecideAlone, Settle>;

struct AskTrackerOptions
{
    std::chrono::milliseconds urgentTimeout{100};   ///< Without a reply from an owner, for urgent work.
    std::chrono::milliseconds ordinaryTimeout{250}; ///< The same for ordinary work.
    std::chrono::milliseconds askAgain{1000};       ///< Between two asks for a request that waits, if it may wait past its promise.
    std::uint32_t ownersAsked = 2;                  ///< Owners asked before the VM decides alone.
};

/// Pending asks of one entry VM. Deterministic; thread-compatible.
class AskTracker
{
public:
    explicit AskTracker(AskTrackerOptions options);
    ~AskTracker();
    AskTracker(AskTracker &&) noexcept;
    AskTracker &operator=(AskTracker &&) noexcept;

    /// Starts an ask. An id that is pending already is ignored.
    /// @param owners the live VMs in the order in which they are asked.
    [[nodiscard]] std::vector<AskAction> ask(const WorkRequest &request, const CellId &cell, const std::vector<VmId> &owners, TimePoint now);

    /// The owner queued the request.
    void onQueued(const VmId &from, const RequestId &request, TimePoint now);

    /// @return Settle, or SendUnused if the ask was withdrawn from this owner before.
    [[nodiscard]] std::vector<AskAction> onAssign(const VmId &from, const Assign &assign, TimePoint now);

    /// @return Settle, or nothing if the ask was withdrawn from this owner before.
    [[nodiscard]] std::vector<AskAction> onRefuse(const VmId &from, const Refuse &refuse, TimePoint now);

    /// The owner took an assignment back before the first token; the request waits at that owner again.
    void onCancelled(const WorkRequest &request, const CellId &cell, const VmId &owner, const std::vector<VmId> &owners, TimePoint now);

    /// The caller left.
    [[nodiscard]] std::vector<AskAction> withdraw(const RequestId &request, TimePoint now);

    /// The VM is suspected or dead: its asks go to the next owner at once.
    [[nodiscard]] std::vector<AskAction> onVmLost(const VmId &vm, TimePoint now);

    /// Handles every timeout that has passed.
    [[nodiscard]] std::vector<AskAction> expire(TimePoint now);

    /// @return the next timeout; nothing if no ask is pending.
    [[nodiscard]] std::optional<TimePoint> nextWake() const;

    /// @return the number of asks without an answer.
    [[nodiscard]] std::size_t pending() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
