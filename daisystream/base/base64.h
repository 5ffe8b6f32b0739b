#pragma once

#include <optional>
#include <string>
#include <string_view>

/// @file
/// Base64, as RFC 4648 defines it.
///
/// Example:
/// @code
///   const std::string text = toBase64(bytes);
///   const std::optional<std::string> back = fromBase64(text);
/// @endcode

namespace daisystream
{

[[nodiscard]] std::string toBase64(std::string_view bytes);

/// @return the bytes, or nothing if the text is not base64 with its padding.
[[nodiscard]] std::optional<std::string> fromBase64(std::string_view text);

/// @return the bytes in the URL-safe alphabet, without padding.
[[nodiscard]] std::string toBase64Url(std::string_view bytes);

/// @return the bytes, or nothing if the text is not spelt as `toBase64Url` does.
[[nodiscard]] std::optional<std::string> fromBase64Url(std::string_view text);

} // namespace daisystream
