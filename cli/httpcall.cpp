#include "cli/httpcall.h"

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
constexpr std::size_t kChunkBytes = 16384;

/// Reads the body of the response chunk by chunk into `result`, or passes it to `HttpCall::onBodyChunk`.
void readResponseBody(beast::tcp_stream &stream,
                      beast::flat_buffer &buffer,
                      http::response_parser<http::buffer_body> &parser,
                      const HttpCall &call,
                      HttpResult &result,
                      asio::yield_context yield)
{
    std::array<char, kChunkBytes> chunk{};
    error_code error;
    while (!parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        stream.expires_after(kBodyReadTimeout);
        http::async_read_some(stream, buffer, parser, yield[error]);
        if (error == http::error::need_buffer) {
            error = {};
        }
        const std::string_view bytes(chunk.data(), chunk.size() - parser.get().body().size);
        if (call.onBodyChunk && result.status == 200) {
            call.onBodyChunk(bytes);
        } else {
            result.body += bytes;
        }
        if (error) {
            result.reason = error.message();
            return;
        }
    }
    result.complete = true;
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
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    if (!error) {
        http::async_read_header(stream, buffer, parser, yield[error]);
    }
    if (error) {
        result.reason = error.message();
        return result;
    }
    result.status = parser.get().result_int();
    readResponseBody(stream, buffer, parser, call, result, yield);
    return result;
}

} // namespace daisystream::cli
