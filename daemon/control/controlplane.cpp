#include "daemon/control/controlplane.h"

#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <sstream>

namespace daisystream
{
namespace
{

/// Loads a configuration list from a file as version 1.
/// @return nothing, or the error. An empty path is not an error.
std::optional<Error> loadListFile(ListTable &lists, DocumentKind kind, const std::string &path)
{
    if (path.empty()) {
        return std::nullopt;
    }
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || !lists.offer(kind, {.number = 1, .changeId = "file"}, text.str())) {
        return Error{ResultCode::InvalidDocument, path + ": cannot be read or is invalid", {}};
    }
    return std::nullopt;
}

// Fraction of the revocation time after which a VM without current configuration refuses work. The remainder covers the time
// between the sending of a request by its caller and the check by this VM.
constexpr double kContactLimitShare = 0.9;

// If the last contact with the store is at most this old, the store reports leaving engines, so that the engines themselves
// need not be asked. The longest time between two replies of a working store is that of a watch request.
constexpr std::chrono::milliseconds kMaxStoreContactAge{2600};

// Other VMs confirm the configuration every second, and a confirmation is at most 1 s old. If the latest confirmed contact is
// older than this, the VM reads from the platform itself.
constexpr std::chrono::milliseconds kMaxConfirmedContactAge{2500};

VmMonitorOptions monitorOptions(VmMonitorOptions options, const Settings &settings)
{
    if (settings.gateway) {
        const auto limit = std::chrono::duration_cast<Duration>(kContactLimitShare * settings.gateway->revocationTime);
        options.polls = false;
        options.freshness = FreshnessOptions{.contactLimit = limit, .peerLimit = {}, .assignLimit = limit, .acceptPeerContact = false};
    }
    return options;
}

LoadPollerOptions loadOptions(const ControlOptions &options)
{
    LoadPollerOptions load = options.load;
    load.protocol = options.adapter.load;
    return load;
}

EndpointSettings toSettings(const EndpointEntry &entry, const RouteTable *routes, bool isCold)
{
    EndpointSettings endpoint;
    endpoint.id = entry.id();
    endpoint.name = entry.name;
    endpoint.zone = entry.zone;
    endpoint.slots = entry.slots;
    endpoint.isCold = isCold;
    endpoint.service = entry.service;
    endpoint.kind = EndpointKind::Service;
    if (const auto address = parseSocketAddress(entry.address)) {
        endpoint.address = *address;
    }
    const auto *service = routes == nullptr ? nullptr : routes->service(entry.service);
    if (service != nullptr && service->engine) {
        endpoint.kind = EndpointKind::Engine;
        // All engines of a service run the same models, so that the dispatcher uses the id of the service as the model.
        endpoint.model = ModelId(entry.service.value());
        endpoint.memoryTokens = service->engine->memoryTokens;
        endpoint.slots = service->engine->batch;
    }
    return endpoint;
}

} // namespace

