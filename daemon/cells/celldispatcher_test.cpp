#include "daemon/cells/celldispatcher.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

/// Several dispatchers in one thread and in virtual time; messages are delivered in order unless a VM is silent.
class Fleet
{
public:
    explicit Fleet(const std::vector<std::string> &names)
    {
        for (const auto &name : names) {
            vms_.emplace_back(name);
        }
        for (const auto &vm : vms_) {
            Settings settings;
            settings.vm = vm;
            for (const char *engine : {"e1", "e2"}) {
                EndpointSettings endpoint;
                endpoint.id = EndpointId(engine);
                endpoint.model = ModelId("assistant");
                endpoint.memoryTokens = 100000;
                settings.endpoints.push_back(endpoint);
            }
            dispatchers_[vm] = std::make_unique<CellDispatcher>(
                io, settings, clock, metrics, [this, vm](const VmId &to, const PeerMessage &message) { return post(vm, to, message); }, 7);
            dispatchers_[vm]->setVms(vms_, {});
        }
        report();
    }

    /// Gives every owner fresh load reports of idle engines.
    void report()
    {
        for (const auto &entry : dispatchers_) {
            for (const char *engine : {"e1", "e2"}) {
                LoadReport idle;
                idle.endpoint = EndpointId(engine);
                idle.measuredAt = clock.now();
                idle.memoryCapacityTokens = 100000;
                entry.second->onLoadReport(idle);
            }
        }
    }

    CellDispatcher &at(const VmId &vm)
    {
        return *dispatchers_.at(vm);
    }

    /// @return the VMs in the order in which they own the cell.
    [[nodiscard]] std::vector<VmId> owners() const
    {
        CellMap map(CellMapOptions{});
        EndpointInfo info;
        info.id = EndpointId("e1");
        info.model = ModelId("assistant");
        map.setEndpoints({info});
        map.setVms(vms_);
        return map.owners(map.cellsOf(info.model).front());
    }

    [[nodiscard]] WorkRequest work(const std::string &id, milliseconds deadline = milliseconds(660)) const
    {
        WorkRequest request;
        request.id = RequestId(id);
        request.team = TeamId("guides");
        request.rank = Rank::Urgent;
        request.model = ModelId("assistant");
        request.promptTokens = 10;
        request.maxOutputTokens = 100;
        request.firstTokenDeadline = clock.now() + deadline;
        request.arrival = clock.now();
        return request;
    }

    void ask(const VmId &vm, const WorkRequest &request)
    {
        at(vm).ask(request, [this, id = request.id](const Result<Assign> &answer) { answers[id].push_back(answer); });
        deliver();
    }

    void deliver()
    {
        while (!queue_.empty()) {
            const auto [from, to, message] = queue_.front();
            queue_.erase(queue_.begin());
            if (!silent.contains(to) && !silent.contains(from)) {
                at(to).onMessage(from, message);
            }
        }
        io.poll();
        io.restart();
    }

    /// Lets virtual time pass in steps of 10 ms.
    void pass(milliseconds time)
    {
        constexpr milliseconds kStep{10};
        for (milliseconds passed{0}; passed < time; passed += kStep) {
            clock.advance(kStep);
            for (const auto &entry : dispatchers_) {
                if (!silent.contains(entry.first)) {
                    entry.second->advance();
                }
            }
            deliver();
        }
    }

    [[nodiscard]] int sent(const VmId &from, const VmId &to, const std::string &kind) const
    {
        const auto found = counts_.find(std::tuple(from, to, kind));
        return found == counts_.end() ? 0 : found->second;
    }

    boost::asio::io_context io;
    ManualClock clock;
    Metrics metrics;
    std::set<VmId> silent;
    std::map<RequestId, std::vector<Result<Assign>>> answers;

private:
    bool post(const VmId &from, const VmId &to, const PeerMessage &message)
    {
        ++counts_[std::tuple(from, to, std::string(kindOf(message)))];
        queue_.emplace_back(from, to, message);
        return true;
    }

    std::vector<VmId> vms_;
    std::map<VmId, std::unique_ptr<CellDispatcher>> dispatchers_;
    std::vector<std::tuple<VmId, VmId, PeerMessage>> queue_;
    std::map<std::tuple<VmId, VmId, std::string>, int> counts_;
};

