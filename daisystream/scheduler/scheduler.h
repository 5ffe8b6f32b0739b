#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/random.h"
#include "daisystream/base/result.h"
#include "daisystream/endpoint/endpointinfo.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

/// @file
/// One cell's queue, admission, choice of endpoint and refusals. Events go in, actions come out of `decide`.
///
/// Contract: each submitted request is answered by exactly one `Refuse`, or by an `Assign`. A `Cancel` takes back an
/// `Assign` whose request has no first token yet; the request is then queued again and answered anew. A request whose
/// first token and whose `Cancel` crossed each other keeps running: the caller ignores the `Cancel` and reports the
/// first token. Any other end of an assigned request is reported through `onFinished`.
///
/// Example:
/// @code
///   Scheduler scheduler(SchedulerOptions{}, Random(seed));
///   scheduler.setEndpoints(endpoints, now);
///   scheduler.submit(request, now);
///   for (const Action &action : scheduler.decide(now)) {
///       std::visit(carryOut, action);
///   }
///   timer.expiresAt(scheduler.nextWake()); // decide again at that time, and after every event
/// @endcode

namespace daisystream
{

/// The engine at which an answer runs.
struct RunningAt
{
    EndpointId endpoint;
    ZoneId zone; ///< Copies within a zone are twice as fast.

    friend auto operator<=>(const RunningAt &, const RunningAt &) = default;
};

/// One request that needs an endpoint.
struct WorkRequest
{
    RequestId id;
    TeamId team;
    VmId entry; ///< The VM that the caller is connected to.
    Rank rank = Rank::Ordinary;
    ModelId model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0; ///< 0: no limit given.
    double weight = 1.0;               ///< Of the plan.
    double paceTokensPerSecond = 0;    ///< Promised by the plan; 0: none.
    TimePoint firstTokenDeadline{};    ///< Arrival plus the promised first-token time.
    /// Latest time at which the caller still takes a first token, after the promised one. A request that misses its promise waits behind
    /// all that can keep theirs. Nothing: it is refused once its promise cannot be met.
    std::optional<TimePoint> lastUsefulFirstToken{};
    TimePoint arrival{};
    std::uint64_t prefixHash = 0;         ///< Hash of the first prompt block; 0: none.
    std::string lengthClass{};            ///< Requests of one class have answers of similar length; empty: those of one team.
    std::optional<RunningAt> movesFrom{}; ///< Set: the answer runs and has to go on elsewhere, with its memory.
    std::uint32_t heldTokens = 0;         ///< Generated before it moves.
    bool mayRepeat = true;                ///< A failure before its end does not lose it: it may run again elsewhere.
    std::optional<EndpointId> avoids{};   ///< It has just failed there.
    std::vector<EndpointId> barred{};     ///< Endpoints that take nothing from its entry VM at present.
    bool mayMove = true;                  ///< Until its first token it may be taken back and given to another endpoint.

    /// @return until when an endpoint is of use.
    [[nodiscard]] TimePoint latestFirstToken() const
    {
        return std::max(firstTokenDeadline, lastUsefulFirstToken.value_or(firstTokenDeadline));
    }

    friend auto operator<=>(const WorkRequest &, const WorkRequest &) = default;
};

/// Why a running request ended.
enum class FinishReason : std::uint8_t {
    Complete,  ///< The answer is whole.
    Cancelled, ///< The caller left or the request was cancelled.
    Failed,    ///< The endpoint failed.
    MovedAway, ///< The request left this endpoint before its first token and was submitted elsewhere.
};

/// Figures behind an assignment, for the log line of the decision.
struct DecisionFigures
{
    std::uint32_t queuedUrgent = 0;
    std::uint32_t queuedOrdinary = 0;
    std::uint32_t running = 0;                ///< Answers at the endpoint before this one.
    double forecastMemory = 0;                ///< Share of the endpoint's capacity after this assignment.
    double stepMilliseconds = 0;              ///< Expected duration of a decode step after this assignment.
    std::chrono::microseconds waited{};       ///< Time in the queue.
    std::chrono::microseconds firstTokenIn{}; ///< Expected time from now to the first token.
    double expectedTokens = 0;                ///< Expected length of the answer.
    bool prefixCached = false;                ///< The endpoint was preferred for its cached prefix.

