#include "daisystream/scheduler/scheduler.h"

#include "daisystream/scheduler/pool.h"

#include <algorithm>
#include <map>

namespace daisystream
{

class Scheduler::Private
{
public:
    explicit Private(const SchedulerOptions &given)
        : options(given)
        , lengths(LengthEstimatorOptions{})
    {
    }

    internal::Pool &poolOf(const ModelId &model)
    {
        auto &pool = pools[model];
        if (pool == nullptr) {
            pool = std::make_unique<internal::Pool>(options, lengths, model);
        }
        return *pool;
    }

    internal::Pool *poolOf(const RequestId &request)
    {
        const auto found = std::find_if(pools.begin(), pools.end(), [&](const auto &entry) { return entry.second->knows(request); });
        return found == pools.end() ? nullptr : found->second.get();
    }

    internal::Pool *poolOf(const EndpointId &endpoint)
    {
        const auto found = std::find_if(pools.begin(), pools.end(), [&](const auto &entry) { return entry.second->hasEndpoint(endpoint); });
        return found == pools.end() ? nullptr : found->second.get();
    }

    SchedulerOptions options;
    LengthEstimator lengths;
    std::map<ModelId, std::unique_ptr<internal::Pool>> pools; // A linear search is cheap enough: a cell has few models.
};

Scheduler::Scheduler(SchedulerOptions options, Random)
    : d_(std::make_unique<Private>(options))
{
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
Scheduler &Scheduler::operator=(Scheduler &&) noexcept = default;

void Scheduler::setEndpoints(const std::vector<EndpointInfo> &endpoints, TimePoint now)
{
    std::map<ModelId, std::vector<EndpointInfo>> byModel;
    for (const auto &[model, pool] : d_->pools) {
        byModel.try_emplace(model);
    }
    for (const EndpointInfo &info : endpoints) {
        byModel[info.model].push_back(info);
    }
    for (const auto &[model, members] : byModel) {
        d_->poolOf(model).setEndpoints(members, now);
    }
}

void Scheduler::submit(const WorkRequest &request, TimePoint now)
{
    if (d_->poolOf(request.id) == nullptr) {
        d_->poolOf(request.model).submit(request, now);
    }
}

void Scheduler::withdraw(const RequestId &request, TimePoint now)
{
    if (internal::Pool *pool = d_->poolOf(request)) {
        pool->withdraw(request, now);
    }
}

void Scheduler::onFirstToken(const RequestId &request, TimePoint now)
{
    if (internal::Pool *pool = d_->poolOf(request)) {
        pool->onFirstToken(request, now);
    }
}

void Scheduler::onSlowness(const RequestId &request, double slowness, TimePoint statedAt)
{
    if (internal::Pool *pool = d_->poolOf(request)) {
        pool->onSlowness(request, slowness, statedAt);
    }
}

void Scheduler::onProgress(const RequestId &request, std::uint32_t generatedTokens, TimePoint now)
{
    if (internal::Pool *pool = d_->poolOf(request)) {
        pool->onProgress(request, generatedTokens, now);
    }
}

void Scheduler::onFinished(const RequestId &request, std::uint32_t generatedTokens, FinishReason reason, TimePoint now)
{
    if (internal::Pool *pool = d_->poolOf(request)) {
        pool->onFinished(request, generatedTokens, reason, now);
    }
}

void Scheduler::onRunning(const WorkRequest &request, const EndpointId &endpoint, std::uint32_t generatedTokens, TimePoint now)
{
    d_->poolOf(request.model).onRunning(request, endpoint, generatedTokens, now);
}

void Scheduler::onLoadReport(const LoadReport &report, TimePoint now)
{
    if (internal::Pool *pool = d_->poolOf(report.endpoint)) {
        pool->onLoadReport(report, now);
    }
}

void Scheduler::onCacheEvent(const CacheEvent &event, TimePoint)
{
    if (internal::Pool *pool = d_->poolOf(event.endpoint)) {
        pool->onCacheEvent(event);
    }
}

std::vector<Action> Scheduler::decide(TimePoint now)
{
    std::vector<Action> actions;
    for (const auto &[model, pool] : d_->pools) {
        pool->decide(now, actions);
    }
    return actions;
}

std::optional<TimePoint> Scheduler::nextWake() const
{
    std::optional<TimePoint> wake;
    for (const auto &[model, pool] : d_->pools) {
        if (const std::optional<TimePoint> at = pool->nextWake()) {
            wake = wake ? std::min(*wake, *at) : at;
        }
    }
    return wake;
}

} // namespace daisystream
