#include "soak/deployment.h"

#include "daisystream/base/overloaded.h"
#include "deploy/standins/fleetconfiguration.h"
#include "deploy/standins/fleetstore.h"
#include "scenarios/httpcall.h"
#include "scenarios/process.h"
#include "standins/relay/relay.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <stdexcept>
#include <thread>

namespace daisystream::soak
{

using nlohmann::json;
using scenarios::HttpCall;
using scenarios::HttpRequest;
using scenarios::Process;
using standins::Relay;

namespace
{

constexpr milliseconds kTick{10};
constexpr milliseconds kStartLimit{30000};
constexpr milliseconds kCallLimit{2000};
// From SIGTERM until the platform kills a process (`gateway.graceMs`).
constexpr milliseconds kGrace{8000};
// Longest limit of a route, the patience of callers and some more.
constexpr milliseconds kCallersEnd{20000};
// Length of a pause of one tick that shows that the machine gave its processes no time.
constexpr milliseconds kMachineStall{150};
// After this a frozen endpoint is told again to stop misbehaving.
constexpr milliseconds kTellAgain{400};
constexpr milliseconds kSlowStore{400};
constexpr milliseconds kClockJump{3600000};
constexpr unsigned kLostReplies = 20;
// From the crash of an engine until it is started again.
constexpr milliseconds kDownAfterCrash{2000};

/// One process and how it is started.
struct Managed
{
    enum class State : std::uint8_t { Down, Running, Stopping };

    std::string program;
    std::vector<std::string> arguments;
    std::unique_ptr<Process> process{};
    State state = State::Down;
    unsigned starts = 0;
    std::vector<std::string> logs{};
    Moment stopAt{};        ///< When it was asked to end.
    milliseconds downFor{}; ///< After it has ended, until its next start.
    std::size_t stopSpan = 0;
};

struct Task
{
    Moment at{};
    std::function<void()> run;
};

Relay::Mode modeOf(LinkFault fault)
{
    switch (fault) {
    case LinkFault::Refuse:
        return Relay::Mode::Refuse;
    case LinkFault::Stall:
        return Relay::Mode::Stall;
    case LinkFault::Forget:
        return Relay::Mode::ForgetOpen;
    case LinkFault::DropRequests:
        return Relay::Mode::DropRequests;
    case LinkFault::DropReplies:
        return Relay::Mode::DropReplies;
    case LinkFault::Slow:
        return Relay::Mode::Slow;
    case LinkFault::Cut:
        break;
    }
    return Relay::Mode::Pass;
}

json faultsOf(StoreFault fault)
{
    using Outage = standins::FleetStoreFaults::Outage;
    switch (fault) {
    case StoreFault::Refusing:
        return {{"outage", Outage::Refusing}};
    case StoreFault::Closing:
        return {{"outage", Outage::Closing}};
    case StoreFault::Silent:
        return {{"outage", Outage::Silent}};
    case StoreFault::Slow:
        return {{"slowMs", kSlowStore.count()}};
    case StoreFault::LosesReplies:
        return {{"loseReplies", kLostReplies}};
    case StoreFault::ForgetsHistory:
        return {{"forgetHistory", true}};
    case StoreFault::ClockJumps:
        return {{"clockStepMs", kClockJump.count()}};
    }
    return json::object();
}

json faultsOf(EndpointFault fault)
{
    switch (fault) {
    case EndpointFault::LosesAnswers:
        return {{"loseEvery", 3}};
    case EndpointFault::Fails:
        return {{"failEvery", 2}};
    case EndpointFault::Garbles:
        return {{"garbleEvery", 3}};
    case EndpointFault::Slow:
        return {{"slowFactor", 8.0}};
    }
    return json::object();
}

} // namespace

class Deployment::Private
{
public:
    Private(const DeploymentOptions &with, const Plan &toPlay, scenarios::PortBlock &block)
        : options(with)
        , plan(toPlay)
        , ports(block)
        , storePort(block.next())
    {
    }

    // Processes.

