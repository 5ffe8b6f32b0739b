#include "daemon/control/controlplane.h"

#include "daemon/control/bootclock.h"
#include "daemon/control/testloop.h"
#include "daisystream/lists/endpointstates.h"
#include "daisystream/lists/versionedrow.h"
#include "standins/platform/platformmodel.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <atomic>

namespace daisystream
{
namespace
{

using standins::PlatformStandIn;
using std::chrono::milliseconds;
namespace asio = boost::asio;

std::string plansText(int weight)
{
    return R"({"plans": [{"name": "trail", "rank": "urgent", "firstTokenMs": 660, "tokensPerSecond": 34, "weight": )" + std::to_string(weight)
        + R"(}], "teams": []})";
}

constexpr const char *kLimits = R"({"limits": [{"plan": "trail", "models": ["assistant"], "services": [], "concurrency": 4, "tokensPerSecond": 400,
    "maxOutputTokens": 100}]})";

/// The control plane of one VM, without a frontend.
struct Vm
{
    Vm(TestLoop &loop, const std::string &name, std::uint16_t platformPort)
        : control(loop.io, settingsOf(name, platformPort), clock, options())
    {
        REQUIRE_FALSE(control.start());
    }

    static Settings settingsOf(const std::string &name, std::uint16_t platformPort)
    {
        Settings settings;
        settings.vm = VmId(name);
        settings.listenPeers = SocketAddress{"127.0.0.1", 0};
        settings.platform = SocketAddress{"127.0.0.1", platformPort};
        EndpointSettings endpoint;
        endpoint.id = EndpointId("b1");
        endpoint.kind = EndpointKind::Service;
        endpoint.service = ServiceId("booking");
        settings.endpoints.push_back(endpoint);
        return settings;
    }

    static ControlOptions options()
    {
        ControlOptions options;
        options.monitor = {.heartbeatEvery = milliseconds(20), .pollEvery = milliseconds(40), .sealKeysEvery = milliseconds(40)};
        options.peers.checkEvery = milliseconds(10);
        return options;
    }

    [[nodiscard]] std::uint64_t version(DocumentKind kind)
    {
        return control.lists().document(kind).version.number;
    }

    [[nodiscard]] std::size_t inService()
    {
        return control.dispatcher().serviceEndpoints(ServiceId("booking")).size();
    }

    BootClock clock;
    ControlPlane control;
};

struct Fixture
{
    Fixture()
    {
        write(DocumentKind::Plans, plansText(1), 0);
        write(DocumentKind::Limits, kLimits, 0);
    }

    ~Fixture()
    {
        loop.stop();
    }

    void write(DocumentKind kind, const std::string &text, std::uint64_t base)
    {
        VersionedRow row{.text = text, .changes = {}};
        row.appendChange("c-" + std::to_string(base + 1));
        const auto reply = loop.run(
            [&](asio::yield_context yield) { return writer.perform(TableWrite{.key = toString(kind), .ifNumber = base, .value = encode(row)}, yield); });
        REQUIRE(std::holds_alternative<RowWritten>(reply));
    }

    void setFaults(const PlatformStandIn::Faults &faults)
    {
        loop.run([&](asio::yield_context) {
            platform.setFaults(faults);
            return true;
        });
    }

    std::uint64_t served(const std::string &prefix)
    {
        return loop.run([&](asio::yield_context) { return platform.served(prefix); });
    }

    /// Registers both VMs in the platform's VM list, so that they connect to each other.
    void list(Vm &first, Vm &second)
    {
        const auto entry = [](Vm &vm) {
            return nlohmann::json{{"vm", vm.control.peers().self().value()}, {"peerAddress", "127.0.0.1:" + std::to_string(vm.control.peers().port())}};
        };
        loop.run([&, text = nlohmann::json{entry(first), entry(second)}.dump()](asio::yield_context) {
            platform.setVms(text);
            return true;
        });
    }

    TestLoop loop;
    PlatformStandIn platform{loop.io, 0};
    PlatformClient writer{loop.io, SocketAddress{"127.0.0.1", platform.port()}};
};

