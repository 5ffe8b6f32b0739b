#pragma once

#include "daisystream/admission/lengthestimator.h"
#include "daisystream/base/clock.h"
#include "daisystream/endpoint/endpointhealth.h"
#include "daisystream/endpoint/endpointload.h"
#include "daisystream/endpoint/prefixindex.h"
#include "daisystream/fairness/fairqueue.h"
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
/// The endpoints and requests of one model: the policy behind `Scheduler`.
///
/// Endpoints are of two kinds, which change with demand. Reserved ones run urgent work with a short decode step, so that
/// it is served at its pace whatever else arrives; general ones run ordinary work in large batches. Urgent work may
/// use general endpoints and ordinary work may use what reserved ones can spare.

namespace daisystream::internal
{

/// Thread-compatible.
class Pool
{
public:
    Pool(const SchedulerOptions &options, LengthEstimator &lengths, ModelId model);

    /// Replaces the endpoints; all run the pool's model.
    void setEndpoints(const std::vector<EndpointInfo> &endpoints, TimePoint now);

    void submit(const WorkRequest &work, TimePoint now);
    void withdraw(const RequestId &id, TimePoint now);
    void onFirstToken(const RequestId &id, TimePoint now);
    void onProgress(const RequestId &id, std::uint32_t generated, TimePoint now);
    void onFinished(const RequestId &id, std::uint32_t generated, FinishReason reason, TimePoint now);
    void onRunning(const WorkRequest &work, const EndpointId &endpoint, std::uint32_t generated, TimePoint now);
    void onLoadReport(const LoadReport &report, TimePoint now);
    void onCacheEvent(const CacheEvent &event);

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
        Overdue,   // Queued behind all that can be in time.
        Held,      // Taken back from an endpoint; queued again when the first token can no longer cross the Cancel.
        Assigned,  // Without first token.
        Streaming, // With first token.
    };

    struct Request
    {
        WorkRequest work;
        State state = State::Free;
        TimePoint firstTokenLimit{}; // The promised time of its first token; once it is overdue, the last useful one.
        FairQueue::Team team = 0;
        FairQueue::Order order = 0;
        LengthEstimator::Profile profile = 0;
        EndpointIndex endpoint = 0;
        bool wasAssigned = false;
        std::optional<TimePoint> timer;
        EndpointLoad::Work load;
        double expected = 0; // Tokens charged ahead in the fair queue.
        std::uint32_t generated = 0;
        TimePoint progressAt{};
        bool paceCounts = false;           // Set by the first report of progress at the present endpoint.
        std::uint64_t promptsReadThen = 0; // `Endpoint::promptsRead` at `progressAt`.
        TimePoint assignedAt{};
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
        std::set<Slot> requests;       // Assigned or streaming here.
        TimePoint tokenAt{};           // Last sign of progress.
        std::uint32_t incoming = 0;    // Answers whose memory is being copied here.
        std::uint32_t overdue = 0;     // Overdue first tokens since the last first token.
        std::uint64_t promptsRead = 0; // Tokens of prompts that were read, since it is known.
        // Progress of own answers in the present measuring window, as measured and as the cost model has it.
        TimePoint windowBegin{};
        double windowSeconds = 0;
        double windowModelSeconds = 0;
        std::uint32_t paceWindows = 0; // Measuring windows so far.
    };

    using OverdueItem = std::tuple<Rank, TimePoint, Slot>; // Urgent ones first, then by arrival.

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
    void attach(Slot slot, EndpointIndex endpoint, TimePoint now);
    void detach(Slot slot);
    void takeBack(Slot slot, TimePoint now);
    void refuse(Slot slot, ResultCode code, const char *detail, double wait, TimePoint now, std::vector<Action> &actions);

    // Endpoints.
    void addEndpoint(const EndpointInfo &info, TimePoint now);
    void removeEndpoint(EndpointIndex index, TimePoint now);
    void reindex(EndpointIndex index);
    void setEndpointTimer(EndpointIndex index, std::optional<TimePoint> at);
    void afterHealthChange(EndpointIndex index, TimePoint now);
    void checkEndpoint(EndpointIndex index, TimePoint now, std::vector<Action> &actions);
    void noteOwnPace(EndpointIndex index, double seconds, double modelSeconds, TimePoint now);

