#pragma once

#include "daemon/gateway/gatewaycontext.h"

/// @file
/// Admits a caller's request by the current route table and forwards it.
///
/// Example:
/// @code
///   GatewayHandler handler(gateway);
///   handler.serve(connection, request, yield);
/// @endcode

namespace daisystream
{

/// Finds the route of a request, checks the caller's key and forwards the request. Thread-safe.
class GatewayHandler
{
public:
    /// @param gateway must outlive the event loop.
    explicit GatewayHandler(GatewayContext &gateway);

    /// Decides on a request with a body before that is read.
    /// @return the refusal, nothing if the body is needed.
    [[nodiscard]] std::optional<HttpResponse> refuseEarly(const HttpRequest &withoutBody) const;

    /// Serves a request and writes its response, which is an error response if the request is not admitted.
    /// @param connection the caller's connection; the function must be called on its strand.
    /// @param request must outlive the call.
    /// @param yield the coroutine that serves the connection.
    void serve(HttpConnection &connection, const HttpRequest &request, boost::asio::yield_context yield);

private:
    /// What the header of a request alone determines.
    struct Destination
    {
        std::shared_ptr<const RouteTable> table{};
        const Route *route = nullptr;
        const TeamEntry *team = nullptr; ///< Null if the route needs no key.
        CallerHeaders head{};
    };

    [[nodiscard]] Result<Destination> findDestination(const HttpRequest &request) const;
    /// @return the refusal, which is logged.
    [[nodiscard]] HttpResponse refuse(const HttpRequest &request, const Error &error) const;
    [[nodiscard]] Result<RoutedRequest> admit(const HttpRequest &request) const;
    [[nodiscard]] ServiceId chooseService(const Route &route) const;

    GatewayContext &gateway_;
};

} // namespace daisystream
