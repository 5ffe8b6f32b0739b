#include "daemon/frontend/httpreply.h"

#include "daisystream/forwarding/responsemeaning.h"

#include <nlohmann/json.hpp>

namespace daisystream
{

namespace http = boost::beast::http;

namespace
{

const char *typeOf(http::status status)
{
    switch (status) {
    case http::status::unauthorized:
        return "authentication_error";
    case http::status::forbidden:
        return "permission_error";
    case http::status::not_found:
        return "not_found_error";
    case http::status::too_many_requests:
        return "rate_limit_error";
    default:
        return static_cast<unsigned>(status) < 500 ? "invalid_request_error" : "server_error";
    }
}

} // namespace

http::status statusOf(ResultCode code)
{
    switch (code) {
    case ResultCode::MissingKey:
    case ResultCode::UnknownKey:
        return http::status::unauthorized;
    case ResultCode::ModelNotAllowed:
    case ResultCode::ServiceNotAllowed:
    case ResultCode::ForgedResumeId:
    case ResultCode::ExpiredResumeId:
    case ResultCode::ForeignResumeId:
    case ResultCode::TicketForged:
        return http::status::forbidden;
    case ResultCode::MalformedRequest:
    case ResultCode::OrderNeedsKey:
        return http::status::bad_request;
    case ResultCode::RequestTooLarge:
        return http::status::payload_too_large;
    case ResultCode::HeaderTooLarge:
        return http::status::request_header_fields_too_large;
    case ResultCode::UnknownModel:
    case ResultCode::UnknownService:
    case ResultCode::UnknownPath:
        return http::status::not_found;
    case ResultCode::CallerTooSlow:
        return http::status::request_timeout;
    case ResultCode::TimeLimitPassed:
        return http::status::gateway_timeout;
    case ResultCode::ConcurrencyLimit:
    case ResultCode::RateLimit:
        return http::status::too_many_requests;
    case ResultCode::OrderInProgress:
    case ResultCode::WriteConflict:
        return http::status::conflict;
    case ResultCode::TicketExpired:
    case ResultCode::GenerationLost:
        return http::status::gone;
    case ResultCode::EndpointUnreachable:
    case ResultCode::EndpointSilent:
    case ResultCode::EndpointRefused:
    case ResultCode::EndpointProtocol:
    case ResultCode::EndpointReclaimed:
    case ResultCode::SequenceGap:
    case ResultCode::ForeignGeneration:
    case ResultCode::OrderOutcomeUnknown:
    case ResultCode::TicketIssuerGone:
        return http::status::bad_gateway;
    default:
        return http::status::service_unavailable;
    }
}

HttpResponse errorReply(const Error &error, FinalState outcome)
{
    const auto status = statusOf(error.code);
    const bool isMisleading = outcome != FinalState::NotRun && impliesNotRun(static_cast<unsigned>(status));
    HttpResponse response(isMisleading ? http::status::bad_gateway : status, 11);
    response.set(http::field::content_type, "application/json");
    if (error.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retryAfter);
        response.set(http::field::retry_after, std::to_string(std::max<std::int64_t>(seconds.count(), 0)));
    }
    if (response.result() == http::status::unauthorized) {
        response.set(http::field::www_authenticate, "Bearer");
    }
    response.set(kOrderStateHeader, toString(outcome));
    const nlohmann::json body = {{"error",
                                  {{"message", error.detail.empty() ? toString(error.code) : error.detail},
                                   {"type", typeOf(response.result())},
                                   {"code", static_cast<unsigned>(error.code)},
                                   {"state", toString(outcome)}}}};
    // A detail may quote a caller's bytes, which need not be valid UTF-8.
    response.body() = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

HttpResponse jsonReply(std::string body)
{
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

HttpResponse textReply(http::status status, std::string body)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "text/plain; charset=utf-8");
    response.body() = std::move(body);
    return response;
}

} // namespace daisystream
