#include "daemon/cells/vmmonitor.h"

#include "daisystream/lists/endpointstates.h"
#include "daisystream/lists/freshness.h"
#include "daisystream/lists/versionedrow.h"
#include "daisystream/membership/fanout.h"
#include "daisystream/membership/fleetring.h"
#include "daisystream/membership/rendezvous.h"
#include "daisystream/membership/vmtable.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <set>

namespace daisystream
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

// With up to this many other VMs, each VM sends heartbeats to all others. In a larger fleet, the VMs monitor each other in a ring.
constexpr std::size_t kMaxFullMeshPeers = 63;
// With up to this many other VMs, heartbeats are sent at every interval. With more, they are sent at every second interval, which bounds
// the control traffic of a VM.
constexpr std::size_t kMaxFullRatePeers = 7;
// Timeouts for heartbeats that are sent at every second interval only.
constexpr VmTableOptions kHalfRateTimeouts{.suspectedAfter = std::chrono::milliseconds(3500), .deadAfter = std::chrono::seconds(8), .faults = {}};
// Number of VMs that read the endpoints from the platform on behalf of the fleet. With three, two can be lost at the same time.
constexpr std::size_t kPlatformWatchers = 3;
// In a ring, a VM that does not watch the platform itself learns from another VM when the platform was last reached. An eighth of the
// fleet serves as relays: relays ask a platform watcher, all other VMs ask a relay. So no VM is asked by many others, and the
// information passes through one intermediate VM only.
constexpr std::size_t kVmsPerContactRelay = 8;
// Three heartbeats without an acknowledgement from the relay, after which another relay is asked.
constexpr auto kContactRelayTimeout = std::chrono::milliseconds(1500);
// Owners report the load of their cells at every second heartbeat.
constexpr unsigned kHeartbeatsPerLoadReport = 2;
constexpr std::size_t kLoadRelaysPerZone = 1; // One suffices, since the next report makes up for a lost one.
// Two relays in each zone suffice against lost packets. The third covers a relay that has failed without being detected yet.
constexpr std::size_t kRelaysPerZone = 3;
// In a large fleet, a change is guaranteed to take effect within 15 s.
constexpr FreshnessOptions kRingFreshness{
    .contactLimit = std::chrono::milliseconds(4500), .peerLimit = std::chrono::seconds(15), .assignLimit = std::chrono::milliseconds(2500), .faults = {}};
// Set in `HeartbeatMessage::reports` by VMs that keep ring reports. Without it, the digest of an empty set of reports, which is 0, would
// look like that of a VM that keeps none.
constexpr std::uint64_t kRingDigestFlag = 1ULL << 63U;
constexpr std::size_t kMaxLoggedNames = 8;
// Time after which a document is requested again if it has not arrived. A request is lost if its connection is.
constexpr auto kFetchRetryInterval = std::chrono::milliseconds(500);
constexpr std::size_t kSealKeyBytes = 32;
// Another VM counts as reachable if it confirmed a heartbeat that was sent within this time.
constexpr auto kPeerContactTimeout = std::chrono::milliseconds(1500);
// Delay that callers are told to wait during an outage of the platform. An outage that has lasted long enough for a VM to refuse requests
// often ends within another one or two seconds.
constexpr auto kOutageRetryDelay = std::chrono::milliseconds(1000);

constexpr std::array kPolledKinds{DocumentKind::Plans, DocumentKind::Limits, DocumentKind::EndpointStates, DocumentKind::SealKeys};

/// @param peers number of other VMs.
/// @return the times without a heartbeat after which a VM is suspected and considered dead.
VmTableOptions timeoutsFor(std::size_t peers)
{
    return peers > kMaxFullRatePeers ? kHalfRateTimeouts : VmTableOptions{};
}

/// @return the text of the initial set of sealing keys; empty if no random bytes are available.
std::string makeSealKeys()
{
    std::array<unsigned char, kSealKeyBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        return {};
    }
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string digits;
    for (const unsigned char byte : bytes) {
        digits += kDigits[byte >> 4U];
        digits += kDigits[byte & 0xfU];
    }
    return nlohmann::json{{"keys", {{{"number", 1}, {"key", digits}}}}}.dump();
}

} // namespace

