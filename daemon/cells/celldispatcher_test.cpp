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

/// Several dispatchers in one thread with a manual clock. Messages are delivered in order, but those from or to VMs in `silent` are
/// dropped.
class Fleet
{
public:
    explicit Fleet(const std::vector<std::string> &names)
    {
        for (const auto &name : names) {
            vms_.emplace_back(name);
        }
        for (const auto &vm : vms_) {
            start(vm);
        }
        reportIdleEngines();
    }

    /// Starts a new process of a VM, in place of the present one if there is one. It has sent nothing yet.
    /// @param knowsEngines false if the process does not know the engines yet.
    void start(const VmId &vm, bool knowsEngines = true)
    {
        const auto incarnation = ++lastIncarnation_;
        Settings settings;
        settings.vm = vm;
        settings.endpoints = knowsEngines ? engines() : std::vector<EndpointSettings>();
        dispatchers_[vm] = std::make_unique<CellDispatcher>(
            io,
            settings,
            clock,
            metrics[vm],
            [this, vm, incarnation](const VmId &to, const PeerMessage &message) { return post(vm, incarnation, to, message); },
            7);
        dispatchers_[vm]->setVms(vms_, {});
        for (const auto &other : vms_) {
            dispatchers_[vm]->setAnswersChecks(other, true);
        }
        incarnations_[vm] = incarnation;
    }

    /// Lets a VM connect to all others, which learn of its present process.
    void connect(const VmId &vm)
    {
        for (const auto &other : vms_) {
            if (other != vm) {
                post(vm, incarnations_[vm], other, HelloMessage{.vm = vm, .incarnation = incarnations_[vm], .zone = {}});
            }
        }
        deliver();
    }

    void restart(const VmId &vm)
    {
        start(vm);
        connect(vm);
    }

    static std::vector<EndpointSettings> engines()
    {
        std::vector<EndpointSettings> list;
        for (const char *engine : {"e1", "e2"}) {
            EndpointSettings endpoint;
            endpoint.id = EndpointId(engine);
            endpoint.model = ModelId("assistant");
            endpoint.memoryTokens = 100000;
            list.push_back(endpoint);
        }
        return list;
    }

    [[nodiscard]] std::uint64_t incarnation(const VmId &vm) const
    {
        return incarnations_.at(vm);
    }

    /// Drops all messages that are under way, as the loss of their connections does.
    void loseMessages()
    {
        queue_.clear();
    }

    void onMessage(const VmId &to, const VmId &from, const PeerMessage &message)
    {
        at(to).onMessage(from, incarnations_.at(from), message);
    }

    /// @return the requests that count as running in the cells of a VM.
    std::uint32_t runningAt(const VmId &owner)
    {
        std::uint32_t running = 0;
        for (const auto &digest : at(owner).digests()) {
            running += digest.running;
        }
        return running;
    }

    /// Sends current load reports of idle engines to all dispatchers.
    void reportIdleEngines()
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

    /// @return the VMs in the order in which they are asked: the owner of the cell first, then those that take its place.
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
            const auto [from, incarnation, to, message] = queue_.front();
            queue_.erase(queue_.begin());
            if (!silent.contains(to) && !silent.contains(from)) {
                at(to).onMessage(from, incarnation, message);
            }
        }
        io.poll();
        io.restart();
    }

    /// Delivers the message that has been under way for longest.
    void deliverOne()
    {
        const auto [from, incarnation, to, message] = queue_.front();
        queue_.erase(queue_.begin());
        at(to).onMessage(from, incarnation, message);
    }

    /// Advances the manual clock in steps of 10 ms, and runs timers and messages after each step.
    void advanceTime(milliseconds time)
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

    [[nodiscard]] int sentCount(const VmId &from, const VmId &to, const std::string &kind) const
    {
        const auto found = counts_.find(std::tuple(from, to, kind));
        return found == counts_.end() ? 0 : found->second;
    }

    boost::asio::io_context io;
    ManualClock clock;
    std::map<VmId, Metrics> metrics; ///< By VM.
    std::set<VmId> silent;
    std::map<RequestId, std::vector<Result<Assign>>> answers;

