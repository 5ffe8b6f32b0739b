#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/membership/vmtable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

/// @file
/// Failure detector for a fleet that is too large for each VM to exchange heartbeats with every other one.
///
/// All VMs of the platform's list form a ring, in an order that each VM computes from their ids. A VM sends heartbeats to its
/// next few live successors in the ring, which are its watchers. A VM counts as live until two of its watchers report that it
/// is silent; it counts as live again as soon as one of its heartbeats is received, or it reports itself as live. Reports are
/// small and are sent to the whole fleet when a state changes. Each one names the heartbeat to which it refers, so that all VMs
/// reach the same verdicts whatever the order in which reports arrive. Each heartbeat carries a digest of the verdicts, which
/// shows whether the sender and the receiver have received the same reports. While nothing fails, nothing is reported.
///
/// Example:
/// @code
///   FleetRing ring(self, {});
///   ring.setVms(listed, now);
///   for (const VmId &watcher : ring.watchers()) { send(watcher, heartbeat); }
///   for (const VmReport &report : ring.advance(now)) { sendToAll(report); }
/// @endcode

namespace daisystream
{

/// A report of one VM on the state of another one, or on its own state.
struct VmReport
{
    enum class Kind : std::uint8_t {
        Silent,  ///< The reporter watches `vm` and has received no heartbeat after the one that the report names.
        Live,    ///< The reporter has received a heartbeat of `vm`, or is `vm` itself.
        Leaving, ///< The same as Live, but `vm` is shutting down: it finishes running work and takes no new work.
    };

    VmId vm;       ///< The VM whose state is reported.
    VmId reporter; ///< The VM that reports it.
    Kind kind = Kind::Live;
    std::uint64_t incarnation = 0; ///< Of the latest heartbeat of `vm` that the reporter knows.
    std::uint64_t sequence = 0;    ///< Of the same heartbeat.
    bool cutOff = false;           ///< Only with `Live` and `Leaving`: `vm` cannot reach the platform.

    friend auto operator<=>(const VmReport &, const VmReport &) = default;
};

namespace internal
{

/// Faults that the mutation checks in schedules/ switch on to show that each of them is detected. All false in production.
struct FleetRingFaults
{
    bool oneReportSuffices = false; ///< The report of a single watcher makes a VM dead.
    bool trustsAfterPause = false;  ///< VMs are reported as silent although only this VM was paused.
};

} // namespace internal

/// Settings of FleetRing.
struct FleetRingOptions
{
    std::size_t watchers = 4; ///< Number of watchers of each VM. Half of them can fail at the same time.
    std::size_t reports = 2;  ///< Number of watchers that must report a VM as silent before it counts as dead.
    /// Time without a heartbeat after which a watcher reports a VM as silent: four heartbeats at 500 ms each. The reports reach the
    /// fleet within another 500 ms.
    Duration silentAfter = std::chrono::milliseconds(2000);
    /// If two calls of advance() are further apart than this, this VM itself was paused. Heartbeats that it did not receive
    /// meanwhile do not show that their senders failed.
    Duration pausedAfter = std::chrono::milliseconds(1200);
    internal::FleetRingFaults faults{};
};

/// The states of all VMs of the fleet as this VM knows them. Reads no clock and sends nothing itself. Thread-compatible.
class FleetRing
{
public:
    /// @param self this VM.
    /// @param options settings, fixed for the lifetime of the object.
    explicit FleetRing(VmId self, FleetRingOptions options = {});
    ~FleetRing();
    FleetRing(FleetRing &&) noexcept;
    FleetRing &operator=(FleetRing &&) noexcept;

    /// Replaces the VMs of the ring. For a new VM, the time of silence starts at this call.
    /// @param listed the VMs of the platform's list; this VM need not be one of them.
    /// @param now the current time.
    void setVms(const std::vector<VmId> &listed, TimePoint now);

    /// @return the VMs to which this VM sends its heartbeats: its next live successors in the ring, the nearest first.
    [[nodiscard]] std::vector<VmId> watchers() const;

    /// Handles a heartbeat that was received from another VM.
    /// @param heartbeat the state that it carries.
    /// @param cutOff whether its sender cannot reach the platform.
    /// @param now the current time.
    /// @return the reports that have to be sent to the whole fleet.
    [[nodiscard]] std::vector<VmReport> onHeartbeat(const VmHeartbeat &heartbeat, bool cutOff, TimePoint now);

    /// Handles a report that was received from another VM.
    /// @param report the report.
    /// @param now the current time.
    /// @return whether it contained something new and has to be forwarded.
    bool onReport(const VmReport &report, TimePoint now);

    /// Reports the watched VMs that have become silent. Has to be called whenever this VM sends its heartbeats.
    /// @param now the current time.
    /// @return the reports that have to be sent to the whole fleet.
    [[nodiscard]] std::vector<VmReport> advance(TimePoint now);

    /// Updates the report of this VM on itself. Has to be called whenever this VM sends its heartbeats.
    /// @param incarnation the incarnation of this process; see VmHeartbeat.
    /// @param sequence the number of its latest heartbeat.
    /// @param leaving whether this VM is shutting down.
    /// @param cutOff whether this VM cannot reach the platform.
    /// @return the report, if it has to be sent to the whole fleet: the incarnation or one of the flags has changed since the last
    ///     call, or a flag is set at the first call.
    [[nodiscard]] std::optional<VmReport> reportSelf(std::uint64_t incarnation, std::uint64_t sequence, bool leaving, bool cutOff);

    /// @return the state of a VM: Live, Leaving or Dead, never Suspected. A VM that is not in the ring is Dead.
    [[nodiscard]] VmState state(const VmId &vm) const;

    /// @return the VMs in state Live, in the order of their ids. They include this VM unless it is leaving.
    [[nodiscard]] std::vector<VmId> live() const;

    /// @return the other VMs of the ring that are in state Dead, in the order of their ids.
    [[nodiscard]] std::vector<VmId> dead() const;

    /// @return whether the VM has last been reported as unable to reach the platform; false for this VM and for unknown ones.
    [[nodiscard]] bool isCutOff(const VmId &vm) const;

    /// Selects a dead VM that is sent a heartbeat in spite of its state. Without these heartbeats, two parts of a fleet that have
    /// been separated by a network failure would not notice that they can reach each other again.
    /// @return the dead VMs in turn, one at each call; nothing if none is dead.
    [[nodiscard]] std::optional<VmId> nextDeadVm();

    /// @return whether at least half of the VMs that this VM watches have sent it a heartbeat within `silentAfter`.
    [[nodiscard]] bool hearsHalfOfWatched(TimePoint now) const;

    /// @return a hash of the verdicts, for comparison with other VMs. It is the same on all VMs with the same verdicts.
    [[nodiscard]] std::uint64_t digest() const;

    /// @return the reports from which another VM reaches the same verdicts. They are few, because a VM without reports counts as
    ///     live. They include the report of this VM on itself, for a receiver that considers this VM dead because of reports that
    ///     the others have discarded.
    [[nodiscard]] std::vector<VmReport> reports() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
