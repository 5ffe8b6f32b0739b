#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// @file
/// Which of our VMs are there: the platform's lagging list merged with heartbeats between the VMs.
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

enum class VmState : std::uint8_t {
    Live,
    Suspected, ///< Silent for 1.5 s.
    Dead,      ///< Silent for 5 s, or unknown.
    Leaving,   ///< Finishes what runs and takes nothing new.
};

/// @return "live", "suspected", "dead" or "leaving".
[[nodiscard]] const char *toString(VmState state);

/// One VM of the platform's list.
struct PlatformVm
{
    VmId vm;
    bool leaving = false;

    friend auto operator<=>(const PlatformVm &, const PlatformVm &) = default;
};

/// What a heartbeat says about its sender's life, directly or forwarded.
struct VmHeartbeat
{
    VmId vm;
    std::uint64_t incarnation = 0; ///< Rises with every start of the process.
    std::uint64_t sequence = 0;    ///< Rises with every heartbeat of an incarnation.
    bool leaving = false;

    friend auto operator<=>(const VmHeartbeat &, const VmHeartbeat &) = default;
};

namespace internal
{

/// Deliberate breaks for the schedules, which must notice each of them. None in the product.
struct VmTableFaults
{
    bool forgetSilent = false;    ///< Drops a silent VM from the quorum.
    bool ignorePeerLists = false; ///< Learns nothing from peers' lists.
};

} // namespace internal

struct VmTableOptions
{
    Duration suspectedAfter = std::chrono::milliseconds(1500);
    Duration deadAfter = std::chrono::seconds(5);
    internal::VmTableFaults faults;
};

/// The other VMs as this VM sees them. Thread-compatible.
class VmTable
{
public:
    explicit VmTable(VmId self, VmTableOptions options = {});

    /// Takes the platform's list. A VM on it that never sent a heartbeat counts as heard when it first appears. A VM that
    /// is missing is forgotten once it is dead by its heartbeats: the list lags, a heartbeat does not.
    void onPlatformList(const std::vector<PlatformVm> &vms, TimePoint now);

    /// @return whether it was news: duplicates, forwarded old ones and those of an earlier incarnation are ignored.
    bool onHeartbeat(const VmHeartbeat &heartbeat, TimePoint now);

    /// Takes a peer's list: its quorumPeers() and itself, which come with the lists that are fetched from it. A VM that
    /// starts while it is cut off with a few others would else take these for all. VMs that are new here count as dead
    /// until they are heard.
    void onPeerList(const std::vector<VmId> &vms, TimePoint now);

    /// Replaces the times of silence, when heartbeats are sent more or less often.
    void setTimes(Duration suspectedAfter, Duration deadAfter);

    /// This VM begins its graceful shutdown.
    void setSelfLeaving();

    [[nodiscard]] VmState state(const VmId &vm, TimePoint now) const;
    /// @return the last known incarnation, zero if none.
    [[nodiscard]] std::uint64_t incarnation(const VmId &vm) const;
    /// @return whether the incarnation is known to have ended: a later one was heard, or the VM is dead.
    [[nodiscard]] bool incarnationGone(const VmId &vm, std::uint64_t incarnation, TimePoint now) const;

    /// @return the VMs in state Live with this VM unless it is leaving, in order of their ids: candidates for ownership.
    [[nodiscard]] std::vector<VmId> live(TimePoint now) const;
    /// @return the other VMs of which at least half must be reached while the platform is not. Silence alone removes none,
    ///     or a VM that was cut off would soon consider itself the only one.
    [[nodiscard]] std::vector<VmId> quorumPeers(TimePoint now) const;
    /// @return the time at which the state of some VM changes without a further event, if any.
    [[nodiscard]] std::optional<TimePoint> nextChange(TimePoint now) const;

private:
    struct Entry
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool leaving = false;
        bool listedLeaving = false;
        TimePoint lastHeard;
    };

    [[nodiscard]] VmState stateOf(const Entry &entry, TimePoint now) const;

    VmId self_;
    VmTableOptions options_;
    bool selfLeaving_ = false;
    std::map<VmId, Entry> others_;
};

} // namespace daisystream
