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

// Guards against VMs that disagree on the owner of a cell, against owners with far more cells than others, and against the loss
// of one VM moving cells between the remaining ones.
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
    std::reverse(vms.begin(), vms.end()); // The order of the list must not matter.
    cells.setVms(vms);
    for (const auto &[cell, owner] : before) {
        CHECK((owner == lost || cells.owners(cell).front() == owner));
    }
}

// Guards against the loss of one endpoint moving other endpoints to cells whose owners do not know what runs on them.
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

// Guards against endpoints that change their cell when others are added or removed: the new owner does not know the answers that
// run on them. The test replaces 16 of 97 endpoints at each step; the pattern was a fleet that replaces a sixth of its engines
// every 3.3 s.
TEST_CASE("endpoints that are added and removed leave the others in their cells")
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
    // With 160 endpoints there is one more cell. It takes about its share of the endpoints; the others stay.
    cells.setEndpoints({endpoints.begin(), endpoints.end()});
    std::size_t moved = 0;
    for (const auto &[id, cell] : before) {
        moved += cells.cellOf(id) != cell;
    }
    CHECK(moved > 0);
    CHECK(moved < 80);
}

struct AskTrackerFixture
{
    AskTrackerFixture()
    {
        workRequest.id = RequestId("r1");
        workRequest.rank = Rank::Urgent;
        workRequest.firstTokenDeadline = clock.now() + milliseconds(660);
    }

    [[nodiscard]] Assign assign() const
    {
        return {workRequest.id, EndpointId("e1"), 0, {}};
    }

    ManualClock clock;
    AskTracker tracker{AskTrackerOptions{}};
    WorkRequest workRequest;
    CellId cell{"assistant/0"};
    std::vector<VmId> vms = makeVms(5);
};

// Guards against a request that waits for ever for an owner that does not reply.
TEST_CASE("an ask without a reply goes to the next owner, and then the entry VM chooses an endpoint itself")
{
    AskTrackerFixture fixture;
    CHECK(fixture.tracker.ask(fixture.workRequest, fixture.cell, fixture.vms, fixture.clock.now())
          == std::vector<AskAction>{SendAsk{fixture.vms[0], fixture.cell, fixture.workRequest}});
    fixture.clock.advance(milliseconds(99));
    CHECK(fixture.tracker.expire(fixture.clock.now()).empty());
    fixture.clock.advance(milliseconds(1));
    CHECK(fixture.tracker.expire(fixture.clock.now())
          == std::vector<AskAction>{SendWithdraw{fixture.vms[0], fixture.cell, fixture.workRequest.id},
                                    SendAsk{fixture.vms[1], fixture.cell, fixture.workRequest}});
    fixture.clock.advance(milliseconds(100));
    CHECK(fixture.tracker.expire(fixture.clock.now())
          == std::vector<AskAction>{SendWithdraw{fixture.vms[1], fixture.cell, fixture.workRequest.id}, DecideLocally{fixture.cell, fixture.workRequest}});
    CHECK(!fixture.tracker.nextWake());
    // The first owner replies late: it must be told that its assignment is not used.
    CHECK(fixture.tracker.onAssign(fixture.vms[0], fixture.assign(), fixture.clock.now())
          == std::vector<AskAction>{SendAssignNotUsed{fixture.vms[0], CellId{}, fixture.workRequest.id}});
}

// Guards against an entry VM that gives up a request after its first-token deadline while its owner still queues it and its
// caller still accepts a first token.
TEST_CASE("a queued ask waits until the last useful time for a first token and is repeated meanwhile")
{
    AskTrackerFixture fixture;
    fixture.workRequest.lastUsefulFirstToken = fixture.clock.now() + milliseconds(2640);
    (void)fixture.tracker.ask(fixture.workRequest, fixture.cell, fixture.vms, fixture.clock.now());
    fixture.tracker.onQueued(fixture.vms[0], fixture.workRequest.id, fixture.clock.now());
    for (const milliseconds interval : {milliseconds(1000), milliseconds(1000)}) {
        fixture.clock.advance(interval);
        CHECK(fixture.tracker.expire(fixture.clock.now()) == std::vector<AskAction>{SendAsk{fixture.vms[0], fixture.cell, fixture.workRequest}});
        fixture.tracker.onQueued(fixture.vms[0], fixture.workRequest.id, fixture.clock.now());
    }
    fixture.clock.advance(milliseconds(639));
    CHECK(fixture.tracker.expire(fixture.clock.now()).empty());
    fixture.clock.advance(milliseconds(1));
    CHECK(fixture.tracker.expire(fixture.clock.now()).size() == 2);
}

