#include "daemon/peers/peerlink.h"

#include "daemon/control/bootclock.h"
#include "daemon/control/testloop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <atomic>

namespace daisystream
{
namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

const SocketAddress kAnyPort{"127.0.0.1", 0};

struct Vm
{
    Vm(TestLoop &loop, const std::string &name, PeerLinkOptions options = {})
        : link(loop.io, {.vm = VmId(name), .zone = {}, .incarnation = 7}, clock, metrics, options)
    {
        link.setMessageHandler([this](const VmId &, std::uint64_t, const PeerMessage &) { ++received; });
        REQUIRE_FALSE(link.start(kAnyPort, std::nullopt));
    }

    void connect(const Vm &other)
    {
        link.setPeers({{.vm = other.link.self(), .address = {"127.0.0.1", other.link.port()}, .zone = {}}});
    }

    std::uint64_t count(const std::string &name)
    {
        return metrics.counter(name, "").value();
    }

    BootClock clock;
    Metrics metrics;
    std::atomic<int> received{0};
    PeerLink link;
};

bool reaches(Vm &from, Vm &to)
{
    const int before = to.received;
    return TestLoop::waitUntil([&] {
        from.link.send(to.link.self(), DocumentRequestMessage{0});
        return to.received > before;
    });
}

/// A raw connection that first says hello.
tcp::socket rawConnection(asio::io_context &io, const Vm &to, const std::string &bytes)
{
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), to.link.port()});
    asio::write(socket, asio::buffer(bytes));
    return socket;
}

std::string framed(const PeerMessage &message)
{
    const std::string bytes = encodeMessage(message, BootClock().now());
    std::string head(4, '\0');
    head[0] = static_cast<char>(bytes.size());
    return head + bytes;
}

bool isClosedByPeer(tcp::socket &socket)
{
    std::array<char, 64> buffer{};
    boost::system::error_code error;
    while (!error) {
        socket.read_some(asio::buffer(buffer), error);
    }
    return true;
}

// Guards against malformed bytes that end the process, or that disturb other connections.
TEST_CASE("malformed bytes close only their connection")
{
    TestLoop loop;
    Vm first(loop, "vm1");
    Vm second(loop, "vm2");
    first.connect(second);
    REQUIRE(reaches(first, second));
    const std::string hello = framed(HelloMessage{.vm = VmId("vm3"), .incarnation = 1, .zone = {}});
    const std::string ok = framed(DocumentRequestMessage{0});
    for (const std::string &bytes : {std::string("GET / HTTP/1.1\r\n\r\n"),
                                     std::string("\xff\xff\xff\xff", 4),
                                     std::string("\0\0\0\0", 4),
                                     hello + std::string("\x05\0\0\0garbage", 11),
                                     ok}) {
        tcp::socket socket = rawConnection(loop.io, second, bytes);
        CHECK(isClosedByPeer(socket));
    }
    CHECK(second.count("daisystream_peer_malformed_total") == 4);
    CHECK(reaches(first, second));
    loop.stop();
}

// Guards against daemons of two versions that misread each other's messages.
TEST_CASE("a peer with another protocol version is refused")
{
    TestLoop loop;
    Vm old(loop, "vm1", {.protocolVersion = kPeerProtocolVersion + 1});
    Vm current(loop, "vm2");
    old.connect(current);
    REQUIRE(TestLoop::waitUntil([&] {
        old.link.send(VmId("vm2"), DocumentRequestMessage{0});
        return current.count("daisystream_peer_version_mismatch_total") >= 2; // It also tries again.
    }));
    CHECK(current.received == 0);
    loop.stop();
}

// Guards against a connection that takes bytes but leads nowhere and is used for ever, while a new one would work.
TEST_CASE("a connection without acknowledgements is replaced")
{
    TestLoop loop;
    Vm vm(loop, "vm1", {.silence = std::chrono::milliseconds(100), .checkEvery = std::chrono::milliseconds(10), .pingEvery = std::chrono::milliseconds(20)});
    tcp::acceptor silent(loop.io, {asio::ip::make_address("127.0.0.1"), 0});
    vm.link.setPeers({{.vm = VmId("vm2"), .address = {"127.0.0.1", silent.local_endpoint().port()}, .zone = {}}});
    tcp::socket first(loop.io);
    silent.accept(first);
    tcp::socket second(loop.io);
    silent.accept(second); // Blocks for ever if the first one is kept.
    CHECK(second.is_open());
    loop.stop();
}

