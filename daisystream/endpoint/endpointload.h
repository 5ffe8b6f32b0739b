#pragma once

#include "daisystream/admission/memoryforecast.h"
#include "daisystream/base/ids.h"
#include "daisystream/endpoint/endpointinfo.h"

#include <array>
#include <cstdint>
#include <map>

/// @file
/// Estimate of the load of one engine: the answers that this scheduler assigned to it, plus the work that load reports show
/// beyond that. The latter is called the work of others.
///
/// Example:
/// @code
///   EndpointLoad load(info);
///   load.add(work);
///   if (load.stepMilliseconds(1, 300) <= load.maxStepMilliseconds(34, 0.95)) { ... }
/// @endcode

namespace daisystream
{

/// Load of one engine, as one scheduler estimates it. Thread-compatible.
class EndpointLoad
{
public:
    /// Load of one answer that this scheduler assigned to the engine.
    struct Work
    {
        Rank rank = Rank::Ordinary;
        double pace = 0; ///< Promised tokens per second; 0 without a promise.
        std::uint32_t promptTokens = 0;
        bool awaitingFirstToken = true;
        MemoryForecast::Contribution memory{}; ///< Forecast of the memory of the answer.
    };

    explicit EndpointLoad(const EndpointInfo &info);

    /// Replaces the configuration and keeps the load.
    void setInfo(const EndpointInfo &info);
    [[nodiscard]] const EndpointInfo &info() const;

    void add(const Work &work);

    /// Removes an answer.
    /// @param work must have the same content as the added one after `firstToken` and `progress`.
    void remove(const Work &work);

    /// Handles the first token of an answer, which means that the engine has read its prompt.
    void firstToken(Work &work);

    /// Replaces the memory forecast of an answer.
    void progress(Work &work, const MemoryForecast::Contribution &memory);

    /// Updates the memory capacity and the work of others.
    /// @return the measured step time divided by that of the cost model; 0 if the report has no step time or no answers.
    double onReport(const LoadReport &report);

    /// Sets the factor by which steps take longer than the cost model predicts.
    void setCalibration(double factor);
    [[nodiscard]] double calibration() const;

    /// @return the expected duration of a decode step with `extraAnswers` more answers that hold `extraTokens` tokens.
    [[nodiscard]] double stepMilliseconds(double extraAnswers, double extraTokens) const;

    /// @return the time by the cost model, without calibration, to generate `tokens` tokens of an answer while the engine
    ///     also reads `promptTokens` prompt tokens of other requests.
    [[nodiscard]] double modelMilliseconds(double tokens, double promptTokens) const;

    /// @return the expected duration of a decode step as `stepMilliseconds`, but without the ordinary answers of this
    ///     scheduler, which end over time.
    [[nodiscard]] double urgentStepMilliseconds(double extraAnswers, double extraTokens) const;

    /// @param pace promised tokens per second of a further answer; 0 without a promise.
    /// @param margin fraction of the promised time per token that a step may take.
    /// @return the longest step duration, in milliseconds, that keeps every promised pace; infinite without promises.
    [[nodiscard]] double maxStepMilliseconds(double pace, double margin) const;

    /// @return the expected time until the first token of a request that is sent now with this prompt.
    [[nodiscard]] double firstTokenMilliseconds(std::uint32_t promptTokens) const;

    /// @return the delay that reading a prompt causes for each answer that is decoded meanwhile.
    [[nodiscard]] double promptDelayMilliseconds(double promptTokens) const;

    /// @return the expected duration of a decode step in which the engine also prefills a prompt, with one more answer.
    [[nodiscard]] double prefillStepMilliseconds(double promptTokens) const;

    /// @return the expected duration of the prefill of a prompt beside the present answers, without what waits before it.
    [[nodiscard]] double prefillSeconds(double promptTokens) const;

    /// @return the answers of this scheduler that have their first token, by their promised tokens per second; 0: without a promise.
    [[nodiscard]] const std::map<double, std::uint32_t> &streamingByPace() const;

    /// @return the delay that one more answer causes for each token of each other answer.
    [[nodiscard]] double answerDelayMilliseconds() const;

    /// @return the expected time until the first token of a request on an engine without other work.
    [[nodiscard]] double idleFirstTokenMilliseconds(std::uint32_t promptTokens) const;

    /// @param deviations number of standard deviations that are added to the mean forecast.
    /// @return the fraction of the memory that is forecast to be used with one more answer; 0 while the capacity is unknown.
    [[nodiscard]] double forecastMemoryFraction(const MemoryForecast::Contribution &extra, double deviations) const;

    /// @return the probability that one more answer lets the memory overflow; 0 while the capacity is unknown.
    [[nodiscard]] double overflowProbability(const MemoryForecast::Contribution &extra) const;

    /// @return the fraction of the memory that would be used now with `furtherTokens` more tokens; 0 while the capacity is
    ///     unknown.
    [[nodiscard]] double usedMemoryFraction(std::uint64_t furtherTokens) const;

    /// @return the number of answers of this scheduler and of others.
    [[nodiscard]] std::uint32_t running() const;

    /// @return the number of answers of this scheduler with this rank.
    [[nodiscard]] std::uint32_t running(Rank rank) const;

    /// @return the number of answers of this scheduler that have their first token.
    [[nodiscard]] std::uint32_t ownStreaming() const;

    /// @return the number of answers of this scheduler that wait for their first token.
    [[nodiscard]] std::uint32_t awaitingFirstToken() const;

    /// @return the number of prompt tokens of these waiting answers.
    [[nodiscard]] std::uint64_t pendingPromptTokens() const;

private:
    [[nodiscard]] double modelStepMilliseconds(double answers, double tokens) const;

    EndpointInfo info_;
    MemoryForecast forecast_;
    std::map<double, std::uint32_t> paces_;     // Number of answers per promised pace; few entries, because there are few plans.
    std::map<double, std::uint32_t> streaming_; // The same without answers that wait for their first token.
    std::array<std::uint32_t, 2> running_{};    // Per rank.
    std::array<double, 2> heldTokens_{};        // Expected tokens in the memory now, per rank.
    std::uint32_t awaitingFirstToken_ = 0;
    std::uint64_t pendingPromptTokens_ = 0;
    std::uint64_t memoryCapacityTokens_ = 0;
    double calibration_ = 1.0;
    // Moving averages of the work of others.
    double othersRunning_ = 0;
    double othersTokens_ = 0;
    // Largest own load since the last report and between the two reports before it. A report lags, so it may still contain
    // answers that have ended since.
    double recentRunning_ = 0;
    double previousRunning_ = 0;
    double recentTokens_ = 0;
    double previousTokens_ = 0;
};

} // namespace daisystream
