#include "daisystream/lists/freshness.h"

#include <algorithm>
#include <utility>

namespace daisystream
{
namespace
{

constexpr std::chrono::milliseconds kRetryAfter{1000}; // One or two contacts should have taken place by then.

} // namespace

ListFreshness::ListFreshness(FreshnessOptions options)
    : options_(options)
{
}

void ListFreshness::stop()
{
    stopping_ = true;
}

void ListFreshness::setListsKnown(bool complete)
{
    listsKnown_ = complete;
}

void ListFreshness::onPlatformContact(TimePoint sentAt)
{
    if (options_.faults.forgetContact) {
        return;
    }
    platformContact_ = std::max(platformContact_.value_or(sentAt), sentAt);
}

void ListFreshness::onPeerContact(const VmId &peer, TimePoint asOf, bool newer)
{
    if (newer && !options_.faults.countNewerPeers) {
        return;
    }
    // A peer that is not part of the quorum does not count until setPeers() adds it.
    if (const auto found = peers_.find(peer); found != peers_.end() && !options_.faults.forgetContact) {
        found->second = std::max(found->second.value_or(asOf), asOf);
    }
}

void ListFreshness::setPeers(const std::vector<VmId> &peers)
{
    std::map<VmId, std::optional<TimePoint>> kept;
    for (const VmId &peer : peers) {
        const auto found = peers_.find(peer);
        kept[peer] = found == peers_.end() ? std::nullopt : found->second;
    }
    peers_ = std::move(kept);
}

bool ListFreshness::inContact(TimePoint now, Duration platformLimit) const
{
    if (options_.faults.neverIsolated || (platformContact_ && now - *platformContact_ < platformLimit)) {
        return true;
    }
    if (!options_.acceptPeerContact) {
        return false;
    }
    const auto reached = std::count_if(peers_.begin(), peers_.end(), [&](const auto &peer) { return peer.second && now - *peer.second < options_.peerLimit; });
    return 2 * static_cast<std::size_t>(reached) >= peers_.size();
}

std::optional<Error> ListFreshness::admission(TimePoint now) const
{
    if (stopping_ && !options_.faults.ignoreStop) {
        return Error{ResultCode::Stopping, "this VM is shutting down", std::chrono::milliseconds(0)};
    }
    if (!listsKnown_) {
        return Error{ResultCode::NoLists, "this VM has not received the lists of plans and limits yet", kRetryAfter};
    }
    if (!inContact(now, options_.contactLimit)) {
        return Error{ResultCode::Isolated, "this VM can reach neither the platform nor half of the other VMs", kRetryAfter};
    }
    return std::nullopt;
}

std::optional<Error> ListFreshness::assignment(TimePoint now) const
{
    if (!inContact(now, options_.assignLimit)) {
        return Error{ResultCode::Isolated,
                     "this VM can reach neither the platform nor half of the other VMs, so it does not know which endpoints are draining",
                     kRetryAfter};
    }
    return std::nullopt;
}

} // namespace daisystream