class VmMonitor::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &context, const Settings &initialSettings, const VmMonitorParts &dependencies, VmMonitorOptions monitorOptions)
        : io(context)
        , settings(initialSettings)
        , parts(dependencies)
        , options(monitorOptions)
        , pollFailures(dependencies.metrics.counter("daisystream_platform_failures_total", "Polls of the platform without a usable reply."))
        , documentsFetched(dependencies.metrics.counter("daisystream_documents_from_peers_total", "Documents that came from another VM."))
        , table(initialSettings.vm, timeoutsFor(initialSettings.peers.size()))
        , freshness(monitorOptions.freshness.value_or(initialSettings.peers.size() > kMaxFullMeshPeers ? kRingFreshness : FreshnessOptions{}))
        , ring(initialSettings.vm)
    {
    }

    /// Calls `work` immediately and then again after each pause, until the monitor stops.
    template<class Work>
    void repeat(std::chrono::milliseconds pause, Work work)
    {
        const auto strand = asio::make_strand(io);
        asio::spawn(
            strand,
            [self = shared_from_this(), strand, pause, work](asio::yield_context yield) {
                asio::steady_timer timer(strand);
                error_code error;
                while (!self->stopped) {
                    work(yield);
                    timer.expires_after(pause);
                    timer.async_wait(yield[error]);
                }
            },
            asio::detached);
    }

    void start()
    {
        repeat(options.heartbeatEvery, [this](asio::yield_context) { sendHeartbeats(); });
        if (!parts.platform.isConfigured() || !options.polls) {
            return;
        }
        for (const DocumentKind kind : kPolledKinds) {
            const auto pause = kind == DocumentKind::SealKeys ? options.sealKeysEvery : options.pollEvery;
            repeat(pause, [this, kind](asio::yield_context yield) { poll(kind, yield); });
        }
        repeat(options.pollEvery, [this](asio::yield_context yield) { pollVms(yield); });
    }

    // Communication with the platform.

    void poll(DocumentKind kind, asio::yield_context yield)
    {
        const auto sentAt = parts.clock.now();
        const auto reply = parts.platform.perform(TableRead{toString(kind)}, yield);
        if (const auto *found = std::get_if<RowFound>(&reply)) {
            storeRow(kind, *found);
        } else if (std::holds_alternative<RowAbsent>(reply)) {
            if (kind == DocumentKind::SealKeys && parts.lists.document(kind).version.number == 0) {
                createSealKeys(yield);
            }
        } else {
            pollFailures.add(1);
            return;
        }
        onPlatformContact(kind, sentAt);
    }

    void storeRow(DocumentKind kind, const RowFound &found)
    {
        const auto row = decodeVersionedRow(found.value);
        if (!row) {
            LOG(ERROR) << "event=document_refused document=" << toString(kind) << " version=" << found.number << " reason=malformed_row";
            return;
        }
        parts.lists.offer(kind, {.number = found.number, .changeId = row->changes.empty() ? "" : row->changes.back()}, row->text);
    }

    /// Writes the initial sealing keys. Several VMs may try; the condition on the row's number lets only one succeed.
    void createSealKeys(asio::yield_context yield)
    {
        VersionedRow row{.text = makeSealKeys(), .changes = {}};
        row.appendChange("first-" + settings.vm.value());
        // The result of the write is ignored: the row that is read afterwards holds the keys in force.
        (void)parts.platform.perform(TableWrite{.key = toString(DocumentKind::SealKeys), .ifNumber = 0, .value = encode(row)}, yield);
        const auto reply = parts.platform.perform(TableRead{toString(DocumentKind::SealKeys)}, yield);
        if (const auto *found = std::get_if<RowFound>(&reply)) {
            storeRow(DocumentKind::SealKeys, *found);
        }
    }

    /// Records a successful poll. The age of the contact with the platform is that of the older poll of the plans and limits.
    void onPlatformContact(DocumentKind kind, TimePoint sentAt)
    {
        const std::lock_guard lock(mutex);
        contacts[static_cast<std::size_t>(kind)] = sentAt;
        const auto &plans = contacts[static_cast<std::size_t>(DocumentKind::Plans)];
        const auto &limits = contacts[static_cast<std::size_t>(DocumentKind::Limits)];
        if (plans && limits) {
            freshness.onPlatformContact(std::min(*plans, *limits));
        }
    }

    void pollVms(asio::yield_context yield)
    {
        const auto reply = parts.platform.listVms(yield);
        const auto *vms = std::get_if<std::vector<ListedVm>>(&reply);
        if (vms == nullptr) {
            pollFailures.add(1);
            return;
        }
        onVms(*vms);
    }

    void onVms(const std::vector<ListedVm> &vms)
    {
        std::vector<PlatformVm> listed;
        std::vector<PeerSettings> peers = settings.peers;
        std::vector<EndpointId> leaving;
        for (const auto &vm : vms) {
            if (!vm.peerAddress) {
                // A VM without a peer address runs an endpoint, and its id is that of the endpoint.
                if (vm.leaving) {
                    leaving.emplace_back(vm.vm.value());
                }
                continue;
            }
            listed.push_back({.vm = vm.vm, .leaving = vm.leaving});
            std::erase_if(peers, [&](const auto &peer) { return peer.vm == vm.vm; });
            peers.push_back({.vm = vm.vm, .address = *vm.peerAddress, .zone = vm.zone});
        }
        {
            const std::lock_guard lock(mutex);
            for (const auto &peer : settings.peers) {
                if (std::none_of(listed.begin(), listed.end(), [&](const auto &vm) { return vm.vm == peer.vm; })) {
                    listed.push_back({.vm = peer.vm});
                }
            }
            table.onPlatformList(listed, parts.clock.now());
        }
        parts.peers.setPeers(peers);
        {
            const std::lock_guard lock(mutex);
            const auto timeouts = timeoutsFor(peers.size());
            table.setSilenceTimeouts(timeouts.suspectedAfter, timeouts.deadAfter);
            setFleet(peers);
        }
        parts.dispatcher.setLeaving(leaving);
    }

    /// Sets the other VMs and, by their number, whether heartbeats are sent to all of them or in a ring. The caller holds the lock.
    void setFleet(const std::vector<PeerSettings> &peers)
    {
        usesRing = peers.size() > kMaxFullMeshPeers;
        zones.clear();
        zones[settings.vm] = settings.zone;
        std::vector<VmId> peerIds;
        for (const auto &peer : peers) {
            zones[peer.vm] = peer.zone;
            peerIds.push_back(peer.vm);
        }
        ring.setVms(peerIds, parts.clock.now());
        fanout.reset();
    }

    // Messages for the whole fleet.

    /// Sends a message to all VMs: directly to those of this zone and to relays in the other zones, which forward it.
    /// @param topic selects the relays.
    /// @param relays number of relays in each zone.
    void broadcast(NewsMessage message, const std::string &topic, std::size_t relays = kRelaysPerZone)
    {
        message.origin = settings.vm;
        message.relay = false;
        std::vector<VmId> members;
        std::vector<std::vector<VmId>> relaying;
        {
            const std::lock_guard lock(mutex);
            if (usesRing) {
                members = currentFanout().zonePeers();
                relaying = currentFanout().relays(topic);
            }
        }
        if (members.empty() && relaying.empty()) {
            for (const auto &peer : parts.peers.peers()) {
                members.push_back(peer.vm);
            }
        }
        // The relays are served first, since they forward the message.
        message.relay = true;
        for (const auto &candidates : relaying) {
            std::size_t sent = 0;
            for (auto vm = candidates.begin(); vm != candidates.end() && sent < relays; ++vm) {
                sent += parts.peers.send(*vm, message);
            }
        }
        message.relay = false;
        for (const auto &vm : members) {
            parts.peers.send(vm, message);
        }
    }

    void broadcastReports(std::vector<VmReport> reports)
    {
        if (!reports.empty()) {
            const std::string topic = "vm/" + reports.front().vm.value();
            NewsMessage message;
            message.reports = std::move(reports);
            broadcast(std::move(message), topic);
        }
    }

    /// @return the fanout to all VMs that are not dead, which is created if needed. The caller holds the lock.
    const Fanout &currentFanout()
    {
        if (!fanout) {
            std::map<VmId, ZoneId> reached = zones;
            std::erase_if(reached, [this](const auto &entry) { return ring.state(entry.first) == VmState::Dead; });
            fanout.emplace(settings.vm, reached);
        }
        return *fanout;
    }

    /// Sends a message to the other VMs of this zone.
    void forwardToZone(NewsMessage message)
    {
        message.relay = false;
        std::vector<VmId> members;
        {
            const std::lock_guard lock(mutex);
            members = currentFanout().zonePeers();
        }
        for (const auto &vm : members) {
            parts.peers.send(vm, message);
        }
    }

    void onNews(const VmId &from, const NewsMessage &message)
    {
        const auto ownVersions = parts.lists.versions();
        const auto now = parts.clock.now();
        // The message is forwarded before its changes are processed here, which takes time.
        const bool hasChanges = message.endpoints && message.endpoints->upTo > ownVersions[static_cast<std::size_t>(DocumentKind::Endpoints)];
        bool hasNews = hasChanges || !message.cells.empty() || !message.limits.empty() || !message.quarantine.empty() || !message.slowness.empty();
        bool viewChanged = false;
        std::vector<EndpointId> leaving;
        {
            const std::lock_guard lock(mutex);
            for (const auto &report : message.reports) {
                viewChanged = ring.onReport(report, now) || viewChanged;
            }
            for (const auto &endpoint : message.leaving) {
                if (announcedLeaving.insert(endpoint).second) {
                    leaving.push_back(endpoint);
                }
            }
            for (const auto &document : message.documents) {
                if (document.version <= ownVersions[document.kind]) {
                    continue;
                }
                if (auto &announced = announcedDocuments[document.kind]; document.version > announced.version) {
                    announced = {.version = document.version, .from = from};
                }
                if (message.relay) {
                    // Announced after it has arrived, so that the receivers can fetch it here.
                    auto &forwarded = documentsToForward[document.kind];
                    forwarded = std::max(forwarded, document.version);
                }
            }
            fanout = viewChanged ? std::nullopt : std::move(fanout);
        }
        hasNews = hasNews || viewChanged || !leaving.empty();
        if (message.relay && hasNews) {
            forwardToZone(message);
        }
        if (hasChanges && handlers.onChanges) {
            handlers.onChanges(*message.endpoints,
                               [this, from] { parts.peers.send(from, DocumentRequestMessage{static_cast<std::uint8_t>(DocumentKind::Endpoints)}); });
        }
        for (const auto &endpoint : leaving) {
            if (handlers.onLeaving) {
                handlers.onLeaving(endpoint);
            }
        }
        if (!message.limits.empty() && handlers.onLimits) {
            handlers.onLimits(message.limits);
        }
        if (!message.slowness.empty() && handlers.onSlowness) {
            handlers.onSlowness(message.slowness);
        }
        if (!message.quarantine.empty() && handlers.onQuarantine) {
            handlers.onQuarantine(message.quarantine);
        }
        for (const auto &cell : message.cells) {
            parts.dispatcher.onDigest(message.origin, cell);
        }
        for (const auto &document : message.documents) {
            if (document.version > ownVersions[document.kind]) {
                fetch(from, {document.kind});
            }
        }
        if (viewChanged) {
            refreshView();
        }
    }

    /// Requests documents from a VM, except those that were requested within `kFetchRetryInterval`.
    void fetch(const VmId &from, const std::vector<std::uint8_t> &kinds)
    {
        const auto now = parts.clock.now();
        std::vector<std::uint8_t> wanted;
        {
            const std::lock_guard lock(mutex);
            for (const auto kind : kinds) {
                if (now - requestedAt[kind] >= kFetchRetryInterval) {
                    requestedAt[kind] = now;
                    wanted.push_back(kind);
                }
            }
        }
        for (const auto kind : wanted) {
            parts.peers.send(from, DocumentRequestMessage{kind});
        }
    }

    /// @param peerVersions another VM's versions by kind of document.
    /// @return the kinds of documents of which that VM has a newer version.
    [[nodiscard]] std::vector<std::uint8_t> newerDocumentsAt(const std::vector<StoreRevision> &peerVersions) const
    {
        const auto ownVersions = parts.lists.versions();
        std::vector<std::uint8_t> kinds;
        for (std::size_t i = 0; i < kDocumentKinds && i < peerVersions.size(); ++i) {
            if (peerVersions[i] > ownVersions[i]) {
                kinds.push_back(static_cast<std::uint8_t>(i));
            }
        }
        return kinds;
    }

    /// Informs the other VMs that this one has a new version of a document.
    void announce(DocumentKind kind)
    {
        bool inRing = false;
        {
            const std::lock_guard lock(mutex);
            inRing = usesRing;
        }
        if (!inRing) {
            sendHeartbeats(true);
            return;
        }
        const auto version = parts.lists.versions()[static_cast<std::size_t>(kind)];
        NewsMessage message;
        message.documents.push_back({.kind = static_cast<std::uint8_t>(kind), .version = version});
        broadcast(std::move(message), std::string(toString(kind)) + '/' + std::to_string(version.number));
    }

    // Heartbeats and the state of other VMs.

    /// Sends heartbeats, reports and cell loads in a fleet that uses the ring.
    void sendRingHeartbeat()
    {
        const auto now = parts.clock.now();
        HeartbeatMessage heartbeat;
        heartbeat.versions = parts.lists.versions();
        std::vector<VmId> targets;
        std::vector<VmReport> reports;
        bool sendsLoad = false;
        {
            const std::lock_guard lock(mutex);
            heartbeat.sequence = ++sequence;
            heartbeat.stopping = leaving;
            heartbeat.cutOff = updateReportedCutOff();
            heartbeat.reports = ring.digest() | kRingDigestFlag;
            targets = ring.watchers();
            if (const auto dead = ring.nextDeadVm()) {
                targets.push_back(*dead);
            }
            if (const auto relay = chooseContactRelay(now)) {
                targets.push_back(*relay);
            }
            reports = ring.advance(now);
            if (const auto own = ring.reportSelf(parts.peers.incarnation(), sequence, heartbeat.stopping, heartbeat.cutOff)) {
                reports.push_back(*own);
            }
            if (!reports.empty()) {
                fanout.reset();
            }
            sendsLoad = sequence % kHeartbeatsPerLoadReport == 0;
        }
        std::sort(targets.begin(), targets.end());
        targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
        for (const auto &target : targets) {
            parts.peers.send(target, heartbeat);
        }
        broadcastReports(std::move(reports));
        if (auto cells = sendsLoad ? parts.dispatcher.digests() : std::vector<CellDigest>(); !cells.empty()) {
            NewsMessage message;
            message.cells = std::move(cells);
            broadcast(std::move(message), "cells/" + std::to_string(heartbeat.sequence), kLoadRelaysPerZone);
        }
        refreshView();
    }

    /// Decides whether heartbeats report this VM as cut off from the platform. Only the VMs that read the platform for the fleet start to
    /// report it, because in an outage the whole fleet would otherwise do so at the same time. The caller holds the lock.
    /// @return whether to report it.
    [[nodiscard]] bool updateReportedCutOff()
    {
        const auto end = contactOrder.begin() + static_cast<std::ptrdiff_t>(std::min(kPlatformWatchers, contactOrder.size()));
        const bool watchesPlatform = std::find(contactOrder.begin(), end, settings.vm) != end;
        reportedCutOff = cutOffSource && cutOffSource() && (reportedCutOff || watchesPlatform);
        return reportedCutOff;
    }

    /// Chooses the VM that this one asks when the platform was last reached. The caller holds the lock.
    /// @return the VM; nothing if this VM watches the platform itself.
    std::optional<VmId> chooseContactRelay(TimePoint now)
    {
        const auto own = std::find(contactOrder.begin(), contactOrder.end(), settings.vm);
        const auto rank = static_cast<std::size_t>(own - contactOrder.begin());
        if (rank < kPlatformWatchers || contactOrder.size() <= kPlatformWatchers) {
            return std::nullopt;
        }
        if (now - std::max(contactRelayAckAt, contactRelaySince) > kContactRelayTimeout) {
            ++contactRelayOffset;
            contactRelaySince = now;
        }
        const std::size_t relays = std::min(contactOrder.size() - kPlatformWatchers, contactOrder.size() / kVmsPerContactRelay);
        const bool isRelay = rank < kPlatformWatchers + relays || relays == 0;
        currentContactRelay
            = isRelay ? contactOrder[(rank + contactRelayOffset) % kPlatformWatchers] : contactOrder[kPlatformWatchers + (rank + contactRelayOffset) % relays];
        return currentContactRelay;
    }

    /// Sends heartbeats that are due and updates the state of the other VMs.
    /// @param isAnnouncing a document has changed, so heartbeats are sent now even if this interval is to be skipped.
    void sendHeartbeats(bool isAnnouncing = false)
    {
        bool inRing = false;
        {
            const std::lock_guard lock(mutex);
            inRing = usesRing;
        }
        if (inRing) {
            sendRingHeartbeat();
            return;
        }
        const auto peers = parts.peers.peers();
        if (peers.size() > kMaxFullRatePeers && !isAnnouncing && ++heartbeatTicks % 2 == 0) {
            refreshView();
            return;
        }
        HeartbeatMessage heartbeat;
        heartbeat.versions = parts.lists.versions();
        heartbeat.cells = parts.dispatcher.digests();
        std::vector<VmId> targets;
        {
            const std::lock_guard lock(mutex);
            heartbeat.sequence = ++sequence;
            heartbeat.stopping = leaving;
            heartbeat.cutOff = cutOffSource && cutOffSource();
            std::transform(peers.begin(), peers.end(), std::back_inserter(targets), [](const auto &peer) { return peer.vm; });
        }
        for (const auto &target : targets) {
            parts.peers.send(target, heartbeat);
        }
        refreshView();
    }

    /// Updates the sets of live and dead VMs, the contact with peers and the order of contacts, and passes changes to the dispatcher.
    void refreshView()
    {
        const auto now = parts.clock.now();
        std::vector<VmId> live;
        std::vector<VmId> dead;
        bool changed = false;
        // Calls are serialized so that an older view never replaces a newer one in the dispatcher.
        const std::lock_guard order(viewMutex);
        {
            const std::lock_guard lock(mutex);
            if (usesRing) {
                live = ring.live();
                dead = ring.dead();
                if (ring.hearsHalfOfWatched(now)) {
                    for (const auto &vm : live) {
                        freshness.onPeerContact(vm, now, false);
                    }
                }
            } else {
                live = table.live(now);
                for (const auto &vm : table.quorumPeers(now)) {
                    if (table.state(vm, now) == VmState::Dead) {
                        dead.push_back(vm);
                    }
                }
            }
            freshness.setPeers(table.quorumPeers(now));
            freshness.setListsKnown(true); // ListTable performs this check itself.
            changed = live != lastLive || dead != lastDead;
            const auto candidates = reachingPlatform(live);
            if (candidates != lastReachingPlatform) {
                lastReachingPlatform = candidates;
                contactOrder = rendezvousOrder("store/endpoints", candidates);
            }
            if (changed) {
                fanout.reset();
                logLive(live, dead.size());
            }
            lastLive = live;
            lastDead = dead;
        }
        if (changed) {
            parts.dispatcher.setVms(live, dead);
            if (liveHandler) {
                liveHandler(live);
            }
        }
    }

    /// @param vms live VMs.
    /// @return those of them that are not reported as cut off from the platform. The caller holds the lock.
    [[nodiscard]] std::vector<VmId> reachingPlatform(std::vector<VmId> vms) const
    {
        std::erase_if(vms, [this](const VmId &vm) { return usesRing ? ring.isCutOff(vm) : cutOff.contains(vm); });
        return vms;
    }

    /// Logs which VMs joined and left. The number of ids is limited, since many VMs can change at the same time. The caller holds the lock.
    void logLive(const std::vector<VmId> &live, std::size_t dead) const
    {
        const auto namesOf = [](const std::vector<VmId> &vms, const std::vector<VmId> &others) {
            std::vector<VmId> only;
            std::set_difference(vms.begin(), vms.end(), others.begin(), others.end(), std::back_inserter(only));
            std::string names;
            for (std::size_t i = 0; i < only.size() && i < kMaxLoggedNames; ++i) {
                names += (names.empty() ? "" : ",") + only[i].value();
            }
            return only.size() > kMaxLoggedNames ? names + ",+" + std::to_string(only.size() - kMaxLoggedNames) : names;
        };
        LOG(INFO) << "event=live_vms count=" << live.size() << " joined=" << namesOf(live, lastLive) << " left=" << namesOf(lastLive, live) << " dead=" << dead;
    }

    void onHeartbeat(const VmId &from, std::uint64_t incarnation, const HeartbeatMessage &message)
    {
        const auto now = parts.clock.now();
        const VmHeartbeat heartbeat{.vm = from, .incarnation = incarnation, .sequence = message.sequence, .leaving = message.stopping};
        std::vector<VmReport> reports;
        NewsMessage repair;
        {
            const std::lock_guard lock(mutex);
            table.onHeartbeat(heartbeat, now);
            if (usesRing) {
                reports = ring.onHeartbeat(heartbeat, message.cutOff, now);
                if (message.reports != 0 && message.reports != (ring.digest() | kRingDigestFlag)) {
                    repair.reports = ring.reports();
                }
            }
            versions[from] = message.versions;
            if (message.cutOff) {
                cutOff.insert(from);
            } else {
                cutOff.erase(from);
            }
        }
        broadcastReports(std::move(reports));
        if (!repair.reports.empty()) {
            repair.origin = settings.vm;
            parts.peers.send(from, repair);
        }
        for (const auto &digest : message.cells) {
            parts.dispatcher.onDigest(from, digest);
        }
        fetch(from, newerDocumentsAt(message.versions));
        refreshView();
    }

    void onDocumentRequest(const VmId &from, const DocumentRequestMessage &message)
    {
        const auto document = parts.lists.document(static_cast<DocumentKind>(message.kind));
        if (document.version.number == 0) {
            return;
        }
        std::vector<VmId> vms;
        {
            const std::lock_guard lock(mutex);
            vms = table.quorumPeers(parts.clock.now());
        }
        vms.push_back(settings.vm);
        parts.peers.send(
            from,
            DocumentMessage{
                .kind = message.kind, .version = document.version.revision(), .changeId = document.version.changeId, .text = document.text, .vms = vms});
    }

    void onDocument(const DocumentMessage &message)
    {
        if (parts.lists.offer(static_cast<DocumentKind>(message.kind),
                              {.number = message.version.number, .changeId = message.changeId, .epoch = message.version.epoch},
                              message.text)) {
            documentsFetched.add(1);
            bool forwards = false;
            std::optional<VmId> holderOfNewer;
            {
                const std::lock_guard lock(mutex);
                requestedAt[message.kind] = {};
                const auto forwarded = documentsToForward.find(message.kind);
                forwards = forwarded != documentsToForward.end();
                if (forwards && forwarded->second <= message.version) {
                    documentsToForward.erase(forwarded);
                }
                const auto announced = announcedDocuments.find(message.kind);
                if (announced != announcedDocuments.end() && announced->second.version > message.version) {
                    holderOfNewer = announced->second.from; // Announced while this document was on its way.
                }
            }
            if (forwards) {
                NewsMessage notice;
                notice.origin = settings.vm;
                notice.documents.push_back({.kind = message.kind, .version = message.version});
                forwardToZone(std::move(notice));
            }
            if (holderOfNewer) {
                fetch(*holderOfNewer, {message.kind});
            }
        }
        const std::lock_guard lock(mutex);
        table.onPeerList(message.vms, parts.clock.now());
    }

    std::optional<Error> admission()
    {
        // Without a platform, the files named in the settings are always in force.
        if (!parts.platform.isConfigured()) {
            return std::nullopt;
        }
        const std::lock_guard lock(mutex);
        const auto now = parts.clock.now();
        auto error = freshness.admission(now);
        if (error && error->code == ResultCode::Isolated && !options.polls) {
            // Without recent contact with other VMs, only this VM is cut off, and another VM can serve the request immediately. With
            // such contact, the other VMs have no contact with the platform either, so the caller should wait.
            error->retryAfter = now - lastPeerContactAt < kPeerContactTimeout ? kOutageRetryDelay : std::chrono::milliseconds(0);
        }
        return error;
    }

    asio::io_context &io;
    const Settings settings;
    const VmMonitorParts parts;
    const VmMonitorOptions options;
    Counter &pollFailures;
    Counter &documentsFetched;
    std::atomic<bool> stopped{false};

    /// A document that another VM has.
    struct AnnouncedDocument
    {
        StoreRevision version{};
        VmId from{};
    };

    std::mutex viewMutex;     // Locked before `mutex`.
    mutable std::mutex mutex; // Position 2 in the lock order.
    VmTable table;
    ListFreshness freshness;
    std::array<std::optional<TimePoint>, kDocumentKinds> contacts;
    std::array<TimePoint, kDocumentKinds> requestedAt{};
    std::map<VmId, std::vector<StoreRevision>> versions;
    FleetRing ring;
    bool usesRing = false;
    std::map<VmId, ZoneId> zones;                                 ///< Zones of all VMs, including this one.
    std::optional<Fanout> fanout;                                 ///< Reset when `zones` or the ring's states change, and then created again on use.
    std::set<EndpointId> announcedLeaving;                        ///< Leaving endpoints that were already passed on. Endpoint ids are not reused.
    std::map<std::uint8_t, StoreRevision> documentsToForward;     ///< Version of the documents, by kind, announced to this zone once they arrive.
    std::map<std::uint8_t, AnnouncedDocument> announcedDocuments; ///< The newest announced to this VM, by kind.
    std::vector<VmId> contactOrder;                               ///< Platform watchers first, then the contact relays, then the other VMs.
    std::vector<VmId> lastReachingPlatform;
    std::optional<VmId> currentContactRelay; ///< The VM that this one asks when the platform was last reached.
    std::size_t contactRelayOffset = 0;
    bool reportedCutOff = false;
    TimePoint contactRelaySince{};
    TimePoint contactRelayAckAt{};
    NewsHandlers handlers;
    std::vector<VmId> lastLive;
    std::vector<VmId> lastDead;
    std::set<VmId> cutOff; ///< Other VMs that reported that they do not reach the platform.
    std::function<bool()> cutOffSource;
    std::function<void(const std::vector<VmId> &)> liveHandler;
    std::atomic<unsigned> heartbeatTicks{0};
    TimePoint platformContactAt{}; ///< Latest time at which the platform is known to have confirmed the data in force, to this VM or another one.
    TimePoint lastPeerContactAt{}; ///< When the latest heartbeat that another VM has confirmed was sent.
    std::uint64_t sequence = 0;
    bool leaving = false;
};

