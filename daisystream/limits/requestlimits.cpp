#include "daisystream/limits/requestlimits.h"

#include <algorithm>

namespace daisystream
{

RequestLimits::RequestLimits(internal::RequestLimitFaults faults)
    : faults_(faults)
{
}

bool RequestLimits::onAnswer(const EndpointId &endpoint, std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
{
    const auto found = known_.find(endpoint);
    if (found == known_.end()) {
        if (perSecond) {
            known_.emplace(endpoint, Known{.perSecond = *perSecond, .statedAt = now});
        }
        return perSecond.has_value();
    }
    Known &known = found->second;
    const double before = known.perSecond;
    const bool isLimitNow = before > 0;
    const bool isNewer = sentAt >= known.statedAt;
    if (perSecond && (!isLimitNow || *perSecond < before)) {
        known = {.perSecond = *perSecond, .statedAt = now};
    } else if (isNewer && (perSecond || !faults_.neverLifted)) {
        // The answer may have waited, for example while this VM was frozen, and is not newer than its request for certain.
        known = {.perSecond = perSecond.value_or(0), .statedAt = sentAt};
    }
    return known.perSecond != before;
}

bool RequestLimits::onStatement(const LimitStatement &statement, TimePoint now)
{
    if (faults_.ignoresReports) {
        return false;
    }
    const auto statedAt = now - std::max(statement.age, Duration::zero());
    const auto found = known_.find(statement.endpoint);
    if (found == known_.end()) {
        known_.emplace(statement.endpoint, Known{.perSecond = statement.perSecond, .statedAt = statedAt});
        return statement.perSecond > 0;
    }
    if (statedAt <= found->second.statedAt) {
        return false;
    }
    const double before = found->second.perSecond;
    found->second = {.perSecond = statement.perSecond, .statedAt = statedAt};
    return statement.perSecond != before;
}

void RequestLimits::setColdLimits(std::map<EndpointId, double> limits)
{
    cold_ = std::move(limits);
}

std::optional<double> RequestLimits::limit(const EndpointId &endpoint) const
{
    const auto found = known_.find(endpoint);
    const auto stated = found == known_.end() || found->second.perSecond == 0 ? std::nullopt : std::optional(found->second.perSecond);
    const auto cold = coldLimit(endpoint);
    return stated && cold ? std::min(stated, cold) : stated ? stated : cold;
}

std::optional<double> RequestLimits::coldLimit(const EndpointId &endpoint) const
{
    const auto found = cold_.find(endpoint);
    return found == cold_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<LimitStatement> RequestLimits::statement(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = known_.find(endpoint);
    if (found == known_.end()) {
        return std::nullopt;
    }
    return LimitStatement{.endpoint = endpoint, .perSecond = found->second.perSecond, .age = now - found->second.statedAt};
}

std::vector<EndpointId> RequestLimits::limitedEndpoints() const
{
    std::vector<EndpointId> endpoints;
    for (const auto &[endpoint, known] : known_) {
        if (known.perSecond > 0) {
            endpoints.push_back(endpoint);
        }
    }
    return endpoints;
}

void RequestLimits::retain(const std::vector<EndpointId> &endpoints)
{
    std::erase_if(known_, [&](const auto &entry) { return std::find(endpoints.begin(), endpoints.end(), entry.first) == endpoints.end(); });
}

} // namespace daisystream
