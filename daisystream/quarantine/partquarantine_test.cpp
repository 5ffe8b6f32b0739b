#include "daisystream/quarantine/partquarantine.h"

#include <doctest/doctest.h>

#include <string>

using namespace daisystream;
using namespace std::chrono_literals;

namespace
{

constexpr PartId kSystem = 1; // Of most prompts.
constexpr PartId kSubject = 2;
constexpr PartId kDeadly = 3;

const EndpointId kEngineA("a");
const EndpointId kEngineB("b");
const EndpointId kEngineC("c");

struct Fixture
{
    PartQuarantine quarantine{VmId("vm1"), Random(1)};
    ManualClock clock;

    /// Sends a request to an engine, which crashes under it after 300 ms.
    void crash(const EndpointId &engine, const std::vector<PartId> &parts)
    {
        const auto sentAt = clock.now();
        clock.advance(300ms);
        quarantine.onCrash(engine, parts, sentAt, clock.now(), clock.now());
    }

    [[nodiscard]] bool isRefused(const std::vector<PartId> &parts) const
    {
        return std::holds_alternative<PartBlocked>(quarantine.check(parts, clock.now()));
    }
};

} // namespace

// Guards against the loss of one engine after the other to one part of prompts.
TEST_CASE("a part under which two engines crashed one after the other is blocked")
{
    Fixture fixture;
    fixture.crash(kEngineA, {kSystem, kSubject, kDeadly});
    CHECK_FALSE(fixture.isRefused({kSystem, kDeadly}));
    fixture.crash(kEngineB, {kSystem, kDeadly});
    CHECK(fixture.isRefused({kSystem, kSubject, kDeadly}));
    CHECK(fixture.isRefused({kSystem, kDeadly}));
    const auto changes = fixture.quarantine.takeChanges();
    REQUIRE_FALSE(changes.empty());
    CHECK(changes.front().isBlocked);
}

// Guards sound requests that share other parts with those that crash engines.
TEST_CASE("requests with only some of the parts that always occurred together are not refused")
{
    Fixture fixture;
    fixture.crash(kEngineA, {kSystem, kSubject, kDeadly});
    fixture.crash(kEngineB, {kSystem, kSubject, kDeadly});
    CHECK(fixture.isRefused({kSystem, kSubject, kDeadly}));
    CHECK_FALSE(fixture.isRefused({kSystem, kSubject}));
    fixture.quarantine.onBegun({kSystem, kSubject}, fixture.clock.now(), fixture.clock.now());
    CHECK(fixture.isRefused({kDeadly}));
    CHECK_FALSE(fixture.isRefused({kSystem, kSubject}));
}

// Guards popular parts: they are present in each crash, and only a part that no request survives may be blocked.
TEST_CASE("a part with which requests begin between the crashes is not blocked")
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.crash(EndpointId("e" + std::to_string(i)), {kSystem});
        fixture.quarantine.onBegun({kSystem}, fixture.clock.now(), fixture.clock.now());
    }
    CHECK_FALSE(fixture.isRefused({kSystem}));
}

// Guards parts that were served up to the first crash, of which the next requests have not begun yet.
TEST_CASE("a part with which requests were served shortly before is blocked after more crashes only")
{
    Fixture fixture;
    fixture.quarantine.onBegun({kSystem}, fixture.clock.now(), fixture.clock.now());
    fixture.clock.advance(1s);
    for (int i = 0; i < 2; ++i) {
        fixture.crash(EndpointId("e" + std::to_string(i)), {kSystem});
    }
    CHECK_FALSE(fixture.isRefused({kSystem}));
    fixture.crash(kEngineA, {kSystem});
    CHECK(fixture.isRefused({kSystem}));
}

