#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// @file
/// Plans which model each engine runs, by demand. The holder of the lease `placement` calls it now and then and sends the
/// orders with its fencing number. An order declares a wanted state, so it can be repeated.
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

/// An engine as its load report and the endpoint states show it.
struct PlacementEngine
{
    EndpointId endpoint;
    ZoneId zone;
    ModelId model;              ///< What it runs; empty if nothing.
    bool inService = true;      ///< False while it drains or is gone: it counts for nothing and gets no order.
    bool loading = false;       ///< It is about to run `model` but cannot serve yet.
    double tokensPerSecond = 0; ///< What it can generate.

    friend auto operator<=>(const PlacementEngine &, const PlacementEngine &) = default;
};

/// What is asked of a model now, served or not.
struct ModelDemand
{
    ModelId model;
    double tokensPerSecond = 0;
    std::uint64_t weightBytes = 0;

    friend auto operator<=>(const ModelDemand &, const ModelDemand &) = default;
};

/// Load the model at the endpoint.
struct LoadOrder
{
    EndpointId endpoint;
    ModelId model;
    Duration loadTime{};
    double gainTokensPerSecond = 0; ///< Expected after the load.

    friend auto operator<=>(const LoadOrder &, const LoadOrder &) = default;
};

struct PlacementOptions
{
    double weightBytesPerSecond = 1e9;               ///< Rate limit of the weight store, for all engines together.
    Duration horizon = std::chrono::minutes(10);     ///< A move must recover its load time within it.
    Duration demandMemory = std::chrono::minutes(1); ///< Time constant of the demand's moving average.
    Duration warmUp = std::chrono::seconds(30);      ///< A new holder observes for this long before its first move.
    Duration minimumStay = std::chrono::minutes(5);  ///< An engine that was moved stays for at least this long.
    double margin = 0.1;                             ///< A move must gain this share of the engine's rate.
    double spareValue = 0.5;                         ///< Worth of a token a second that only a zone loss would need.
};

/// Plans one load at a time, which keeps the weight store within its rate. Thread-compatible.
class PlacementPlanner
{
public:
    explicit PlacementPlanner(PlacementOptions options = {});

    /// Takes the present demand of all models. A model that is missing has none.
    void observe(const std::vector<ModelDemand> &demands, TimePoint now);

    /// @return the best move that is worth its cost, or nothing. It counts as started.
    [[nodiscard]] std::optional<LoadOrder> plan(const std::vector<PlacementEngine> &engines, TimePoint now);

    /// @return the averaged demand in tokens a second.
    [[nodiscard]] double demandOf(const ModelId &model) const;

private:
    struct Demand
    {
        double tokensPerSecond = 0;
        std::uint64_t weightBytes = 0;
    };

    [[nodiscard]] double valueOf(const std::vector<PlacementEngine> &engines, const ModelId &model) const;
    [[nodiscard]] bool mayLeave(const std::vector<PlacementEngine> &engines, const PlacementEngine &engine, TimePoint now) const;
    [[nodiscard]] std::optional<LoadOrder> evaluate(std::vector<PlacementEngine> &engines, std::size_t index, const ModelId &model, TimePoint now) const;

    PlacementOptions options_;
    std::map<ModelId, Demand> demands_;
    std::map<EndpointId, TimePoint> movedAt_;
    std::optional<TimePoint> firstObserved_;
    TimePoint lastObserved_;
    TimePoint storeFreeAt_;
};

} // namespace daisystream
