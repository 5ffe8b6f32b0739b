#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"

#include <cstdint>
#include <string>
#include <vector>

/// @file
/// Settings of one daemon, read from a JSON file with comments.
///
/// Example:
/// @code
///   Result<Settings> settings = readSettings("vm1.json");
/// @endcode

namespace daisystream
{

/// An IP address and port.
struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const SocketAddress &, const SocketAddress &) = default;
};

/// One configured endpoint.
struct EndpointSettings
{
    EndpointId id;
    SocketAddress address;
    ModelId model;

    friend auto operator<=>(const EndpointSettings &, const EndpointSettings &) = default;
};

/// Everything that a daemon learns at its start.
struct Settings
{
    VmId vm;
    ZoneId zone;
    SocketAddress listen; ///< Where callers connect.
    unsigned workers = 2; ///< Threads that run the event loop.
    std::vector<EndpointSettings> endpoints;

    friend auto operator<=>(const Settings &, const Settings &) = default;
};

/// Reads and checks a settings file.
/// @param path of the file.
/// @return the settings, or `InvalidDocument` with every fault found.
[[nodiscard]] Result<Settings> readSettings(const std::string &path);

} // namespace daisystream
