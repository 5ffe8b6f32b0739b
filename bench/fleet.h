#pragma once

#include "daisystream/base/ids.h"
#include "standins/enginemodel/enginemodel.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// @file
/// The deployments that the benchmarks run: engines, VMs, zones, plans and teams.
///
/// Example:
/// @code
///   const Fleet fleet = murmeltier();
///   Harness harness(fleet, scenario, Policy::Cells, seed);
/// @endcode

namespace daisystream::bench
{

/// A model and the lengths of its prompts and answers (log-normal: heavy-tailed).
struct ModelSpec
{
    ModelId id;
    double medianOutput = 150;
    double sigmaOutput = 1.4; ///< With a median of 150, a mean of 400 and one answer in a thousand beyond 11,000 tokens.
    double medianPrompt = 250;
    double sigmaPrompt = 0.8;
    std::uint32_t engines = 0;

    [[nodiscard]] double meanOutput() const;
};

/// What a plan promises.
struct PlanSpec
{
    std::chrono::milliseconds firstToken{660};
    double tokensPerSecond = 34;
};

/// A team and its part of the traffic of its rank.
struct TeamSpec
{
    TeamId id;
    Rank rank = Rank::Ordinary;
    double demand = 1; ///< Relative to the other teams of its rank.
    double weight = 1;
};

/// One deployment.
struct Fleet
{
    std::string name;
    std::vector<ModelSpec> models;
    std::vector<TeamSpec> teams;
    PlanSpec urgent{std::chrono::milliseconds(660), 34};
    PlanSpec ordinary{std::chrono::milliseconds(8000), 10};
    std::uint32_t zones = 1;
    std::uint32_t vms = 5;
    std::uint32_t cellSize = 0;                           ///< Engines of a cell; 0: one cell for each model.
    Duration zoneDelay = std::chrono::microseconds(1100); ///< One way, between zones.
    Duration callerDelay = std::chrono::microseconds(1000);
    EngineOptions engine{};
    double engineTokensPerSecond = 2200; ///< Rate of an engine at the promised pace with its memory well used.

    [[nodiscard]] const PlanSpec &plan(Rank rank) const
    {
        return rank == Rank::Urgent ? urgent : ordinary;
    }
};

/// 10 assistant and 3 app engines in 3 zones.
[[nodiscard]] Fleet fizzwell();

/// 12 assistant and 4 booking engines in 4 zones.
[[nodiscard]] Fleet murmeltier();

/// A tenth of the target size, or another fraction: cells of 3 engines.
[[nodiscard]] Fleet largeFleet(std::uint32_t engines, std::uint32_t vms);

} // namespace daisystream::bench