VmMonitor::VmMonitor(asio::io_context &io, const Settings &settings, const VmMonitorParts &parts, VmMonitorOptions options)
    : d_(std::make_shared<Private>(io, settings, parts, options))
{
    std::vector<PlatformVm> known;
    for (const auto &peer : settings.peers) {
        known.push_back({.vm = peer.vm});
    }
    d_->table.onPlatformList(known, parts.clock.now());
    parts.lists.onChange([this](DocumentKind kind) {
        if (kind == DocumentKind::EndpointStates) {
            const auto document = d_->parts.lists.document(kind);
            EndpointStateList states;
            VersionedRow row{.text = document.text, .changes = {}};
            states.offer(document.version.number, encode(row));
            d_->parts.dispatcher.setDraining(states.draining());
        }
    });
    parts.lists.setContactCheck([weak = std::weak_ptr(d_)]() -> std::optional<Error> {
        const auto monitor = weak.lock();
        return monitor ? monitor->admission() : std::nullopt;
    });
    d_->setFleet(settings.peers);
    d_->refreshView();
}

VmMonitor::~VmMonitor()
{
    stop();
}

void VmMonitor::start()
{
    d_->parts.peers.setPeers(d_->settings.peers);
    d_->start();
}

void VmMonitor::stop()
{
    d_->stopped = true;
}

