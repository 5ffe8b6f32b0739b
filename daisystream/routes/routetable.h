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
/// The routes of a deployment: which service serves a path, what may be repeated, and which team a key belongs to.
///
/// A table is one version of the configuration. It never changes; a newer version replaces it whole.
///
/// Example:
/// @code
///   const Route *route = table.find("api.example", "/orders/7");
///   if (route == nullptr) { ... }
///   const Team *team = table.findTeam(key);
/// @endcode

namespace daisystream
{

using RouteName = Id<struct RouteTag>; ///< One route of the configuration.

/// A call that may run any number of times.
struct SafeCall
{
    friend auto operator<=>(const SafeCall &, const SafeCall &) = default;
};

/// A call that may run at most once for each attempt of a caller.
struct UnsafeCall
{
    friend auto operator<=>(const UnsafeCall &, const UnsafeCall &) = default;
};

/// A generated answer, delivered as server-sent events.
struct AnswerStream
{
    bool resumable = false;                  ///< Another run may continue after the last event that was delivered.
    std::chrono::milliseconds longestGap{0}; ///< Between two events of an answer that is on time; 0: no target.

    friend auto operator<=>(const AnswerStream &, const AnswerStream &) = default;
};

using RequestKind = std::variant<SafeCall, UnsafeCall, AnswerStream>;

/// @return whether a request of this kind may run more than once.
[[nodiscard]] bool isIdempotent(const RequestKind &kind);

/// A service and its part of a route's requests.
struct ServiceShare
{
    ServiceId service{};
    double weight = 1;

    friend auto operator<=>(const ServiceShare &, const ServiceShare &) = default;
};

struct Route
{
    RouteName name{};
    std::string host{};   ///< Without a port.
    std::string prefix{}; ///< Begins and ends with a slash.
    RequestKind kind{};
    std::vector<ServiceShare> services{}; ///< At least one.
    std::chrono::milliseconds timeout{0}; ///< A request gets its final answer within this time.
    std::chrono::milliseconds goal{0};    ///< Response-time objective, for streams until the first event.
    std::uint32_t attempts = 1;           ///< Endpoints to which one request may be sent.
    std::uint32_t priority = 0;           ///< 0 is the most urgent.
    bool isPublic = false;                ///< Needs no key.

    friend auto operator<=>(const Route &, const Route &) = default;
};

/// Properties that all engines of a service share.
struct EngineProfile
{
    std::uint32_t batch = 1;          ///< Answers decoded at the same time.
    std::uint64_t memoryTokens = 0;   ///< For running answers and cached prompts.
    std::uint64_t bytesPerToken = 0;  ///< Of that memory, when it is copied to another engine.
    double linkMegabitsPerSecond = 0; ///< For such copies.
    std::uint32_t tokensPerEvent = 1; ///< Tokens in one event of a stream.
    bool movesAnswers = false;        ///< A running answer can be handed to another engine.

    friend auto operator<=>(const EngineProfile &, const EngineProfile &) = default;
};

struct ServiceProfile
{
    ServiceId id{};
    std::uint32_t maxConnections = 0;      ///< That one endpoint accepts from all VMs.
    std::optional<EngineProfile> engine{}; ///< Set if the endpoints are engines.

    friend auto operator<=>(const ServiceProfile &, const ServiceProfile &) = default;
};

/// Bounds on what callers may send.
struct CallerLimits
{
    std::uint64_t headerBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
    std::chrono::milliseconds headerTime{10000}; ///< For a whole header.
    std::chrono::milliseconds idleTime{60000};   ///< Between two requests on one connection.

    friend auto operator<=>(const CallerLimits &, const CallerLimits &) = default;
};

struct TeamEntry
{
    TeamId id{};
    std::vector<std::string> keys{};
    std::optional<std::uint32_t> priority{}; ///< Replaces that of the route.

    friend auto operator<=>(const TeamEntry &, const TeamEntry &) = default;
};

/// Everything that one version of the configuration says.
struct RouteTableContent
{
    std::uint64_t version = 0;
    std::vector<Route> routes{};
    std::vector<ServiceProfile> services{};
    CallerLimits limits{};
    std::optional<std::vector<TeamEntry>> teams{}; ///< Not set: no request needs a key.

    friend auto operator<=>(const RouteTableContent &, const RouteTableContent &) = default;
};

/// Immutable, so that threads can share it.
class RouteTable
{
public:
    explicit RouteTable(RouteTableContent content);

    [[nodiscard]] std::uint64_t version() const;

    /// @param host as the caller sent it, with or without a port.
    /// @param target path of the request, with or without a query.
    /// @return the route of that host with the longest prefix of the path, or null.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view target) const;

    /// @return whether requests of routes that are not public need a key.
    [[nodiscard]] bool needsKeys() const;

    /// @return the team that holds the key, or null.
    [[nodiscard]] const TeamEntry *findTeam(std::string_view key) const;

    /// @return the service, or null.
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
    TextMap<TextMap<std::size_t>> byHost_; ///< Host, prefix, index of the route.
    TextMap<std::size_t> teamByKey_;
    std::unordered_map<ServiceId, std::size_t> serviceById_;
};

} // namespace daisystream
