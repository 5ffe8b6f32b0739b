#pragma once

#include <optional>
#include <string>
#include <string_view>

/// @file
/// URL-safe base64 without padding.

namespace daisystream::internal
{

[[nodiscard]] std::string toBase64(std::string_view bytes);
/// @return the bytes, or nothing if the text is not spelt as toBase64() does.
[[nodiscard]] std::optional<std::string> fromBase64(std::string_view text);

} // namespace daisystream::internal