void VmMonitor::setLeaving()
{
    {
        const std::lock_guard lock(d_->mutex);
        d_->leaving = true;
        d_->table.setSelfLeaving();
    }
    d_->sendHeartbeats();
}

void VmMonitor::onMessage(const VmId &from, std::uint64_t incarnation, const PeerMessage &message)
{
    if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&message)) {
        d_->onHeartbeat(from, incarnation, *heartbeat);
    } else if (const auto *request = std::get_if<DocumentRequestMessage>(&message)) {
        d_->onDocumentRequest(from, *request);
    } else if (const auto *document = std::get_if<DocumentMessage>(&message)) {
        d_->onDocument(*document);
    } else if (const auto *news = std::get_if<NewsMessage>(&message)) {
        d_->onNews(from, *news);
    }
}

void VmMonitor::onVms(const std::vector<ListedVm> &vms)
{
    d_->onVms(vms);
    d_->refreshView();
}

void VmMonitor::onStoreContact(TimePoint asOf)
{
    const std::lock_guard lock(d_->mutex);
    d_->platformContactAt = std::max(d_->platformContactAt, asOf);
    d_->freshness.onPlatformContact(asOf);
}

std::size_t VmMonitor::knownVms() const
{
    const std::lock_guard lock(d_->mutex);
    return d_->table.quorumPeers(d_->parts.clock.now()).size() + 1;
}

