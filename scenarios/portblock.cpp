#include "scenarios/portblock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <stdexcept>

namespace daisystream::scenarios
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

// Linux takes the local ports of outgoing connections from 32768 on (net.ipv4.ip_local_port_range).
constexpr unsigned kFirstPort = 12000;
constexpr unsigned kEndPort = 32768;
// More than the processes of a soak at the limit need: three for each of 100 VMs, two for each of 100 endpoints.
constexpr unsigned kBlockPorts = 512;

/// Binds a port without listening. @return whether it was free.
bool bindPort(tcp::acceptor &acceptor, unsigned port)
{
    boost::system::error_code error;
    acceptor.open(tcp::v4(), error);
    acceptor.bind({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, error);
    if (error) {
        acceptor.close();
        return false;
    }
    return true;
}

} // namespace

class PortBlock::Private
{
public:
    asio::io_context io_;
    tcp::acceptor claim_{io_}; // The first port of the block. The kernel releases it however the process ends.
    unsigned next_ = 0;
    unsigned end_ = 0;
};

PortBlock::PortBlock()
    : d_(std::make_unique<Private>())
{
    for (unsigned first = kFirstPort; first + kBlockPorts <= kEndPort; first += kBlockPorts) {
        if (bindPort(d_->claim_, first)) {
            d_->next_ = first + 1;
            d_->end_ = first + kBlockPorts;
            return;
        }
    }
    throw std::runtime_error("all blocks of ports are in use");
}

PortBlock::~PortBlock() = default;

std::uint16_t PortBlock::next()
{
    while (d_->next_ < d_->end_) {
        const unsigned port = d_->next_++;
        tcp::acceptor probe(d_->io_);
        if (bindPort(probe, port)) {
            return static_cast<std::uint16_t>(port);
        }
    }
    throw std::runtime_error("the block of ports is used up");
}

} // namespace daisystream::scenarios
