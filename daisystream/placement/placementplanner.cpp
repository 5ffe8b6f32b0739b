#include "daisystream/placement/placementplanner.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace daisystream
{
namespace
{

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

PlacementPlanner::PlacementPlanner(PlacementOptions options)
    : options_(options)
{
}

void PlacementPlanner::observe(const std::vector<ModelDemand> &demands, TimePoint now)
{
    // The first observation is taken as it is; the weight of a later one depends on the time since the last.
    const double newWeight = firstObservedAt_ ? 1 - std::exp(-secondsOf(now - lastObservedAt_) / secondsOf(options_.demandTimeConstant)) : 1;
    firstObservedAt_ = firstObservedAt_.value_or(now);
    lastObservedAt_ = now;
    std::map<ModelId, double> current;
    for (const ModelDemand &demand : demands) {
        current[demand.model] += demand.tokensPerSecond;
        demands_[demand.model].weightBytes = demand.weightBytes;
    }
    for (auto &[model, demand] : demands_) {
        demand.tokensPerSecond += newWeight * (current[model] - demand.tokensPerSecond);
    }
}

double PlacementPlanner::demandOf(const ModelId &model) const
{
    const auto found = demands_.find(model);
    return found == demands_.end() ? 0 : found->second.tokensPerSecond;
}

// The value is the demand that the engines of the model can serve, plus `spareCapacityValue` times the demand that they could still
// serve after the loss of the zone with the largest capacity.
double PlacementPlanner::estimatedValue(const std::vector<PlacementEngine> &engines, const ModelId &model) const
{
    double capacity = 0;
    std::map<ZoneId, double> capacityByZone;
    for (const PlacementEngine &engine : engines) {
        if (engine.model == model && engine.inService) {
            capacity += engine.tokensPerSecond;
            capacityByZone[engine.zone] += engine.tokensPerSecond;
        }
    }
    double largestZoneCapacity = 0;
    for (const auto &[zone, zoneCapacity] : capacityByZone) {
        largestZoneCapacity = std::max(largestZoneCapacity, zoneCapacity);
    }
    const double demand = demandOf(model);
    return std::min(demand, capacity) + options_.spareCapacityValue * std::min(demand, capacity - largestZoneCapacity);
}

bool PlacementPlanner::mayLoadAnother(const std::vector<PlacementEngine> &engines, const PlacementEngine &engine, TimePoint now) const
{
    const auto moved = movedAt_.find(engine.endpoint);
    if (!engine.inService || engine.loading || (moved != movedAt_.end() && now - moved->second < options_.minimumTimeBetweenMoves)) {
        return false;
    }
    // The last engine of a model with demand stays: without any engine, all requests for the model would be refused.
    const auto others = std::count_if(engines.begin(), engines.end(), [&](const PlacementEngine &other) {
        return other.model == engine.model && other.inService && !other.loading && other.endpoint != engine.endpoint;
    });
    return engine.model.empty() || others > 0 || demandOf(engine.model) <= 0;
}

std::optional<LoadOrder> PlacementPlanner::evaluateLoad(std::vector<PlacementEngine> &engines, std::size_t index, const ModelId &model, TimePoint now) const
{
    PlacementEngine &engine = engines[index];
    const ModelId previousModel = engine.model;
    if (previousModel == model || !mayLoadAnother(engines, engine, now)) {
        return std::nullopt;
    }
    const double valueBefore = estimatedValue(engines, previousModel) + estimatedValue(engines, model);
    engine.model = ModelId();
    const double valueDuringLoad = estimatedValue(engines, previousModel) + estimatedValue(engines, model);
    engine.model = model;
    const double valueAfter = estimatedValue(engines, previousModel) + estimatedValue(engines, model);
    engine.model = previousModel;

    const double loadSeconds = static_cast<double>(demands_.at(model).weightBytes) / options_.weightBytesPerSecond;
    const double gain = valueAfter - valueBefore;
    const double tokensGained = gain * (secondsOf(options_.paybackTime) - loadSeconds);
    const double tokensLost = (valueBefore - valueDuringLoad) * loadSeconds;
    if (gain <= options_.minimumGainShare * engine.tokensPerSecond || tokensGained <= tokensLost) {
        return std::nullopt;
    }
    return LoadOrder{.endpoint = engine.endpoint,
                     .model = model,
                     .loadTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(loadSeconds)),
                     .gainTokensPerSecond = gain};
}

std::optional<LoadOrder> PlacementPlanner::plan(const std::vector<PlacementEngine> &engines, TimePoint now)
{
    // While any engine is loading, the weight store is in use. The load may result from an order of an earlier holder of the lease.
    const bool loading = std::any_of(engines.begin(), engines.end(), [](const PlacementEngine &engine) { return engine.loading && engine.inService; });
    if (!firstObservedAt_ || now - *firstObservedAt_ < options_.warmUp || now < weightStoreFreeAt_ || loading) {
        return std::nullopt;
    }
    std::vector<PlacementEngine> trialEngines = engines;
    std::optional<LoadOrder> best;
    for (std::size_t i = 0; i < trialEngines.size(); ++i) {
        for (const auto &[model, demand] : demands_) {
            auto order = evaluateLoad(trialEngines, i, model, now);
            if (order && (!best || order->gainTokensPerSecond > best->gainTokensPerSecond)) {
                best = std::move(order);
            }
        }
    }
    if (best) {
        weightStoreFreeAt_ = now + best->loadTime;
        movedAt_[best->endpoint] = now;
    }
    return best;
}

} // namespace daisystream
