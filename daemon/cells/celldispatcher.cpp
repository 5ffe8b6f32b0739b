#include "daemon/cells/celldispatcher.h"

#include "daisystream/base/overloaded.h"
#include "daisystream/cell/asktracker.h"
#include "daisystream/membership/processtable.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>

namespace daisystream
{

namespace asio = boost::asio;

namespace
{

constexpr auto kProgressInterval = std::chrono::seconds(1);
// Time without requests after which this VM deletes the scheduler of a cell that it does not own. It creates such a scheduler
// when it decides in place of an owner that does not reply.
constexpr auto kStandInIdleTimeout = std::chrono::seconds(30);
// Disables the report timeout in gateway mode: engines are asked for their load only when they are suspected of a failure, so
// the age of a report says nothing about its engine.
constexpr auto kNoReportTimeout = std::chrono::hours(24 * 365);
// After the owner has cancelled an assignment, the code that serves the caller calls `ask` again at once. If it has not done so
// within this time, the request is withdrawn and loses its place in the owner's queue.
constexpr auto kReassignTimeout = std::chrono::seconds(5);
// An answer without progress is reported at this interval, so that its owner knows that it runs.
constexpr auto kMaxReportInterval = std::chrono::seconds(2);
// After this time without a report, an owner asks whether a request still runs, and does so again at the interval.
constexpr auto kCheckAfter = std::chrono::seconds(3);
constexpr auto kCheckInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxChecked = 200; // Requests in one message.
// Upper bound of the timer's delay. `nextWake` of the scheduler and of the ask tracker does not cover all timeouts.
constexpr auto kMaxTimerDelay = std::chrono::milliseconds(250);

SchedulerOptions schedulerOptionsFor(const Settings &settings)
{
    SchedulerOptions options;
    if (settings.gateway) {
        options.memoryQuantile = settings.gateway->memoryQuantile;
        options.urgentReserve = settings.gateway->urgentReserve;
        options.reservesEndpoints = false;
        options.placement = Placement::LeastAddedTime;
        options.reportTimeout = kNoReportTimeout;
    }
    return options;
}

/// A request that a caller sent to this VM, which is its entry VM.
struct LocalRequest
{
    enum class State : std::uint8_t {
        Asked,               ///< An owner was asked for an endpoint and has not decided yet.
        DecidedLocally,      ///< No owner replied; the scheduler of this VM decides.
        Assigned,            ///< The request has an endpoint.
        AssignmentCancelled, ///< The owner cancelled the assignment, and `ask` has not been called again yet.
    };

    WorkRequest work;
    CellId cell;
    State state = State::Asked;
    Dispatcher::AskHandler handler;
    VmId owner; ///< The VM that receives progress reports once the request is assigned.
    EndpointId endpoint;
    std::uint32_t tokens = 0;         ///< Generated so far.
    std::uint32_t reportedTokens = 0; ///< Value of `tokens` in the last report to the owner.
    TimePoint reportedAt{};           ///< When the owner assigned the endpoint or was last told that the request runs.
    bool hasFirstToken = false;
    TimePoint cancelledAt{};
    std::optional<Result<Assign>> earlyReply; ///< The owner's next decision, if it arrives before `ask` is called again.
};

/// Data about a request that a cell's owner keeps in addition to the scheduler's.
struct TrackedRequest
{
    VmId entry;
    TeamId team;
    Rank rank = Rank::Ordinary;
    EndpointId endpoint; ///< Empty while queued.
    TimePoint heardAt{}; ///< When the entry VM last mentioned the request, or the endpoint was assigned.
};

/// A cell whose requests this VM schedules, as its owner or in place of an owner that does not reply.
struct ScheduledCell
{
    ScheduledCell(SchedulerOptions options, Random random)
        : scheduler(options, random)
    {
    }

    Scheduler scheduler;
    std::map<RequestId, TrackedRequest> requests;
    TimePoint lastUsed{};
};

/// Messages and callbacks that were queued under the lock. They are sent and called after it is released, in order.
struct Outbox
{
    std::vector<std::pair<VmId, PeerMessage>> messages;
    std::vector<std::function<void()>> calls;

    [[nodiscard]] bool empty() const
    {
        return messages.empty() && calls.empty();
    }
};

} // namespace

class CellDispatcher::Private : public std::enable_shared_from_this<CellDispatcher::Private>
{
public:
    Private(asio::io_context &context, const Settings &settings, const Clock &source, Metrics &metrics, Sender send, std::uint64_t seed)
        : io(context)
        , self(settings.vm)
        , endpoints(settings.endpoints)
        , schedulerOptions(schedulerOptionsFor(settings))
        , stepCost(settings.gateway ? settings.gateway->stepCost : StepCost{})
        , clock(source)
        , sender(std::move(send))
        , assigned(metrics.counter("daisystream_assigned_total", "Requests of this VM's callers that got an endpoint."))
        , decidedAlone(metrics.counter("daisystream_decided_alone_total", "Requests for which no owner replied."))
        , resyncs(metrics.counter("daisystream_resync_total", "Answers reported to a new owner of their cell."))
        , heldWithoutNews(metrics.gauge("daisystream_held_without_news",
                                        "Requests that count as running in this VM's cells and that their VMs have not mentioned for 3 s."))
        , metrics(metrics)
        , random(seed)
        , cells(CellMapOptions{})
        , askTracker(AskTrackerOptions{})
        , vms{settings.vm}
        , timer(context)
    {
        cells.setVms(vms);
        applyEndpoints();
    }

    /// Runs a function under the lock, then delivers the contents of the outbox.
    /// @param change is called with the current time.
    template<class Change>
    void apply(Change change)
    {
        {
            const std::lock_guard lock(mutex);
            change(clock.now());
        }
        flush();
    }

    /// Delivers the contents of the outbox. Only one thread at a time does so, which preserves the order of the messages.
    void flush()
    {
        for (;;) {
            Outbox pending;
            {
                const std::lock_guard lock(mutex);
                if (delivering || outbox.empty()) {
                    return;
                }
                delivering = true;
                std::swap(pending, outbox);
            }
            for (const auto &[to, message] : pending.messages) {
                sender(to, message);
            }
            for (auto &call : pending.calls) {
                asio::post(io, std::move(call));
            }
            const std::lock_guard lock(mutex);
            delivering = false;
        }
    }

    // The caller of each function below holds the lock, except where stated.

