#include "bench/harness.h"

#include "bench/eventqueue.h"
#include "daisystream/base/random.h"
#include "daisystream/cell/asktracker.h"
#include "daisystream/cell/cellmap.h"
#include "daisystream/scheduler/scheduler.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <deque>
#include <optional>
#include <unordered_map>

namespace daisystream::bench
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSameZoneDelay = std::chrono::microseconds(300);
constexpr Duration kReportInterval = milliseconds(500);
constexpr Duration kReportLag = milliseconds(150);
constexpr Duration kHeartbeatInterval = milliseconds(500);
constexpr Duration kSuspectAfter = milliseconds(1500); // Design section 2.8.
constexpr Duration kPlatformInterval = seconds(2);     // Design section 2.8.
constexpr Duration kPlatformLag = seconds(10);         // Until the platform's list shows a loss.
constexpr Duration kProgressInterval = seconds(1);     // Design section 2.3.
constexpr Duration kSilenceBound = seconds(2);         // Design section 2.8: a dead endpoint stream is noticed.
constexpr Duration kBalancerDelay = seconds(1);        // Until the balancer and callers avoid a lost VM.
constexpr Duration kRecovery = seconds(5);             // Design section 2.4: back within SLO after a detected loss.
constexpr double kNearDeadline = 0.8;                  // Share of the promised first-token time; design section 1.6.
constexpr double kRetryShare = 0.1;                    // Design section 2.8.
constexpr double kRetryBurst = 10;
// A prompt of another answer read in one step delays a token by up to this; short answers cannot average it out.
constexpr Duration kPaceSlack = milliseconds(100);
constexpr std::size_t kAllPeersUpTo = 8; // Design section 2.8: above, each VM sends heartbeats to 4 peers.
constexpr std::size_t kPeers = 4;
constexpr std::size_t kForwardedDigests = 16;
constexpr std::uint32_t kFirstComeSlots = 64; // Answers that an engine carries at the promised pace on average.
constexpr int kNone = -1;

// Estimated sizes of packed messages in bytes.
constexpr std::uint32_t kAskBytes = 120;
constexpr std::uint32_t kReplyBytes = 64;
constexpr std::uint32_t kSmallBytes = 32;
constexpr std::uint32_t kProgressHeadBytes = 16;
constexpr std::uint32_t kProgressEntryBytes = 20;
constexpr std::uint32_t kHeartbeatBytes = 60;
constexpr std::uint32_t kDigestBytes = 16;
constexpr std::uint32_t kReportBytes = 90;

LoadReport reportOf(const EndpointId &engine, const EngineLoad &load)
{
    return {engine,
            load.measuredAt,
            load.running,
            load.waiting,
            load.memoryUsedTokens,
            load.memoryCapacityTokens,
            load.stepMilliseconds,
            load.preemptions,
            load.generatedTokens};
}

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double inMilliseconds(Duration duration)
{
    return 1000 * inSeconds(duration);
}

enum class State : std::uint8_t {
    Waiting,
    Sent, // At an engine, without a token.
    Streaming,
    Complete,
    Incomplete,
    Refused,
    Lost,
};

struct Request
{
    WorkRequest work;
    std::uint32_t team = 0;
    std::uint32_t model = 0;
    std::uint32_t cell = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t prefixTokens = 0;
    int vm = kNone;
    int owner = kNone; // VM whose Scheduler counts the answer.
    int engine = kNone;
    GenerationNumber generation = 0;
    State state = State::Waiting;
    std::uint32_t tokens = 0;
    std::uint32_t starts = 0;
    std::uint32_t retries = 0;
    TimePoint arrival; // At the VM.
    TimePoint sentAt;
    TimePoint firstToken;
    TimePoint lastToken;
    TimePoint blockedUntil{};
    TimePoint playback; // When a caller that reads at the promised pace has read the last token.
    Duration stall{};
    Duration refusedAfter{};

    [[nodiscard]] bool atEngine() const
    {
        return state == State::Sent || state == State::Streaming;
    }
};

struct Engine
{
    EndpointId id;
    std::uint32_t model = 0;
    std::uint32_t zone = 0;
    std::uint32_t cell = 0;
    bool dead = false;
    EngineModel core;
    std::optional<TimePoint> stepAt{};
    std::vector<std::uint32_t> requests{0}; // By generation number.
    std::uint32_t outstanding = 0;
    std::uint32_t probationRunning = 0; // Answers started after the fault should have been noticed.
    std::uint32_t probationMost = 0;
    std::optional<std::pair<TimePoint, TimePoint>> probation{};
};

struct Owner
{
    Scheduler scheduler;
    std::unordered_map<std::uint32_t, int> entries; // Request to its entry VM.
    std::optional<TimePoint> wakeAt;
};

struct Vm
{
    VmId id;
    std::uint32_t zone = 0;
    bool dead = false;
    TimePoint pausedUntil{};
    AskTracker asks{AskTrackerOptions{}};
    std::optional<TimePoint> askTimer;
    std::vector<std::unique_ptr<Owner>> owners;  // By cell.
    std::vector<TimePoint> heard;                // By VM.
    std::vector<bool> suspected;                 // By VM.
    std::vector<bool> listed;                    // By VM: in the platform's list as last read.
    std::vector<std::vector<int>> order;         // By cell: live VMs in order of ownership.
    std::vector<std::optional<LoadReport>> load; // By engine.
    std::vector<std::uint32_t> own;              // Own answers by engine.
    std::vector<std::pair<double, TimePoint>> cellLoad;
    std::vector<std::uint32_t> running; // Own answers at engines.
    std::uint32_t turn = 0;
    double retryBudget = kRetryBurst;
    double processorSeconds = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t reportBytes = 0;
};

struct Cell
{
    CellId id;
    std::uint32_t model = 0;
    std::vector<std::uint32_t> engines;
    std::vector<VmId> order; // All VMs.
};

// Adds the processor time between construction and destruction.
class ProcessorTimer
{
public:
    ProcessorTimer(bool enabled, double &sum)
        : enabled_(enabled)
        , sum_(sum)
        , begin_(enabled ? read() : 0)
    {
    }

    ~ProcessorTimer()
    {
        if (enabled_) {
            sum_ += read() - begin_;
        }
    }

    ProcessorTimer(const ProcessorTimer &) = delete;
    ProcessorTimer &operator=(const ProcessorTimer &) = delete;

private:
    static double read()
    {
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
    }

    bool enabled_;
    double &sum_;
    double begin_;
};

std::uint32_t indexOf(const RequestId &id)
{
    return static_cast<std::uint32_t>(std::stoul(id.value().substr(1)));
}

} // namespace

const char *toString(Policy policy)
{
    constexpr std::array<const char *, 6> kNames{"round-robin", "least-outst", "first-come", "(a)alone", "(b)endpoint", "(d)cells"};
    return kNames.at(static_cast<std::size_t>(policy));
}

class Harness::Private
{
public:
    Private(const Fleet &fleetGiven, const Scenario &scenarioGiven, Policy policyGiven, std::uint64_t seed);

    Figures run();

    const Fleet fleet;
    const Scenario scenario;
    const Policy policy;
    Random random;
    EventQueue queue;
    TimePoint begin;
    std::vector<Engine> engines;
    std::vector<Vm> vms;
    std::vector<Cell> cells;
    std::vector<std::vector<std::uint32_t>> cellsOfModel;
    std::vector<Arrival> arrivals;
    std::vector<Request> requests;
    std::vector<std::deque<std::uint32_t>> line; // FirstCome: by model.
    std::uint32_t balancerTurn = 0;
    std::vector<bool> balancerAvoids;
    std::optional<std::pair<TimePoint, TimePoint>> cut; // TwoOwners.
    int cutVm = kNone;
    std::optional<TimePoint> lossAt;
    bool platformUp = true;
    std::vector<bool> platformList; // VMs that the platform says are live.
    std::uint64_t hash = 1469598103934665603ULL;
    bool timing = false;
    Duration traceFrom{};
    Duration traceTo{};

