#include "daemon/cells/vmmonitor.h"

#include "daisystream/lists/endpointstates.h"
#include "daisystream/lists/freshness.h"
#include "daisystream/lists/versionedrow.h"
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
#include <deque>
#include <map>
#include <mutex>
#include <set>

namespace daisystream
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

// Up to this many other VMs, each sends heartbeats to all; above, to a few in rotation, which pass them on.
constexpr std::size_t kDirectPeers = 63;
// Up to this many, at each beat; above, at every second one, so that a node's control bytes stay bounded.
constexpr std::size_t kFrequentPeers = 7;
constexpr VmTableOptions kRareTimes{.suspectedAfter = std::chrono::milliseconds(3500), .deadAfter = std::chrono::seconds(8), .faults = {}};
// VMs that follow the endpoints for all. Three, so that two can be lost at once.
constexpr std::size_t kWatchers = 3;
constexpr std::size_t kGossipTargets = 4;
// With 4 targets twice a second, 8 entries of about 30 bytes cost less than the 3 KB/s that a node may spend.
constexpr std::size_t kGossipEntries = 8;
// With 64 entries a second a fleet of 420 is heard of once in about 7 s, so that silence shows later than among few VMs.
constexpr VmTableOptions kGossipTimes{.suspectedAfter = std::chrono::seconds(15), .deadAfter = std::chrono::seconds(30), .faults = {}};
constexpr FreshnessOptions kGossipFreshness{
    .contactLimit = std::chrono::milliseconds(4500), .peerLimit = std::chrono::seconds(15), .assignLimit = std::chrono::milliseconds(2500), .faults = {}};
// Asked again when no reply has come, since a request is lost with its connection.
constexpr auto kFetchAgainAfter = std::chrono::milliseconds(500);
constexpr std::size_t kSealKeyBytes = 32;
constexpr auto kHeardRecently = std::chrono::milliseconds(1500);
// An outage of the platform that has lasted until a VM must refuse work often ends within a second or two.
constexpr auto kRetryInOutage = std::chrono::milliseconds(1000);

constexpr std::array kPolledKinds{DocumentKind::Plans, DocumentKind::Limits, DocumentKind::EndpointStates, DocumentKind::SealKeys};

/// @return how long a VM may be silent in a fleet with so many others.
VmTableOptions timesOf(std::size_t peers)
{
    return peers > kDirectPeers ? kGossipTimes : peers > kFrequentPeers ? kRareTimes : VmTableOptions{};
}

