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
    // The first observation counts in full, later ones by the time since the last.
    const double share = firstObserved_ ? 1 - std::exp(-secondsOf(now - lastObserved_) / secondsOf(options_.demandMemory)) : 1;
    firstObserved_ = firstObserved_.value_or(now);
    lastObserved_ = now;
    std::map<ModelId, double> present;
    for (const ModelDemand &demand : demands) {
        present[demand.model] += demand.tokensPerSecond;
        demands_[demand.model].weightBytes = demand.weightBytes;
    }
    for (auto &[model, demand] : demands_) {
        demand.tokensPerSecond += share * (present[model] - demand.tokensPerSecond);
    }
}

double PlacementPlanner::demandOf(const ModelId &model) const
{
    const auto found = demands_.find(model);
    return found == demands_.end() ? 0 : found->second.tokensPerSecond;
}

/// The tokens a second that the model's engines serve, plus a share of what they would still serve after the loss of their
/// largest zone.
double PlacementPlanner::valueOf(const std::vector<PlacementEngine> &engines, const ModelId &model) const
{
    double capacity = 0;
    std::map<ZoneId, double> zones;
    for (const PlacementEngine &engine : engines) {
        if (engine.model == model && engine.inService) {
            capacity += engine.tokensPerSecond;
            zones[engine.zone] += engine.tokensPerSecond;
        }
    }
    double largest = 0;
    for (const auto &[zone, ofZone] : zones) {
        largest = std::max(largest, ofZone);
    }
    const double demand = demandOf(model);
    return std::min(demand, capacity) + options_.spareValue * std::min(demand, capacity - largest);
}

bool PlacementPlanner::mayLeave(const std::vector<PlacementEngine> &engines, const PlacementEngine &engine, TimePoint now) const
{
    const auto moved = movedAt_.find(engine.endpoint);
    if (!engine.inService || engine.loading || (moved != movedAt_.end() && now - moved->second < options_.minimumStay)) {
        return false;
    }
    // The last engine of a model that is asked for stays: without any, all its requests would be refused.
    const auto others = std::count_if(engines.begin(), engines.end(), [&](const PlacementEngine &other) {
        return other.model == engine.model && other.inService && !other.loading && other.endpoint != engine.endpoint;
    });
    return engine.model.empty() || others > 0 || demandOf(engine.model) <= 0;
}

std::optional<LoadOrder> PlacementPlanner::evaluate(std::vector<PlacementEngine> &engines, std::size_t index, const ModelId &model, TimePoint now) const
{
    PlacementEngine &engine = engines[index];
    const ModelId from = engine.model;
    if (from == model || !mayLeave(engines, engine, now)) {
        return std::nullopt;
    }
    const double before = valueOf(engines, from) + valueOf(engines, model);
    engine.model = ModelId();
    const double without = valueOf(engines, from) + valueOf(engines, model);
    engine.model = model;
    const double after = valueOf(engines, from) + valueOf(engines, model);
    engine.model = from;

    const double loadSeconds = static_cast<double>(demands_.at(model).weightBytes) / options_.weightBytesPerSecond;
    const double gain = after - before;
    const double recovered = gain * (secondsOf(options_.horizon) - loadSeconds);
    const double lost = (before - without) * loadSeconds;
    if (gain <= options_.margin * engine.tokensPerSecond || recovered <= lost) {
        return std::nullopt;
    }
    return LoadOrder{.endpoint = engine.endpoint,
                     .model = model,
                     .loadTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(loadSeconds)),
                     .gainTokensPerSecond = gain};
}

std::optional<LoadOrder> PlacementPlanner::plan(const std::vector<PlacementEngine> &engines, TimePoint now)
{
    // While any engine loads, also by an order of an earlier holder, the weight store is in use.
    const bool loading = std::any_of(engines.begin(), engines.end(), [](const PlacementEngine &engine) { return engine.loading && engine.inService; });
    if (!firstObserved_ || now - *firstObserved_ < options_.warmUp || now < storeFreeAt_ || loading) {
        return std::nullopt;
    }
    std::vector<PlacementEngine> trial = engines;
    std::optional<LoadOrder> best;
    for (std::size_t i = 0; i < trial.size(); ++i) {
        for (const auto &[model, demand] : demands_) {
            auto order = evaluate(trial, i, model, now);
            if (order && (!best || order->gainTokensPerSecond > best->gainTokensPerSecond)) {
                best = std::move(order);
            }
        }
    }
    if (best) {
        storeFreeAt_ = now + best->loadTime;
        movedAt_[best->endpoint] = now;
    }
    return best;
}

} // namespace daisystream