    // Figures that accumulate during the run.
    std::array<Quantiles, 2> gaps;
    std::array<Duration, 2> streamed{};
    std::vector<std::uint64_t> floodTokens; // By team and model, in the flood after its first 10 s.
    std::vector<std::uint64_t> floodDemand; // The same for the lengths of the arrivals.
    std::uint64_t moves = 0;
    std::uint64_t messages = 0;
    Quantiles addedDelay;

private:
    [[nodiscard]] bool usesScheduler() const
    {
        return policy == Policy::Alone || policy == Policy::EndpointOwner || policy == Policy::Cells;
    }

    [[nodiscard]] TimePoint now() const
    {
        return queue.now();
    }

    [[nodiscard]] Duration delayBetween(std::uint32_t zone, std::uint32_t other) const
    {
        return zone == other ? kSameZoneDelay : fleet.zoneDelay;
    }

    [[nodiscard]] bool linkCut(int from, int to) const
    {
        // The owner loses contact with every VM of odd index.
        return cut && now() >= cut->first && now() < cut->second && (from == cutVm || to == cutVm) && (from == cutVm ? to : from) % 2 == 1;
    }

    [[nodiscard]] bool inFlood(TimePoint time) const
    {
        constexpr Duration kSettling = seconds(10);
        return time >= begin + scenario.floodBegin + kSettling && time < begin + scenario.floodEnd;
    }

    template<class... Values>
    void trace(const char *format, Values... values) const
    {
        if (now() >= begin + traceFrom && now() < begin + traceTo) {
            std::fprintf(stderr, "%10.4f ", inSeconds(now() - begin));
            std::fprintf(stderr, format, values...);
            std::fputc('\n', stderr);
        }
    }

    void buildEngines();
    void buildVms();
    void buildCells();
    [[nodiscard]] EndpointInfo infoOf(std::uint32_t engine) const;

    void atVm(int vm, TimePoint time, std::function<void()> action);
    void send(int from, int to, std::uint32_t bytes, std::function<void()> action);

    void scheduleArrival(std::size_t index);
    void arrive(std::uint32_t index);
    [[nodiscard]] int balance();
    void dispatch(std::uint32_t index);
    [[nodiscard]] std::uint32_t pickCell(Vm &vm, std::uint32_t model);
    void ask(std::uint32_t index);
    void carryOut(int vm, const std::vector<AskAction> &actions);
    void scheduleAskTimer(int vm);
    void settle(int vm, const CompleteAsk &action);
    void refuse(std::uint32_t index);

    [[nodiscard]] Owner &ownerAt(int vm, std::uint32_t cell);
    void pump(int vm, std::uint32_t cell, std::optional<std::uint32_t> asked = std::nullopt);
    void onAssign(int owner, std::uint32_t cell, const Assign &action);
    void onRefuse(int owner, std::uint32_t cell, const Refuse &action);
    void onCancel(int owner, std::uint32_t cell, const Cancel &action);
    void onProbe(int owner, std::uint32_t cell, const Probe &action);
    void tellOwner(std::uint32_t index, std::uint32_t bytes, std::function<void(Scheduler &, const RequestId &)> what);
    void resync(int vm, std::uint32_t cell, int target, std::optional<std::uint32_t> only = std::nullopt);

    [[nodiscard]] int chooseAlone(Vm &vm, std::uint32_t model, bool lagged);
    void start(std::uint32_t index, int engine, std::uint8_t priority);
    void leaveEngine(std::uint32_t index);
    void engineFailed(std::uint32_t index, int engine);
    void finish(std::uint32_t index, State state, FinishReason reason);
    void serveLine(std::uint32_t model);
    void scheduleStep(std::uint32_t engine);
    void step(std::uint32_t engine);
    void token(const Engine &engine, std::uint32_t index, const TokenEvent &event);

    void reportLoad(std::uint32_t engine);
    void deliverReport(int vm, const LoadReport &report, std::uint32_t engine);
    void heartbeat(int vm);
    void checkPeers(int vm);
    void updateOrder(int vm);
    void sendProgress(int vm);
    void every(int vm, Duration interval, Duration offset, std::function<void()> action);

    void inject(const Fault &fault);
    void loseEngine(std::uint32_t engine);
    void loseVm(int vm);
    void pauseVm(int vm, Duration duration);
    void watch(std::uint32_t engine, Duration duration);

    [[nodiscard]] bool withinSlo(const Request &request, TimePoint end) const;
    void rankFigures(Figures &figures, TimePoint end) const;
    void fleetFigures(Figures &figures, TimePoint end) const;
    void fairnessFigures(Figures &figures) const;
};

Harness::Private::Private(const Fleet &fleetGiven, const Scenario &scenarioGiven, Policy policyGiven, std::uint64_t seed)
    : fleet(fleetGiven)
    , scenario(scenarioGiven)
    , policy(policyGiven)
    , random(seed * 1000003 + 17)
    , begin(queue.now())
    , arrivals(makeArrivals(fleet, scenario, seed))
{
    buildEngines();
    buildVms();
    buildCells();
    line.resize(fleet.models.size());
    floodTokens.resize(fleet.models.size() * fleet.teams.size());
    floodDemand.resize(fleet.models.size() * fleet.teams.size());
    requests.reserve(arrivals.size());
}

void Harness::Private::buildEngines()
{
    for (std::uint32_t m = 0; m < fleet.models.size(); ++m) {
        for (std::uint32_t i = 0; i < fleet.models[m].engines; ++i) {
            const auto index = static_cast<std::uint32_t>(engines.size());
            engines.push_back({.id = EndpointId("e" + std::to_string(index)), .model = m, .zone = index % fleet.zones, .core = EngineModel(fleet.engine)});
        }
    }
}

void Harness::Private::buildVms()
{
    for (std::uint32_t i = 0; i < fleet.vms; ++i) {
        Vm vm;
        vm.id = VmId("vm" + std::to_string(i));
        vm.zone = i % fleet.zones;
        vm.heard.assign(fleet.vms, begin);
        vm.suspected.assign(fleet.vms, false);
        vm.listed.assign(fleet.vms, true);
        vm.load.resize(engines.size());
        vm.own.resize(engines.size());
        vms.push_back(std::move(vm));
    }
    balancerAvoids.resize(fleet.vms);
    platformList.assign(fleet.vms, true);
}

void Harness::Private::buildCells()
{
    cellsOfModel.resize(fleet.models.size());
    std::vector<VmId> names;
    for (const Vm &vm : vms) {
        names.push_back(vm.id);
    }
    const std::uint32_t size = policy == Policy::EndpointOwner ? 1 : fleet.cellSize;
    for (std::uint32_t e = 0; e < engines.size(); ++e) {
        auto &of = cellsOfModel[engines[e].model];
        if (of.empty() || (size != 0 && cells[of.back()].engines.size() == size)) {
            of.push_back(static_cast<std::uint32_t>(cells.size()));
            Cell cell{CellId("c" + std::to_string(cells.size())), engines[e].model, {}, {}};
            cell.order = rendezvousOrder(cell.id.value(), names);
            cells.push_back(std::move(cell));
        }
        engines[e].cell = of.back();
        cells[of.back()].engines.push_back(e);
    }
    for (int v = 0; v < static_cast<int>(vms.size()); ++v) {
        vms[v].owners.resize(cells.size());
        vms[v].cellLoad.resize(cells.size());
        updateOrder(v);
    }
}

