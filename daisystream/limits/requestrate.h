#pragma once

#include <optional>
#include <string_view>

/// @file
/// Parses the request rates that endpoints state in header fields.
///
/// Example:
/// @code
///   const std::optional<double> perSecond = parseRequestRate("3.7");
/// @endcode

namespace daisystream
{

/// @param text a decimal number of requests a second, without anything before or after it.
/// @return the rate; nothing if the text is not a finite positive number.
[[nodiscard]] std::optional<double> parseRequestRate(std::string_view text);

} // namespace daisystream
