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
/// The scheduler of one cell: it queues requests, assigns them to endpoints and refuses those that it cannot serve.
/// The owner of the cell reports events to it and carries out the actions that `decide` returns.
///
/// Contract: for each submitted request, `decide` returns either exactly one `Refuse` or an `Assign`. A `Cancel` revokes an
/// `Assign` whose request has no first token yet; the scheduler then queues the request again and decides on it anew. If
/// the first token arrives while the `Cancel` is under way, the request keeps running: the caller ignores the `Cancel` and
/// reports the first token. The caller reports any other end of an assigned request through `onFinished`.
///
/// Example:
/// @code
///   Scheduler scheduler(SchedulerOptions{}, Random(seed));
///   scheduler.setEndpoints(endpoints, now);
///   scheduler.submit(request, now);
///   for (const Action &action : scheduler.decide(now)) {
///       std::visit(carryOut, action);
///   }
///   timer.expiresAt(scheduler.nextWake()); // Call decide() again at that time, and after every event.
/// @endcode

namespace daisystream
{

/// The endpoint on which an answer is being generated.
struct RunningAt
{
    EndpointId endpoint;
    ZoneId zone; ///< Zone of the endpoint. Copying memory within a zone is twice as fast as to another zone.

    friend auto operator<=>(const RunningAt &, const RunningAt &) = default;
};

/// A request that needs an endpoint, with all that the scheduler has to know of it.
struct WorkRequest
{
    RequestId id;
    TeamId team;
    VmId entry; ///< The entry VM, to which the caller is connected.
    Rank rank = Rank::Ordinary;
    ModelId model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0; ///< Limit of the answer's length; 0 if the request sets none.
    double weight = 1.0;               ///< Weight of the team in fair queueing, from its plan.
    double paceTokensPerSecond = 0;    ///< Token rate that the plan promises; 0 if it promises none.
    TimePoint firstTokenDeadline{};    ///< Arrival time plus the promised time to first token.
    /// Latest time, after `firstTokenDeadline`, at which a first token is still of use to the caller. A request that cannot meet
    /// its deadline then waits behind all requests that can still meet theirs. If not set, the request is refused as soon as
    /// its deadline cannot be met.
    std::optional<TimePoint> lastUsefulFirstToken{};
    TimePoint arrival{};
    std::uint64_t prefixHash = 0;         ///< Hash of the first block of the prompt, to find cached prefixes; 0 if there is none.
    std::string lengthClass{};            ///< Name of a group of requests with answers of similar length; if empty, the team is the group.
    std::optional<RunningAt> movesFrom{}; ///< If set, the answer is running there and has to move, with its KV cache, to another endpoint.
    std::uint32_t heldTokens = 0;         ///< Number of tokens that were generated before the move.
    bool mayRepeat = true;                ///< Whether the request may be run again elsewhere if its endpoint fails before the answer is complete.
    std::optional<EndpointId> avoids{};   ///< The endpoint at which the request has just failed.
    std::vector<EndpointId> barred{};     ///< Endpoints that accept no requests from the entry VM at present.
    bool mayMove = true;                  ///< Whether the scheduler may cancel the request before its first token and assign it to another endpoint.

    /// @return the latest time at which a first token is of use to the caller.
    [[nodiscard]] TimePoint latestFirstToken() const
    {
        return std::max(firstTokenDeadline, lastUsefulFirstToken.value_or(firstTokenDeadline));
    }

    friend auto operator<=>(const WorkRequest &, const WorkRequest &) = default;
};

/// Why a running request ended.
enum class FinishReason : std::uint8_t {
    Complete,  ///< The engine generated the answer to its end.
    Cancelled, ///< The caller disconnected or the request was cancelled.
    Failed,    ///< The endpoint failed.
    MovedAway, ///< The request was taken from this endpoint before its first token and submitted elsewhere.
};

/// State on which an assignment was based, for the log line of the decision.
struct AssignmentDetails
{
    std::uint32_t queuedUrgent = 0;
    std::uint32_t queuedOrdinary = 0;
    std::uint32_t running = 0;                ///< Answers that the endpoint ran before this assignment.
    double forecastMemory = 0;                ///< Forecast peak of used memory after this assignment, as a share of the endpoint's capacity.
    double stepMilliseconds = 0;              ///< Expected duration of a decode step after this assignment.
    std::chrono::microseconds waited{};       ///< Time in the queue.
    std::chrono::microseconds firstTokenIn{}; ///< Expected time from now to the first token.
    double expectedTokens = 0;                ///< Expected length of the answer.
    bool prefixCached = false;                ///< Whether the endpoint was chosen because it has the prefix of the prompt in its cache.
    double expectedMisses = 0;                ///< Expected number of answers that miss their promised pace because of this assignment.
    double calibration = 1;                   ///< Pace of the endpoint: duration of a step relative to the cost model.
    std::optional<double> slowness{};         ///< Latest slowness that the endpoint stated.
    std::chrono::microseconds slownessAge{};  ///< Its age; 0 without a statement.

    friend auto operator<=>(const AssignmentDetails &, const AssignmentDetails &) = default;
};

/// Tells the owner to send the request to the endpoint now.
struct Assign
{
    RequestId request;
    EndpointId endpoint;
    std::uint8_t priority = 0; ///< Priority for the engine's own queue; lower values go first.
    AssignmentDetails figures{};

