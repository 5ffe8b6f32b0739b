#pragma once

#include "bench/fleet.h"
#include "daisystream/base/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// @file
/// What happens in a run: the load of each rank over time, and faults.
///
/// Example:
/// @code
///   const Scenario *scenario = findScenario("ordinary10");
///   const std::vector<Arrival> arrivals = makeArrivals(fleet, *scenario, seed);
/// @endcode

namespace daisystream::bench
{

/// A fault at a time after the start of the run.
struct Fault
{
    enum class Kind : std::uint8_t {
        LoseEngine,    ///< `index`: engine.
        LoseVm,        ///< `index`: VM.
        LoseZone,      ///< `index`: zone; all its engines and VMs.
        LoseOwner,     ///< The VM that owns the first cell.
        PauseOwner,    ///< The same VM, for `duration`.
        TwoOwners,     ///< Cuts the owner off from half of the VMs for `duration`.
        SlowEngine,    ///< `index` runs at a tenth of its speed for `duration`.
        FreezeReport,  ///< The load report of `index` stays the same for `duration`.
        PlatformOutage ///< For `duration`.
    };

    Kind kind = Kind::LoseEngine;
    Duration at{};
    std::uint32_t index = 0;
    Duration duration{};
};

/// The load of one team in a window, as a multiple of its usual load or of the capacity.
struct Scenario
{
    std::string name;
    std::string purpose;
    Duration length = std::chrono::seconds(120);
    Duration floodBegin = std::chrono::seconds(30); ///< Figures cover arrivals from here.
    Duration floodEnd = std::chrono::seconds(100);  ///< To here.
    double urgentLoad = 0.3;                        ///< Of the capacity, outside the flood.
    double ordinaryLoad = 0.3;
    double urgentFlood = 0.3; ///< Of the capacity, during the flood.
    double ordinaryFlood = 0.3;
    std::optional<std::uint32_t> greedyTeam{}; ///< Asks for 20 times its share of the capacity; the others for half of theirs.
    std::vector<Fault> faults{};
    bool cellsOnly = false; ///< Only arrangement (d) is of interest.
};

/// One request of the workload.
struct Arrival
{
    Duration at{};
    std::uint32_t team = 0;
    std::uint32_t model = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint64_t prefixHash = 0;
    std::uint32_t prefixTokens = 0;
};

/// @return all scenarios.
[[nodiscard]] const std::vector<Scenario> &scenarios();

/// @return the scenario of that name, or null.
[[nodiscard]] const Scenario *findScenario(const std::string &name);

/// @return the workload in order of time; the same for each policy.
[[nodiscard]] std::vector<Arrival> makeArrivals(const Fleet &fleet, const Scenario &scenario, std::uint64_t seed);

} // namespace daisystream::bench
