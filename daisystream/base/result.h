#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// @file
/// The numbered result codes, and the variant type that holds either a value or an error.
///
/// Example:
/// @code
///   Result<PlanList> plans = parsePlans(text, "plans.json");
///   if (const Error *error = std::get_if<Error>(&plans)) {
///       LOG(ERROR) << error->detail;
///   }
/// @endcode

namespace daisystream
{

/// Why an operation failed. The numbers are part of the public interface; docs/result-codes.md explains each code.
enum class ResultCode : std::uint16_t {
    // 1xx: faults of the request or its caller.
    MissingKey = 101,
    UnknownKey = 102,
    ModelNotAllowed = 103,
    ServiceNotAllowed = 104,
    MalformedRequest = 105,
    RequestTooLarge = 106,
    HeaderTooLarge = 107,
    ForgedResumeId = 108,
    ExpiredResumeId = 109,
    ForeignResumeId = 110,
    UnknownModel = 111,
    UnknownService = 112,
    UnknownPath = 113,
    CallerTooSlow = 114,
    CallerLeft = 115,
    // 2xx: capacity, limits and deadlines.
    ConcurrencyLimit = 201,
    RateLimit = 202,
    PromiseCannotBeMet = 203,
    QueueDeadlinePassed = 204,
    NoEndpoint = 205,
    RetryBudgetSpent = 206,
    TimeLimitPassed = 207,
    PromptQuarantined = 208,
    NoMemory = 209,
    // 3xx: states in which the VM accepts no requests.
    Stopping = 301,
    NoLists = 302,
    Isolated = 303,
    // 4xx: failures of endpoints.
    EndpointUnreachable = 401,
    EndpointSilent = 402,
    EndpointRefused = 403,
    EndpointProtocol = 404,
    EndpointReclaimed = 405,
    SequenceGap = 406,
    ForeignGeneration = 407,
    GenerationLost = 408,
    // 5xx: the platform's storage and the lists of plans and limits kept in it.
    PlatformUnavailable = 501,
    WriteConflict = 502,
    OutcomeOfWriteUnknown = 503,
    InvalidDocument = 504,
    VersionBehind = 505,
    LeaseLost = 506,
    StaleFencingNumber = 507,
    // 6xx: orders (requests that must run at most once).
    OrderInProgress = 601,
    OrderOutcomeUnknown = 602,
    TicketExpired = 603,
    TicketForged = 604,
    TicketIssuerGone = 605,
    OrderNeedsKey = 606,
    // 7xx: communication between VMs.
    PeerUnreachable = 701,
    PeerVersionMismatch = 702,
    PeerMalformedMessage = 703,
};

/// @return the name of the enumerator, or "Unknown" if the value has none.
[[nodiscard]] const char *toString(ResultCode code);

/// A failed operation and its reason.
struct Error
{
    ResultCode code = ResultCode::MalformedRequest;
    std::string detail;                                    ///< Human-readable description; several problems are separated by newlines.
    std::optional<std::chrono::milliseconds> retryAfter{}; ///< After this time a retry can succeed; empty if that is not known.

    friend auto operator<=>(const Error &, const Error &) = default;
};

/// Either the value of a successful operation or the error.
template<class T>
using Result = std::variant<T, Error>;

} // namespace daisystream
