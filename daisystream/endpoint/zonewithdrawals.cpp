#include "daisystream/endpoint/zonewithdrawals.h"

#include <algorithm>

namespace daisystream
{

ZoneWithdrawals::ZoneWithdrawals(internal::ZoneWithdrawalFaults faults)
    : faults_(faults)
{
}

bool ZoneWithdrawals::replace(const std::set<ZoneId> &zones, std::uint64_t revision)
{
    if (revision < revision_ && !faults_.ignoresRevisions) {
        return false;
    }
    revision_ = std::max(revision_, revision);
    const bool hasChanged = zones != zones_;
    zones_ = zones;
    return hasChanged;
}

bool ZoneWithdrawals::apply(const ZoneId &zone, bool isWithdrawn, std::uint64_t revision)
{
    return apply({ZoneChange{.zone = zone, .isWithdrawn = isWithdrawn, .revision = revision}});
}

bool ZoneWithdrawals::apply(const std::vector<ZoneChange> &changes)
{
    const auto known = revision_;
    bool isNewer = false;
    for (const auto &change : changes) {
        if (change.revision <= known && !faults_.ignoresRevisions) {
            continue;
        }
        isNewer = true;
        revision_ = std::max(revision_, change.revision);
        if (change.isWithdrawn) {
            zones_.insert(change.zone);
        } else {
            zones_.erase(change.zone);
        }
    }
    return isNewer;
}

bool ZoneWithdrawals::contains(const ZoneId &zone) const
{
    return zones_.contains(zone);
}

const std::set<ZoneId> &ZoneWithdrawals::zones() const
{
    return zones_;
}

std::uint64_t ZoneWithdrawals::revision() const
{
    return revision_;
}

} // namespace daisystream
