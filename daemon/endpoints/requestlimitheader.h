#pragma once

/// @file
/// Header in which endpoints of the own interface state how many requests a second they take from all VMs together.
///
/// Example:
/// @code
///   const auto limit = parseRequestRate(std::string(response[kRequestLimitHeader]));
/// @endcode

namespace daisystream
{

/// A decimal number. The limit holds until the endpoint states another one or responds without this header.
constexpr const char *kRequestLimitHeader = "X-Requests-Per-Second";

} // namespace daisystream
