#include "daisystream/membership/vmtable.h"

#include <algorithm>
#include <set>
#include <utility>

namespace daisystream
{

const char *toString(VmState state)
{
    switch (state) {
    case VmState::Live:
        return "live";
    case VmState::Suspected:
        return "suspected";
    case VmState::Dead:
        return "dead";
    case VmState::Leaving:
        return "leaving";
    }
    return "dead";
}

VmTable::VmTable(VmId self, VmTableOptions options)
    : self_(std::move(self))
    , options_(options)
{
}

void VmTable::onPlatformList(const std::vector<PlatformVm> &vms, TimePoint now)
{
    std::set<VmId> listed;
    for (const PlatformVm &vm : vms) {
        if (vm.vm == self_) {
            selfLeaving_ = selfLeaving_ || vm.leaving;
            continue;
        }
        listed.insert(vm.vm);
        const auto [entry, isNew] = others_.try_emplace(vm.vm);
        if (isNew) {
            entry->second.lastHeard = now;
        }
        entry->second.listedLeaving = vm.leaving;
    }
    std::erase_if(others_, [&](const auto &other) { return !listed.contains(other.first) && now - other.second.lastHeard >= options_.deadAfter; });
}

void VmTable::onPeerList(const std::vector<VmId> &vms, TimePoint now)
{
    for (const VmId &vm : vms) {
        if (vm != self_ && !options_.faults.ignorePeerLists) {
            others_.try_emplace(vm, Entry{.lastHeard = now - options_.deadAfter});
        }
    }
}

bool VmTable::onHeartbeat(const VmHeartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.vm == self_) {
        return false;
    }
    Entry &entry = others_[heartbeat.vm];
    if (std::pair(heartbeat.incarnation, heartbeat.sequence) <= std::pair(entry.incarnation, entry.sequence)) {
        return false;
    }
    entry.incarnation = heartbeat.incarnation;
    entry.sequence = heartbeat.sequence;
    entry.leaving = heartbeat.leaving;
    entry.lastHeard = now;
    return true;
}

void VmTable::setSilenceTimeouts(Duration suspectedAfter, Duration deadAfter)
{
    options_.suspectedAfter = suspectedAfter;
    options_.deadAfter = deadAfter;
}

void VmTable::setSelfLeaving()
{
    selfLeaving_ = true;
}

VmState VmTable::stateOf(const Entry &entry, TimePoint now) const
{
    const Duration silence = now - entry.lastHeard;
    if (silence >= options_.deadAfter) {
        return VmState::Dead;
    }
    if (entry.leaving || entry.listedLeaving) {
        return VmState::Leaving;
    }
    return silence >= options_.suspectedAfter ? VmState::Suspected : VmState::Live;
}

VmState VmTable::state(const VmId &vm, TimePoint now) const
{
    if (vm == self_) {
        return selfLeaving_ ? VmState::Leaving : VmState::Live;
    }
    const auto found = others_.find(vm);
    return found == others_.end() ? VmState::Dead : stateOf(found->second, now);
}

std::uint64_t VmTable::incarnation(const VmId &vm) const
{
    const auto found = others_.find(vm);
    return found == others_.end() ? 0 : found->second.incarnation;
}

bool VmTable::hasIncarnationEnded(const VmId &vm, std::uint64_t incarnation, TimePoint now) const
{
    return this->incarnation(vm) > incarnation || state(vm, now) == VmState::Dead;
}

std::vector<VmId> VmTable::live(TimePoint now) const
{
    std::vector<VmId> vms;
    if (!selfLeaving_) {
        vms.push_back(self_);
    }
    for (const auto &[vm, entry] : others_) {
        if (stateOf(entry, now) == VmState::Live) {
            vms.push_back(vm);
        }
    }
    std::sort(vms.begin(), vms.end());
    return vms;
}

std::vector<VmId> VmTable::quorumPeers(TimePoint now) const
{
    std::vector<VmId> peers;
    for (const auto &[vm, entry] : others_) {
        const bool isLeftOut = options_.faults.forgetSilent && stateOf(entry, now) != VmState::Live;
        if (!entry.leaving && !entry.listedLeaving && !isLeftOut) {
            peers.push_back(vm);
        }
    }
    return peers;
}

std::optional<TimePoint> VmTable::nextChange(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const auto &[vm, entry] : others_) {
        for (const Duration timeout : {options_.suspectedAfter, options_.deadAfter}) {
            const TimePoint change = entry.lastHeard + timeout;
            if (change > now && (!next || change < *next)) {
                next = change;
            }
        }
    }
    return next;
}

} // namespace daisystream