// Guards against reverting a change because a peer or a stale read of the platform offers an older version.
TEST_CASE("an older version of a list never replaces a newer one")
{
    Fixture fixture;
    Vm vm(fixture.loop, "vm1", fixture.platform.port());
    fixture.write(DocumentKind::Plans, plansText(2), 1);
    REQUIRE(TestLoop::waitUntil([&] { return vm.version(DocumentKind::Plans) == 2; }));
    const auto offer = [&](std::uint64_t number, int weight) {
        vm.control.monitor().onMessage(
            VmId("stale"), 1, DocumentMessage{.kind = 0, .version = {.epoch = 0, .number = number}, .changeId = "x", .text = plansText(weight)});
        return vm.control.lists().plans()->findPlan(PlanName("trail"))->weight;
    };
    CHECK(offer(1, 7) == 2);
    CHECK(offer(2, 7) == 2);
    CHECK(offer(3, 3) == 3);
    // The platform still returns version 2 at every poll, which must not replace version 3.
    const auto polls = fixture.served("GET /v1/tables/lists/rows/plans");
    REQUIRE(TestLoop::waitUntil([&] { return fixture.served("GET /v1/tables/lists/rows/plans") >= polls + 3; }));
    CHECK(vm.version(DocumentKind::Plans) == 3);
    vm.control.monitor().onMessage(VmId("broken"), 1, DocumentMessage{.kind = 0, .version = {.epoch = 0, .number = 9}, .changeId = "x", .text = "not a list"});
    CHECK(vm.version(DocumentKind::Plans) == 3);
    fixture.loop.stop();
}

// Guards against a VM that is started during an outage of the platform and then serves without lists or never gets them.
TEST_CASE("a VM that starts during an outage gets the lists from a peer")
{
    Fixture fixture;
    Vm first(fixture.loop, "vm1", fixture.platform.port());
    REQUIRE(TestLoop::waitUntil([&] { return !first.control.lists().admission() && first.version(DocumentKind::SealKeys) > 0; }));
    fixture.setFaults({.outage = true});
    Vm second(fixture.loop, "vm2", fixture.platform.port());
    REQUIRE(second.control.lists().admission());
    CHECK((second.control.lists().admission()->code == ResultCode::NoLists));
    second.control.peers().setPeers({{.vm = VmId("vm1"), .address = {"127.0.0.1", first.control.peers().port()}, .zone = {}}});
    first.control.peers().setPeers({{.vm = VmId("vm2"), .address = {"127.0.0.1", second.control.peers().port()}, .zone = {}}});
    REQUIRE(TestLoop::waitUntil([&] { return second.control.lists().plans() && second.control.lists().limits(); }));
    REQUIRE(TestLoop::waitUntil([&] { return second.version(DocumentKind::SealKeys) > 0; }));
    CHECK(second.control.lists().document(DocumentKind::SealKeys).text == first.control.lists().document(DocumentKind::SealKeys).text);
    fixture.loop.stop();
}

// Guards against a drain that takes effect later than the documented 3 s. Each VM polls every 2 s, so that one complete poll
// after the write must be sufficient. The test counts polls, so that its result does not depend on the speed of the machine.
TEST_CASE("a drain takes effect at every VM after one poll")
{
    Fixture fixture;
    Vm first(fixture.loop, "vm1", fixture.platform.port());
    Vm second(fixture.loop, "vm2", fixture.platform.port());
    fixture.list(first, second);
    REQUIRE(TestLoop::waitUntil([&] { return first.control.peers().peers().size() == 1 && second.control.peers().peers().size() == 1; }));
    CHECK(first.inService() == 1);
    const std::string path = "GET /v1/tables/endpoints/rows/state";
    EndpointStateEdit edit({.endpoints = {EndpointId("b1")}, .drain = true}, "e-1");
    EndpointStateStep step = edit.start();
    while (const auto *action = std::get_if<TableAction>(&step)) {
        step = edit.onReply(fixture.loop.run([&](asio::yield_context yield) { return fixture.writer.perform(*action, yield); }));
    }
    REQUIRE(std::holds_alternative<std::uint64_t>(std::get<EndpointStateOutcome>(step)));
    const auto before = fixture.served(path);
    std::uint64_t after = before;
    REQUIRE(TestLoop::waitUntil([&] {
        const bool isDrained = first.inService() == 0 && second.inService() == 0;
        after = fixture.served(path);
        return isDrained;
    }));
    // Each VM may have a poll in progress during the write and then needs another one. The other VM may poll in the meantime.
    CHECK(after - before <= 6);
    fixture.loop.stop();
}