    void startProcess(const std::string &name)
    {
        auto &managed = processes.at(name);
        const std::string log = options.scratch + "/" + name + "-" + std::to_string(++managed.starts) + ".log";
        managed.process = std::make_unique<Process>(options.programs + "/" + managed.program, managed.arguments, log);
        managed.logs.push_back(log);
        managed.state = Managed::State::Running;
    }

    [[nodiscard]] bool isRunning(const std::string &name) const
    {
        const auto found = processes.find(name);
        return found != processes.end() && found->second.state == Managed::State::Running;
    }

    /// Does something later, unless the process has been started anew until then.
    void later(milliseconds after, const std::string &name, std::function<void(Managed &)> function)
    {
        const unsigned start = processes.at(name).starts;
        tasks.push_back({now() + after, [this, name, start, function = std::move(function)] {
                             auto &managed = processes.at(name);
                             if (managed.starts == start) {
                                 function(managed);
                             }
                         }});
    }

    void begin(const FreezeProcess &action)
    {
        if (!isRunning(action.process)) {
            return;
        }
        const auto span = timeline.begin(action.process, Disturbance::Unplanned, now());
        processes.at(action.process).process->signal(SIGSTOP);
        later(action.length, action.process, [](Managed &managed) { managed.process->signal(SIGCONT); });
        tasks.push_back({now() + action.length, [this, span] {
                             timeline.end(span, now());
                         }});
    }

    void begin(const KillProcess &action)
    {
        auto &managed = processes.at(action.process);
        if (managed.state == Managed::State::Down) {
            return;
        }
        const auto span = timeline.begin(action.process, Disturbance::Unplanned, now());
        managed.process->signal(SIGKILL);
        managed.process->wait();
        if (managed.state == Managed::State::Stopping) {
            timeline.end(managed.stopSpan, now());
        }
        managed.state = Managed::State::Down;
        restartLater(action.process, action.downFor, span);
    }

    void restartLater(const std::string &name, milliseconds after, std::size_t span)
    {
        later(after, name, [this, name, span](Managed &) {
            startProcess(name);
            timeline.end(span, now());
        });
    }

    void begin(const StopProcess &action)
    {
        if (!isRunning(action.process)) {
            return;
        }
        auto &managed = processes.at(action.process);
        managed.state = Managed::State::Stopping;
        managed.stopAt = now();
        managed.downFor = action.downFor;
        managed.stopSpan = timeline.begin(action.process, Disturbance::Planned, now());
        managed.process->signal(SIGTERM);
    }

    void begin(const ReloadProcess &action)
    {
        if (!isRunning(action.process)) {
            return;
        }
        const auto span = timeline.begin(action.process, Disturbance::Planned, now());
        processes.at(action.process).process->signal(SIGHUP);
        timeline.end(span, now() + milliseconds(1));
    }

    /// Notices processes that have ended.
    void watchProcesses()
    {
        for (auto &[name, managed] : processes) {
            if (managed.state == Managed::State::Down) {
                continue;
            }
            const bool isStopping = managed.state == Managed::State::Stopping;
            if (managed.process->running()) {
                if (isStopping && now() > managed.stopAt + kGrace + kMachineStall) {
                    // What the platform does.
                    const bool isCalm = timeline.isCalmButPlanned(name, managed.stopAt, now());
                    if (isCalm) {
                        unexpectedEnds.push_back(name + " did not end within " + std::to_string(kGrace.count()) + " ms of SIGTERM");
                    }
                    managed.process->signal(SIGKILL);
                }
                continue;
            }
            const int code = managed.process->wait();
            managed.state = Managed::State::Down;
            constexpr int kKilled = 128 + SIGKILL;
            constexpr int kTerminated = 128 + SIGTERM;
            // A program that has written nothing was told to end before it could ask to be told.
            const bool hadNotBegun = code == kTerminated && std::filesystem::is_empty(managed.logs.back());
            const bool hasCrashed = code == kCrashExitCode && options.size.deadlyShare > 0;
            if (hasCrashed) {
                managed.downFor = kDownAfterCrash;
            } else if (code != 0 && !(isStopping && (code == kKilled || hadNotBegun))) {
                unexpectedEnds.push_back(name + " ended with code " + std::to_string(code) + "; its log is " + managed.logs.back());
            } else if (!isStopping) {
                unexpectedEnds.push_back(name + " ended by itself");
            }
            if (!isEnding) {
                const auto span = isStopping ? managed.stopSpan : timeline.begin(name, Disturbance::Unplanned, now());
                restartLater(name, managed.downFor, span);
            }
        }
    }