    // Decisions.
    void runTimers(TimePoint now, std::vector<Action> &actions);
    void runTimer(Slot slot, TimePoint now, std::vector<Action> &actions);
    void resizeReserved(TimePoint now);
    [[nodiscard]] std::size_t wantedReserved() const;
    void changeReserved(bool grow);
    void dispatch(TimePoint now, std::vector<Action> &actions);
    void dispatchMoves(TimePoint now, std::vector<Action> &actions);
    bool dispatchMove(std::vector<Slot> &waiting, TimePoint now, std::vector<Action> &actions);
    void endMove(Slot slot);
    [[nodiscard]] std::optional<EndpointIndex> chooseMoveTarget(const Request &request) const;
    bool dispatchHead(Rank rank, bool floorTurn, TimePoint now, std::vector<Action> &actions);
    bool shedFor(Slot urgent, TimePoint now, std::vector<Action> &actions);
    void refuseHopeless(TimePoint now, std::vector<Action> &actions);
    bool refuseWithoutEndpoint(Slot slot, TimePoint now, std::vector<Action> &actions);
    bool refuseIfHopeless(const FairQueue::Item &item, TimePoint now, std::vector<Action> &actions);

    // Requests that cannot be in time any more.
    bool makeOverdue(Slot slot, TimePoint now);
    void dispatchOverdue(TimePoint now, std::vector<Action> &actions);
    [[nodiscard]] double overdueWait(const Request &request, std::size_t position, TimePoint now) const;
    void noteOverdueTime(TimePoint now);
    void refuseOverdueInVain(TimePoint now, std::vector<Action> &actions);
    [[nodiscard]] double waitOf(const Request &request, double position, TimePoint now) const;
    [[nodiscard]] double idleFirstTokenSeconds(const Request &request) const;
    [[nodiscard]] double slackOf(const Request &request, TimePoint now) const;
    [[nodiscard]] std::optional<Choice> choose(const Request &request, const MemoryForecast::Contribution &memory, bool floorTurn, TimePoint now) const;
    [[nodiscard]] std::optional<EndpointIndex>
    chooseFrom(const Index &index, const Request &request, const MemoryForecast::Contribution &memory, bool floorTurn, TimePoint now) const;
    [[nodiscard]] bool
    admits(const Endpoint &endpoint, const Request &request, const MemoryForecast::Contribution &memory, bool floorTurn, TimePoint now) const;
    [[nodiscard]] double
    addedMilliseconds(const Endpoint &endpoint, const Request &request, const MemoryForecast::Contribution &memory, double expectedTokens) const;
    [[nodiscard]] bool keepsPace(const Endpoint &endpoint, const WorkRequest &work, bool floorTurn, TimePoint now) const;
    [[nodiscard]] bool sparesUrgent(const Endpoint &endpoint, const WorkRequest &work) const;
    void assign(Slot slot, const Choice &choice, const MemoryForecast::Contribution &memory, TimePoint now, std::vector<Action> &actions);

    SchedulerOptions options_;
    LengthEstimator &lengths_;
    ModelId model_;
    double deviations_;
    FairQueue queue_;
    WaitForecast waits_;
    PrefixIndex prefixes_;

    std::unordered_map<RequestId, Slot> requestIndex_;
    std::deque<Request> requests_;
    std::vector<Slot> freeSlots_;
    std::set<std::pair<TimePoint, Slot>> timers_;
    std::set<std::pair<TimePoint, Slot>> ordinaryAwaiting_; // Ordinary requests without first token, by assignment.
    std::vector<Slot> fresh_;                               // Submitted since the last decision.
    FairQueue::Order nextOrder_ = 0;
    std::set<OverdueItem> overdue_;
    double overdueServed_ = 0;                               // Overdue requests that were served lately, and
    double overdueSeconds_ = 0;                              // the time for which some have waited lately.
    TimePoint overdueAt_{};                                  // Until when that is counted.
    std::unordered_map<FairQueue::Team, TimePoint> retryAt_; // Latest retry time that the team was told.

    /// Answers that leave one endpoint. Copies share its link, so that they go one after the other.
    struct Departure
    {
        std::vector<Slot> waiting;
        std::optional<Slot> copying;
        TimePoint copyingSince{};
    };
    std::map<EndpointId, Departure> departures_;

    std::unordered_map<EndpointId, EndpointIndex> endpointIndex_;
    std::vector<std::unique_ptr<Endpoint>> endpoints_;
    std::vector<EndpointIndex> freeEndpoints_;
    Index reserved_; // Usable endpoints by load.
    Index general_;
    std::set<std::pair<TimePoint, EndpointIndex>> endpointTimers_;
    std::size_t frozen_ = 0;
    double typicalCalibration_ = 1.0;
    std::uint64_t calibrationReports_ = 0;

    double urgentPace_ = 0; // Promised tokens a second of the latest urgent request.
    std::optional<TimePoint> urgentSeenAt_;
    std::optional<TimePoint> repeatableSeenAt_; // The latest request that a failure would not lose.
    TimePoint resizedAt_{};
    TimePoint shrinkAllowedAt_{};
    double meanTokens_ = 256;     // Of recent answers.
    std::vector<Action> pending_; // Actions that arose outside of `decide`.
    TimePoint decidedAt_{};
};

} // namespace daisystream::internal
