#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <compare>
#include <cstdint>

/// @file
/// What is known about an endpoint: its configuration, its load reports and its cache events.
///
/// Example:
/// @code
///   EndpointInfo info;
///   info.id = EndpointId("engine-3");
///   info.model = ModelId("assistant");
///   info.memoryCapacityTokens = 200000;
///   scheduler.setEndpoints({info}, now);
/// @endcode

namespace daisystream
{

/// Whether an endpoint may receive new work.
enum class EndpointState : std::uint8_t {
    InService, ///< Receives new work.
    Draining,  ///< Receives no new work; running work continues.
    Gone,      ///< No longer reachable; running work is lost.
};

/// @return "inService", "draining" or "gone".
[[nodiscard]] constexpr const char *toString(EndpointState state)
{
    switch (state) {
    case EndpointState::InService:
        return "inService";
    case EndpointState::Draining:
        return "draining";
    case EndpointState::Gone:
        break;
    }
    return "gone";
}

/// Linear cost model of one decode step. Measured step times calibrate it, so rough figures suffice.
struct StepCost
{
    double baseMilliseconds = 15.0;                     ///< A step with an empty batch.
    double perSequenceMilliseconds = 0.1;               ///< For each answer in the batch.
    double perThousandTokensMilliseconds = 0.02;        ///< For each thousand tokens held in memory.
    double prefillMillisecondsPerThousandTokens = 50.0; ///< For each thousand prompt tokens.
    std::uint32_t prefillTokensPerStep = 512;           ///< Prompt tokens read in one step.

    friend auto operator<=>(const StepCost &, const StepCost &) = default;
};

/// Configuration of one endpoint.
struct EndpointInfo
{
    EndpointId id;
    ModelId model;
    ZoneId zone;
    EndpointState state = EndpointState::InService;
    std::uint64_t memoryCapacityTokens = 0; ///< 0: not known yet, taken from the first load report.
    std::uint32_t maxBatch = 256;           ///< Answers decoded at the same time.
    StepCost stepCost{};

    friend auto operator<=>(const EndpointInfo &, const EndpointInfo &) = default;
};

/// What an endpoint says about its load, some time after it measured it.
struct LoadReport
{
    EndpointId endpoint;
    TimePoint measuredAt{};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t memoryUsedTokens = 0;
    std::uint64_t memoryCapacityTokens = 0;
    double stepMilliseconds = 0;       ///< Duration of recent decode steps; 0 when idle.
    std::uint64_t preemptions = 0;     ///< Since the endpoint started.
    std::uint64_t generatedTokens = 0; ///< Since the endpoint started.
    bool leaving = false;              ///< The endpoint has announced that it leaves.

    friend auto operator<=>(const LoadReport &, const LoadReport &) = default;
};

/// A prompt prefix entered or left the cache of an endpoint. Events are late and have gaps.
struct CacheEvent
{
    enum class Kind : std::uint8_t {
        Inserted,
        Evicted,
    };

    EndpointId endpoint;
    std::uint64_t sequence = 0; ///< Rises by one with each event of the endpoint.
    std::uint64_t prefixHash = 0;
    Kind kind = Kind::Inserted;

    friend auto operator<=>(const CacheEvent &, const CacheEvent &) = default;
};

} // namespace daisystream
