#include "schedules/eventqueue.h"
#include "schedules/properties.h"

#include "daisystream/membership/fanout.h"
#include "daisystream/membership/fleetring.h"
#include "daisystream/membership/rendezvous.h"

#include <algorithm>
#include <set>

// Zones are withdrawn and restored while messages are lost, the store is slow, and VMs are killed, started, frozen and cut off.

namespace daisystream::schedules
{
namespace
{

using namespace std::chrono_literals;

// As in the daemon.
constexpr Duration kBeat = 500ms;
constexpr Duration kWatchTime = 1s;
constexpr Duration kFetchRetry = 500ms;
constexpr Duration kContactLimit = 4500ms; ///< A VM serves only while its latest contact with the store is at most this old.
constexpr Duration kReadsItselfAfter = 2500ms;
constexpr std::size_t kWatchers = 3;
constexpr std::size_t kVmsPerRelay = 8;
constexpr std::size_t kRelays = 3;
// The world.
constexpr Duration kBound = 5s;
constexpr Duration kDeathNoticed = 5s;
constexpr Duration kCutNoticed = 2s;
constexpr double kLate = 0.03;
constexpr double kLost = 0.002; ///< Share of messages that are lost with their connection.

struct ZonePlan
{
    std::size_t vms = 32;
    std::size_t zones = 3;
    bool isDisturbed = true;
    Duration newsBound{}; ///< 99 in 100 VMs know of a change within this time; zero: not checked.
};

class ZoneWorld
{
public:
    ZoneWorld(std::uint64_t seed, const ZonePlan &plan, const Faults &faults)
        : plan_(plan)
        , faults_(faults)
        , queue_(seed)
    {
        accepted_[0] = {};
        for (std::size_t i = 0; i < plan.vms; ++i) {
            vms_.push_back(std::make_unique<Vm>());
        }
        refreshMembers();
        for (std::size_t i = 0; i < plan.vms; ++i) {
            start(i);
        }
        queue_.after(50ms, [this] { check(); });
    }

    std::optional<std::string> run()
    {
        constexpr Duration kSpan = 60s;
        queue_.run(3s, [] {});
        for (int i = 0; i < 25; ++i) {
            queue_.after(queue_.between(0ms, kSpan), [this] { changeZones(); });
        }
        for (int i = 0; plan_.isDisturbed && i < 12; ++i) {
            queue_.after(queue_.between(0ms, kSpan), [this] { disturb(); });
        }
        queue_.run(kSpan + 12s, [] {});
        for (std::size_t i = 0; i < plan_.vms; ++i) {
            if (vms_[i]->process.alive && (!serves(i) || vms_[i]->zones.zones() != accepted_.rbegin()->second)) {
                queue_.fail(id(i).value() + " does not serve with the newest set after the last disturbance");
            }
        }
        return queue_.violation;
    }

private:
    using Zones = std::set<ZoneId>;

    struct Vm
    {
        Process process;
        ZoneWithdrawals zones;
        std::uint64_t documentNumber = 0;
        Zones document;
        std::uint64_t forwards = 0; ///< Newest document that it tells its zone of when it arrives.
        std::optional<std::uint64_t> position;
        TimePoint contactAt{};
        TimePoint fetchedAt{};
        std::uint64_t announced = 0; ///< Newest document that it was told of, and by whom.
        std::size_t announcer = 0;
        TimePoint storeCutAt{};
        TimePoint storeCutUntil{};
        TimePoint cutUntil{}; ///< Cut off from the other VMs as well.
        TimePoint diedAt{};
        std::uint64_t waits = 0; ///< Number of the watch request that the store holds; 0 for none.
        std::vector<VmId> watchers;
    };

    static VmId id(std::size_t index)
    {
        return VmId("edge-" + std::to_string(index));
    }

    static std::size_t indexOf(const VmId &vm)
    {
        return std::stoul(vm.value().substr(5));
    }