// Guards against a VM that continues to admit work by lists that may be outdated.
TEST_CASE("a VM that is disconnected from the platform and its peers refuses new work")
{
    Fixture fixture;
    ManualClock clock;
    Metrics metrics;
    ListTable lists;
    Settings settings = Vm::settingsOf("vm1", fixture.platform.port());
    settings.peers = {{.vm = VmId("vm2"), .address = {"127.0.0.1", 1}, .zone = {}}, {.vm = VmId("vm3"), .address = {"127.0.0.1", 1}, .zone = {}}};
    PlatformClient platform(fixture.loop.io, settings.platform);
    PeerLink peers(fixture.loop.io, {.vm = settings.vm, .zone = {}, .incarnation = 1}, clock, metrics, {});
    CellDispatcher dispatcher(
        fixture.loop.io, settings, clock, metrics, [](const VmId &, const PeerMessage &) { return false; }, 1);
    VmMonitor monitor(
        fixture.loop.io, settings, {.lists = lists, .platform = platform, .peers = peers, .dispatcher = dispatcher, .metrics = metrics, .clock = clock}, {});
    CHECK((lists.admission()->code == ResultCode::NoLists));
    lists.offer(DocumentKind::Plans, {.number = 1, .changeId = "a"}, plansText(1));
    lists.offer(DocumentKind::Limits, {.number = 1, .changeId = "a"}, kLimits);
    monitor.onAck(VmId("vm2"), clock.now(), {.versions = lists.versions(), .contactAge = {}});
    CHECK_FALSE(lists.admission());
    clock.advance(milliseconds(5000)); // The time limit in section 2.5 of the design document.
    REQUIRE(lists.admission());
    CHECK((lists.admission()->code == ResultCode::Isolated));
    monitor.onAck(VmId("vm3"), clock.now(), {.versions = lists.versions(), .contactAge = {}});
    CHECK_FALSE(lists.admission());
    lists.setStopping();
    CHECK((lists.admission()->code == ResultCode::Stopping));
    fixture.loop.stop();
}

// The store rejects the requests of one VM while keys are being revoked. Guards against a VM that refuses all requests although
// another VM has the current configuration, and against a VM that uses configuration older than the revocation time.
TEST_CASE("a VM relies on another VM's contact with the platform only while that contact is recent")
{
    Fixture fixture;
    ManualClock clock;
    Metrics metrics;
    ListTable lists([](std::string_view) { return Result<RouteTable>(RouteTable({.version = 1})); });
    Settings settings = Vm::settingsOf("vm1", fixture.platform.port());
    PlatformClient platform(fixture.loop.io, settings.platform);
    PeerLink peers(fixture.loop.io, {.vm = settings.vm, .zone = {}, .incarnation = 1}, clock, metrics, {});
    CellDispatcher dispatcher(
        fixture.loop.io, settings, clock, metrics, [](const VmId &, const PeerMessage &) { return false; }, 1);
    VmMonitorOptions options;
    options.polls = false;
    options.freshness = FreshnessOptions{.contactLimit = milliseconds(4500), .peerLimit = {}, .assignLimit = milliseconds(4500), .acceptPeerContact = false};
    VmMonitor monitor(fixture.loop.io,
                      settings,
                      {.lists = lists, .platform = platform, .peers = peers, .dispatcher = dispatcher, .metrics = metrics, .clock = clock},
                      options);
    REQUIRE(lists.offer(DocumentKind::Routes, {.number = 1, .changeId = {}}, "routes"));
    const auto viewOf = [](std::uint64_t routes, std::optional<milliseconds> age) {
        PeerView view{.versions = std::vector<StoreRevision>(kDocumentKinds), .contactAge = age};
        view.versions[static_cast<std::size_t>(DocumentKind::Routes)].number = routes;
        return view;
    };
    REQUIRE(lists.routeAdmission());
    CHECK(lists.routeAdmission()->retryAfter == milliseconds(0)); // No other VM was heard from; one of them may be able to serve.
    monitor.onAck(VmId("vm2"), clock.now(), viewOf(1, std::nullopt));
    CHECK(lists.routeAdmission());
    CHECK(*lists.routeAdmission()->retryAfter > milliseconds(0)); // The other VM has no contact with the platform either.
    monitor.onAck(VmId("vm2"), clock.now(), viewOf(2, milliseconds(10)));
    CHECK(lists.routeAdmission()); // The other VM has a newer route table.
    monitor.onAck(VmId("vm2"), clock.now(), viewOf(1, milliseconds(4000)));
    CHECK_FALSE(lists.routeAdmission());
    CHECK(monitor.view().contactAge == milliseconds(4000));
    clock.advance(milliseconds(499));
    CHECK_FALSE(lists.routeAdmission());
    clock.advance(milliseconds(1));
    CHECK(lists.routeAdmission());
    monitor.onStoreContact(clock.now() - milliseconds(100));
    CHECK_FALSE(lists.routeAdmission());
    clock.advance(milliseconds(4500));
    auto restored = viewOf(1, std::nullopt);
    restored.storeEpoch = 1;
    monitor.onAck(VmId("vm3"), clock.now(), restored);
    monitor.onAck(VmId("vm2"), clock.now(), viewOf(1, milliseconds(10)));
    CHECK(lists.routeAdmission()); // Contact with the store before it was restored proves nothing about what it holds now.
    restored.contactAge = milliseconds(10);
    monitor.onAck(VmId("vm2"), clock.now(), restored);
    CHECK_FALSE(lists.routeAdmission());
    fixture.loop.stop();
}

