#include "daemon/control/settings.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

std::string errorsOf(const std::string &text)
{
    const auto result = parseSettings(text, "vm.json");
    const auto *error = std::get_if<Error>(&result);
    return error == nullptr ? "" : error->detail;
}

// Guards against limits that do not fit into the VM, and against ones that refuse a lone request of the largest size.
TEST_CASE("the limits for callers follow from the memory and the descriptors of the VM")
{
    Settings settings;
    CHECK(totalCallerLimits(settings, {.memoryBytes = 88'000'000, .descriptors = 3'075}) == TotalCallerLimits{.memoryBytes = 38'400'000, .connections = 1'878});
    settings.memoryMegabytes = 20;
    settings.descriptors = 100;
    CHECK(totalCallerLimits(settings, {.memoryBytes = 88'000'000, .descriptors = 3'075}) == TotalCallerLimits{.memoryBytes = 12'000'000, .connections = 16});
    settings.descriptors = 1'000'000;
    settings.callers.connections = 500;
    CHECK(totalCallerLimits(settings, {}).connections == 500);
}

// Guards against a parser that stops at the first error, so that an operator would need one start of the daemon for each error.
TEST_CASE("all errors are reported at once with file name and field path")
{
    const std::string errors = errorsOf(R"({
        // no vm
        "zone": "", "listen": "nowhere", "workers": 0, "surprise": 1,
        "peers": [{"vm": "vm2", "address": "127.0.0.1:99999"}],
        "endpoints": [
            {"id": "e1", "address": "127.0.0.1:1", "model": "m", "memoryTokens": -1},
            {"id": "e1", "kind": "engine", "address": "127.0.0.1:2", "service": "s"},
            {"id": "s1", "kind": "other", "address": "127.0.0.1:2", "model": "m", "checksCaller": true}
        ],
        "callers": {"headerMs": 0, "bodyBytes": "many"}
    })");
    for (const char *expected : {"vm.json: vm: is missing",
                                 "zone: must be",
                                 "listen: must be",
                                 "workers: must be",
                                 "surprise: is not a known field",
                                 "peers[0].address: must be",
                                 "listenPeers: is missing",
                                 "endpoints[0].memoryTokens: must be",
                                 "endpoints[1].model: is missing",
                                 "endpoints[1].service: is not a known field",
                                 "endpoints[1].id: is used twice",
                                 "endpoints[2].kind: must be",
                                 "endpoints[2].authorizationHeader: is missing",
                                 "callers.headerMs: must be",
                                 "callers.bodyBytes: must be"}) {
        CAPTURE(expected);
        CHECK(errors.find(expected) != std::string::npos);
    }
    CHECK(errorsOf("{\"vm\": ").find("line 1") != std::string::npos);
    CHECK(errorsOf("[]").find("must be an object") != std::string::npos);
}

// Guards against rejecting a valid file and against storing a value in the wrong field.
TEST_CASE("a valid file is read completely")
{
    const auto result = parseSettings(R"({
        "vm": "vm1", "zone": "z1", "listen": "127.0.0.1:8080", "listenPeers": "[::1]:7000", "listenOperators": "127.0.0.1:7300",
        "platform": "127.0.0.1:9100", "workers": 4, /* vm1 itself is allowed in the list */
        "peers": [{"vm": "vm1", "address": "[::1]:7000"}, {"vm": "vm2", "zone": "z2", "address": "127.0.0.1:7002"}],
        "endpoints": [{"id": "b", "kind": "service", "service": "booking", "address": "127.0.0.1:9", "honoursFencing": false}],
        "callers": {"writeMs": 500},
        "peerTls": {"certificateFile": "a", "keyFile": "b", "authorityFile": "c"}
    })",
                                      "vm.json");
    REQUIRE(std::holds_alternative<Settings>(result));
    const auto &settings = std::get<Settings>(result);
    CHECK(settings.vm == VmId("vm1"));
    CHECK((settings.listenPeers == SocketAddress{"::1", 7000}));
    REQUIRE(settings.peers.size() == 1);
    CHECK((settings.peers[0] == PeerSettings{VmId("vm2"), {"127.0.0.1", 7002}, ZoneId("z2")}));
    CHECK(settings.endpoints[0].service == ServiceId("booking"));
    CHECK_FALSE(settings.endpoints[0].honoursFencing);
    CHECK(settings.callers.writeTime == std::chrono::milliseconds(500));
    CHECK(settings.peerTls->authorityFile == "c");
}

// Guards against an `advertisePeers` that is accepted but never announced to other VMs.
TEST_CASE("an advertised address without effect is refused")
{
    const auto settings = [](const std::string &more) {
        return R"({"vm": "vm1", "zone": "z", "listen": "127.0.0.1:1", "platform": "127.0.0.1:3", "advertisePeers": "10.0.0.1:7000")" + more + "}";
    };
    CHECK(std::holds_alternative<Settings>(parseSettings(settings(R"(, "listenPeers": "127.0.0.1:2", "platformProtocol": "fleet")"), "vm.json")));
    CHECK(errorsOf(settings(R"(, "platformProtocol": "fleet")")).find("advertisePeers: has no effect without listenPeers") != std::string::npos);
    CHECK(errorsOf(settings(R"(, "listenPeers": "127.0.0.1:2")")).find("advertisePeers: has no effect with platformProtocol \"own\"") != std::string::npos);
}

TEST_CASE("gateway settings are read and checked")
{
    const auto result = parseSettings(R"({"vm": "vm1", "zone": "z", "listen": "127.0.0.1:1", "listenReadiness": "127.0.0.1:2",
        "platform": "127.0.0.1:3", "platformProtocol": "fleet",
        "gateway": {"revocationMs": 4000, "drainMs": 3000, "retryRatio": 0.1, "retryAllowance": 58, "memoryQuantile": 0.95, "engineSteps": {"baseMs": 7.5}}})",
                                      "vm.json");
    REQUIRE(std::holds_alternative<Settings>(result));
    const auto &settings = std::get<Settings>(result);
    REQUIRE(settings.gateway);
    CHECK(settings.gateway->revocationTime == std::chrono::milliseconds(4000));
    CHECK(settings.gateway->stepCost.baseMilliseconds == 7.5);
    CHECK(settings.gateway->graceTime == std::chrono::milliseconds(8000));
    CHECK(settings.gateway->drainTime == std::chrono::milliseconds(3000));
    CHECK(settings.platformProtocol == "fleet");
    const std::string errors = errorsOf(R"({"vm": "vm1", "zone": "z", "listen": "127.0.0.1:1",
        "gateway": {"retryRatio": 2, "graceMs": 0, "engineSteps": {"baseMs": "x", "odd": 1}}})");
    for (const char *expected : {"platform: is missing",
                                 "gateway.retryRatio: must be",
                                 "gateway.graceMs: must be",
                                 "gateway.engineSteps.baseMs: must be",
                                 "gateway.engineSteps.odd: is not a known field"}) {
        CAPTURE(expected);
        CHECK(errors.find(expected) != std::string::npos);
    }
}

} // namespace
} // namespace daisystream