    [[nodiscard]] bool isCutFromStore(std::size_t index) const
    {
        return vms_[index]->storeCutUntil > queue_.now();
    }

    [[nodiscard]] bool serves(std::size_t index) const
    {
        const Vm &vm = *vms_[index];
        return vm.process.alive && vm.process.pausedUntil <= queue_.now() && queue_.now() - vm.contactAt <= kContactLimit;
    }

    /// Who watches the store, who is asked by others, and who watches whom.
    void refreshMembers()
    {
        std::vector<VmId> known;
        std::vector<VmId> connected;
        for (std::size_t i = 0; i < plan_.vms; ++i) {
            const Vm &vm = *vms_[i];
            if (vm.process.alive || queue_.now() - vm.diedAt < kDeathNoticed) {
                known.push_back(id(i));
                if (!isCutFromStore(i) || queue_.now() - vm.storeCutAt < kCutNoticed) {
                    connected.push_back(id(i));
                }
            }
        }
        order_ = rendezvousOrder("contact", connected);
        if (known == members_) {
            return;
        }
        members_ = known;
        for (const auto &vm : known) {
            FleetRing ring(vm);
            ring.setVms(known, queue_.now());
            vms_[indexOf(vm)]->watchers = ring.watchers();
        }
    }

    void start(std::size_t index)
    {
        Vm &vm = *vms_[index];
        const auto incarnation = vm.process.incarnation + 1;
        auto watchers = std::move(vm.watchers);
        vm = Vm();
        vm.watchers = std::move(watchers);
        vm.process.incarnation = incarnation;
        vm.zones = ZoneWithdrawals(faults_.zones);
        queue_.after(queue_.between(0ms, 300ms), vm.process, [this, index] { watch(index); });
        queue_.after(queue_.between(0ms, 300ms), vm.process, [this, index] { beat(index); });
    }

    void send(std::size_t from, std::size_t to, std::function<void()> deliver)
    {
        const auto isCut = [this](std::size_t vm) {
            return vms_[vm]->cutUntil > queue_.now();
        };
        if (isCut(from) || isCut(to) || !vms_[to]->process.alive || queue_.chance(kLost)) {
            return;
        }
        queue_.after(queue_.chance(kLate) ? queue_.between(200ms, 600ms) : queue_.between(1ms, 4ms), vms_[to]->process, std::move(deliver));
    }

    // The store.

    [[nodiscard]] Duration storeDelay()
    {
        return queue_.now() < storeSlowUntil_ ? queue_.between(100ms, 800ms) : queue_.between(1ms, 6ms);
    }

    void changeZones()
    {
        const auto changes = 1 + queue_.random.below(4); // In quick succession, or in one transaction.
        const bool isOneTransaction = queue_.chance(0.3);
        Duration delay{};
        for (std::uint64_t i = 0; i < changes; ++i) {
            queue_.after(delay, [this, isNewRevision = i == 0 || !isOneTransaction] {
                const ZoneId zone("z" + std::to_string(queue_.random.below(plan_.zones)));
                auto zones = accepted_.rbegin()->second;
                const bool isWithdrawn = zones.erase(zone) == 0;
                if (isWithdrawn) {
                    zones.insert(zone);
                }
                revision_ += isNewRevision ? 1 + queue_.random.below(3) : 0;
                accepted_[revision_] = zones;
                acceptedAt_[revision_] = queue_.now();
                history_.push_back({.zone = zone, .isWithdrawn = isWithdrawn, .revision = {.epoch = 0, .number = revision_}});
            });
            delay += isOneTransaction ? 0ms : queue_.between(0ms, 300ms);
        }
        queue_.after(delay, [this] { answerWatches(); });
    }

    void answerWatches()
    {
        for (std::size_t i = 0; i < plan_.vms; ++i) {
            answer(i, vms_[i]->waits);
        }
        if (plan_.newsBound.count() > 0) {
            queue_.after(plan_.newsBound, [this, revision = revision_] { checkShare(revision); });
        }
    }

