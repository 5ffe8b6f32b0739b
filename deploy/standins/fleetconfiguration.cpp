#include "deploy/standins/fleetconfiguration.h"

#include "platform/names.h"

#include <nlohmann/json.hpp>

namespace daisystream::standins
{

namespace names = platform::names;
namespace
{

using nlohmann::json;
using soak::Kind;

// As the deployments' sheets say of their engines.
constexpr unsigned kSlots = 24;
constexpr unsigned kMemoryTokens = 34000;
constexpr unsigned kConnections = 200;
constexpr unsigned kCallRank = 2;
constexpr unsigned kAnswerRank = 1;

json routeOf(const soak::SoakRoute &route)
{
    const bool isStream = route.kind == Kind::Stream || route.kind == Kind::ResumableStream;
    json object{{"name", route.name},
                {"host", "soak.example"},
                {"prefix", route.prefix},
                {"service", route.service},
                {"route_type",
                 isStream                       ? "streaming"
                     : route.kind == Kind::Safe ? "safe"
                                                : "unsafe"},
                {"timeout_ms", route.limit.count()},
                {"goal_ms", route.limit.count() / 4},
                {"max_attempts", route.attempts},
                {"priority", isStream ? kAnswerRank : kCallRank}};
    if (isStream) {
        object["resumable"] = route.kind == Kind::ResumableStream;
        object["gap_target_ms"] = 500;
    }
    return object;
}

} // namespace

std::string configurationText(const soak::Configuration &configuration)
{
    json document{{"version", configuration.version}, {"routes", json::array()}, {"tenants", json::array()}};
    for (const auto &route : configuration.routes) {
        document["routes"].push_back(routeOf(route));
    }
    for (const auto &team : configuration.teams) {
        document["tenants"].push_back({{"name", team.name}, {"api_keys", team.keys}});
    }
    document["services"] = {{{"name", soak::kModelService},
                             {"max_conns", kConnections},
                             {"engine",
                              {{"slots", kSlots},
                               {"kv_capacity", kMemoryTokens},
                               {"kv_bytes", 120000},
                               {"link_mbps", 19000},
                               {"kv_handle_s", 10},
                               {"stride", kTokensPerEvent},
                               {"moves", true}}}},
                            {{"name", soak::kDeskService}, {"max_conns", kConnections}}};
    return document.dump();
}

std::string configurationRow(const soak::Configuration &configuration)
{
    return json{{"table", names::kConfigTable}, {"key", names::kConfigKey}, {"text", configurationText(configuration)}}.dump();
}

std::string zoneRow(const std::string &zone, bool isWithdrawn)
{
    json row{{"table", names::kConfigTable}, {"key", names::kZonePrefix + zone}, {"text", "{}"}};
    if (!isWithdrawn) {
        row["remove"] = true;
    }
    return row.dump();
}

} // namespace daisystream::standins