class ControlPlane::Private
{
public:
    Private(boost::asio::io_context &io, const Settings &daemonSettings, const Clock &clock, const ControlOptions &options)
        : settings(daemonSettings)
        , clock(clock)
        , lists(options.adapter.parseRoutes)
        , platform(io, daemonSettings.platform, options.adapter.store)
        , peers(io, {.vm = daemonSettings.vm, .zone = daemonSettings.zone, .incarnation = options.incarnation}, clock, metrics, options.peers)
        , dispatcher(
              io, daemonSettings, clock, metrics, [this](const VmId &to, const PeerMessage &message) { return peers.send(to, message); }, options.seed)
        , monitor(io,
                  daemonSettings,
                  {.lists = lists, .platform = platform, .peers = peers, .dispatcher = dispatcher, .metrics = metrics, .clock = clock},
                  monitorOptions(options.monitor, daemonSettings))
        , permits(io, daemonSettings.vm, clock, metrics, [this](const VmId &to, const PeerMessage &message) { return peers.send(to, message); })
        , promptGuard(io, daemonSettings.vm, clock, metrics, options.adapter.load.target, options.seed)
        , slowness(io, daemonSettings.vm, clock, metrics, [this](const VmId &to, const PeerMessage &message) { return peers.send(to, message); })
        , load(io, dispatcher, clock, metrics, loadOptions(options))
        , coldTimer(io)
    {
        promptGuard.setAnnouncer([this](const QuarantineNews &quarantine) {
            NewsMessage news;
            news.quarantine = quarantine;
            monitor.broadcast(std::move(news), "parts");
        });
        slowness.setAnnouncer([this](const std::vector<SlownessReport> &reports) {
            NewsMessage news;
            news.slowness = reports;
            // A lost announcement costs little, since its effect ends within a second anyway; further copies would cost most of the traffic.
            monitor.broadcast(std::move(news), "slowness/" + reports.front().endpoint.value(), 1);
        });
        permits.setAnnouncer([this](const std::vector<LimitStatement> &statements) {
            NewsMessage news;
            news.limits = statements;
            monitor.broadcast(std::move(news), "limits/" + statements.front().endpoint.value());
        });
        if (options.adapter.watch) {
            watch.emplace(io,
                          daemonSettings,
                          *options.adapter.watch,
                          StoreWatchParts{.lists = lists, .platform = platform, .metrics = metrics, .clock = clock},
                          StoreWatchHandlers{.onEndpoints = [this](const auto &entries) { onEndpoints(entries); },
                                             .onVms = [this](const auto &vms) { onVms(vms); },
                                             .onZones = [this](const ZoneWithdrawals &withdrawals) { onZones(withdrawals); },
                                             .onPublished = [this](DocumentKind kind) { announce(kind); },
                                             .onChanges = [this](const EndpointChanges &changes) { announceChanges(changes); },
                                             .followsConfig = [this] { return followsConfig(); },
                                             .followsEndpoints = [this] { return followsEndpointsAndVms(); },
                                             .followsVms = [this] { return followsEndpointsAndVms(); },
                                             .onContact =
                                                 [this](TimePoint asOf) {
                                                     monitor.onStoreContact(asOf);
                                                 }});
        }
    }

    /// Handles a new endpoint list from the store.
    void onEndpoints(const std::vector<EndpointEntry> &entries)
    {
        {
            const std::lock_guard lock(mutex);
            listedEndpoints = entries;
            coldUntil.clear();
            const auto now = clock.now();
            for (const auto &entry : entries) {
                coldUntil.emplace(entry.id(), now + entry.coldDuration);
            }
        }
        applyEndpoints();
    }

    /// Handles a change of the zones that are out of service.
    void onZones(const ZoneWithdrawals &withdrawals)
    {
        {
            const std::lock_guard lock(mutex);
            for (const auto &zone : withdrawals.zones()) {
                zoneGauge(zone).set(1);
            }
            for (const auto &zone : zones.zones()) {
                if (!withdrawals.contains(zone)) {
                    zoneGauge(zone).set(0);
                }
            }
            zones = withdrawals;
        }
        applyEndpoints();
    }

    [[nodiscard]] Gauge &zoneGauge(const ZoneId &zone)
    {
        return metrics.gauge("daisystream_zone_withdrawn", "1 if the operator has taken the zone out of service.", {{"zone", zone.value()}});
    }

    /// Applies the endpoints again when the first of them is no longer cold.
    void scheduleColdEnd(std::optional<TimePoint> end)
    {
        if (!end) {
            return;
        }
        coldTimer.expires_after(*end - clock.now() + std::chrono::milliseconds(1));
        coldTimer.async_wait([this](const boost::system::error_code &cancelled) {
            if (!cancelled) {
                applyEndpoints();
            }
        });
    }

    /// @return the engines that this VM must poll to find out whether they are leaving: none while the store reports that.
    [[nodiscard]] std::vector<EndpointSettings> enginesToPollForLeaving()
    {
        const auto age = monitor.view().contactAge;
        if (age && *age < kMaxStoreContactAge && !(watch && watch->isLost())) {
            return {};
        }
        auto engines = dispatcher.enginesToPoll();
        for (const auto &id : dispatcher.enginesInUse()) {
            const bool isKnown = std::any_of(engines.begin(), engines.end(), [&](const auto &engine) { return engine.id == id; });
            if (const auto engine = isKnown ? std::nullopt : dispatcher.findEndpoint(id)) {
                engines.push_back(*engine);
            }
        }
        std::erase_if(engines, [this](const auto &engine) { return dispatcher.isLeaving(engine.id); });
        return engines;
    }

