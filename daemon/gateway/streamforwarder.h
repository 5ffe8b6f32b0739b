#pragma once

#include "daemon/gateway/gatewaycontext.h"

/// @file
/// Forwards a request for a generated answer to an engine, and the answer's events as they come.
///
/// Example:
/// @code
///   forwardStream(gateway, connection, request, yield);
/// @endcode

namespace daisystream
{

/// Asks the dispatcher for an engine and relays the answer. Only whole events reach the caller, each once. If the engine
/// leaves, the answer is moved; if it fails, another run continues the answer where its kind allows that. Runs in the
/// strand of the caller's connection.
void forwardStream(GatewayContext &gateway, HttpConnection &connection, const RoutedRequest &request, boost::asio::yield_context yield);

} // namespace daisystream
