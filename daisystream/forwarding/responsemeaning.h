#pragma once

#include <compare>
#include <cstdint>

/// @file
/// Decides what the response of an endpoint means for the request that was sent to it, and whether the caller may get the response.
///
/// Example:
/// @code
///   const auto meaning = meaningOf({.status = 503, .statesNotRun = false, .isVerified = true, .isForOtherRequest = false});
///   if (meaning == ResponseMeaning::Failure) {
///       forward(response);
///   }
/// @endcode

namespace daisystream
{

/// What a response says of the request that was sent.
enum class ResponseMeaning : std::uint8_t {
    NotRun,   ///< The endpoint did not run the request and will not.
    Success,  ///< The endpoint's successful response. The caller gets it unchanged.
    Failure,  ///< The endpoint's failure. The caller may get it unchanged.
    Unproven, ///< The request may have run, and the caller must not get the response.
};

/// The facts about a response that decide its meaning.
struct ResponseFacts
{
    unsigned status = 0;            ///< HTTP status.
    bool statesNotRun = false;      ///< The response states that the endpoint did not run the request that it belongs to.
    bool isVerified = false;        ///< The response carries the endpoint's proof of identity.
    bool isForOtherRequest = false; ///< The response names another request than the one that was sent.

    friend auto operator<=>(const ResponseFacts &, const ResponseFacts &) = default;
};

/// @param status an HTTP status.
/// @return whether callers conclude from the status alone that their request has not run and will not, so that they send it again.
[[nodiscard]] bool impliesNotRun(unsigned status);

/// Only an explicit statement about this request shows that it has not run. A status that implies it without that statement is
/// `Unproven`, since endpoints also send such statuses after they have run a request.
/// @return the meaning of a complete response.
[[nodiscard]] ResponseMeaning meaningOf(const ResponseFacts &facts);

} // namespace daisystream