private:
    bool post(const VmId &from, std::uint64_t incarnation, const VmId &to, const PeerMessage &message)
    {
        ++counts_[std::tuple(from, to, std::string(kindOf(message)))];
        queue_.emplace_back(from, incarnation, to, message);
        return true;
    }

    std::vector<VmId> vms_;
    std::map<VmId, std::unique_ptr<CellDispatcher>> dispatchers_;
    std::map<VmId, std::uint64_t> incarnations_;
    std::uint64_t lastIncarnation_ = 0;
    std::vector<std::tuple<VmId, std::uint64_t, VmId, PeerMessage>> queue_;
    std::map<std::tuple<VmId, VmId, std::string>, int> counts_;
};

// Guards against an entry VM that decides locally although the owner, which knows the whole queue, is reachable.
TEST_CASE("an entry VM asks the owner, which tracks the answer until it ends")
{
    Fleet fleet({"vm1", "vm2", "vm3"});
    const auto owners = fleet.owners();
    const VmId &entry = owners[2];
    const RequestId id("r1");
    fleet.ask(entry, fleet.work("r1"));
    REQUIRE(fleet.answers[id].size() == 1);
    CHECK(std::holds_alternative<Assign>(fleet.answers[id][0]));
    CHECK(fleet.sentCount(entry, owners[0], "ask") == 1);
    CHECK(fleet.sentCount(entry, owners[1], "ask") == 0);
    CHECK(fleet.at(owners[0]).digests().at(0).running == 1);
    fleet.at(entry).onFirstToken(id);
    fleet.at(entry).onProgress(id, 5);
    fleet.advanceTime(milliseconds(1100));
    CHECK(fleet.sentCount(entry, owners[0], "progress") == 1);
    fleet.at(entry).onFinished(id, 9, FinishReason::Complete);
    fleet.deliver();
    CHECK(fleet.at(owners[0]).digests().at(0).running == 0);
    CHECK(fleet.at(entry).running() == 0);
}

// Guards against a request that keeps waiting for an owner that has died, is paused or is disconnected.
TEST_CASE("an entry VM skips owners that do not reply, and decides locally if none does")
{
    Fleet fleet({"vm1", "vm2", "vm3"});
    const auto owners = fleet.owners();
    const VmId &entry = owners[2];
    fleet.silent = {owners[0]};
    fleet.ask(entry, fleet.work("r1"));
    CHECK(fleet.answers.empty());
    fleet.advanceTime(milliseconds(110)); // The timeout for urgent requests is 100 ms; the clock moves in steps of 10 ms.
    CHECK(fleet.sentCount(entry, owners[0], "withdraw") == 1);
    CHECK(fleet.sentCount(entry, owners[1], "ask") == 1);
    fleet.reportIdleEngines(); // The second owner starts polling the engines only when it is asked.
    fleet.advanceTime(milliseconds(20));
    REQUIRE(fleet.answers[RequestId("r1")].size() == 1);
    CHECK(std::holds_alternative<Assign>(fleet.answers[RequestId("r1")][0]));

    fleet.silent = {owners[0], owners[1]};
    fleet.ask(entry, fleet.work("r2"));
    fleet.advanceTime(milliseconds(220));
    fleet.reportIdleEngines();
    fleet.advanceTime(milliseconds(20));
    REQUIRE(fleet.answers[RequestId("r2")].size() == 1);
    CHECK(std::holds_alternative<Assign>(fleet.answers[RequestId("r2")][0]));
}

// Guards against a slow owner that assigns a request after it was withdrawn and then keeps counting it as running.
TEST_CASE("an assignment that arrives after its request was withdrawn is returned to the owner")
{
    Fleet fleet({"vm1", "vm2", "vm3"});
    const auto owners = fleet.owners();
    const VmId &entry = owners[2];
    fleet.silent = {owners[0]};
    fleet.ask(entry, fleet.work("r1"));
    fleet.advanceTime(milliseconds(110));
    fleet.silent.clear();
    const CellId cell = fleet.at(owners[0]).digests().at(0).cell;
    fleet.onMessage(entry, owners[0], AssignMessage{cell, {.request = RequestId("r1"), .endpoint = EndpointId("e1")}});
    fleet.deliver();
    CHECK(fleet.sentCount(entry, owners[0], "done") == 1);
    CHECK(fleet.answers[RequestId("r1")].size() <= 1);
}

