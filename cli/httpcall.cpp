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

constexpr auto kConnectTime = std::chrono::seconds(2);
constexpr auto kHeaderTime = std::chrono::seconds(35); // An order may run for 30 s.
constexpr auto kPauseTime = std::chrono::seconds(5);
constexpr std::size_t kChunkBytes = 16384;

/// Reads the body piece by piece.
void readBody(beast::tcp_stream &stream,
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
        stream.expires_after(kPauseTime);
        http::async_read_some(stream, buffer, parser, yield[error]);
        if (error == http::error::need_buffer) {
            error = {};
        }
        const std::string_view bytes(chunk.data(), chunk.size() - parser.get().body().size);
        if (call.onBody && result.status == 200) {
            call.onBody(bytes);
        } else {
            result.body += bytes;
        }
        if (error) {
            result.reason = error.message();
            return;
        }
    }
    result.whole = true;
}

} // namespace

HttpResult httpCall(asio::io_context &io, const SocketAddress &address, const HttpCall &call, asio::yield_context yield)
{
    HttpResult result;
    error_code error;
    beast::tcp_stream stream(io);
    stream.expires_after(kConnectTime);
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
    stream.expires_after(kHeaderTime);
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
    readBody(stream, buffer, parser, call, result, yield);
    return result;
}

} // namespace daisystream::cli
