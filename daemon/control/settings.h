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
/// The settings of a daemon, which are read from a JSON file with comments. docs/settings.md describes every field.
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

/// Parses an address such as "127.0.0.1:8080" or "[::1]:8080".
/// @return the address, or nothing if the text is malformed.
[[nodiscard]] std::optional<SocketAddress> parseSocketAddress(std::string_view text);

/// The type of an endpoint.
enum class EndpointKind : std::uint8_t {
    Engine,  ///< Generates answers with a model.
    Service, ///< Handles ordinary HTTP requests, one response for each.
};

/// One configured endpoint.
struct EndpointSettings
{
    EndpointId id;
    SocketAddress address;
    ModelId model; ///< The model that an engine serves; empty for other kinds.
    EndpointKind kind = EndpointKind::Engine;
    ServiceId service; ///< The service that the endpoint belongs to; required for a plain service.
    ZoneId zone;
    std::uint64_t memoryTokens = 0;    ///< Capacity of an engine's KV cache in tokens; 0 until its first load report.
    bool honoursFencing = true;        ///< Whether the endpoint rejects orders with an outdated fencing number.
    bool checksCaller = false;         ///< Whether the endpoint authenticates the sender of work.
    std::string authorizationHeader{}; ///< `Authorization` header field for an endpoint with `checksCaller`.
    std::string name{};                ///< Name by which the endpoint registered itself. Requests carry it, so that another endpoint can reject them.
    std::uint32_t slots = 0;           ///< Number of requests that it processes concurrently; 0 if unknown.
    bool isCold = false;               ///< Whether it was started recently and is still slow.

    friend auto operator<=>(const EndpointSettings &, const EndpointSettings &) = default;
};

/// Another VM of the fleet.
struct PeerSettings
{
    VmId vm;
    SocketAddress address; ///< Where it listens for other VMs.
    ZoneId zone;

    friend auto operator<=>(const PeerSettings &, const PeerSettings &) = default;
};

/// Paths of files in PEM format for TLS.
struct TlsSettings
{
    std::string certificateFile;
    std::string keyFile;
    std::string authorityFile; ///< CA certificates that must have signed the certificates of peers; unused for callers.

    friend auto operator<=>(const TlsSettings &, const TlsSettings &) = default;
};

/// Paths of the files with configuration lists, for a daemon without a platform.
struct ListFiles
{
    std::string plans;
    std::string limits;
    std::string sealKeys;

    friend auto operator<=>(const ListFiles &, const ListFiles &) = default;
};

/// Limits for the connections and requests of callers. Sizes of headers and bodies are in bytes.
struct CallerResourceLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint32_t bodyBytes = 4U << 20U;
    std::uint32_t connections = 20000;             ///< Limit for open connections of all callers.
    std::uint32_t fields = 256;                    ///< Limit for the fields of a header.
    std::uint32_t receiveBufferBytes = 65536;      ///< Receive buffer of a connection in the kernel; 0 leaves the system's.
    std::uint32_t bodyBytesPerSecond = 1024;       ///< Slower bodies are refused after `bodyStallTime`.
    std::chrono::milliseconds bodyStallTime{5000}; ///< Limit between two parts of a body.
    std::chrono::milliseconds headerTime{10000};   ///< Limit for receiving a whole header.
    std::chrono::milliseconds bodyTime{30000};     ///< Limit for receiving a whole body.
    std::chrono::milliseconds idleTime{60000};     ///< Limit between two requests on one connection.
    std::chrono::milliseconds writeTime{10000};    ///< Limit for a caller to accept further bytes.
    std::chrono::milliseconds resumeWindow{30000}; ///< How long an answer is still generated after its caller has disconnected.
    std::chrono::milliseconds serviceTime{30000};  ///< Limit for the response of a plain service.

    friend auto operator<=>(const CallerResourceLimits &, const CallerResourceLimits &) = default;
};

/// Settings of the gateway, which forwards requests of callers by routes. Unset in deployments whose callers use the
/// product's own API.
struct GatewaySettings
{
    std::chrono::milliseconds revocationTime{5000}; ///< Time limit after which no request with a revoked key may run.
    std::chrono::milliseconds graceTime{8000};      ///< Time from SIGTERM until the platform kills the process.
    std::chrono::milliseconds drainTime{2000};      ///< Time after which no request may reach an endpoint that announced that it is leaving.
    double retryRatio = 0.2;                        ///< Retries that a service may get for each of its requests.
    double retryAllowance = 10;                     ///< Additional retries that it may get within `retryWindow`.
    std::chrono::milliseconds retryWindow{10000};   ///< Period over which requests and retries are counted.
    double memoryQuantile = 0.9;                    ///< Probability that an engine's memory must suffice for the work assigned to it.
    double urgentReserve = 0.12;                    ///< Fraction of an engine that is reserved for urgent work: about one short prompt and its answer.
    StepCost stepCost{};                            ///< Expected time cost of one step of an engine.

    friend auto operator<=>(const GatewaySettings &, const GatewaySettings &) = default;
};

/// All settings of a daemon.
struct Settings
{
    VmId vm;
    ZoneId zone;
    SocketAddress listen; ///< Address for callers.
    unsigned workers = 2; ///< Threads that run the event loop.
    std::vector<EndpointSettings> endpoints;
    std::optional<SocketAddress> listenPeers;     ///< Address for other VMs.
    std::optional<SocketAddress> advertisePeers;  ///< Address that is announced to other VMs, if it differs from `listenPeers`.
    std::vector<PeerSettings> peers;              ///< The other VMs; the platform's VM list adds to them.
    std::optional<SocketAddress> listenOperators; ///< Address for operators, who read status and metrics there.
    std::optional<SocketAddress> listenReadiness; ///< Address for the load balancer's readiness checks.
    std::optional<SocketAddress> platform;        ///< Address of the platform's store; unset if the lists come from files.
    std::string platformProtocol = "own";         ///< Protocol of the platform, its callers and its endpoints.
    std::optional<GatewaySettings> gateway;       ///< Set if requests of callers are forwarded by routes.
    ListFiles listFiles;
    std::optional<TlsSettings> callerTls;
    std::optional<TlsSettings> peerTls;
    CallerResourceLimits callers;
    std::uint32_t memoryMegabytes = 0; ///< Memory of the VM; 0: that of the machine.
    std::uint32_t descriptors = 0;     ///< Descriptors that the process may have open; 0: its limit at the start.

    friend auto operator<=>(const Settings &, const Settings &) = default;
};

/// Reads and checks a settings file.
/// @param path the path of the file.
/// @return the settings, or `InvalidDocument` with one line for each error found.
[[nodiscard]] Result<Settings> readSettings(const std::string &path);

/// Parses and checks settings.
/// @param text JSON with comments.
/// @param fileName the file name in error messages.
/// @return the same as `readSettings`.
[[nodiscard]] Result<Settings> parseSettings(const std::string &text, const std::string &fileName);

/// What the machine gives the process.
struct MachineLimits
{
    std::uint64_t memoryBytes = 0;
    std::uint64_t descriptors = 0;

    friend auto operator<=>(const MachineLimits &, const MachineLimits &) = default;
};

/// Limits for all callers together.
struct TotalCallerLimits
{
    std::uint64_t memoryBytes = 0;
    std::size_t connections = 0;

    friend auto operator<=>(const TotalCallerLimits &, const TotalCallerLimits &) = default;
};

/// @param machine used where the settings state nothing.
/// @return the limits that follow from the memory and the descriptors of the VM.
[[nodiscard]] TotalCallerLimits totalCallerLimits(const Settings &settings, const MachineLimits &machine);

} // namespace daisystream