// A VM that had just fetched a document did not ask for the next version before half a second had passed, so that a zone that was
// withdrawn and restored in quick succession kept the wrong state for as long.
TEST_CASE("versions of a document that follow each other quickly arrive without delay")
{
    Fixture fixture;
    Vm first(fixture.loop, "vm1", fixture.platform.port());
    Vm second(fixture.loop, "vm2", fixture.platform.port());
    fixture.list(first, second);
    for (std::uint64_t number = 1; number <= 3; ++number) {
        REQUIRE(first.control.lists().offer(DocumentKind::Zones, {.number = number, .changeId = {}}, "[]"));
        first.control.monitor().announceDocument(DocumentKind::Zones);
        const auto begin = first.clock.now();
        REQUIRE(TestLoop::waitUntil([&] { return second.version(DocumentKind::Zones) == number; }));
        CHECK((number == 1 || first.clock.now() - begin < milliseconds(400))); // The connection is made before the first one.
    }
    fixture.loop.stop();
}

/// A control plane that watches endpoints and zones, which the test hands to it as documents of another VM.
struct WatchingVm
{
    WatchingVm()
        : control(loop.io, settings(), clock, options())
    {
        control.setEndpointHandler([this](const EndpointServiceChanges &changes) {
            leaving += changes.ended.size();
            joined += changes.begun.size();
        });
        REQUIRE_FALSE(control.start());
        REQUIRE(control.lists().offer(DocumentKind::Routes, {.number = 1, .changeId = {}}, "{}"));
    }

    ~WatchingVm()
    {
        control.stop();
        loop.stop();
    }

    static Settings settings()
    {
        Settings settings;
        settings.vm = VmId("vm1");
        settings.listenPeers = SocketAddress{"127.0.0.1", 0};
        settings.gateway = GatewaySettings{};
        return settings;
    }

    static ControlOptions options()
    {
        ControlOptions options = Vm::options();
        options.adapter.parseRoutes = [](std::string_view) -> Result<RouteTable> {
            return RouteTable({.version = 1, .services = {{.id = ServiceId("desk"), .coldRequestsPerSecond = 4}}});
        };
        options.adapter.watch = WatchSource{.configTable = "c",
                                            .configKey = "k",
                                            .zonePrefix = "z/",
                                            .endpointTable = "e",
                                            .configVersion = [](std::string_view) { return std::optional<std::uint64_t>(1); },
                                            .parseEndpoint =
                                                [](const std::string &, std::string_view) {
                                                    return std::optional<EndpointEntry>();
                                                }};
        return options;
    }

    static EndpointEntry entry(const std::string &name, const std::string &zone, milliseconds cold = milliseconds(0))
    {
        return {.name = name, .service = ServiceId("desk"), .address = "127.0.0.1:1", .zone = ZoneId(zone), .slots = 6, .startedAt = 1, .coldDuration = cold};
    }

    void offer(DocumentKind kind, std::uint64_t number, const std::string &text)
    {
        REQUIRE(control.lists().offer(kind, {.number = number, .changeId = {}}, text));
    }

    [[nodiscard]] std::size_t inService()
    {
        return control.dispatcher().serviceEndpoints(ServiceId("desk")).size();
    }

    TestLoop loop;
    BootClock clock;
    ControlPlane control;
    std::atomic<std::size_t> leaving{0}; ///< Endpoints that were announced as leaving.
    std::atomic<std::size_t> joined{0};  ///< Endpoints that were announced as in service.
};