EndpointInfo Harness::Private::infoOf(std::uint32_t engine) const
{
    EndpointInfo info;
    info.id = engines[engine].id;
    info.model = fleet.models[engines[engine].model].id;
    info.zone = ZoneId(std::to_string(engines[engine].zone));
    info.memoryCapacityTokens = fleet.engine.memoryTokens;
    info.maxBatch = fleet.engine.maxBatch;
    info.stepCost = {fleet.engine.stepBaseMilliseconds,
                     fleet.engine.stepMillisecondsPerAnswer,
                     1000 * fleet.engine.stepMillisecondsPerResidentToken,
                     1000 * fleet.engine.prefillMillisecondsPerToken};
    return info;
}

// Runs an action on a VM; a lost VM drops it, a paused one runs it on resuming.
void Harness::Private::atVm(int vm, TimePoint time, std::function<void()> action)
{
    queue.at(time, [this, vm, action = std::move(action)]() mutable {
        if (vms[vm].dead) {
            return;
        }
        if (vms[vm].pausedUntil > now()) {
            atVm(vm, vms[vm].pausedUntil, std::move(action));
            return;
        }
        action();
    });
}

void Harness::Private::send(int from, int to, std::uint32_t bytes, std::function<void()> action)
{
    if (from == to) {
        atVm(to, now(), std::move(action));
        return;
    }
    vms[from].bytesSent += bytes;
    ++messages;
    if (!linkCut(from, to)) {
        atVm(to, now() + delayBetween(vms[from].zone, vms[to].zone), std::move(action));
    }
}

// --- Entry VMs ---

void Harness::Private::scheduleArrival(std::size_t index)
{
    if (index < arrivals.size()) {
        queue.at(begin + arrivals[index].at, [this, index] {
            arrive(static_cast<std::uint32_t>(index));
            scheduleArrival(index + 1);
        });
    }
}

int Harness::Private::balance()
{
    for (std::uint32_t i = 0; i < fleet.vms; ++i) {
        const std::uint32_t vm = balancerTurn++ % fleet.vms;
        if (!balancerAvoids[vm]) {
            return static_cast<int>(vm);
        }
    }
    return kNone;
}

void Harness::Private::arrive(std::uint32_t index)
{
    const Arrival &arrival = arrivals[index];
    const TeamSpec &team = fleet.teams[arrival.team];
    const PlanSpec &plan = fleet.plan(team.rank);
    Request request;
    request.team = arrival.team;
    request.model = arrival.model;
    request.outputTokens = arrival.outputTokens;
    request.prefixTokens = arrival.prefixTokens;
    request.vm = balance();
    request.arrival = now() + fleet.callerDelay;
    request.work.id = RequestId("r" + std::to_string(index));
    request.work.team = team.id;
    request.work.rank = team.rank;
    request.work.model = fleet.models[arrival.model].id;
    request.work.promptTokens = arrival.promptTokens;
    request.work.weight = team.weight;
    request.work.paceTokensPerSecond = plan.tokensPerSecond;
    request.work.firstTokenDeadline = request.arrival + plan.firstToken;
    request.work.arrival = request.arrival;
    request.work.prefixHash = arrival.prefixHash;
    if (inFlood(now())) {
        floodDemand[request.model * fleet.teams.size() + request.team] += request.outputTokens;
    }
    if (request.vm == kNone || vms[request.vm].dead) {
        request.state = State::Lost;
        requests.push_back(std::move(request));
        return;
    }
    request.work.entry = vms[request.vm].id;
    const int vm = request.vm;
    const TimePoint at = request.arrival;
    requests.push_back(std::move(request));
    Vm &entry = vms[vm];
    entry.retryBudget = std::min(kRetryBurst, entry.retryBudget + kRetryShare);
    atVm(vm, at, [this, index] { dispatch(index); });
}

void Harness::Private::dispatch(std::uint32_t index)
{
    Request &request = requests[index];
    if (request.state != State::Waiting) {
        return;
    }
    if (usesScheduler()) {
        ask(index);
    } else if (policy == Policy::FirstCome) {
        line[request.model].push_back(index);
        serveLine(request.model);
    } else {
        start(index, chooseAlone(vms[request.vm], request.model, false), 0);
    }
}

// The less loaded of two cells by what this VM knows.
std::uint32_t Harness::Private::pickCell(Vm &vm, std::uint32_t model)
{
    const auto &of = cellsOfModel[model];
    if (of.size() == 1) {
        return of.front();
    }
    const std::size_t first = random.below(of.size());
    const std::size_t second = (first + 1 + random.below(of.size() - 1)) % of.size();
    return vm.cellLoad[of[first]].first <= vm.cellLoad[of[second]].first ? of[first] : of[second];
}

void Harness::Private::ask(std::uint32_t index)
{
    Request &request = requests[index];
    Vm &vm = vms[request.vm];
    request.cell = pickCell(vm, request.model);
    std::vector<VmId> owners;
    if (policy == Policy::Alone) {
        owners = {vm.id};
    } else {
        for (const int owner : vm.order[request.cell]) {
            owners.push_back(vms[owner].id);
        }
    }
    std::vector<AskAction> actions;
    {
        const ProcessorTimer timer(timing, vm.processorSeconds);
        actions = vm.asks.ask(request.work, cells[request.cell].id, owners, now());
    }
    carryOut(request.vm, actions);
}

void Harness::Private::carryOut(int vm, const std::vector<AskAction> &actions)
{
    const auto vmIndex = [](const VmId &id) {
        return id.empty() ? kNone : std::stoi(id.value().substr(2));
    };
    for (const AskAction &action : actions) {
        if (const auto *sendAsk = std::get_if<SendAsk>(&action)) {
            const std::uint32_t index = indexOf(sendAsk->request.id);
            const int owner = vmIndex(sendAsk->owner);
            const std::uint32_t cell = requests[index].cell;
            trace("ask r%u vm%d owner vm%d", index, vm, owner);
            if (policy != Policy::Alone && owner != vms[vm].order[cell].front()) {
                resync(vm, cell, owner);
            }
            send(vm, owner, kAskBytes, [this, owner, cell, index, work = sendAsk->request, vm] {
                Owner &at = ownerAt(owner, cell);
                at.entries[index] = vm;
                at.scheduler.submit(work, now());
                pump(owner, cell, index);
            });
        } else if (const auto *withdraw = std::get_if<SendWithdraw>(&action)) {
            const std::uint32_t index = indexOf(withdraw->request);
            const int owner = vmIndex(withdraw->owner);
            trace("withdraw r%u vm%d owner vm%d", index, vm, owner);
            send(vm, owner, kSmallBytes, [this, owner, index, cell = requests[index].cell] {
                Owner &at = ownerAt(owner, cell);
                at.entries.erase(index);
                at.scheduler.withdraw(requests[index].work.id, now());
                pump(owner, cell);
            });
        } else if (const auto *unused = std::get_if<SendAssignNotUsed>(&action)) {
            const std::uint32_t index = indexOf(unused->request);
            const int owner = vmIndex(unused->owner);
            trace("unused r%u vm%d owner vm%d", index, vm, owner);
            send(vm, owner, kSmallBytes, [this, owner, index, cell = requests[index].cell] {
                Owner &at = ownerAt(owner, cell);
                at.entries.erase(index);
                at.scheduler.onFinished(requests[index].work.id, 0, FinishReason::Cancelled, now());
                pump(owner, cell);
            });
        } else if (const auto *alone = std::get_if<DecideLocally>(&action)) {
            const std::uint32_t index = indexOf(alone->request.id);
            trace("alone r%u vm%d", index, vm);
            requests[index].owner = kNone;
            start(index, chooseAlone(vms[vm], requests[index].model, true), static_cast<std::uint8_t>(alone->request.rank));
        } else {
            settle(vm, std::get<CompleteAsk>(action));
        }
    }
    scheduleAskTimer(vm);
}