// Guards all parts that were at the engines of an availability zone when it failed.
TEST_CASE("engines that crash together count as one crash")
{
    Fixture fixture;
    const auto sentAt = fixture.clock.now();
    fixture.clock.advance(400ms);
    for (int i = 0; i < 10; ++i) {
        fixture.clock.advance(5ms);
        fixture.quarantine.onCrash(EndpointId("e" + std::to_string(i)), {kSystem}, sentAt + i * 20ms, fixture.clock.now(), fixture.clock.now());
    }
    CHECK_FALSE(fixture.isRefused({kSystem}));
}

// Guards against a resend of a request under which an engine crashed, which crashes another one.
TEST_CASE("a request is repeated after the first crash of its parts only")
{
    Fixture fixture;
    CHECK(fixture.quarantine.mayRepeat({kDeadly}, kEngineA));
    fixture.crash(kEngineA, {kDeadly});
    CHECK(fixture.quarantine.mayRepeat({kDeadly}, kEngineA));
    CHECK_FALSE(fixture.quarantine.mayRepeat({kDeadly}, kEngineB));
    CHECK_FALSE(fixture.quarantine.mayRepeat({kSystem, kDeadly}, kEngineB));
    CHECK(fixture.quarantine.mayRepeat({kSystem}, kEngineB));
}

// Guards against a block that lasts for ever, and against several VMs that try at the same time.
TEST_CASE("after the block one request is let through, and its beginning clears the part")
{
    Fixture fixture;
    fixture.crash(kEngineA, {kDeadly});
    fixture.crash(kEngineB, {kDeadly});
    (void)fixture.quarantine.takeNews(fixture.clock.now());
    const auto verdict = fixture.quarantine.check({kDeadly}, fixture.clock.now());
    const auto wait = std::get<PartBlocked>(verdict).retryAfter;
    CHECK(wait >= 5s);
    CHECK(wait < 6s);
    fixture.clock.advance(wait);
    CHECK(std::get<PartsAdmitted>(fixture.quarantine.admit({kDeadly}, fixture.clock.now())).isTrial);
    CHECK(fixture.isRefused({kDeadly}));
    CHECK(fixture.quarantine.takeNews(fixture.clock.now()).trials.size() == 1);
    fixture.quarantine.onBegun({kDeadly}, fixture.clock.now(), fixture.clock.now());
    CHECK_FALSE(fixture.isRefused({kDeadly}));
}

// Guards the engines: each trial that crashes one has to be followed by a longer block.
TEST_CASE("each further crash prolongs the block")
{
    Fixture fixture;
    fixture.crash(kEngineA, {kDeadly});
    fixture.crash(kEngineB, {kDeadly});
    Duration before{};
    for (int i = 0; i < 4; ++i) {
        const auto wait = std::get<PartBlocked>(fixture.quarantine.check({kDeadly}, fixture.clock.now())).retryAfter;
        CHECK(wait > 4 * before);
        before = wait;
        fixture.clock.advance(wait);
        CHECK(std::get<PartsAdmitted>(fixture.quarantine.admit({kDeadly}, fixture.clock.now())).isTrial);
        fixture.crash(EndpointId("e" + std::to_string(i)), {kDeadly});
    }
    CHECK(before <= 24h + 1s);
}

// Guards VMs that have not met a crash themselves.
TEST_CASE("what one VM saw counts for another one, in whatever order it is told")
{
    Fixture fixture;
    PartQuarantine other(VmId("vm2"), Random(2));
    fixture.crash(kEngineA, {kDeadly});
    const auto first = fixture.quarantine.takeNews(fixture.clock.now());
    const auto firstAt = fixture.clock.now();
    fixture.crash(kEngineB, {kDeadly});
    const auto now = fixture.clock.now();
    auto second = fixture.quarantine.takeNews(now);
    second.crashes.resize(1); // Without what is repeated because the part is blocked now.
    other.onNews(second, now);
    CHECK_FALSE(std::holds_alternative<PartBlocked>(other.check({kDeadly}, now)));
    auto late = first;
    late.crashes.front().sentAge += now - firstAt;
    late.crashes.front().crashAge += now - firstAt;
    other.onNews(late, now);
    other.onNews(late, now);
    CHECK(std::holds_alternative<PartBlocked>(other.check({kDeadly}, now)));
    other.onNews({.crashes = {}, .begun = {{.part = kDeadly, .age = 0ms}}, .trials = {}}, now);
    CHECK_FALSE(std::holds_alternative<PartBlocked>(other.check({kDeadly}, now)));
}

