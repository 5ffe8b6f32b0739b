#include "daisystream/endpoint/zonewithdrawals.h"

#include <algorithm>

namespace daisystream
{

ZoneWithdrawals::ZoneWithdrawals(internal::ZoneWithdrawalFaults faults)
    : faults_(faults)
{
}

bool ZoneWithdrawals::replace(const std::set<ZoneId> &zones, const StoreRevision &revision)
{
    if (revision < revision_ && !faults_.ignoresRevisions) {
        return false;
    }
    const auto before = this->zones();
    if (revision.epoch > revision_.epoch) {
        kept_ = before;
    }
    std::erase_if(kept_, [&](const ZoneId &zone) { return zones.contains(zone); });
    revision_ = std::max(revision_, revision);
    registered_ = zones;
    return this->zones() != before;
}

bool ZoneWithdrawals::apply(const ZoneId &zone, bool isWithdrawn, const StoreRevision &revision)
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
        kept_.erase(change.zone);
        if (change.isWithdrawn) {
            registered_.insert(change.zone);
        } else {
            registered_.erase(change.zone);
        }
    }
    return isNewer;
}

bool ZoneWithdrawals::releaseKept()
{
    const bool hasChanged = hasKept();
    kept_.clear();
    return hasChanged;
}

bool ZoneWithdrawals::contains(const ZoneId &zone) const
{
    return registered_.contains(zone) || kept_.contains(zone);
}

std::set<ZoneId> ZoneWithdrawals::zones() const
{
    auto zones = registered_;
    zones.insert(kept_.begin(), kept_.end());
    return zones;
}

const std::set<ZoneId> &ZoneWithdrawals::registered() const
{
    return registered_;
}

bool ZoneWithdrawals::hasKept() const
{
    return !kept_.empty();
}

const StoreRevision &ZoneWithdrawals::revision() const
{
    return revision_;
}

} // namespace daisystream
