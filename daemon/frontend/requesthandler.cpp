#include "daemon/frontend/requesthandler.h"

#include "daemon/frontend/answerrelay.h"
#include "daemon/frontend/callerauth.h"
#include "daemon/frontend/completionrequest.h"

#include <nlohmann/json.hpp>

namespace daisystream
{

namespace http = boost::beast::http;

namespace
{

constexpr const char *kLastEventId = "Last-Event-ID";

HttpResponse wrongMethod(const char *allowed)
{
    auto response = errorReply({ResultCode::MalformedRequest, std::string("this path takes ") + allowed, {}}, FinalState::NotRun);
    response.result(http::status::method_not_allowed);
    response.set(http::field::allow, allowed);
    return response;
}

HttpResponse modelsReply(const CallerGrant &grant)
{
    auto models = nlohmann::json::array();
    for (const auto &model : grant.limit.models) {
        models.push_back({{"id", model.value()}, {"object", "model"}, {"owned_by", "daisystream"}});
    }
    return jsonReply(nlohmann::json{{"object", "list"}, {"data", models}}.dump());
}

bool isRead(const HttpRequest &request)
{
    return request.method() == http::verb::get || request.method() == http::verb::head;
}

const ServiceId *serviceOf(const ApiRoute &route)
{
    if (const auto *ticket = std::get_if<TicketRoute>(&route)) {
        return &ticket->service;
    }
    if (const auto *query = std::get_if<OrderQueryRoute>(&route)) {
        return &query->service;
    }
    if (const auto *call = std::get_if<ServiceCall>(&route)) {
        return &call->service;
    }
    return nullptr;
}

} // namespace

RequestHandler::RequestHandler(FrontendContext &context, OrderRouter &orders)
    : context_(context)
    , orders_(orders)
{
}

HttpResponse RequestHandler::readiness() const
{
    if (const auto refusal = context_.parts.lists.admission()) {
        return textReply(http::status::service_unavailable, std::string(toString(refusal->code)) + "\n");
    }
    return textReply(http::status::ok, "ready\n");
}

std::optional<HttpResponse> RequestHandler::refuseEarly(const HttpRequest &withoutBody) const
{
    const auto route = routeOf({withoutBody.target().data(), withoutBody.target().size()});
    if (std::holds_alternative<HealthRoute>(route)) {
        return textReply(http::status::ok, "ok\n");
    }
    if (std::holds_alternative<ReadyRoute>(route)) {
        return readiness();
    }
    if (std::holds_alternative<MetricsRoute>(route)) {
        return textReply(http::status::ok, context_.parts.metrics.text());
    }
    if (std::holds_alternative<UnknownRoute>(route)) {
        return errorReply({ResultCode::UnknownPath, "there is nothing at this path", {}}, FinalState::NotRun);
    }
    const auto grant = authorize(context_.parts.lists, withoutBody);
    if (const auto *error = std::get_if<Error>(&grant)) {
        return errorReply(*error, stateOfRefused(withoutBody));
    }
    if (const auto *service = serviceOf(route)) {
        if (const auto refusal = checkService(std::get<CallerGrant>(grant), *service)) {
            return errorReply(*refusal, stateOfRefused(withoutBody));
        }
    }
    return std::nullopt;
}

void RequestHandler::serve(HttpConnection &connection, const HttpRequest &request, boost::asio::yield_context yield)
{
    const auto route = routeOf({request.target().data(), request.target().size()});
    if (std::holds_alternative<HealthRoute>(route)) {
        connection.write(textReply(http::status::ok, "ok\n"), yield);
    } else if (std::holds_alternative<ReadyRoute>(route)) {
        connection.write(readiness(), yield);
    } else if (std::holds_alternative<MetricsRoute>(route)) {
        connection.write(textReply(http::status::ok, context_.parts.metrics.text()), yield);
    } else if (std::holds_alternative<UnknownRoute>(route)) {
        connection.write(errorReply({ResultCode::UnknownPath, "there is nothing at this path", {}}, FinalState::NotRun), yield);
    } else {
        const RunningGuard guard(context_);
        const auto grant = authorize(context_.parts.lists, request);
        if (const auto *error = std::get_if<Error>(&grant)) {
            connection.write(errorReply(*error, stateOfRefused(request)), yield);
        } else {
            serveGranted(route, std::get<CallerGrant>(grant), connection, request, yield);
        }
    }
}

void RequestHandler::serveGranted(
    const ApiRoute &route, const CallerGrant &grant, HttpConnection &connection, const HttpRequest &request, boost::asio::yield_context yield)
{
    if (const auto *completion = std::get_if<CompletionRoute>(&route)) {
        if (request.count(kLastEventId) > 0 && (request.method() == http::verb::get || request.method() == http::verb::post)) {
            resume(completion->chat, grant, connection, request, yield);
        } else if (request.method() == http::verb::post) {
            complete(completion->chat, grant, connection, request, yield);
        } else {
            connection.write(wrongMethod("POST"), yield);
        }
    } else if (std::holds_alternative<ModelsRoute>(route)) {
        connection.write(isRead(request) ? modelsReply(grant) : wrongMethod("GET"), yield);
    } else {
        connection.write(serviceReply(route, grant, request, yield), yield);
    }
}

void RequestHandler::complete(bool chat, const CallerGrant &grant, HttpConnection &connection, const HttpRequest &request, boost::asio::yield_context yield)
{
    const auto parsed = parseCompletion(request.body(), chat, grant);
    if (const auto *error = std::get_if<Error>(&parsed)) {
        connection.write(errorReply(*error, FinalState::NotRun), yield);
        return;
    }
    if (const auto refusal = context_.parts.lists.admission()) {
        connection.write(errorReply(*refusal, FinalState::NotRun), yield);
        return;
    }
    AnswerRelay(context_, connection, grant).run(std::get<CompletionRequest>(parsed), yield);
}

void RequestHandler::resume(bool chat, const CallerGrant &grant, HttpConnection &connection, const HttpRequest &request, boost::asio::yield_context yield)
{
    if (context_.parts.lists.isStopping()) {
        // Another VM can resume the answer up to its end. How it ends is not known here.
        connection.write(errorReply(*context_.parts.lists.admission(), FinalState::OutcomeUnknown), yield);
        return;
    }
    const auto id = request[kLastEventId];
    const auto point = context_.openResume({id.data(), id.size()}, grant.team);
    if (const auto *error = std::get_if<Error>(&point)) {
        // The id names no answer of this team, so nothing can be said about how an answer ended.
        connection.write(errorReply(*error, FinalState::OutcomeUnknown), yield);
        return;
    }
    AnswerRelay(context_, connection, grant).resume(std::get<ResumePoint>(point), chat, yield);
}

HttpResponse RequestHandler::serviceReply(const ApiRoute &route, const CallerGrant &grant, const HttpRequest &request, boost::asio::yield_context yield)
{
    if (const auto refusal = checkService(grant, *serviceOf(route))) {
        return errorReply(*refusal, stateOfRefused(request));
    }
    if (const auto *ticket = std::get_if<TicketRoute>(&route)) {
        if (request.method() != http::verb::post) {
            return wrongMethod("POST");
        }
        const auto refusal = context_.parts.lists.admission();
        return refusal ? errorReply(*refusal, FinalState::NotRun) : orders_.issueTicket(grant, ticket->service);
    }
    if (const auto *query = std::get_if<OrderQueryRoute>(&route)) {
        return isRead(request) ? orders_.query(grant, query->service, query->key, yield) : wrongMethod("GET");
    }
    return orders_.call(grant, *serviceOf(route), request, yield);
}

} // namespace daisystream
