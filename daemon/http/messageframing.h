#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/system/error_code.hpp>

#include <optional>
#include <string>

/// @file
/// Checks whether the header of an HTTP/1.x message says unambiguously where the message ends. Beast's parser ignores transfer codings
/// that it does not know, so that each message that was read with it needs this check before its body is read.
///
/// Example:
/// @code
///   http::async_read_header(stream, buffer, parser, yield[error]);
///   if (const auto fault = checkFraming(parser.get())) { ... }
/// @endcode

namespace daisystream
{

using RequestHeader = boost::beast::http::request_header<>;
using ResponseHeader = boost::beast::http::response_header<>;

/// Reason why a request cannot be read reliably. The connection has to be closed after the refusal, because the end of the request is
/// unknown.
struct FramingFault
{
    boost::beast::http::status status{}; ///< Status of the refusal.
    std::string detail{};

    friend bool operator==(const FramingFault &, const FramingFault &) = default;
};

/// Checks the header of a request from a caller.
/// @return nothing if the request has no body, a body with one length, or a body in chunks without other codings; else the fault. A
///     request by CONNECT or with more than one host is refused as well, and one by TRACE if it has a body.
[[nodiscard]] std::optional<FramingFault> checkFraming(const RequestHeader &header);

/// Checks the header of a response.
/// @return no error if the status is one of HTTP and the body ends by its length, in chunks without other codings, or with the
///     connection; else `bad_status` or `bad_transfer_encoding` of Beast.
[[nodiscard]] boost::system::error_code checkFraming(const ResponseHeader &header);

/// Checks a header that was not read by the parser, such as one from a message of another VM.
/// @return whether the status is one of a final response, each name is a token, and no value has a control byte other than a tab.
[[nodiscard]] bool isWellFormed(const ResponseHeader &header);

/// @return whether a response with this status is followed by the final one.
[[nodiscard]] bool isInterim(unsigned status);

/// @return whether a response with this status never has a body.
[[nodiscard]] bool hasNoBody(boost::beast::http::status status);

} // namespace daisystream
