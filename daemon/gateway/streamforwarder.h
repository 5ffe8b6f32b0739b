#pragma once

#include "daemon/gateway/gatewaycontext.h"

/// @file
/// Forwards a request for a generated answer to an engine and streams the answer's events to the caller.
///
/// Example:
/// @code
///   forwardStream(gateway, connection, request, yield);
/// @endcode

namespace daisystream
{

/// Asks the dispatcher for an engine and relays the answer. Only complete events are sent to the caller, each of them once.
/// If the engine is leaving, the answer is moved to another engine. If the engine fails and the request's kind is resumable,
/// another run continues the answer.
/// @param connection the caller's connection; the function must be called on its strand.
/// @param request must outlive the call, and its `engine` must be set.
/// @param yield the coroutine that serves the connection.
void forwardStream(GatewayContext &gateway, HttpConnection &connection, const RoutedRequest &request, boost::asio::yield_context yield);

} // namespace daisystream
