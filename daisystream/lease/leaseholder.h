#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/table.h"

#include <cstdint>
#include <optional>
#include <string>

/// @file
/// A lease in a row of the platform's table, for work that only one VM may do on behalf of all. The times of different VMs are
/// never compared. The holder counts the validity from just before it sent the request that acquired or renewed the lease; a
/// contender counts the same duration, plus an allowance for clock drift, from when it first read this version of the row.
///
/// Each new holder has a higher fencing number, by which an engine can reject orders of an earlier holder. Some engines ignore
/// it; for these see fencingNumberForUnfencedEngines().
///
/// Example:
/// @code
///   LeaseHolder lease("placement", self, incarnation);
///   if (auto action = lease.poll(now)) {
///       lease.onReply(platform.perform(*action), clock.now());
///   }
///   if (const auto fencing = lease.fencingNumber(clock.now())) { // Call it again before each order.
///       engine.order(wanted, *fencing);
///   }
/// @endcode

namespace daisystream
{

namespace internal
{

/// Faults that the mutation checks in schedules/ switch on to show that each of them is detected. All false in production.
struct LeaseFaults
{
    bool countFromReply = false;    ///< The validity is counted from the reply instead of the request.
    bool neverExpires = false;      ///< The holder ignores the end of the validity.
    bool sameFencingNumber = false; ///< A new holder uses the fencing number of the earlier one.
    bool takeOverAtOnce = false;    ///< A contender does not wait until the lease has expired.
    bool neverTakeOver = false;     ///< A contender never takes over an expired lease.
    bool neverSettled = false;      ///< Engines that ignore fencing numbers never get orders.
    bool noSettling = false;        ///< A new holder sends orders to engines that ignore fencing numbers at once.
    bool unconditional = false;     ///< A conditional write that failed counts as successful.
};

} // namespace internal

/// Settings of LeaseHolder. `duration` must be the same on all VMs, because a contender waits for its own value.
struct LeaseOptions
{
    Duration duration = std::chrono::seconds(6);      ///< Validity of the lease from its acquisition or last renewal.
    Duration renewInterval = std::chrono::seconds(2); ///< Interval at which the holder renews the lease and a contender reads the row.
    /// An order to an engine takes effect within this time after it is sent or not at all, because its connection is closed
    /// after this time.
    Duration orderLifetime = std::chrono::seconds(3);
    /// Largest difference between the rates of two clocks, as a share. A contender waits longer than `duration` by this share.
    double clockDrift = 0.01;
    internal::LeaseFaults faults;
};

/// State machine of one VM for one lease, both as holder and as contender. At most one request to the table is pending at a time.
/// Reads no clock and sends nothing itself. Thread-compatible.
class LeaseHolder
{
public:
    /// @param name the name of the lease; its row has the key `leases/<name>`.
    /// @param self this VM.
    /// @param incarnation the incarnation of this process. A lease of an earlier incarnation is not continued.
    /// @param options settings.
    LeaseHolder(std::string name, VmId self, std::uint64_t incarnation, LeaseOptions options = {});

    /// Starts the next request to the table, if one is due.
    /// @param now the time just before the returned request is sent.
    /// @return the request, which the caller has to send at once; nothing if none is due or one is still pending.
    [[nodiscard]] std::optional<TableAction> poll(TimePoint now);
    /// Handles the reply to the pending request.
    /// @param reply the reply, or TableNoReply if none came within the caller's timeout.
    /// @param now the time at which the reply arrived.
    void onReply(const TableReply &reply, TimePoint now);
    /// @return the time at which poll() has to be called; nothing while a request is pending, and before the first
    ///     request, which is due at once.
    [[nodiscard]] std::optional<TimePoint> nextWake() const;

    /// @param now the current time.
    /// @return the fencing number if this VM holds the lease at `now`, otherwise nothing. The result holds only at this instant: call
    ///     this again just before each order, because the process may have been paused in between.
    [[nodiscard]] std::optional<std::uint64_t> fencingNumber(TimePoint now) const;
    /// For orders to engines that ignore fencing numbers.
    /// @param now the current time.
    /// @return as fencingNumber(), but nothing until the last order of an earlier holder has taken effect or can no longer do so.
    [[nodiscard]] std::optional<std::uint64_t> fencingNumberForUnfencedEngines(TimePoint now) const;
    /// @return the end of the validity of the last acquisition or renewal by this VM. It is not reset if the lease is lost.
    [[nodiscard]] TimePoint validUntil() const
    {
        return validUntil_;
    }
    /// @return the VM that held the lease when the row was last read or written; empty if unknown.
    [[nodiscard]] const VmId &lastKnownHolder() const
    {
        return rowHolder_;
    }

private:
    /// @return a write of the row with the given fencing number.
    TableAction write(std::uint64_t fencing, TimePoint now);
    /// Handles the success of the last write, after which this VM holds the lease.
    void onWritten(std::uint64_t number, TimePoint now);
    /// Handles a row that was read.
    void onRow(const RowFound &row, TimePoint now);

    std::string key_;
    VmId self_;
    std::uint64_t incarnation_;
    LeaseOptions options_;

    // Content of the row when it was last read or written.
    std::uint64_t rowNumber_ = 0;
    std::uint64_t rowFencing_ = 0;
    VmId rowHolder_;
    std::uint64_t rowHolderIncarnation_ = 0;
    TimePoint rowFirstSeenAt_; ///< When this content of the row was first read or written.
    bool rowKnown_ = false;
    bool rowAbsent_ = false; ///< The table has no such row.

    // The pending or last request.
    std::uint64_t writeCount_ = 0; ///< Number of writes so far.
    std::string writeId_;          ///< Unique id of the last write; empty once it is known to have succeeded.
    std::uint64_t writeFencing_ = 0;
    TimePoint sentAt_;
    bool requestPending_ = false;
    bool writeOutcomeUnknown_ = false; ///< It is unknown whether the last write took effect, so the row has to be read first.

    // The lease as held by this VM.
    std::uint64_t heldFencing_ = 0; ///< Fencing number; zero if the lease is not held.
    TimePoint heldSince_;           ///< When the request that acquired the lease was sent.
    TimePoint validUntil_;
    std::optional<TimePoint> nextPoll_; ///< Time of the next request; nothing before the first one.
};

} // namespace daisystream
