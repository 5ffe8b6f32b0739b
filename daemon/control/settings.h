#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"
#include "daisystream/endpoint/endpointinfo.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Settings of one daemon, read from a JSON file with comments. docs/settings.md describes every field.
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

/// @return "ip:port", with brackets around an IPv6 address.
[[nodiscard]] std::string toString(const SocketAddress &address);

/// @return the address in a text such as "127.0.0.1:8080" or "[::1]:8080", or nothing if the text is not one.
[[nodiscard]] std::optional<SocketAddress> parseSocketAddress(std::string_view text);

/// What an endpoint does.
enum class EndpointKind : std::uint8_t {
    Engine,  ///< Generates answers with a model.
    Service, ///< A plain service.
};

/// One configured endpoint.
struct EndpointSettings
{
    EndpointId id;
    SocketAddress address;
    ModelId model; ///< Of an engine.
    EndpointKind kind = EndpointKind::Engine;
    ServiceId service; ///< Of a plain service.
    ZoneId zone;
    std::uint64_t memoryTokens = 0;    ///< Capacity of an engine, 0 until its first report tells it.
    bool honoursFencing = true;        ///< Rejects orders with an outdated fencing number.
    bool checksCaller = false;         ///< Verifies who sends it work.
    std::string authorizationHeader{}; ///< Sent to an endpoint that checks its caller.
    std::string name{};                ///< Under which the endpoint registered itself; it can verify that it is meant.
    std::uint32_t slots = 0;           ///< Requests that it works on at the same time; 0: not known.
    bool isCold = false;               ///< Started a moment ago and slow.

    friend auto operator<=>(const EndpointSettings &, const EndpointSettings &) = default;
};

/// Another VM.
struct PeerSettings
{
    VmId vm;
    SocketAddress address; ///< Where it listens for other VMs.
    ZoneId zone;

    friend auto operator<=>(const PeerSettings &, const PeerSettings &) = default;
};

/// Files for TLS in PEM format.
struct TlsSettings
{
    std::string certificateFile;
    std::string keyFile;
    std::string authorityFile; ///< Certificates that peers must be signed by; unused towards callers.

    friend auto operator<=>(const TlsSettings &, const TlsSettings &) = default;
};

/// Files with lists, for a daemon without a platform.
struct ListFiles
{
    std::string plans;
    std::string limits;
    std::string sealKeys;

    friend auto operator<=>(const ListFiles &, const ListFiles &) = default;
};

/// Bounds on what one caller can occupy.
struct CallerBounds
{
    std::uint32_t headerBytes = 16384;
    std::uint32_t bodyBytes = 4U << 20U;
    std::uint32_t connections = 20000;
    std::chrono::milliseconds headerTime{10000};   ///< For a whole header.
    std::chrono::milliseconds bodyTime{30000};     ///< For a whole body.
    std::chrono::milliseconds idleTime{60000};     ///< Between two requests on one connection.
    std::chrono::milliseconds writeTime{10000};    ///< Until a caller has to accept further bytes.
    std::chrono::milliseconds resumeWindow{30000}; ///< How long an answer goes on after its caller has gone away.
    std::chrono::milliseconds serviceTime{30000};  ///< For the response of a plain service.

    friend auto operator<=>(const CallerBounds &, const CallerBounds &) = default;
};

/// What a deployment promises whose callers do not speak the own API but are forwarded by routes.
struct GatewaySettings
{
    std::chrono::milliseconds revocationTime{5000}; ///< After this no request with a key that was taken away may run.
    std::chrono::milliseconds graceTime{8000};      ///< From SIGTERM until the platform kills the process.
    std::chrono::milliseconds drainTime{2000};      ///< After this no request may reach an endpoint that announced to leave.
    double retryRatio = 0.2;                        ///< Repeats that a service may get for each request for it.
    double retryAllowance = 10;                     ///< Repeats that it may get beside these, within the window.
    std::chrono::milliseconds retryWindow{10000};
    double memoryQuantile = 0.9; ///< Probability with which an engine's memory must suffice for what it is given.
    double urgentReserve = 0.12; ///< Part of an engine that other work leaves to urgent work: one short prompt and its answer.
    StepCost stepCost{};         ///< Expected cost of a step of the engines.

    friend auto operator<=>(const GatewaySettings &, const GatewaySettings &) = default;
};

/// Everything that a daemon learns at its start.
struct Settings
{
    VmId vm;
    ZoneId zone;
    SocketAddress listen; ///< Where callers connect.
    unsigned workers = 2; ///< Threads that run the event loop.
    std::vector<EndpointSettings> endpoints;
    std::optional<SocketAddress> listenPeers;     ///< Where other VMs connect.
    std::optional<SocketAddress> advertisePeers;  ///< The address that other VMs are told, if it is not `listenPeers`.
    std::vector<PeerSettings> peers;              ///< Without this VM; the platform's VM list adds to them.
    std::optional<SocketAddress> listenOperators; ///< Where operators read status and metrics.
    std::optional<SocketAddress> listenReadiness; ///< Where the balancer asks whether this VM takes requests.
    std::optional<SocketAddress> platform;
    std::string platformProtocol = "own";   ///< Which protocol the platform, its callers and its endpoints speak.
    std::optional<GatewaySettings> gateway; ///< Set if callers are forwarded by routes.
    ListFiles listFiles;
    std::optional<TlsSettings> callerTls;
    std::optional<TlsSettings> peerTls;
    CallerBounds callers;

    friend auto operator<=>(const Settings &, const Settings &) = default;
};

/// Reads and checks a settings file.
/// @param path of the file.
/// @return the settings, or `InvalidDocument` with every fault found, one a line.
[[nodiscard]] Result<Settings> readSettings(const std::string &path);

/// Checks settings.
/// @param text JSON with comments.
/// @param fileName names the text in faults.
/// @return as `readSettings`.
[[nodiscard]] Result<Settings> parseSettings(const std::string &text, const std::string &fileName);

} // namespace daisystream