    void applyEndpoints()
    {
        const auto now = clock.now();
        std::vector<EndpointInfo> infos;
        for (const auto &endpoint : endpoints) {
            if (endpoint.kind != EndpointKind::Engine) {
                continue;
            }
            EndpointInfo info;
            info.id = endpoint.id;
            info.model = endpoint.model;
            info.zone = endpoint.zone;
            info.memoryCapacityTokens = endpoint.memoryTokens;
            info.maxBatch = endpoint.slots > 0 ? endpoint.slots : info.maxBatch;
            info.stepCost = stepCost;
            info.state = stateOf(endpoint.id);
            infos.push_back(std::move(info));
        }
        cells.setEndpoints(infos);
        for (auto &[id, cell] : scheduledCells) {
            cell.scheduler.setEndpoints(cells.endpointsOf(id), now);
        }
        decideAll(now);
    }

    void replaceEndpoints(std::set<EndpointId> &target, const std::vector<EndpointId> &endpointIds)
    {
        std::set<EndpointId> replaced(endpointIds.begin(), endpointIds.end());
        if (replaced != target) {
            target = std::move(replaced);
            applyEndpoints();
        }
    }

    [[nodiscard]] EndpointState stateOf(const EndpointId &endpoint) const
    {
        const bool getsNoWork = draining.contains(endpoint) || leaving.contains(endpoint) || withdrawn.contains(endpoint);
        return getsNoWork ? EndpointState::Draining : EndpointState::InService;
    }

    ScheduledCell &findOrCreateCell(const CellId &id, TimePoint now)
    {
        auto found = scheduledCells.find(id);
        if (found == scheduledCells.end()) {
            found = scheduledCells.try_emplace(id, schedulerOptions, Random(random.bits())).first;
            found->second.scheduler.setEndpoints(cells.endpointsOf(id), now);
        }
        found->second.lastUsed = now;
        return found->second;
    }

    [[nodiscard]] bool isOwner(const CellId &cell) const
    {
        const auto &owners = cells.owners(cell);
        return !owners.empty() && owners.front() == self;
    }

    void enqueueMessage(const VmId &to, PeerMessage message)
    {
        outbox.messages.emplace_back(to, std::move(message));
    }

    void submit(const CellId &id, const WorkRequest &work, TimePoint now)
    {
        ScheduledCell &cell = findOrCreateCell(id, now);
        cell.requests.try_emplace(work.id, TrackedRequest{.entry = work.entry, .team = work.team, .rank = work.rank, .endpoint = {}});
        cell.scheduler.submit(work, now);
        decide(id, now);
    }

    [[nodiscard]] bool isQueued(const CellId &id, const RequestId &request) const
    {
        const auto cell = scheduledCells.find(id);
        if (cell == scheduledCells.end()) {
            return false;
        }
        const auto found = cell->second.requests.find(request);
        return found != cell->second.requests.end() && found->second.endpoint.empty();
    }

    void decideAll(TimePoint now)
    {
        std::vector<CellId> ids;
        for (const auto &entry : scheduledCells) {
            ids.push_back(entry.first);
        }
        for (const auto &id : ids) {
            decide(id, now);
        }
    }

    void decide(const CellId &id, TimePoint now)
    {
        const auto found = scheduledCells.find(id);
        if (found == scheduledCells.end()) {
            return;
        }
        for (const Action &action : found->second.scheduler.decide(now)) {
            std::visit([&](const auto &chosen) { carryOut(id, found->second, chosen, now); }, action);
        }
    }

    void carryOut(const CellId &id, ScheduledCell &cell, const Assign &assign, TimePoint now)
    {
        const auto found = cell.requests.find(assign.request);
        if (found == cell.requests.end()) {
            return;
        }
        found->second.endpoint = assign.endpoint;
        found->second.heardAt = now;
        const VmId entry = found->second.entry;
        LOG(INFO) << "decision=assign request=" << assign.request << " team=" << found->second.team << " rank=" << toString(found->second.rank)
                  << " choice=" << assign.endpoint << " reason=" << (isOwner(id) ? "owner" : "stand_in") << " cell=" << id << " entry=" << entry
                  << " priority=" << static_cast<int>(assign.priority) << " queued_urgent=" << assign.figures.queuedUrgent
                  << " queued_ordinary=" << assign.figures.queuedOrdinary << " running=" << assign.figures.running
                  << " forecast_memory=" << assign.figures.forecastMemory << " step_ms=" << assign.figures.stepMilliseconds
                  << " waited_us=" << assign.figures.waited.count() << " first_token_us=" << assign.figures.firstTokenIn.count()
                  << " expected_tokens=" << assign.figures.expectedTokens << " prefix=" << assign.figures.prefixCached
                  << " expected_misses=" << assign.figures.expectedMisses << " pace=" << assign.figures.calibration
                  << " slowness=" << assign.figures.slowness.value_or(0) << " slowness_age_us=" << assign.figures.slownessAge.count();
        if (entry == self) {
            onAssign(id, self, assign, now);
        } else {
            enqueueMessage(entry, AssignMessage{.cell = id, .assign = assign});
        }
    }

    void carryOut(const CellId &id, ScheduledCell &cell, const Refuse &refuse, TimePoint now)
    {
        const auto found = cell.requests.find(refuse.request);
        if (found == cell.requests.end()) {
            return;
        }
        const TrackedRequest request = found->second;
        cell.requests.erase(found);
        LOG(INFO) << "decision=refuse request=" << refuse.request << " team=" << request.team << " rank=" << toString(request.rank)
                  << " choice=none reason=" << toString(refuse.error.code) << " cell=" << id << " entry=" << request.entry
                  << " retry_ms=" << (refuse.error.retryAfter ? refuse.error.retryAfter->count() : -1);
        if (request.entry == self) {
            onRefuse(id, self, refuse, now);
        } else {
            enqueueMessage(request.entry, RefuseMessage{.cell = id, .refuse = refuse});
        }
    }

    void carryOut(const CellId &id, ScheduledCell &cell, const Cancel &cancel, TimePoint /*now*/)
    {
        const auto found = cell.requests.find(cancel.request);
        if (found == cell.requests.end()) {
            return;
        }
        found->second.endpoint = {};
        LOG(INFO) << "decision=cancel request=" << cancel.request << " team=" << found->second.team << " rank=" << toString(found->second.rank)
                  << " choice=" << cancel.endpoint << " reason=before_first_token cell=" << id << " entry=" << found->second.entry;
        if (found->second.entry == self) {
            onCancel(cancel);
        } else {
            enqueueMessage(found->second.entry, CancelMessage{.cell = id, .cancel = cancel});
        }
    }