    void watch(std::size_t index)
    {
        Vm &vm = *vms_[index];
        const auto end = order_.begin() + static_cast<std::ptrdiff_t>(std::min(kWatchers, order_.size()));
        const bool isWatcher = std::find(order_.begin(), end, id(index)) != end;
        if (isCutFromStore(index) || (!isWatcher && queue_.now() - vm.contactAt <= kReadsItselfAfter)) {
            queue_.after(100ms, vm.process, [this, index] { watch(index); });
            return;
        }
        queue_.after(storeDelay(), vm.process, [this, index] {
            Vm &asking = *vms_[index];
            asking.waits = ++watches_;
            const bool hasNews
                = !asking.position || *asking.position < historyFrom_ || (!history_.empty() && history_.back().revision.number > *asking.position);
            queue_.after(hasNews ? 0ms : kWatchTime, [this, index, number = asking.waits] { answer(index, number); });
        });
    }

    /// Replies to a watch with what the store has now.
    void answer(std::size_t index, std::uint64_t number)
    {
        Vm &vm = *vms_[index];
        if (number == 0 || vm.waits != number) {
            return;
        }
        vm.waits = 0;
        const bool isWhole = !vm.position || *vm.position < historyFrom_;
        std::vector<ZoneChange> changes;
        std::copy_if(history_.begin(), history_.end(), std::back_inserter(changes), [&](const auto &change) { return change.revision.number > vm.position; });
        queue_.after(storeDelay(), vm.process, [this, index, isWhole, changes, zones = accepted_.rbegin()->second, revision = revision_, asOf = queue_.now()] {
            if (!isCutFromStore(index)) {
                Vm &reader = *vms_[index];
                reader.position = revision;
                const bool hasChanged = isWhole ? reader.zones.replace(zones, {.epoch = 0, .number = revision}) : reader.zones.apply(changes);
                if (hasChanged) {
                    publish(index);
                }
                reader.contactAt = std::max(reader.contactAt, asOf);
                checkSet(index);
            }
            watch(index);
        });
    }

    // Documents, as StoreWatch and VmMonitor handle them.

    void publish(std::size_t index)
    {
        Vm &vm = *vms_[index];
        if (vm.zones.revision().number <= vm.documentNumber) {
            return;
        }
        vm.documentNumber = vm.zones.revision().number;
        vm.document = vm.zones.zones();
        const auto end = order_.begin() + static_cast<std::ptrdiff_t>(std::min(kWatchers, order_.size()));
        if (std::find(order_.begin(), end, id(index)) == end) {
            return;
        }
        const auto fanout = fanoutOf(index);
        for (const auto &candidates : fanout.relays("zones/" + std::to_string(vm.documentNumber))) {
            for (std::size_t i = 0; i < kRelays && i < candidates.size(); ++i) {
                announce(index, indexOf(candidates[i]), true);
            }
        }
        announceToZone(index, fanout);
    }

    [[nodiscard]] Fanout fanoutOf(std::size_t index) const
    {
        std::map<VmId, ZoneId> zones;
        for (const auto &vm : members_) {
            zones[vm] = ZoneId("z" + std::to_string(indexOf(vm) % plan_.zones));
        }
        return {id(index), zones};
    }

    void announceToZone(std::size_t index, const Fanout &fanout)
    {
        for (const auto &member : fanout.zonePeers()) {
            announce(index, indexOf(member), false);
        }
    }

    void announce(std::size_t from, std::size_t to, bool isRelay)
    {
        send(from, to, [this, from, to, isRelay, number = vms_[from]->documentNumber] {
            if (number > vms_[to]->documentNumber) {
                vms_[to]->announced = std::max(vms_[to]->announced, number);
                vms_[to]->announcer = from;
                vms_[to]->forwards = isRelay ? std::max(vms_[to]->forwards, number) : vms_[to]->forwards;
                fetch(to, from);
            }
        });
    }

