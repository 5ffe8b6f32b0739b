#pragma once

#include "standins/http/standinserver.h"

#include <boost/asio/write.hpp>

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Responses with malformed headers, for the tests of everything that reads responses.
///
/// Example:
/// @code
///   RawServer server(loop.io);
///   for (const auto &header : malformedHeaders("200 OK", "Content-Length: 5\r\n")) {
///       server.setResponse(header + "whole");
///       ...
///   }
/// @endcode

namespace daisystream
{

/// @param status status code and reason of the headers whose status is valid.
/// @param fields well-formed fields, each with its line ending.
/// @return headers with their empty line: some have a status that HTTP does not define, the others a field whose name is not a token, before
///     or after `fields`.
inline std::vector<std::string> malformedHeaders(const std::string &status, const std::string &fields)
{
    using namespace std::string_literals;
    std::vector<std::string> headers;
    const auto add = [&](const std::string &statusText, const std::string &before, const std::string &after) {
        auto &header = headers.emplace_back("HTTP/1.1 ");
        header.append(statusText).append("\r\n").append(before).append(after).append("\r\n");
    };
    for (const char *code : {"000", "000 OK", "099 OK", "600 OK", "0 OK", "20 OK", "2000 OK", "OK"}) {
        add(code, fields, "");
    }
    for (const auto &name : {"Bad Name"s,
                             "Bad-Name "s,
                             " Bad-Name"s,
                             "Bad\tName"s,
                             "Bad-Name\t"s,
                             "\tBad-Name"s,
                             "Bad\0Name"s,
                             "\0Bad-Name"s,
                             "Bad\x01Name"s,
                             "Bad-Name\x1f"s,
                             "Bad\x7fName"s,
                             "Bad\rName"s,
                             "Bad\nName"s,
                             "Content-Length "s,
                             "Content Length"s,
                             " Content-Length"s,
                             "\tContent-Length"s,
                             "Content-Length\x01"s}) {
        const auto malformed = name + ": 3\r\n";
        add(status, malformed, fields);
        add(status, fields, malformed);
    }
    return headers;
}

/// Sends given bytes in response to each request and closes the connection. Thread-safe.
class RawServer
{
public:
    explicit RawServer(boost::asio::io_context &io)
        : server_(io, 0, [this](boost::beast::tcp_stream &stream, const StandInRequest &, boost::asio::yield_context yield) {
            boost::system::error_code ignored;
            const std::string response = nextResponse();
            boost::asio::async_write(stream, boost::asio::buffer(response), yield[ignored]);
            return false;
        })
    {
    }

    void setResponse(const std::string &bytes)
    {
        const std::lock_guard lock(mutex_);
        response_ = bytes;
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return server_.port();
    }

    /// @return the number of requests so far.
    [[nodiscard]] unsigned requests() const
    {
        const std::lock_guard lock(mutex_);
        return requests_;
    }

private:
    std::string nextResponse()
    {
        const std::lock_guard lock(mutex_);
        ++requests_;
        return response_;
    }

    mutable std::mutex mutex_;
    std::string response_;
    unsigned requests_ = 0;
    StandInServer server_;
};

} // namespace daisystream
