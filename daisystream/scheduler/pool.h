#pragma once

#include "daisystream/admission/lengthestimator.h"
#include "daisystream/base/clock.h"
#include "daisystream/endpoint/endpointhealth.h"
#include "daisystream/endpoint/endpointload.h"
#include "daisystream/endpoint/prefixindex.h"
#include "daisystream/fairness/fairqueue.h"
#include "daisystream/scheduler/pauseforecast.h"
#include "daisystream/scheduler/scheduler.h"
#include "daisystream/scheduler/waitforecast.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

/// @file
/// The endpoints and requests of one model. This class implements the policy of `Scheduler`.
///
/// Endpoints are either reserved or general; their numbers are adapted to the demand. Reserved endpoints run urgent requests
/// with short decode steps, so that these get their promised token rate whatever else arrives. General endpoints run ordinary
/// requests in large batches. Urgent requests may also use general endpoints, and ordinary requests may use the capacity of
/// reserved endpoints that urgent requests leave free.

namespace daisystream::internal
{

/// Scheduler of the requests and endpoints of one model. Its public functions are those of `Scheduler`. Thread-compatible.
class Pool
{
public:
    Pool(const SchedulerOptions &options, LengthEstimator &lengths, ModelId model);

    /// Replaces the set of endpoints, all of which must run the pool's model.
    void setEndpoints(const std::vector<EndpointInfo> &endpoints, TimePoint now);

    void submit(const WorkRequest &work, TimePoint now);
    void withdraw(const RequestId &id, TimePoint now);
    void onFirstToken(const RequestId &id, TimePoint now);
    void onProgress(const RequestId &id, std::uint32_t generated, TimePoint now);
    void onFinished(const RequestId &id, std::uint32_t generated, FinishReason reason, TimePoint now);
    void onRunning(const WorkRequest &work, const EndpointId &endpoint, std::uint32_t generated, TimePoint now);
    void onLoadReport(const LoadReport &report, TimePoint now);
    void onCacheEvent(const CacheEvent &event);
    void onSlowness(const RequestId &id, double slowness, TimePoint statedAt);

    void decide(TimePoint now, std::vector<Action> &actions);
    [[nodiscard]] std::optional<TimePoint> nextWake() const;

    [[nodiscard]] bool knows(const RequestId &id) const;
    [[nodiscard]] bool hasEndpoint(const EndpointId &id) const;

private:
    using Slot = std::uint32_t;
    using EndpointIndex = std::uint32_t;

    enum class State : std::uint8_t {
        Free,
        Queued,
        Late,       // Cannot meet its deadline; queued behind all requests that can.
        Cancelling, // Its assignment was cancelled; queued again after `kCancelGracePeriod`, when a first token that was under way has arrived.
        Assigned,   // Assigned to an endpoint; the first token has not arrived yet.
        Streaming,  // Assigned to an endpoint; the first token has arrived.
    };

    struct Request
    {
        WorkRequest work;
        State state = State::Free;
        TimePoint firstTokenLimit{}; // The first-token deadline; for a late request, the latest time at which a first token is of use.
        FairQueue::Team team = 0;
        FairQueue::Order order = 0;
        LengthEstimator::Profile profile = 0;
        EndpointIndex endpoint = 0;
        bool wasAssigned = false;
        std::optional<TimePoint> timer;
        EndpointLoad::Work load;
        double reservedTokens = 0; // Tokens that are reserved for it in the fair queue.
        std::uint32_t generated = 0;
        TimePoint lastProgressAt{};
        bool progressSeen = false;                   // Whether progress was reported at this endpoint before, which the measurement of the token rate needs.
        std::uint64_t prefilledTokensAtProgress = 0; // Value of `Endpoint::prefilledTokens` at `lastProgressAt`.
        TimePoint assignedAt{};
        double modelFirstTokenSeconds = 0; // Time to first token by the cost model, without calibration, when it was assigned.
    };

    struct Endpoint
    {
        Endpoint(const EndpointInfo &info, const EndpointHealthOptions &options)
            : load(info)
            , health(options)
        {
        }

        EndpointLoad load;
        EndpointHealth health;
        bool reserved = false;
        bool indexed = false;
        bool frozen = false;
        double score = 0;
        std::optional<TimePoint> timer;
        std::set<Slot> requests;              // Requests that are assigned to the endpoint or streaming.
        TimePoint lastTokenAt{};              // When it last generated a token for any of its answers.
        std::uint32_t incomingCopies = 0;     // Answers whose KV cache is being copied to the endpoint.
        std::uint32_t firstTokenTimeouts = 0; // First tokens that timed out since the last one that arrived.
        std::uint64_t prefilledTokens = 0;    // Prompt tokens that it has prefilled since it was added.
        // Decoding time of own answers in the current measuring window: as measured, and as the cost model predicts it.
        TimePoint windowBegin{};
        double windowSeconds = 0;
        double windowModelSeconds = 0;
        std::uint32_t paceWindows = 0;  // Number of measuring windows that have ended.
        std::optional<double> slowness; // As the endpoint stated it last.
        TimePoint slownessAt{};