void Harness::Private::scheduleAskTimer(int vm)
{
    const auto wake = vms[vm].asks.nextWake();
    if (!wake || (vms[vm].askTimer && *vms[vm].askTimer <= *wake)) {
        return;
    }
    const TimePoint at = std::max(*wake, now());
    vms[vm].askTimer = at;
    atVm(vm, at, [this, vm, at] {
        if (vms[vm].askTimer == at) {
            vms[vm].askTimer.reset();
        }
        carryOut(vm, vms[vm].asks.expire(now()));
    });
}

void Harness::Private::settle(int vm, const CompleteAsk &action)
{
    const std::uint32_t index = indexOf(action.request);
    Request &request = requests[index];
    if (request.state != State::Waiting) {
        return;
    }
    if (const auto *assign = std::get_if<Assign>(&action.answer)) {
        request.owner = action.owner.empty() ? kNone : std::stoi(action.owner.value().substr(2));
        const int engine = std::stoi(assign->endpoint.value().substr(1));
        start(index, engine, assign->priority);
    } else {
        trace("refuse r%u vm%d: %s", index, vm, std::get<Error>(action.answer).detail.c_str());
        refuse(index);
    }
}

void Harness::Private::refuse(std::uint32_t index)
{
    requests[index].state = State::Refused;
    requests[index].refusedAfter = now() - requests[index].arrival;
}

// --- Owners ---

Owner &Harness::Private::ownerAt(int vm, std::uint32_t cell)
{
    std::unique_ptr<Owner> &owner = vms[vm].owners[cell];
    if (!owner) {
        owner = std::make_unique<Owner>(Owner{Scheduler(SchedulerOptions{}, Random(random.bits())), {}, {}});
        std::vector<EndpointInfo> infos;
        for (const std::uint32_t engine : cells[cell].engines) {
            infos.push_back(infoOf(engine));
        }
        owner->scheduler.setEndpoints(infos, now());
        for (const std::uint32_t engine : cells[cell].engines) {
            if (vms[vm].load[engine]) {
                owner->scheduler.onLoadReport(*vms[vm].load[engine], now());
            }
        }
    }
    return *owner;
}

void Harness::Private::pump(int vm, std::uint32_t cell, std::optional<std::uint32_t> asked)
{
    Owner &owner = ownerAt(vm, cell);
    std::vector<Action> actions;
    {
        const ProcessorTimer timer(timing, vms[vm].processorSeconds);
        actions = owner.scheduler.decide(now());
    }
    bool answered = false;
    for (const Action &action : actions) {
        if (const auto *assign = std::get_if<Assign>(&action)) {
            answered = answered || (asked && indexOf(assign->request) == *asked);
            onAssign(vm, cell, *assign);
        } else if (const auto *refusal = std::get_if<Refuse>(&action)) {
            answered = answered || (asked && indexOf(refusal->request) == *asked);
            onRefuse(vm, cell, *refusal);
        } else if (const auto *cancel = std::get_if<Cancel>(&action)) {
            onCancel(vm, cell, *cancel);
        } else {
            onProbe(vm, cell, std::get<Probe>(action));
        }
    }
    if (asked && !answered) {
        const int entry = owner.entries.contains(*asked) ? owner.entries.at(*asked) : requests[*asked].vm;
        send(vm, entry, kSmallBytes, [this, vm, entry, index = *asked] {
            vms[entry].asks.onQueued(vms[vm].id, requests[index].work.id, now());
            scheduleAskTimer(entry);
        });
    }
    const auto wake = owner.scheduler.nextWake();
    if (wake && (!owner.wakeAt || *owner.wakeAt > *wake)) {
        const TimePoint at = std::max(*wake, now() + milliseconds(1));
        owner.wakeAt = at;
        atVm(vm, at, [this, vm, cell, at] {
            Owner &later = ownerAt(vm, cell);
            if (later.wakeAt == at) {
                later.wakeAt.reset();
            }
            pump(vm, cell);
        });
    }
}

void Harness::Private::onAssign(int owner, std::uint32_t cell, const Assign &action)
{
    const std::uint32_t index = indexOf(action.request);
    const Owner &at = ownerAt(owner, cell);
    const auto entry = at.entries.find(index);
    const int to = entry == at.entries.end() ? requests[index].vm : entry->second;
    trace("assign r%u %s team=%s owner vm%d to %s queued=%u/%u memory=%.2f step=%.1f",
          index,
          daisystream::toString(requests[index].work.rank),
          requests[index].work.team.value().c_str(),
          owner,
          action.endpoint.value().c_str(),
          action.figures.queuedUrgent,
          action.figures.queuedOrdinary,
          action.figures.forecastMemory,
          action.figures.stepMilliseconds);
    send(owner, to, kReplyBytes, [this, owner, to, action] { carryOut(to, vms[to].asks.onAssign(vms[owner].id, action, now())); });
}

void Harness::Private::onRefuse(int owner, std::uint32_t cell, const Refuse &action)
{
    Owner &at = ownerAt(owner, cell);
    const std::uint32_t index = indexOf(action.request);
    const auto entry = at.entries.find(index);
    const int to = entry == at.entries.end() ? requests[index].vm : entry->second;
    at.entries.erase(index);
    send(owner, to, kReplyBytes, [this, owner, to, action] { carryOut(to, vms[to].asks.onRefuse(vms[owner].id, action, now())); });
}

void Harness::Private::onCancel(int owner, std::uint32_t cell, const Cancel &action)
{
    const std::uint32_t index = indexOf(action.request);
    const Owner &at = ownerAt(owner, cell);
    const auto entry = at.entries.find(index);
    const int to = entry == at.entries.end() ? requests[index].vm : entry->second;
    trace("cancel r%u owner vm%d at %s", index, owner, action.endpoint.value().c_str());
    send(owner, to, kSmallBytes, [this, owner, to, cell, index] {
        Request &request = requests[index];
        if (request.state != State::Sent || request.vm != to) {
            return; // The first token and the cancel crossed each other.
        }
        leaveEngine(index);
        request.state = State::Waiting;
        ++moves;
        std::vector<VmId> owners;
        for (const int vm : vms[to].order[cell]) {
            owners.push_back(vms[vm].id);
        }
        vms[to].asks.onCancelled(request.work, cells[cell].id, vms[owner].id, owners, now());
        scheduleAskTimer(to);
    });
}

void Harness::Private::onProbe(int owner, std::uint32_t cell, const Probe &action)
{
    const auto engine = static_cast<std::uint32_t>(std::stoul(action.endpoint.value().substr(1)));
    const Duration delay = delayBetween(vms[owner].zone, engines[engine].zone);
    queue.at(now() + delay, [this, owner, cell, engine, delay] {
        if (engines[engine].dead) {
            return;
        }
        const EngineLoad load = engines[engine].core.load(now());
        const LoadReport report = reportOf(engines[engine].id, load);
        atVm(owner, now() + delay, [this, owner, cell, report] {
            ownerAt(owner, cell).scheduler.onLoadReport(report, now());
            pump(owner, cell);
        });
    });
}

// Sends news of an answer to the VM whose Scheduler counts it.
void Harness::Private::tellOwner(std::uint32_t index, std::uint32_t bytes, std::function<void(Scheduler &, const RequestId &)> what)
{
    const Request &request = requests[index];
    if (!usesScheduler() || request.owner == kNone) {
        return;
    }
    const int owner = request.owner;
    const std::uint32_t cell = request.cell;
    send(request.vm, owner, bytes, [this, owner, cell, index, what = std::move(what)] {
        what(ownerAt(owner, cell).scheduler, requests[index].work.id);
        pump(owner, cell);
    });
}

