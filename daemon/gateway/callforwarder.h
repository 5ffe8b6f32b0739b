#pragma once

#include "daemon/gateway/gatewaycontext.h"

/// @file
/// Forwards a call to a plain service. Request and response are buffered, not streamed.
///
/// Example:
/// @code
///   forwardCall(gateway, connection, request, yield);
/// @endcode

namespace daisystream
{

/// Sends the call to one endpoint after another, as often as its kind, its route and the retry budget allow, and writes one
/// response to the caller. If the caller disconnects, the connection is aborted instead.
/// @param connection the caller's connection; the function must be called on its strand.
/// @param request must outlive the call.
/// @param yield the coroutine that serves the connection.
void forwardCall(GatewayContext &gateway, HttpConnection &connection, const RoutedRequest &request, boost::asio::yield_context yield);

} // namespace daisystream
