#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// @file
/// Numbered result codes and the variant that carries a value or an error.
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

/// Why something was not done. The numbers are part of the interface and listed in docs/result-codes.md.
enum class ResultCode : std::uint16_t {
    // 1xx: the caller's request.
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
    // 2xx: capacity and limits.
    ConcurrencyLimit = 201,
    RateLimit = 202,
    PromiseCannotBeMet = 203,
    QueueDeadlinePassed = 204,
    NoEndpoint = 205,
    RetryBudgetSpent = 206,
    TimeLimitPassed = 207,
    // 3xx: the VM.
    Stopping = 301,
    NoLists = 302,
    Isolated = 303,
    // 4xx: endpoints.
    EndpointUnreachable = 401,
    EndpointSilent = 402,
    EndpointRefused = 403,
    EndpointProtocol = 404,
    EndpointReclaimed = 405,
    SequenceGap = 406,
    ForeignGeneration = 407,
    GenerationLost = 408,
    // 5xx: the platform and the lists.
    PlatformUnavailable = 501,
    WriteConflict = 502,
    OutcomeOfWriteUnknown = 503,
    InvalidDocument = 504,
    VersionBehind = 505,
    LeaseLost = 506,
    StaleFencingNumber = 507,
    // 6xx: orders.
    OrderInProgress = 601,
    OrderOutcomeUnknown = 602,
    TicketExpired = 603,
    TicketForged = 604,
    TicketIssuerGone = 605,
    OrderNeedsKey = 606,
    // 7xx: between VMs.
    PeerUnreachable = 701,
    PeerVersionMismatch = 702,
    PeerMalformedMessage = 703,
};

/// @return the name of the code, as in the enumeration.
[[nodiscard]] const char *toString(ResultCode code);

/// A failure with its reason.
struct Error
{
    ResultCode code = ResultCode::MalformedRequest;
    std::string detail;                                    ///< One line for a person.
    std::optional<std::chrono::milliseconds> retryAfter{}; ///< When a repeat can succeed, if that is known.

    friend auto operator<=>(const Error &, const Error &) = default;
};

/// A value, or the reason for its absence.
template<class T>
using Result = std::variant<T, Error>;

} // namespace daisystream