// Guards against an entry VM that decides by itself although an owner sees the whole queue.
TEST_CASE("an entry VM asks the owner, whose view follows the answer to its end")
{
    Fleet fleet({"vm1", "vm2", "vm3"});
    const auto owners = fleet.owners();
    const VmId &entry = owners[2];
    const RequestId id("r1");
    fleet.ask(entry, fleet.work("r1"));
    REQUIRE(fleet.answers[id].size() == 1);
    CHECK(std::holds_alternative<Assign>(fleet.answers[id][0]));
    CHECK(fleet.sent(entry, owners[0], "ask") == 1);
    CHECK(fleet.sent(entry, owners[1], "ask") == 0);
    CHECK(fleet.at(owners[0]).digests().at(0).running == 1);
    fleet.at(entry).onFirstToken(id);
    fleet.at(entry).onProgress(id, 5);
    fleet.pass(milliseconds(1100));
    CHECK(fleet.sent(entry, owners[0], "progress") == 1);
    fleet.at(entry).onFinished(id, 9, FinishReason::Complete);
    fleet.deliver();
    CHECK(fleet.at(owners[0]).digests().at(0).running == 0);
    CHECK(fleet.at(entry).running() == 0);
}

// Guards against a request that waits for an owner that has died, is paused or is cut off.
TEST_CASE("a silent owner is passed over, then the entry VM decides alone")
{
    Fleet fleet({"vm1", "vm2", "vm3"});
    const auto owners = fleet.owners();
    const VmId &entry = owners[2];
    fleet.silent = {owners[0]};
    fleet.ask(entry, fleet.work("r1"));
    CHECK(fleet.answers.empty());
    fleet.pass(milliseconds(110)); // The bound for urgent work is 100 ms, in steps of 10 ms.
    CHECK(fleet.sent(entry, owners[0], "withdraw") == 1);
    CHECK(fleet.sent(entry, owners[1], "ask") == 1);
    fleet.report(); // The stand-in owner polls the engines only since it was asked.
    fleet.pass(milliseconds(20));
    REQUIRE(fleet.answers[RequestId("r1")].size() == 1);
    CHECK(std::holds_alternative<Assign>(fleet.answers[RequestId("r1")][0]));

    fleet.silent = {owners[0], owners[1]};
    fleet.ask(entry, fleet.work("r2"));
    fleet.pass(milliseconds(220));
    fleet.report();
    fleet.pass(milliseconds(20));
    REQUIRE(fleet.answers[RequestId("r2")].size() == 1);
    CHECK(std::holds_alternative<Assign>(fleet.answers[RequestId("r2")][0]));
}

// Guards against an owner that counts a request as running which went elsewhere while the owner was slow.
TEST_CASE("an assignment that comes after its ask was withdrawn is given back")
{
    Fleet fleet({"vm1", "vm2", "vm3"});
    const auto owners = fleet.owners();
    const VmId &entry = owners[2];
    fleet.silent = {owners[0]};
    fleet.ask(entry, fleet.work("r1"));
    fleet.pass(milliseconds(110));
    fleet.silent.clear();
    const CellId cell = fleet.at(owners[0]).digests().at(0).cell;
    fleet.at(entry).onMessage(owners[0], AssignMessage{cell, {.request = RequestId("r1"), .endpoint = EndpointId("e1")}});
    fleet.deliver();
    CHECK(fleet.sent(entry, owners[0], "done") == 1);
    CHECK(fleet.answers[RequestId("r1")].size() <= 1);
}

// Guards against a new owner that gives away room which running answers occupy.
TEST_CASE("a new owner learns of running answers")
{
    Fleet fleet({"vm1", "vm2", "vm3"});
    const auto owners = fleet.owners();
    const VmId &entry = owners[2];
    fleet.ask(entry, fleet.work("r1"));
    fleet.at(entry).onFirstToken(RequestId("r1"));
    fleet.at(entry).onProgress(RequestId("r1"), 17);
    fleet.silent = {owners[0]};
    for (const auto &vm : {owners[1], owners[2]}) {
        fleet.at(vm).setVms({owners[1], owners[2]}, {owners[0]});
    }
    fleet.deliver();
    CHECK(fleet.sent(entry, owners[1], "resync") == 1);
    CHECK(fleet.at(owners[1]).digests().at(0).running == 1);
    fleet.at(entry).onFinished(RequestId("r1"), 20, FinishReason::Complete);
    fleet.deliver();
    CHECK(fleet.at(owners[1]).digests().at(0).running == 0);
}