    void fetch(std::size_t at, std::size_t from)
    {
        if (queue_.now() - vms_[at]->fetchedAt < kFetchRetry) {
            return;
        }
        vms_[at]->fetchedAt = queue_.now();
        send(at, from, [this, at, from] {
            const Vm &holder = *vms_[from];
            send(from, at, [this, at, number = holder.documentNumber, zones = holder.document] { onDocument(at, number, zones); });
        });
    }

    void onDocument(std::size_t at, std::uint64_t number, const Zones &zones)
    {
        Vm &vm = *vms_[at];
        if (number <= vm.documentNumber) {
            return;
        }
        vm.documentNumber = number;
        vm.document = zones;
        if (number < vm.zones.revision().number && zones != vm.zones.zones()) {
            publish(at);
        } else if (number > vm.zones.revision().number) {
            vm.zones.replace(zones, {.epoch = 0, .number = number});
        }
        checkSet(at);
        vm.fetchedAt = {};
        if (vm.forwards > 0) {
            announceToZone(at, fanoutOf(at));
            vm.forwards = vm.forwards > number ? vm.forwards : 0;
        }
        if (vm.announced > number) { // A newer one was announced while this one was on its way.
            fetch(at, vm.announcer);
        }
    }

    void beat(std::size_t index)
    {
        Vm &vm = *vms_[index];
        auto targets = vm.watchers;
        const std::size_t relays = kWatchers + plan_.vms / kVmsPerRelay;
        const auto place = static_cast<std::size_t>(std::find(order_.begin(), order_.end(), id(index)) - order_.begin());
        if (place >= kWatchers && !order_.empty()) {
            const std::size_t first = place < relays ? 0 : std::min(kWatchers, order_.size() - 1);
            const std::size_t count = std::min(place < relays ? kWatchers : relays - kWatchers, order_.size() - first);
            targets.push_back(order_[first + queue_.random.below(count)]);
        }
        for (const auto &target : targets) {
            send(index, indexOf(target), [this, index, at = indexOf(target), number = vm.documentNumber, sentAt = queue_.now()] {
                if (number > vms_[at]->documentNumber && !faults_.ignoresDocumentVersions) {
                    fetch(at, index);
                }
                send(at, index, [this, index, at, sentAt, theirs = vms_[at]->documentNumber, contactAge = queue_.now() - vms_[at]->contactAt] {
                    onAck(index, at, sentAt - contactAge, theirs);
                });
            });
        }
        queue_.after(kBeat, vm.process, [this, index] { beat(index); });
    }

    void onAck(std::size_t index, std::size_t from, TimePoint contactAt, std::uint64_t number)
    {
        Vm &vm = *vms_[index];
        if (number > vm.documentNumber && !faults_.ignoresDocumentVersions) {
            fetch(index, from);
        } else {
            vm.contactAt = std::max(vm.contactAt, contactAt);
        }
    }

    void disturb()
    {
        const auto kind = queue_.random.below(5);
        if (kind == 0) {
            storeSlowUntil_ = queue_.now() + queue_.between(1s, 5s);
        } else if (kind == 1) {
            historyFrom_ = revision_ + 1; // Readers must read the whole table.
            ++revision_;
            accepted_[revision_] = accepted_.rbegin()->second;
            acceptedAt_[revision_] = queue_.now();
            history_.clear();
        }
        const auto count = 1 + queue_.random.below(plan_.vms / 4);
        for (std::uint64_t i = 0; kind >= 2 && i < count; ++i) {
            // The watchers and relays are hit more often than by chance.
            const auto index = queue_.chance(0.3) ? indexOf(order_[queue_.random.below(std::min<std::size_t>(order_.size(), 6))])
                                                  : static_cast<std::size_t>(queue_.random.below(plan_.vms));
            Vm &vm = *vms_[index];
            const auto span = queue_.between(500ms, 8s);
            if (kind == 2 && vm.process.alive) {
                vm.process.alive = false;
                vm.waits = 0;
                vm.diedAt = queue_.now();
                queue_.after(span, [this, index] {
                    if (!vms_[index]->process.alive) {
                        start(index);
                        refreshMembers();
                    }
                });
            } else if (kind == 3) {
                queue_.pause(vm.process, span);
            } else if (kind == 4) {
                vm.storeCutAt = queue_.now();
                vm.storeCutUntil = queue_.now() + span;
                vm.cutUntil = queue_.chance(0.5) ? vm.storeCutUntil : vm.cutUntil;
                queue_.after(span, [this] { refreshMembers(); });
            }
        }
        queue_.after(kCutNoticed, [this] { refreshMembers(); });
        queue_.after(kDeathNoticed, [this] { refreshMembers(); });
    }

