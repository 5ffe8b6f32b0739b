#include "daisystream/routes/routetable.h"

#include <algorithm>
#include <cctype>

namespace daisystream
{
namespace
{

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

std::string_view withoutPort(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool isIpv6WithoutPort = host.starts_with('[') && host.ends_with(']');
    return colon == std::string_view::npos || isIpv6WithoutPort ? host : host.substr(0, colon);
}

} // namespace

bool isIdempotent(const RequestKind &kind)
{
    if (const auto *stream = std::get_if<AnswerStream>(&kind)) {
        return stream->resumable;
    }
    return std::holds_alternative<SafeCall>(kind);
}

RouteTable::RouteTable(RouteTableContent content)
    : content_(std::move(content))
{
    for (std::size_t i = 0; i < content_.routes.size(); ++i) {
        const Route &route = content_.routes[i];
        byHost_[lowerCase(route.host)].emplace(route.prefix, i);
    }
    for (std::size_t i = 0; content_.teams && i < content_.teams->size(); ++i) {
        for (const auto &key : (*content_.teams)[i].keys) {
            teamByKey_.emplace(key, i);
        }
    }
    for (std::size_t i = 0; i < content_.services.size(); ++i) {
        serviceById_.emplace(content_.services[i].id, i);
    }
}

std::uint64_t RouteTable::version() const
{
    return content_.version;
}

const Route *RouteTable::find(std::string_view host, std::string_view target) const
{
    const auto routesOfHost = byHost_.find(lowerCase(withoutPort(host)));
    if (routesOfHost == byHost_.end()) {
        return nullptr;
    }
    std::string_view prefix = target.substr(0, target.find('?'));
    // Prefixes end with a slash, so only the parts of the path up to each slash can match.
    for (auto slash = prefix.rfind('/'); slash != std::string_view::npos; slash = prefix.rfind('/')) {
        const auto found = routesOfHost->second.find(prefix.substr(0, slash + 1));
        if (found != routesOfHost->second.end()) {
            return &content_.routes[found->second];
        }
        prefix = prefix.substr(0, slash);
    }
    return nullptr;
}

bool RouteTable::needsKeys() const
{
    return content_.teams.has_value();
}

const TeamEntry *RouteTable::findTeam(std::string_view key) const
{
    const auto found = teamByKey_.find(key);
    return found == teamByKey_.end() ? nullptr : &(*content_.teams)[found->second];
}

const ServiceProfile *RouteTable::service(const ServiceId &id) const
{
    const auto found = serviceById_.find(id);
    return found == serviceById_.end() ? nullptr : &content_.services[found->second];
}

const CallerLimits &RouteTable::limits() const
{
    return content_.limits;
}

const std::vector<ServiceProfile> &RouteTable::services() const
{
    return content_.services;
}

} // namespace daisystream
