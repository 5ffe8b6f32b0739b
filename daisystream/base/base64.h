#pragma once

#include <optional>
#include <string>
#include <string_view>

/// @file
/// Base64 encoding and decoding as defined in RFC 4648.
///
/// Example:
/// @code
///   const std::string text = toBase64(bytes);
///   const std::optional<std::string> back = fromBase64(text);
/// @endcode

namespace daisystream
{

/// @return the bytes in the standard alphabet, with padding.
[[nodiscard]] std::string toBase64(std::string_view bytes);

/// @param text base64 in the standard alphabet, with padding.
/// @return the decoded bytes, or nothing if the text is not valid.
[[nodiscard]] std::optional<std::string> fromBase64(std::string_view text);

/// @return the bytes in the URL-safe alphabet, without padding.
[[nodiscard]] std::string toBase64Url(std::string_view bytes);

/// @param text base64 in the URL-safe alphabet, without padding.
/// @return the decoded bytes, or nothing if the text is not valid.
[[nodiscard]] std::optional<std::string> fromBase64Url(std::string_view text);

} // namespace daisystream