    // What is checked.

    /// A set must be that of its revision.
    void checkSet(std::size_t index)
    {
        const auto &zones = vms_[index]->zones;
        const auto known = std::prev(accepted_.upper_bound(zones.revision().number));
        if (known->second != zones.zones()) {
            queue_.fail(id(index).value() + " has another set than the store had at revision " + std::to_string(zones.revision().number));
        }
    }

    /// A VM that serves must know each change within the bound.
    void check()
    {
        const auto due = std::find_if(acceptedAt_.rbegin(), acceptedAt_.rend(), [this](const auto &change) { return change.second <= queue_.now() - kBound; });
        for (std::size_t i = 0; due != acceptedAt_.rend() && i < plan_.vms; ++i) {
            const auto &zones = vms_[i]->zones;
            if (serves(i) && zones.revision().number < due->first && !wasAccepted(zones.zones(), due->first)) {
                queue_.fail(id(i).value() + " serves without change " + std::to_string(due->first));
            }
        }
        queue_.after(50ms, [this] { check(); });
    }

    /// @return whether the set is that of a revision or of a later one. A change that was reverted makes them equal.
    [[nodiscard]] bool wasAccepted(const Zones &zones, std::uint64_t from) const
    {
        return std::any_of(accepted_.lower_bound(from), accepted_.end(), [&](const auto &accepted) { return accepted.second == zones; });
    }

    void checkShare(std::uint64_t revision)
    {
        const auto knowing = std::count_if(vms_.begin(), vms_.end(), [&](const auto &vm) { return vm->zones.revision().number >= revision; });
        if (100 * static_cast<std::size_t>(knowing) < 99 * plan_.vms) {
            queue_.fail("revision " + std::to_string(revision) + " is known to " + std::to_string(knowing) + " of " + std::to_string(plan_.vms)
                        + " VMs in time");
        }
    }

    const ZonePlan plan_;
    const Faults faults_;
    EventQueue queue_;
    std::vector<std::unique_ptr<Vm>> vms_;
    std::vector<VmId> members_; ///< As the others know them.
    std::vector<VmId> order_;   ///< Watchers of the store first, then those who are asked by others.
    std::uint64_t revision_ = 0;
    std::map<std::uint64_t, Zones> accepted_;
    std::map<std::uint64_t, TimePoint> acceptedAt_;
    std::vector<ZoneChange> history_;
    std::uint64_t historyFrom_ = 0;
    TimePoint storeSlowUntil_{};
    std::uint64_t watches_ = 0;
};

Property property(const std::string &name, const ZonePlan &plan)
{
    return {.name = name, .run = [plan](std::uint64_t seed, const Faults &faults) { return ZoneWorld(seed, plan, faults).run(); }, .mutations = {}};
}

} // namespace

std::vector<Property> zoneProperties()
{
    auto small = property("zones", {});
    small.mutations = {{"ignoresRevisions",
                        [](Faults &faults) {
                            faults.zones.ignoresRevisions = true;
                        }},
                       {"ignoresDocumentVersions", [](Faults &faults) {
                            faults.ignoresDocumentVersions = true;
                        }}};
    return {small, property("zones300", {.vms = 300, .zones = 7}), property("zonesnews300", {.vms = 300, .zones = 7, .isDisturbed = false, .newsBound = 1s})};
}

} // namespace daisystream::schedules