// Tells a new owner which answers of this VM are running in the cell, and the previous owner that they have left.
void Harness::Private::resync(int vm, std::uint32_t cell, int target, std::optional<std::uint32_t> only)
{
    std::vector<std::pair<std::uint32_t, std::uint32_t>> moved;
    for (const std::uint32_t index : vms[vm].running) {
        Request &request = requests[index];
        if (request.cell != cell || (only && *only != index) || (request.owner == target && !only)) {
            continue;
        }
        if (request.owner != target) {
            tellOwner(index, kSmallBytes, [tokens = request.tokens, this](Scheduler &scheduler, const RequestId &id) {
                scheduler.onFinished(id, tokens, FinishReason::MovedAway, now());
            });
        }
        request.owner = target;
        moved.emplace_back(index, request.tokens);
    }
    if (moved.empty()) {
        return;
    }
    const auto bytes = static_cast<std::uint32_t>(moved.size()) * kAskBytes;
    send(vm, target, bytes, [this, vm, cell, target, moved] {
        Owner &owner = ownerAt(target, cell);
        for (const auto &[index, tokens] : moved) {
            owner.entries[index] = vm;
            if (requests[index].atEngine()) {
                owner.scheduler.onRunning(requests[index].work, engines[requests[index].engine].id, tokens, now());
            }
        }
        pump(target, cell);
    });
}

// --- Engines ---

// The next engine, or the one with the least known work.
int Harness::Private::chooseAlone(Vm &vm, std::uint32_t model, bool lagged)
{
    std::vector<std::uint32_t> candidates;
    for (std::uint32_t e = 0; e < engines.size(); ++e) {
        if (engines[e].model == model) {
            candidates.push_back(e);
        }
    }
    const std::uint32_t first = vm.turn++;
    if (policy == Policy::RoundRobin) {
        return static_cast<int>(candidates[first % candidates.size()]);
    }
    int best = kNone;
    double least = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::uint32_t engine = candidates[(first + i) % candidates.size()];
        double load = vm.own[engine];
        if (lagged && vm.load[engine]) {
            load += vm.load[engine]->running + vm.load[engine]->waiting;
        }
        if (best == kNone || load < least) {
            best = static_cast<int>(engine);
            least = load;
        }
    }
    return best;
}

void Harness::Private::serveLine(std::uint32_t model)
{
    while (!line[model].empty()) {
        int best = kNone;
        for (std::uint32_t e = 0; e < engines.size(); ++e) {
            if (engines[e].model == model && !engines[e].dead && (best == kNone || engines[e].outstanding < engines[best].outstanding)) {
                best = static_cast<int>(e);
            }
        }
        if (best == kNone || engines[best].outstanding >= kFirstComeSlots) {
            return;
        }
        const std::uint32_t index = line[model].front();
        line[model].pop_front();
        if (requests[index].state == State::Waiting) {
            start(index, best, 0);
        }
    }
}

void Harness::Private::start(std::uint32_t index, int engine, std::uint8_t priority)
{
    Request &request = requests[index];
    request.engine = engine;
    request.state = State::Sent;
    request.sentAt = now();
    ++request.starts;
    hash = (hash ^ index) * 1099511628211ULL;
    hash = (hash ^ static_cast<std::uint64_t>(engine)) * 1099511628211ULL;
    hash = (hash ^ static_cast<std::uint64_t>(now().time_since_epoch().count())) * 1099511628211ULL;
    if (request.starts == 1) {
        addedDelay.add(inSeconds(now() - request.arrival));
    }
    vms[request.vm].running.push_back(index);
    ++vms[request.vm].own[engine];
    ++engines[engine].outstanding;
    Engine &target = engines[engine];
    if (target.probation && now() >= target.probation->first && now() < target.probation->second) {
        target.probationMost = std::max(target.probationMost, ++target.probationRunning);
    }
    const Duration delay = delayBetween(vms[request.vm].zone, target.zone);
    queue.at(now() + delay, [this, index, engine, priority, sentAt = request.sentAt, delay] {
        Request &sent = requests[index];
        if (sent.state != State::Sent || sent.engine != engine || sent.sentAt != sentAt) {
            return; // Cancelled before it arrived.
        }
        Engine &at = engines[engine];
        const auto generation = at.core.start({.priority = priority,
                                               .promptTokens = sent.work.promptTokens,
                                               .outputTokens = sent.outputTokens,
                                               .prefixHash = sent.work.prefixHash,
                                               .prefixTokens = sent.prefixTokens},
                                              now());
        if (!generation) {
            // A lost machine does not even refuse the connection.
            atVm(sent.vm, now() + kSilenceBound - delay, [this, index, engine, sentAt] {
                if (requests[index].state == State::Sent && requests[index].engine == engine && requests[index].sentAt == sentAt) {
                    engineFailed(index, engine);
                }
            });
            return;
        }
        sent.generation = *generation;
        at.requests.push_back(index);
        scheduleStep(static_cast<std::uint32_t>(engine));
    });
}

// Takes the request out of the counts of its engine and VM and cancels it there.
void Harness::Private::leaveEngine(std::uint32_t index)
{
    Request &request = requests[index];
    Engine &engine = engines[request.engine];
    engine.core.cancel(request.generation, now());
    request.generation = 0;
    --engine.outstanding;
    --vms[request.vm].own[request.engine];
    if (engine.probation && request.sentAt >= engine.probation->first && request.sentAt < engine.probation->second) {
        --engine.probationRunning;
    }
    auto &running = vms[request.vm].running;
    const auto found = std::find(running.begin(), running.end(), index);
    *found = running.back();
    running.pop_back();
    if (policy == Policy::FirstCome) {
        queue.at(now(), [this, model = request.model] { serveLine(model); });
    }
}

// The engine of a request is gone: moves the request if it has no token yet and the budget allows, or ends it.
void Harness::Private::engineFailed(std::uint32_t index, int engine)
{
    Request &request = requests[index];
    if (!request.atEngine() || request.engine != engine) {
        return;
    }
    if (request.state == State::Streaming) {
        finish(index, State::Incomplete, FinishReason::Failed);
        return;
    }
    finish(index, State::Lost, FinishReason::Failed);
    Vm &vm = vms[request.vm];
    if (vm.retryBudget >= 1 && now() < request.work.firstTokenDeadline) {
        vm.retryBudget -= 1;
        ++request.retries;
        request.state = State::Waiting;
        dispatch(index);
    }
}

void Harness::Private::finish(std::uint32_t index, State state, FinishReason reason)
{
    Request &request = requests[index];
    leaveEngine(index);
    request.state = state;
    trace("finish r%u e%d tokens=%u", index, request.engine, request.tokens);
    tellOwner(index,
              kSmallBytes,
              [this, index, reason, tokens = request.tokens, owner = request.owner, cell = request.cell](Scheduler &scheduler, const RequestId &id) {
                  ownerAt(owner, cell).entries.erase(index);
                  scheduler.onFinished(id, tokens, reason, now());
              });
}

void Harness::Private::scheduleStep(std::uint32_t engine)
{
    Engine &at = engines[engine];
    const auto next = at.core.nextEvent();
    if (!next || at.stepAt == next) {
        return;
    }
    at.stepAt = next;
    queue.at(*next, [this, engine, time = *next] {
        if (engines[engine].stepAt == time) {
            engines[engine].stepAt.reset();
            step(engine);
        }
    });
}

