#define DOCTEST_CONFIG_IMPLEMENT
#include "daemon/frontend/frontendfixture_test.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <pthread.h>

#include <cstdio>
#include <ctime>

/// @file
/// Processor time that the front end spends on each relayed token, beside that of the stand-in engine which serves the
/// same callers over direct connections in the same run. Tokens come one at a time, as from an engine in service, so that
/// each costs a read and a write of its own. The figures are printed, not judged: they depend on the machine.

DEFINE_uint32(streams, 32, "answers at the same time");
DEFINE_uint32(tokens, 2000, "tokens of each answer");
DEFINE_double(step_ms, 2, "time between two tokens of an answer");

namespace
{

using namespace daisystream;
using namespace daisystream::frontendtest;

double processorSeconds(std::jthread &thread)
{
    clockid_t clock{};
    pthread_getcpuclockid(thread.native_handle(), &clock);
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// An event loop on one thread.
class Loop
{
public:
    Loop()
        : thread_([this] { io.run(); })
    {
    }
    ~Loop()
    {
        io.stop();
    }
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    [[nodiscard]] double seconds()
    {
        return processorSeconds(thread_);
    }

    asio::io_context io;

private:
    asio::executor_work_guard<asio::io_context::executor_type> guard_{asio::make_work_guard(io)};
    std::jthread thread_;
};

/// Streams all answers from a port. @return how many tokens arrived.
std::size_t streamAll(std::uint16_t port)
{
    std::vector<std::size_t> counts(FLAGS_streams);
    std::vector<std::jthread> callers;
    callers.reserve(counts.size());
    for (auto &count : counts) {
        callers.emplace_back([&count, port] {
            EventStream stream(port, "/v1/completions", kNorth, completion(FLAGS_tokens));
            while (const auto event = stream.next()) {
                count += event->data.find("\"finish_reason\":null") != std::string::npos ? 1 : 0;
            }
        });
    }
    callers.clear();
    std::size_t total = 0;
    for (const auto count : counts) {
        total += count;
    }
    return total;
}

int measure()
{
    Loop engineLoop;
    Loop frontLoop;
    EngineServerOptions options;
    options.name = "e1";
    options.model.stepBaseMilliseconds = FLAGS_step_ms;
    options.model.stepMillisecondsPerAnswer = 0;
    EngineServer engine(engineLoop.io, options);
    OrderNet net;
    MemoryRecords records;
    Vm vm(frontLoop.io, net, records, "vm1", 1, {});
    vm.dispatcher.engines = {Fleet::engineAt("e1", engine.port())};

    const double engineBefore = engineLoop.seconds();
    const auto direct = streamAll(engine.port());
    const double engineDirect = engineLoop.seconds() - engineBefore;
    const double frontBefore = frontLoop.seconds();
    const auto relayed = streamAll(vm.port());
    const double front = frontLoop.seconds() - frontBefore;
    const std::size_t expected = static_cast<std::size_t>(FLAGS_streams) * FLAGS_tokens;
    std::printf("direct: %zu of %zu tokens, engine %.2f us of processor time a token\n", direct, expected, engineDirect * 1e6 / static_cast<double>(direct));
    std::printf("relayed: %zu of %zu tokens, front end %.2f us of processor time a token\n", relayed, expected, front * 1e6 / static_cast<double>(relayed));
    std::printf("ratio of front end to engine: %.2f\n", front / engineDirect * static_cast<double>(direct) / static_cast<double>(relayed));
    return direct == expected && relayed == expected ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
try {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_minloglevel = google::WARNING;
    google::InitGoogleLogging(argv[0]);
    doctest::Context context;
    context.setAsDefaultForAssertsOutOfTestCases();
    return measure();
} catch (...) {
    std::fputs("relaycost: unexpected exception\n", stderr);
    return 1;
}
