#pragma once

#include "daemon/peers/orderforwarding.h"
#include "daisystream/base/storerevision.h"
#include "daisystream/cell/cellmap.h"
#include "daisystream/endpoint/endpointdirectory.h"
#include "daisystream/limits/endpointpermits.h"
#include "daisystream/membership/fleetring.h"
#include "daisystream/quarantine/partquarantine.h"
#include "daisystream/scheduler/scheduler.h"
#include "daisystream/speed/slownesscollector.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// @file
/// The messages between VMs and their encoding (daemon/peers/peer.capnp, packed).
///
/// Example:
/// @code
///   const std::string bytes = encodeMessage(PingMessage{7}, now);
///   Result<PeerMessage> message = decodeMessage(bytes, now);
/// @endcode

namespace daisystream
{

/// Both ends of a connection must speak the same version.
constexpr std::uint32_t kPeerProtocolVersion = 4;

/// A longer message closes the connection. A whole list of 1,300 teams takes less than 1 MiB.
constexpr std::uint32_t kMaxPeerMessageBytes = 16U << 20U;

/// First message of each connection.
struct HelloMessage
{
    std::uint32_t protocolVersion = kPeerProtocolVersion;
    VmId vm;
    std::uint64_t incarnation = 0;
    ZoneId zone;

    friend auto operator<=>(const HelloMessage &, const HelloMessage &) = default;
};

/// Load of a cell as its owner sees it.
struct CellDigest
{
    CellId cell;
    std::uint32_t queuedUrgent = 0;
    std::uint32_t queuedOrdinary = 0;
    std::uint32_t running = 0;

    friend auto operator<=>(const CellDigest &, const CellDigest &) = default;
};

/// A heartbeat of another VM that the sender has received.
struct HeardVm
{
    VmId vm;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const HeardVm &, const HeardVm &) = default;
};

struct HeartbeatMessage
{
    std::uint64_t sequence = 0;
    std::vector<StoreRevision> versions; ///< Of the documents, by kind.
    bool stopping = false;
    std::vector<CellDigest> cells; ///< Owned by the sender.
    std::vector<HeardVm> heard;
    bool cutOff = false;       ///< The sender does not reach the platform.
    std::uint64_t reports = 0; ///< Digest of what it knows of who is live, see `FleetRing`; 0: it keeps no reports.

    friend auto operator<=>(const HeartbeatMessage &, const HeartbeatMessage &) = default;
};

/// What a VM knows of what is in force.
struct PeerView
{
    std::vector<StoreRevision> versions{};                 ///< Of the documents, by kind.
    std::optional<std::chrono::milliseconds> contactAge{}; ///< Since the platform last showed what is in force.
    bool issuesPermits = true;                             ///< Handles `PermitAskMessage`; an older daemon does not.
    std::uint64_t storeEpoch = 0;                          ///< Latest epoch that the platform has stated, as far as the sender knows.
    bool answersChecks = true;                             ///< Handles `CheckMessage`; an older daemon does not.

    friend auto operator<=>(const PeerView &, const PeerView &) = default;
};

/// Answers a heartbeat or ping on the same connection.
struct AckMessage
{
    std::uint64_t sequence = 0;
    PeerView view{}; ///< Of the sender at the moment of the answer.

    friend auto operator<=>(const AckMessage &, const AckMessage &) = default;
};

struct PingMessage
{
    std::uint64_t sequence = 0;

    friend auto operator<=>(const PingMessage &, const PingMessage &) = default;
};

struct DocumentRequestMessage
{
    std::uint8_t kind = 0;

    friend auto operator<=>(const DocumentRequestMessage &, const DocumentRequestMessage &) = default;
};

struct DocumentMessage
{
    std::uint8_t kind = 0;
    StoreRevision version{};
    std::string changeId;
    std::string text;
    std::vector<VmId> vms{}; ///< That the sender knows, itself included.

    friend auto operator<=>(const DocumentMessage &, const DocumentMessage &) = default;
};

struct AskMessage
{
    CellId cell;
    WorkRequest work;

    friend auto operator<=>(const AskMessage &, const AskMessage &) = default;
};

struct QueuedMessage
{
    CellId cell;
    RequestId request;

    friend auto operator<=>(const QueuedMessage &, const QueuedMessage &) = default;
};

struct AssignMessage
{
    CellId cell;
    Assign assign;

    friend auto operator<=>(const AssignMessage &, const AssignMessage &) = default;
};

struct RefuseMessage
{
    CellId cell;
    Refuse refuse;

    friend auto operator<=>(const RefuseMessage &, const RefuseMessage &) = default;
};

struct WithdrawMessage
{
    CellId cell;
    RequestId request;

    friend auto operator<=>(const WithdrawMessage &, const WithdrawMessage &) = default;
};

struct CancelMessage
{
    CellId cell;
    Cancel cancel;

    friend auto operator<=>(const CancelMessage &, const CancelMessage &) = default;
};

struct FirstTokenMessage
{
    CellId cell;
    RequestId request;
    std::uint32_t slownessPercent = 0; ///< Of the engine, as it stated it with the response; 100 is its usual pace, 0 not stated.
    Duration slownessAge{};            ///< Time since the engine stated it.

    friend auto operator<=>(const FirstTokenMessage &, const FirstTokenMessage &) = default;
};

/// Tokens of one request, in total.
struct RequestTokens
{
    RequestId request;
    std::uint32_t tokens = 0;

