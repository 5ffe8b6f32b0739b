#include "daisystream/limits/endpointpermits.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace daisystream
{
namespace
{

using namespace std::chrono_literals;

const EndpointId kEndpoint("e1");

PermitRequest requestOf(std::uint64_t number, Duration patience = 0ms, bool isUrgent = false)
{
    return {.endpoint = kEndpoint, .vm = VmId("vm1"), .attempt = 1000 + number, .request = number, .isUrgent = isUrgent, .patience = patience};
}

bool isGranted(const PermitOutcome &outcome)
{
    return std::holds_alternative<PermitGranted>(outcome);
}

// Guards the whole range of limits, from a part of a request a second to hundreds.
TEST_CASE("in any four seconds, no more permits are issued than the limit and a small burst allow, and hardly fewer")
{
    for (const double perSecond : {0.4, 1.0, 2.7, 20.0, 300.0}) {
        CAPTURE(perSecond);
        ManualClock clock;
        PermitIssuer issuer;
        std::vector<TimePoint> granted;
        const auto begin = clock.now();
        std::uint64_t number = 0;
        while (clock.now() - begin < 40s) {
            ++number;
            if (isGranted(issuer.request(requestOf(number, number % 2 == 0 ? 1300ms : 0ms), {.perSecond = perSecond}, clock.now()))) {
                granted.push_back(clock.now());
            }
            clock.advance(1ms);
        }
        for (std::size_t first = 0; first < granted.size(); ++first) {
            const auto last = std::upper_bound(granted.begin(), granted.end(), granted[first] + 4s);
            CHECK(last - granted.begin() - static_cast<std::ptrdiff_t>(first) <= 1.25 * 4 * perSecond + 3);
        }
        CHECK(static_cast<double>(granted.size()) >= 0.9 * 40 * perSecond - 2);
    }
}

// Guards the promise of Retry-After: who comes back at the stated time is served, also through another VM, although other
// requests ask all the time.
TEST_CASE("a place in the line is kept for the request that comes back at its time")
{
    ManualClock clock;
    PermitIssuer issuer;
    const PermitTerms terms{.perSecond = 4};
    std::uint64_t number = 100;
    while (isGranted(issuer.request(requestOf(++number), terms, clock.now()))) { }
    const auto outcome = issuer.request(requestOf(1, 2s), terms, clock.now());
    REQUIRE_FALSE(isGranted(outcome));
    const auto denied = std::get<PermitDenied>(outcome);
    CHECK(denied.isPlaceKept);
    CHECK(denied.retryAfter <= 2s);
    const auto back = clock.now() + denied.retryAfter + 990ms; // The own interface states whole seconds.
    while (clock.now() < back) {
        (void)issuer.request(requestOf(++number, 2s), terms, clock.now());
        clock.advance(10ms);
    }
    auto again = requestOf(1);
    again.vm = VmId("vm2");
    again.attempt = 7;
    CHECK(isGranted(issuer.request(again, terms, clock.now())));
    CHECK_FALSE(isGranted(issuer.request(again, terms, clock.now())));
}

TEST_CASE("a request whose caller cannot come back in time gets no place and is told a time after it has left")
{
    ManualClock clock;
    PermitIssuer issuer;
    const PermitTerms terms{.perSecond = 0.5};
    (void)issuer.request(requestOf(1), terms, clock.now());
    for (std::uint64_t number = 2; number < 10; ++number) {
        (void)issuer.request(requestOf(number, 10s), terms, clock.now());
    }
    const auto outcome = issuer.request(requestOf(50, 1s), terms, clock.now());
    REQUIRE_FALSE(isGranted(outcome));
    CHECK_FALSE(std::get<PermitDenied>(outcome).isPlaceKept);
    CHECK(std::get<PermitDenied>(outcome).retryAfter > 1s);
}

// Guards urgent requests against a line of ordinary ones.
TEST_CASE("urgent requests get the permits that ordinary ones have to leave")
{
    ManualClock clock;
    PermitIssuer issuer;
    const PermitTerms terms{.perSecond = 10};
    std::uint64_t number = 100;
    int urgent = 0;
    int urgentGranted = 0;
    for (int i = 0; i < 4000; ++i) {
        (void)issuer.request(requestOf(++number, 1s), terms, clock.now());
        if (i % 500 == 0) {
            ++urgent;
            urgentGranted += isGranted(issuer.request(requestOf(++number, 0ms, true), terms, clock.now())) ? 1 : 0;
        }
        clock.advance(5ms);
    }
    CHECK(urgentGranted == urgent);
}

std::vector<VmId> names(std::size_t count)
{
    std::vector<VmId> vms;
    for (std::size_t i = 0; i < count; ++i) {
        vms.emplace_back("vm" + std::to_string(i));
    }
    return vms;
}

/// @return the permits of a VM that knows that the endpoint takes 3 requests a second.
EndpointPermits permitsOf(const VmId &self, const std::vector<VmId> &live, TimePoint now)
{
    EndpointPermits permits(self);
    permits.setVms(live, now);
    permits.limits().onAnswer(kEndpoint, 3, now, now);
    return permits;
}

TEST_CASE("a request asks the issuer, then the VM that stands in for it, and is refused if neither replies")
{
    ManualClock clock;
    const auto vms = names(5);
    std::optional<EndpointPermits> permits;
    std::vector<PermitAction> actions;
    constexpr std::uint64_t kNumber = 5;
    for (const auto &vm : vms) { // Until one is neither issuer nor stand-in.
        permits.emplace(permitsOf(vm, vms, clock.now()));
        actions = permits->ask(kNumber, requestOf(1), clock.now());
        if (std::holds_alternative<AskForPermit>(actions.front()) && permits->ownStatements(clock.now()).empty()) {
            break;
        }
    }
    const auto issuer = std::get<AskForPermit>(actions.front()).to;
    CHECK(permits->expire(clock.now()).empty());
    clock.advance(100ms);
    actions = permits->expire(clock.now());
    REQUIRE(std::holds_alternative<AskForPermit>(actions.front()));
    CHECK(std::get<AskForPermit>(actions.front()).to != issuer);
    actions = permits->onSendFailed(kNumber, clock.now());
    REQUIRE(std::holds_alternative<PermitDecided>(actions.front()));
    CHECK_FALSE(isGranted(std::get<PermitDecided>(actions.front()).outcome));
    CHECK(permits->onReply(issuer, {.number = kNumber, .endpoint = kEndpoint, .outcome = PermitGranted{}, .statement = {.endpoint = kEndpoint}}, clock.now())
              .empty());
}

// Guards against two parts of a fleet that each issue the whole limit while they are cut off from each other.
TEST_CASE("a VM that lost others issues the share of those that follow it")
{
    ManualClock clock;
    const auto vms = names(4);
    const auto countGranted = [&](EndpointPermits &permits) {
        const auto begin = clock.now();
        int granted = 0;
        for (std::uint64_t number = 1; clock.now() - begin < 8s; ++number) {
            const auto actions = permits.ask(number, requestOf(number), clock.now());
            granted += isGranted(std::get<PermitDecided>(actions.front()).outcome) ? 1 : 0;
            clock.advance(20ms);
        }
        return granted;
    };
    auto alone = permitsOf(vms[0], {vms[0]}, clock.now());
    CHECK(countGranted(alone) >= 22);
    auto lost = permitsOf(vms[0], vms, clock.now());
    lost.setVms({vms[0]}, clock.now());
    const int part = countGranted(lost);
    CHECK(part >= 5);
    CHECK(part <= 9);
    clock.advance(20s);
    CHECK(countGranted(lost) >= 22); // The others are gone for good.
}

TEST_CASE("all VMs choose the same endpoint for a request to wait at, in proportion to the limits")
{
    ManualClock clock;
    auto permits = permitsOf(VmId("vm1"), names(3), clock.now());
    const EndpointId large("e2");
    permits.limits().onAnswer(large, 9, clock.now(), clock.now());
    auto other = permitsOf(VmId("vm2"), names(3), clock.now());
    other.limits().onAnswer(large, 9, clock.now(), clock.now());
    int atLarge = 0;
    for (std::uint64_t request = 1; request <= 2000; ++request) {
        const auto chosen = permits.lineFor(request * 7919, {kEndpoint, large, EndpointId("unlimited")});
        REQUIRE(chosen);
        CHECK(chosen == other.lineFor(request * 7919, {large, kEndpoint}));
        atLarge += chosen == large ? 1 : 0;
    }
    CHECK(atLarge > 1400);
    CHECK(atLarge < 1600);
    CHECK_FALSE(permits.lineFor(1, {EndpointId("unlimited")}));
}

/// @return the VM that issues the permits of `kEndpoint`.
VmId issuerAmong(const std::vector<VmId> &vms, TimePoint now)
{
    for (const auto &vm : vms) {
        EndpointPermits permits(vm);
        permits.setVms(vms, now);
        permits.limits().setColdLimits({{kEndpoint, 4}});
        const auto actions = permits.ask(1, requestOf(1), now);
        if (const auto *ask = std::get_if<AskForPermit>(&actions.front())) {
            return ask->to;
        }
    }
    return {};
}

// An endpoint that has just become cold is crashed by the requests of all VMs together. The entry reaches the VMs at different times,
// and an issuer that lacked it granted every request.
TEST_CASE("a cold endpoint without a stated limit gets no more than its limit from all VMs, also if the issuer does not know")
{
    ManualClock clock;
    const auto vms = names(6);
    const auto issuerId = issuerAmong(vms, clock.now());
    EndpointPermits issuer(issuerId);
    issuer.setVms(vms, clock.now());
    const auto other = std::find_if(vms.begin(), vms.end(), [&](const VmId &vm) { return vm != issuerId; });
    EndpointPermits asking(*other);
    asking.setVms(vms, clock.now());
    CHECK(isGranted(std::get<PermitDecided>(asking.ask(1, requestOf(1), clock.now()).front()).outcome)); // Not cold: nobody is asked.
    asking.limits().setColdLimits({{kEndpoint, 4}});
    std::vector<TimePoint> granted;
    std::uint64_t number = 1;
    for (const auto begin = clock.now(); clock.now() - begin < 3s; clock.advance(10ms)) {
        ++number;
        const auto actions = asking.ask(number, requestOf(number), clock.now());
        const auto &ask = std::get<AskForPermit>(actions.front());
        REQUIRE(ask.to == issuerId);
        const auto reply = issuer.onAsk(ask.ask, clock.now());
        CHECK(asking.onReply(issuerId, reply, clock.now()).size() == 1);
        if (isGranted(reply.outcome)) {
            granted.push_back(clock.now());
        }
    }
    CHECK(granted.size() >= 9); // 4 a second for 3 s, less what ordinary requests leave for urgent ones.
    for (auto first = granted.begin(); first != granted.end(); ++first) {
        CHECK(std::upper_bound(first, granted.end(), *first + 1s) - first <= 4 * 1.5 + 5);
    }
    asking.limits().setColdLimits({});
    clock.advance(3s); // The endpoint is no longer cold, and the issuer has not been told of it any more.
    CHECK(isGranted(std::get<PermitDecided>(asking.ask(9999, requestOf(9999), clock.now()).front()).outcome));
    CHECK(isGranted(std::get<PermitDecided>(issuer.ask(9998, requestOf(9998), clock.now()).front()).outcome));
}

} // namespace
} // namespace daisystream
