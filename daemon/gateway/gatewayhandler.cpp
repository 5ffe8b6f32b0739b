#include "daemon/gateway/gatewayhandler.h"

#include "daemon/gateway/callforwarder.h"
#include "daemon/gateway/gatewayreply.h"
#include "daemon/gateway/streamforwarder.h"
#include "daemon/status/decisionlog.h"

#include <algorithm>

namespace daisystream
{

namespace
{

// Time limit of a request if neither the caller nor the route states a shorter one.
constexpr std::chrono::milliseconds kMaxWait{120000};

std::chrono::milliseconds requestTimeLimit(const CallerHeaders &head, const Route &route)
{
    auto wait = std::min(kMaxWait, head.wait.value_or(kMaxWait));
    return route.timeout.count() > 0 ? std::min(wait, route.timeout) : wait;
}

} // namespace

GatewayHandler::GatewayHandler(GatewayContext &gateway)
    : gateway_(gateway)
{
}

void GatewayHandler::serve(HttpConnection &connection, const HttpRequest &request, boost::asio::yield_context yield)
{
    const RunningGuard guard(gateway_.frontend);
    const auto admitted = admit(request);
    if (const auto *error = std::get_if<Error>(&admitted)) {
        connection.write(refuse(request, *error), yield);
        return;
    }
    const auto &routed = std::get<RoutedRequest>(admitted);
    if (routed.engine != nullptr && std::holds_alternative<AnswerStream>(routed.route->kind)) {
        forwardStream(gateway_, connection, routed, yield);
    } else {
        forwardCall(gateway_, connection, routed, yield);
    }
}

std::optional<HttpResponse> GatewayHandler::refuseEarly(const HttpRequest &withoutBody) const
{
    const auto destination = findDestination(withoutBody);
    const auto *error = std::get_if<Error>(&destination);
    return error != nullptr ? std::optional(refuse(withoutBody, *error)) : std::nullopt;
}

HttpResponse GatewayHandler::refuse(const HttpRequest &request, const Error &error) const
{
    const auto table = gateway_.frontend.parts.lists.routes();
    DecisionLine("refuse")
        .field("request", gateway_.dialect.readCaller(request).attempt)
        .field("target", {request.target().data(), request.target().size()})
        .field("reason", toString(error.code))
        .field("routes", table ? std::to_string(table->version()) : "none")
        .field("retry_ms", error.retryAfter ? std::to_string(error.retryAfter->count()) : "")
        .field("detail", error.detail)
        .write();
    return gatewayReply(gateway_.dialect, error, FailureOutcome::NotRun);
}

Result<GatewayHandler::Destination> GatewayHandler::findDestination(const HttpRequest &request) const
{
    // The request can be refused by the routes only while this VM knows that its route table is current.
    if (const auto refusal = gateway_.frontend.parts.lists.routeAdmission()) {
        return *refusal;
    }
    auto table = gateway_.frontend.parts.lists.routes();
    const auto host = request[boost::beast::http::field::host];
    const auto *route = table->find({host.data(), host.size()}, {request.target().data(), request.target().size()});
    if (route == nullptr) {
        return Error{ResultCode::UnknownPath, "no route matches the host and path", {}};
    }
    Destination destination{.table = std::move(table), .route = route, .team = nullptr, .head = gateway_.dialect.readCaller(request)};
    if (destination.table->needsKeys() && !route->isPublic) {
        destination.team = destination.table->findTeam(destination.head.key);
        if (destination.team == nullptr) {
            return Error{destination.head.key.empty() ? ResultCode::MissingKey : ResultCode::UnknownKey, "the API key is missing or unknown", {}};
        }
    }
    return destination;
}

Result<RoutedRequest> GatewayHandler::admit(const HttpRequest &request) const
{
    const auto arrival = gateway_.now();
    auto found = findDestination(request);
    if (const auto *error = std::get_if<Error>(&found)) {
        return *error;
    }
    auto &destination = std::get<Destination>(found);
    const auto &table = destination.table;
    const auto *route = destination.route;
    RoutedRequest routed{.http = request, .head = std::move(destination.head), .id = gateway_.frontend.newRequestId(), .table = table};
    routed.route = route;
    routed.priority = route->priority;
    if (destination.team != nullptr) {
        routed.team = destination.team->id;
        routed.priority = destination.team->priority.value_or(route->priority);
    }
    routed.service = chooseService(*route);
    const auto *service = table->service(routed.service);
    routed.engine = service != nullptr && service->engine ? &*service->engine : nullptr;
    routed.arrival = arrival;
    routed.deadline = arrival + requestTimeLimit(routed.head, *route);
    if (!gateway_.canServe(routed)) {
        gateway_.countStopRefusal();
        return shuttingDownError();
    }
    return routed;
}

ServiceId GatewayHandler::chooseService(const Route &route) const
{
    double total = 0;
    for (const auto &share : route.services) {
        total += share.weight;
    }
    double left = total * gateway_.frontend.uniform();
    for (const auto &share : route.services) {
        left -= share.weight;
        if (left < 0) {
            return share.service;
        }
    }
    return route.services.back().service;
}

} // namespace daisystream