        /// @return the stated slowness if it is recent enough to describe the present.
        [[nodiscard]] std::optional<double> currentSlowness(TimePoint now) const;
    };

    using LateItem = std::tuple<Rank, TimePoint, Slot>; // Ordered by rank (urgent first), then by arrival.

    /// What determines whether an answer misses its pace.
    struct PacedWork
    {
        double pace = 0; ///< Promised tokens per second; 0 without a promise.
        std::uint32_t promptTokens = 0;
        double expectedTokens = 0; ///< Expected length of the answer.
    };

    struct Choice
    {
        EndpointIndex endpoint = 0;
        bool prefixCached = false;
    };

    using Index = std::set<std::pair<double, EndpointIndex>>;

    // Requests.
    Request *find(const RequestId &id);
    Slot create(const WorkRequest &work);
    void destroy(Slot slot);
    void setTimer(Slot slot, std::optional<TimePoint> at);
    [[nodiscard]] double lengthLimit(const WorkRequest &work) const;
    void enqueue(Slot slot);
    void dequeue(Slot slot);
    void addToEndpoint(Slot slot, EndpointIndex endpoint, TimePoint now);
    void removeFromEndpoint(Slot slot);
    void cancelAssignment(Slot slot, TimePoint now);
    void refuse(Slot slot, ResultCode code, const char *detail, double waitSeconds, TimePoint now, std::vector<Action> &actions);

    // Endpoints.
    void addEndpoint(const EndpointInfo &info, TimePoint now);
    void removeEndpoint(EndpointIndex index, TimePoint now);
    void reindex(EndpointIndex index);
    void setEndpointTimer(EndpointIndex index, std::optional<TimePoint> at);
    void afterHealthChange(EndpointIndex index, TimePoint now);
    void checkEndpoint(EndpointIndex index, TimePoint now, std::vector<Action> &actions);
    void recordFirstTokenPace(const Request &request, TimePoint now);
    void recordOwnPace(EndpointIndex index, double seconds, double modelSeconds, TimePoint now);

    // Decisions. `ordinaryBelowFloor` is true if an ordinary request is dispatched before queued urgent ones, because ordinary requests
    // get less than their floor.
    void runTimers(TimePoint now, std::vector<Action> &actions);
    void runTimer(Slot slot, TimePoint now, std::vector<Action> &actions);
    void resizeReserved(TimePoint now);
    [[nodiscard]] std::size_t targetReserved() const;
    void changeOneReserved(bool grow);
    void dispatch(TimePoint now, std::vector<Action> &actions);
    void dispatchMoves(TimePoint now, std::vector<Action> &actions);
    bool dispatchMove(std::vector<Slot> &waiting, TimePoint now, std::vector<Action> &actions);
    void endMove(Slot slot);
    [[nodiscard]] std::optional<EndpointIndex> chooseMoveTarget(const Request &request) const;
    bool dispatchHead(Rank rank, bool ordinaryBelowFloor, TimePoint now, std::vector<Action> &actions);
    bool cancelOrdinaryFor(Slot urgent, TimePoint now, std::vector<Action> &actions);
    void refuseUnmeetable(TimePoint now, std::vector<Action> &actions);
    bool refuseWithoutEndpoint(Slot slot, TimePoint now, std::vector<Action> &actions);
    bool refuseIfUnmeetable(const FairQueue::Item &item, TimePoint now, std::vector<Action> &actions);

