#include "scenarios/portblock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <set>

namespace daisystream::scenarios
{
namespace
{

using boost::asio::ip::tcp;

TEST_CASE("blocks that exist at the same time share no port")
{
    PortBlock first;
    PortBlock second;
    std::set<std::uint16_t> ports;
    for (int i = 0; i < 100; ++i) {
        CHECK(ports.insert(first.next()).second);
        CHECK(ports.insert(second.next()).second);
    }
}

// Guards a daemon that cannot listen because an outgoing connection was given its port.
TEST_CASE("no outgoing connection gets a port of a block")
{
    PortBlock block;
    boost::asio::io_context io;
    const tcp::acceptor server(io, {boost::asio::ip::address_v4::loopback(), 0});
    for (int i = 0; i < 100; ++i) {
        tcp::socket client(io);
        client.connect(server.local_endpoint());
        CHECK(client.local_endpoint().port() > block.next());
    }
}

// Guards a process that is given a port on which another one listens.
TEST_CASE("a port that somebody listens on is left out")
{
    boost::asio::io_context io;
    tcp::acceptor other(io);
    PortBlock block;
    // A connection that ended shortly before may still occupy the port behind the one that is free.
    std::uint16_t taken = 0;
    boost::system::error_code error;
    do {
        other.close();
        taken = static_cast<std::uint16_t>(block.next() + 1);
        other.open(tcp::v4());
        other.bind({boost::asio::ip::address_v4::loopback(), taken}, error);
    } while (error);
    CHECK(block.next() != taken);
}

} // namespace
} // namespace daisystream::scenarios
