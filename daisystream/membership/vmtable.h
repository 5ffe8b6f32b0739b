#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// @file
/// The VMs of this service and their states. Merges the platform's list, which lags behind reality, with the heartbeats that the
/// VMs exchange. For a fleet in which every VM exchanges heartbeats with every other one; for larger ones see FleetRing.
///
/// Example:
/// @code
///   VmTable table(self);
///   table.onPlatformList(list, now);
///   table.onHeartbeat({.vm = peer, .incarnation = 3, .sequence = 17}, now);
///   const auto owner = rendezvousOwner("cell/assistant-0", table.live(now));
/// @endcode

namespace daisystream
{

/// State of a VM as another VM knows it. The times are the defaults of VmTableOptions.
enum class VmState : std::uint8_t {
    Live,      ///< Its heartbeats arrive; it may own names.
    Suspected, ///< No heartbeat for 1.5 s.
    Dead,      ///< No heartbeat for 5 s, or not known.
    Leaving,   ///< Shuts down: it finishes running work and takes no new work.
};

/// @return "live", "suspected", "dead" or "leaving".
[[nodiscard]] const char *toString(VmState state);

/// One VM of the platform's list.
struct PlatformVm
{
    VmId vm;
    bool leaving = false; ///< The platform is about to remove the VM.

    friend auto operator<=>(const PlatformVm &, const PlatformVm &) = default;
};

/// The state of a VM as one of its heartbeats carries it. It may have been forwarded by another VM.
struct VmHeartbeat
{
    VmId vm;
    std::uint64_t incarnation = 0; ///< Increases with every start of the process.
    std::uint64_t sequence = 0;    ///< Increases with every heartbeat of an incarnation.
    bool leaving = false;          ///< The VM is shutting down.

    friend auto operator<=>(const VmHeartbeat &, const VmHeartbeat &) = default;
};

namespace internal
{

/// Faults that the mutation checks in schedules/ switch on to show that each of them is detected. All false in production.
struct VmTableFaults
{
    bool forgetSilent = false;    ///< VMs that are not live are left out of quorumPeers().
    bool ignorePeerLists = false; ///< onPeerList() has no effect.
};

} // namespace internal

/// Settings of VmTable.
struct VmTableOptions
{
    Duration suspectedAfter = std::chrono::milliseconds(1500); ///< Time without a heartbeat until a VM is Suspected.
    Duration deadAfter = std::chrono::seconds(5);              ///< Time without a heartbeat until a VM is Dead.
    internal::VmTableFaults faults;
};

/// The states of all VMs as this VM knows them. Reads no clock and sends nothing itself. Thread-compatible.
class VmTable
{
public:
    /// @param self this VM.
    /// @param options settings.
    explicit VmTable(VmId self, VmTableOptions options = {});

    /// Handles a new list of the platform. For a VM that is new, the time of silence starts at this call. A VM that is missing
    /// from the list is removed only if it is also Dead: the list lags, so it may lack a VM whose heartbeats still arrive.
    /// @param vms the list. If it says that this VM is leaving, this VM counts as leaving from now on.
    /// @param now the current time.
    void onPlatformList(const std::vector<PlatformVm> &vms, TimePoint now);

    /// Handles a heartbeat of another VM. Ignores a heartbeat of this VM, a duplicate, one older than the latest known one, and
    /// one of an earlier incarnation.
    /// @param heartbeat the state that it carries.
    /// @param now the current time.
    /// @return whether the heartbeat was used.
    bool onHeartbeat(const VmHeartbeat &heartbeat, TimePoint now);

    /// Adds the VMs that a peer knows. Without them, a VM that starts while it and a few others cannot reach the rest of the fleet
    /// would consider these few to be all VMs. VMs that are new here count as dead until a heartbeat of them arrives.
    /// @param vms the peer itself and its quorumPeers(), which it sends together with the lists that are fetched from it.
    /// @param now the current time.
    void onPeerList(const std::vector<VmId> &vms, TimePoint now);

    /// Replaces the timeouts. Needed when the interval between heartbeats changes.
    /// @param suspectedAfter see VmTableOptions.
    /// @param deadAfter see VmTableOptions.
    void setSilenceTimeouts(Duration suspectedAfter, Duration deadAfter);

    /// Marks this VM as leaving, at the start of its graceful shutdown. Cannot be undone.
    void setSelfLeaving();

    /// @return the state of a VM at the given time. This VM is Live or Leaving; an unknown VM is Dead.
    [[nodiscard]] VmState state(const VmId &vm, TimePoint now) const;
    /// @return the latest known incarnation of another VM; zero if no heartbeat of it has arrived.
    [[nodiscard]] std::uint64_t incarnation(const VmId &vm) const;
    /// @return whether the incarnation is known to have ended: a heartbeat of a later one has arrived, or the VM is Dead.
    [[nodiscard]] bool hasIncarnationEnded(const VmId &vm, std::uint64_t incarnation, TimePoint now) const;

    /// @return the VMs in state Live, in the order of their ids. They include this VM unless it is leaving. Only they can be owners
    ///     in rendezvousOrder().
    [[nodiscard]] std::vector<VmId> live(TimePoint now) const;
    /// @return the other VMs of which this VM must reach at least half while it cannot reach the platform. A VM is not left out
    ///     because it is silent; otherwise, a VM that has lost its connection to all others would soon consider itself the only
    ///     one.
    [[nodiscard]] std::vector<VmId> quorumPeers(TimePoint now) const;
    /// @return the next time after `now` at which the state of a VM can change without a further event; nothing if there is none.
    [[nodiscard]] std::optional<TimePoint> nextChange(TimePoint now) const;

private:
    struct Entry
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool leaving = false;       ///< According to its latest heartbeat.
        bool listedLeaving = false; ///< According to the platform's list.
        TimePoint lastHeard;        ///< When the latest heartbeat arrived; without any, the start of the time of silence.
    };

    [[nodiscard]] VmState stateOf(const Entry &entry, TimePoint now) const;

    VmId self_;
    VmTableOptions options_;
    bool selfLeaving_ = false;
    std::map<VmId, Entry> others_;
};

} // namespace daisystream
