#pragma once

#include <cstdint>
#include <string_view>

/// @file
/// A hash that all VMs compute alike, whatever their standard library and build.
///
/// Example:
/// @code
///   const std::uint64_t score = stableHash(endpoint.value() + '/' + cell.value());
/// @endcode

namespace daisystream
{

/// Not cryptographic. FNV-1a mixes the last bytes too little for texts that differ only there, hence the final mixing steps.
/// @param seed distinguishes several hashes of one text.
[[nodiscard]] std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace daisystream
