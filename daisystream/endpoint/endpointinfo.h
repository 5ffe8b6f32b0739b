#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <compare>
#include <cstdint>

/// @file
/// Data types for what is known about an endpoint: its configuration, its load reports and its cache events.
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

/// Linear cost model of one decode step. It is scaled by measured step times, so approximate values suffice.
struct StepCost
{
    double baseMilliseconds = 15.0;                     ///< Time of a step with an empty batch.
    double perSequenceMilliseconds = 0.1;               ///< Additional time per answer in the batch.
    double perThousandTokensMilliseconds = 0.02;        ///< Additional time per thousand tokens in the memory.
    double prefillMillisecondsPerThousandTokens = 50.0; ///< Time to read a thousand prompt tokens.
    std::uint32_t prefillTokensPerStep = 512;           ///< Prompt tokens that are read in one step.

    friend auto operator<=>(const StepCost &, const StepCost &) = default;
};

/// Configuration of one endpoint.
struct EndpointInfo
{
    EndpointId id;
    ModelId model;
    ZoneId zone;
    EndpointState state = EndpointState::InService;
    std::uint64_t memoryCapacityTokens = 0; ///< 0 if not known yet; then the value of the load reports is used.
    std::uint32_t maxBatch = 256;           ///< Answers that are decoded at the same time.
    StepCost stepCost{};

    friend auto operator<=>(const EndpointInfo &, const EndpointInfo &) = default;
};

/// Load report of an endpoint. It arrives some time after the measurement.
struct LoadReport
{
    EndpointId endpoint;
    TimePoint measuredAt{};
    std::uint32_t running = 0; ///< Answers that are decoded.
    std::uint32_t waiting = 0; ///< Requests that wait in the endpoint.
    std::uint64_t memoryUsedTokens = 0;
    std::uint64_t memoryCapacityTokens = 0;
    double stepMilliseconds = 0;       ///< Duration of recent decode steps; 0 if the endpoint is idle.
    std::uint64_t preemptions = 0;     ///< Number since the endpoint started.
    std::uint64_t generatedTokens = 0; ///< Number since the endpoint started.
    bool leaving = false;              ///< Whether the endpoint has announced its shutdown.

    friend auto operator<=>(const LoadReport &, const LoadReport &) = default;
};

/// Event of an endpoint whose cache gained or lost a prompt prefix. Events arrive late and some are lost.
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
