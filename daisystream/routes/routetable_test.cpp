#include "daisystream/routes/routetable.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

Route route(const std::string &name, const std::string &host, const std::string &prefix, RequestKind kind = SafeCall{})
{
    return {.name = RouteName(name), .host = host, .prefix = prefix, .kind = kind, .services = {{.service = ServiceId("desk")}}};
}

RouteTable sampleTable()
{
    return RouteTable({.version = 7,
                       .routes = {route("all", "api.example", "/"),
                                  route("orders", "api.example", "/orders/"),
                                  route("deep", "api.example", "/orders/new/"),
                                  route("other", "Other.example", "/orders/")},
                       .services = {{.id = ServiceId("desk"), .maxConnections = 10, .engine = {}}},
                       .limits = {},
                       .teams = std::vector<TeamEntry>{{.id = TeamId("cafe"), .keys = {"k1", "k2"}, .priority = 3}}});
}

std::string nameOf(const Route *found)
{
    return found == nullptr ? "" : found->name.value();
}

TEST_CASE("the route with the longest matching prefix of the host is found")
{
    const auto table = sampleTable();
    CHECK(nameOf(table.find("api.example", "/orders/new/1")) == "deep");
    CHECK(nameOf(table.find("api.example", "/orders/newer")) == "orders");
    CHECK(nameOf(table.find("api.example", "/orders")) == "all");
    CHECK(nameOf(table.find("api.example:8080", "/x?y=/orders/")) == "all");
    CHECK(nameOf(table.find("OTHER.example", "/orders/1")) == "other");
    CHECK(table.find("other.example", "/") == nullptr);
    CHECK(table.find("missing.example", "/orders/1") == nullptr);
    CHECK(table.find("api.example", "") == nullptr);
}

TEST_CASE("an API key identifies its team")
{
    const auto table = sampleTable();
    REQUIRE(table.findTeam("k2") != nullptr);
    CHECK(table.findTeam("k2")->id == TeamId("cafe"));
    CHECK(table.findTeam("k3") == nullptr);
    CHECK(table.findTeam("") == nullptr);
    CHECK(table.needsKeys());
    CHECK_FALSE(RouteTable({}).needsKeys());
}

TEST_CASE("only safe calls and resumable streams are idempotent")
{
    CHECK(isIdempotent(SafeCall{}));
    CHECK_FALSE(isIdempotent(UnsafeCall{}));
    CHECK(isIdempotent(AnswerStream{.resumable = true}));
    CHECK_FALSE(isIdempotent(AnswerStream{.resumable = false}));
}

} // namespace
} // namespace daisystream
