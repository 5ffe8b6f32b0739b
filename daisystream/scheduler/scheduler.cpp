#include "daisystream/scheduler/scheduler.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>

namespace daisystream
{

// First version: urgent work first, then by arrival, to the endpoint with the least outstanding work.
class Scheduler::Private
{
public:
    struct Running
    {
        WorkRequest request;
        EndpointId endpoint;
    };

    std::map<EndpointId, EndpointInfo> endpoints;
    std::map<EndpointId, std::uint32_t> outstanding;
    std::deque<WorkRequest> queues[2];
    std::unordered_map<RequestId, Running> running;

    void release(const RequestId &request)
    {
        const auto found = running.find(request);
        if (found != running.end()) {
            --outstanding[found->second.endpoint];
            running.erase(found);
        }
    }

    EndpointInfo *choose(const WorkRequest &request)
    {
        EndpointInfo *best = nullptr;
        for (auto &[id, info] : endpoints) {
            const bool fits = info.model == request.model && info.state == EndpointState::InService && outstanding[id] < info.maxBatch;
            if (fits && (best == nullptr || outstanding[id] < outstanding[best->id])) {
                best = &info;
            }
        }
        return best;
    }
};

Scheduler::Scheduler(SchedulerOptions, Random)
    : d_(std::make_unique<Private>())
{
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
Scheduler &Scheduler::operator=(Scheduler &&) noexcept = default;

void Scheduler::setEndpoints(const std::vector<EndpointInfo> &endpoints, TimePoint)
{
    d_->endpoints.clear();
    for (const EndpointInfo &info : endpoints) {
        d_->endpoints.emplace(info.id, info);
    }
}

void Scheduler::submit(const WorkRequest &request, TimePoint)
{
    d_->queues[static_cast<std::size_t>(request.rank)].push_back(request);
}

void Scheduler::withdraw(const RequestId &request, TimePoint)
{
    for (auto &queue : d_->queues) {
        std::erase_if(queue, [&](const WorkRequest &queued) { return queued.id == request; });
    }
    d_->release(request);
}

void Scheduler::onFirstToken(const RequestId &, TimePoint)
{
}

void Scheduler::onProgress(const RequestId &, std::uint32_t, TimePoint)
{
}

void Scheduler::onFinished(const RequestId &request, std::uint32_t, FinishReason, TimePoint)
{
    d_->release(request);
}

void Scheduler::onRunning(const WorkRequest &request, const EndpointId &endpoint, std::uint32_t, TimePoint)
{
    if (d_->running.emplace(request.id, Private::Running{request, endpoint}).second) {
        ++d_->outstanding[endpoint];
    }
}

void Scheduler::onLoadReport(const LoadReport &, TimePoint)
{
}

void Scheduler::onCacheEvent(const CacheEvent &, TimePoint)
{
}

std::vector<Action> Scheduler::decide(TimePoint now)
{
    std::vector<Action> actions;
    for (auto &queue : d_->queues) {
        std::deque<WorkRequest> waiting;
        for (WorkRequest &request : queue) {
            if (const EndpointInfo *endpoint = d_->choose(request)) {
                const auto priority = static_cast<std::uint8_t>(request.rank);
                actions.emplace_back(Assign{request.id, endpoint->id, priority, {}});
                ++d_->outstanding[endpoint->id];
                d_->running.emplace(request.id, Private::Running{request, endpoint->id});
            } else if (request.firstTokenDeadline <= now) {
                const Error error{ResultCode::QueueDeadlinePassed, "no endpoint became free in time", std::chrono::milliseconds(1000)};
                actions.emplace_back(Refuse{request.id, error});
            } else {
                waiting.push_back(std::move(request));
            }
        }
        queue = std::move(waiting);
    }
    return actions;
}

std::optional<TimePoint> Scheduler::nextWake() const
{
    std::optional<TimePoint> wake;
    for (const auto &queue : d_->queues) {
        for (const WorkRequest &request : queue) {
            wake = std::min(wake.value_or(request.firstTokenDeadline), request.firstTokenDeadline);
        }
    }
    return wake;
}

} // namespace daisystream