struct OrderVms
{
    explicit OrderVms(TestLoop &loop)
        : first(loop, "vm1")
        , second(loop, "vm2")
    {
        first.connect(second);
        second.connect(first);
        REQUIRE(reaches(first, second));
        REQUIRE(reaches(second, first));
    }

    Result<OrderReply> forward(std::uint64_t incarnation)
    {
        std::promise<Result<OrderReply>> promise;
        first.link.forwardOrder(VmId("vm2"),
                                incarnation,
                                {.ticket = "t", .team = {}, .service = {}, .method = {}, .target = {}, .headers = {}, .body = {}},
                                [&](const Result<OrderReply> &reply) { promise.set_value(reply); });
        return promise.get_future().get();
    }

    Vm first;
    Vm second;
};

// Guards against an order that runs at a later incarnation, and against a lost order that is reported as not run.
TEST_CASE("a forwarded order runs only at the incarnation that issued the ticket")
{
    TestLoop loop;
    OrderVms vms(loop);
    std::atomic<int> runs{0};
    vms.second.link.setOrderHandler([&](const ForwardedOrder &, const OrderForwarding::ReplyHandler &reply) {
        ++runs;
        reply(OrderReply{.status = 201, .headers = {}, .body = "done"});
    });
    const auto good = vms.forward(7);
    REQUIRE(std::holds_alternative<OrderReply>(good));
    CHECK(std::get<OrderReply>(good).body == "done");
    CHECK((std::get<Error>(vms.forward(6)).code == ResultCode::TicketIssuerGone));
    CHECK(runs == 1);
    vms.second.link.setOrderHandler([&](const ForwardedOrder &, const OrderForwarding::ReplyHandler &) {
        ++runs;
        vms.second.link.stop();
    });
    CHECK((std::get<Error>(vms.forward(7)).code == ResultCode::OrderOutcomeUnknown));
    CHECK(runs == 2);
    REQUIRE(TestLoop::waitUntil([&] { return !vms.first.link.send(VmId("vm2"), PingMessage{1}); }));
    CHECK((std::get<Error>(vms.forward(7)).code == ResultCode::PeerUnreachable));
    loop.stop();
}

// Guards against the loss of a reply while the issuer's own connection to the asking VM is not up yet, as after a start.
TEST_CASE("the reply to a forwarded order waits for the connection to the asking VM")
{
    TestLoop loop;
    OrderVms vms(loop);
    vms.second.link.setPeers({});
    REQUIRE(TestLoop::waitUntil([&] { return !vms.second.link.send(VmId("vm1"), PingMessage{1}); }));
    vms.second.link.setOrderHandler([&](const ForwardedOrder &, const OrderForwarding::ReplyHandler &reply) {
        reply(OrderReply{.status = 201, .headers = {}, .body = "done"});
        vms.second.connect(vms.first);
    });
    CHECK(std::holds_alternative<OrderReply>(vms.forward(7)));
    loop.stop();
}

// Guards against an order that fails only because the asking VM has just started and is not connected yet.
TEST_CASE("an order waits for the connection to the VM that issued its ticket")
{
    TestLoop loop;
    OrderVms vms(loop);
    std::atomic<int> runs{0};
    vms.second.link.setOrderHandler([&](const ForwardedOrder &, const OrderForwarding::ReplyHandler &reply) {
        ++runs;
        reply(OrderReply{.status = 201, .headers = {}, .body = "done"});
    });
    vms.first.link.setPeers({});
    REQUIRE(TestLoop::waitUntil([&] { return !vms.first.link.send(VmId("vm2"), PingMessage{1}); }));
    std::promise<Result<OrderReply>> promise;
    vms.first.link.forwardOrder(VmId("vm2"),
                                7,
                                {.ticket = "t", .team = {}, .service = {}, .method = {}, .target = {}, .headers = {}, .body = {}},
                                [&](const Result<OrderReply> &reply) { promise.set_value(reply); });
    vms.first.connect(vms.second);
    CHECK(std::holds_alternative<OrderReply>(promise.get_future().get()));
    CHECK(runs == 1);
    loop.stop();
}

} // namespace
} // namespace daisystream
