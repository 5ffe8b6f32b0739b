#pragma once

#include "daemon/frontend/frontendcontext.h"
#include "daemon/frontend/httpconnection.h"
#include "daemon/frontend/httprouter.h"
#include "daemon/frontend/orderrouter.h"

#include <boost/asio/spawn.hpp>

#include <memory>

/// @file
/// Serves one request of a caller, after its connection has read it.
///
/// Example:
/// @code
///   RequestHandler handler(context, orders);
///   handler.serve(connection, request, yield);
/// @endcode

namespace daisystream
{

/// Authenticates a request and passes it to what serves its path. Thread-safe.
class RequestHandler
{
public:
    /// All parameters must outlive the event loop.
    RequestHandler(FrontendContext &context, OrderRouter &orders);

    /// Decides on a request with a body before that is read.
    /// @return the refusal or the whole response, nothing if the body is needed.
    [[nodiscard]] std::optional<HttpResponse> refuseEarly(const HttpRequest &withoutBody) const;

    /// Serves the request and writes its response.
    void serve(HttpConnection &connection, const HttpRequest &request, boost::asio::yield_context yield);

private:
    void
    serveGranted(const ApiRoute &route, const CallerGrant &grant, HttpConnection &connection, const HttpRequest &request, boost::asio::yield_context yield);
    void complete(bool chat, const CallerGrant &grant, HttpConnection &connection, const HttpRequest &request, boost::asio::yield_context yield);
    void resume(bool chat, const CallerGrant &grant, HttpConnection &connection, const HttpRequest &request, boost::asio::yield_context yield);
    [[nodiscard]] HttpResponse serviceReply(const ApiRoute &route, const CallerGrant &grant, const HttpRequest &request, boost::asio::yield_context yield);
    [[nodiscard]] HttpResponse readiness() const;

    FrontendContext &context_;
    OrderRouter &orders_;
};

} // namespace daisystream