// Guards against a request that waits for seconds at an owner that was restarted and has lost its queue.
TEST_CASE("a queued ask goes to the next owner if its owner does not reply to the repeated ask")
{
    AskTrackerFixture fixture;
    fixture.workRequest.lastUsefulFirstToken = fixture.clock.now() + milliseconds(2640);
    (void)fixture.tracker.ask(fixture.workRequest, fixture.cell, fixture.vms, fixture.clock.now());
    fixture.tracker.onQueued(fixture.vms[0], fixture.workRequest.id, fixture.clock.now());
    fixture.clock.advance(milliseconds(1000));
    CHECK(fixture.tracker.expire(fixture.clock.now()).size() == 1);
    fixture.clock.advance(milliseconds(100));
    CHECK(fixture.tracker.expire(fixture.clock.now())
          == std::vector<AskAction>{SendWithdraw{fixture.vms[0], fixture.cell, fixture.workRequest.id},
                                    SendAsk{fixture.vms[1], fixture.cell, fixture.workRequest}});
}

// Guards against giving up a move of a running answer at once. Its last useful time for a first token has long passed then, but
// the move has a later deadline of its own.
TEST_CASE("an ask whose deadline is later than the last useful first token waits until the deadline")
{
    AskTrackerFixture fixture;
    fixture.workRequest.lastUsefulFirstToken = fixture.clock.now() - milliseconds(1);
    (void)fixture.tracker.ask(fixture.workRequest, fixture.cell, fixture.vms, fixture.clock.now());
    fixture.tracker.onQueued(fixture.vms[0], fixture.workRequest.id, fixture.clock.now());
    fixture.clock.advance(milliseconds(659));
    CHECK(fixture.tracker.expire(fixture.clock.now()).empty());
}

// Guards against running a request twice: an owner from which the ask was withdrawn may still reply.
TEST_CASE("only replies of the owner that is being asked at present settle the ask")
{
    AskTrackerFixture fixture;
    (void)fixture.tracker.ask(fixture.workRequest, fixture.cell, fixture.vms, fixture.clock.now());
    (void)fixture.tracker.onVmLost(fixture.vms[0], fixture.clock.now());
    CHECK(fixture.tracker.onAssign(fixture.vms[0], fixture.assign(), fixture.clock.now())
          == std::vector<AskAction>{SendAssignNotUsed{fixture.vms[0], fixture.cell, fixture.workRequest.id}});
    CHECK(fixture.tracker.onRefuse(fixture.vms[0], {fixture.workRequest.id, {}}, fixture.clock.now()).empty());
    CHECK(fixture.tracker.onAssign(fixture.vms[1], fixture.assign(), fixture.clock.now())
          == std::vector<AskAction>{CompleteAsk{fixture.workRequest.id, fixture.vms[1], fixture.assign()}});
    CHECK(fixture.tracker.pending() == 0);
}

// Guards against mistaking an owner with a long queue for a failed one.
TEST_CASE("a queued ask waits for its owner until the first-token deadline")
{
    AskTrackerFixture fixture;
    (void)fixture.tracker.ask(fixture.workRequest, fixture.cell, fixture.vms, fixture.clock.now());
    fixture.tracker.onQueued(fixture.vms[0], fixture.workRequest.id, fixture.clock.now());
    fixture.clock.advance(milliseconds(600));
    CHECK(fixture.tracker.expire(fixture.clock.now()).empty());
    fixture.clock.advance(milliseconds(60));
    const auto actions = fixture.tracker.expire(fixture.clock.now());
    REQUIRE(actions.size() == 2);
    CHECK((std::get<Error>(std::get<CompleteAsk>(actions[1]).answer).code == ResultCode::QueueDeadlinePassed));
}

} // namespace
} // namespace daisystream
