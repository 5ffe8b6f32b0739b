#include "daisystream/membership/fanout.h"

#include <algorithm>
#include <functional>

namespace daisystream
{

namespace
{

// Successive candidates of a zone lie `size of the zone / kStridesPerZone` apart in the order of the VM ids.
constexpr std::size_t kStridesPerZone = 3;

} // namespace

Fanout::Fanout(const VmId &self, const std::map<VmId, ZoneId> &zones)
{
    const auto selfZone = zones.find(self);
    for (const auto &[vm, zone] : zones) {
        if (vm == self) {
            continue;
        }
        (selfZone != zones.end() && zone == selfZone->second ? zonePeers_ : otherZones_[zone]).push_back(vm);
    }
}

std::vector<std::vector<VmId>> Fanout::relays(std::string_view topic) const
{
    std::vector<std::vector<VmId>> candidatesByZone;
    // std::hash is sufficient: only the sender chooses the relays, so VMs need not agree on the value.
    const std::size_t start = std::hash<std::string_view>()(topic);
    for (const auto &[zone, vms] : otherZones_) {
        // VMs with similar names often share a rack, so successive candidates are taken far apart.
        const std::size_t size = vms.size();
        const std::size_t step = std::max<std::size_t>(1, size / kStridesPerZone);
        std::vector<bool> taken(size);
        std::vector<VmId> candidates;
        for (std::size_t index = start % size; candidates.size() < size; index = (index + step) % size) {
            while (taken[index]) {
                index = (index + 1) % size;
            }
            taken[index] = true;
            candidates.push_back(vms[index]);
        }
        candidatesByZone.push_back(std::move(candidates));
    }
    return candidatesByZone;
}

} // namespace daisystream
