#pragma once

#include "daisystream/scheduler/scheduler.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

/// @file
/// Constants and helpers that the source files of `Pool` share. Its member functions are defined in pool.cpp (requests),
/// poolendpoints.cpp (endpoints), pooldecisions.cpp (choice of endpoints), poolmoves.cpp (running answers that move to another
/// endpoint) and poolrefusals.cpp (refusals and late requests).

namespace daisystream::internal
{

// An ordinary request is assigned to a general endpoint with pending prompts only if all of them, including its own, fit into
// the prefill of this many decode steps.
constexpr std::uint64_t kMaxOrdinaryPrefillSteps = 4;
// A stated slowness says nothing about the present after this time: hosts of engines are slow for some 100 ms at a time.
constexpr std::chrono::milliseconds kSlownessLifetime(300);
constexpr double kMaxQueueTimeShare = 0.7; // Longest time in the queue, as a share of the promised time to first token.

/// @return the number of prompt tokens that an endpoint has to prefill for a request; 0 for an answer that moves with its KV cache.
[[nodiscard]] inline std::uint32_t prefillTokens(const WorkRequest &work)
{
    return work.movesFrom ? 0 : work.promptTokens;
}

/// @return whether an endpoint accepts no requests from the entry VM of a request at present.
[[nodiscard]] inline bool isBarred(const WorkRequest &work, const EndpointId &endpoint)
{
    return std::find(work.barred.begin(), work.barred.end(), endpoint) != work.barred.end();
}

[[nodiscard]] inline double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

[[nodiscard]] inline Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace daisystream::internal