    /// Takes an endpoint out of service that stated that it is leaving. What the store says of it does not matter.
    /// @return whether this VM did not know of the statement.
    bool onEngineLeaving(const EndpointId &engine)
    {
        {
            const std::lock_guard lock(mutex);
            if (!statedLeaving.insert(engine).second) {
                return false;
            }
        }
        LOG(INFO) << "event=endpoint endpoint=" << engine << " state=draining reason=said_itself";
        applyEndpoints();
        return true;
    }

    /// Tells the other VMs about an endpoint that stated to this VM that it is leaving.
    void announceEndpointLeaving(const EndpointId &endpoint)
    {
        NewsMessage news;
        news.leaving.push_back(endpoint);
        monitor.broadcast(std::move(news), "leaving/" + endpoint.value());
    }

    /// Passes the current endpoints to the dispatcher, and those that are no longer in service to the endpoint handler.
    void applyEndpoints()
    {
        const std::lock_guard order(applyMutex);
        const auto routes = lists.routes();
        std::vector<EndpointSettings> endpoints;
        std::vector<EndpointId> draining;
        std::vector<EndpointId> withdrawn;
        std::map<EndpointId, double> coldLimits;
        std::optional<TimePoint> coldEnd;
        std::set<EndpointId> inService;
        {
            const std::lock_guard lock(mutex);
            const auto now = clock.now();
            for (const auto &entry : listedEndpoints) {
                const auto until = coldUntil.at(entry.id());
                endpoints.push_back(toSettings(entry, routes.get(), until > now));
                const auto *service = routes == nullptr ? nullptr : routes->service(entry.service);
                if (until > now) {
                    coldEnd = std::min(coldEnd.value_or(until), until);
                }
                if (until > now && service != nullptr && service->coldRequestsPerSecond > 0) {
                    coldLimits.emplace(entry.id(), service->coldRequestsPerSecond);
                }
                if (zones.contains(entry.zone)) {
                    withdrawn.push_back(entry.id());
                }
                if (entry.state == EndpointState::InService && !statedLeaving.contains(entry.id())) {
                    inService.insert(entry.id());
                } else {
                    draining.push_back(entry.id());
                }
            }
        }
        permits.setColdLimits(coldLimits);
        scheduleColdEnd(coldEnd);
        EndpointServiceChanges changes;
        std::set_difference(inServiceBefore.begin(), inServiceBefore.end(), inService.begin(), inService.end(), std::back_inserter(changes.ended));
        std::set_difference(inService.begin(), inService.end(), inServiceBefore.begin(), inServiceBefore.end(), std::back_inserter(changes.begun));
        inServiceBefore = std::move(inService);
        dispatcher.setDraining(draining);
        dispatcher.setWithdrawn(withdrawn);
        dispatcher.setEndpoints(endpoints);
        std::vector<EndpointId> ids;
        std::transform(endpoints.begin(), endpoints.end(), std::back_inserter(ids), [](const auto &endpoint) { return endpoint.id; });
        permits.setEndpoints(ids);
        slowness.setEndpoints(ids);
        if (changes != EndpointServiceChanges() && endpointHandler) {
            endpointHandler(changes);
        }
    }

    /// @return whether this VM watches the configuration at the platform. A VM that is not a watcher relies on the confirmations of
    ///     the watchers unless they are missing or too old.
    [[nodiscard]] bool followsConfig() const
    {
        const auto age = monitor.view().contactAge;
        return monitor.isPlatformWatcher() || !age || *age > kMaxConfirmedContactAge;
    }

    /// @return whether this VM watches endpoints and the VM list at the platform. In contrast to the configuration, a VM without
    ///     any contact yet does not watch them: after its start it gets them from other VMs.
    [[nodiscard]] bool followsEndpointsAndVms() const
    {
        const auto age = monitor.view().contactAge;
        return monitor.isPlatformWatcher() || (age && *age > kMaxConfirmedContactAge);
    }