void Harness::Private::step(std::uint32_t engine)
{
    Engine &at = engines[engine];
    for (const TokenEvent &event : at.core.advance(now())) {
        const std::uint32_t index = at.requests[event.generation];
        if (requests[index].generation == event.generation && requests[index].engine == static_cast<int>(engine)) {
            token(at, index, event);
        }
    }
    scheduleStep(engine);
}

void Harness::Private::token(const Engine &engine, std::uint32_t index, const TokenEvent &event)
{
    Request &request = requests[index];
    const Vm &vm = vms[request.vm];
    const Duration pace = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / request.work.paceTokensPerSecond));
    TimePoint at = event.time + delayBetween(engine.zone, vm.zone);
    at = std::max({at, vm.pausedUntil, request.blockedUntil});
    const auto rank = static_cast<std::size_t>(request.work.rank);
    if (request.tokens == 0) {
        request.state = State::Streaming;
        request.firstToken = at;
        request.playback = at;
        atVm(request.vm, at, [this, index] {
            tellOwner(index, kSmallBytes, [this](Scheduler &scheduler, const RequestId &id) { scheduler.onFirstToken(id, now()); });
        });
        trace("first token r%u e%d after %.1f ms", index, request.engine, inMilliseconds(at - request.arrival));
    } else {
        const Duration late = at - (request.playback + pace);
        request.stall += std::max(late, Duration{});
        request.playback = std::max(at, request.playback + pace);
        if (event.time >= begin + scenario.floodBegin) {
            gaps[rank].add(inSeconds(at - request.lastToken));
            streamed[rank] += at - request.lastToken;
        }
    }
    request.lastToken = at;
    ++request.tokens;
    if (inFlood(event.time)) {
        ++floodTokens[request.model * fleet.teams.size() + request.team];
    }
    if (event.end != EndReason::None) {
        atVm(request.vm, at, [this, index, engineIndex = request.engine] {
            if (requests[index].state == State::Streaming && requests[index].engine == engineIndex) {
                finish(index, State::Complete, FinishReason::Complete);
            }
        });
    }
}

// --- Reports, heartbeats, progress ---

void Harness::Private::every(int vm, Duration interval, Duration offset, std::function<void()> action)
{
    atVm(vm, now() + offset, [this, vm, interval, action = std::move(action)] {
        action();
        every(vm, interval, interval, action);
    });
}

void Harness::Private::reportLoad(std::uint32_t engine)
{
    const Engine &from = engines[engine];
    if (from.dead) {
        return;
    }
    const EngineLoad load = from.core.load(now());
    trace("load e%u running=%u waiting=%u memory=%.2f step=%.1f preemptions=%llu",
          engine,
          load.running,
          load.waiting,
          static_cast<double>(load.memoryUsedTokens) / static_cast<double>(load.memoryCapacityTokens),
          load.stepMilliseconds,
          static_cast<unsigned long long>(load.preemptions));
    const LoadReport report = reportOf(from.id, load);
    for (int v = 0; v < static_cast<int>(vms.size()); ++v) {
        // In a large fleet only the first two VMs in the order of ownership read the reports of a cell.
        const auto &order = cells[from.cell].order;
        if (vms.size() <= kAllPeersUpTo || vms[v].id == order[0] || vms[v].id == order[1]) {
            atVm(v, now() + kReportLag, [this, v, report, engine] { deliverReport(v, report, engine); });
        }
    }
    queue.at(now() + kReportInterval, [this, engine] { reportLoad(engine); });
}

void Harness::Private::deliverReport(int vm, const LoadReport &report, std::uint32_t engine)
{
    Vm &at = vms[vm];
    at.reportBytes += kReportBytes;
    at.load[engine] = report;
    const std::uint32_t cell = engines[engine].cell;
    double load = 0;
    for (const std::uint32_t other : cells[cell].engines) {
        if (at.load[other]) {
            load += static_cast<double>(at.load[other]->running + at.load[other]->waiting) / static_cast<double>(cells[cell].engines.size());
        }
    }
    at.cellLoad[cell] = {load, now()};
    if (usesScheduler() && at.owners[cell]) {
        {
            const ProcessorTimer timer(timing, at.processorSeconds);
            at.owners[cell]->scheduler.onLoadReport(report, now());
        }
        pump(vm, cell);
    }
}

void Harness::Private::heartbeat(int vm)
{
    const std::size_t count = vms.size();
    const std::size_t peers = count <= kAllPeersUpTo ? count - 1 : kPeers;
    for (std::size_t i = 0; i < peers; ++i) {
        const std::size_t step = count <= kAllPeersUpTo ? i + 1 : 1 + random.below(count - 1);
        const int peer = static_cast<int>((static_cast<std::size_t>(vm) + step) % count);
        // Digests of the own cells, and some of other cells that this VM has heard of (gossip).
        std::vector<std::pair<std::uint32_t, std::pair<double, TimePoint>>> digests;
        for (std::uint32_t cell = 0; cell < cells.size(); ++cell) {
            if (vms[vm].order[cell].front() == vm) {
                digests.emplace_back(cell, vms[vm].cellLoad[cell]);
            }
        }
        for (std::size_t k = 0; count > kAllPeersUpTo && k < kForwardedDigests; ++k) {
            const auto cell = static_cast<std::uint32_t>(random.below(cells.size()));
            digests.emplace_back(cell, vms[vm].cellLoad[cell]);
        }
        const auto bytes = kHeartbeatBytes + kDigestBytes * static_cast<std::uint32_t>(digests.size());
        send(vm, peer, bytes, [this, vm, peer, digests] {
            vms[peer].heard[vm] = now();
            for (const auto &[cell, load] : digests) {
                if (load.second > vms[peer].cellLoad[cell].second) {
                    vms[peer].cellLoad[cell] = load;
                }
            }
        });
    }
    if (count <= kAllPeersUpTo) {
        checkPeers(vm);
    }
}

void Harness::Private::checkPeers(int vm)
{
    Vm &at = vms[vm];
    bool changed = false;
    for (int peer = 0; peer < static_cast<int>(vms.size()); ++peer) {
        const bool silent = peer != vm && (!at.listed[peer] || now() - at.heard[peer] > kSuspectAfter);
        if (silent == at.suspected[peer]) {
            continue;
        }
        at.suspected[peer] = silent;
        changed = true;
        trace("vm%d %s vm%d", vm, silent ? "suspects" : "hears again", peer);
        if (!silent || !usesScheduler()) {
            continue;
        }
        for (std::uint32_t cell = 0; cell < cells.size(); ++cell) {
            if (!at.owners[cell] || policy == Policy::Alone) {
                continue;
            }
            Owner &owner = *at.owners[cell];
            std::vector<std::uint32_t> gone;
            for (const auto &[index, entry] : owner.entries) {
                if (entry == peer) {
                    gone.push_back(index);
                }
            }
            std::sort(gone.begin(), gone.end());
            for (const std::uint32_t index : gone) {
                owner.entries.erase(index);
                owner.scheduler.withdraw(requests[index].work.id, now());
            }
            pump(vm, cell);
        }
    }
    if (!changed || !usesScheduler()) {
        return;
    }
    std::vector<int> before;
    for (const auto &order : at.order) {
        before.push_back(order.front());
    }
    updateOrder(vm);
    for (int peer = 0; peer < static_cast<int>(vms.size()); ++peer) {
        if (at.suspected[peer]) {
            carryOut(vm, at.asks.onVmLost(vms[peer].id, now()));
        }
    }
    for (std::uint32_t cell = 0; cell < cells.size(); ++cell) {
        if (policy != Policy::Alone && at.order[cell].front() != before[cell]) {
            resync(vm, cell, at.order[cell].front());
        }
    }
}

