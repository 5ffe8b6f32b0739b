#pragma once

#include "daisystream/answer/state.h"
#include "daisystream/base/result.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

/// @file
/// Responses in the form that clients of the usual completion API expect.
///
/// Example:
/// @code
///   connection.write(errorReply(error, FinalState::NotRun), yield);
/// @endcode

namespace daisystream
{

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Header of every response under /v1/services that says how the order ended.
constexpr const char *kOrderStateHeader = "X-Order-State";

/// @return the HTTP status that goes with a result code.
[[nodiscard]] boost::beast::http::status statusOf(ResultCode code);

/// @return a response with the body `{"error": {"message", "type", "code", "state"}}`, and `Retry-After` in seconds, rounded
///     up, if the error says when. The status is that of the error code; but 502 if callers would conclude from it that the request has
///     not run (`impliesNotRun`), and `outcome` is another one.
[[nodiscard]] HttpResponse errorReply(const Error &error, FinalState outcome);

/// @return a response with status 200 and a JSON body.
[[nodiscard]] HttpResponse jsonReply(std::string body);

/// @return a response with a body of plain text.
[[nodiscard]] HttpResponse textReply(boost::beast::http::status status, std::string body);

} // namespace daisystream
