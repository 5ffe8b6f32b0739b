#include "daemon/frontend/callerauth.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace daisystream
{

namespace http = boost::beast::http;

namespace
{

// How soon a VM without lists usually has them.
constexpr auto kListsRetry = std::chrono::seconds(2);
constexpr std::string_view kBearer = "Bearer ";

std::string_view bearerKey(const HttpRequest &request)
{
    const std::string_view header(request[http::field::authorization].data(), request[http::field::authorization].size());
    if (header.size() < kBearer.size() || !boost::beast::iequals(header.substr(0, kBearer.size()), kBearer)) {
        return {};
    }
    return header.substr(kBearer.size());
}

} // namespace

Result<CallerGrant> authorize(const ListTable &lists, const HttpRequest &request)
{
    const auto plans = lists.plans();
    const auto limits = lists.limits();
    if (!plans || !limits) {
        return Error{ResultCode::NoLists, "this VM has not obtained the lists yet", kListsRetry};
    }
    const auto key = bearerKey(request);
    if (key.empty()) {
        return Error{ResultCode::MissingKey, "the header Authorization must carry a bearer key", {}};
    }
    const auto team = authenticate(*plans, key);
    if (const auto *error = std::get_if<Error>(&team)) {
        return *error;
    }
    const auto &id = std::get<TeamId>(team);
    const auto *record = plans->findTeam(id);
    const auto *plan = record == nullptr ? nullptr : plans->findPlan(record->plan);
    if (plan == nullptr) {
        return Error{ResultCode::UnknownKey, "the key's team has no plan", {}};
    }
    CallerGrant grant{.team = id, .plan = *plan, .limit = {}};
    if (const auto *limit = limits->findLimit(plan->name)) {
        grant.limit = *limit; // A plan without limits may use nothing.
    }
    return grant;
}

std::optional<Error> checkModel(const CallerGrant &grant, const ModelId &model)
{
    if (std::find(grant.limit.models.begin(), grant.limit.models.end(), model) == grant.limit.models.end()) {
        return Error{ResultCode::ModelNotAllowed, "the plan may not use this model", {}};
    }
    return std::nullopt;
}

std::optional<Error> checkService(const CallerGrant &grant, const ServiceId &service)
{
    if (std::find(grant.limit.services.begin(), grant.limit.services.end(), service) == grant.limit.services.end()) {
        return Error{ResultCode::ServiceNotAllowed, "the plan may not use this service", {}};
    }
    return std::nullopt;
}

} // namespace daisystream
