#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"

#include <map>
#include <optional>
#include <vector>

/// @file
/// Decides whether this VM may admit new work: a VM that cannot know that its lists are still in force must not.
///
/// Example:
/// @code
///   ListFreshness freshness;
///   freshness.onPlatformContact(sentAt);
///   if (auto error = freshness.admission(now)) {
///       refuse(*error); // As not run.
///   }
/// @endcode

namespace daisystream
{

namespace internal
{

/// Deliberate breaks for the schedules, which must notice each of them. None in the product.
struct FreshnessFaults
{
    bool neverIsolated = false;
    bool countNewerPeers = false; ///< Counts a peer whose versions are above the own ones.
    bool ignoreStop = false;
    bool forgetContact = false;

    friend auto operator<=>(const FreshnessFaults &, const FreshnessFaults &) = default;
};

} // namespace internal

struct FreshnessOptions
{
    /// A VM without contact for this long refuses work. The bound that is promised is 5 s; half a second of it is left for
    /// replies of the platform that are not the newest.
    Duration contactLimit = std::chrono::milliseconds(4500);
    /// The same for peers. It is shorter, because a peer's lists may already be as old as the time between its polls. A
    /// fleet that forwards heartbeats needs a longer one; its promised bound is 15 s.
    Duration peerLimit = std::chrono::seconds(2);
    /// A VM without contact for this long gives no endpoint new work, since it may be draining: the bound that is promised
    /// for a drain is 3 s.
    Duration assignLimit = std::chrono::milliseconds(2500);
    /// Whether half of the peers can stand in for the platform. They cannot where a change must be in force even at VMs
    /// that are cut off from the platform together.
    bool peersVouch = true;
    internal::FreshnessFaults faults{};

    friend auto operator<=>(const FreshnessOptions &, const FreshnessOptions &) = default;
};

/// Contact of this VM with the platform and its peers. Thread-compatible.
class ListFreshness
{
public:
    explicit ListFreshness(FreshnessOptions options = {});

    /// The graceful shutdown has begun.
    void stop();
    /// @param complete whether both lists are known.
    void setListsKnown(bool complete);
    /// A poll of both lists got a reply.
    /// @param sentAt when the poll was sent: the reply can be that old.
    void onPlatformContact(TimePoint sentAt);
    /// A peer was heard.
    /// @param asOf when this VM sent the heartbeat that the peer's confirms, so that bytes which waited while this VM was
    ///     paused do not count as fresh.
    /// @param newer whether the peer announced a version of a list or of the endpoint states above the one held here. Such
    ///     a contact proves that this VM is behind and does not count; the next one after the fetch does.
    void onPeerContact(const VmId &peer, TimePoint asOf, bool newer);
    /// @param peers VmTable::quorumPeers().
    void setPeers(const std::vector<VmId> &peers);

    /// @return nothing if new work is admitted; else `Stopping`, `NoLists` or `Isolated`.
    [[nodiscard]] std::optional<Error> admission(TimePoint now) const;
    /// @return nothing if an admitted request may be given to an endpoint; else `Isolated`.
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
