#include "daisystream/balancing/endpointcooldowns.h"

#include <algorithm>

namespace daisystream
{

EndpointCooldowns::EndpointCooldowns(internal::EndpointCooldownFaults faults)
    : faults_(faults)
{
}

void EndpointCooldowns::startCooldown(const EndpointId &endpoint, Duration wait, TimePoint now)
{
    if (!faults_.neverEnds) {
        std::erase_if(ends_, [now](const auto &entry) { return entry.second <= now; });
    }
    const auto until = now + (faults_.endsEarly ? wait / 2 : wait);
    auto &end = ends_[endpoint];
    end = faults_.shortens ? until : std::max(end, until);
}

bool EndpointCooldowns::isInCooldown(const EndpointId &endpoint, TimePoint now) const
{
    return end(endpoint, now).has_value();
}

std::optional<TimePoint> EndpointCooldowns::end(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = faults_.isShared && !ends_.empty() ? ends_.begin() : ends_.find(endpoint);
    if (found == ends_.end() || (found->second <= now && !faults_.neverEnds)) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<EndpointId> EndpointCooldowns::endpointsInCooldown(TimePoint now) const
{
    std::vector<EndpointId> found;
    for (const auto &[endpoint, end] : ends_) {
        if (end > now) {
            found.push_back(endpoint);
        }
    }
    return found;
}

} // namespace daisystream
