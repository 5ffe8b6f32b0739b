#include "daisystream/membership/rendezvous.h"
#include "daisystream/membership/vmtable.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace daisystream
{
namespace
{

using namespace std::chrono_literals;

const TimePoint kStart(1h);

// Guards against a silent VM that still counts as live, and against a VM that is removed because the platform's list lags.
TEST_CASE("silence makes a VM suspected and then dead")
{
    VmTable table(VmId("a"));
    const VmId b("b");
    CHECK(table.onHeartbeat({.vm = b, .incarnation = 2, .sequence = 1}, kStart));
    CHECK_FALSE(table.onHeartbeat({.vm = b, .incarnation = 2, .sequence = 1}, kStart + 1s));
    CHECK_FALSE(table.onHeartbeat({.vm = b, .incarnation = 1, .sequence = 9}, kStart + 1s));
    table.onPlatformList({}, kStart + 1s);
    CHECK((table.state(b, kStart + 1400ms) == VmState::Live));
    CHECK((table.state(b, kStart + 1500ms) == VmState::Suspected));
    CHECK(table.live(kStart + 1500ms) == std::vector<VmId>{VmId("a")});
    CHECK((table.state(b, kStart + 5s) == VmState::Dead));
    CHECK(table.quorumPeers(kStart + 5s) == std::vector<VmId>{b});
    CHECK(table.hasIncarnationEnded(b, 1, kStart));
    CHECK_FALSE(table.hasIncarnationEnded(b, 2, kStart));
    table.onPeerList({VmId("a"), VmId("c")}, kStart + 5s);
    CHECK((table.state(VmId("c"), kStart + 5s) == VmState::Dead));
    CHECK(table.quorumPeers(kStart + 5s).size() == 2);
    table.onPlatformList({}, kStart + 6s);
    CHECK(table.quorumPeers(kStart + 6s).empty());
}

// Guards against assigning new work to a VM that is shutting down.
TEST_CASE("a leaving VM is not in the list of live VMs")
{
    VmTable table(VmId("a"));
    table.onPlatformList({{VmId("a"), false}, {VmId("b"), true}, {VmId("c"), false}}, kStart);
    CHECK((table.state(VmId("b"), kStart) == VmState::Leaving));
    CHECK(table.live(kStart) == std::vector<VmId>{VmId("a"), VmId("c")});
    CHECK(table.onHeartbeat({.vm = VmId("c"), .incarnation = 1, .sequence = 1, .leaving = true}, kStart));
    table.setSelfLeaving();
    CHECK(table.live(kStart).empty());
}

// Guards against an owner that depends on the order of the list of VMs, and against names that move although their owner stays.
TEST_CASE("rendezvous order is stable and the loss of a VM moves only its names")
{
    const std::vector<VmId> vms{VmId("a"), VmId("b"), VmId("c"), VmId("d")};
    const std::vector<VmId> without{VmId("d"), VmId("b"), VmId("a")};
    int owned = 0;
    for (int i = 0; i < 400; ++i) {
        const std::string name = "cell/" + std::to_string(i);
        auto order = rendezvousOrder(name, vms);
        owned += order.front() == VmId("c") ? 1 : 0;
        std::erase(order, VmId("c"));
        CHECK(order == rendezvousOrder(name, without));
    }
    CHECK(owned > 60);
    CHECK(owned < 140);
    CHECK_FALSE(rendezvousOwner("x", {}).has_value());
}

} // namespace
} // namespace daisystream