void VmMonitor::onAck(const VmId &from, TimePoint sentAt, const PeerView &view)
{
    d_->parts.platform.onEpochOfOtherVm(view.storeEpoch);
    d_->fetch(from, d_->newerDocumentsAt(view.versions));
    const auto ownVersions = d_->parts.lists.versions();
    const auto isBehind = [&](DocumentKind kind) {
        const auto index = static_cast<std::size_t>(kind);
        return view.versions[index] > ownVersions[index];
    };
    const bool newer = isBehind(DocumentKind::Plans) || isBehind(DocumentKind::Limits) || isBehind(DocumentKind::EndpointStates);
    const std::lock_guard lock(d_->mutex);
    d_->freshness.onPeerContact(from, sentAt, newer);
    d_->lastPeerContactAt = std::max(d_->lastPeerContactAt, sentAt);
    if (d_->currentContactRelay == from) {
        d_->contactRelayAckAt = std::max(d_->contactRelayAckAt, sentAt);
    }
    // The other VM's contact with the platform also confirms this VM's data if this VM has the same versions. Its age is counted from the
    // time at which this VM sent the heartbeat, since the other VM can have confirmed it at any time after that. Contact with a store that
    // was restored since confirms nothing.
    const bool isOutdated = view.storeEpoch < d_->parts.platform.epoch();
    if (!d_->options.polls && !isOutdated && view.contactAge && !isBehind(DocumentKind::Routes) && !isBehind(DocumentKind::Zones)) {
        d_->platformContactAt = std::max(d_->platformContactAt, sentAt - *view.contactAge);
        d_->freshness.onPlatformContact(sentAt - *view.contactAge);
    }
}

