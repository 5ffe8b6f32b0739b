#include "daemon/store/storewatch.h"

#include "daisystream/base/stablehash.h"
#include "daisystream/routes/configurationorder.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <map>

namespace daisystream
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

using std::chrono::milliseconds;

// The store replies to a watch after this time if nothing changes. A shorter wait confirms contact more often but costs more calls.
constexpr milliseconds kConfigWait{1000};
// A longer time between two replies to the watch of the configuration means that the platform did not respond: a slow store
// takes 50 times its usual 4 ms for each of the three calls between two replies.
constexpr milliseconds kMaxReplyGap = kConfigWait + milliseconds(700);
constexpr milliseconds kEndpointWait{5000};
constexpr milliseconds kVmWait{10000};
constexpr milliseconds kWantedCheckInterval{100};
// Check interval until the VM list is known. The list decides which VMs follow the other tables, so these are not followed
// before it is known or `kMaxVmListWait` has passed.
constexpr milliseconds kStartupCheckInterval{10};
constexpr milliseconds kMaxVmListWait{1000};
// VMs that start together register within about 0.3 s of each other; the pause lets one call read all of them.
constexpr milliseconds kVmBatchPause{500};
constexpr milliseconds kMinRetryDelay{50};
constexpr milliseconds kMaxRetryDelay{800};
// A shorter gap between replies does not count as an outage, since no entry can have expired in it.
constexpr milliseconds kMinOutage{1000};
// After a restore of the store, a VM that the store lacks stays listed for this time, in which it registers again.
constexpr milliseconds kVmReregistrationTime{10'000};
// VMs that have to register again do so spread over this time, since after a restore that can be all of them.
constexpr std::uint64_t kReregistrationSpreadMs = 500;
// After a restore of the store, the operator has written the withdrawn zones again by then.
constexpr milliseconds kZoneRewriteTime{10'000};
constexpr const char *kVmTable = "vms";

/// The store revision up to which a table was read; nothing before the first read, and when the table must be read again.
using Position = std::optional<StoreRevision>;

/// Describes how one table is followed: it is read completely, then watched, and read completely again if the store has
/// discarded changes.
struct TableFollower
{
    std::string table;
    milliseconds wait;
    std::function<void(const StoreRows &, bool isFullTable)> onRows;
    std::function<void(TimePoint sentAt, const StoreRows &)> onReply;
    std::function<void()> onFailure;
    std::function<bool()> isWanted;      ///< Called before each call to the platform; false suspends following.
    std::function<void()> whileUnwanted; ///< Called periodically while `isWanted` returns false.
    milliseconds pauseAfterRows{0};      ///< Pause after a reply with rows, so that one call reads changes that occur close together.
};

} // namespace

std::string encodeEndpoints(const std::vector<EndpointEntry> &entries)
{
    auto list = nlohmann::json::array();
    for (const auto &entry : entries) {
        list.push_back({entry.name,
                        entry.service.value(),
                        entry.address,
                        entry.zone.value(),
                        static_cast<int>(entry.state),
                        entry.slots,
                        entry.startedAt,
                        entry.coldDuration.count(),
                        entry.revision.number,
                        entry.revision.epoch});
    }
    return list.dump();
}

std::optional<std::vector<EndpointEntry>> decodeEndpoints(const std::string &text)
{
    std::vector<EndpointEntry> entries;
    try {
        for (const auto &item : nlohmann::json::parse(text)) {
            EndpointEntry entry;
            entry.name = item.at(0).get<std::string>();
            entry.service = ServiceId(item.at(1).get<std::string>());
            entry.address = item.at(2).get<std::string>();
            entry.zone = ZoneId(item.at(3).get<std::string>());
            entry.state = item.at(4).get<int>() == static_cast<int>(EndpointState::InService) ? EndpointState::InService : EndpointState::Draining;
            entry.slots = item.at(5).get<std::uint32_t>();
            entry.startedAt = item.at(6).get<std::uint64_t>();
            entry.coldDuration = milliseconds(item.at(7).get<std::int64_t>());
            entry.revision.number = item.at(8).get<std::uint64_t>();
            entry.revision.epoch = item.size() > 9 ? item.at(9).get<std::uint64_t>() : 0; // A VM of a build without epochs states none.
            entries.push_back(std::move(entry));
        }
    } catch (const nlohmann::json::exception &fault) {
        LOG(ERROR) << "event=document_refused document=endpoints reason=\"" << fault.what() << '"';
        return std::nullopt;
    }
    return entries;
}

std::string encodeVms(const std::vector<ListedVm> &vms)
{
    auto list = nlohmann::json::array();
    for (const auto &vm : vms) {
        list.push_back(encodeListedVm(vm));
    }
    return list.dump();
}

std::optional<std::vector<ListedVm>> decodeVms(const std::string &text)
{
    std::vector<ListedVm> vms;
    const auto list = nlohmann::json::parse(text, nullptr, false);
    if (!list.is_array()) {
        LOG(ERROR) << "event=document_refused document=vms reason=malformed";
        return std::nullopt;
    }
    for (const auto &item : list) {
        const auto vm = item.is_string() ? parseListedVm(item.get<std::string>()) : std::nullopt;
        if (vm) {
            vms.push_back(*vm);
        } else {
            LOG(WARNING) << "event=vm_ignored reason=malformed_entry";
        }
    }
    return vms;
}

std::string encodeZones(const std::set<ZoneId> &zones)
{
    auto list = nlohmann::json::array();
    for (const auto &zone : zones) {
        list.push_back(zone.value());
    }
    return list.dump();
}

std::optional<std::set<ZoneId>> decodeZones(const std::string &text)
{
    std::set<ZoneId> zones;
    try {
        for (const auto &item : nlohmann::json::parse(text)) {
            zones.emplace(item.get<std::string>());
        }
    } catch (const nlohmann::json::exception &fault) {
        LOG(ERROR) << "event=document_refused document=zones reason=\"" << fault.what() << '"';
        return std::nullopt;
    }
    return zones;
}

class StoreWatch::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &loop, const Settings &with, WatchSource from, const StoreWatchParts &links, StoreWatchHandlers targets)
        : io(loop)
        , strand(asio::make_strand(loop))
        , settings(with)
        , source(std::move(from))
        , parts(links)
        , handlers(std::move(targets))
        , failures(links.metrics.counter("daisystream_platform_failures_total", "Calls to the platform without a usable reply."))
        , calls(links.metrics.counter("daisystream_platform_calls_total", "Calls to the platform by the watch."))
        , restores(links.metrics.counter("daisystream_store_restores_total", "Restores of the platform's store from a backup."))
        , nextChangeTimer(strand)
        , zoneReleaseTimer(strand)
        , keptVmsTimer(strand)
    {
    }

    void follow(TableFollower follower)
    {
        asio::spawn(
            strand,
            [self = shared_from_this(), follower = std::move(follower)](asio::yield_context yield) {
                asio::steady_timer timer(self->strand);
                error_code ignored;
                Position position;
                auto pause = kMinRetryDelay;
                while (!self->stopped) {
                    if (!follower.isWanted()) {
                        follower.whileUnwanted();
                        timer.expires_after(self->isVmListKnown ? kWantedCheckInterval : kStartupCheckInterval);
                        timer.async_wait(yield[ignored]);
                        continue;
                    }
                    if (self->step(follower, position, yield)) {
                        pause = kMinRetryDelay;
                        continue;
                    }
                    follower.onFailure();
                    timer.expires_after(pause);
                    timer.async_wait(yield[ignored]);
                    pause = std::min(2 * pause, kMaxRetryDelay);
                }
            },
            asio::detached);
    }

    /// @return false if the platform gave no usable reply.
    bool step(const TableFollower &follower, Position &position, asio::yield_context yield)
    {
        if (position && position->epoch < parts.platform.epoch()) {
            position.reset(); // The restored store has given out the numbers after the position to other changes, or will.
        }
        if (!position) {
            return readFullTable(follower, position, yield);
        }
        const auto sentAt = parts.clock.now();
        calls.add(1);
        const auto reply = parts.platform.call(WatchTable{.table = follower.table, .after = *position, .wait = follower.wait}, yield);
        if (std::holds_alternative<StoreHistoryGone>(reply)) {
            LOG(INFO) << "event=history_gone table=" << follower.table << " revision=" << *position;
            position.reset();
            return true;
        }
        const auto *rows = std::get_if<StoreRows>(&reply);
        if (rows == nullptr) {
            failures.add(1);
            return false;
        }
        position = std::max(*position, rows->revision);
        follower.onRows(*rows, false);
        follower.onReply(sentAt, *rows);
        if (!rows->rows.empty() && follower.pauseAfterRows.count() > 0) {
            error_code ignored;
            asio::steady_timer timer(strand, follower.pauseAfterRows);
            timer.async_wait(yield[ignored]);
        }
        return true;
    }

    bool readFullTable(const TableFollower &follower, Position &position, asio::yield_context yield)
    {
        StoreRows whole;
        std::string from;
        bool isFirst = true;
        const auto sentAt = parts.clock.now();
        do {
            calls.add(1);
            const auto reply = parts.platform.call(ReadTable{.table = follower.table, .from = from}, yield);
            const auto *rows = std::get_if<StoreRows>(&reply);
            if (rows == nullptr) {
                failures.add(1);
                return false;
            }
            if (!isFirst && rows->revision.epoch != whole.revision.epoch) {
                return false; // The store was restored between two pages.
            }
            if (isFirst) {
                // The watch starts at the revision of the first page, so it also returns changes made while later pages are read.
                whole.revision = rows->revision;
                whole.storeTime = rows->storeTime;
            }
            isFirst = false;
            whole.more = rows->more && !rows->rows.empty();
            whole.rows.insert(whole.rows.end(), rows->rows.begin(), rows->rows.end());
            if (whole.more) {
                from = rows->rows.back().key + std::string(1, '\0');
            }
        } while (whole.more);
        noteEpoch(whole.revision.epoch);
        follower.onRows(whole, true);
        follower.onReply(sentAt, whole);
        position = whole.revision;
        return true;
    }

    /// Handles the epoch of a reply. If it has risen, the other tables are read again at once, since their watches may wait for changes
    /// after revisions that the restored store does not have.
    void noteEpoch(std::uint64_t stated)
    {
        if (!epoch) {
            epoch = stated;
        }
        if (stated <= *epoch) {
            return;
        }
        LOG(WARNING) << "event=store_restored epoch_before=" << *epoch << " epoch=" << stated;
        epoch = stated;
        restores.add(1);
        minClockOffset.reset(); // The restored store may run on another machine.
        parts.platform.resendWatches();
    }

    // The configuration.

    void onConfig(const StoreRows &rows, bool isFullTable)
    {
        onZoneRows(rows, isFullTable);
        for (const auto &row : rows.rows) {
            if (row.key != source.configKey || row.removed) {
                continue;
            }
            onRoutesInForce(); // Another VM may have confirmed or replaced them in this moment.
            const auto version = source.configVersion(row.text);
            if (!version) {
                LOG(ERROR) << "event=document_refused document=routes revision=" << row.version << " reason=malformed";
                continue;
            }
            const auto revision
                = configurationOrder.versionOf({.number = *version, .text = row.text, .epoch = rows.revision.epoch, .isWrittenInEpoch = !isFullTable});
            if (!revision) {
                logOlderConfiguration(*version, row.version, rows.revision.epoch);
                continue;
            }
            const ListVersion offered{.number = revision->number, .changeId = std::to_string(row.version), .epoch = revision->epoch};
            if (parts.lists.offer(DocumentKind::Routes, offered, row.text)) {
                configurationOrder.onInForce(*revision, row.text, rows.revision.epoch);
                handlers.onPublished(DocumentKind::Routes);
            }
        }
    }

    void logOlderConfiguration(std::uint64_t version, std::uint64_t row, std::uint64_t storeEpoch) const
    {
        const auto inForce = parts.lists.document(DocumentKind::Routes).version.revision();
        if (inForce.number > version) {
            LOG(INFO) << "event=configuration_kept version=" << inForce.number << " read=" << version << " revision=" << row << " epoch=" << storeEpoch;
        }
    }

    /// Handles a configuration that was put in force, possibly by another VM.
    void onRoutesInForce()
    {
        const auto document = parts.lists.document(DocumentKind::Routes);
        if (document.version.number == 0) {
            return;
        }
        configurationOrder.onInForce(document.version.revision(), document.text, epoch.value_or(0));
    }

    // The zones that are out of service.

    void onZoneRows(const StoreRows &rows, bool isFullTable)
    {
        std::set<ZoneId> zones;
        std::vector<ZoneChange> changes;
        for (const auto &row : rows.rows) {
            if (source.zonePrefix.empty() || !row.key.starts_with(source.zonePrefix)) {
                continue;
            }
            const ZoneId zone(row.key.substr(source.zonePrefix.size()));
            zones.insert(zone);
            changes.push_back({.zone = zone, .isWithdrawn = !row.removed, .revision = {.epoch = rows.revision.epoch, .number = row.version}});
        }
        if (isFullTable ? withdrawals.replace(zones, rows.revision) : withdrawals.apply(changes)) {
            publishZones();
        }
        scheduleZoneRelease();
    }

    void publishZones()
    {
        if (parts.lists.offer(DocumentKind::Zones, versionOf(withdrawals.revision()), encodeZones(withdrawals.registered()))) {
            handlers.onPublished(DocumentKind::Zones);
        }
        notifyZones("store");
    }

    /// Ends the withdrawal of zones that a restored store lacks once the operator has had time to write them again.
    void scheduleZoneRelease()
    {
        if (!withdrawals.hasKept() || isZoneReleaseScheduled) {
            return;
        }
        isZoneReleaseScheduled = true;
        zoneReleaseTimer.expires_after(kZoneRewriteTime);
        zoneReleaseTimer.async_wait([weak = weak_from_this()](const error_code &cancelled) {
            const auto self = weak.lock();
            if (!self || cancelled) {
                return;
            }
            self->isZoneReleaseScheduled = false;
            if (self->withdrawals.releaseKept()) {
                self->notifyZones("time");
            }
        });
    }

    /// @return the version of a document that shows the store as of a revision.
    static ListVersion versionOf(const StoreRevision &revision)
    {
        return {.number = revision.number, .changeId = {}, .epoch = revision.epoch};
    }

    /// Applies a set of zones received from another VM, if it is newer; else, puts the own set in force again, which is newer and
    /// which the other VM lacks.
    void onZoneDocument()
    {
        const auto document = parts.lists.document(DocumentKind::Zones);
        const auto zones = decodeZones(document.text);
        const auto revision = document.version.revision();
        if (!zones || revision == withdrawals.revision()) {
            return;
        }
        if (revision < withdrawals.revision()) {
            if (*zones != withdrawals.registered()) {
                publishZones();
            }
            return;
        }
        if (withdrawals.replace(*zones, revision)) {
            notifyZones("other_vm");
        }
        scheduleZoneRelease();
    }

    void notifyZones(const char *from)
    {
        for (const auto &zone : withdrawals.zones()) {
            if (!loggedZones.contains(zone)) {
                LOG(INFO) << "event=zone_withdrawn zone=" << zone << " revision=" << withdrawals.revision() << " source=" << from;
            }
        }
        for (const auto &zone : loggedZones) {
            if (!withdrawals.contains(zone)) {
                LOG(INFO) << "event=zone_restored zone=" << zone << " revision=" << withdrawals.revision() << " source=" << from;
            }
        }
        loggedZones = withdrawals.zones();
        handlers.onZones(withdrawals);
    }

    /// Determines the time as of which a reply confirms the configuration. That time lies between the request and the
    /// arrival of the reply. The store's clock gives a closer estimate, by the smallest clock difference seen so far,
    /// which belongs to the fastest reply.
    void onConfigReply(TimePoint sentAt, const StoreRows &rows)
    {
        auto asOf = sentAt;
        const auto now = parts.clock.now();
        if (rows.storeTime) {
            const auto offset = now - TimePoint(*rows.storeTime);
            minClockOffset = std::min(minClockOffset.value_or(offset), offset);
            asOf = std::max(sentAt, std::min(now, TimePoint(*rows.storeTime) + *minClockOffset));
        }
        handlers.onContact(asOf);
        if (lastConfigReplyAt && now - *lastConfigReplyAt > kMaxReplyGap) {
            LOG(INFO) << "event=platform_silent silent_ms=" << std::chrono::duration_cast<milliseconds>(now - *lastConfigReplyAt).count();
            parts.platform.resendWatches();
        }
        lastConfigReplyAt = now;
        onReached(now, "reply");
    }

    /// Records contact with the store, by this VM or by other VMs that forward what they read.
    void onReached(TimePoint now, const char *by)
    {
        isLost = false;
        if (const auto since = std::exchange(unreachableSince, std::nullopt)) {
            LOG(INFO) << "event=platform_regained lost_ms=" << std::chrono::duration_cast<milliseconds>(now - *since).count() << " by=" << by;
            directory.onStoreReturned(now, now - *since >= kMinOutage);
            publish(true);
        }
    }

    void onFailure()
    {
        if (!unreachableSince) {
            unreachableSince = parts.clock.now();
            isLost = true;
            LOG(WARNING) << "event=platform_lost";
            directory.onStoreLost();
        }
    }

    // The endpoints.

    void onEndpointRows(const StoreRows &rows, bool isFullTable)
    {
        const auto now = parts.clock.now();
        EndpointChanges changes{.after = directory.revision(), .upTo = {}, .changes = {}};
        if (isFullTable) {
            std::vector<EndpointEntry> entries;
            for (const auto &row : rows.rows) {
                if (auto entry = parseEndpoint(row, rows.revision.epoch)) {
                    entries.push_back(std::move(*entry));
                }
            }
            directory.replace(entries, rows.revision, now);
        }
        for (const auto &row : rows.rows) {
            if (isFullTable) {
                break;
            }
            const StoreRevision revision{.epoch = rows.revision.epoch, .number = row.version};
            const auto entry = row.removed ? std::nullopt : parseEndpoint(row, rows.revision.epoch);
            if (entry) {
                directory.put(*entry, revision, now);
            } else {
                directory.remove(row.key, revision, now);
            }
            changes.changes.push_back({.name = row.key, .entry = entry, .revision = revision});
        }
        changes.upTo = directory.revision();
        if (!isFullTable && changes.upTo > changes.after) {
            handlers.onChanges(changes); // Other VMs get the changes before this VM processes them.
        }
        if (isFullTable || !rows.rows.empty()) {
            publish(isFullTable);
        }
    }

    std::optional<EndpointEntry> parseEndpoint(const StoreRow &row, std::uint64_t storeEpoch) const
    {
        auto entry = source.parseEndpoint(row.key, row.text);
        if (entry) {
            entry->revision = {.epoch = storeEpoch, .number = row.version};
        } else {
            LOG(WARNING) << "event=endpoint_ignored row=" << row.version << " reason=malformed_entry";
        }
        return entry;
    }

    /// Puts the registered endpoints in force as a document and notifies the handlers.
    /// @param announces true to announce the document to the other VMs; false if they receive the individual changes.
    void publish(bool announces)
    {
        const auto now = parts.clock.now();
        if (parts.lists.offer(DocumentKind::Endpoints, versionOf(directory.revision()), encodeEndpoints(directory.registered(now))) && announces) {
            handlers.onPublished(DocumentKind::Endpoints);
        }
        notifyEndpoints(directory.entries(now), now);
    }

    void notifyEndpoints(const std::vector<EndpointEntry> &entries, TimePoint now)
    {
        logChanges(entries);
        handlers.onEndpoints(entries);
        if (const auto next = directory.nextChange(now)) {
            nextChangeTimer.expires_after(*next - now + milliseconds(1));
            nextChangeTimer.async_wait([weak = weak_from_this()](const error_code &cancelled) {
                const auto self = weak.lock();
                if (self && !cancelled) {
                    const auto at = self->parts.clock.now();
                    self->notifyEndpoints(self->directory.entries(at), at);
                }
            });
        }
    }

    void logChanges(const std::vector<EndpointEntry> &entries)
    {
        std::map<EndpointId, EndpointState> states;
        for (const auto &entry : entries) {
            states[entry.id()] = entry.state;
            const auto known = loggedStates.find(entry.id());
            if (known == loggedStates.end() || known->second != entry.state) {
                LOG(INFO) << "event=endpoint endpoint=" << entry.id() << " state=" << toString(entry.state) << " service=" << entry.service
                          << " address=" << entry.address << " revision=" << directory.revision();
            }
        }
        for (const auto &[id, state] : loggedStates) {
            if (!states.contains(id)) {
                LOG(INFO) << "event=endpoint endpoint=" << id << " state=gone revision=" << directory.revision();
            }
        }
        loggedStates = std::move(states);
    }

    /// Applies a newer set of endpoints received from another VM.
    void onDocument()
    {
        const auto document = parts.lists.document(DocumentKind::Endpoints);
        if (document.version.revision() <= directory.revision()) {
            return;
        }
        const auto entries = decodeEndpoints(document.text);
        const auto now = parts.clock.now();
        if (entries && directory.replace(*entries, document.version.revision(), now)) {
            notifyEndpoints(directory.entries(now), now);
        }
    }

    void onChanges(const EndpointChanges &changes, const std::function<void()> &onGap)
    {
        switch (directory.apply(changes, parts.clock.now())) {
        case ChangesResult::Applied:
            publish(false);
            break;
        case ChangesResult::Known:
            break;
        case ChangesResult::Gap:
            LOG(INFO) << "event=endpoint_gap revision=" << directory.revision() << " after=" << changes.after << " up_to=" << changes.upTo;
            onGap();
            break;
        }
    }

    // The deployment's VMs.

    /// Applies a newer VM list received from another VM.
    void onVmDocument()
    {
        const auto document = parts.lists.document(DocumentKind::Vms);
        const auto list = document.version.revision() > vmsRevision ? decodeVms(document.text) : std::nullopt;
        if (!list) {
            return;
        }
        beginVmList(document.version.revision());
        for (const auto &vm : *list) {
            putVm(vm.vm.value(), vm);
        }
        notifyVms();
    }

    /// Empties the list of VMs, which is about to be replaced. If the store was restored since the last one, VMs that the new list lacks are
    /// kept until they have had time to register again.
    void beginVmList(const StoreRevision &revision)
    {
        if (revision.epoch > vmsRevision.epoch && vmsRevision != StoreRevision()) {
            keptVms.insert(vms.begin(), vms.end());
            keptVmsTimer.expires_after(kVmReregistrationTime);
            keptVmsTimer.async_wait([weak = weak_from_this()](const error_code &cancelled) {
                const auto self = weak.lock();
                if (self && !cancelled && !self->keptVms.empty()) {
                    self->keptVms.clear();
                    self->notifyVms();
                }
            });
        }
        vmsRevision = std::max(vmsRevision, revision);
        vms.clear();
    }

    void putVm(const std::string &key, const ListedVm &vm)
    {
        vms[key] = vm;
        keptVms.erase(key);
    }

    void notifyVms()
    {
        std::vector<ListedVm> list;
        for (const auto *source : {&vms, &keptVms}) {
            std::transform(source->begin(), source->end(), std::back_inserter(list), [](const auto &entry) { return entry.second; });
        }
        handlers.onVms(list);
        isVmListKnown = true;
        if (registeredAs && *registeredAs < vmsRevision && !vms.contains(settings.vm.value())) {
            registeredAs.reset();
            LOG(WARNING) << "event=registration_missing revision=" << vmsRevision;
            registerSelf(milliseconds(stableHash(settings.vm.value()) % kReregistrationSpreadMs));
        }
    }

    [[nodiscard]] bool isWaitingForVms() const
    {
        return !isVmListKnown && parts.clock.now() - startedAt < kMaxVmListWait;
    }

    /// Writes the row of this VM, which is the same each time.
    /// @param delay before the first attempt.
    void registerSelf(milliseconds delay)
    {
        asio::spawn(
            strand,
            [self = shared_from_this(), delay](asio::yield_context yield) {
                const auto &settings = self->settings;
                const SocketAddress bound{.ip = settings.listenPeers ? settings.listenPeers->ip : settings.listen.ip, .port = self->peerPort};
                const ListedVm vm{.vm = settings.vm, .zone = settings.zone, .peerAddress = settings.advertisePeers.value_or(bound), .leaving = false};
                asio::steady_timer timer(self->strand);
                error_code ignored;
                auto pause = kMinRetryDelay;
                if (delay.count() > 0) {
                    timer.expires_after(delay);
                    timer.async_wait(yield[ignored]);
                }
                const WriteRow write{.table = kVmTable, .key = settings.vm.value(), .text = encodeListedVm(vm), .condition = Always{}};
                // Each attempt writes the same text, so a write whose reply was lost can safely be repeated.
                while (!self->stopped) {
                    self->calls.add(1);
                    const auto reply = self->parts.platform.call(write, yield);
                    if (const auto *written = std::get_if<StoreWritten>(&reply)) {
                        self->registeredAs = StoreRevision{.epoch = written->epoch, .number = written->version};
                        return;
                    }
                    timer.expires_after(pause);
                    timer.async_wait(yield[ignored]);
                    pause = std::min(2 * pause, kMaxRetryDelay);
                }
            },
            asio::detached);
    }

    void onVmRows(const StoreRows &rows, bool isFullTable)
    {
        if (isFullTable) {
            beginVmList(rows.revision);
        }
        for (const auto &row : rows.rows) {
            const auto vm = row.removed ? std::nullopt : parseListedVm(row.text);
            if (vm) {
                putVm(row.key, *vm);
            } else {
                vms.erase(row.key);
                keptVms.erase(row.key);
            }
        }
        if (!isFullTable && rows.rows.empty()) {
            return;
        }
        std::vector<ListedVm> list;
        std::transform(vms.begin(), vms.end(), std::back_inserter(list), [](const auto &entry) { return entry.second; });
        vmsRevision = std::max(vmsRevision, rows.revision);
        notifyVms();
        if (parts.lists.offer(DocumentKind::Vms, versionOf(vmsRevision), encodeVms(list))) {
            handlers.onPublished(DocumentKind::Vms);
        }
    }

    asio::io_context &io;
    asio::strand<asio::io_context::executor_type> strand; ///< The non-atomic state below is only used on this strand.
    const Settings settings;
    const WatchSource source;
    const StoreWatchParts parts;
    const StoreWatchHandlers handlers;
    Counter &failures;
    Counter &calls;
    Counter &restores;
    std::optional<std::uint64_t> epoch; ///< Of the store, as its latest reply stated.
    ConfigurationOrder configurationOrder;
    std::atomic<bool> stopped{false};
    std::atomic<bool> isLost{false}; ///< True while `unreachableSince` is set; readable from any thread.
    EndpointDirectory directory;
    std::map<EndpointId, EndpointState> loggedStates;
    ZoneWithdrawals withdrawals;
    std::set<ZoneId> loggedZones; ///< The zones that the log names as withdrawn.
    std::map<std::string, ListedVm> vms;
    StoreRevision vmsRevision;
    std::map<std::string, ListedVm> keptVms;   ///< VMs that a restored store lacks and that have not had time to register again.
    std::optional<StoreRevision> registeredAs; ///< Revision of this VM's row; nothing while it is being written.
    std::uint16_t peerPort = 0;
    std::atomic<bool> isVmListKnown{false};
    TimePoint startedAt{};
    std::optional<TimePoint> unreachableSince;
    std::optional<TimePoint> lastConfigReplyAt; ///< Time of the last reply for the configuration table.
    std::optional<Duration> minClockOffset;     ///< Smallest difference seen between this VM's clock and the store's.
    asio::steady_timer nextChangeTimer;
    asio::steady_timer zoneReleaseTimer;
    bool isZoneReleaseScheduled = false;
    asio::steady_timer keptVmsTimer;
};

