#pragma once

#include "daemon/gateway/gatewaydialect.h"
#include "daisystream/forwarding/forwardingstate.h"

/// @file
/// Answers that the gateway gives itself.
///
/// Example:
/// @code
///   connection.write(gatewayReply(dialect, error, GivenUp::NotRun), yield);
/// @endcode

namespace daisystream
{

/// @param error why the request is given up; its retry time is passed on only if the request has not run.
/// @return a response whose status says "not run" (503, or a client error) only if that is true.
[[nodiscard]] HttpResponse gatewayReply(const GatewayDialect &dialect, const Error &error, GivenUp givenUp);

/// @return why a request is given up that would be cut when the process is killed; another VM takes it at once.
[[nodiscard]] Error shuttingDown();

} // namespace daisystream