/// @return the text of a first set of sealing keys.
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
    Private(asio::io_context &loop, const Settings &with, const VmMonitorParts &links, VmMonitorOptions times)
        : io(loop)
        , settings(with)
        , parts(links)
        , options(times)
        , pollFailures(links.metrics.counter("daisystream_platform_failures_total", "Polls of the platform without a usable reply."))
        , fetched(links.metrics.counter("daisystream_documents_from_peers_total", "Documents that came from another VM."))
        , table(with.vm, timesOf(with.peers.size()))
        , freshness(times.freshness.value_or(with.peers.size() > kDirectPeers ? kGossipFreshness : FreshnessOptions{}))
    {
    }

    /// Calls `work` at once and then with a pause in between, until the monitor stops.
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
        repeat(options.heartbeatEvery, [this](asio::yield_context) { beat(); });
        if (!parts.platform.isConfigured() || !options.polls) {
            return;
        }
        for (const DocumentKind kind : kPolledKinds) {
            const auto pause = kind == DocumentKind::SealKeys ? options.sealKeysEvery : options.pollEvery;
            repeat(pause, [this, kind](asio::yield_context yield) { poll(kind, yield); });
        }
        repeat(options.pollEvery, [this](asio::yield_context yield) { pollVms(yield); });
    }

    // The platform.

    void poll(DocumentKind kind, asio::yield_context yield)
    {
        const auto sentAt = parts.clock.now();
        const auto reply = parts.platform.perform(TableRead{toString(kind)}, yield);
        if (const auto *found = std::get_if<RowFound>(&reply)) {
            take(kind, *found);
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

    void take(DocumentKind kind, const RowFound &found)
    {
        const auto row = decodeVersionedRow(found.value);
        if (!row) {
            LOG(ERROR) << "event=document_refused document=" << toString(kind) << " version=" << found.number << " reason=malformed_row";
            return;
        }
        parts.lists.offer(kind, {.number = found.number, .changeId = row->changes.empty() ? "" : row->changes.back()}, row->text);
    }

    /// Every VM may try; the condition lets one succeed.
    void createSealKeys(asio::yield_context yield)
    {
        VersionedRow row{.text = makeSealKeys(), .changes = {}};
        row.appendChange("first-" + settings.vm.value());
        // Whatever the reply, the row read afterwards decides.
        (void)parts.platform.perform(TableWrite{.key = toString(DocumentKind::SealKeys), .ifNumber = 0, .value = encode(row)}, yield);
        const auto reply = parts.platform.perform(TableRead{toString(DocumentKind::SealKeys)}, yield);
        if (const auto *found = std::get_if<RowFound>(&reply)) {
            take(DocumentKind::SealKeys, *found);
        }
    }

    /// The contact is as old as the older poll of the two lists.
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
                // The VM of an endpoint, which has the endpoint's name.
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
            const auto times = timesOf(peers.size());
            table.setTimes(times.suspectedAfter, times.deadAfter);
        }
        parts.dispatcher.setLeaving(leaving);
    }

    // Other VMs.

    /// @param isAnnouncing a document has changed: the others must not wait for the next beat.
    void beat(bool isAnnouncing = false)
    {
        const auto peers = parts.peers.peers();
        if (peers.size() > kFrequentPeers && peers.size() <= kDirectPeers && !isAnnouncing && ++beats % 2 == 0) {
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
            if (peers.size() <= kDirectPeers) {
                std::transform(peers.begin(), peers.end(), std::back_inserter(targets), [](const auto &peer) { return peer.vm; });
            } else {
                for (std::size_t i = 0; i < kGossipTargets; ++i) {
                    targets.push_back(peers[nextTarget++ % peers.size()].vm);
                }
                heartbeat.heard = takeNews();
            }
        }
        for (const auto &target : targets) {
            parts.peers.send(target, heartbeat);
        }
        refreshView();
    }

    std::vector<HeardVm> takeNews()
    {
        std::vector<HeardVm> taken;
        while (!news.empty() && taken.size() < kGossipEntries) {
            taken.push_back(news.front());
            news.pop_front();
        }
        return taken;
    }

    /// Passes on who is live, and whether this VM still knows that its lists are in force.
    void refreshView()
    {
        const auto now = parts.clock.now();
        std::vector<VmId> live;
        std::vector<VmId> dead;
        bool changed = false;
        // One at a time, so that an older view never replaces a newer one at the dispatcher.
        const std::lock_guard order(viewMutex);
        {
            const std::lock_guard lock(mutex);
            live = table.live(now);
            for (const auto &vm : table.quorumPeers(now)) {
                if (table.state(vm, now) == VmState::Dead) {
                    dead.push_back(vm);
                }
            }
            freshness.setPeers(table.quorumPeers(now));
            freshness.setListsKnown(true); // ListTable checks that by itself.
            changed = live != lastLive || dead != lastDead;
            lastLive = live;
            lastDead = dead;
        }
        if (changed) {
            std::string names;
            for (const auto &vm : live) {
                names += (names.empty() ? "" : ",") + vm.value();
            }
            LOG(INFO) << "event=live_vms vms=" << names << " dead=" << dead.size();
            parts.dispatcher.setVms(live, dead);
        }
    }

    void onHeartbeat(const VmId &from, std::uint64_t incarnation, const HeartbeatMessage &message)
    {
        const auto now = parts.clock.now();
        const auto mine = parts.lists.versions();
        std::vector<std::uint8_t> wanted;
        {
            const std::lock_guard lock(mutex);
            if (table.onHeartbeat({.vm = from, .incarnation = incarnation, .sequence = message.sequence, .leaving = message.stopping}, now)) {
                news.push_back({.vm = from, .incarnation = incarnation, .sequence = message.sequence});
            }
            for (const auto &heard : message.heard) {
                if (heard.vm != settings.vm && table.onHeartbeat({.vm = heard.vm, .incarnation = heard.incarnation, .sequence = heard.sequence}, now)) {
                    news.push_back(heard);
                    // Only among more VMs than send heartbeats to each other; its versions are not known.
                    freshness.onPeerContact(heard.vm, now, false);
                }
            }
            versions[from] = message.versions;
            if (message.cutOff) {
                cutOff.insert(from);
            } else {
                cutOff.erase(from);
            }
            for (std::size_t i = 0; i < kDocumentKinds; ++i) {
                if (message.versions[i] > mine[i] && now - fetchedAt[i] >= kFetchAgainAfter) {
                    fetchedAt[i] = now;
                    wanted.push_back(static_cast<std::uint8_t>(i));
                }
            }
        }
        for (const auto &digest : message.cells) {
            parts.dispatcher.onDigest(from, digest);
        }
        for (const auto kind : wanted) {
            parts.peers.send(from, DocumentRequestMessage{kind});
        }
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
            DocumentMessage{.kind = message.kind, .number = document.version.number, .changeId = document.version.changeId, .text = document.text, .vms = vms});
    }

    void onDocument(const DocumentMessage &message)
    {
        if (parts.lists.offer(static_cast<DocumentKind>(message.kind), {.number = message.number, .changeId = message.changeId}, message.text)) {
            fetched.add(1);
        }
        const std::lock_guard lock(mutex);
        table.onPeerList(message.vms, parts.clock.now());
    }

    std::optional<Error> admission()
    {
        // Without other VMs and without a platform the files of the settings are in force by themselves.
        if (!parts.platform.isConfigured()) {
            return std::nullopt;
        }
        const std::lock_guard lock(mutex);
        const auto now = parts.clock.now();
        auto error = freshness.admission(now);
        if (error && error->code == ResultCode::Isolated && !options.polls) {
            // Cut off alone: another VM serves the request at once. If others are heard, none of them is in contact either.
            error->retryAfter = now - heardAt < kHeardRecently ? kRetryInOutage : std::chrono::milliseconds(0);
        }
        return error;
    }

    asio::io_context &io;
    const Settings settings;
    const VmMonitorParts parts;
    const VmMonitorOptions options;
    Counter &pollFailures;
    Counter &fetched;
    std::atomic<bool> stopped{false};

    std::mutex viewMutex;     // Taken before the other.
    mutable std::mutex mutex; // Lock order 2.
    VmTable table;
    ListFreshness freshness;
    std::array<std::optional<TimePoint>, kDocumentKinds> contacts;
    std::array<TimePoint, kDocumentKinds> fetchedAt{};
    std::map<VmId, std::vector<std::uint64_t>> versions;
    std::deque<HeardVm> news;
    std::vector<VmId> lastLive;
    std::vector<VmId> lastDead;
    std::set<VmId> cutOff; ///< Others that do not reach the platform.
    std::function<bool()> cutOffSource;
    std::atomic<unsigned> beats{0};
    TimePoint contactAt{}; ///< As of when the platform showed what is in force, here or at another VM.
    TimePoint heardAt{};   ///< The last heartbeat that another VM confirmed was sent.
    std::uint64_t sequence = 0;
    std::size_t nextTarget = 0;
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
        const auto alive = weak.lock();
        return alive ? alive->admission() : std::nullopt;
    });
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
    d_->beat();
}

