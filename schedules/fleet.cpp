#include "schedules/eventqueue.h"
#include "schedules/properties.h"

#include "daisystream/membership/fanout.h"
#include "daisystream/membership/fleetring.h"

#include <algorithm>
#include <set>

namespace daisystream::schedules
{
namespace
{

using namespace std::chrono_literals;

constexpr Duration kBeat = 500ms;
constexpr Duration kNoticed = 5s; ///< A death is known to every VM that runs within this time.
/// The same if one of its watchers was disturbed as well: that one has to be noticed first, and others watch from then on.
constexpr Duration kNoticedInTurn = 10s;
constexpr Duration kSettled = 5s; ///< After the last disturbance all VMs agree within this time.
constexpr Duration kSettledAtStart = 3s;
constexpr std::size_t kRelays = 3; ///< As in the daemon.
constexpr double kLate = 0.03;     ///< Share of messages whose packets are lost, so that they come when sent again.

/// How large a world is, and what happens there.
struct FleetPlan
{
    std::size_t vms = 24;
    std::size_t zones = 4;
    bool isDisturbed = true;
    Duration newsBound{};       ///< 99 in 100 live VMs know of a change within this time; zero: no changes are played.
    std::size_t lostRelays = 0; ///< VMs that die just before a change.
};

/// VMs that watch each other in a ring and tell each other changes.
class FleetWorld
{
public:
    FleetWorld(std::uint64_t seed, const FleetPlan &plan, const Faults &faults)
        : plan_(plan)
        , queue_(seed)
    {
        FleetRingOptions options;
        options.faults = faults.ring;
        std::vector<VmId> names;
        for (std::size_t i = 0; i < plan.vms; ++i) {
            names.push_back(id(i));
        }
        for (std::size_t i = 0; i < plan.vms; ++i) {
            vms_.push_back(std::make_unique<Vm>(FleetRing(id(i), options)));
        }
        for (std::size_t i = 0; i < plan.vms; ++i) {
            queue_.after(queue_.between(0ms, 300ms), [this, i, names] {
                vms_[i]->ring.setVms(names, queue_.now());
                vms_[i]->sequence = 0;
                beat(i);
            });
        }
    }

    std::optional<std::string> run()
    {
        queue_.run(kSettledAtStart, [] {});
        checkAgreement("at the start");
        if (plan_.isDisturbed) {
            for (int i = 0; i < 6; ++i) {
                queue_.after(queue_.between(0ms, 40s), [this] { disturb(); });
            }
            queue_.run(60s, [this] { checkDeaths(); });
            queue_.run(kSettled + 10s, [this] { checkDeaths(); });
            checkAgreement("after the last disturbance");
        }
        if (plan_.newsBound.count() > 0) {
            playNews();
        }
        return queue_.violation;
    }

private:
    struct Vm
    {
        explicit Vm(FleetRing with)
            : ring(std::move(with))
        {
        }

        FleetRing ring;
        Process process;
        std::uint64_t sequence = 0;
        TimePoint diedAt{};
        std::vector<VmId> watchers; ///< When it died.
        std::uint64_t change = 0;   ///< Newest one that it knows.
        TimePoint changeAt{};
    };

    static VmId id(std::size_t index)
    {
        return VmId("edge-" + std::to_string(index));
    }

    [[nodiscard]] std::size_t indexOf(const VmId &vm) const
    {
        return std::stoul(vm.value().substr(5));
    }

    [[nodiscard]] ZoneId zoneOf(std::size_t index) const
    {
        return ZoneId("z" + std::to_string(index % plan_.zones));
    }

