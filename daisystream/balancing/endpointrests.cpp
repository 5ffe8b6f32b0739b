#include "daisystream/balancing/endpointrests.h"

#include <algorithm>

namespace daisystream
{

EndpointRests::EndpointRests(internal::EndpointRestsFaults faults)
    : faults_(faults)
{
}

void EndpointRests::onTurnedAway(const EndpointId &endpoint, Duration wait, TimePoint now)
{
    if (!faults_.neverEnds) {
        std::erase_if(ends_, [now](const auto &entry) { return entry.second <= now; });
    }
    const auto until = now + (faults_.endsEarly ? wait / 2 : wait);
    auto &end = ends_[endpoint];
    end = faults_.shortens ? until : std::max(end, until);
}

bool EndpointRests::isResting(const EndpointId &endpoint, TimePoint now) const
{
    return end(endpoint, now).has_value();
}

std::optional<TimePoint> EndpointRests::end(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = faults_.isShared && !ends_.empty() ? ends_.begin() : ends_.find(endpoint);
    if (found == ends_.end() || (found->second <= now && !faults_.neverEnds)) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<EndpointId> EndpointRests::resting(TimePoint now) const
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