PeerView VmMonitor::view() const
{
    PeerView view{.versions = d_->parts.lists.versions(), .contactAge = {}, .storeEpoch = d_->parts.platform.epoch()};
    const std::lock_guard lock(d_->mutex);
    if (d_->platformContactAt != TimePoint{}) {
        view.contactAge = std::chrono::ceil<std::chrono::milliseconds>(d_->parts.clock.now() - d_->platformContactAt);
    }
    return view;
}

void VmMonitor::announceDocument(DocumentKind kind)
{
    d_->announce(kind);
}

void VmMonitor::broadcast(NewsMessage news, const std::string &topic, std::optional<std::size_t> relays)
{
    d_->broadcast(std::move(news), topic, relays.value_or(kRelaysPerZone));
}

void VmMonitor::setNewsHandlers(NewsHandlers handlers)
{
    d_->handlers = std::move(handlers);
}

void VmMonitor::setLiveHandler(std::function<void(const std::vector<VmId> &)> handler)
{
    const std::lock_guard order(d_->viewMutex);
    d_->liveHandler = std::move(handler);
    if (!d_->lastLive.empty()) {
        d_->liveHandler(d_->lastLive);
    }
}

void VmMonitor::setCutOffSource(std::function<bool()> source)
{
    d_->cutOffSource = std::move(source);
}