// Guards against a new owner that assigns engine capacity which running answers already use.
TEST_CASE("running answers are reported to a new owner")
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
    CHECK(fleet.sentCount(entry, owners[1], "resync") == 1);
    CHECK(fleet.at(owners[1]).digests().at(0).running == 1);
    fleet.at(entry).onFinished(RequestId("r1"), 20, FinishReason::Complete);
    fleet.deliver();
    CHECK(fleet.at(owners[1]).digests().at(0).running == 0);
}

// Guards against new requests at a draining endpoint, and against a drain that ends the answers running there.
TEST_CASE("a draining endpoint gets no new requests and keeps its running answers")
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

// Guards against new requests at an engine of a withdrawn zone, and against answers there that are taken for leaving.
TEST_CASE("a withdrawn engine gets no new requests, keeps its running answers and is not leaving")
{
    Fleet fleet({"vm1"});
    const VmId vm("vm1");
    const EndpointId first("e1");
    fleet.at(vm).setWithdrawn({first});
    for (int i = 0; i < 20; ++i) {
        const std::string id = "r" + std::to_string(i);
        fleet.ask(vm, fleet.work(id));
        REQUIRE(fleet.answers[RequestId(id)].size() == 1);
        CHECK(std::get<Assign>(fleet.answers[RequestId(id)][0]).endpoint == EndpointId("e2"));
        fleet.at(vm).onFirstToken(RequestId(id));
    }
    CHECK_FALSE(fleet.at(vm).isInService(first));
    CHECK(fleet.at(vm).isWithdrawn(first));
    CHECK_FALSE(fleet.at(vm).isLeaving(first));
    fleet.at(vm).setWithdrawn({EndpointId("e2")}); // Both change at once.
    CHECK(fleet.at(vm).running() == 20);
    fleet.ask(vm, fleet.work("later"));
    REQUIRE(fleet.answers[RequestId("later")].size() == 1);
    CHECK(std::get<Assign>(fleet.answers[RequestId("later")][0]).endpoint == first);
    fleet.at(vm).setDraining({EndpointId("e2")});
    CHECK(fleet.at(vm).isLeaving(EndpointId("e2")));
}

// A request that waits for an engine of the zone would reach it after the withdrawal, and one that no engine is left for would wait
// until its deadline instead of being refused while its caller can still try elsewhere.
TEST_CASE("a waiting request goes to another engine when its zone is withdrawn, and is refused at once if no zone is left")
{
    Fleet fleet({"vm1"});
    const VmId vm("vm1");
    const auto large = [&](const std::string &id) {
        auto request = fleet.work(id, milliseconds(600000)); // Long enough to read such a prompt.
        request.promptTokens = 90000;
        return request;
    };
    fleet.ask(vm, large("r1"));
    fleet.ask(vm, large("r2"));
    REQUIRE(fleet.answers[RequestId("r1")].size() == 1);
    REQUIRE(fleet.answers[RequestId("r2")].size() == 1);
    const auto ofFirst = std::get<Assign>(fleet.answers[RequestId("r1")][0]).endpoint;
    const auto ofSecond = std::get<Assign>(fleet.answers[RequestId("r2")][0]).endpoint;
    REQUIRE(ofFirst != ofSecond);
    fleet.ask(vm, large("r3"));
    fleet.ask(vm, large("r4"));
    REQUIRE(fleet.answers[RequestId("r3")].empty());
    fleet.at(vm).setWithdrawn({ofFirst});
    fleet.at(vm).onFinished(RequestId("r1"), 10, FinishReason::Complete); // Its place must stay unused.
    fleet.deliver();
    CHECK(fleet.answers[RequestId("r3")].empty());
    fleet.at(vm).onFinished(RequestId("r2"), 10, FinishReason::Complete);
    fleet.deliver();
    REQUIRE(fleet.answers[RequestId("r3")].size() == 1);
    CHECK(std::get<Assign>(fleet.answers[RequestId("r3")][0]).endpoint == ofSecond);
    fleet.at(vm).setWithdrawn({ofFirst, ofSecond});
    fleet.deliver();
    REQUIRE(fleet.answers[RequestId("r4")].size() == 1);
    const auto *refusal = std::get_if<Error>(&fleet.answers[RequestId("r4")][0]);
    REQUIRE(refusal != nullptr);
    CHECK((refusal->code == ResultCode::NoEndpoint));
    CHECK(refusal->retryAfter.value_or(milliseconds(0)) > milliseconds(0));
}