    friend auto operator<=>(const RequestTokens &, const RequestTokens &) = default;
};

struct ProgressMessage
{
    CellId cell;
    std::vector<RequestTokens> requests;

    friend auto operator<=>(const ProgressMessage &, const ProgressMessage &) = default;
};

struct DoneMessage
{
    CellId cell;
    RequestId request;
    std::uint32_t tokens = 0;
    FinishReason reason = FinishReason::Complete;

    friend auto operator<=>(const DoneMessage &, const DoneMessage &) = default;
};

/// Sent by the owner of a cell to an entry VM, so that both know the same requests as running. The entry VM replies with a `DoneMessage`
/// for each of `running` that it does not know, and with a `ResyncMessage` for those of `unknown` that run.
struct CheckMessage
{
    CellId cell;
    std::vector<RequestId> running{}; ///< Requests that run as far as the owner knows, and that it has not heard of for some time.
    std::vector<RequestId> unknown{}; ///< Requests that the owner was told of and does not know.

    friend auto operator<=>(const CheckMessage &, const CheckMessage &) = default;
};

/// One running answer of the sender.
struct RunningWork
{
    WorkRequest work;
    EndpointId endpoint;
    std::uint32_t tokens = 0;
    bool hasFirstToken = false;

    friend auto operator<=>(const RunningWork &, const RunningWork &) = default;
};

struct ResyncMessage
{
    CellId cell;
    std::vector<RunningWork> running;

    friend auto operator<=>(const ResyncMessage &, const ResyncMessage &) = default;
};

struct ShareRequestMessage
{
    TeamId team;
    std::uint32_t concurrency = 0;
    double tokensPerSecond = 0;
    std::uint64_t heldGrant = 0;

    friend auto operator<=>(const ShareRequestMessage &, const ShareRequestMessage &) = default;
};

struct ShareGrantMessage
{
    TeamId team;
    std::uint64_t grant = 0;
    std::uint32_t concurrency = 0;
    double tokensPerSecond = 0;
    std::chrono::microseconds validFor{};

    friend auto operator<=>(const ShareGrantMessage &, const ShareGrantMessage &) = default;
};

struct OrderMessage
{
    std::uint64_t number = 0;
    std::uint64_t incarnation = 0; ///< Of the VM that issued the ticket.
    ForwardedOrder order;

    friend auto operator<=>(const OrderMessage &, const OrderMessage &) = default;
};

struct OrderReplyMessage
{
    std::uint64_t number = 0;
    Result<OrderReply> reply;

    friend auto operator<=>(const OrderReplyMessage &, const OrderReplyMessage &) = default;
};

/// A version of a document that the sender has.
struct DocumentVersion
{
    std::uint8_t kind = 0;
    StoreRevision version{};

    friend auto operator<=>(const DocumentVersion &, const DocumentVersion &) = default;
};

/// What the whole fleet has to know soon.
struct NewsMessage
{
    VmId origin{};
    bool relay = false; ///< The receiver passes it on to the VMs of its zone.
    std::vector<VmReport> reports{};
    std::optional<EndpointChanges> endpoints{};
    std::vector<DocumentVersion> documents{};
    std::vector<EndpointId> leaving{}; ///< Endpoints that said in an answer that they leave.
    std::vector<CellDigest> cells{};   ///< Owned by the origin.
    std::vector<LimitStatement> limits{};
    QuarantineNews quarantine{}; ///< Of prompt parts that may crash engines.
    std::vector<SlownessReport> slowness{};

    friend auto operator<=>(const NewsMessage &, const NewsMessage &) = default;
};

struct PermitAskMessage
{
    PermitAsk ask;

    friend auto operator<=>(const PermitAskMessage &, const PermitAskMessage &) = default;
};

struct PermitReplyMessage
{
    PermitReply reply;

    friend auto operator<=>(const PermitReplyMessage &, const PermitReplyMessage &) = default;
};

/// A slowness that an endpoint reported, sent to the VM that collects the reports of the endpoint.
struct SlownessMessage
{
    SlownessReport report;

    friend auto operator<=>(const SlownessMessage &, const SlownessMessage &) = default;
};

using PeerMessage = std::variant<HelloMessage,
                                 HeartbeatMessage,
                                 AckMessage,
                                 PingMessage,
                                 DocumentRequestMessage,
                                 DocumentMessage,
                                 AskMessage,
                                 QueuedMessage,
                                 AssignMessage,
                                 RefuseMessage,
                                 WithdrawMessage,
                                 CancelMessage,
                                 FirstTokenMessage,
                                 ProgressMessage,
                                 DoneMessage,
                                 ResyncMessage,
                                 ShareRequestMessage,
                                 ShareGrantMessage,
                                 OrderMessage,
                                 OrderReplyMessage,
                                 NewsMessage,
                                 PermitAskMessage,
                                 PermitReplyMessage,
                                 SlownessMessage,
                                 CheckMessage>;

/// @return the name of the message's kind, as in the schema.
[[nodiscard]] const char *kindOf(const PeerMessage &message);

/// @param now turns times into durations, because VMs share no clock.
/// @return the packed message without its length.
[[nodiscard]] std::string encodeMessage(const PeerMessage &message, TimePoint now);

/// @return the message, or `PeerMalformedMessage`.
[[nodiscard]] Result<PeerMessage> decodeMessage(std::string_view bytes, TimePoint now);

} // namespace daisystream
