#pragma once

#include "daemon/control/settings.h"
#include "daemon/frontend/frontendoptions.h"
#include "daemon/frontend/httpreply.h"

#include <boost/asio/spawn.hpp>

#include <optional>

/// @file
/// One call to one instance of a plain service. It is never repeated here.
///
/// Example:
/// @code
///   const auto result = callService(endpoint, request, options, yield);
///   if (!result.response && !result.bytesSent) { ... } // certainly not run
/// @endcode

namespace daisystream
{

/// What came of a call.
struct ServiceResult
{
    std::optional<HttpResponse> response;
    bool bytesSent = false; ///< A byte of the request may have reached the instance.
    Error error;            ///< Why there is no response.
};

/// Sends a request and waits for the whole response.
[[nodiscard]] ServiceResult
callService(const EndpointSettings &endpoint, HttpRequest request, const FrontendOptions &options, boost::asio::yield_context yield);

} // namespace daisystream