// Endpoints that are announced as leaving lose their answers to a move, through links that other moves need.
TEST_CASE("endpoints of a withdrawn zone get no work, are not announced as leaving, and come back")
{
    WatchingVm vm;
    vm.offer(DocumentKind::Endpoints, 5, encodeEndpoints({WatchingVm::entry("i-1", "a"), WatchingVm::entry("i-2", "b")}));
    REQUIRE(TestLoop::waitUntil([&] { return vm.inService() == 2; }));
    vm.offer(DocumentKind::Zones, 7, encodeZones({ZoneId("a"), ZoneId("unknown")}));
    REQUIRE(TestLoop::waitUntil([&] { return vm.inService() == 1; }));
    CHECK(vm.control.dispatcher().isWithdrawn(EndpointId("i-1@1")));
    CHECK_FALSE(vm.control.dispatcher().isLeaving(EndpointId("i-1@1")));
    CHECK(vm.control.status().at("withdrawnZones") == nlohmann::json{{"zones", {"a", "unknown"}}, {"revision", 7}});
    vm.offer(DocumentKind::Endpoints, 9, encodeEndpoints({WatchingVm::entry("i-1", "a"), WatchingVm::entry("i-2", "b"), WatchingVm::entry("i-3", "a")}));
    REQUIRE(TestLoop::waitUntil([&] { return vm.control.dispatcher().isWithdrawn(EndpointId("i-3@1")); }));
    CHECK(vm.inService() == 1);
    vm.offer(DocumentKind::Zones, 11, encodeZones({}));
    CHECK(TestLoop::waitUntil([&] { return vm.inService() == 3; }));
    CHECK(vm.leaving == 0);
}

// Property DRAIN: an endpoint whose entry had lapsed and come back was not believed when it stated that it leaves.
TEST_CASE("a statement that an endpoint leaves takes effect whatever the store has said of it, and holds for that process only")
{
    WatchingVm vm;
    const auto both = encodeEndpoints({WatchingVm::entry("i-1", "a"), WatchingVm::entry("i-2", "a")});
    vm.offer(DocumentKind::Endpoints, 5, both);
    REQUIRE(TestLoop::waitUntil([&] { return vm.inService() == 2; }));
    vm.offer(DocumentKind::Endpoints, 6, encodeEndpoints({WatchingVm::entry("i-2", "a")}));
    REQUIRE(TestLoop::waitUntil([&] { return vm.inService() == 1 && vm.leaving == 1; }));
    vm.offer(DocumentKind::Endpoints, 7, both);
    REQUIRE(TestLoop::waitUntil([&] { return vm.inService() == 2 && vm.joined == 3; }));
    vm.control.onEndpointLeaving(EndpointId("i-1@1"));
    CHECK(vm.inService() == 1);
    CHECK(vm.leaving == 2);
    vm.offer(DocumentKind::Endpoints, 8, encodeEndpoints({WatchingVm::entry("i-2", "a")}));
    vm.offer(DocumentKind::Endpoints, 9, both);
    REQUIRE(TestLoop::waitUntil([&] { return vm.control.dispatcher().findEndpoint(EndpointId("i-1@1")).has_value(); }));
    CHECK(vm.inService() == 1); // The store still calls it ready.
    auto restarted = WatchingVm::entry("i-1", "a");
    restarted.startedAt = 2;
    vm.offer(DocumentKind::Endpoints, 10, encodeEndpoints({restarted, WatchingVm::entry("i-2", "a")}));
    CHECK(TestLoop::waitUntil([&] { return vm.inService() == 2; }));
}

// An entry that is not written again must not keep its endpoint cold, and a cold endpoint must be limited before it gets a request.
TEST_CASE("an endpoint has the limit of a cold one from the arrival of its entry until its time is over")
{
    WatchingVm vm;
    vm.offer(DocumentKind::Endpoints, 5, encodeEndpoints({WatchingVm::entry("i-1", "a", milliseconds(400)), WatchingVm::entry("i-2", "a")}));
    REQUIRE(TestLoop::waitUntil([&] { return vm.inService() == 2; }));
    const EndpointId cold("i-1@1");
    CHECK(vm.control.permits().limit(cold) == 4);
    CHECK(vm.control.dispatcher().findEndpoint(cold)->isCold);
    CHECK_FALSE(vm.control.permits().limit(EndpointId("i-2@1")));
    CHECK(TestLoop::waitUntil([&] { return !vm.control.permits().limit(cold); }));
    CHECK_FALSE(vm.control.dispatcher().findEndpoint(cold)->isCold);
}

} // namespace
} // namespace daisystream