    // Links.

    void begin(const DisturbLink &action)
    {
        auto &relay = *relays.at({action.link, action.process});
        const auto generation = ++linkGeneration[{action.link, action.process}];
        const auto span = timeline.begin(action.process, Disturbance::Unplanned, now());
        const auto mode = modeOf(action.fault);
        if (action.fault == LinkFault::Cut) {
            relay.cutOpen();
        }
        relay.setMode(mode);
        tasks.push_back({now() + action.length, [this, action, generation, span] {
                             timeline.end(span, now());
                             if (linkGeneration[{action.link, action.process}] == generation) {
                                 calmLink(*relays.at({action.link, action.process}), action.fault);
                             }
                         }});
    }

    static void calmLink(Relay &relay, LinkFault fault)
    {
        const bool lostBytes = fault == LinkFault::Forget || fault == LinkFault::DropRequests || fault == LinkFault::DropReplies;
        if (lostBytes) {
            relay.cutOpen();
        }
        relay.setMode(Relay::Mode::Pass);
    }

    // The store, the endpoints and the operator.

    /// @return the status, 0 if there was none.
    static int post(std::uint16_t port, const std::string &target, const std::string &body)
    {
        const HttpCall call(HttpRequest{.method = "POST", .port = port, .target = target, .headers = {}, .body = body});
        return call.waitFinished(kCallLimit) ? call.status() : 0;
    }

    void begin(const DisturbStore &action)
    {
        const auto generation = ++storeGeneration;
        const auto span = timeline.begin(kStoreName, Disturbance::Unplanned, now());
        setFaults(storePort, faultsOf(action.fault));
        tasks.push_back({now() + action.length, [this, generation, span] {
                             if (storeGeneration == generation) {
                                 setFaults(storePort, json::object());
                             }
                             timeline.end(span, now());
                         }});
    }

    static void setFaults(std::uint16_t port, const json &faults)
    {
        if (post(port, "/standin/faults", faults.dump()) != 200) {
            std::cerr << "the faults of port " << port << " could not be set\n";
        }
    }

    void begin(const DisturbEndpoint &action)
    {
        if (!isRunning(action.process) || isDisturbed(action.process)) {
            return; // A frozen process would not take its faults.
        }
        const auto span = timeline.begin(action.process, Disturbance::Unplanned, now());
        setFaults(endpointPorts.at(action.process), faultsOf(action.fault));
        tasks.push_back({now() + action.length, [this, span] {
                             timeline.end(span, now());
                         }});
        later(action.length, action.process, [this, name = action.process](Managed &) { calmEndpoint(name); });
    }

    /// A later limit of the same endpoint replaces an earlier one.
    void begin(const LimitEndpoint &action)
    {
        if (!isRunning(action.process) || isDisturbed(action.process)) {
            return; // A frozen process would not take it.
        }
        const auto generation = ++limitGeneration[action.process];
        setLimit(action.process, action.perSecond);
        later(action.length, action.process, [this, name = action.process, generation](Managed &) { endLimit(name, generation); });
    }

    void endLimit(const std::string &name, unsigned generation)
    {
        if (limitGeneration[name] != generation || !isRunning(name)) {
            return;
        }
        if (isDisturbed(name)) {
            later(kTellAgain, name, [this, name, generation](Managed &) { endLimit(name, generation); });
        } else {
            setLimit(name, 0);
        }
    }

    void setLimit(const std::string &name, double perSecond)
    {
        if (post(endpointPorts.at(name), "/standin/limit", json{{"perSecond", perSecond}}.dump()) != 200) {
            std::cerr << "the limit of " << name << " could not be set\n";
        }
    }

