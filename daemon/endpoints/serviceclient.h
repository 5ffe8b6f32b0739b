#pragma once

#include "daemon/control/settings.h"
#include "daemon/frontend/frontendoptions.h"
#include "daemon/frontend/httpreply.h"

#include <boost/asio/spawn.hpp>

#include <optional>

/// @file
/// Client of plain (non-engine) services: sends one request to one instance. Failed requests are not retried here.
///
/// Example:
/// @code
///   const auto result = callService(endpoint, request, options, yield);
///   if (!result.response && !result.bytesSent) { ... } // certainly not run
/// @endcode

namespace daisystream
{

/// Result of a request to a service instance.
struct ServiceResult
{
    std::optional<HttpResponse> response; ///< Nothing if the request failed.
    bool bytesSent = false;               ///< True if a byte of the request may have reached the instance.
    Error error;                          ///< Reason of the failure if there is no response.
};

/// Sends a request and waits for the complete response.
/// @param options provides the time limits and the largest size of the response body.
/// @return the response, or `EndpointUnreachable`, or `EndpointSilent` if the time limit passes after the request was sent.
[[nodiscard]] ServiceResult
callService(const EndpointSettings &endpoint, HttpRequest request, const FrontendOptions &options, boost::asio::yield_context yield);

} // namespace daisystream
