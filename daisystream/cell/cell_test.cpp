#include "daisystream/cell/asktracker.h"
#include "daisystream/cell/cellmap.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

std::vector<VmId> makeVms(int count)
{
    std::vector<VmId> vms;
    vms.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        vms.emplace_back("vm" + std::to_string(i));
    }
    return vms;
}

std::vector<EndpointInfo> makeEndpoints(int count)
{
    std::vector<EndpointInfo> endpoints(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        endpoints[static_cast<std::size_t>(i)].id = EndpointId("e" + std::to_string(100 + i));
        endpoints[static_cast<std::size_t>(i)].model = ModelId("assistant");
    }
    return endpoints;
}

// Guards against VMs that disagree on the owner, owners that carry far more cells than others, and a loss of one VM that
// moves cells between the others.
TEST_CASE("cells are spread over the VMs and only the cells of a lost VM move")
{
    CellMap cells(CellMapOptions{30});
    cells.setEndpoints(makeEndpoints(3000));
    std::vector<VmId> vms = makeVms(20);
    cells.setVms(vms);
    std::map<CellId, VmId> before;
    std::map<VmId, int> owned;
    std::size_t all = 0;
    for (const CellId &cell : cells.cellsOf(ModelId("assistant"))) {
        before[cell] = cells.owners(cell).front();
        ++owned[before[cell]];
        CHECK(cells.endpointsOf(cell).size() >= 15);
        CHECK(cells.endpointsOf(cell).size() <= 45);
        all += cells.endpointsOf(cell).size();
    }
    CHECK(all == 3000);
    CHECK(before.size() == 100);
    CHECK(std::max_element(owned.begin(), owned.end(), [](const auto &a, const auto &b) { return a.second < b.second; })->second <= 15);
    const VmId lost = vms.front();
    vms.erase(vms.begin());
    std::reverse(vms.begin(), vms.end()); // The order in which VMs are known does not matter.
    cells.setVms(vms);
    for (const auto &[cell, owner] : before) {
        CHECK((owner == lost || cells.owners(cell).front() == owner));
    }
}

// Guards against the loss of one endpoint moving the others to other cells, whose owners would know nothing of their work.
TEST_CASE("a lost endpoint leaves the others in their cells")
{
    std::vector<EndpointInfo> endpoints = makeEndpoints(30);
    CellMap cells(CellMapOptions{3});
    cells.setEndpoints(endpoints);
    std::map<EndpointId, CellId> before;
    for (const EndpointInfo &info : endpoints) {
        before[info.id] = cells.cellOf(info.id);
    }
    endpoints[4].state = EndpointState::Gone;
    cells.setEndpoints(endpoints);
    CHECK(cells.cellOf(endpoints[4].id).empty());
    for (const EndpointInfo &info : endpoints) {
        CHECK((info.state == EndpointState::Gone || cells.cellOf(info.id) == before[info.id]));
    }
}

// Pattern: a sixth of 97 engines is replaced every 3.3 s. Guards running answers against owners that do not know of them: a
// cell that each arrival fills anew has an owner that starts from nothing.
TEST_CASE("endpoints that come and go leave the others in their cells")
{
    const auto endpoints = makeEndpoints(160);
    CellMap cells(CellMapOptions{});
    std::map<EndpointId, CellId> before;
    for (std::size_t first = 0; first + 97 <= endpoints.size(); first += 16) {
        cells.setEndpoints({endpoints.begin() + static_cast<std::ptrdiff_t>(first), endpoints.begin() + static_cast<std::ptrdiff_t>(first + 97)});
        for (std::size_t i = first; i < first + 97; ++i) {
            const auto cell = cells.cellOf(endpoints[i].id);
            CHECK((!before.contains(endpoints[i].id) || before[endpoints[i].id] == cell));
            before[endpoints[i].id] = cell;
        }
    }
    // One cell more takes about its share of the endpoints and no others move.
    cells.setEndpoints({endpoints.begin(), endpoints.end()});
    std::size_t moved = 0;
    for (const auto &[id, cell] : before) {
        moved += cells.cellOf(id) != cell;
    }
    CHECK(moved > 0);
    CHECK(moved < 80);
}

struct Asks
{
    Asks()
    {
        work.id = RequestId("r1");
        work.rank = Rank::Urgent;
        work.firstTokenDeadline = clock.now() + milliseconds(660);
    }

    [[nodiscard]] Assign assign() const
    {
        return {work.id, EndpointId("e1"), 0, {}};
    }

    ManualClock clock;
    AskTracker tracker{AskTrackerOptions{}};
    WorkRequest work;
    CellId cell{"assistant/0"};
    std::vector<VmId> vms = makeVms(5);
};

