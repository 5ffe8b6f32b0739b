#include "standins/relay/relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <string>

namespace daisystream::standins
{
namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

/// Sends a part of a message over a relay in one direction.
/// @param fromTarget whether it is the target of the relay that sends.
/// @param isReset whether the sender resets the connection, instead of an orderly end of its side.
/// @return how the stream ended at the receiver.
error_code endOf(bool fromTarget, bool isReset)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    const Relay relay(acceptor.local_endpoint().port());
    tcp::socket client(io);
    client.connect({asio::ip::address_v4::loopback(), relay.port()});
    tcp::socket target = acceptor.accept();
    tcp::socket &sender = fromTarget ? target : client;
    tcp::socket &receiver = fromTarget ? client : target;

    asio::write(sender, asio::buffer("part", 4));
    std::array<char, 4> part{};
    asio::read(receiver, asio::buffer(part));
    CHECK(std::string(part.data(), part.size()) == "part");
    if (isReset) {
        sender.set_option(asio::socket_base::linger(true, 0));
        sender.close();
    } else {
        sender.shutdown(tcp::socket::shutdown_send);
    }
    error_code end;
    receiver.read_some(asio::buffer(part), end);
    return end;
}

// Guards against a broken connection that a relay turns into an orderly end, which would hide a message that was cut short.
TEST_CASE("a relay passes on how a stream ends")
{
    for (const bool fromTarget : {false, true}) {
        CAPTURE(fromTarget);
        CHECK(endOf(fromTarget, false) == asio::error::eof);
        CHECK(endOf(fromTarget, true) == asio::error::connection_reset);
    }
}

} // namespace
} // namespace daisystream::standins
