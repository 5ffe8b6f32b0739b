#include "standins/platform/platformmodel.h"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <iostream>

DEFINE_uint32(port, 9100, "port to listen on, 0 for any free one");

int main(int argc, char **argv)
try {
    gflags::SetUsageMessage("standin_platform [--port PORT]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context io;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code &, int) { io.stop(); });
    const daisystream::standins::PlatformStandIn platform(io, static_cast<std::uint16_t>(FLAGS_port));
    std::cout << "port=" << platform.port() << std::endl; // NOLINT(performance-avoid-endl): read by the starting program
    io.run();
    return 0;
} catch (const std::exception &fault) {
    std::fprintf(stderr, "standin_platform: %s\n", fault.what());
    return 1;
}