    void carryOut(const CellId &id, ScheduledCell & /*cell*/, const Probe &probe, TimePoint /*now*/)
    {
        // Without a handler, every engine of the cell is polled periodically, and its next report serves as the result of the probe.
        const auto engine = std::find_if(endpoints.begin(), endpoints.end(), [&](const auto &candidate) { return candidate.id == probe.endpoint; });
        if (probeHandler && engine != endpoints.end()) {
            outbox.calls.emplace_back([handler = probeHandler, engine = *engine] { handler(engine); });
        }
        LOG(INFO) << "decision=probe choice=" << probe.endpoint << " reason=slow_or_frozen cell=" << id;
    }

    // Functions of the entry VM.

    void carryOut(const std::vector<AskAction> &actions, TimePoint now)
    {
        for (const AskAction &action : actions) {
            std::visit(Overloaded{
                           [&](const SendAsk &ask) { sendAsk(ask, now); },
                           [&](const SendWithdraw &ask) { sendToOwner(ask.owner, WithdrawMessage{.cell = ask.cell, .request = ask.request}, now); },
                           [&](const SendAssignNotUsed &unused) {
                               sendToOwner(unused.owner,
                                           DoneMessage{.cell = unused.cell, .request = unused.request, .tokens = 0, .reason = FinishReason::MovedAway},
                                           now);
                           },
                           [&](const DecideLocally &alone) { decideAlone(alone, now); },
                           [&](const CompleteAsk &settled) { settle(settled, now); },
                       },
                       action);
        }
    }

    void sendAsk(const SendAsk &ask, TimePoint now)
    {
        if (ask.owner != self) {
            enqueueMessage(ask.owner, AskMessage{.cell = ask.cell, .work = ask.request});
            return;
        }
        submit(ask.cell, ask.request, now);
        if (isQueued(ask.cell, ask.request.id)) {
            askTracker.onQueued(self, ask.request.id, now);
        }
    }

    /// Sends a message to the owner, which can be this VM.
    void sendToOwner(const VmId &owner, const PeerMessage &message, TimePoint now)
    {
        if (owner.empty()) {
            return;
        }
        if (owner != self) {
            enqueueMessage(owner, message);
            return;
        }
        std::visit([&](const auto &content) { handleAsOwner(self, content, now); }, message);
    }

    void decideAlone(const DecideLocally &alone, TimePoint now)
    {
        decidedAlone.add(1);
        const auto found = local.find(alone.request.id);
        if (found == local.end()) {
            return;
        }
        found->second.state = LocalRequest::State::DecidedLocally;
        LOG(WARNING) << "decision=alone request=" << alone.request.id << " team=" << alone.request.team << " rank=" << toString(alone.request.rank)
                     << " choice=none reason=no_owner_replied cell=" << alone.cell;
        submit(alone.cell, alone.request, now);
    }

    void settle(const CompleteAsk &settled, TimePoint now)
    {
        const auto found = local.find(settled.request);
        if (found == local.end()) {
            if (std::holds_alternative<Assign>(settled.answer)) {
                sendToOwner(settled.owner, DoneMessage{.cell = {}, .request = settled.request, .tokens = 0, .reason = FinishReason::MovedAway}, now);
            }
            return;
        }
        completeAsk(found, settled.owner, settled.answer);
    }

    void completeAsk(std::map<RequestId, LocalRequest>::iterator found, const VmId &owner, const Result<Assign> &result)
    {
        const RequestId id = found->first;
        LocalRequest &request = found->second;
        AskHandler handler = std::move(request.handler);
        request.handler = nullptr;
        if (const auto *assign = std::get_if<Assign>(&result)) {
            request.state = LocalRequest::State::Assigned;
            request.owner = owner;
            request.endpoint = assign->endpoint;
            request.reportedAt = clock.now();
            assigned.add(1);
        } else {
            countRefusal(std::get<Error>(result));
            local.erase(found);
        }
        if (handler) {
            outbox.calls.emplace_back([self = shared_from_this(), id, handler = std::move(handler), result] { self->deliverReply(id, handler, result); });
        }
    }

    /// Calls the handler of `ask`. If the assignment check forbids the use of endpoints by now, the handler receives that error and
    /// the assignment is given back to the owner. Called without the lock.
    void deliverReply(const RequestId &id, const AskHandler &handler, const Result<Assign> &result)
    {
        std::function<std::optional<Error>()> check;
        {
            const std::lock_guard lock(mutex);
            const auto found = local.find(id);
            // A move of a running answer is not checked: the answer was admitted earlier, and its engine shuts down even if this VM
            // has lost contact with the platform.
            const bool isMove = found != local.end() && found->second.work.movesFrom;
            check = isMove ? nullptr : assignmentCheck;
        }
        const auto refusal = check && std::holds_alternative<Assign>(result) ? check() : std::nullopt;
        if (!refusal) {
            handler(result);
            return;
        }
        apply([&](TimePoint now) {
            countRefusal(*refusal);
            finish(id, 0, FinishReason::MovedAway, now);
        });
        handler(*refusal);
    }

    void countRefusal(const Error &error)
    {
        metrics.counter("daisystream_refused_total", "Requests of this VM's callers that got no endpoint.", {{"code", toString(error.code)}}).add(1);
    }

    void onAssign(const CellId &cell, const VmId &from, const Assign &assign, TimePoint now)
    {
        const auto found = local.find(assign.request);
        if (found != local.end() && found->second.state == LocalRequest::State::AssignmentCancelled && found->second.owner == from) {
            found->second.earlyReply = assign;
            return;
        }
        if (found != local.end() && found->second.state == LocalRequest::State::DecidedLocally && from == self) {
            completeAsk(found, self, assign);
            return;
        }
        auto actions = askTracker.onAssign(from, assign, now);
        for (auto &action : actions) {
            if (auto *unused = std::get_if<SendAssignNotUsed>(&action)) {
                unused->cell = cell; // The tracker leaves it empty if it has no record of the request.
            }
        }
        carryOut(actions, now);
    }

    void onRefuse(const CellId & /*cell*/, const VmId &from, const Refuse &refuse, TimePoint now)
    {
        const auto found = local.find(refuse.request);
        if (found != local.end() && found->second.state == LocalRequest::State::AssignmentCancelled && found->second.owner == from) {
            found->second.earlyReply = refuse.error;
            return;
        }
        if (found != local.end() && found->second.state == LocalRequest::State::DecidedLocally && from == self) {
            completeAsk(found, self, refuse.error);
            return;
        }
        carryOut(askTracker.onRefuse(from, refuse, now), now);
    }

    void onCancel(const Cancel &cancel)
    {
        const auto found = local.find(cancel.request);
        const bool isCurrentAssignment
            = found != local.end() && found->second.state == LocalRequest::State::Assigned && found->second.endpoint == cancel.endpoint;
        if (!isCurrentAssignment || found->second.hasFirstToken) {
            return; // The first token arrived before the cancellation; the FirstToken message informs the owner.
        }
        found->second.state = LocalRequest::State::AssignmentCancelled;
        found->second.cancelledAt = clock.now();
        if (cancelHandler) {
            outbox.calls.emplace_back([handler = cancelHandler, cancel] { handler(cancel); });
        }
    }