StoreWatch::StoreWatch(asio::io_context &io, const Settings &settings, WatchSource source, const StoreWatchParts &parts, StoreWatchHandlers handlers)
    : d_(std::make_shared<Private>(io, settings, std::move(source), parts, std::move(handlers)))
{
    parts.lists.onChange([weak = std::weak_ptr(d_)](DocumentKind kind) {
        const auto self = weak.lock();
        if (self && kind == DocumentKind::Endpoints) {
            asio::post(self->strand, [self] { self->onDocument(); });
        } else if (self && kind == DocumentKind::Vms) {
            asio::post(self->strand, [self] { self->onVmDocument(); });
        } else if (self && kind == DocumentKind::Zones) {
            asio::post(self->strand, [self] { self->onZoneDocument(); });
        } else if (self && kind == DocumentKind::Routes) {
            asio::post(self->strand, [self] { self->onRoutesInForce(); });
        }
    });
}

StoreWatch::~StoreWatch()
{
    stop();
}

void StoreWatch::start(std::uint16_t peerPort)
{
    const auto ignore = [](TimePoint, const StoreRows &) {
    };
    auto *d = d_.get(); // The coroutines started by follow() keep the object alive.
    d->peerPort = peerPort;
    d->registerSelf(milliseconds(0));
    d->startedAt = d->parts.clock.now();
    d->follow({.table = d->source.configTable,
               .wait = kConfigWait,
               .onRows = [d](const StoreRows &rows, bool isFullTable) { d->onConfig(rows, isFullTable); },
               .onReply = [d](TimePoint sentAt, const StoreRows &rows) { d->onConfigReply(sentAt, rows); },
               .onFailure = [d] { d->onFailure(); },
               .isWanted = [d] { return !d->isWaitingForVms() && d->handlers.followsConfig(); },
               .whileUnwanted = [d] { d->onReached(d->parts.clock.now(), "other_vms"); },
               .pauseAfterRows = {}});
    d->follow({.table = d->source.endpointTable,
               .wait = kEndpointWait,
               .onRows = [d](const StoreRows &rows, bool isFullTable) { d->onEndpointRows(rows, isFullTable); },
               .onReply = ignore,
               .onFailure = [d] { d->onFailure(); },
               .isWanted = [d] { return !d->isWaitingForVms() && d->handlers.followsEndpoints(); },
               .whileUnwanted = [] {},
               .pauseAfterRows = {}});
    d->follow({.table = kVmTable,
               .wait = kVmWait,
               .onRows = [d](const StoreRows &rows, bool isFullTable) { d->onVmRows(rows, isFullTable); },
               .onReply = ignore,
               .onFailure = [] {},
               .isWanted = [d] { return !d->isVmListKnown || d->handlers.followsVms(); },
               .whileUnwanted = [] {},
               .pauseAfterRows = kVmBatchPause});
}

void StoreWatch::onChanges(const EndpointChanges &changes, std::function<void()> onGap)
{
    asio::post(d_->strand, [self = d_, changes, onGap = std::move(onGap)] { self->onChanges(changes, onGap); });
}

bool StoreWatch::isLost() const
{
    return d_->isLost;
}

void StoreWatch::stop()
{
    d_->stopped = true;
}

} // namespace daisystream