    void calmEndpoint(const std::string &name)
    {
        if (isDisturbed(name)) {
            later(kTellAgain, name, [this, name](Managed &) { calmEndpoint(name); });
        } else if (isRunning(name)) {
            setFaults(endpointPorts.at(name), json::object());
        }
    }

    /// @return whether a process is disturbed now, and not as planned.
    [[nodiscard]] bool isDisturbed(const std::string &name) const
    {
        return !timeline.isCalmButPlanned(name, now(), now());
    }

    void begin(const ChangeConfiguration &action)
    {
        waiting.push_back(action.next);
    }

    /// The operator repeats a write until the store acknowledges it.
    void writeConfigurations()
    {
        while (!waiting.empty()) {
            if (configurations.empty() || configurations.back().configuration != waiting.front()) {
                configurations.push_back({.configuration = waiting.front(), .sentAt = now()});
            }
            if (post(storePort, "/standin/row", standins::configurationRow(waiting.front())) != 200) {
                return;
            }
            configurations.back().acknowledgedAt = now();
            waiting.pop_front();
        }
    }

    /// Two withdrawals of one zone at the same time count as one.
    void begin(const WithdrawZone &action)
    {
        if (!withdrawnZones.insert(action.zone).second) {
            return;
        }
        zoneChanges.push_back({action.zone, true});
        tasks.push_back({now() + action.length, [this, zone = action.zone] {
                             zoneChanges.push_back({zone, false});
                         }});
    }

    /// As with the configuration, the operator repeats a write until the store acknowledges it.
    void writeZones()
    {
        while (!zoneChanges.empty()) {
            const auto [zone, isWithdrawn] = zoneChanges.front();
            const auto known = std::find_if(withdrawals.rbegin(), withdrawals.rend(), [&, &name = zone](const auto &entry) { return entry.zone == name; });
            if (!isWithdrawn && known->restoredAt == Moment::max()) {
                known->restoredAt = now();
            }
            if (post(storePort, "/standin/row", standins::zoneRow(zone, isWithdrawn)) != 200) {
                return;
            }
            if (isWithdrawn) {
                withdrawals.push_back({.zone = zone, .acknowledgedAt = now()});
            } else {
                withdrawnZones.erase(zone);
            }
            zoneChanges.pop_front();
        }
    }

    // Start and end.

    void addEndpoint(const std::string &name, const char *role, const char *service)
    {
        const auto port = ports.next();
        endpointPorts[name] = port;
        auto &relay = relays[{LinkKind::Endpoint, name}] = std::make_unique<Relay>(port);
        processes[name] = {.program = "deploy/standin_fleet",
                           .arguments = {"--role",
                                         role,
                                         "--name",
                                         name,
                                         "--service",
                                         service,
                                         "--zone",
                                         zoneOfEndpoint(name),
                                         "--port",
                                         std::to_string(port),
                                         "--advertised_port",
                                         std::to_string(relay->port()),
                                         "--store_port",
                                         std::to_string(storePort)}};
        startProcess(name);
    }

    void addVm(const std::string &name)
    {
        const auto address = [](std::uint16_t port) {
            return "127.0.0.1:" + std::to_string(port);
        };
        const auto callers = ports.next();
        const auto peers = ports.next();
        readinessPorts[name] = ports.next();
        auto &callersRelay = relays[{LinkKind::Callers, name}] = std::make_unique<Relay>(callers);
        auto &peersRelay = relays[{LinkKind::Peers, name}] = std::make_unique<Relay>(peers);
        auto &storeRelay = relays[{LinkKind::Store, name}] = std::make_unique<Relay>(storePort);
        callerTargets.push_back({name, callersRelay->port()});
        const json settings{{"vm", name},
                            {"zone", "a"},
                            {"listen", address(callers)},
                            {"listenPeers", address(peers)},
                            {"advertisePeers", address(peersRelay->port())},
                            {"listenReadiness", address(readinessPorts[name])},
                            {"workers", 1},
                            {"platform", address(storeRelay->port())},
                            {"platformProtocol", "fleet"},
                            {"gateway", {{"retryAllowance", Bounds().retryAllowance}}}};
        const std::string path = options.scratch + "/" + name + ".json";
        std::ofstream(path) << settings.dump(2);
        processes[name] = {.program = "daemon/daisystreamd", .arguments = {"--settings", path}};
        startProcess(name);
    }