    friend auto operator<=>(const DecisionFigures &, const DecisionFigures &) = default;
};

/// The request goes to the endpoint now.
struct Assign
{
    RequestId request;
    EndpointId endpoint;
    std::uint8_t priority = 0; ///< For the engine; lower values go first.
    DecisionFigures figures{};

    friend auto operator<=>(const Assign &, const Assign &) = default;
};

/// The request is not run; the error says why and when to retry.
struct Refuse
{
    RequestId request;
    Error error;

    friend auto operator<=>(const Refuse &, const Refuse &) = default;
};

/// Takes the request back from the endpoint, only before its first token. The request is queued again.
struct Cancel
{
    RequestId request;
    EndpointId endpoint;

    friend auto operator<=>(const Cancel &, const Cancel &) = default;
};

/// Asks for a fresh load report of an endpoint that receives no work because it seemed slow or silent.
struct Probe
{
    EndpointId endpoint;

    friend auto operator<=>(const Probe &, const Probe &) = default;
};

using Action = std::variant<Assign, Refuse, Cancel, Probe>;

/// Which of the endpoints that can take a request gets it.
enum class Placement : std::uint8_t {
    LeastLoaded, ///< Leaves the most room for a promised pace.
    /// Where the request's own time and the delay of the answers that run there are least in sum. Answers are short, but a promised
    /// pace may be kept by less.
    LeastAddedTime,
};

/// Tunable parameters.
struct SchedulerOptions
{
    Placement placement = Placement::LeastLoaded;
    double ordinaryFloor = 0.10; ///< Share of generated tokens that ordinary work keeps while it has any.
    /// Probability with which the memory of an engine must suffice, for each assignment. An engine takes thousands of
    /// assignments in a flood: 0.99 gave 0.3 of least-outstanding's preemptions, 0.9997 up to 0.11, 0.99999 less than 0.05.
    double memoryQuantile = 0.99999;
    double paceMargin = 0.95; ///< Share of the promised time between tokens that a step may take.
    /// Share of the promised time between tokens of urgent work that a step may take before ordinary work is added to
    /// the same engine. The rest is for prompts that are read within a step.
    double urgentStepShare = 0.56;
    double urgentReserve = 0.05; ///< Share of batch and memory of an engine that ordinary work leaves free.
    /// Keeps some endpoints for urgent work, so that its steps are short. Of no use where no plan promises a pace that a
    /// full batch does not keep: urgent work would crowd on few endpoints.
    bool reservesEndpoints = true;
    std::chrono::milliseconds reportTimeout{2000}; ///< A report older than this counts as frozen.
    std::chrono::milliseconds probeInterval{1000}; ///< Between probes of one endpoint.
};

/// The scheduler of one cell. Deterministic; thread-compatible.
class Scheduler
{
public:
    Scheduler(SchedulerOptions options, Random random);
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    Scheduler &operator=(Scheduler &&) noexcept;

    /// Replaces the set of endpoints. Running work of an endpoint that is missing or Gone is forgotten.
    void setEndpoints(const std::vector<EndpointInfo> &endpoints, TimePoint now);

    /// Queues a request; the answer comes from `decide`. A request whose id is known already is ignored.
    void submit(const WorkRequest &request, TimePoint now);

    /// The caller left: the request needs no answer any more, whether it is queued or assigned.
    void withdraw(const RequestId &request, TimePoint now);

    /// The first token of an assigned request arrived.
    void onFirstToken(const RequestId &request, TimePoint now);

    /// @param generatedTokens total so far.
    void onProgress(const RequestId &request, std::uint32_t generatedTokens, TimePoint now);

    /// @param generatedTokens total of the answer.
    void onFinished(const RequestId &request, std::uint32_t generatedTokens, FinishReason reason, TimePoint now);

    /// Resync: a request that another owner assigned runs at the endpoint.
    void onRunning(const WorkRequest &request, const EndpointId &endpoint, std::uint32_t generatedTokens, TimePoint now);

    void onLoadReport(const LoadReport &report, TimePoint now);
    void onCacheEvent(const CacheEvent &event, TimePoint now);

    /// @return what to do now, in order. Call it after events and at `nextWake`.
    [[nodiscard]] std::vector<Action> decide(TimePoint now);

    /// @return when `decide` must be called again even if nothing happens; nothing if there is no such time.
    [[nodiscard]] std::optional<TimePoint> nextWake() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
