#include "standins/engine/engineserver.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(name, "engine", "prefix of generation names; must differ between engines");
DEFINE_uint32(port, 9000, "port to listen on");
DEFINE_uint32(tokens, 20, "tokens of an answer whose request does not say otherwise");
DEFINE_double(step_ms, 8, "time of a step without any answer");
DEFINE_double(step_ms_per_answer, 0.2, "time that each answer adds to a step");
DEFINE_uint64(memory_tokens, 120000, "capacity for prompts and generated tokens");
DEFINE_uint32(max_batch, 96, "answers in the batch at most");
DEFINE_bool(fencing, true, "refuse orders with an outdated fencing number");
DEFINE_uint32(report_lag_ms, 0, "age of load reports");
DEFINE_uint64(first_generation, 1, "number of the first generation; must not repeat after a restart");
DEFINE_string(crash_text, "", "the engine dies when it begins an answer on a prompt with this text");
DEFINE_double(slow_factor, 1, "each step takes this many times as long");
DEFINE_uint32(malformed_every, 0, "every so many events one is cut to a half");
DEFINE_uint32(duplicate_every, 0, "every so many events one is sent twice");
DEFINE_uint32(reorder_every, 0, "every so many events one is sent after its successor");
DEFINE_uint32(foreign_every, 0, "every so many events one of another generation is sent");
DEFINE_uint32(cut_every, 0, "every so many events the connection is closed");

int main(int argc, char **argv)
try {
    gflags::SetUsageMessage("standin_engine --name NAME --port PORT");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    daisystream::EngineServerOptions options;
    options.name = FLAGS_name;
    options.port = static_cast<std::uint16_t>(FLAGS_port);
    options.defaultTokens = FLAGS_tokens;
    options.fencing = FLAGS_fencing;
    options.reportLag = std::chrono::milliseconds(FLAGS_report_lag_ms);
    options.crashText = FLAGS_crash_text;
    options.model.stepBaseMilliseconds = FLAGS_step_ms;
    options.model.stepMillisecondsPerAnswer = FLAGS_step_ms_per_answer;
    options.model.memoryTokens = FLAGS_memory_tokens;
    options.model.maxBatch = FLAGS_max_batch;
    options.model.firstGeneration = FLAGS_first_generation;
    boost::asio::io_context io;
    daisystream::EngineServer engine(io, options);
    daisystream::EngineFaults faults;
    faults.slowFactor = FLAGS_slow_factor;
    faults.malformedEvery = FLAGS_malformed_every;
    faults.duplicateEvery = FLAGS_duplicate_every;
    faults.reorderEvery = FLAGS_reorder_every;
    faults.foreignEvery = FLAGS_foreign_every;
    faults.cutEvery = FLAGS_cut_every;
    engine.setFaults(faults);
    std::printf("listening on port %u\n", static_cast<unsigned>(engine.port()));
    std::fflush(stdout);
    io.run();
    return 0;
} catch (const std::exception &fault) {
    std::fprintf(stderr, "standin_engine: %s\n", fault.what());
    return 1;
}