    /// Handles a repeated `ask` for a request whose assignment was cancelled.
    void waitForNewAssignment(std::map<RequestId, LocalRequest>::iterator found, AskHandler handler, TimePoint now)
    {
        LocalRequest &request = found->second;
        request.handler = std::move(handler);
        if (request.earlyReply) {
            const auto earlyReply = *request.earlyReply;
            request.earlyReply.reset();
            completeAsk(found, request.owner, earlyReply);
            return;
        }
        request.state = LocalRequest::State::Asked;
        askTracker.onCancelled(request.work, request.cell, request.owner, cells.owners(request.cell), now);
    }

    /// Picks two random cells of the model and chooses the one with fewer requests per engine.
    /// @return the cell; empty if no engine runs the model.
    CellId chooseCell(const ModelId &model)
    {
        const auto candidates = cells.cellsOf(model);
        if (candidates.empty()) {
            return {};
        }
        const CellId &first = candidates[random.below(candidates.size())];
        const CellId &second = candidates[random.below(candidates.size())];
        return requestsPerEngine(second) < requestsPerEngine(first) ? second : first;
    }

    /// @return queued and running requests of the cell divided by its engines in service, since cells differ in size; 0 if its load
    ///     is unknown.
    [[nodiscard]] double requestsPerEngine(const CellId &cell) const
    {
        const auto found = cellLoads.find(cell);
        if (found == cellLoads.end()) {
            return 0;
        }
        const auto requests = std::uint64_t{found->second.queuedUrgent} + found->second.queuedOrdinary + found->second.running;
        const auto engines = cells.countInService(cell);
        return static_cast<double>(requests) / static_cast<double>(std::max<std::size_t>(1, engines));
    }

    /// Removes a local request and informs its owner according to its state.
    void finish(const RequestId &request, std::uint32_t tokens, FinishReason reason, TimePoint now)
    {
        const auto found = local.find(request);
        if (found == local.end()) {
            return;
        }
        const LocalRequest ended = std::move(found->second);
        local.erase(found);
        switch (ended.state) {
        case LocalRequest::State::Asked:
            carryOut(askTracker.withdraw(request, now), now);
            break;
        case LocalRequest::State::DecidedLocally:
            sendToOwner(self, WithdrawMessage{.cell = ended.cell, .request = request}, now);
            break;
        case LocalRequest::State::Assigned:
            sendToOwner(ended.owner, DoneMessage{.cell = ended.cell, .request = request, .tokens = tokens, .reason = reason}, now);
            break;
        case LocalRequest::State::AssignmentCancelled:
            sendToOwner(ended.owner, WithdrawMessage{.cell = ended.cell, .request = request}, now);
            break;
        }
    }

    void sendProgress(TimePoint now)
    {
        if (now - lastProgress < kProgressInterval) {
            return;
        }
        lastProgress = now;
        std::map<std::pair<VmId, CellId>, ProgressMessage> groups;
        for (auto &[id, request] : local) {
            const bool isDue = request.tokens != request.reportedTokens || now - request.reportedAt >= kMaxReportInterval;
            if (request.state == LocalRequest::State::Assigned && !request.owner.empty() && isDue) {
                request.reportedTokens = request.tokens;
                request.reportedAt = now;
                groups[{request.owner, request.cell}].requests.push_back({.request = id, .tokens = request.tokens});
            }
        }
        for (auto &[key, message] : groups) {
            message.cell = key.second;
            sendToOwner(key.first, message, now);
        }
    }

    /// Reports running answers of this VM's callers to the owner of their cell, which does not know them.
    /// @param isMeant selects the answers.
    template<class Predicate>
    void reportRunning(const VmId &owner, Predicate isMeant, TimePoint now)
    {
        std::map<CellId, ResyncMessage> messages;
        for (auto &[id, request] : local) {
            if (request.state == LocalRequest::State::Assigned && request.owner == owner && isMeant(id, request)) {
                resyncs.add(1);
                messages[request.cell].running.push_back(
                    {.work = request.work, .endpoint = request.endpoint, .tokens = request.tokens, .hasFirstToken = request.hasFirstToken});
            }
        }
        for (auto &[cell, message] : messages) {
            message.cell = cell;
            sendToOwner(owner, message, now);
        }
    }

    /// Reports running answers of this VM's callers to the new owner of their cell, and their end to the former owner. Also covers
    /// engines that are in another cell now, which happens when the number of cells changes.
    void resync(TimePoint now)
    {
        std::map<std::pair<VmId, CellId>, ResyncMessage> groups;
        for (auto &[id, request] : local) {
            if (request.state != LocalRequest::State::Assigned) {
                continue;
            }
            const CellId present = cells.cellOf(request.endpoint);
            const CellId cell = present.empty() ? request.cell : present;
            const auto &owners = cells.owners(cell);
            if (owners.empty() || (owners.front() == request.owner && cell == request.cell)) {
                continue;
            }
            sendToOwner(request.owner, DoneMessage{.cell = request.cell, .request = id, .tokens = request.tokens, .reason = FinishReason::MovedAway}, now);
            request.cell = cell;
            request.owner = owners.front();
            request.reportedTokens = request.tokens;
            resyncs.add(1);
            groups[{request.owner, request.cell}].running.push_back(
                {.work = request.work, .endpoint = request.endpoint, .tokens = request.tokens, .hasFirstToken = request.hasFirstToken});
        }
        for (auto &[key, message] : groups) {
            message.cell = key.second;
            sendToOwner(key.first, message, now);
        }
    }

    // Messages from an entry VM to this VM as the owner of a cell. Other kinds of messages are ignored.

    template<class Other>
    void handleAsOwner(const VmId & /*from*/, const Other & /*message*/, TimePoint /*now*/)
    {
    }

    void handleAsOwner(const VmId &from, const AskMessage &ask, TimePoint now)
    {
        WorkRequest work = ask.work;
        work.entry = from;
        if (cells.endpointsOf(ask.cell).empty()) {
            const Error error{ResultCode::NoEndpoint, "this VM knows no endpoint of cell " + ask.cell.value(), std::chrono::milliseconds(1000)};
            enqueueMessage(from, RefuseMessage{.cell = ask.cell, .refuse = {.request = work.id, .error = error}});
            return;
        }
        submit(ask.cell, work, now);
        if (isQueued(ask.cell, work.id)) {
            enqueueMessage(from, QueuedMessage{.cell = ask.cell, .request = work.id});
        }
    }

