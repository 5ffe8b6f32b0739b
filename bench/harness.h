#pragma once

#include "bench/figures.h"
#include "bench/fleet.h"
#include "bench/scenario.h"

#include <cstdint>
#include <memory>
#include <string>

/// @file
/// Runs one workload under one policy in virtual time: an event queue, message delays between VMs and to engines, lagged
/// load reports and entry VMs behind a balancer. The engines are `EngineModel`s; decisions come from the library.
///
/// Example:
/// @code
///   Harness harness(fizzwell(), *findScenario("normal"), Policy::Cells, 1);
///   const Figures figures = harness.run();
/// @endcode

namespace daisystream::bench
{

/// How endpoints are chosen.
enum class Policy : std::uint8_t {
    RoundRobin,       ///< Baseline: each VM sends to the next engine at once.
    LeastOutstanding, ///< Baseline: each VM sends to the engine with the fewest of its own requests.
    FirstCome,        ///< Baseline: one queue in order of arrival, a fixed number of answers per engine.
    Alone,            ///< Arrangement (a): a Scheduler on each VM, on lagged load.
    EndpointOwner,    ///< Arrangement (b): a Scheduler for each endpoint on its owner VM.
    Cells,            ///< Arrangement (d): a Scheduler for each cell on its owner VM.
};

/// @return a short name for tables.
[[nodiscard]] const char *toString(Policy policy);

/// One run. Single use; not thread-safe.
class Harness
{
public:
    Harness(const Fleet &fleet, const Scenario &scenario, Policy policy, std::uint64_t seed);
    ~Harness();
    Harness(const Harness &) = delete;
    Harness &operator=(const Harness &) = delete;

    /// Prints each event of requests and engines between two times to standard error.
    void traceBetween(Duration from, Duration to);

    /// Also measures processor time in decisions (figures named "cpu ..."), which makes the run slower.
    void measureProcessorTime();

    /// Runs to the end of the scenario.
    [[nodiscard]] Figures run();

    /// @return a hash over all decisions (request, endpoint, time).
    [[nodiscard]] std::uint64_t decisionHash() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream::bench
