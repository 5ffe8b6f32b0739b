#include "daemon/settings.h"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <cstdio>
#include <thread>
#include <vector>

DEFINE_string(settings, "", "path of the settings file (JSON with comments)");
DEFINE_bool(check, false, "only check the settings file and exit");

namespace
{

constexpr int kExitInvalidSettings = 2;

} // namespace

int main(int argc, char **argv)
try {
    FLAGS_logtostderr = true;
    gflags::SetUsageMessage("daisystreamd --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    const auto result = daisystream::readSettings(FLAGS_settings);
    if (const auto *error = std::get_if<daisystream::Error>(&result)) {
        LOG(ERROR) << error->detail;
        return kExitInvalidSettings;
    }
    const auto &settings = std::get<daisystream::Settings>(result);
    if (FLAGS_check) {
        return 0;
    }
    boost::asio::io_context io;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code &, int) { io.stop(); });
    std::vector<std::jthread> workers;
    for (unsigned i = 0; i < settings.workers; ++i) {
        workers.emplace_back([&io] { io.run(); });
    }
    return 0;
} catch (const std::exception &fault) {
    std::fprintf(stderr, "daisystreamd: %s\n", fault.what());
    return 1;
}
