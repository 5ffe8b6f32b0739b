#include "daemon/peers/peer.capnp.h"
#include "daemon/peers/peermessage.h"
#include "daemon/store/listtable.h"

#include "daisystream/base/random.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <doctest/doctest.h>
#include <kj/io.h>

namespace daisystream
{
namespace
{

WorkRequest work(TimePoint now)
{
    WorkRequest request;
    request.id = RequestId("r1");
    request.team = TeamId("guides");
    request.entry = VmId("vm1");
    request.model = ModelId("assistant");
    request.promptTokens = 30;
    request.lengthClass = "summary";
    request.heldTokens = 12;
    request.mayRepeat = false;
    request.avoids = EndpointId("e2");
    request.barred = {EndpointId("e3"), EndpointId("e4")};
    request.movesFrom = RunningAt{.endpoint = EndpointId("e1"), .zone = ZoneId("z1")};
    request.lastUsefulFirstToken = now + std::chrono::seconds(9);
    request.mayMove = false;
    request.firstTokenDeadline = now + std::chrono::milliseconds(660);
    request.arrival = now - std::chrono::milliseconds(2);
    return request;
}

std::vector<StoreRevision> versionsOfTwoEpochs()
{
    std::vector<StoreRevision> versions;
    for (std::uint64_t kind = 0; kind < kDocumentKinds; ++kind) {
        versions.push_back({.epoch = kind % 2 + 1, .number = kind + 7});
    }
    return versions;
}

std::vector<PeerMessage> oneOfEach(TimePoint now)
{
    const CellId cell("assistant/0");
    const RequestId request("r1");
    const ForwardedOrder order{"ticket", TeamId("t"), ServiceId("booking"), "POST", "/seats", {{"content-type", "text/plain"}}, std::string("a\0b", 3)};
    return {
        HelloMessage{.vm = VmId("vm1"), .incarnation = 7, .zone = ZoneId("z1")},
        HeartbeatMessage{.sequence = 3,
                         .versions = versionsOfTwoEpochs(),
                         .stopping = true,
                         .cells = {{cell, 1, 2, 3}},
                         .heard = {{VmId("vm2"), 8, 9}},
                         .cutOff = true,
                         .reports = 11},
        AckMessage{3, {versionsOfTwoEpochs(), std::chrono::milliseconds(40)}},
        AckMessage{4, {std::vector<StoreRevision>(kDocumentKinds, {.epoch = 0, .number = 6}), {}, false, 2, false}},
        CheckMessage{.cell = cell, .running = {request, RequestId("r2")}, .unknown = {RequestId("r3")}},
        PingMessage{4},
        DocumentRequestMessage{1},
        DocumentMessage{.kind = 1, .version = {.epoch = 2, .number = 5}, .changeId = "c", .text = "{}", .vms = {VmId("vm2")}},
        AskMessage{cell, work(now)},
        QueuedMessage{cell, request},
        AssignMessage{cell, {request, EndpointId("e1"), 1}},
        RefuseMessage{cell, {request, {ResultCode::NoEndpoint, "none", std::chrono::milliseconds(50)}}},
        WithdrawMessage{cell, request},
        CancelMessage{cell, {request, EndpointId("e1")}},
        FirstTokenMessage{cell, request},
        FirstTokenMessage{.cell = cell, .request = request, .slownessPercent = 250, .slownessAge = std::chrono::milliseconds(40)},
        ProgressMessage{cell, {{request, 12}}},
        DoneMessage{cell, request, 40, FinishReason::MovedAway},
        ResyncMessage{cell, {{work(now), EndpointId("e1"), 5, true}}},
        ShareRequestMessage{TeamId("t"), 3, 40.5, 2},
        ShareGrantMessage{TeamId("t"), 2, 3, 40.5, std::chrono::milliseconds(2500)},
        OrderMessage{.number = 1, .incarnation = 2, .order = order},
        OrderReplyMessage{1, OrderReply{200, {{"a", "b"}}, "done"}},
        OrderReplyMessage{2, Error{ResultCode::TicketIssuerGone, "gone", {}}},
        NewsMessage{.origin = VmId("vm1"),
                    .relay = true,
                    .reports = {{.vm = VmId("vm2"), .reporter = VmId("vm3"), .kind = VmReport::Kind::Silent, .incarnation = 4, .sequence = 5, .cutOff = true}},
                    .endpoints = EndpointChanges{.after = {.epoch = 1, .number = 6},
                                                 .upTo = {.epoch = 2, .number = 9},
                                                 .changes = {{.name = "e1",
                                                              .entry = EndpointEntry{.name = "e1",
                                                                                     .service = ServiceId("s"),
                                                                                     .address = "10.0.0.1:80",
                                                                                     .zone = ZoneId("z1"),
                                                                                     .state = EndpointState::Draining,
                                                                                     .slots = 24,
                                                                                     .startedAt = 77,
                                                                                     .coldDuration = std::chrono::milliseconds(1700),
                                                                                     .revision = {.epoch = 2, .number = 8}},
                                                              .revision = {.epoch = 2, .number = 8}},
                                                             {.name = "e2", .entry = {}, .revision = {.epoch = 2, .number = 9}}}},
                    .documents = {{.kind = 4, .version = {.epoch = 3, .number = 12}}},
                    .leaving = {EndpointId("e3")},
                    .cells = {{cell, 1, 2, 3}},
                    .limits = {{.endpoint = EndpointId("e4"), .perSecond = 3.7, .age = std::chrono::milliseconds(30)}}},
        PermitAskMessage{
            {.number = 5,
             .request
             = {.endpoint = EndpointId("e4"), .vm = VmId("vm2"), .attempt = 6, .request = 7, .isUrgent = true, .patience = std::chrono::milliseconds(1300)},
             .statement = {.endpoint = EndpointId("e4"), .perSecond = 3.7, .age = std::chrono::milliseconds(30)},
             .coldPerSecond = 1.5}},
        PermitReplyMessage{
            {.number = 5, .endpoint = EndpointId("e4"), .outcome = PermitGranted{}, .statement = {.endpoint = EndpointId("e4"), .perSecond = 1, .age = {}}}},
        PermitReplyMessage{{.number = 6,
                            .endpoint = EndpointId("e4"),
                            .outcome = PermitDenied{.retryAfter = std::chrono::milliseconds(250),
                                                    .isPlaceKept = true,
                                                    .fullFor = std::chrono::milliseconds(20),
                                                    .pause = std::chrono::milliseconds(10)},
                            .statement = {.endpoint = EndpointId("e4"), .perSecond = 0, .age = {}}}},
        NewsMessage{.origin = VmId("vm1")},
        NewsMessage{.origin = VmId("vm1"),
                    .quarantine = {.crashes = {{.engine = EndpointId("e4"),
                                                .parts = {7, 0xffffffffffffffffU},
                                                .sentAge = std::chrono::milliseconds(250),
                                                .crashAge = std::chrono::milliseconds(20)}},
                                   .begun = {{.part = 8, .age = std::chrono::milliseconds(30)}},
                                   .trials = {{.part = 9, .age = std::chrono::milliseconds(40)}}}},
        NewsMessage{.origin = VmId("vm1"),
                    .slowness = {{.endpoint = EndpointId("e4"), .percent = 250, .at = now - std::chrono::milliseconds(50), .gainPercent = 70}}},
        SlownessMessage{{.endpoint = EndpointId("e4"), .percent = 40, .at = now - std::chrono::milliseconds(60), .relativePercent = 130}},
    };
}

// Guards against a field that is written but not read back, or read into another field.
TEST_CASE("every kind of message survives encoding")
{
    const TimePoint now = ManualClock().now();
    const auto messages = oneOfEach(now);
    for (const PeerMessage &message : messages) {
        CAPTURE(kindOf(message));
        const auto decoded = decodeMessage(encodeMessage(message, now), now);
        REQUIRE(std::holds_alternative<PeerMessage>(decoded));
        CHECK(std::get<PeerMessage>(decoded) == message);
    }
}

// Guards against a message that grows until the announcements alone need the 3 KB/s of control traffic of a VM. At 420 VMs with 23
// endpoints of plain services, some 11 announcements a second reach each VM, which sends as many bytes as it receives.
TEST_CASE("messages about slowness are small")
{
    const TimePoint now = ManualClock().now();
    const EndpointId endpoint("i-987e258391@1775572138842");
    const SlownessReport report{.endpoint = endpoint, .percent = 250, .at = now - std::chrono::milliseconds(50), .relativePercent = 240};
    CHECK(encodeMessage(SlownessMessage{report}, now).size() < 80);
    SlownessReport announced{.endpoint = endpoint, .percent = 250, .at = now - std::chrono::milliseconds(50), .gainPercent = 80};
    const auto size = encodeMessage(NewsMessage{.origin = VmId("edge-watzmann-1"), .relay = true, .slowness = {announced}}, now).size();
    MESSAGE("an announcement has ", size, " bytes");
    CHECK(size <= 125);
}

// Guards against input that crashes the process or is taken for a message: truncated and altered bytes must either
// decode to some message or be reported as malformed.
TEST_CASE("altered bytes never do more than fail to decode")
{
    const TimePoint now = ManualClock().now();
    constexpr std::uint64_t kSeed = 11;
    Random random(kSeed);
    int malformed = 0;
    for (const PeerMessage &message : oneOfEach(now)) {
        const std::string bytes = encodeMessage(message, now);
        for (int trial = 0; trial < 300; ++trial) {
            std::string altered = bytes.substr(0, 1 + random.below(bytes.size()));
            altered[random.below(altered.size())] = static_cast<char>(random.bits());
            malformed += std::holds_alternative<Error>(decodeMessage(altered, now)) ? 1 : 0;
        }
    }
    CHECK(malformed > 0);
    CHECK(std::holds_alternative<Error>(decodeMessage("", now)));
}

// Guards rolling upgrades: a daemon that does not know permits closes connections on which it is asked for one.
TEST_CASE("an acknowledgement of an older daemon does not state that it issues permits")
{
    const TimePoint now = ManualClock().now();
    capnp::MallocMessageBuilder builder;
    auto out = builder.initRoot<wire::Message>().initAck();
    out.setSequence(3);
    out.initVersions(kDocumentKinds);
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, builder);
    const auto decoded = decodeMessage({reinterpret_cast<const char *>(packed.getArray().begin()), packed.getArray().size()}, now);
    REQUIRE(std::holds_alternative<PeerMessage>(decoded));
    CHECK_FALSE(std::get<AckMessage>(std::get<PeerMessage>(decoded)).view.issuesPermits);
}

// Guards a rolling upgrade: a VM of a build without epochs states numbers only, which belong to no later epoch.
TEST_CASE("versions without epochs belong to the first epoch")
{
    const TimePoint now = ManualClock().now();
    capnp::MallocMessageBuilder builder;
    auto ack = builder.initRoot<wire::Message>().initAck();
    auto numbers = ack.initVersions(kDocumentKinds);
    numbers.set(4, 13);
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, builder);
    const std::string bytes(reinterpret_cast<const char *>(packed.getArray().begin()), packed.getArray().size());
    const auto message = std::get<PeerMessage>(decodeMessage(bytes, now));
    const auto &view = std::get<AckMessage>(message).view;
    CHECK(view.versions.at(4) == StoreRevision{.epoch = 0, .number = 13});
    CHECK(view.storeEpoch == 0);
}

// Guards the memory of a VM: packing shrinks zeros without bound, so that 200 bytes became millions of entries.
TEST_CASE("a few bytes do not become a message of many entries")
{
    const TimePoint now = ManualClock().now();
    capnp::MallocMessageBuilder builder;
    auto out = builder.initRoot<wire::Message>().initHeartbeat();
    out.initVersions(kDocumentKinds);
    out.initCells(100'000); // All of them zeros.
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, builder);
    const std::string bytes(reinterpret_cast<const char *>(packed.getArray().begin()), packed.getArray().size());
    CHECK(bytes.size() < 5'000);
    CHECK(std::holds_alternative<Error>(decodeMessage(bytes, now)));
    HeartbeatMessage heartbeat;
    heartbeat.versions.resize(kDocumentKinds);
    heartbeat.cells.assign(2'000, {CellId("model-with-a-name/17"), 1, 2, 3});
    CHECK(std::holds_alternative<PeerMessage>(decodeMessage(encodeMessage(heartbeat, now), now)));
}

} // namespace
} // namespace daisystream