// Guards against a request that hangs on an owner that does not reply.
TEST_CASE("an ask goes to the next owner and then the VM decides alone")
{
    Asks asks;
    CHECK(asks.tracker.ask(asks.work, asks.cell, asks.vms, asks.clock.now()) == std::vector<AskAction>{SendAsk{asks.vms[0], asks.cell, asks.work}});
    asks.clock.advance(milliseconds(99));
    CHECK(asks.tracker.expire(asks.clock.now()).empty());
    asks.clock.advance(milliseconds(1));
    CHECK(asks.tracker.expire(asks.clock.now())
          == std::vector<AskAction>{SendWithdraw{asks.vms[0], asks.cell, asks.work.id}, SendAsk{asks.vms[1], asks.cell, asks.work}});
    asks.clock.advance(milliseconds(100));
    CHECK(asks.tracker.expire(asks.clock.now())
          == std::vector<AskAction>{SendWithdraw{asks.vms[1], asks.cell, asks.work.id}, DecideAlone{asks.cell, asks.work}});
    CHECK(!asks.tracker.nextWake());
    // The first owner replies after all: it must learn that nothing runs.
    CHECK(asks.tracker.onAssign(asks.vms[0], asks.assign(), asks.clock.now()) == std::vector<AskAction>{SendUnused{asks.vms[0], CellId{}, asks.work.id}});
}

// Guards against a request that waits late at its owner and is given up by its entry VM meanwhile.
TEST_CASE("an ask waits at its owner until the caller takes no first token any more")
{
    Asks asks;
    asks.work.lastUsefulFirstToken = asks.clock.now() + milliseconds(2640);
    (void)asks.tracker.ask(asks.work, asks.cell, asks.vms, asks.clock.now());
    asks.tracker.onQueued(asks.vms[0], asks.work.id, asks.clock.now());
    for (const milliseconds pause : {milliseconds(1000), milliseconds(1000)}) {
        asks.clock.advance(pause);
        CHECK(asks.tracker.expire(asks.clock.now()) == std::vector<AskAction>{SendAsk{asks.vms[0], asks.cell, asks.work}});
        asks.tracker.onQueued(asks.vms[0], asks.work.id, asks.clock.now());
    }
    asks.clock.advance(milliseconds(639));
    CHECK(asks.tracker.expire(asks.clock.now()).empty());
    asks.clock.advance(milliseconds(1));
    CHECK(asks.tracker.expire(asks.clock.now()).size() == 2);
}

// Guards against a request that hangs for seconds because its owner was restarted and has lost its queue.
TEST_CASE("an ask that waits goes to the next owner when its owner does not know it any more and does not reply")
{
    Asks asks;
    asks.work.lastUsefulFirstToken = asks.clock.now() + milliseconds(2640);
    (void)asks.tracker.ask(asks.work, asks.cell, asks.vms, asks.clock.now());
    asks.tracker.onQueued(asks.vms[0], asks.work.id, asks.clock.now());
    asks.clock.advance(milliseconds(1000));
    CHECK(asks.tracker.expire(asks.clock.now()).size() == 1);
    asks.clock.advance(milliseconds(100));
    CHECK(asks.tracker.expire(asks.clock.now())
          == std::vector<AskAction>{SendWithdraw{asks.vms[0], asks.cell, asks.work.id}, SendAsk{asks.vms[1], asks.cell, asks.work}});
}

// Guards against a move that is given up at once because the promise of its request has passed long ago.
TEST_CASE("an ask with a deadline after the patience of its caller waits until that deadline")
{
    Asks asks;
    asks.work.lastUsefulFirstToken = asks.clock.now() - milliseconds(1);
    (void)asks.tracker.ask(asks.work, asks.cell, asks.vms, asks.clock.now());
    asks.tracker.onQueued(asks.vms[0], asks.work.id, asks.clock.now());
    asks.clock.advance(milliseconds(659));
    CHECK(asks.tracker.expire(asks.clock.now()).empty());
}

// Guards against using the late answer of an owner whose ask was withdrawn, which would run the request twice.
TEST_CASE("only the owner that is being asked settles the ask")
{
    Asks asks;
    (void)asks.tracker.ask(asks.work, asks.cell, asks.vms, asks.clock.now());
    (void)asks.tracker.onVmLost(asks.vms[0], asks.clock.now());
    CHECK(asks.tracker.onAssign(asks.vms[0], asks.assign(), asks.clock.now()) == std::vector<AskAction>{SendUnused{asks.vms[0], asks.cell, asks.work.id}});
    CHECK(asks.tracker.onRefuse(asks.vms[0], {asks.work.id, {}}, asks.clock.now()).empty());
    CHECK(asks.tracker.onAssign(asks.vms[1], asks.assign(), asks.clock.now()) == std::vector<AskAction>{Settle{asks.work.id, asks.vms[1], asks.assign()}});
    CHECK(asks.tracker.pending() == 0);
}

// Guards against taking an owner whose queue is long for a dead one.
TEST_CASE("a queued ask waits for its owner until the deadline")
{
    Asks asks;
    (void)asks.tracker.ask(asks.work, asks.cell, asks.vms, asks.clock.now());
    asks.tracker.onQueued(asks.vms[0], asks.work.id, asks.clock.now());
    asks.clock.advance(milliseconds(600));
    CHECK(asks.tracker.expire(asks.clock.now()).empty());
    asks.clock.advance(milliseconds(60));
    const auto actions = asks.tracker.expire(asks.clock.now());
    REQUIRE(actions.size() == 2);
    CHECK((std::get<Error>(std::get<Settle>(actions[1]).answer).code == ResultCode::QueueDeadlinePassed));
}

} // namespace
} // namespace daisystream
