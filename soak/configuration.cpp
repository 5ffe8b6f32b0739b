#include "soak/configuration.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisystream::soak
{

using nlohmann::json;

bool Configuration::hasRoute(std::string_view name) const
{
    return std::any_of(routes.begin(), routes.end(), [&](const SoakRoute &route) { return route.name == name; });
}

std::string Configuration::teamOf(std::string_view key) const
{
    const auto holder
        = std::find_if(teams.begin(), teams.end(), [&](const SoakTeam &team) { return std::find(team.keys.begin(), team.keys.end(), key) != team.keys.end(); });
    return holder == teams.end() ? std::string() : holder->name;
}

Configuration firstConfiguration()
{
    using std::chrono::milliseconds;
    Configuration first;
    first.routes = {
        {.name = "long", .prefix = "/long/", .kind = Kind::Stream, .service = kModelService, .limit = milliseconds(12000), .attempts = 1},
        {.name = "short", .prefix = "/short/", .kind = Kind::ResumableStream, .service = kModelService, .limit = milliseconds(6000), .attempts = 2},
        {.name = "order", .prefix = "/order/", .kind = Kind::Unsafe, .service = kDeskService, .limit = milliseconds(2500), .attempts = 1},
        {.name = "lookup", .prefix = "/lookup/", .kind = Kind::Safe, .service = kDeskService, .limit = milliseconds(2500), .attempts = 2},
    };
    first.teams = {{.name = "cafe", .keys = {"key-cafe"}}, {.name = "depot", .keys = {"key-depot"}}};
    return first;
}

std::string encodeCallerPlan(const CallerPlan &plan)
{
    json targets = json::array();
    for (const auto &target : plan.targets) {
        targets.push_back({{"vm", target.vm}, {"port", target.port}});
    }
    json routes = json::array();
    for (const auto &route : plan.routes) {
        routes.push_back({{"name", route.name}, {"prefix", route.prefix}, {"kind", route.kind}, {"limit", route.limit.count()}});
    }
    return json{{"name", plan.name},
                {"seed", plan.seed},
                {"connections", plan.connections},
                {"targets", targets},
                {"routes", routes},
                {"keys", plan.keys},
                {"deadly_share", plan.deadlyShare},
                {"deadly_parts", plan.deadlyParts}}
        .dump();
}

CallerPlan decodeCallerPlan(const std::string &text)
{
    const auto document = json::parse(text);
    CallerPlan plan;
    document.at("name").get_to(plan.name);
    document.at("seed").get_to(plan.seed);
    document.at("connections").get_to(plan.connections);
    for (const auto &target : document.at("targets")) {
        plan.targets.push_back({target.at("vm").get<std::string>(), target.at("port").get<std::uint16_t>()});
    }
    for (const auto &route : document.at("routes")) {
        plan.routes.push_back({.name = route.at("name").get<std::string>(),
                               .prefix = route.at("prefix").get<std::string>(),
                               .kind = route.at("kind").get<Kind>(),
                               .service = {},
                               .limit = std::chrono::milliseconds(route.at("limit").get<std::int64_t>())});
    }
    document.at("keys").get_to(plan.keys);
    document.at("deadly_share").get_to(plan.deadlyShare);
    document.at("deadly_parts").get_to(plan.deadlyParts);
    return plan;
}

} // namespace daisystream::soak