// Guards against a VM that stops serving when load reports of all engines are missing, for example after the VM was paused.
TEST_CASE("routing continues when all load reports stop")
{
    Fleet fleet({"vm1"});
    const VmId vm("vm1");
    fleet.advanceTime(milliseconds(6000)); // Three times the age at which a report is considered frozen.
    fleet.ask(vm, fleet.work("r1"));
    fleet.advanceTime(milliseconds(700)); // Past the request's first-token deadline.
    CHECK(fleet.answers[RequestId("r1")].size() == 1);
}

// Guards against a cancellation that ends an answer after the caller has received a token, and against a request that loses its place
// in the queue when its assignment is cancelled before the first token.
TEST_CASE("a cancellation applies only to requests without a token")
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
        fleet.onMessage(entry, owners[0], CancelMessage{cell, {.request = RequestId(id), .endpoint = endpointOf(id)}});
    }
    fleet.deliver();
    CHECK(cancels == 1);
    // The owner's next assignment arrives before `ask` is called again, and must not be lost.
    fleet.onMessage(entry, owners[0], AssignMessage{cell, {.request = RequestId("r2"), .endpoint = EndpointId("e2")}});
    fleet.ask(entry, fleet.work("r2"));
    CHECK(fleet.answers[RequestId("r2")].size() == 2);
    CHECK(fleet.at(entry).running() == 2);
}

// Guards against the loss of running answers when the store is unavailable for so long that a VM may not admit new requests, and
// engines shut down in the meantime. The running answers were admitted earlier and must be moved.
TEST_CASE("a VM that must not assign new requests still moves its running answers")
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
    fleet.advanceTime(milliseconds(100));
    REQUIRE(fleet.answers[RequestId("new")].size() == 1);
    CHECK(std::holds_alternative<Error>(fleet.answers[RequestId("new")].front()));
    REQUIRE(fleet.answers[RequestId("moving")].size() == 1);
    CHECK(std::holds_alternative<Assign>(fleet.answers[RequestId("moving")].front()));
}

// Property Starved: an owner never released what the former process of a VM had running if the VM was back before its silence was noticed.
// After some restarts all engines counted as full, and every stream was refused.
TEST_CASE("requests of a VM's former process are released when its next process is heard")
{
    Fleet fleet({"vm1", "vm2", "vm3"});
    const auto owners = fleet.owners();
    for (int restart = 0; restart < 40; ++restart) {
        CAPTURE(restart);
        const VmId &entry = owners[1 + restart % 2];
        for (int i = 0; i < 3; ++i) {
            const auto id = "r" + std::to_string(restart) + "-" + std::to_string(i);
            fleet.ask(entry, fleet.work(id));
            REQUIRE(fleet.answers[RequestId(id)].size() == 1);
            REQUIRE(std::holds_alternative<Assign>(fleet.answers[RequestId(id)][0]));
            fleet.at(entry).onFirstToken(RequestId(id));
        }
        fleet.deliver();
        CHECK(fleet.runningAt(owners[0]) == 3);
        fleet.restart(entry);
        CHECK(fleet.runningAt(owners[0]) == 0);
        fleet.reportIdleEngines();
    }
}

// Guards against a late message of a former process that releases what its successor has running, or that is served.
TEST_CASE("a late message of a former process has no effect")
{
    Fleet fleet({"vm1", "vm2", "vm3"});
    const auto owners = fleet.owners();
    const VmId &entry = owners[2];
    fleet.connect(entry);
    const auto former = fleet.incarnation(entry);
    fleet.restart(entry);
    fleet.ask(entry, fleet.work("r1"));
    CHECK(fleet.runningAt(owners[0]) == 1);
    const CellId cell = fleet.at(owners[0]).digests().at(0).cell;
    fleet.at(owners[0]).onMessage(entry, former, DoneMessage{.cell = cell, .request = RequestId("r1"), .tokens = 0, .reason = FinishReason::Complete});
    fleet.at(owners[0]).onMessage(entry, former, AskMessage{.cell = cell, .work = fleet.work("r2")});
    fleet.deliver();
    CHECK(fleet.runningAt(owners[0]) == 1);
}