    /// Looks a request up for a message about it. The check of the sender keeps a VM from ending another VM's request.
    /// @param from sender of the message.
    /// @return the request; nothing if it is unknown or `from` is not its entry VM.
    std::optional<std::map<RequestId, TrackedRequest>::iterator> trackedFrom(const VmId &from, const CellId &cell, const RequestId &request)
    {
        const auto found = scheduledCells.find(cell);
        if (found == scheduledCells.end()) {
            return std::nullopt;
        }
        const auto tracked = found->second.requests.find(request);
        if (tracked == found->second.requests.end() || tracked->second.entry != from) {
            return std::nullopt;
        }
        return tracked;
    }

    void handleAsOwner(const VmId &from, const WithdrawMessage &message, TimePoint now)
    {
        if (const auto tracked = trackedFrom(from, message.cell, message.request)) {
            ScheduledCell &cell = scheduledCells.at(message.cell);
            cell.requests.erase(*tracked);
            cell.scheduler.withdraw(message.request, now);
            decide(message.cell, now);
        }
    }

    void handleAsOwner(const VmId &from, const FirstTokenMessage &message, TimePoint now)
    {
        if (const auto tracked = trackedFrom(from, message.cell, message.request)) {
            auto &scheduler = scheduledCells.at(message.cell).scheduler;
            (*tracked)->second.heardAt = now;
            if (message.slownessPercent > 0) {
                scheduler.onSlowness(message.request, message.slownessPercent / 100.0, now - std::max(Duration{}, message.slownessAge));
            }
            scheduler.onFirstToken(message.request, now);
            decide(message.cell, now);
        }
    }

    void handleAsOwner(const VmId &from, const ProgressMessage &message, TimePoint now)
    {
        CheckMessage check{.cell = message.cell, .running = {}, .unknown = {}};
        for (const auto &progress : message.requests) {
            if (const auto tracked = trackedFrom(from, message.cell, progress.request)) {
                (*tracked)->second.heardAt = now;
                scheduledCells.at(message.cell).scheduler.onProgress(progress.request, progress.tokens, now);
            } else if (check.unknown.size() < kMaxChecked) {
                check.unknown.push_back(progress.request);
            }
        }
        if (!check.unknown.empty() && answeringChecks.contains(from) && !cells.endpointsOf(message.cell).empty()) {
            enqueueMessage(from, std::move(check));
        }
        decide(message.cell, now);
    }

    void handleAsOwner(const VmId &from, const DoneMessage &message, TimePoint now)
    {
        if (const auto tracked = trackedFrom(from, message.cell, message.request)) {
            ScheduledCell &cell = scheduledCells.at(message.cell);
            cell.requests.erase(*tracked);
            cell.scheduler.onFinished(message.request, message.tokens, message.reason, now);
            decide(message.cell, now);
        }
    }

    void handleAsOwner(const VmId &from, const ResyncMessage &message, TimePoint now)
    {
        if (cells.endpointsOf(message.cell).empty()) {
            return;
        }
        ScheduledCell &cell = findOrCreateCell(message.cell, now);
        for (const auto &running : message.running) {
            WorkRequest work = running.work;
            work.entry = from;
            cell.requests[work.id] = {.entry = from, .team = work.team, .rank = work.rank, .endpoint = running.endpoint, .heardAt = now};
            cell.scheduler.onRunning(work, running.endpoint, running.tokens, now);
            if (running.hasFirstToken) {
                cell.scheduler.onFirstToken(work.id, now);
            }
        }
        decide(message.cell, now);
    }

    // Messages from the owner of a cell to this VM as the entry VM. Other kinds of messages are ignored.

    template<class Other>
    void handleAsEntry(const VmId & /*from*/, const Other & /*message*/, TimePoint /*now*/)
    {
    }

    void handleAsEntry(const VmId &from, const QueuedMessage &message, TimePoint now)
    {
        askTracker.onQueued(from, message.request, now);
    }

    void handleAsEntry(const VmId &from, const AssignMessage &message, TimePoint now)
    {
        onAssign(message.cell, from, message.assign, now);
    }

    void handleAsEntry(const VmId &from, const RefuseMessage &message, TimePoint now)
    {
        onRefuse(message.cell, from, message.refuse, now);
    }

    void handleAsEntry(const VmId &from, const CancelMessage &message, TimePoint /*now*/)
    {
        const auto found = local.find(message.cancel.request);
        if (found != local.end() && found->second.owner == from) {
            onCancel(message.cancel);
        }
    }

    /// Compares what the owner of a cell has assigned to this VM, and what this VM has told it, with the requests of this VM's callers.
    void handleAsEntry(const VmId &from, const CheckMessage &message, TimePoint now)
    {
        for (const auto &id : message.running) {
            if (!isHeldAt(from, message.cell, id)) {
                LOG(INFO) << "event=request_released request=" << id << " cell=" << message.cell << " owner=" << from << " reason=not_running";
                sendToOwner(from, DoneMessage{.cell = message.cell, .request = id, .tokens = 0, .reason = FinishReason::MovedAway}, now);
            }
        }
        const std::set<RequestId> unknown(message.unknown.begin(), message.unknown.end());
        reportRunning(
            from, [&](const RequestId &id, const LocalRequest &request) { return request.cell == message.cell && unknown.contains(id); }, now);
    }

    /// @return whether the owner rightly counts a request of this VM's callers as its own.
    [[nodiscard]] bool isHeldAt(const VmId &owner, const CellId &cell, const RequestId &id) const
    {
        const auto found = local.find(id);
        if (found == local.end() || found->second.cell != cell) {
            return false;
        }
        switch (found->second.state) {
        case LocalRequest::State::Asked:
            return askTracker.isPendingAt(owner, id);
        case LocalRequest::State::DecidedLocally:
            return owner == self;
        case LocalRequest::State::Assigned:
        case LocalRequest::State::AssignmentCancelled:
            break;
        }
        return found->second.owner == owner;
    }

    /// Ends what this VM's cells hold for other VMs.
    /// @param vms whose processes have ended. Engines need no cancellation: they end the answers of such a process when its connections
    ///     are closed.
    /// @return the number of requests that were released.
    std::size_t releaseRequestsOf(const std::set<VmId> &vms, TimePoint now)
    {
        std::size_t released = 0;
        for (auto &[id, cell] : scheduledCells) {
            for (auto request = cell.requests.begin(); request != cell.requests.end();) {
                if (!vms.contains(request->second.entry)) {
                    ++request;
                    continue;
                }
                if (request->second.endpoint.empty()) {
                    cell.scheduler.withdraw(request->first, now);
                } else {
                    cell.scheduler.onFinished(request->first, 0, FinishReason::MovedAway, now); // The engine has not failed.
                }
                request = cell.requests.erase(request);
                ++released;
            }
        }
        return released;
    }

