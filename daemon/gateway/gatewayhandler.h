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

    /// Serves a request and writes its response, which is an error response if the request is not admitted.
    /// @param connection the caller's connection; the function must be called on its strand.
    /// @param request must outlive the call.
    /// @param yield the coroutine that serves the connection.
    void serve(HttpConnection &connection, const HttpRequest &request, boost::asio::yield_context yield);

private:
    [[nodiscard]] Result<RoutedRequest> admit(const HttpRequest &request) const;
    [[nodiscard]] ServiceId chooseService(const Route &route) const;

    GatewayContext &gateway_;
};

} // namespace daisystream
