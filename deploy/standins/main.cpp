#include "deploy/standins/fleetcallers.h"
#include "deploy/standins/fleetendpoint.h"
#include "deploy/standins/fleetstore.h"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

DEFINE_string(role, "", "store, engine, service or callers");
DEFINE_string(name, "", "name of an endpoint");
DEFINE_string(service, "", "service of an endpoint");
DEFINE_string(zone, "a", "zone of an endpoint");
DEFINE_uint32(port, 0, "port to listen on");
DEFINE_uint32(advertised_port, 0, "port that an endpoint registers");
DEFINE_uint32(store_port, 0, "port of the store");
DEFINE_string(plan, "", "file with the plan of callers");

namespace
{

namespace asio = boost::asio;
using namespace daisystream;

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/// Coroutines that wait refer to what `main` owns, so that the process ends without destroying it.
[[noreturn]] void endProcess()
{
    std::fflush(stdout);
    std::_Exit(0);
}

} // namespace

int main(int argc, char **argv)
try {
    gflags::SetUsageMessage("standin_fleet --role store|engine|service|callers");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context io;
    asio::signal_set signals(io, SIGTERM, SIGINT);
    if (FLAGS_role == "store") {
        const standins::FleetStore store(io, static_cast<std::uint16_t>(FLAGS_port));
        signals.async_wait([](const boost::system::error_code &, int) { endProcess(); });
        io.run();
    } else if (FLAGS_role == "engine" || FLAGS_role == "service") {
        standins::FleetEndpoint endpoint(io,
                                         {.name = FLAGS_name,
                                          .service = FLAGS_service,
                                          .zone = FLAGS_zone,
                                          .isEngine = FLAGS_role == "engine",
                                          .port = static_cast<std::uint16_t>(FLAGS_port),
                                          .advertisedPort = static_cast<std::uint16_t>(FLAGS_advertised_port),
                                          .storePort = static_cast<std::uint16_t>(FLAGS_store_port)});
        signals.async_wait([&](const boost::system::error_code &, int) { endpoint.leave(endProcess); });
        io.run();
    } else if (FLAGS_role == "callers") {
        standins::FleetCallers callers(io, soak::decodeCallerPlan(readFile(FLAGS_plan)));
        callers.start();
        signals.async_wait([&](const boost::system::error_code &, int) { callers.stop(endProcess); });
        io.run();
    } else {
        std::fprintf(stderr, "standin_fleet: --role must be store, engine, service or callers\n");
        return 2;
    }
    return 0;
} catch (const std::exception &fault) {
    std::fprintf(stderr, "standin_fleet: %s\n", fault.what());
    return 1;
}