    /// Handles that a process of another VM was replaced. As an owner, the new process knows nothing of the asks and the running answers
    /// of this VM's callers.
    void onProcessReplaced(const VmId &vm, TimePoint now)
    {
        const auto released = releaseRequestsOf({vm}, now);
        LOG(INFO) << "event=process_replaced vm=" << vm << " released=" << released;
        carryOut(askTracker.onVmRestarted(vm, now), now);
        reportRunning(
            vm, [](const RequestId &, const LocalRequest &) { return true; }, now);
        decideAll(now);
    }

    /// Asks entry VMs about requests that count as running at engines of this VM's cells and of which there was no news for some time:
    /// the message that ended them, or that assigned them, was lost with its connection.
    void checkRequestsWithoutNews(TimePoint now)
    {
        if (now - lastCheck < kCheckInterval) {
            return;
        }
        lastCheck = now;
        std::size_t withoutNews = 0;
        std::map<std::pair<VmId, CellId>, CheckMessage> messages;
        for (const auto &[id, cell] : scheduledCells) {
            for (const auto &[request, tracked] : cell.requests) {
                if (tracked.endpoint.empty() || tracked.entry == self || now - tracked.heardAt < kCheckAfter) {
                    continue;
                }
                ++withoutNews;
                auto &running = messages[{tracked.entry, id}].running;
                if (running.size() < kMaxChecked) {
                    running.push_back(request);
                }
            }
        }
        heldWithoutNews.set(static_cast<double>(withoutNews));
        for (auto &[key, message] : messages) {
            if (answeringChecks.contains(key.first)) {
                message.cell = key.second;
                enqueueMessage(key.first, std::move(message));
            }
        }
    }

    /// Deletes the schedulers of cells that this VM does not own and has not used recently.
    void dropIdleCells(TimePoint now)
    {
        for (auto cell = scheduledCells.begin(); cell != scheduledCells.end();) {
            const bool unused = !isOwner(cell->first) && cell->second.requests.empty() && now - cell->second.lastUsed > kStandInIdleTimeout;
            cell = unused ? scheduledCells.erase(cell) : std::next(cell);
        }
    }

    void createSchedulersOfOwnedCells(TimePoint now)
    {
        for (const auto &cell : cells.ownedBy(self)) {
            findOrCreateCell(cell, now);
        }
    }

    void abandonCancelledRequests(TimePoint now)
    {
        std::vector<RequestId> abandoned;
        for (const auto &[id, request] : local) {
            if (request.state == LocalRequest::State::AssignmentCancelled && now - request.cancelledAt > kReassignTimeout) {
                abandoned.push_back(id);
            }
        }
        for (const auto &id : abandoned) {
            finish(id, 0, FinishReason::Cancelled, now);
        }
    }

    void advance(TimePoint now)
    {
        carryOut(askTracker.expire(now), now);
        abandonCancelledRequests(now);
        sendProgress(now);
        checkRequestsWithoutNews(now);
        decideAll(now);
        dropIdleCells(now);
    }

    [[nodiscard]] TimePoint nextWake(TimePoint now) const
    {
        TimePoint wake = now + kMaxTimerDelay;
        if (const auto next = askTracker.nextWake()) {
            wake = std::min(wake, *next);
        }
        for (const auto &[id, cell] : scheduledCells) {
            if (const auto next = cell.scheduler.nextWake()) {
                wake = std::min(wake, *next);
            }
        }
        return wake;
    }

    /// Starts the timer, which calls `advance` and starts again until the dispatcher is destroyed. Called without the lock.
    void scheduleTimer()
    {
        const auto now = clock.now();
        TimePoint wake;
        {
            const std::lock_guard lock(mutex);
            wake = nextWake(now);
        }
        // The delay is at least 1 ms, or a wake time in the past would keep a thread busy.
        timer.expires_after(std::max<Duration>(wake - now, std::chrono::milliseconds(1)));
        timer.async_wait([weak = weak_from_this()](const boost::system::error_code &cancelled) {
            const auto dispatcher = weak.lock();
            if (cancelled || !dispatcher) {
                return;
            }
            dispatcher->apply([&](TimePoint at) { dispatcher->advance(at); });
            dispatcher->scheduleTimer();
        });
    }

    asio::io_context &io;
    const VmId self;
    std::vector<EndpointSettings> endpoints;
    const SchedulerOptions schedulerOptions;
    const StepCost stepCost;
    const Clock &clock;
    const Sender sender;
    Counter &assigned;
    Counter &decidedAlone;
    Counter &resyncs;
    Gauge &heldWithoutNews;
    Metrics &metrics;