bool VmMonitor::isPlatformWatcher() const
{
    const std::lock_guard lock(d_->mutex);
    if (d_->lastLive.size() <= kMaxFullRatePeers + 1) {
        return true;
    }
    const auto &order = d_->contactOrder;
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(kPlatformWatchers, order.size()));
    return std::find(order.begin(), end, d_->settings.vm) != end;
}

std::optional<Error> VmMonitor::assignment() const
{
    if (!d_->parts.platform.isConfigured()) {
        return std::nullopt;
    }
    const std::lock_guard lock(d_->mutex);
    return d_->freshness.assignment(d_->parts.clock.now());
}

void VmMonitor::sendHeartbeats()
{
    d_->sendHeartbeats();
}

nlohmann::json VmMonitor::status() const
{
    const auto now = d_->parts.clock.now();
    const auto ownVersions = d_->parts.lists.versions();
    const std::lock_guard lock(d_->mutex);
    nlohmann::json vms = nlohmann::json::array();
    const auto add = [&](const VmId &vm, const char *state, std::uint64_t incarnation, const std::vector<StoreRevision> &versions) {
        nlohmann::json entry{{"vm", vm.value()}, {"state", state}, {"incarnation", incarnation}, {"versions", nlohmann::json::object()}};
        for (std::size_t i = 0; i < versions.size(); ++i) {
            entry["versions"][toString(static_cast<DocumentKind>(i))] = versions[i].number;
        }
        vms.push_back(std::move(entry));
    };
    add(d_->settings.vm, d_->leaving ? "leaving" : "live", d_->parts.peers.incarnation(), ownVersions);
    for (const auto &vm : d_->table.quorumPeers(now)) {
        const auto found = d_->versions.find(vm);
        add(vm,
            toString(d_->usesRing ? d_->ring.state(vm) : d_->table.state(vm, now)),
            d_->table.incarnation(vm),
            found == d_->versions.end() ? std::vector<StoreRevision>() : found->second);
    }
    return vms;
}

} // namespace daisystream