    [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const
    {
        return !cut_.contains({std::min(from, to), std::max(from, to)})
            && (cutZone_ == plan_.zones || (from % plan_.zones == cutZone_) == (to % plan_.zones == cutZone_));
    }

    /// Delivers after a while, if the receiver's present incarnation still runs then.
    void send(std::size_t from, std::size_t to, std::function<void()> deliver)
    {
        if (!reaches(from, to) || !vms_[to]->process.alive) {
            return;
        }
        const auto delay = queue_.chance(kLate) ? queue_.between(200ms, 600ms) : queue_.between(1ms, 4ms);
        // What waits at a paused VM is lost, because its connections are given up meanwhile.
        queue_.after(delay, [this, to, incarnation = vms_[to]->process.incarnation, deliver = std::move(deliver)] {
            if (runs(to) && vms_[to]->process.incarnation == incarnation) {
                deliver();
            }
        });
    }

    [[nodiscard]] Fanout fanoutOf(std::size_t index) const
    {
        std::map<VmId, ZoneId> zones;
        for (std::size_t i = 0; i < plan_.vms; ++i) {
            if (vms_[index]->ring.state(id(i)) != VmState::Dead) {
                zones[id(i)] = zoneOf(i);
            }
        }
        return {id(index), zones};
    }

    void beat(std::size_t index)
    {
        Vm &vm = *vms_[index];
        ++vm.sequence;
        auto targets = vm.ring.watchers();
        if (const auto dead = vm.ring.nextDeadVm()) {
            targets.push_back(*dead);
        }
        for (const auto &target : targets) {
            const auto to = indexOf(target);
            const VmHeartbeat heartbeat{.vm = id(index), .incarnation = vm.process.incarnation, .sequence = vm.sequence};
            send(index, to, [this, index, to, heartbeat, digest = vm.ring.digest(), change = vm.change] { onHeartbeat(index, to, heartbeat, digest, change); });
        }
        (void)vm.ring.reportSelf(vm.process.incarnation, vm.sequence, false, false); // Nothing but that it lives.
        spread(index, vm.ring.advance(queue_.now()));
        queue_.after(kBeat, vm.process, [this, index] { beat(index); });
    }

    void onHeartbeat(std::size_t from, std::size_t at, const VmHeartbeat &heartbeat, std::uint64_t digest, std::uint64_t change)
    {
        FleetRing &ring = vms_[at]->ring;
        spread(at, ring.onHeartbeat(heartbeat, false, queue_.now()));
        if (ring.digest() != digest) {
            send(at, from, [this, from, reports = ring.reports()] {
                for (const auto &report : reports) {
                    vms_[from]->ring.onReport(report, queue_.now());
                }
            });
        }
        if (change > vms_[at]->change) {
            send(at, from, [this, at, from] { send(from, at, [this, at, change = vms_[from]->change] { learn(at, change); }); });
        }
    }

    void spread(std::size_t index, const std::vector<VmReport> &reports)
    {
        if (reports.empty()) {
            return;
        }
        const auto fanout = fanoutOf(index);
        for (const auto &candidates : fanout.relays(reports.front().vm.value())) {
            for (std::size_t i = 0; i < kRelays && i < candidates.size(); ++i) {
                send(index, indexOf(candidates[i]), [this, at = indexOf(candidates[i]), reports] {
                    if (take(at, reports)) {
                        const auto zone = fanoutOf(at);
                        for (const auto &member : zone.zonePeers()) {
                            send(at, indexOf(member), [this, to = indexOf(member), reports] { take(to, reports); });
                        }
                    }
                });
            }
        }
        for (const auto &member : fanout.zonePeers()) {
            send(index, indexOf(member), [this, to = indexOf(member), reports] { take(to, reports); });
        }
    }

    bool take(std::size_t at, const std::vector<VmReport> &reports)
    {
        bool isNews = false;
        for (const auto &report : reports) {
            isNews = vms_[at]->ring.onReport(report, queue_.now()) || isNews;
        }
        return isNews;
    }

    void kill(std::size_t index)
    {
        Vm &vm = *vms_[index];
        vm.process.alive = false;
        ++vm.process.incarnation;
        vm.diedAt = queue_.now();
        vm.watchers = vm.ring.watchers();
    }

    void disturb()
    {
        const auto count = 1 + queue_.random.below(plan_.vms / 4);
        const auto kind = queue_.random.below(4);
        for (std::uint64_t i = 0; i < count; ++i) {
            const auto index = static_cast<std::size_t>(queue_.random.below(plan_.vms));
            Vm &vm = *vms_[index];
            if (kind == 0 && vm.process.alive) {
                kill(index);
                disturbed_.insert(index);
            } else if (kind == 1) {
                queue_.pause(vm.process, queue_.between(500ms, 6s));
                disturbed_.insert(index);
            } else if (kind == 2) {
                // One link only, between VMs that may well watch each other: it makes neither of them dead.
                const auto watchers = vm.ring.watchers();
                if (!watchers.empty()) {
                    const auto other = indexOf(watchers.front());
                    const std::pair link(std::min(index, other), std::max(index, other));
                    const bool isOnly = std::none_of(cut_.begin(), cut_.end(), [&](const auto &known) {
                        return known.first == index || known.second == index || known.first == other || known.second == other;
                    });
                    if (isOnly) {
                        cut_.insert(link);
                        queue_.after(queue_.between(1s, 8s), [this, link] { cut_.erase(link); });
                    }
                }
            }
        }
        if (kind == 3 && cutZone_ == plan_.zones) {
            cutZone_ = static_cast<std::size_t>(queue_.random.below(plan_.zones));
            for (std::size_t i = 0; i < plan_.vms; ++i) {
                disturbed_.insert(i); // Each side may well take the other for dead.
            }
            queue_.after(queue_.between(1s, 8s), [this] { cutZone_ = plan_.zones; });
        }
    }

    [[nodiscard]] bool runs(std::size_t index) const
    {
        return vms_[index]->process.alive && vms_[index]->process.pausedUntil <= queue_.now();
    }

    /// VMs that nothing has disturbed know of each death in time, and take none of them for dead.
    void checkDeaths()
    {
        if (queue_.now() - checkedAt_ < 100ms) {
            return;
        }
        checkedAt_ = queue_.now();
        for (std::size_t at = 0; at < plan_.vms; ++at) {
            if (disturbed_.contains(at)) {
                continue;
            }
            for (std::size_t other = 0; other < plan_.vms; ++other) {
                const bool isDead = vms_[at]->ring.state(id(other)) == VmState::Dead;
                if (isDead && !disturbed_.contains(other)) {
                    queue_.fail(id(at).value() + " takes " + id(other).value() + " for dead, which nothing has disturbed");
                }
                const auto &watchers = vms_[other]->watchers;
                const bool isInTurn = std::any_of(watchers.begin(), watchers.end(), [this](const VmId &vm) { return disturbed_.contains(indexOf(vm)); });
                if (!isDead && !vms_[other]->process.alive && queue_.now() - vms_[other]->diedAt > (isInTurn ? kNoticedInTurn : kNoticed)) {
                    queue_.fail(id(at).value() + " does not know that " + id(other).value() + " is dead");
                }
            }
        }
    }

    void checkAgreement(const std::string &when)
    {
        std::vector<VmId> truth;
        for (std::size_t i = 0; i < plan_.vms; ++i) {
            if (vms_[i]->process.alive) {
                truth.push_back(id(i));
            }
        }
        std::sort(truth.begin(), truth.end());
        for (std::size_t i = 0; i < plan_.vms; ++i) {
            if (runs(i) && vms_[i]->ring.live() != truth) {
                queue_.fail(id(i).value() + " sees " + std::to_string(vms_[i]->ring.live().size()) + " live VMs instead of " + std::to_string(truth.size())
                            + " " + when);
            }
        }
    }

    // Changes that three VMs read.

    void learn(std::size_t at, std::uint64_t change)
    {
        Vm &vm = *vms_[at];
        if (change > vm.change) {
            vm.change = change;
            vm.changeAt = queue_.now();
        }
    }

    void publish(std::size_t reader, std::uint64_t change)
    {
        if (!runs(reader) || vms_[reader]->change >= change) {
            return;
        }
        learn(reader, change);
        const auto fanout = fanoutOf(reader);
        for (const auto &candidates : fanout.relays("change/" + std::to_string(change))) {
            for (std::size_t i = 0; i < kRelays && i < candidates.size(); ++i) {
                send(reader, indexOf(candidates[i]), [this, at = indexOf(candidates[i]), change] {
                    if (vms_[at]->change < change) {
                        learn(at, change);
                        const auto zone = fanoutOf(at);
                        for (const auto &member : zone.zonePeers()) {
                            send(at, indexOf(member), [this, to = indexOf(member), change] { learn(to, change); });
                        }
                    }
                });
            }
        }
        for (const auto &member : fanout.zonePeers()) {
            send(reader, indexOf(member), [this, to = indexOf(member), change] { learn(to, change); });
        }
    }

    void playNews()
    {
        constexpr std::uint64_t kChanges = 10;
        for (std::uint64_t change = 1; change <= kChanges; ++change) {
            for (std::size_t i = 0; change == kChanges / 2 && i < plan_.lostRelays; ++i) {
                const auto index = static_cast<std::size_t>(queue_.random.below(plan_.vms));
                if (vms_[index]->process.alive) {
                    kill(index);
                }
            }
            const auto begin = queue_.now();
            for (std::size_t reader = 0; reader < 3; ++reader) {
                queue_.after(queue_.between(0ms, 8ms), [this, reader, change] { publish(reader, change); });
            }
            queue_.run(plan_.newsBound, [] {});
            std::size_t live = 0;
            std::size_t knowing = 0;
            for (const auto &vm : vms_) {
                live += vm->process.alive;
                knowing += vm->process.alive && vm->change >= change && vm->changeAt - begin <= plan_.newsBound;
            }
            if (100 * knowing < 99 * live) {
                queue_.fail("change " + std::to_string(change) + " is known to " + std::to_string(knowing) + " of " + std::to_string(live) + " VMs in time");
            }
            queue_.run(2s, [] {});
            for (std::size_t i = 0; i < plan_.vms; ++i) {
                if (runs(i) && vms_[i]->change < change) {
                    queue_.fail(id(i).value() + " never learns of change " + std::to_string(change));
                }
            }
        }
    }

    const FleetPlan plan_;
    EventQueue queue_;
    std::vector<std::unique_ptr<Vm>> vms_;
    std::set<std::pair<std::size_t, std::size_t>> cut_;
    std::size_t cutZone_ = plan_.zones; ///< The number of zones: none.
    std::set<std::size_t> disturbed_;
    TimePoint checkedAt_{};
};

Property property(const std::string &name, const FleetPlan &plan)
{
    return {.name = name, .run = [plan](std::uint64_t seed, const Faults &faults) { return FleetWorld(seed, plan, faults).run(); }, .mutations = {}};
}

} // namespace

std::vector<Property> fleetProperties()
{
    auto small = property("fleet", {});
    small.mutations = {{"oneReportSuffices",
                        [](Faults &faults) {
                            faults.ring.oneReportSuffices = true;
                        }},
                       {"trustsAfterPause", [](Faults &faults) {
                            faults.ring.trustsAfterPause = true;
                        }}};
    // The bounds of the target size: 300 ms at 118 VMs and 500 ms at 420, also while VMs die that pass changes on.
    return {small,
            property("fleet118", {.vms = 118, .zones = 5, .isDisturbed = false, .newsBound = 300ms, .lostRelays = 3}),
            property("fleet420", {.vms = 420, .zones = 7, .isDisturbed = false, .newsBound = 500ms, .lostRelays = 9})};
}

} // namespace daisystream::schedules