void VmMonitor::onMessage(const VmId &from, std::uint64_t incarnation, const PeerMessage &message)
{
    if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&message)) {
        d_->onHeartbeat(from, incarnation, *heartbeat);
    } else if (const auto *request = std::get_if<DocumentRequestMessage>(&message)) {
        d_->onDocumentRequest(from, *request);
    } else if (const auto *document = std::get_if<DocumentMessage>(&message)) {
        d_->onDocument(*document);
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
    d_->contactAt = std::max(d_->contactAt, asOf);
    d_->freshness.onPlatformContact(asOf);
}

std::size_t VmMonitor::knownVms() const
{
    const std::lock_guard lock(d_->mutex);
    return d_->table.quorumPeers(d_->parts.clock.now()).size() + 1;
}

void VmMonitor::onAck(const VmId &from, TimePoint sentAt, const PeerView &view)
{
    const auto mine = d_->parts.lists.versions();
    const auto isBehind = [&](DocumentKind kind) {
        const auto index = static_cast<std::size_t>(kind);
        return view.versions[index] > mine[index];
    };
    const bool newer = isBehind(DocumentKind::Plans) || isBehind(DocumentKind::Limits) || isBehind(DocumentKind::EndpointStates);
    const std::lock_guard lock(d_->mutex);
    d_->freshness.onPeerContact(from, sentAt, newer);
    d_->heardAt = std::max(d_->heardAt, sentAt);
    // What the platform showed another VM is in force here as well, if this VM has it. The other VM may have confirmed at
    // any moment after this one asked.
    if (!d_->options.polls && view.contactAge && !isBehind(DocumentKind::Routes)) {
        d_->contactAt = std::max(d_->contactAt, sentAt - *view.contactAge);
        d_->freshness.onPlatformContact(sentAt - *view.contactAge);
    }
}

