#pragma once

#include "daemon/control/settings.h"
#include "daemon/frontend/httpreply.h"
#include "daisystream/balancing/servicebalancer.h"
#include "daisystream/base/result.h"
#include "daisystream/forwarding/responsemeaning.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Interface to the HTTP conventions of a deployment: which header fields carry the information that the gateway exchanges with
/// callers and endpoints.
///
/// Example:
/// @code
///   const CallerHeaders head = dialect.readCaller(request);
///   const HttpRequest forwarded = dialect.toEndpoint(request, options);
/// @endcode

namespace daisystream
{

/// Information from the header of a caller's request.
struct CallerHeaders
{
    std::string attempt;                           ///< The caller's id of this attempt; empty if it sent none.
    std::string key;                               ///< The caller's API key; empty if it sent none.
    std::optional<std::chrono::milliseconds> wait; ///< How long the caller waits for the response, if it states that.
    std::string model{};
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;        ///< 0 if the caller does not state it.
    std::uint64_t prefixHash = 0;             ///< Hash of the first part of the prompt; 0 if the caller does not state it.
    std::vector<std::uint64_t> sharedParts{}; ///< Ids of the prompt's parts that other requests may have in common with it.

    friend auto operator<=>(const CallerHeaders &, const CallerHeaders &) = default;
};

/// Refers to the memory (KV cache) of an answer at an engine, from which another run can resume the answer.
struct AnswerMemory
{
    SocketAddress holder; ///< Address of the engine that issued the handle.
    std::string handle;   ///< Opaque id that the engine chose.

    friend auto operator<=>(const AnswerMemory &, const AnswerMemory &) = default;
};

/// What the gateway adds to a request that it sends to an endpoint.
struct EndpointOptions
{
    std::string endpointName;                ///< The addressed endpoint; a different endpoint at the same address rejects the request.
    std::chrono::milliseconds timeLeft{0};   ///< The endpoint stops working on the request after this time.
    std::optional<TeamId> team{};            ///< The team of the caller's key.
    std::optional<std::uint32_t> priority{}; ///< Scheduling priority for engines; 0 is the most urgent.
    std::optional<std::string> lastEvent{};  ///< Id of the event after which the answer resumes.
    std::optional<AnswerMemory> memory{};    ///< The memory from which the answer resumes.

    friend auto operator<=>(const EndpointOptions &, const EndpointOptions &) = default;
};

/// Information from the header of an endpoint's response, beside the status.
struct EndpointHeaders
{
    bool provenNotRun = false; ///< The endpoint did not run the request and will not.
    bool isVerified = false;   ///< The response carries the endpoint's proof of identity.
    std::string attempt;       ///< Id of the attempt that this is the response to; empty if not stated.
    std::optional<ReportedLoad> load;
    std::optional<std::chrono::milliseconds> retryAfter;
    bool isLeaving = false;                    ///< The endpoint is shutting down and accepts requests only for a short time.
    bool isThrottled = false;                  ///< The endpoint asks this VM to send no requests for the time `retryAfter`.
    std::optional<double> requestsPerSecond{}; ///< Limit that the endpoint states for the requests of all VMs together.

    friend auto operator<=>(const EndpointHeaders &, const EndpointHeaders &) = default;
};

/// @param status HTTP status of the response.
/// @param isForOtherRequest whether the response names another attempt than the one that was sent.
/// @return the facts that decide the meaning of a response.
[[nodiscard]] inline ResponseFacts factsOf(unsigned status, const EndpointHeaders &head, bool isForOtherRequest)
{
    return {.status = status, .statesNotRun = head.provenNotRun, .isVerified = head.isVerified, .isForOtherRequest = isForOtherRequest};
}

/// @return what the response proves about the request, for log lines: "not_run", "verified" or "none".
[[nodiscard]] inline const char *proofText(const EndpointHeaders &head)
{
    return head.provenNotRun ? "not_run" : head.isVerified ? "verified" : "none";
}

/// An engine's reply to a request to copy a running answer's memory to another engine.
struct MoveReply
{
    enum class Outcome : std::uint8_t {
        Copied,
        NoSuchRun,         ///< The engine does not run the answer.
        InProgress,        ///< An earlier copy request for the same run has not ended.
        TargetUnavailable, ///< The target engine lacks memory or cannot be reached.
        InvalidReply,      ///< There was no reply, or it could not be parsed.
    };

    Outcome outcome = Outcome::InvalidReply;
    std::string handle{};     ///< Handle of the copied memory; empty if there is none.
    std::uint64_t events = 0; ///< Events that the engine has generated for the answer so far.

    friend auto operator<=>(const MoveReply &, const MoveReply &) = default;
};

/// Translates between the gateway and the header fields of a deployment. Implementations are stateless, so that threads can share
/// them.
class GatewayDialect
{
public:
    virtual ~GatewayDialect() = default;

    /// @return the information in the header of a caller's request.
    [[nodiscard]] virtual CallerHeaders readCaller(const HttpRequest &request) const = 0;

    /// @return the request as it is sent to an endpoint: with unchanged method, path and body, without header fields that
    ///     concern only the caller's connection or the gateway, and with header fields for `options`.
    [[nodiscard]] virtual HttpRequest toEndpoint(const HttpRequest &request, const EndpointOptions &options) const = 0;

    /// @return the information in the header of an endpoint's response.
    [[nodiscard]] virtual EndpointHeaders readEndpoint(const HttpResponse &response) const = 0;

    /// @return the response as it is sent to the caller, without header fields that concern only the endpoint's connection.
    [[nodiscard]] virtual HttpResponse toCaller(const HttpResponse &response) const = 0;

    /// @param source name of the engine that runs the answer; a different one at the same address rejects the request. Empty if unknown.
    /// @param attempt the attempt id by which the engine knows the answer.
    /// @param to address of the target engine.
    /// @param isLast whether the engine stops generating the answer before it copies, so that the answer can only resume from
    ///     the copy.
    /// @return the request to an engine to copy the memory of a running answer to another engine.
    [[nodiscard]] virtual HttpRequest moveRequest(const std::string &source, const std::string &attempt, const SocketAddress &to, bool isLast) const = 0;

    /// @return the parsed response to a `moveRequest`.
    [[nodiscard]] virtual MoveReply readMove(const HttpResponse &response) const = 0;

    /// @return the request to drop a copy that is no longer needed. It is sent to the engine that issued the handle.
    [[nodiscard]] virtual HttpRequest dropRequest(const std::string &handle) const = 0;

    /// @return the value of the `Retry-After` header field for `wait`.
    [[nodiscard]] virtual std::string retryAfterText(std::chrono::milliseconds wait) const = 0;
};

} // namespace daisystream
