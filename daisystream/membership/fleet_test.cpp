#include "daisystream/membership/fanout.h"
#include "daisystream/membership/fleetring.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

// The behaviour of whole fleets over time is checked in schedules/fleet.cpp.

namespace daisystream
{
namespace
{

using namespace std::chrono_literals;

const TimePoint kStart(1h);

std::vector<VmId> makeVms(int count)
{
    std::vector<VmId> vms;
    vms.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        vms.emplace_back("vm" + std::to_string(i));
    }
    return vms;
}

VmReport silent(const VmId &vm, const VmId &reporter, std::uint64_t sequence)
{
    return {.vm = vm, .reporter = reporter, .kind = VmReport::Kind::Silent, .incarnation = 1, .sequence = sequence, .cutOff = false};
}

VmReport alive(const VmId &vm, std::uint64_t sequence)
{
    return {.vm = vm, .reporter = vm, .kind = VmReport::Kind::Live, .incarnation = 1, .sequence = sequence, .cutOff = false};
}

// Guards against VMs that reach different verdicts, and so choose different owners, because reports arrive in a different order.
TEST_CASE("reports of two watchers make a VM dead, and its own later report overrides theirs in any order")
{
    const auto vms = makeVms(118);
    FleetRing ring(vms[0]);
    ring.setVms(vms, kStart);
    CHECK(ring.live().size() == 118);
    CHECK(ring.onReport(silent(vms[1], vms[2], 4), kStart));
    CHECK_FALSE(ring.onReport(silent(vms[1], vms[2], 4), kStart));
    CHECK((ring.state(vms[1]) == VmState::Live));
    CHECK(ring.onReport(silent(vms[1], vms[3], 5), kStart));
    CHECK((ring.state(vms[1]) == VmState::Dead));
    CHECK(ring.dead() == std::vector<VmId>{vms[1]});
    CHECK(ring.nextDeadVm() == vms[1]);
    CHECK(ring.onReport(alive(vms[1], 6), kStart));
    CHECK((ring.state(vms[1]) == VmState::Live));
    CHECK_FALSE(ring.onReport(silent(vms[1], vms[4], 5), kStart)); // Refers to a heartbeat before the VM's own report.
    CHECK_FALSE(ring.onReport(silent(vms[1], vms[5], 4), kStart));
    CHECK((ring.state(vms[1]) == VmState::Live));
}

TEST_CASE("a VM reports each watched VM that is silent once, and none after it was paused itself")
{
    const auto vms = makeVms(70);
    FleetRing ring(vms[0]);
    ring.setVms(vms, kStart);
    auto now = kStart;
    std::vector<VmReport> reports;
    for (int heartbeat = 0; heartbeat < 10; ++heartbeat) {
        now += 500ms;
        const auto more = ring.advance(now);
        reports.insert(reports.end(), more.begin(), more.end());
    }
    CHECK(reports.size() == 4);
    CHECK(ring.dead().empty());
    CHECK_FALSE(ring.hearsHalfOfWatched(now));
    FleetRing paused(vms[0]);
    paused.setVms(vms, kStart);
    CHECK(paused.advance(kStart + 500ms).empty());
    CHECK(paused.advance(kStart + 10s).empty());
    CHECK(paused.hearsHalfOfWatched(kStart + 10s));
}

TEST_CASE("VMs with the same verdicts have the same digest, and a leaving VM is not live")
{
    const auto vms = makeVms(70);
    FleetRing one(vms[0]);
    FleetRing other(vms[1]);
    one.setVms(vms, kStart);
    other.setVms(vms, kStart);
    CHECK(one.digest() == other.digest());
    const auto selfReport = one.reportSelf(1, 7, true, false);
    REQUIRE(selfReport);
    CHECK_FALSE(one.reportSelf(1, 8, true, false));
    CHECK(one.digest() != other.digest());
    CHECK(other.onReport(*selfReport, kStart));
    CHECK(one.digest() == other.digest());
    CHECK((other.state(vms[0]) == VmState::Leaving));
    CHECK(one.live() == other.live());
    CHECK(one.live().size() == 69);
}

TEST_CASE("each VM has four live watchers, and the next successor replaces a dead one")
{
    const auto vms = makeVms(118);
    FleetRing ring(vms[0]);
    ring.setVms(vms, kStart);
    const auto watchers = ring.watchers();
    CHECK(watchers.size() == 4);
    CHECK(ring.onReport(silent(watchers[0], watchers[1], 1), kStart));
    CHECK(ring.onReport(silent(watchers[0], watchers[2], 1), kStart));
    const auto next = ring.watchers();
    CHECK(next.size() == 4);
    CHECK(std::find(next.begin(), next.end(), watchers[0]) == next.end());
    CHECK(std::equal(watchers.begin() + 1, watchers.end(), next.begin()));
}

TEST_CASE("every other zone has relays, which differ between topics")
{
    std::map<VmId, ZoneId> zones;
    const auto vms = makeVms(118);
    for (std::size_t i = 0; i < vms.size(); ++i) {
        zones[vms[i]] = ZoneId("z" + std::to_string(i % 5));
    }
    const Fanout fanout(vms[0], zones);
    CHECK(fanout.zonePeers().size() == 23);
    std::set<VmId> first;
    for (int topic = 0; topic < 200; ++topic) {
        const auto relays = fanout.relays(std::to_string(topic));
        REQUIRE(relays.size() == 4);
        for (const auto &candidates : relays) {
            CHECK(std::set<VmId>(candidates.begin(), candidates.end()).size() == candidates.size());
            CHECK(candidates.size() >= 23);
            first.insert(candidates.front());
        }
    }
    CHECK(first.size() > 80);
    CHECK(Fanout(vms[0], {{vms[0], ZoneId("z")}}).zonePeers().empty());
}

} // namespace
} // namespace daisystream
