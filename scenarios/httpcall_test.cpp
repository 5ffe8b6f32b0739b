#include "scenarios/httpcall.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <thread>

namespace daisystream::scenarios
{
namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// @return the failure of a call that gets these bytes as its response.
std::string failureOf(const std::string &response)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    const std::jthread server([&] {
        auto socket = acceptor.accept();
        boost::system::error_code ignored;
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ignored);
        asio::write(socket, asio::buffer(response), ignored);
    });
    HttpRequest request;
    request.port = acceptor.local_endpoint().port();
    request.method = "GET";
    request.target = "/";
    const HttpCall call(request);
    REQUIRE(call.waitFinished(std::chrono::seconds(60)));
    return call.failure();
}

// Guards against a call that a scenario gives up and that then passes for one with a complete response.
TEST_CASE("a call that is closed inside a response without length has failed")
{
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    HttpRequest request;
    request.port = acceptor.local_endpoint().port();
    request.method = "GET";
    request.target = "/";
    HttpCall call(request);
    auto socket = acceptor.accept();
    asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")));
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (call.body() != "part" && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    REQUIRE(call.body() == "part");
    call.close();
    REQUIRE(call.waitFinished(std::chrono::seconds(60)));
    CHECK_FALSE(call.failure().empty());
}

// Guards against a scenario that goes on with bytes that are no response.
TEST_CASE("a response that is not HTTP fails the call")
{
    CHECK(failureOf("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole").empty());
    CHECK(failureOf("HTTP/1.1 599 Other\r\nContent-Length: 5\r\n\r\nwhole").empty());
    for (const std::string status : {"000", "099", "100", "600"}) {
        CAPTURE(status);
        CHECK_FALSE(failureOf("HTTP/1.1 " + status + " OK\r\nContent-Length: 5\r\n\r\nwhole").empty());
    }
    for (const std::string name : {"Bad Name", "Bad-Name ", "Bad\x01Name"}) {
        CAPTURE(name);
        CHECK_FALSE(failureOf("HTTP/1.1 200 OK\r\n" + name + ": a\r\nContent-Length: 5\r\n\r\nwhole").empty());
    }
}

} // namespace
} // namespace daisystream::scenarios
