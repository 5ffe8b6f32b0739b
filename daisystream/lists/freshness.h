#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"

#include <map>
#include <optional>
#include <vector>

/// @file
/// Decides whether this VM may admit new work. A VM that has lost contact with the platform and its peers must not, because
/// its lists of plans and limits may have been replaced since.
///
/// Example:
/// @code
///   ListFreshness freshness;
///   freshness.onPlatformContact(sentAt);
///   if (auto error = freshness.admission(now)) {
///       refuse(*error); // Reported to the caller as not run.
///   }
/// @endcode

namespace daisystream
{

namespace internal
{

/// Defects that the schedule tests inject to check that they detect each one. All are off in production.
struct FreshnessFaults
{
    bool neverIsolated = false;   ///< Always counts this VM as being in contact.
    bool countNewerPeers = false; ///< Counts contact with a peer that has newer versions than this VM.
    bool ignoreStop = false;      ///< Admits work during the shutdown.
    bool forgetContact = false;   ///< Ignores all contacts.

    friend auto operator<=>(const FreshnessFaults &, const FreshnessFaults &) = default;
};

} // namespace internal

/// How long contacts count.
struct FreshnessOptions
{
    /// A VM without platform contact for this long refuses new work. The guaranteed limit is 5 s; half a second of it is
    /// reserved for stale replies of the platform.
    Duration contactLimit = std::chrono::milliseconds(4500);
    /// A contact with a peer counts for this long. It is shorter than contactLimit, because a peer's lists may already be as
    /// old as its poll interval. A fleet in which VMs forward heartbeats needs a longer time; its guaranteed limit is 15 s.
    Duration peerLimit = std::chrono::seconds(2);
    /// A VM without platform contact for this long assigns no new work to endpoints, because they may have started to drain.
    /// The guaranteed time for a drain to take effect is 3 s.
    Duration assignLimit = std::chrono::milliseconds(2500);
    /// Whether contact with half of the peers counts like contact with the platform. Set to false where a change must take
    /// effect even at a group of VMs that reach each other but not the platform.
    bool acceptPeerContact = true;
    internal::FreshnessFaults faults{};

    friend auto operator<=>(const FreshnessOptions &, const FreshnessOptions &) = default;
};

/// Tracks this VM's contact with the platform and its peers. Thread-compatible.
class ListFreshness
{
public:
    explicit ListFreshness(FreshnessOptions options = {});

    /// Records that the graceful shutdown has begun; from now on no work is admitted.
    void stop();
    /// @param complete whether this VM has both the list of plans and the list of limits.
    void setListsKnown(bool complete);
    /// Records a successful poll of both lists.
    /// @param sentAt when the poll was sent, because the data in the reply can be that old.
    void onPlatformContact(TimePoint sentAt);
    /// Records a heartbeat of a peer.
    /// @param peer the peer; ignored if it is not among setPeers().
    /// @param asOf when this VM sent the heartbeat that the peer's heartbeat acknowledges. Its arrival time is not used, because
    ///     it may have waited in a buffer while this VM was paused.
    /// @param newer whether the peer announced a newer version of a list or of the endpoint states than this VM has. Such a
    ///     contact shows that this VM is out of date, so it does not count; the next one after fetching the version does.
    void onPeerContact(const VmId &peer, TimePoint asOf, bool newer);
    /// @param peers the peers that count, see VmTable::quorumPeers(). The contacts of those already known are kept.
    void setPeers(const std::vector<VmId> &peers);

    /// @param now the current time.
    /// @return nothing if new work may be admitted; else `Stopping`, `NoLists` or `Isolated`.
    [[nodiscard]] std::optional<Error> admission(TimePoint now) const;
    /// @param now the current time.
    /// @return nothing if an admitted request may be assigned to an endpoint; else `Isolated`.
    [[nodiscard]] std::optional<Error> assignment(TimePoint now) const;

private:
    [[nodiscard]] bool inContact(TimePoint now, Duration platformLimit) const;

    FreshnessOptions options_;
    bool stopping_ = false;
    bool listsKnown_ = false;
    std::optional<TimePoint> platformContact_;
    std::map<VmId, std::optional<TimePoint>> peers_;
};

} // namespace daisystream