    mutable std::mutex mutex; // Position 4 in the lock order.
    Random random;
    CellMap cells;
    AskTracker askTracker;
    std::vector<VmId> vms;
    std::set<EndpointId> draining;                  ///< Drained by operators.
    std::set<EndpointId> withdrawn;                 ///< In zones that are out of service.
    std::set<EndpointId> leaving;                   ///< About to be reclaimed by the platform.
    std::map<CellId, ScheduledCell> scheduledCells; ///< Cells of this VM, and those that it schedules in place of their owner.
    std::map<CellId, CellDigest> cellLoads;         ///< As the owners last reported.
    std::map<RequestId, LocalRequest> local;        ///< Requests of this VM's callers.
    TimePoint lastProgress{};
    TimePoint lastCheck{};
    ProcessTable processes;
    std::set<VmId> answeringChecks; ///< VMs that handle `CheckMessage`.
    CancelHandler cancelHandler;
    std::function<std::optional<Error>()> assignmentCheck;
    std::function<void(const EndpointSettings &)> probeHandler;
    Outbox outbox;
    bool delivering = false;
    asio::steady_timer timer;
};

CellDispatcher::CellDispatcher(asio::io_context &io, const Settings &settings, const Clock &clock, Metrics &metrics, Sender sender, std::uint64_t seed)
    : d_(std::make_shared<Private>(io, settings, clock, metrics, std::move(sender), seed))
{
    d_->apply([this](TimePoint now) { d_->createSchedulersOfOwnedCells(now); });
    d_->scheduleTimer();
}

CellDispatcher::~CellDispatcher() = default;

void CellDispatcher::ask(const WorkRequest &work, AskHandler handler)
{
    d_->apply([&](TimePoint now) {
        const auto found = d_->local.find(work.id);
        if (found != d_->local.end() && found->second.state == LocalRequest::State::AssignmentCancelled) {
            d_->waitForNewAssignment(found, std::move(handler), now);
            return;
        }
        const CellId cell = d_->chooseCell(work.model);
        if (cell.empty() || found != d_->local.end()) {
            const Error error = cell.empty() ? Error{ResultCode::NoEndpoint, "no engine runs model " + work.model.value(), std::chrono::milliseconds(1000)}
                                             : Error{ResultCode::MalformedRequest, "the request id is in use", {}};
            d_->countRefusal(error);
            d_->outbox.calls.emplace_back([handler = std::move(handler), error] { handler(error); });
            return;
        }
        LocalRequest request;
        request.work = work;
        request.work.entry = d_->self;
        request.cell = cell;
        request.handler = std::move(handler);
        const WorkRequest asked = request.work;
        d_->local.emplace(work.id, std::move(request));
        d_->carryOut(d_->askTracker.ask(asked, cell, d_->cells.owners(cell), now), now);
    });
}

void CellDispatcher::setCancelHandler(CancelHandler handler)
{
    const std::lock_guard lock(d_->mutex);
    d_->cancelHandler = std::move(handler);
}

void CellDispatcher::setAssignmentCheck(std::function<std::optional<Error>()> check)
{
    const std::lock_guard lock(d_->mutex);
    d_->assignmentCheck = std::move(check);
}

void CellDispatcher::withdraw(const RequestId &request)
{
    d_->apply([&](TimePoint now) { d_->finish(request, 0, FinishReason::Cancelled, now); });
}

void CellDispatcher::onResumed(const WorkRequest &work, const EndpointId &endpoint, std::uint32_t tokens)
{
    d_->apply([&](TimePoint now) {
        const CellId cell = d_->cells.cellOf(endpoint);
        if (cell.empty()) {
            return;
        }
        LocalRequest request;
        request.work = work;
        request.work.entry = d_->self;
        request.cell = cell;
        request.state = LocalRequest::State::Assigned;
        request.endpoint = endpoint;
        request.tokens = tokens;
        request.hasFirstToken = true;
        // The owner stays empty until `resync` sets it.
        if (d_->local.emplace(work.id, std::move(request)).second) {
            d_->resync(now);
        }
    });
}

void CellDispatcher::onFirstToken(const RequestId &request, std::uint32_t slownessPercent, Duration slownessAge)
{
    d_->apply([&](TimePoint now) {
        const auto found = d_->local.find(request);
        if (found == d_->local.end()) {
            return;
        }
        LocalRequest &running = found->second;
        if (running.state == LocalRequest::State::AssignmentCancelled) {
            // The token and the cancellation were under way at the same time: the answer continues, and a new assignment is not used.
            running.earlyReply.reset();
            running.state = LocalRequest::State::Assigned;
        }
        if (running.state == LocalRequest::State::Assigned && !running.hasFirstToken) {
            running.hasFirstToken = true;
            d_->sendToOwner(running.owner,
                            FirstTokenMessage{.cell = running.cell, .request = request, .slownessPercent = slownessPercent, .slownessAge = slownessAge},
                            now);
        }
    });
}

void CellDispatcher::onProgress(const RequestId &request, std::uint32_t tokens)
{
    const std::lock_guard lock(d_->mutex);
    const auto found = d_->local.find(request);
    if (found != d_->local.end()) {
        found->second.tokens = std::max(found->second.tokens, tokens);
    }
}

void CellDispatcher::onFinished(const RequestId &request, std::uint32_t tokens, FinishReason reason)
{
    d_->apply([&](TimePoint now) {
        const auto found = d_->local.find(request);
        const bool waitsForNewAssignment
            = found != d_->local.end() && found->second.state == LocalRequest::State::AssignmentCancelled && reason == FinishReason::MovedAway;
        if (!waitsForNewAssignment) {
            d_->finish(request, tokens, reason, now);
        }
    });
}

std::vector<EndpointSettings> CellDispatcher::serviceEndpoints(const ServiceId &service) const
{
    const std::lock_guard lock(d_->mutex);
    std::vector<EndpointSettings> found;
    for (const auto &endpoint : d_->endpoints) {
        const bool matches = endpoint.kind == EndpointKind::Service && endpoint.service == service;
        if (matches && d_->stateOf(endpoint.id) == EndpointState::InService) {
            found.push_back(endpoint);
        }
    }
    return found;
}

std::vector<EndpointSettings> CellDispatcher::enginesFor(const ModelId &model) const
{
    const std::lock_guard lock(d_->mutex);
    std::vector<EndpointSettings> found;
    std::copy_if(d_->endpoints.begin(), d_->endpoints.end(), std::back_inserter(found), [&](const auto &endpoint) {
        return endpoint.kind == EndpointKind::Engine && endpoint.model == model && d_->stateOf(endpoint.id) == EndpointState::InService;
    });
    return found;
}

std::optional<EndpointSettings> CellDispatcher::findEndpoint(const EndpointId &endpoint) const
{
    const std::lock_guard lock(d_->mutex);
    for (const auto &candidate : d_->endpoints) {
        if (candidate.id == endpoint) {
            return candidate;
        }
    }
    return std::nullopt;
}

void CellDispatcher::setProbeHandler(std::function<void(const EndpointSettings &)> handler)
{
    const std::lock_guard lock(d_->mutex);
    d_->probeHandler = std::move(handler);
}

bool CellDispatcher::isInService(const EndpointId &endpoint) const
{
    const std::lock_guard lock(d_->mutex);
    const bool isKnown = std::any_of(d_->endpoints.begin(), d_->endpoints.end(), [&](const auto &candidate) { return candidate.id == endpoint; });
    return isKnown && d_->stateOf(endpoint) == EndpointState::InService;
}

bool CellDispatcher::isLeaving(const EndpointId &endpoint) const
{
    const std::lock_guard lock(d_->mutex);
    const bool isKnown = std::any_of(d_->endpoints.begin(), d_->endpoints.end(), [&](const auto &candidate) { return candidate.id == endpoint; });
    return !isKnown || d_->draining.contains(endpoint) || d_->leaving.contains(endpoint);
}

bool CellDispatcher::isWithdrawn(const EndpointId &endpoint) const
{
    const std::lock_guard lock(d_->mutex);
    return d_->withdrawn.contains(endpoint);
}

void CellDispatcher::setVms(const std::vector<VmId> &live, const std::vector<VmId> &dead)
{
    d_->apply([&](TimePoint now) {
        std::vector<VmId> lostVms;
        for (const auto &vm : d_->vms) {
            if (std::find(live.begin(), live.end(), vm) == live.end()) {
                lostVms.push_back(vm);
            }
        }
        d_->vms = live;
        d_->cells.setVms(live);
        d_->createSchedulersOfOwnedCells(now);
        for (const auto &vm : lostVms) {
            d_->carryOut(d_->askTracker.onVmLost(vm, now), now);
        }
        d_->releaseRequestsOf({dead.begin(), dead.end()}, now);
        d_->resync(now);
        d_->decideAll(now);
    });
}

void CellDispatcher::setEndpoints(const std::vector<EndpointSettings> &endpoints)
{
    d_->apply([&](TimePoint now) {
        if (endpoints == d_->endpoints) {
            return;
        }
        d_->endpoints = endpoints;
        d_->applyEndpoints();
        d_->createSchedulersOfOwnedCells(now);
        d_->resync(now);
    });
}

void CellDispatcher::setDraining(const std::vector<EndpointId> &endpoints)
{
    d_->apply([&](TimePoint /*now*/) { d_->replaceEndpoints(d_->draining, endpoints); });
}

void CellDispatcher::setWithdrawn(const std::vector<EndpointId> &endpoints)
{
    d_->apply([&](TimePoint /*now*/) { d_->replaceEndpoints(d_->withdrawn, endpoints); });
}

void CellDispatcher::setLeaving(const std::vector<EndpointId> &endpoints)
{
    d_->apply([&](TimePoint /*now*/) { d_->replaceEndpoints(d_->leaving, endpoints); });
}

void CellDispatcher::setAnswersChecks(const VmId &vm, bool answersChecks)
{
    const std::lock_guard lock(d_->mutex);
    if (answersChecks) {
        d_->answeringChecks.insert(vm);
    } else {
        d_->answeringChecks.erase(vm);
    }
}

void CellDispatcher::onMessage(const VmId &from, std::uint64_t incarnation, const PeerMessage &message)
{
    d_->apply([&](TimePoint now) {
        const auto process = d_->processes.onMessage(from, incarnation);
        if (process == SenderProcess::Former) {
            return;
        }
        if (process == SenderProcess::Replacement) {
            d_->onProcessReplaced(from, now);
        }
        std::visit(
            [&](const auto &content) {
                d_->handleAsOwner(from, content, now);
                d_->handleAsEntry(from, content, now);
            },
            message);
    });
}

void CellDispatcher::onLoadReport(const LoadReport &report)
{
    d_->apply([&](TimePoint now) {
        const CellId id = d_->cells.cellOf(report.endpoint);
        const auto found = d_->scheduledCells.find(id);
        if (found != d_->scheduledCells.end()) {
            found->second.scheduler.onLoadReport(report, now);
            d_->decide(id, now);
        }
    });
}

void CellDispatcher::onCacheEvent(const CacheEvent &event)
{
    d_->apply([&](TimePoint now) {
        const auto found = d_->scheduledCells.find(d_->cells.cellOf(event.endpoint));
        if (found != d_->scheduledCells.end()) {
            found->second.scheduler.onCacheEvent(event, now);
        }
    });
}

std::vector<EndpointSettings> CellDispatcher::enginesToPoll() const
{
    const std::lock_guard lock(d_->mutex);
    std::vector<EndpointSettings> engines;
    for (const auto &endpoint : d_->endpoints) {
        if (endpoint.kind == EndpointKind::Engine && d_->scheduledCells.contains(d_->cells.cellOf(endpoint.id))) {
            engines.push_back(endpoint);
        }
    }
    return engines;
}

std::vector<EndpointId> CellDispatcher::enginesInUse() const
{
    const std::lock_guard lock(d_->mutex);
    std::set<EndpointId> engines;
    for (const auto &[id, request] : d_->local) {
        if (request.state == LocalRequest::State::Assigned) {
            engines.insert(request.endpoint);
        }
    }
    return {engines.begin(), engines.end()};
}

std::vector<CellDigest> CellDispatcher::digests() const
{
    const std::lock_guard lock(d_->mutex);
    std::vector<CellDigest> digests;
    for (const auto &[id, cell] : d_->scheduledCells) {
        if (!d_->isOwner(id)) {
            continue;
        }
        CellDigest digest{.cell = id};
        for (const auto &[request, tracked] : cell.requests) {
            auto &count = !tracked.endpoint.empty() ? digest.running : tracked.rank == Rank::Urgent ? digest.queuedUrgent : digest.queuedOrdinary;
            ++count;
        }
        digests.push_back(digest);
    }
    return digests;
}

void CellDispatcher::onDigest(const VmId &owner, const CellDigest &digest)
{
    const std::lock_guard lock(d_->mutex);
    const auto &owners = d_->cells.owners(digest.cell);
    if (!owners.empty() && owners.front() == owner) {
        d_->cellLoads[digest.cell] = digest;
    }
}

void CellDispatcher::advance()
{
    d_->apply([this](TimePoint now) { d_->advance(now); });
}

std::size_t CellDispatcher::running() const
{
    const std::lock_guard lock(d_->mutex);
    return d_->local.size();
}

nlohmann::json CellDispatcher::status() const
{
    const std::lock_guard lock(d_->mutex);
    nlohmann::json status{{"cells", nlohmann::json::array()}, {"endpoints", nlohmann::json::array()}, {"load", nlohmann::json::array()}};
    std::set<CellId> ids;
    for (const auto &endpoint : d_->endpoints) {
        const CellId cell = d_->cells.cellOf(endpoint.id);
        const bool isEngine = endpoint.kind == EndpointKind::Engine;
        status["endpoints"].push_back({{"id", endpoint.id.value()},
                                       {"kind", isEngine ? "engine" : "service"},
                                       {"runs", isEngine ? endpoint.model.value() : endpoint.service.value()},
                                       {"state", toString(d_->stateOf(endpoint.id))},
                                       {"cell", cell.value()}});
        if (!cell.empty()) {
            ids.insert(cell);
        }
    }
    for (const auto &id : ids) {
        const auto &owners = d_->cells.owners(id);
        status["cells"].push_back({{"cell", id.value()}, {"owner", owners.empty() ? "" : owners.front().value()}});
    }
    std::map<std::pair<std::string, std::string>, std::pair<unsigned, unsigned>> load;
    for (const auto &[id, cell] : d_->scheduledCells) {
        for (const auto &[request, tracked] : cell.requests) {
            auto &[queued, running] = load[{toString(tracked.rank), tracked.team.value()}];
            ++(tracked.endpoint.empty() ? queued : running);
        }
    }
    for (const auto &[key, counts] : load) {
        status["load"].push_back({{"rank", key.first}, {"team", key.second}, {"queued", counts.first}, {"running", counts.second}});
    }
    return status;
}

} // namespace daisystream
