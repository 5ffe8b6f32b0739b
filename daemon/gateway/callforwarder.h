#pragma once

#include "daemon/gateway/gatewaycontext.h"

/// @file
/// Forwards a call to a plain service: whole request, whole response.
///
/// Example:
/// @code
///   forwardCall(gateway, connection, request, yield);
/// @endcode

namespace daisystream
{

/// Sends the call to one endpoint after the other as its kind, its route and the retry budget allow, and writes one
/// response. Runs in the strand of the caller's connection.
void forwardCall(GatewayContext &gateway, HttpConnection &connection, const RoutedRequest &request, boost::asio::yield_context yield);

} // namespace daisystream