// Guards VMs that start after the crashes.
TEST_CASE("blocked parts are told to a VM that joins, and repeated")
{
    Fixture fixture;
    fixture.crash(kEngineA, {kSystem, kDeadly});
    fixture.crash(kEngineB, {kSubject, kDeadly});
    (void)fixture.quarantine.takeNews(fixture.clock.now());
    const auto now = fixture.clock.now() + 1s;
    fixture.quarantine.setVms({VmId("vm1"), VmId("vm2")});
    PartQuarantine late(VmId("vm2"), Random(2));
    late.onNews(fixture.quarantine.takeNews(now), now);
    CHECK(std::holds_alternative<PartBlocked>(late.check({kDeadly}, now)));
    CHECK(std::holds_alternative<PartsAdmitted>(late.check({kSystem}, now)));
    CHECK_FALSE(fixture.quarantine.repeatedNews(now).crashes.empty());
}

// Guards the control traffic: at 420 VMs a popular part begins at many of them at the same time.
TEST_CASE("a VM does not announce what another one has told meanwhile")
{
    Fixture fixture;
    fixture.quarantine.setVms(std::vector<VmId>(420, VmId("vm")));
    fixture.crash(kEngineA, {kSystem});
    (void)fixture.quarantine.takeNews(fixture.clock.now());
    fixture.quarantine.onBegun({kSystem}, fixture.clock.now(), fixture.clock.now());
    fixture.quarantine.onNews({.crashes = {}, .begun = {{.part = kSystem, .age = 0ms}}, .trials = {}}, fixture.clock.now());
    fixture.clock.advance(2s);
    CHECK(fixture.quarantine.takeNews(fixture.clock.now()).empty());
}

// Guards memory: neither the parts of sound requests nor those of crashes may pile up.
TEST_CASE("records of parts are bounded and forgotten")
{
    Fixture fixture;
    const PartQuarantineOptions options;
    for (PartId part = 0; part < 100000; ++part) {
        fixture.quarantine.onBegun({part}, fixture.clock.now(), fixture.clock.now());
        if (part % 10 == 0) {
            fixture.crash(kEngineC, {part + 1000000, part + 2000000});
        }
    }
    CHECK(fixture.quarantine.recordedParts() <= options.maxSuspects + 2 * options.maxKnown);
    fixture.clock.advance(1h);
    (void)fixture.quarantine.repeatedNews(fixture.clock.now());
    fixture.quarantine.onBegun({1}, fixture.clock.now(), fixture.clock.now());
    CHECK(fixture.quarantine.recordedParts() <= 1);
}

// Guards blocked parts when an engine crashes under a request with very many parts.
TEST_CASE("blocked parts are kept when there is no room for more suspects")
{
    Fixture fixture;
    fixture.crash(kEngineA, {kDeadly});
    fixture.crash(kEngineB, {kDeadly});
    for (int i = 0; i < 20; ++i) {
        std::vector<PartId> many;
        for (PartId part = 0; part < 200; ++part) {
            many.push_back(1000 + 1000 * static_cast<PartId>(i) + part);
        }
        fixture.crash(EndpointId("e" + std::to_string(i)), many);
    }
    CHECK(fixture.quarantine.blockedParts() == 1);
    const auto verdict = fixture.quarantine.admit({kDeadly}, fixture.clock.now());
    CHECK((std::holds_alternative<PartBlocked>(verdict) || std::get<PartsAdmitted>(verdict).isTrial));
}
