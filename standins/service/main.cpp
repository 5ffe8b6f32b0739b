#include "standins/service/serviceserver.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_uint32(port, 9100, "port to listen on");
DEFINE_uint32(hangs, 0, "how many of the first orders run and are never answered");
DEFINE_uint32(lose_replies, 0, "how many of the first orders run and lose their reply");
DEFINE_uint32(refusals, 0, "how many of the first orders are refused");
DEFINE_uint32(drops, 0, "how many of the first connections with an order are closed before it runs");

int main(int argc, char **argv)
try {
    gflags::SetUsageMessage("standin_service --port PORT");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context io;
    daisystream::ServiceServer service(io, static_cast<std::uint16_t>(FLAGS_port));
    service.setFaults({.hangs = FLAGS_hangs, .loseReplies = FLAGS_lose_replies, .refusals = FLAGS_refusals, .drops = FLAGS_drops});
    std::printf("listening on port %u\n", static_cast<unsigned>(service.port()));
    std::fflush(stdout);
    io.run();
    return 0;
} catch (const std::exception &fault) {
    std::fprintf(stderr, "standin_service: %s\n", fault.what());
    return 1;
}