    // Late requests: those that can no longer meet their deadline, but are still of use to their callers.
    bool queueAsLate(Slot slot, TimePoint now);
    void dispatchLate(TimePoint now, std::vector<Action> &actions);
    [[nodiscard]] double lateWaitSeconds(const Request &request, std::size_t position, TimePoint now) const;
    void updateLateRate(TimePoint now);
    void refuseStarvedLate(TimePoint now, std::vector<Action> &actions);
    [[nodiscard]] double expectedWaitSeconds(const Request &request, double position, TimePoint now) const;
    [[nodiscard]] double idleFirstTokenSeconds(const Request &request) const;
    [[nodiscard]] double slackSeconds(const Request &request, TimePoint now) const;
    [[nodiscard]] std::optional<Choice>
    choose(const Request &request, const MemoryForecast::Contribution &memory, bool ordinaryBelowFloor, TimePoint now) const;
    [[nodiscard]] std::optional<EndpointIndex>
    chooseFrom(const Index &index, const Request &request, const MemoryForecast::Contribution &memory, bool ordinaryBelowFloor, TimePoint now) const;
    [[nodiscard]] bool
    admits(const Endpoint &endpoint, const Request &request, const MemoryForecast::Contribution &memory, bool ordinaryBelowFloor, TimePoint now) const;
    [[nodiscard]] double
    addedMilliseconds(const Endpoint &endpoint, const Request &request, const MemoryForecast::Contribution &memory, double expectedTokens) const;
    [[nodiscard]] double expectedMissedPaces(const Endpoint &endpoint, const Request &request, double expectedTokens, TimePoint now) const;
    [[nodiscard]] double ownMissProbability(const Endpoint &endpoint, const PacedWork &work) const;
    [[nodiscard]] static PacedWork pacedWork(const Request &request, double expectedTokens);
    void recordOwnMisses(const Endpoint &endpoint, const Request &request, double expectedTokens);
    [[nodiscard]] bool isLongAndPaced(const Request &request, double expectedTokens) const;
    void countPrompt(TimePoint now);
    [[nodiscard]] bool keepsPace(const Endpoint &endpoint, const WorkRequest &work, bool ordinaryBelowFloor, TimePoint now) const;
    [[nodiscard]] bool keepsUrgentFirstToken(const Endpoint &endpoint, const WorkRequest &work) const;
    void assign(Slot slot, const Choice &choice, const MemoryForecast::Contribution &memory, TimePoint now, std::vector<Action> &actions);

    SchedulerOptions options_;
    LengthEstimator &lengths_;
    ModelId model_;
    double memoryDeviations_;
    FairQueue queue_;
    WaitForecast waitForecast_;
    PrefixIndex prefixes_;

    std::unordered_map<RequestId, Slot> requestIndex_;
    std::deque<Request> requests_;
    std::vector<Slot> freeSlots_;
    std::set<std::pair<TimePoint, Slot>> timers_;
    std::set<std::pair<TimePoint, Slot>> ordinaryAwaiting_; // Ordinary requests without a first token, ordered by time of assignment.
    std::vector<Slot> newlyQueued_;                         // Requests that were queued since the last decision.
    FairQueue::Order nextOrder_ = 0;
    std::set<LateItem> lateRequests_;
    double lateDispatched_ = 0;                                    // Number of late requests that were assigned recently, with exponential decay.
    double lateWaitingSeconds_ = 0;                                // Recent time in which late requests were waiting, with the same decay.
    TimePoint lateRateUpdatedAt_{};                                // When these two values were last updated.
    std::unordered_map<FairQueue::Team, TimePoint> latestRetryAt_; // Latest retry time that was given to a caller of the team.

    /// Answers that have to move away from one endpoint. All copies use the link of that endpoint, so they are made one at a time.
    struct Evacuation
    {
        std::vector<Slot> waiting;
        std::optional<Slot> copying;
        TimePoint copyingSince{};
    };
    std::map<EndpointId, Evacuation> evacuations_;

    std::unordered_map<EndpointId, EndpointIndex> endpointIndex_;
    std::vector<std::unique_ptr<Endpoint>> endpoints_;
    std::vector<EndpointIndex> freeEndpoints_;
    Index reserved_; // Reserved endpoints that accept work, ordered by load.
    Index general_;  // General endpoints that accept work, ordered by load.
    std::set<std::pair<TimePoint, EndpointIndex>> endpointTimers_;
    std::size_t frozenEndpoints_ = 0;
    double typicalCalibration_ = 1.0;
    SlownessDistribution slowness_;
    PacedWork latestPaced_;       // The latest assigned request with a promised pace.
    double ownMisses_ = 0;        // Moving average of the probability with which such requests miss it where they are assigned.
    double promptsPerSecond_ = 0; // Assigned prompts, as a moving average.
    TimePoint promptsUpdatedAt_{};
    std::uint64_t calibrationReports_ = 0;

    double urgentPaceTokensPerSecond_ = 0; // Promised token rate of the latest urgent request, in tokens per second.
    std::optional<TimePoint> lastUrgentAt_;
    std::optional<TimePoint> lastRepeatableAt_; // When the latest request with `mayRepeat` was submitted.
    TimePoint resizedAt_{};
    TimePoint shrinkAllowedAt_{};
    double meanAnswerTokens_ = 256;      // Mean length of recent answers.
    std::vector<Action> pendingActions_; // Actions that the next `decide` returns.
    TimePoint lastDecisionAt_{};
};

} // namespace daisystream::internal