    friend auto operator<=>(const Assign &, const Assign &) = default;
};

/// Tells the owner not to run the request. The error has the reason and the time after which to retry.
struct Refuse
{
    RequestId request;
    Error error;

    friend auto operator<=>(const Refuse &, const Refuse &) = default;
};

/// Revokes the assignment of a request that has no first token yet. The scheduler queues the request again.
struct Cancel
{
    RequestId request;
    EndpointId endpoint;

    friend auto operator<=>(const Cancel &, const Cancel &) = default;
};

/// Asks for a new load report of an endpoint that is assigned no work because it seemed slow or sent no reports.
struct Probe
{
    EndpointId endpoint;

    friend auto operator<=>(const Probe &, const Probe &) = default;
};

using Action = std::variant<Assign, Refuse, Cancel, Probe>;

/// How to choose among the endpoints that can take a request.
enum class Placement : std::uint8_t {
    LeastLoaded, ///< The endpoint with the least load, which leaves the largest margin to a promised token rate.
    /// The endpoint with the smallest sum of the request's own time and of the delay to the answers that run there. Answers are
    /// complete sooner, but the margin to a promised token rate may be smaller.
    LeastAddedTime,
};

/// Parameters of `Scheduler`.
struct SchedulerOptions
{
    Placement placement = Placement::LeastLoaded;
    double ordinaryFloor = 0.10; ///< Share of the generated tokens that ordinary requests get at least while some are queued.
    /// Probability with which the memory of an engine must suffice, for each assignment. It has to be close to 1, since an
    /// engine gets thousands of assignments during an overload: relative to least-outstanding routing, there were 0.3 times the
    /// preemptions with 0.99, up to 0.11 times with 0.9997, and less than 0.05 times with 0.99999.
    double memoryQuantile = 0.99999;
    double paceMargin = 0.95; ///< Largest duration of a decode step, as a share of the promised time between tokens.
    /// Decode step duration for which reserved endpoints are sized, as a share of the promised time between tokens of urgent
    /// requests. The rest of that time is for the prefill that an engine does within a step.
    double urgentStepShare = 0.56;
    double urgentReserve = 0.05; ///< Share of the batch and the memory of an engine that ordinary requests must leave free for urgent ones.
    /// Whether to reserve some endpoints for urgent requests, which keeps their decode steps short. Not useful if a full batch
    /// keeps every token rate that a plan promises: urgent requests would then be concentrated on few endpoints.
    bool reservesEndpoints = true;
    /// Whether `Placement::LeastAddedTime` counts answers that are expected to miss their promised pace while a prompt is prefilled.
    bool forecastsMissedPace = true;
    std::chrono::milliseconds reportTimeout{2000}; ///< A load report older than this is treated as frozen, that is, as telling nothing about the endpoint.
    std::chrono::milliseconds probeInterval{1000}; ///< Time between two probes of the same endpoint.
};

/// Schedules the requests of one cell, separately for each model. Deterministic for a given sequence of calls; thread-compatible.
class Scheduler
{
public:
    Scheduler(SchedulerOptions options, Random random);
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    Scheduler &operator=(Scheduler &&) noexcept;

    /// Replaces the set of endpoints. For an endpoint that is missing or `Gone`, the scheduler queues requests without a first
    /// token again if they have `mayMove`, and drops its record of all others.
    void setEndpoints(const std::vector<EndpointInfo> &endpoints, TimePoint now);

    /// Queues a request; a later `decide` returns the action for it. A request whose id is already known is ignored.
    void submit(const WorkRequest &request, TimePoint now);

    /// Drops a request, queued or assigned, whose caller has disconnected.
    void withdraw(const RequestId &request, TimePoint now);

    /// Records that the first token of an assigned request arrived.
    void onFirstToken(const RequestId &request, TimePoint now);

    /// Records how slow the engine of an assigned request is, as the engine stated it.
    /// @param slowness duration of work relative to the engine's usual pace.
    /// @param statedAt when the engine stated it, which may be long before the first token.
    void onSlowness(const RequestId &request, double slowness, TimePoint statedAt);

    /// Records how far the answer of a request is.
    /// @param generatedTokens total number of tokens that were generated so far.
    void onProgress(const RequestId &request, std::uint32_t generatedTokens, TimePoint now);

    /// Records that a request has ended and no longer occupies its endpoint.
    /// @param generatedTokens number of tokens of the whole answer.
    void onFinished(const RequestId &request, std::uint32_t generatedTokens, FinishReason reason, TimePoint now);

    /// Records a running request that another owner of the cell assigned. Used when this owner rebuilds its state.
    /// @param generatedTokens number of tokens that were generated so far; 0 if there is no first token yet.
    void onRunning(const WorkRequest &request, const EndpointId &endpoint, std::uint32_t generatedTokens, TimePoint now);

    /// Records a load report. A report of an unknown endpoint is ignored.
    void onLoadReport(const LoadReport &report, TimePoint now);

    /// Records that an endpoint added a prefix to its cache or evicted it. An event of an unknown endpoint is ignored.
    void onCacheEvent(const CacheEvent &event, TimePoint now);

    /// Decides on queued requests and on endpoints. Has to be called after events and at `nextWake`.
    /// @return the actions that the owner has to carry out now, in this order.
    [[nodiscard]] std::vector<Action> decide(TimePoint now);

    /// @return the time at which `decide` must be called again even without an event; nothing if an event is needed first.
    [[nodiscard]] std::optional<TimePoint> nextWake() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
