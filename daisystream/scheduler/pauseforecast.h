#pragma once

#include "daisystream/base/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

/// @file
/// Forecasts how many running answers of an engine miss the promised time between their events because the engine prefills the prompt of
/// another request meanwhile.
///
/// Load: long answers whose engines share their hosts with other workloads. A decode step with prefill keeps the promise, unless the engine is
/// slow or its host is busy; both together exceed it.
///
/// Example:
/// @code
///   SlownessDistribution slowness;
///   slowness.add(2.5);
///   const double missed = expectedMisses({.stepMilliseconds = 18.5, .prefillSeconds = 0.5, .answersByPace = load.streamingByPace()}, slowness, current);
/// @endcode

namespace daisystream
{

/// How slow the engines of a model were lately, relative to their usual pace. Engines state it in their responses.
class SlownessDistribution
{
public:
    /// Adds a stated slowness.
    /// @param slowness 1 is the usual pace, 2 half of it.
    void add(double slowness);

    /// @return the mean of the latest samples; 1 without samples.
    [[nodiscard]] double mean() const;

    /// @return the fraction of the latest samples that are at least `slowness`; 0 without samples.
    [[nodiscard]] double fractionAtLeast(double slowness) const;

private:
    // Some seconds of a busy fleet. More would follow changes too slowly, fewer make the fraction of rare slow periods unreliable.
    static constexpr std::size_t kSamples = 256;

    std::deque<float> samples_;    // In the order of their arrival.
    std::vector<float> ascending_; // The same in ascending order.
    double sum_ = 0;
};

/// An engine that prefills a further prompt.
struct PrefillLoad
{
    double stepMilliseconds = 0;                          ///< Duration of a decode step with prefill at the engine's usual pace.
    double prefillSeconds = 0;                            ///< Duration of the prefill.
    const std::map<double, std::uint32_t> &answersByPace; ///< Number of running answers by the promised tokens per second; 0: no promise.
};

/// @param pace promised tokens per second; 0 without a promise.
/// @param prefillSeconds duration of the prefill, in which a slow period may begin.
/// @param current the engine's present slowness, if it is known.
/// @return the probability that an answer misses its pace while the engine prefills a prompt.
[[nodiscard]] double
missProbability(double stepMilliseconds, double pace, double prefillSeconds, const SlownessDistribution &slowness, std::optional<double> current);

/// @return the expected number of running answers that miss their pace while the engine prefills a further prompt.
[[nodiscard]] double expectedMisses(const PrefillLoad &load, const SlownessDistribution &slowness, std::optional<double> current);

} // namespace daisystream
