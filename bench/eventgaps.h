#pragma once

#include "bench/figures.h"
#include "daisystream/base/clock.h"
#include "daisystream/scheduler/scheduler.h"

#include <chrono>
#include <cstdint>

/// @file
/// Runs long and short answers in virtual time on engines of unequal pace whose hosts also run other workloads and slow them down for some
/// 100 ms at a time. One `Scheduler` assigns all requests; the engines are `EngineModel`s and send no load reports.
///
/// Example:
/// @code
///   const Figures figures = runEventGaps({.engines = 45}, schedulerOptions, 1);
///   const double late = figures.at("long late gap");
/// @endcode

namespace daisystream::bench
{

/// Load and engines of a run. The defaults are the sizing of docs/design/hard-load.md for 45 engines.
struct EventGapsOptions
{
    std::uint32_t engines = 45;
    double longPerSecond = 21.8 / 45;  ///< Long answers per engine.
    double shortPerSecond = 24.5 / 45; ///< Short answers per engine.
    double slowFactor = 2.5;           ///< Factor on the duration of steps in a slow period.
    double slowShare = 0.15;           ///< Fraction of the time in which an engine is slow.
    bool unequal = true;               ///< Whether the paces are 0.55, 1.2, 1.2 and 1.2 in turn, or all 1.
    bool replaces = true;              ///< Whether a sixth of the engines is replaced every 3.3 s.
    bool statesSlowness = true;        ///< Whether engines state their slowness with the first event.
    Duration warmUp = std::chrono::seconds(20);
    Duration measured = std::chrono::seconds(100);
};

/// @return shares of the measured answers of a kind: "long late gap", "long late first", "short late first", "long failed", "short failed"
///     (refused, or without an answer at the end); the numbers "long count" and "short count"; the 99th percentile of the first event,
///     "long first p99 ms" and "short first p99 ms"; the share of long answers with any failure, "long late".
[[nodiscard]] Figures runEventGaps(const EventGapsOptions &options, const SchedulerOptions &scheduler, std::uint64_t seed);

/// @return the options of the scheduler as a gateway sets them.
[[nodiscard]] SchedulerOptions gatewaySchedulerOptions();

} // namespace daisystream::bench
