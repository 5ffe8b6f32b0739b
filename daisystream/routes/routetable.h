#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

/// @file
/// The routes of a deployment: which service serves a path, which requests may be retried, and which team an API key belongs
/// to.
///
/// A table is one version of the configuration. It is immutable; a newer version replaces the whole table.
///
/// Example:
/// @code
///   const Route *route = table.find("api.example", "/orders/7");
///   if (route == nullptr) { ... }
///   const TeamEntry *team = table.findTeam(key);
/// @endcode

namespace daisystream
{

using RouteName = Id<struct RouteTag>; ///< Name of a route in the configuration.

/// A call that may be executed any number of times.
struct SafeCall
{
    friend auto operator<=>(const SafeCall &, const SafeCall &) = default;
};

/// A call that may be executed at most once for each attempt of a caller.
struct UnsafeCall
{
    friend auto operator<=>(const UnsafeCall &, const UnsafeCall &) = default;
};

/// A generated answer, delivered as server-sent events.
struct AnswerStream
{
    bool resumable = false;                   ///< Whether another execution can continue after the last delivered event.
    std::chrono::milliseconds maxEventGap{0}; ///< Target for the largest time between two events; 0 if there is none.

    friend auto operator<=>(const AnswerStream &, const AnswerStream &) = default;
};

using RequestKind = std::variant<SafeCall, UnsafeCall, AnswerStream>;

/// @return whether a request of this kind may be executed more than once.
[[nodiscard]] bool isIdempotent(const RequestKind &kind);

/// A service that gets a part of a route's requests.
struct WeightedService
{
    ServiceId service{};
    double weight = 1; ///< The part is this weight divided by the sum over the services of the route.

    friend auto operator<=>(const WeightedService &, const WeightedService &) = default;
};

/// One route of the configuration: the requests that it matches and how they are served.
struct Route
{
    RouteName name{};
    std::string host{};   ///< Host name without a port.
    std::string prefix{}; ///< Prefix of the path; begins and ends with a slash.
    RequestKind kind{};
    std::vector<WeightedService> services{}; ///< At least one service.
    std::chrono::milliseconds timeout{0};    ///< Time within which a request gets its complete response.
    std::chrono::milliseconds goal{0};       ///< Response-time objective; for streams, the time until the first event.
    std::uint32_t attempts = 1;              ///< Maximum number of endpoints to which one request is sent.
    std::uint32_t priority = 0;              ///< Priority of the requests; 0 is the most urgent.
    bool isPublic = false;                   ///< Whether requests need no API key.

    friend auto operator<=>(const Route &, const Route &) = default;
};

/// Properties that are the same for all engines of a service.
struct EngineProfile
{
    std::uint32_t batch = 1;          ///< Answers that are decoded at the same time.
    std::uint64_t memoryTokens = 0;   ///< Memory for running answers and cached prompts, in tokens.
    std::uint64_t bytesPerToken = 0;  ///< Size of one token of that memory when it is copied to another engine.
    double linkMegabitsPerSecond = 0; ///< Bandwidth of an engine for such copies.
    std::uint32_t tokensPerEvent = 1; ///< Number of tokens in one event of a stream.
    bool canMoveAnswers = false;      ///< Whether a running answer can be moved to another engine.

    friend auto operator<=>(const EngineProfile &, const EngineProfile &) = default;
};

/// A service of the configuration.
struct ServiceProfile
{
    ServiceId id{};
    std::uint32_t maxConnections = 0;      ///< Connections that one endpoint accepts from all VMs together.
    double coldRequestsPerSecond = 0;      ///< Requests a second that a cold endpoint accepts from all VMs together; 0: no limit.
    std::optional<EngineProfile> engine{}; ///< Set if the endpoints of the service are engines.

    friend auto operator<=>(const ServiceProfile &, const ServiceProfile &) = default;
};

/// Limits of the requests and connections of callers.
struct CallerLimits
{
    std::uint64_t headerBytes = 16384;           ///< Maximum size of a request header.
    std::uint64_t bodyBytes = 4194304;           ///< Maximum size of a request body.
    std::chrono::milliseconds headerTime{10000}; ///< Time within which a request header must be complete.
    std::chrono::milliseconds idleTime{60000};   ///< Maximum time between two requests on one connection.

    friend auto operator<=>(const CallerLimits &, const CallerLimits &) = default;
};

/// A team of the configuration.
struct TeamEntry
{
    TeamId id{};
    std::vector<std::string> keys{};         ///< API keys of the team.
    std::optional<std::uint32_t> priority{}; ///< Replaces the priority of the route if set.

    friend auto operator<=>(const TeamEntry &, const TeamEntry &) = default;
};

/// Content of one version of the configuration.
struct RouteTableContent
{
    std::uint64_t version = 0;
    std::vector<Route> routes{};
    std::vector<ServiceProfile> services{};
    CallerLimits limits{};
    std::optional<std::vector<TeamEntry>> teams{}; ///< If not set, no request needs an API key.

    friend auto operator<=>(const RouteTableContent &, const RouteTableContent &) = default;
};

/// Index over one version of the configuration. Immutable, so that threads can share it.
class RouteTable
{
public:
    explicit RouteTable(RouteTableContent content);

    [[nodiscard]] std::uint64_t version() const;

    /// @param host the host that the caller sent, with or without a port; upper and lower case are equal.
    /// @param target path of the request, with or without a query.
    /// @return the route of this host whose prefix of the path is the longest, or null if none matches.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view target) const;

    /// @return whether requests need an API key on routes that are not public.
    [[nodiscard]] bool needsKeys() const;

    /// @return the team that the API key belongs to, or null if the key is unknown.
    [[nodiscard]] const TeamEntry *findTeam(std::string_view key) const;

    /// @return the service with this id, or null if there is none.
    [[nodiscard]] const ServiceProfile *service(const ServiceId &id) const;

    [[nodiscard]] const CallerLimits &limits() const;
    [[nodiscard]] const std::vector<ServiceProfile> &services() const;

    friend bool operator==(const RouteTable &one, const RouteTable &other)
    {
        return one.content_ == other.content_;
    }

private:
    struct TextHash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>{}(text);
        }
    };
    template<class Value>
    using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

    RouteTableContent content_;
    TextMap<TextMap<std::size_t>> byHost_; ///< Index of the route by lower-case host and prefix.
    TextMap<std::size_t> teamByKey_;       ///< Index of the team by API key.
    std::unordered_map<ServiceId, std::size_t> serviceById_;
};

} // namespace daisystream
