#pragma once

#include "daemon/control/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// @file
/// HTTP client for the requests of the command-line tool to VMs.
///
/// Example:
/// @code
///   const HttpResult reply = httpCall(io, vm, {.method = "GET", .target = "/v1/status"}, yield);
/// @endcode

namespace daisystream::cli
{

/// An HTTP request.
struct HttpCall
{
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers{};
    std::string body{};
    /// If set, is called with each chunk of the body of a response with status 200; `HttpResult::body` then stays empty.
    std::function<void(std::string_view)> onBodyChunk{};
};

/// The response to a request, or the reason why there is none.
struct HttpResult
{
    unsigned status = 0;   ///< HTTP status; 0 if there is no response.
    bool sent = false;     ///< The connection was established, so that the VM may have received the request.
    bool complete = false; ///< The whole response was received.
    std::string body;
    std::string reason; ///< Why there is no response or only a part of it; empty if it is complete.
};

/// Sends a request over a new connection and reads the response. The connection counts as lost if no byte of the body
/// arrives for 5 s, since VMs send keep-alive comments more often.
/// @return the response; errors of the connection are in `HttpResult::reason`.
[[nodiscard]] HttpResult httpCall(boost::asio::io_context &io, const SocketAddress &address, const HttpCall &call, boost::asio::yield_context yield);

} // namespace daisystream::cli
