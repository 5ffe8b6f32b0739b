#pragma once

#include "daisystream/base/clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// A deterministic model of one engine with continuous batching. It has no sockets, threads or clock: the engine process
/// drives it with real time, benchmarks drive it with virtual time.
///
/// Contract: the time passed to any call never decreases. Work proceeds in steps; a step gives one token to each answer
/// whose prompt has been read. Answers enter the batch at a step boundary only.
///
/// Example:
/// @code
///   EngineModel engine(EngineOptions{});
///   const auto generation = engine.start({.priority = 1, .promptTokens = 300, .outputTokens = 40}, now);
///   while (const auto next = engine.nextEvent()) {
///       for (const TokenEvent &event : engine.advance(*next)) {
///           send(event.generation, event.sequence, EngineModel::tokenText(event.generation, event.sequence));
///       }
///   }
/// @endcode

namespace daisystream
{

/// Number of a generation, unique within one engine over crashes.
using GenerationNumber = std::uint64_t;

/// Size and speed of an engine. The defaults give about 2,600 tokens a second at 64 answers, the mean load of an engine at
/// the target size of the design.
struct EngineOptions
{
    double stepBaseMilliseconds = 8;                   ///< Time of a step without any answer.
    double stepMillisecondsPerAnswer = 0.2;            ///< Added for each answer in the batch.
    double stepMillisecondsPerResidentToken = 0.00006; ///< Added for each token in memory.
    double prefillMillisecondsPerToken = 0.02;         ///< Added for each prompt token read that is not cached.
    std::uint32_t prefillTokensPerStep = 512;          ///< Prompt tokens read in one step (chunked prefill).
    std::uint32_t maxBatch = 96;                       ///< Answers in the batch at most.
    std::uint64_t memoryTokens = 60000;                ///< Capacity for prompts and generated tokens.
    std::uint64_t cacheTokens = 40000;                 ///< Capacity of the prefix cache, apart from `memoryTokens`.
    std::size_t cacheEventsKept = 256;                 ///< Older cache events are lost, which shows as a gap.
    Duration keepAfterEnd = std::chrono::seconds(60);  ///< How long an ended generation can still be resumed.
    GenerationNumber firstGeneration = 1;              ///< Number of the first generation.
};

/// What the engine learns when an answer starts, and the length that only the model knows.
struct StartRequest
{
    std::uint8_t priority = 0;         ///< Lower values enter the batch first and are preempted last, as in `Assign`.
    std::uint32_t promptTokens = 1;    ///< Length of the prompt.
    std::uint32_t maxOutputTokens = 0; ///< Limit given by the caller, 0: none.
    std::uint32_t outputTokens = 1;    ///< True length of the answer. The system under test must not see it.
    std::uint64_t prefixHash = 0;      ///< Hash of the shared prefix, 0: none.
    std::uint32_t prefixTokens = 0;    ///< Length of the shared prefix, at most `promptTokens`.
};

/// Why a generation ended.
enum class EndReason : std::uint8_t {
    None,      ///< It has not ended.
    Stop,      ///< The answer is complete.
    Length,    ///< The caller's limit or the engine's whole memory is reached.
    Cancelled, ///< By `cancel`.
};

/// One generated token.
struct TokenEvent
{
    GenerationNumber generation = 0;
    std::uint32_t sequence = 0;      ///< From 0, without gaps.
    TimePoint time;                  ///< End of the step that made the token.
    EndReason end = EndReason::None; ///< Set on the last token.
};

/// A load report with the fields of `LoadReport` (design section 2.4), without the endpoint's name.
struct EngineLoad
{
    TimePoint measuredAt;
    std::uint32_t running = 0; ///< Answers in the batch.
    std::uint32_t waiting = 0; ///< Answers not in the batch, preempted ones included.
    std::uint64_t memoryUsedTokens = 0;
    std::uint64_t memoryCapacityTokens = 0;
    double stepMilliseconds = 0;       ///< Duration of the latest step, 0 before the first.
    std::uint64_t preemptions = 0;     ///< Since the engine started.
    std::uint64_t generatedTokens = 0; ///< Since the engine started.
};

/// A change of the prefix cache.
struct EngineCacheEvent
{
    std::uint64_t sequence = 0; ///< From 1. A missing number is an event that was lost.
    std::uint64_t prefixHash = 0;
    bool stored = true; ///< false: evicted.
    std::uint32_t tokens = 0;
};

/// What can be read of a generation when a caller resumes it.
struct GenerationState
{
    std::uint32_t generated = 0;     ///< Tokens 0 to generated - 1 can be read now.
    EndReason end = EndReason::None; ///< None: further tokens appear as events of `advance`.
};

/// The model of one engine. Thread-compatible.
class EngineModel
{
public:
    explicit EngineModel(const EngineOptions &options);
    ~EngineModel();
    EngineModel(EngineModel &&) noexcept;
    EngineModel &operator=(EngineModel &&) noexcept;
    EngineModel(const EngineModel &) = delete;
    EngineModel &operator=(const EngineModel &) = delete;

    /// Queues an answer.
    /// @return its number, or nothing if the engine has crashed or the prompt exceeds the memory.
    [[nodiscard]] std::optional<GenerationNumber> start(const StartRequest &request, TimePoint now);

    /// Ends a generation. Its memory is free at once; what it generated stays readable for `keepAfterEnd`.
    /// @return false if the generation is unknown or has ended.
    bool cancel(GenerationNumber generation, TimePoint now);

    /// Looks up a generation for a resume at `offset`.
    /// @return nothing if the generation is unknown, or `offset` lies beyond what it has generated.
    [[nodiscard]] std::optional<GenerationState> resume(GenerationNumber generation, std::uint32_t offset, TimePoint now);

    /// Runs all steps that end at or before `now`.
    /// @return the tokens made, in order of time; valid until the next call.
    const std::vector<TokenEvent> &advance(TimePoint now);

    /// @return the end of the current step; nothing while idle, frozen or crashed.
    [[nodiscard]] std::optional<TimePoint> nextEvent() const;

    /// @return the load at `now`, or the last load before `setReportFrozen(true)`.
    [[nodiscard]] EngineLoad load(TimePoint now) const;

    /// @return the cache events kept whose number is above `sequence`.
    [[nodiscard]] std::vector<EngineCacheEvent> cacheEventsAfter(std::uint64_t sequence) const;

    /// Makes every later step take `factor` times as long; 1 is normal.
    void setSlowdown(double factor);

    /// Stops all progress, or lets it go on from the same point. A frozen engine accepts `start` and queues it.
    void setFrozen(bool frozen, TimePoint now);

    /// Stops updating what `load` returns.
    void setReportFrozen(bool frozen, TimePoint now);

    /// Loses every `every`-th cache event; 0 loses none.
    void setCacheEventLoss(std::uint32_t every);

    /// Loses all generations and the cache. The engine refuses everything until `restart`.
    void crash(TimePoint now);

    /// Starts a crashed engine, empty, with its counters at zero.
    void restart(TimePoint now);

    /// @return the text of a token, the same on every reading.
    [[nodiscard]] static std::string tokenText(GenerationNumber generation, std::uint32_t sequence);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