void Harness::Private::updateOrder(int vm)
{
    Vm &at = vms[vm];
    at.order.assign(cells.size(), {});
    for (std::uint32_t cell = 0; cell < cells.size(); ++cell) {
        for (const VmId &id : cells[cell].order) {
            const int index = std::stoi(id.value().substr(2));
            if (!at.suspected[index]) {
                at.order[cell].push_back(index);
            }
        }
    }
}

void Harness::Private::sendProgress(int vm)
{
    // One message for each owner and cell.
    std::map<std::pair<int, std::uint32_t>, std::vector<std::pair<std::uint32_t, std::uint32_t>>> grouped;
    for (const std::uint32_t index : vms[vm].running) {
        const Request &request = requests[index];
        if (request.owner != kNone && request.state == State::Streaming) {
            grouped[{request.owner, request.cell}].emplace_back(index, request.tokens);
        }
    }
    for (const auto &[key, answers] : grouped) {
        const auto [owner, cell] = key;
        const auto bytes = kProgressHeadBytes + kProgressEntryBytes * static_cast<std::uint32_t>(answers.size());
        send(vm, owner, bytes, [this, owner = owner, cell = cell, list = answers] {
            Owner &at = ownerAt(owner, cell);
            {
                const ProcessorTimer timer(timing, vms[owner].processorSeconds);
                for (const auto &[index, tokens] : list) {
                    at.scheduler.onProgress(requests[index].work.id, tokens, now());
                }
            }
            pump(owner, cell);
        });
    }
}

// --- Faults ---

void Harness::Private::inject(const Fault &fault)
{
    const int owner = std::stoi(cells.front().order.front().value().substr(2));
    switch (fault.kind) {
    case Fault::Kind::LoseEngine:
        loseEngine(fault.index);
        break;
    case Fault::Kind::LoseVm:
        loseVm(static_cast<int>(fault.index));
        break;
    case Fault::Kind::LoseZone:
        for (std::uint32_t e = 0; e < engines.size(); ++e) {
            if (engines[e].zone == fault.index) {
                loseEngine(e);
            }
        }
        for (int v = 0; v < static_cast<int>(vms.size()); ++v) {
            if (vms[v].zone == fault.index) {
                loseVm(v);
            }
        }
        break;
    case Fault::Kind::LoseOwner:
        loseVm(owner);
        break;
    case Fault::Kind::PauseOwner:
        pauseVm(owner, fault.duration);
        break;
    case Fault::Kind::TwoOwners:
        cutVm = owner;
        cut = {now(), now() + fault.duration};
        lossAt = now();
        break;
    case Fault::Kind::SlowEngine:
        engines[fault.index].core.setSlowdown(10);
        watch(fault.index, fault.duration);
        queue.at(now() + fault.duration, [this, e = fault.index] { engines[e].core.setSlowdown(1); });
        break;
    case Fault::Kind::FreezeReport:
        engines[fault.index].core.setReportFrozen(true, now());
        watch(fault.index, fault.duration);
        queue.at(now() + fault.duration, [this, e = fault.index] { engines[e].core.setReportFrozen(false, now()); });
        break;
    case Fault::Kind::PlatformOutage:
        platformUp = false;
        queue.at(now() + fault.duration, [this] { platformUp = true; });
        break;
    }
}

// Counts the answers that an engine carries at the same time among those started more than 5 s after the fault.
void Harness::Private::watch(std::uint32_t engine, Duration duration)
{
    engines[engine].probation = {now() + kRecovery, now() + duration};
}

void Harness::Private::loseEngine(std::uint32_t engine)
{
    lossAt = now();
    engines[engine].dead = true;
    engines[engine].core.crash(now());
    engines[engine].stepAt.reset();
    queue.at(now() + kSilenceBound, [this, engine] {
        for (int v = 0; v < static_cast<int>(vms.size()); ++v) {
            const std::vector<std::uint32_t> running = vms[v].running;
            for (const std::uint32_t index : running) {
                if (requests[index].engine == static_cast<int>(engine) && requests[index].sentAt <= now() - kSilenceBound) {
                    atVm(v, now(), [this, index, engine] { engineFailed(index, static_cast<int>(engine)); });
                }
            }
        }
    });
}

void Harness::Private::loseVm(int vm)
{
    lossAt = now();
    vms[vm].dead = true;
    queue.at(now() + kPlatformLag, [this, vm] { platformList[vm] = false; });
    const std::vector<std::uint32_t> running = vms[vm].running;
    for (const std::uint32_t index : running) {
        Request &request = requests[index];
        if (request.state == State::Sent) {
            leaveEngine(index); // The engine sees the connection close.
            request.state = State::Lost;
        } else {
            request.blockedUntil = now() + kBalancerDelay;
        }
    }
    for (Request &request : requests) {
        if (request.vm == vm && request.state == State::Waiting) {
            request.state = State::Lost;
        }
    }
    queue.at(now() + kBalancerDelay, [this, vm] {
        balancerAvoids[vm] = true;
        const std::vector<std::uint32_t> orphans = vms[vm].running;
        vms[vm].running.clear();
        for (const std::uint32_t index : orphans) {
            Request &request = requests[index];
            const int other = balance();
            if (request.state != State::Streaming || other == kNone || vms[other].dead || engines[request.engine].dead) {
                request.state = request.state == State::Streaming ? State::Incomplete : request.state;
                continue;
            }
            // The caller resumes the same generation at another VM.
            request.vm = other;
            vms[other].running.push_back(index);
            ++vms[other].own[request.engine];
            if (request.owner != kNone && policy != Policy::Alone) {
                resync(other, request.cell, vms[other].order[request.cell].front(), index);
            } else {
                request.owner = kNone;
            }
            const auto state = engines[request.engine].core.resume(request.generation, request.tokens, now());
            if (state && state->end != EndReason::None) {
                finish(index, State::Complete, FinishReason::Complete);
            }
        }
    });
}

void Harness::Private::pauseVm(int vm, Duration duration)
{
    lossAt = now();
    vms[vm].pausedUntil = now() + duration;
    queue.at(now() + kBalancerDelay, [this, vm] { balancerAvoids[vm] = true; });
    queue.at(now() + duration + kBalancerDelay, [this, vm] { balancerAvoids[vm] = false; });
}

// --- Figures ---

bool Harness::Private::withinSlo(const Request &request, TimePoint end) const
{
    if (request.tokens == 0 || request.firstToken > request.work.firstTokenDeadline || request.state == State::Incomplete) {
        return false;
    }
    const std::chrono::duration<double> promised(static_cast<double>(request.tokens - 1) / request.work.paceTokensPerSecond);
    const TimePoint last = request.state == State::Streaming ? std::max(request.lastToken, end) : request.lastToken;
    return last - request.firstToken <= promised + kPaceSlack;
}