// Guards against new work at an endpoint that is drained, and against a drain that ends what runs there.
TEST_CASE("a draining endpoint gets no new work and keeps what runs")
{
    Fleet fleet({"vm1"});
    const VmId vm("vm1");
    fleet.at(vm).setDraining({EndpointId("e1")});
    for (int i = 0; i < 20; ++i) {
        const std::string id = "r" + std::to_string(i);
        fleet.ask(vm, fleet.work(id));
        REQUIRE(fleet.answers[RequestId(id)].size() == 1);
        CHECK(std::get<Assign>(fleet.answers[RequestId(id)][0]).endpoint == EndpointId("e2"));
        fleet.at(vm).onFirstToken(RequestId(id));
    }
    fleet.at(vm).setDraining({EndpointId("e2")});
    CHECK(fleet.at(vm).running() == 20);
    CHECK(fleet.at(vm).findEndpoint(EndpointId("e2")));
}

// Guards against a VM that stops serving because no engine reports its load any more, for example after it was paused.
TEST_CASE("routing goes on when all load reports stop")
{
    Fleet fleet({"vm1"});
    const VmId vm("vm1");
    fleet.pass(milliseconds(6000)); // Three times the age at which a report counts as frozen.
    fleet.ask(vm, fleet.work("r1"));
    fleet.pass(milliseconds(700)); // Beyond the request's deadline.
    CHECK(fleet.answers[RequestId("r1")].size() == 1);
}

// Guards against a cancellation that ends an answer of which the caller has seen a token, and against a request that loses
// its place when it is taken back before.
TEST_CASE("a cancellation takes back only what has no token")
{
    Fleet fleet({"vm1", "vm2", "vm3"});
    const auto owners = fleet.owners();
    const VmId &entry = owners[2];
    int cancels = 0;
    fleet.at(entry).setCancelHandler([&](const Cancel &) { ++cancels; });
    const CellId cell = fleet.at(owners[0]).digests().at(0).cell;
    const auto endpointOf = [&](const char *id) {
        return std::get<Assign>(fleet.answers[RequestId(id)].at(0)).endpoint;
    };
    for (const char *id : {"r1", "r2"}) {
        fleet.ask(entry, fleet.work(id));
    }
    fleet.at(entry).onFirstToken(RequestId("r1"));
    for (const char *id : {"r1", "r2"}) {
        fleet.at(entry).onMessage(owners[0], CancelMessage{cell, {.request = RequestId(id), .endpoint = endpointOf(id)}});
    }
    fleet.deliver();
    CHECK(cancels == 1);
    // The owner's next assignment arrives before the request is asked anew: it must not be lost.
    fleet.at(entry).onMessage(owners[0], AssignMessage{cell, {.request = RequestId("r2"), .endpoint = EndpointId("e2")}});
    fleet.ask(entry, fleet.work("r2"));
    CHECK(fleet.answers[RequestId("r2")].size() == 2);
    CHECK(fleet.at(entry).running() == 2);
}

// Pattern: the store is away for longer than a VM may admit new work, and engines leave meanwhile. Guards running answers,
// which were admitted before.
TEST_CASE("a VM that must not give new work to engines still moves its running answers")
{
    Fleet fleet({"vm1", "vm2", "vm3"});
    const VmId vm = fleet.owners().front();
    fleet.at(vm).setAssignmentCheck([] { return std::optional(Error{ResultCode::Isolated, "no contact", milliseconds(1000)}); });
    fleet.ask(vm, fleet.work("new"));
    auto moving = fleet.work("moving", milliseconds(8000));
    moving.movesFrom = RunningAt{.endpoint = EndpointId("gone"), .zone = {}};
    moving.heldTokens = 20;
    moving.mayMove = false;
    fleet.ask(vm, moving);
    fleet.pass(milliseconds(100));
    REQUIRE(fleet.answers[RequestId("new")].size() == 1);
    CHECK(std::holds_alternative<Error>(fleet.answers[RequestId("new")].front()));
    REQUIRE(fleet.answers[RequestId("moving")].size() == 1);
    CHECK(std::holds_alternative<Assign>(fleet.answers[RequestId("moving")].front()));
}

} // namespace
} // namespace daisystream
