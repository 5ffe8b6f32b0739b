#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <gflags/gflags.h>

#include <cstdio>
DEFINE_uint32(port, 9000, "port to listen on");
DEFINE_uint32(tokens, 20, "tokens of each answer");

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr auto kStep = std::chrono::milliseconds(20);

void serve(beast::tcp_stream &caller, asio::yield_context yield)
{
    error_code error;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::async_read(caller, buffer, request, yield[error]);
    if (error) {
        return;
    }
    http::response<http::empty_body> head(http::status::ok, 11);
    head.set(http::field::content_type, "text/event-stream");
    head.keep_alive(false);
    http::response_serializer<http::empty_body> serializer(head);
    http::async_write_header(caller, serializer, yield[error]);
    asio::steady_timer timer(caller.get_executor());
    for (unsigned i = 0; i < FLAGS_tokens && !error; ++i) {
        timer.expires_after(kStep);
        timer.async_wait(yield[error]);
        const std::string event = "id: g1/" + std::to_string(i) + "\ndata: {\"choices\":[{\"index\":0,\"text\":\"word" + std::to_string(i) + " \"}]}\n\n";
        asio::async_write(caller, asio::buffer(event), yield[error]);
    }
    const std::string end = "data: [DONE]\n\n";
    asio::async_write(caller, asio::buffer(end), yield[error]);
    caller.socket().shutdown(tcp::socket::shutdown_send, error);
}

} // namespace

int main(int argc, char **argv)
try {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(FLAGS_port)});
    asio::spawn(
        io,
        [&](asio::yield_context yield) {
            for (;;) {
                error_code error;
                auto stream = std::make_shared<beast::tcp_stream>(io);
                acceptor.async_accept(stream->socket(), yield[error]);
                asio::spawn(
                    io, [stream](asio::yield_context inner) { serve(*stream, inner); }, asio::detached);
            }
        },
        asio::detached);
    io.run();
    return 0;
} catch (const std::exception &fault) {
    std::fprintf(stderr, "standin_engine: %s\n", fault.what());
    return 1;
}