    /// Tells the other VMs about a new document. Only watchers do so, or each change would cost a number of messages that is
    /// quadratic in the number of VMs.
    void announce(DocumentKind kind)
    {
        if (monitor.isPlatformWatcher()) {
            monitor.announceDocument(kind);
        }
    }

    /// Tells the other VMs about changed endpoints if this VM is a watcher.
    void announceChanges(const EndpointChanges &changes)
    {
        if (monitor.isPlatformWatcher()) {
            NewsMessage news;
            news.endpoints = changes;
            monitor.broadcast(std::move(news), "endpoints/" + std::to_string(changes.upTo.number));
        }
    }

    void onVms(const std::vector<ListedVm> &vms)
    {
        monitor.onVms(vms);
        if (vmHandler) {
            vmHandler(vms.size());
        }
    }

    const Settings settings;
    const Clock &clock;
    Metrics metrics;
    ListTable lists;
    PlatformClient platform;
    PeerLink peers;
    CellDispatcher dispatcher;
    VmMonitor monitor;
    PermitClient permits;
    PromptGuard promptGuard;
    SlownessShare slowness;
    LoadPoller load;
    std::optional<StoreWatch> watch;
    std::function<void(const EndpointServiceChanges &)> endpointHandler;
    std::function<void(std::size_t)> vmHandler;
    std::mutex applyMutex;                      // Locked before every other mutex; prevents an older endpoint list from replacing a newer one.
    std::mutex mutex;                           // Level 3 in the lock order.
    std::vector<EndpointEntry> listedEndpoints; ///< Latest endpoint list of the store, guarded by `mutex`.
    std::set<EndpointId> statedLeaving;         ///< Endpoints that stated that they are leaving, guarded by `mutex`. An id names one process.
    std::set<EndpointId> inServiceBefore;       ///< Endpoints in service after the last update, guarded by `applyMutex`.
    ZoneWithdrawals zones;                      ///< Guarded by `mutex`.
    std::map<EndpointId, TimePoint> coldUntil;  ///< Of each listed endpoint, guarded by `mutex`.
    boost::asio::steady_timer coldTimer;        ///< Used under `applyMutex`.
};

ControlPlane::ControlPlane(boost::asio::io_context &io, const Settings &settings, const Clock &clock, const ControlOptions &options)
    : d_(std::make_unique<Private>(io, settings, clock, options))
{
}

ControlPlane::~ControlPlane() = default;

void ControlPlane::setEndpointHandler(std::function<void(const EndpointServiceChanges &)> handler)
{
    d_->endpointHandler = std::move(handler);
}

void ControlPlane::setVmHandler(std::function<void(std::size_t count)> handler)
{
    d_->vmHandler = std::move(handler);
}

void ControlPlane::onEndpointLeaving(const EndpointId &endpoint)
{
    if (d_->onEngineLeaving(endpoint)) {
        d_->announceEndpointLeaving(endpoint);
    }
}

void ControlPlane::setLoadPollHandlers(std::function<bool(const EndpointId &)> mayAsk,
                                       std::function<void(const EndpointId &, const LoadPoller::Response &)> onResponse)
{
    d_->load.setRequestHooks(std::move(mayAsk), std::move(onResponse));
}

