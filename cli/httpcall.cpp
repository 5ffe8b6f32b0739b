#include "cli/httpcall.h"

#include "daemon/http/responsereader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace daisystream::cli
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

constexpr auto kConnectTimeout = std::chrono::seconds(2);
constexpr auto kHeaderTimeout = std::chrono::seconds(35); // Longer than the 30 s for which an order may run.
constexpr auto kBodyReadTimeout = std::chrono::seconds(5);

/// Reads the body of the response part by part into `result`, or passes it to `HttpCall::onBodyChunk`.
void readResponseBody(beast::tcp_stream &stream, ResponseReader &reader, const HttpCall &call, HttpResult &result, asio::yield_context yield)
{
    error_code error;
    for (;;) {
        const auto part = reader.takeBody();
        if (call.onBodyChunk && result.status == 200) {
            call.onBodyChunk(part);
        } else {
            result.body += part;
        }
        if (error || reader.isDone()) {
            break;
        }
        stream.expires_after(kBodyReadTimeout);
        error = reader.readSome(stream, yield);
    }
    result.complete = reader.isDone();
    result.reason = result.complete ? "" : error.message();
}

} // namespace

HttpResult httpCall(asio::io_context &io, const SocketAddress &address, const HttpCall &call, asio::yield_context yield)
{
    HttpResult result;
    error_code error;
    beast::tcp_stream stream(io);
    stream.expires_after(kConnectTimeout);
    stream.async_connect(asio::ip::tcp::endpoint(asio::ip::make_address(address.ip), address.port), yield[error]);
    if (error) {
        result.reason = error.message();
        return result;
    }
    http::request<http::string_body> request(http::string_to_verb(call.method), call.target, 11);
    request.set(http::field::host, toString(address));
    for (const auto &[name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = call.body;
    request.prepare_payload();
    result.sent = true;
    stream.expires_after(kHeaderTimeout);
    http::async_write(stream, request, yield[error]);
    ResponseReader reader(request.method());
    if (!error) {
        error = reader.readHeader(stream, yield);
    }
    if (error) {
        result.reason = error.message();
        return result;
    }
    result.status = reader.response().result_int();
    readResponseBody(stream, reader, call, result, yield);
    return result;
}

} // namespace daisystream::cli
