#include "daemon/gateway/gatewaycontext.h"

#include <algorithm>

namespace daisystream
{
namespace
{

// Time that a request needs before the process is killed. A long answer takes longer than any grace time.
constexpr std::chrono::milliseconds kTimeForCall{2000};
constexpr std::chrono::milliseconds kTimeForShortAnswer{3500};

} // namespace

GatewayContext::GatewayContext(
    FrontendContext &frontend, CellDispatcher &dispatcher, const GatewayDialect &dialect, const GatewaySettings &settings, const ZoneId &zone)
    : frontend(frontend)
    , dispatcher(dispatcher)
    , dialect(dialect)
    , settings(settings)
    , zone_(zone)
    , random_(frontend.parts.seed)
    , budget_({.ratio = settings.retryRatio, .allowance = settings.retryAllowance, .window = settings.retryWindow})
{
}

TimePoint GatewayContext::now() const
{
    return frontend.parts.clock.now();
}

std::chrono::milliseconds GatewayContext::timeUntil(TimePoint deadline) const
{
    return std::max(std::chrono::milliseconds(1), std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now()));
}

std::optional<EndpointSettings> GatewayContext::startCall(const ServiceId &service, const std::vector<EndpointId> &tried)
{
    const auto endpoints = dispatcher.serviceEndpoints(service);
    std::vector<ServiceCandidate> candidates;
    for (const auto &endpoint : endpoints) {
        candidates.push_back({.id = endpoint.id, .slots = endpoint.slots, .isNear = endpoint.zone == zone_, .isCold = endpoint.isCold});
    }
    const auto at = now();
    const std::lock_guard lock(mutex_);
    const auto chosen = balancer_.choose(candidates, tried, random_, at);
    if (!chosen) {
        return std::nullopt;
    }
    balancer_.onStarted(*chosen, at);
    return *std::find_if(endpoints.begin(), endpoints.end(), [&](const auto &endpoint) { return endpoint.id == *chosen; });
}

void GatewayContext::onCallEnded(const EndpointId &endpoint, CallResult result, const std::optional<StatedLoad> &load)
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    balancer_.onEnded(endpoint, result, at);
    if (load) {
        balancer_.onStatedLoad(endpoint, *load, at);
    }
}

void GatewayContext::countRequest(const ServiceId &service)
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    budget_.onRequest(service, at);
}

bool GatewayContext::takeRepeat(const ServiceId &service)
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    return budget_.tryRepeat(service, at);
}

void GatewayContext::setVms(std::size_t count)
{
    const std::lock_guard lock(mutex_);
    budget_.setVms(count);
}

std::shared_ptr<void> GatewayContext::watchEndpoint(const EndpointId &endpoint, std::function<void()> onLeaving)
{
    auto watch = std::make_shared<std::function<void()>>(std::move(onLeaving));
    const std::lock_guard lock(mutex_);
    std::erase_if(watches_, [](const auto &entry) { return entry.second.expired(); });
    watches_.emplace(endpoint, watch);
    return watch;
}

void GatewayContext::announceLeaving(const std::vector<EndpointId> &endpoints)
{
    std::vector<std::shared_ptr<std::function<void()>>> called;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &endpoint : endpoints) {
            const auto [begin, end] = watches_.equal_range(endpoint);
            for (auto entry = begin; entry != end; ++entry) {
                if (auto watch = entry->second.lock()) {
                    called.push_back(std::move(watch));
                }
            }
        }
    }
    for (const auto &watch : called) {
        (*watch)();
    }
}

void GatewayContext::beginShutdown()
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    stoppingSince_ = at;
}

bool GatewayContext::canServe(const RequestKind &kind)
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    if (!stoppingSince_) {
        return true;
    }
    const auto *stream = std::get_if<AnswerStream>(&kind);
    if (stream != nullptr && !stream->resumable) {
        return false;
    }
    return at + (stream != nullptr ? kTimeForShortAnswer : kTimeForCall) < *stoppingSince_ + settings.graceTime;
}

bool GatewayContext::isInService(const EndpointId &endpoint) const
{
    return dispatcher.isInService(endpoint);
}

} // namespace daisystream
