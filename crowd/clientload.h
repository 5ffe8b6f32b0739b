#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Loads of clients that send as much as the limits allow, or more, and stop partway or do not read.
///
/// Example:
/// @code
///   if (const auto load = findLoad("body_whole", Place::Route)) {
///       Crowd crowd(io, *load, port);
///   }
/// @endcode

namespace daisystream::crowd
{

using std::chrono::milliseconds;

/// Path that the clients of a load send to.
enum class Place : std::uint8_t {
    Route,    ///< A path with a route.
    Unrouted, ///< A path without a route.
    Ready,    ///< The readiness path at the callers' port.
};

/// Limits that the test sets in the configuration. The body limit is a quarter of the platform's, so that few clients suffice.
constexpr unsigned kHeaderLimit = 16'384;
constexpr unsigned kBodyLimit = 1'048'576;
constexpr milliseconds kHeaderTime{3'000};
constexpr milliseconds kIdleTime{15'000};

/// What each client of a load does: it sends `head` and then `piece` again and again, and keeps its connection open.
struct ClientLoad
{
    std::string name;
    unsigned clients = 0;
    std::string head{};
    std::string piece{};
    std::uint64_t pieces = 0;
    milliseconds pause{0};    ///< Between two pieces; 0 sends as fast as the connection takes it.
    milliseconds readPause{}; ///< Between two reads of up to 256 bytes; 0 reads nothing.

    friend bool operator==(const ClientLoad &, const ClientLoad &) = default;
};

/// @return the names of all loads.
[[nodiscard]] std::vector<std::string> loadNames();

/// @return the load of that name at a place, nothing if there is none.
[[nodiscard]] std::optional<ClientLoad> findLoad(std::string_view name, Place place);

/// @return the place of that name (`route`, `unrouted` or `ready`), nothing if there is none.
[[nodiscard]] std::optional<Place> findPlace(std::string_view name);

} // namespace daisystream::crowd
