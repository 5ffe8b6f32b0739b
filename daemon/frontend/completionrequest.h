#pragma once

#include "daemon/frontend/callerauth.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The body of a completion request, checked, and what is sent to the engine for it.
///
/// Example:
/// @code
///   const auto parsed = parseCompletion(request.body(), chat, grant);
/// @endcode

namespace daisystream
{

/// A checked completion request.
struct CompletionRequest
{
    ModelId model;
    bool chat = false;
    bool stream = false;
    std::uint32_t promptTokens = 0;     ///< Estimated.
    std::uint32_t maxOutputTokens = 0;  ///< The smaller of the caller's and the plan's limit; 0: no limit.
    std::vector<std::uint64_t> parts{}; ///< Ids of the prompt's messages, or of its paragraphs if it is one text.
    std::uint64_t prefixHash = 0;       ///< Of the first block of the prompt; 0 if the prompt is shorter than a block.
    std::string engineBody;             ///< JSON for the engine.
};

/// @return the hash of the prompt's first block; 0 if the prompt is shorter. The stand-in engine's cache events carry the same
///     hash.
[[nodiscard]] std::uint64_t prefixHashOf(std::string_view prompt);

/// Checks a body.
/// @return the request; `MalformedRequest` with the field at fault; `ModelNotAllowed`.
[[nodiscard]] Result<CompletionRequest> parseCompletion(const std::string &body, bool chat, const CallerGrant &grant);

} // namespace daisystream
