#include "daemon/gateway/gatewayreply.h"

#include <nlohmann/json.hpp>

namespace daisystream
{

namespace http = boost::beast::http;

namespace
{

http::status gatewayStatus(const Error &error, FailureOutcome failureOutcome)
{
    const auto status = statusOf(error.code);
    if (failureOutcome == FailureOutcome::OutcomeUnknown) {
        return status == http::status::gateway_timeout ? status : http::status::bad_gateway;
    }
    // All server errors of requests that have not run become 503: that the caller may safely send the request again matters
    // more than the kind of failure.
    const bool isServerError = static_cast<unsigned>(status) >= 500;
    return isServerError ? http::status::service_unavailable : status;
}

} // namespace

HttpResponse gatewayReply(const GatewayDialect &dialect, const Error &error, FailureOutcome failureOutcome)
{
    HttpResponse response(gatewayStatus(error, failureOutcome), 11);
    response.set(http::field::content_type, "application/json");
    const bool mayReturn = response.result() == http::status::service_unavailable || response.result() == http::status::too_many_requests;
    if (mayReturn && error.retryAfter) {
        response.set(http::field::retry_after, dialect.retryAfterText(*error.retryAfter));
    }
    const nlohmann::json body = {{"error",
                                  {{"message", error.detail.empty() ? toString(error.code) : error.detail},
                                   {"code", static_cast<unsigned>(error.code)},
                                   {"notRun", failureOutcome == FailureOutcome::NotRun}}}};
    // The error detail may contain bytes from the caller, which need not be valid UTF-8.
    response.body() = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

void sendFailure(GatewayContext &gateway,
                 HttpConnection &connection,
                 const RoutedRequest &request,
                 const Error &error,
                 FailureOutcome failureOutcome,
                 boost::asio::yield_context yield)
{
    const bool hasNotRun = failureOutcome == FailureOutcome::NotRun;
    gateway.onEnded(request, hasNotRun ? RequestOutcome::NotRun : RequestOutcome::OutcomeUnknown);
    if (hasNotRun && error.code == ResultCode::Stopping) {
        gateway.countStopRefusal();
    }
    gateway.startLine("give_up", request)
        .field("reason", toString(error.code))
        .field("not_run", hasNotRun ? "true" : "false")
        .field("retry_ms", error.retryAfter ? std::to_string(error.retryAfter->count()) : "")
        .field("detail", error.detail)
        .write();
    connection.write(gatewayReply(gateway.dialect, error, failureOutcome), yield);
}

Error shuttingDownError()
{
    return {ResultCode::Stopping, "this VM is shutting down", std::chrono::milliseconds(0)};
}

} // namespace daisystream
