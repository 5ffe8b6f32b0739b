#pragma once

#include "daemon/gateway/gatewaycontext.h"

/// @file
/// Serves one request of a caller by the routes in force.
///
/// Example:
/// @code
///   GatewayHandler handler(gateway);
///   handler.serve(connection, request, yield);
/// @endcode

namespace daisystream
{

/// Finds the route, checks the key and forwards the request. Thread-safe.
class GatewayHandler
{
public:
    /// The context must outlive the event loop.
    explicit GatewayHandler(GatewayContext &gateway);

    /// Serves the request and writes its response.
    void serve(HttpConnection &connection, const HttpRequest &request, boost::asio::yield_context yield);

private:
    [[nodiscard]] Result<RoutedRequest> admit(const HttpRequest &request) const;
    [[nodiscard]] ServiceId chooseService(const Route &route) const;

    GatewayContext &gateway_;
};

} // namespace daisystream