PeerView VmMonitor::view() const
{
    PeerView view{.versions = d_->parts.lists.versions(), .contactAge = {}};
    const std::lock_guard lock(d_->mutex);
    if (d_->contactAt != TimePoint{}) {
        view.contactAge = std::chrono::ceil<std::chrono::milliseconds>(d_->parts.clock.now() - d_->contactAt);
    }
    return view;
}

void VmMonitor::announceDocument()
{
    d_->beat(true);
}

void VmMonitor::setCutOffSource(std::function<bool()> source)
{
    d_->cutOffSource = std::move(source);
}

bool VmMonitor::isWatcher() const
{
    const auto now = d_->parts.clock.now();
    const std::lock_guard lock(d_->mutex);
    auto candidates = d_->table.live(now);
    if (candidates.size() <= kFrequentPeers + 1) {
        return true;
    }
    std::erase_if(candidates, [this](const VmId &vm) { return d_->cutOff.contains(vm); });
    const auto watchers = rendezvousOrder("store/endpoints", candidates);
    const auto end = watchers.begin() + static_cast<std::ptrdiff_t>(std::min(kWatchers, watchers.size()));
    return std::find(watchers.begin(), end, d_->settings.vm) != end;
}

std::optional<Error> VmMonitor::assignment() const
{
    if (!d_->parts.platform.isConfigured()) {
        return std::nullopt;
    }
    const std::lock_guard lock(d_->mutex);
    return d_->freshness.assignment(d_->parts.clock.now());
}

void VmMonitor::beat()
{
    d_->beat();
}

nlohmann::json VmMonitor::status() const
{
    const auto now = d_->parts.clock.now();
    const auto mine = d_->parts.lists.versions();
    const std::lock_guard lock(d_->mutex);
    nlohmann::json vms = nlohmann::json::array();
    const auto add = [&](const VmId &vm, const char *state, std::uint64_t incarnation, const std::vector<std::uint64_t> &versions) {
        nlohmann::json entry{{"vm", vm.value()}, {"state", state}, {"incarnation", incarnation}, {"versions", nlohmann::json::object()}};
        for (std::size_t i = 0; i < versions.size(); ++i) {
            entry["versions"][toString(static_cast<DocumentKind>(i))] = versions[i];
        }
        vms.push_back(std::move(entry));
    };
    add(d_->settings.vm, d_->leaving ? "leaving" : "live", d_->parts.peers.incarnation(), mine);
    for (const auto &vm : d_->table.quorumPeers(now)) {
        const auto found = d_->versions.find(vm);
        add(vm, toString(d_->table.state(vm, now)), d_->table.incarnation(vm), found == d_->versions.end() ? std::vector<std::uint64_t>() : found->second);
    }
    return vms;
}

} // namespace daisystream