    void addCallers(unsigned number)
    {
        const std::string name = "callers" + std::to_string(number);
        const CallerPlan callers{.name = name,
                                 .seed = options.seed * 1000 + number,
                                 .connections = options.connections,
                                 .targets = callerTargets,
                                 .routes = plan.allRoutes(),
                                 .keys = plan.allKeys(),
                                 .deadlyShare = options.size.deadlyShare,
                                 .deadlyParts = options.size.deadlyParts};
        const std::string path = options.scratch + "/" + name + ".json";
        std::ofstream(path) << encodeCallerPlan(callers);
        processes[name] = {.program = "deploy/standin_fleet", .arguments = {"--role", "callers", "--plan", path}};
        startProcess(name);
    }

    /// Waits for a condition. @throws std::runtime_error if it does not come true.
    static void waitFor(const std::string &what, const std::function<bool()> &condition)
    {
        const auto limit = now() + kStartLimit;
        while (!condition()) {
            if (now() > limit) {
                throw std::runtime_error("not reached: " + what);
            }
            std::this_thread::sleep_for(kTick);
        }
    }

    [[nodiscard]] bool isReady(const std::string &vm) const
    {
        const HttpCall call(HttpRequest{.method = "GET", .port = readinessPorts.at(vm), .target = "/readyz", .headers = {}, .body = {}});
        return call.waitFinished(kCallLimit) && call.status() == 200;
    }

    void start()
    {
        processes["store"] = {.program = "deploy/standin_fleet", .arguments = {"--role", "store", "--port", std::to_string(storePort)}};
        startProcess("store");
        waiting.push_back(plan.configurations.front());
        waitFor("the store takes the first configuration", [this] {
            writeConfigurations();
            return waiting.empty();
        });
        for (unsigned i = 1; i <= options.size.engines; ++i) {
            addEndpoint(engineName(i), "engine", kModelService);
        }
        for (unsigned i = 1; i <= options.size.services; ++i) {
            addEndpoint(serviceName(i), "service", kDeskService);
        }
        for (unsigned i = 1; i <= options.size.vms; ++i) {
            addVm(vmName(i));
        }
        for (const auto &[name, port] : readinessPorts) {
            waitFor(name + " is ready", [&, &vm = name] { return isReady(vm); });
        }
        for (unsigned i = 1; i <= options.callerProcesses; ++i) {
            addCallers(i);
        }
    }

    void tick()
    {
        const auto at = now();
        for (std::size_t i = 0; i < tasks.size();) {
            if (tasks[i].at <= at) {
                const auto task = std::move(tasks[i]);
                tasks.erase(tasks.begin() + static_cast<std::ptrdiff_t>(i));
                task.run();
            } else {
                ++i;
            }
        }
        watchProcesses();
        writeConfigurations();
        writeZones();
        pauseAndNoticeStall();
    }

    /// A pause that takes much longer than asked for shows that the machine gave its processes no time.
    void pauseAndNoticeStall()
    {
        const auto before = now();
        std::this_thread::sleep_for(kTick);
        const auto after = now();
        if (after - before > kMachineStall) {
            timeline.end(timeline.begin(kEverything, Disturbance::Unplanned, before), after);
        }
    }

    void endAll(const std::function<bool(const std::string &)> &isMeant, milliseconds limit)
    {
        isEnding = true;
        for (auto &[name, managed] : processes) {
            if (isMeant(name) && managed.state == Managed::State::Running) {
                begin(StopProcess{name, {}});
            }
        }
        const auto until = now() + limit;
        const auto isEnded = [&] {
            return std::all_of(
                processes.begin(), processes.end(), [&](const auto &entry) { return !isMeant(entry.first) || entry.second.state == Managed::State::Down; });
        };
        while (!isEnded() && now() < until) {
            watchProcesses();
            std::this_thread::sleep_for(kTick);
        }
    }

