#pragma once

#include "daisystream/base/ids.h"

#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

/// @file
/// Selects the recipients when a change is distributed to every VM of a large fleet in two steps. The VM that knows the change
/// first sends it to the other VMs of its own zone and to a few relays in each other zone; each relay sends it on to the VMs of
/// its zone. A change therefore crosses between two zones only a few times, whatever the size of the zones, and still arrives in
/// time if one relay of each zone fails and packets are lost. The relays depend on the topic, so that the load of forwarding is
/// spread over the VMs.
///
/// Example:
/// @code
///   const Fanout fanout(self, zones);
///   for (const auto &candidates : fanout.relays("endpoints/17")) { sendToFirst(candidates, 3, change.asRelayed()); }
///   for (const VmId &vm : fanout.zonePeers()) { send(vm, change); }
/// @endcode

namespace daisystream
{

/// The distribution of changes as seen from one VM. Immutable.
class Fanout
{
public:
    /// @param self this VM.
    /// @param zones the live VMs with their zones, this one included. If it is missing, it has no zone and no members.
    Fanout(const VmId &self, const std::map<VmId, ZoneId> &zones);

    /// @param topic key of what changed, such as "endpoints/17". The same topic has the same relays on this VM.
    /// @return for each zone other than this VM's, all its VMs in the order of preference as relays. If one cannot be reached,
    ///     the sender takes the next.
    [[nodiscard]] std::vector<std::vector<VmId>> relays(std::string_view topic) const;

    /// @return the other VMs of this VM's zone.
    [[nodiscard]] const std::vector<VmId> &zonePeers() const &
    {
        return zonePeers_;
    }

private:
    std::map<ZoneId, std::vector<VmId>> otherZones_; ///< The VMs of the other zones, by zone.
    std::vector<VmId> zonePeers_;
};

} // namespace daisystream
