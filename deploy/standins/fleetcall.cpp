#include "deploy/standins/fleetcall.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace daisystream::standins
{

namespace beast = boost::beast;
namespace http = beast::http;

unsigned postJson(std::uint16_t port, const std::string &target, const std::string &body, std::chrono::milliseconds limit, boost::asio::yield_context yield)
{
    boost::system::error_code error;
    beast::tcp_stream stream(yield.get_executor());
    stream.expires_after(limit);
    stream.async_connect(boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), port), yield[error]);
    http::request<http::string_body> request(http::verb::post, target, 11, body);
    request.set(http::field::host, "127.0.0.1");
    request.prepare_payload();
    if (!error) {
        http::async_write(stream, request, yield[error]);
    }
    http::response<http::string_body> response;
    if (!error) {
        beast::flat_buffer buffer;
        http::async_read(stream, buffer, response, yield[error]);
    }
    return error ? 0 : response.result_int();
}

} // namespace daisystream::standins
