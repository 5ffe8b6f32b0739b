#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/table.h"

#include <cstdint>
#include <optional>
#include <string>

/// @file
/// A lease over the platform's table, for work that one VM does on behalf of all. No two clocks are compared: the holder
/// counts its validity from before it sent the request that acquired or renewed the lease, and a contender counts the same
/// duration from when it first saw the row.
///
/// Example:
/// @code
///   LeaseHolder lease("placement", self, incarnation);
///   if (auto action = lease.poll(now)) {
///       lease.onReply(platform.perform(*action), clock.now());
///   }
///   if (const auto fencing = lease.fencingNumber(clock.now())) { // Ask again before each order.
///       engine.order(wanted, *fencing);
///   }
/// @endcode

namespace daisystream
{

namespace internal
{

/// Deliberate breaks for the schedules, which must notice each of them. None in the product.
struct LeaseFaults
{
    bool countFromReply = false;    ///< Counts the validity from the reply.
    bool neverExpires = false;      ///< Does not notice that the lease expired.
    bool sameFencingNumber = false; ///< A new holder takes the old holder's number.
    bool takeOverAtOnce = false;    ///< A contender does not wait for the duration.
    bool neverTakeOver = false;     ///< A contender waits for ever.
    bool neverSettled = false;      ///< Engines that ignore fencing are never given orders.
    bool noSettling = false;        ///< A new holder orders engines that ignore fencing at once.
    bool unconditional = false;     ///< Believes a take-over whose condition did not hold.
};

} // namespace internal

struct LeaseOptions
{
    Duration duration = std::chrono::seconds(6);
    Duration renewEvery = std::chrono::seconds(2);
    /// An order to an engine takes effect within this time of its sending or not at all, because its connection is given
    /// up by then.
    Duration orderLifetime = std::chrono::seconds(3);
    /// By how much of the duration two clocks may differ while it passes.
    double clockDrift = 0.01;
    internal::LeaseFaults faults;
};

/// One VM's part in one lease: holder or contender. At most one request is open at a time. Thread-compatible.
class LeaseHolder
{
public:
    LeaseHolder(std::string name, VmId self, std::uint64_t incarnation, LeaseOptions options = {});

    /// @param now the time just before the returned request is sent.
    /// @return the request to send now, if one is due.
    [[nodiscard]] std::optional<TableAction> poll(TimePoint now);
    /// Takes the reply to the open request.
    void onReply(const TableReply &reply, TimePoint now);
    /// @return when poll() has something to do, if no request is open.
    [[nodiscard]] std::optional<TimePoint> nextWake() const;

    /// @return the fencing number if the lease is held at `now`. It is valid at this instant only: ask again before each
    ///     order, because the process may have been paused in between.
    [[nodiscard]] std::optional<std::uint64_t> fencingNumber(TimePoint now) const;
    /// @return the fencing number if engines that ignore it may be given orders: the last order of an earlier holder has
    ///     taken effect or expired.
    [[nodiscard]] std::optional<std::uint64_t> fencingNumberForUnfenced(TimePoint now) const;
    /// @return the end of the lease as far as it is known to be held.
    [[nodiscard]] TimePoint validUntil() const
    {
        return validUntil_;
    }
    /// @return the VM that held the lease when the row was last read; empty if unknown.
    [[nodiscard]] const VmId &lastKnownHolder() const
    {
        return holder_;
    }

private:
    TableAction write(std::uint64_t fencing, TimePoint now);
    void onWritten(std::uint64_t number, TimePoint now);
    void onRow(const RowFound &row, TimePoint now);

    std::string key_;
    VmId self_;
    std::uint64_t incarnation_;
    LeaseOptions options_;

    // What is known of the row.
    std::uint64_t number_ = 0;
    std::uint64_t fencing_ = 0;
    VmId holder_;
    std::uint64_t holderIncarnation_ = 0;
    TimePoint firstSeen_;
    bool rowKnown_ = false;
    bool absent_ = false;

    // The open or last write.
    std::uint64_t writes_ = 0;
    std::string writeId_;
    std::uint64_t writeFencing_ = 0;
    TimePoint sentAt_;
    bool requestOpen_ = false;
    bool readBack_ = false; // The last write's fate is not known.

    // What is held.
    std::uint64_t heldFencing_ = 0;
    TimePoint heldSince_;
    TimePoint validUntil_;
    std::optional<TimePoint> nextPoll_;
};

} // namespace daisystream
