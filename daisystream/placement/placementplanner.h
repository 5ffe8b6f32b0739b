#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// @file
/// Plans which model each engine runs, according to demand. The VM that holds the lease `placement` calls the planner
/// periodically and sends the resulting orders to the engines, together with the fencing number of the lease. An order states
/// the model that the engine should run, so sending it more than once does no harm.
///
/// Example:
/// @code
///   PlacementPlanner planner(options);
///   planner.observe(demands, now); // Every few seconds.
///   if (const auto order = planner.plan(engines, now)) {
///       send(order->endpoint, order->model, *lease.fencingNumber(now));
///   }
/// @endcode

namespace daisystream
{

/// State of an engine according to its load report and to the endpoint states.
struct PlacementEngine
{
    EndpointId endpoint;
    ZoneId zone;
    ModelId model;              ///< The model that it runs or loads; empty if none.
    bool inService = true;      ///< False while it is draining or gone: it adds no capacity and gets no order.
    bool loading = false;       ///< It is loading `model` and cannot serve it yet.
    double tokensPerSecond = 0; ///< Its capacity, in generated tokens a second.

    friend auto operator<=>(const PlacementEngine &, const PlacementEngine &) = default;
};

/// Current demand for a model, including requests that are not served.
struct ModelDemand
{
    ModelId model;
    double tokensPerSecond = 0;    ///< Tokens a second that callers would need.
    std::uint64_t weightBytes = 0; ///< Size of the model's weights, which an engine has to load.

    friend auto operator<=>(const ModelDemand &, const ModelDemand &) = default;
};

/// An order to an engine to load a model.
struct LoadOrder
{
    EndpointId endpoint;
    ModelId model;
    Duration loadTime{};            ///< Expected duration of the load.
    double gainTokensPerSecond = 0; ///< Expected increase of the served demand after the load, including weighted spare capacity.

    friend auto operator<=>(const LoadOrder &, const LoadOrder &) = default;
};

/// Settings of PlacementPlanner.
struct PlacementOptions
{
    double weightBytesPerSecond = 1e9;                     ///< Rate limit of the weight store, in bytes a second for all engines together.
    Duration paybackTime = std::chrono::minutes(10);       ///< Within this time after the order, a move must gain more tokens than are lost during the load.
    Duration demandTimeConstant = std::chrono::minutes(1); ///< Time constant of the exponential moving average of the demand.
    Duration warmUp = std::chrono::seconds(30);            ///< A new holder of the lease only observes for this long before its first order.
    Duration minimumTimeBetweenMoves = std::chrono::minutes(5); ///< Shortest time between two moves of one engine.
    double minimumGainShare = 0.1;                              ///< A move must gain more than this share of the engine's capacity.
    double spareCapacityValue = 0.5;                            ///< Value of a token a second of spare capacity, which is needed only after the loss of a zone,
                                                                ///< relative to one that is needed now.
};

/// Plans one load at a time, so that the loads together do not exceed the rate limit of the weight store. Reads no clock and sends
/// nothing itself. Thread-compatible.
class PlacementPlanner
{
public:
    /// @param options settings, fixed for the lifetime of the planner.
    explicit PlacementPlanner(PlacementOptions options = {});

    /// Adds the current demand to the moving averages.
    /// @param demands the demand for all models. A model that is missing has none at present.
    /// @param now the current time.
    void observe(const std::vector<ModelDemand> &demands, TimePoint now);

    /// Selects the next load. The planner assumes that the caller sends the order: it returns no other one until the load time of
    /// this one has passed.
    /// @param engines the current state of all engines.
    /// @param now the current time.
    /// @return the order with the largest gain among those that are worth their cost. Nothing if there is none, during the warm-up
    ///     period, and while an engine is loading.
    [[nodiscard]] std::optional<LoadOrder> plan(const std::vector<PlacementEngine> &engines, TimePoint now);

    /// @return the averaged demand for a model, in tokens a second; zero for an unknown model.
    [[nodiscard]] double demandOf(const ModelId &model) const;

private:
    struct Demand
    {
        double tokensPerSecond = 0;
        std::uint64_t weightBytes = 0;
    };

    /// @return the estimated value of the engines that run a model, in tokens a second.
    [[nodiscard]] double estimatedValue(const std::vector<PlacementEngine> &engines, const ModelId &model) const;
    /// @return whether the engine may be ordered to load another model.
    [[nodiscard]] bool mayLoadAnother(const std::vector<PlacementEngine> &engines, const PlacementEngine &engine, TimePoint now) const;
    /// Evaluates an order to one engine to load a model.
    /// @param engines all engines; changed during the call and restored before it returns.
    /// @param index the engine in `engines`.
    /// @param model the model to load.
    /// @param now the current time.
    /// @return the order if it is allowed and worth its cost, otherwise nothing.
    [[nodiscard]] std::optional<LoadOrder> evaluateLoad(std::vector<PlacementEngine> &engines, std::size_t index, const ModelId &model, TimePoint now) const;

    PlacementOptions options_;
    std::map<ModelId, Demand> demands_;
    std::map<EndpointId, TimePoint> movedAt_; ///< Time of the last order to each engine.
    std::optional<TimePoint> firstObservedAt_;
    TimePoint lastObservedAt_;
    TimePoint weightStoreFreeAt_; ///< When the load of the last order is expected to end.
};

} // namespace daisystream