    const DeploymentOptions options;
    const Plan plan;
    scenarios::PortBlock &ports;
    const std::uint16_t storePort;
    std::map<std::string, std::uint16_t> endpointPorts;
    std::map<std::string, std::uint16_t> readinessPorts;
    std::vector<CallerTarget> callerTargets;
    std::map<std::pair<LinkKind, std::string>, std::unique_ptr<Relay>> relays;
    std::map<std::pair<LinkKind, std::string>, unsigned> linkGeneration;
    std::map<std::string, unsigned> limitGeneration; // By endpoint.
    unsigned storeGeneration = 0;
    std::map<std::string, Managed> processes;
    std::vector<Task> tasks;
    std::deque<Configuration> waiting;
    std::vector<ConfigurationInForce> configurations;
    std::deque<std::pair<std::string, bool>> zoneChanges; ///< Zones that the operator takes out of service, or back.
    std::set<std::string> withdrawnZones;
    std::vector<ZoneWithdrawn> withdrawals;
    std::vector<std::string> unexpectedEnds;
    Timeline timeline;
    bool isEnding = false;
};

Deployment::Deployment(const DeploymentOptions &options, const Plan &plan, scenarios::PortBlock &ports)
    : d_(std::make_unique<Private>(options, plan, ports))
{
}

Deployment::~Deployment() = default;

void Deployment::start()
{
    d_->start();
}

void Deployment::begin(const Step &step)
{
    std::visit([this](const auto &action) { d_->begin(action); }, step.action);
}

void Deployment::tick()
{
    d_->tick();
}

bool Deployment::isCalm() const
{
    const bool allRun
        = std::all_of(d_->processes.begin(), d_->processes.end(), [](const auto &entry) { return entry.second.state == Managed::State::Running; });
    return d_->tasks.empty() && d_->waiting.empty() && d_->zoneChanges.empty() && allRun;
}

void Deployment::stop()
{
    d_->endAll([](const std::string &name) { return name.starts_with("callers"); }, kCallersEnd);
    d_->endAll([](const std::string &name) { return name.starts_with("vm"); }, kGrace + kStartLimit);
}

Record Deployment::record() const
{
    Record record;
    record.configurations = d_->configurations;
    record.withdrawals = d_->withdrawals;
    record.unexpectedEnds = d_->unexpectedEnds;
    record.timeline = d_->timeline;
    for (const auto &[name, managed] : d_->processes) {
        if (name.starts_with("vm")) {
            continue;
        }
        for (const auto &log : managed.logs) {
            std::ifstream file(log);
            for (std::string line; std::getline(file, line);) {
                const auto observation = decode(line);
                if (!observation) {
                    continue; // Half a line of a killed process, or a warning.
                }
                std::visit(Overloaded{[&](const Exchange &seen) { record.exchanges.push_back(seen); },
                                      [&](const RunStarted &seen) { record.started.push_back(seen); },
                                      [&](const RunEnded &seen) { record.ended.push_back(seen); },
                                      [&](const LeaveAnnounced &seen) { record.leaves.push_back(seen); },
                                      [&](const EngineCrashed &seen) { record.crashes.push_back(seen); },
                                      [&](const LimitedArrival &seen) { record.limitedArrivals.push_back(seen); },
                                      [&](const LimitTold &seen) {
                                          record.limitsTold.push_back(seen);
                                      }},
                           *observation);
            }
        }
    }
    std::stable_sort(record.limitedArrivals.begin(), record.limitedArrivals.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    std::stable_sort(record.limitsTold.begin(), record.limitsTold.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    std::stable_sort(record.crashes.begin(), record.crashes.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    std::stable_sort(record.started.begin(), record.started.end(), [](const RunStarted &a, const RunStarted &b) { return a.at < b.at; });
    return record;
}

} // namespace daisystream::soak