std::optional<Error> ControlPlane::start()
{
    const ListFiles &files = d_->settings.listFiles;
    for (const auto &[kind, path] :
         {std::pair(DocumentKind::Plans, files.plans), std::pair(DocumentKind::Limits, files.limits), std::pair(DocumentKind::SealKeys, files.sealKeys)}) {
        if (auto error = loadListFile(d_->lists, kind, path)) {
            return error;
        }
    }
    d_->peers.setMessageHandler([this](const VmId &from, std::uint64_t incarnation, const PeerMessage &message) {
        d_->monitor.onMessage(from, incarnation, message);
        d_->dispatcher.onMessage(from, incarnation, message);
        d_->permits.onMessage(from, message);
        d_->slowness.onMessage(message);
    });
    d_->peers.setAckHandler([this](const VmId &from, TimePoint sentAt, const PeerView &view) {
        d_->monitor.onAck(from, sentAt, view);
        d_->permits.onIssuing(from, view.issuesPermits);
        d_->dispatcher.setAnswersChecks(from, view.answersChecks);
    });
    d_->peers.setViewSource([this] { return d_->monitor.view(); });
    d_->dispatcher.setAssignmentCheck([this] { return d_->monitor.assignment(); });
    if (auto error = d_->peers.start(d_->settings.listenPeers, d_->settings.peerTls)) {
        return error;
    }
    d_->monitor.setLiveHandler([this](const std::vector<VmId> &live) {
        d_->permits.setVms(live);
        d_->promptGuard.setVms(live);
        d_->slowness.setVms(live);
    });
    NewsHandlers news{.onLimits = [this](const std::vector<LimitStatement> &statements) {
        d_->permits.onStatements(statements);
    }};
    news.onQuarantine = [this](const QuarantineNews &quarantine) {
        d_->promptGuard.onNews(quarantine);
    };
    news.onSlowness = [this](const std::vector<SlownessReport> &reports) {
        d_->slowness.onNews(reports);
    };
    if (d_->watch) {
        news.onChanges = [this](const EndpointChanges &changes, std::function<void()> onGap) {
            d_->watch->onChanges(changes, std::move(onGap));
        };
        news.onLeaving = [this](const EndpointId &endpoint) {
            d_->onEngineLeaving(endpoint);
        };
    }
    d_->monitor.setNewsHandlers(std::move(news));
    d_->monitor.start();
    d_->permits.start();
    d_->promptGuard.start();
    if (d_->watch) {
        // The route table determines which endpoints are engines.
        d_->lists.onChange([this](DocumentKind kind) {
            if (kind == DocumentKind::Routes) {
                d_->applyEndpoints();
            }
        });
        d_->dispatcher.setProbeHandler([this](const EndpointSettings &engine) { d_->load.probe(engine); });
        d_->load.watchLeaving([this] { return d_->enginesToPollForLeaving(); }, [this](const EndpointId &engine) { onEndpointLeaving(engine); });
        d_->monitor.setCutOffSource([this] { return d_->watch->isLost(); });
        d_->watch->start(d_->peers.port());
    } else {
        d_->load.start();
    }
    return std::nullopt;
}

void ControlPlane::beginShutdown()
{
    d_->lists.setStopping();
    d_->monitor.setLeaving();
}

void ControlPlane::stop()
{
    if (d_->watch) {
        d_->watch->stop();
    }
    {
        const std::lock_guard lock(d_->applyMutex);
        d_->coldTimer.cancel();
    }
    d_->load.stop();
    d_->monitor.stop();
    d_->peers.stop();
}

ListTable &ControlPlane::lists()
{
    return d_->lists;
}

CellDispatcher &ControlPlane::dispatcher()
{
    return d_->dispatcher;
}

PeerLink &ControlPlane::peers()
{
    return d_->peers;
}

PlatformClient &ControlPlane::platform()
{
    return d_->platform;
}

VmMonitor &ControlPlane::monitor()
{
    return d_->monitor;
}

PermitClient &ControlPlane::permits()
{
    return d_->permits;
}

PromptGuard &ControlPlane::promptGuard()
{
    return d_->promptGuard;
}

SlownessShare &ControlPlane::slowness()
{
    return d_->slowness;
}

Metrics &ControlPlane::metrics()
{
    return d_->metrics;
}

nlohmann::json ControlPlane::status() const
{
    nlohmann::json status = d_->dispatcher.status();
    status["vm"] = d_->settings.vm.value();
    status["vms"] = d_->monitor.status();
    {
        const std::lock_guard lock(d_->mutex);
        auto withdrawn = nlohmann::json::array();
        for (const auto &zone : d_->zones.zones()) {
            withdrawn.push_back(zone.value());
        }
        status["withdrawnZones"] = {{"zones", withdrawn}, {"revision", d_->zones.revision().number}};
    }
    const auto refusal = d_->lists.admission();
    status["admission"] = refusal ? toString(refusal->code) : "open";
    return status;
}

} // namespace daisystream