void Harness::Private::rankFigures(Figures &figures, TimePoint end) const
{
    const TimePoint recovered = lossAt ? *lossAt + kSilenceBound + kRecovery : end;
    double goodput = 0;
    double refusedWait = 0;
    for (const Rank rank : {Rank::Urgent, Rank::Ordinary}) {
        const std::string prefix = std::string(daisystream::toString(rank)) + " ";
        std::uint64_t all = 0;
        std::uint64_t met = 0;
        std::uint64_t begun = 0;
        std::uint64_t refused = 0;
        std::uint64_t held = 0;
        std::uint64_t lost = 0;
        std::uint64_t after = 0;
        std::uint64_t metAfter = 0;
        Duration stall{};
        Quantiles firstToken;
        Quantiles wait;
        for (const Request &request : requests) {
            const TimePoint deadlineMargin = end - seconds(1);
            if (request.work.rank != rank || request.arrival < begin + scenario.floodBegin || request.arrival >= begin + scenario.floodEnd
                || request.work.firstTokenDeadline > deadlineMargin) {
                continue;
            }
            const bool good = withinSlo(request, end);
            ++all;
            met += good ? 1 : 0;
            goodput += good ? request.tokens : 0;
            stall += request.stall;
            if (request.arrival >= recovered) {
                ++after;
                metAfter += good ? 1 : 0;
            }
            if (request.tokens > 0) {
                ++begun;
                firstToken.add(inSeconds(request.firstToken - request.arrival));
            }
            lost += request.state == State::Lost ? 1 : 0;
            if (request.state == State::Refused) {
                ++refused;
                wait.add(inSeconds(request.refusedAfter));
                const double waited = inSeconds(request.refusedAfter) / inSeconds(request.work.firstTokenDeadline - request.work.arrival);
                refusedWait = std::max(refusedWait, waited);
                held += waited > kNearDeadline ? 1 : 0;
            }
        }
        const auto share = [](std::uint64_t part, std::uint64_t whole) {
            return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
        };
        figures[prefix + "requests"] = static_cast<double>(all);
        figures[prefix + "within SLO"] = share(met, all);
        figures[prefix + "within SLO of begun"] = share(met, begun);
        figures[prefix + "refused"] = share(refused, all);
        figures[prefix + "lost"] = share(lost, all);
        figures[prefix + "refused near the deadline"] = refused == 0 ? 0.0 : share(held, refused);
        figures[prefix + "refused after p50 ms"] = 1000 * wait.at(0.5);
        figures[prefix + "refused after p99 ms"] = 1000 * wait.at(0.99);
        figures[prefix + "first token p50 ms"] = 1000 * firstToken.at(0.5);
        figures[prefix + "first token p99 ms"] = 1000 * firstToken.at(0.99);
        figures[prefix + "token gap p99 ms"] = 1000 * gaps[static_cast<std::size_t>(rank)].at(0.99);
        figures[prefix + "stall share"] = inSeconds(stall) / std::max(1.0, inSeconds(streamed[static_cast<std::size_t>(rank)]));
        if (lossAt) {
            figures[prefix + "within SLO 5 s after detection"] = share(metAfter, after);
        }
    }
    figures["goodput tokens/s"] = goodput / inSeconds(end - begin - scenario.floodBegin);
    figures["longest wait of refused / promise"] = refusedWait;
}

void Harness::Private::fairnessFigures(Figures &figures) const
{
    std::uint64_t ordinary = 0;
    std::uint64_t total = 0;
    const std::size_t teams = fleet.teams.size();
    for (const Rank rank : {Rank::Urgent, Rank::Ordinary}) {
        double least = 1;
        for (std::size_t model = 0; model < fleet.models.size(); ++model) {
            std::vector<double> backlogged;
            for (std::size_t team = 0; team < teams; ++team) {
                if (fleet.teams[team].rank != rank) {
                    continue;
                }
                const auto served = static_cast<double>(floodTokens[model * teams + team]);
                total += floodTokens[model * teams + team];
                ordinary += rank == Rank::Ordinary ? floodTokens[model * teams + team] : 0;
                // Twice as much asked for as served: the team had requests waiting or refused throughout.
                if (static_cast<double>(floodDemand[model * teams + team]) > 2 * served) {
                    backlogged.push_back(served / fleet.teams[team].weight);
                }
            }
            least = std::min(least, jainIndex(backlogged));
        }
        figures[std::string(daisystream::toString(rank)) + " Jain index (worse model)"] = least;
    }
    figures["ordinary share of tokens"] = total == 0 ? 0 : static_cast<double>(ordinary) / static_cast<double>(total);
}

void Harness::Private::fleetFigures(Figures &figures, TimePoint end) const
{
    std::uint64_t preemptions = 0;
    std::uint64_t generated = 0;
    for (const Engine &engine : engines) {
        preemptions += engine.core.load(now()).preemptions;
        generated += engine.core.load(now()).generatedTokens;
        if (engine.probation) {
            figures["answers at once on the faulty engine"] = engine.probationMost;
        }
    }
    figures["preemptions"] = static_cast<double>(preemptions);
    figures["tokens/s"] = static_cast<double>(generated) / inSeconds(end - begin);
    std::uint64_t begun = 0;
    std::uint64_t retries = 0;
    std::uint64_t small = 0;
    std::uint64_t smallMet = 0;
    for (const Request &request : requests) {
        begun += request.starts > 0 ? 1 : 0;
        retries += request.retries;
        if (scenario.greedyTeam && request.team != *scenario.greedyTeam && request.arrival >= begin + scenario.floodBegin
            && request.arrival < begin + scenario.floodEnd) {
            ++small;
            smallMet += withinSlo(request, end) ? 1 : 0;
        }
    }
    figures["retries / requests begun"] = static_cast<double>(retries) / std::max(1.0, static_cast<double>(begun));
    figures["moves before first token"] = static_cast<double>(moves);
    if (small > 0) {
        figures["modest teams within SLO"] = static_cast<double>(smallMet) / static_cast<double>(small);
    }
    figures["delay to engine p50 ms"] = 1000 * addedDelay.at(0.5);
    double bytes = 0;
    double reports = 0;
    double processor = 0;
    double busiest = 0;
    for (const Vm &vm : vms) {
        bytes += static_cast<double>(vm.bytesSent);
        reports += static_cast<double>(vm.reportBytes);
        processor += vm.processorSeconds;
        busiest = std::max(busiest, vm.processorSeconds);
    }
    const double perVm = static_cast<double>(vms.size()) * inSeconds(end - begin);
    figures["control bytes/s per VM"] = bytes / perVm;
    figures["load report bytes/s per VM"] = reports / perVm;
    if (timing) {
        figures["cpu % of a core per VM"] = 100 * processor / perVm;
        figures["cpu % of a core, busiest VM"] = 100 * busiest / inSeconds(end - begin);
    }
}

Figures Harness::Private::run()
{
    scheduleArrival(0);
    for (std::uint32_t e = 0; e < engines.size(); ++e) {
        queue.at(now() + kReportInterval * e / static_cast<int>(engines.size()), [this, e] { reportLoad(e); });
    }
    for (int v = 0; v < static_cast<int>(vms.size()); ++v) {
        const int count = static_cast<int>(vms.size());
        every(v, kHeartbeatInterval, kHeartbeatInterval * v / count, [this, v] { heartbeat(v); });
        every(v, kPlatformInterval, kPlatformInterval * v / count, [this, v] {
            if (platformUp) {
                vms[v].listed = platformList;
            }
        });
        if (usesScheduler()) {
            every(v, kProgressInterval, kProgressInterval * v / count, [this, v] { sendProgress(v); });
        }
    }
    for (const Fault &fault : scenario.faults) {
        queue.at(begin + fault.at, [this, fault] { inject(fault); });
    }
    const TimePoint end = begin + scenario.length;
    while (queue.runOne(end)) { }
    Figures figures;
    rankFigures(figures, end);
    fairnessFigures(figures);
    fleetFigures(figures, end);
    return figures;
}

Harness::Harness(const Fleet &fleet, const Scenario &scenario, Policy policy, std::uint64_t seed)
    : d_(std::make_unique<Private>(fleet, scenario, policy, seed))
{
}

Harness::~Harness() = default;

void Harness::traceBetween(Duration from, Duration to)
{
    d_->traceFrom = from;
    d_->traceTo = to;
}

void Harness::measureProcessorTime()
{
    d_->timing = true;
}

Figures Harness::run()
{
    return d_->run();
}

std::uint64_t Harness::decisionHash() const
{
    return d_->hash;
}

} // namespace daisystream::bench
