#pragma once

#include "daisystream/admission/memoryforecast.h"
#include "daisystream/base/ids.h"
#include "daisystream/endpoint/endpointinfo.h"

#include <array>
#include <cstdint>
#include <map>

/// @file
/// The load of one engine as its scheduler knows it: the work that the scheduler assigned, corrected by load reports
/// that show work of others.
///
/// Example:
/// @code
///   EndpointLoad load(info);
///   load.add(work);
///   if (load.stepMilliseconds(1, 300) <= load.paceLimit(34, 0.95)) { ... }
/// @endcode

namespace daisystream
{

/// Load of one engine. Thread-compatible.
class EndpointLoad
{
public:
    /// One assigned answer.
    struct Work
    {
        Rank rank = Rank::Ordinary;
        double pace = 0; ///< Promised tokens a second.
        std::uint32_t promptTokens = 0;
        bool awaitingFirstToken = true;
        MemoryForecast::Contribution memory{};
    };

    explicit EndpointLoad(const EndpointInfo &info);

    /// Replaces the configuration; the load stays.
    void setInfo(const EndpointInfo &info);
    [[nodiscard]] const EndpointInfo &info() const;

    void add(const Work &work);
    void remove(const Work &work);

    /// The answer has its first token, so its prompt has been read.
    void firstToken(Work &work);

    /// Replaces the memory forecast of an answer.
    void progress(Work &work, const MemoryForecast::Contribution &memory);

    /// Takes over capacity and work of others.
    /// @return measured step time divided by that of the cost model; 0 if the report does not tell.
    double onReport(const LoadReport &report);

    /// Sets how much longer steps take than the cost model says.
    void setCalibration(double factor);
    [[nodiscard]] double calibration() const;

    /// @return the expected duration of a decode step with some more answers.
    [[nodiscard]] double stepMilliseconds(double extraAnswers, double extraTokens) const;

    /// @return the time that an answer takes for some tokens while the endpoint reads some prompt tokens for others, before calibration.
    [[nodiscard]] double modelMilliseconds(double tokens, double promptTokens) const;

    /// @return the same without the ordinary answers, which leave as they end.
    [[nodiscard]] double urgentStepMilliseconds(double extraAnswers, double extraTokens) const;

    /// @return the longest step that keeps every promised pace, including `pace`; infinite without promises.
    /// @param margin share of the promised time that may be used.
    [[nodiscard]] double paceLimit(double pace, double margin) const;

    /// @return the expected time until the first token of a prompt that is sent now.
    [[nodiscard]] double firstTokenMilliseconds(std::uint32_t promptTokens) const;

    /// @return by how much reading a prompt delays each answer that is decoded meanwhile.
    [[nodiscard]] double promptDelayMilliseconds(double promptTokens) const;

    /// @return by how much one more answer delays each token of each other answer.
    [[nodiscard]] double answerDelayMilliseconds() const;

    /// @return the same for an engine without work.
    [[nodiscard]] double idleFirstTokenMilliseconds(std::uint32_t promptTokens) const;

    /// @return the forecast share of the memory with one more answer; 0 while the capacity is unknown.
    [[nodiscard]] double memoryShare(const MemoryForecast::Contribution &extra, double deviations) const;

    /// @return the probability that the memory overflows with one more answer; 0 while the capacity is unknown.
    [[nodiscard]] double overflowProbability(const MemoryForecast::Contribution &extra) const;

    /// @return the share of the memory that is in use now with further tokens; 0 while the capacity is unknown.
    [[nodiscard]] double heldShare(std::uint64_t furtherTokens) const;

    /// @return the number of answers, own and of others.
    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::uint32_t running(Rank rank) const;
    [[nodiscard]] std::uint32_t ownStreaming() const;
    [[nodiscard]] std::uint32_t awaitingFirstToken() const;
    [[nodiscard]] std::uint64_t pendingPromptTokens() const;

private:
    [[nodiscard]] double modelStep(double answers, double tokens) const;

    EndpointInfo info_;
    MemoryForecast forecast_;
    std::map<double, std::uint32_t> paces_; // Few plans, so few entries.
    std::array<std::uint32_t, 2> running_{};
    std::array<double, 2> heldTokens_{};
    std::uint32_t awaiting_ = 0;
    std::uint64_t pendingPrompt_ = 0;
    std::uint64_t memoryCapacity_ = 0;
    double calibration_ = 1.0;
    // Work of others, by the load reports.
    double othersRunning_ = 0;
    double othersTokens_ = 0;
    // Largest own load in the present and the previous period between reports: a report lags, so it may still show
    // answers that have ended since.
    double recentRunning_ = 0;
    double previousRunning_ = 0;
    double recentTokens_ = 0;
    double previousTokens_ = 0;
};

} // namespace daisystream
