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
/// One HTTP request of the tool to a VM.
///
/// Example:
/// @code
///   const HttpResult reply = httpCall(io, vm, {.method = "GET", .target = "/v1/status"}, yield);
/// @endcode

namespace daisystream::cli
{

/// A request.
struct HttpCall
{
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers{};
    std::string body{};
    std::function<void(std::string_view)> onBody{}; ///< If set, gets the body as it arrives, instead of `HttpResult::body`.
};

/// What came back.
struct HttpResult
{
    unsigned status = 0; ///< 0: no response.
    bool sent = false;   ///< Some byte of the request may have arrived.
    bool whole = false;  ///< The response arrived completely.
    std::string body;
    std::string reason; ///< Why there is no response, or no whole one.
};

/// Sends a request over a new connection. A body that pauses for more than 5 s counts as lost, since VMs send keep-alive
/// comments more often.
[[nodiscard]] HttpResult httpCall(boost::asio::io_context &io, const SocketAddress &address, const HttpCall &call, boost::asio::yield_context yield);

} // namespace daisystream::cli