// Property Starved, as above: a message that ends a request is lost with its connection.
TEST_CASE("an owner releases a request whose end it was not told")
{
    Fleet fleet({"vm1", "vm2", "vm3"});
    const auto owners = fleet.owners();
    const VmId &entry = owners[2];
    for (const char *id : {"r1", "r2"}) {
        fleet.ask(entry, fleet.work(id));
        fleet.at(entry).onFirstToken(RequestId(id));
    }
    fleet.deliver();
    REQUIRE(fleet.runningAt(owners[0]) == 2);
    fleet.at(entry).onFinished(RequestId("r1"), 9, FinishReason::Complete);
    fleet.loseMessages();
    fleet.advanceTime(milliseconds(5000));
    CHECK(fleet.runningAt(owners[0]) == 1);
    CHECK(fleet.at(entry).running() == 1);
    fleet.advanceTime(milliseconds(10000)); // r2 makes no progress, but runs.
    CHECK(fleet.runningAt(owners[0]) == 1);
    CHECK(fleet.metrics[owners[0]].gauge("daisystream_held_without_news", "").value() == 0);
}

// Property Starved, as above: the assignment itself is lost with its connection.
TEST_CASE("an owner releases a request whose assignment did not arrive")
{
    Fleet fleet({"vm1", "vm2", "vm3"});
    const auto owners = fleet.owners();
    const VmId &entry = owners[2];
    fleet.at(entry).ask(fleet.work("r1"), [](const Result<Assign> &) {});
    fleet.deliverOne(); // The ask; the owner assigns.
    fleet.loseMessages();
    REQUIRE(fleet.runningAt(owners[0]) == 1);
    fleet.at(entry).withdraw(RequestId("r1"));
    fleet.loseMessages();
    fleet.advanceTime(milliseconds(5000));
    CHECK(fleet.runningAt(owners[0]) == 0);
}

// Guards a rolling upgrade: a VM of an earlier build closes connections on which it gets a message that it does not know.
TEST_CASE("a VM that does not answer checks gets none")
{
    Fleet fleet({"vm1", "vm2", "vm3"});
    const auto owners = fleet.owners();
    const VmId &entry = owners[2];
    fleet.at(owners[0]).setAnswersChecks(entry, false);
    fleet.ask(entry, fleet.work("r1"));
    fleet.at(entry).onFirstToken(RequestId("r1"));
    fleet.deliver();
    fleet.at(entry).onFinished(RequestId("r1"), 9, FinishReason::Complete);
    fleet.loseMessages();
    fleet.advanceTime(milliseconds(5000));
    CHECK(fleet.sentCount(owners[0], entry, "check") == 0);
    CHECK(fleet.runningAt(owners[0]) == 1);
    CHECK(fleet.metrics[owners[0]].gauge("daisystream_held_without_news", "").value() == 1);
}

// Guards against engine capacity that is assigned twice: an owner that restarts within the time limit of its silence knew nothing of the
// answers that run.
TEST_CASE("running answers and pending asks are reported to the next process of their owner")
{
    for (const bool knowsEngines : {true, false}) {
        CAPTURE(knowsEngines);
        Fleet fleet({"vm1", "vm2", "vm3"});
        const auto owners = fleet.owners();
        const VmId &entry = owners[2];
        fleet.connect(owners[0]);
        fleet.ask(entry, fleet.work("r1"));
        fleet.at(entry).onFirstToken(RequestId("r1"));
        fleet.at(entry).onProgress(RequestId("r1"), 17);
        fleet.deliver();
        fleet.at(entry).ask(fleet.work("r2"), [&](const Result<Assign> &answer) { fleet.answers[RequestId("r2")].push_back(answer); });
        fleet.loseMessages(); // The ask is lost with the connection to the former process.
        fleet.start(owners[0], knowsEngines);
        fleet.connect(owners[0]);
        fleet.at(owners[0]).setEndpoints(Fleet::engines());
        fleet.reportIdleEngines();
        fleet.advanceTime(milliseconds(knowsEngines ? 500 : 3000));
        CHECK(fleet.runningAt(owners[0]) == (knowsEngines ? 2 : 1));
        if (knowsEngines) {
            REQUIRE(fleet.answers[RequestId("r2")].size() == 1);
            CHECK(std::holds_alternative<Assign>(fleet.answers[RequestId("r2")][0]));
        }
        fleet.at(entry).onFinished(RequestId("r1"), 20, FinishReason::Complete);
        fleet.deliver();
        CHECK(fleet.runningAt(owners[0]) == (knowsEngines ? 1 : 0));
    }
}

} // namespace
} // namespace daisystream
