#include "scenarios/portblock.h"
#include "scenarios/scratchfolder.h"
#include "soak/checks.h"
#include "soak/deployment.h"
#include "soak/plan.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(programs, "build", "build folder with the executables");
DEFINE_uint64(seed, 1, "seed of the first plan");
DEFINE_uint32(seeds, 1, "number of plans, each with the next seed");
DEFINE_string(regressions, "", "file with one seed a line, each with its cause; they are played instead");
DEFINE_uint32(vms, 4, "VMs");
DEFINE_uint32(engines, 4, "engines");
DEFINE_uint32(services, 3, "endpoints of the plain service");
DEFINE_uint32(steps, 14, "disturbances of a plan");
DEFINE_uint32(limits, 3, "times that endpoints state limits of requests a second");
DEFINE_uint32(withdrawals, 1, "times that a zone is taken out of service");
DEFINE_double(deadly, 0, "share of the answers whose prompts have a part that crashes engines");
DEFINE_uint32(deadlyparts, 1, "different parts that crash engines");
DEFINE_uint32(seconds, 14, "time within which disturbances begin");
DEFINE_uint32(callers, 2, "processes of callers");
DEFINE_uint32(connections, 10, "connections of each process of callers");
DEFINE_bool(keep, false, "keep the folder with settings and logs also if nothing was broken");
DEFINE_bool(plan, false, "only print the plan");

namespace
{

using namespace daisystream::soak;
using daisystream::scenarios::PortBlock;
using daisystream::scenarios::ScratchFolder;

// How long requests are counted after the recovery time.
constexpr milliseconds kCountedAfterwards{3000};
// A disturbance ends at most so long after the last one has begun: its length, a restart, a stop that takes its whole grace.
constexpr milliseconds kLongestEnd{30000};

PlanSize sizeFromFlags()
{
    return {.vms = FLAGS_vms,
            .engines = FLAGS_engines,
            .services = FLAGS_services,
            .steps = FLAGS_steps,
            .limits = FLAGS_limits,
            .withdrawals = FLAGS_withdrawals,
            .length = milliseconds(1000 * FLAGS_seconds),
            .deadlyShare = FLAGS_deadly,
            .deadlyParts = FLAGS_deadlyparts};
}

std::string commandOf(std::uint64_t seed)
{
    std::ostringstream command;
    command << "soak --seed " << seed << " --vms " << FLAGS_vms << " --engines " << FLAGS_engines << " --services " << FLAGS_services << " --steps "
            << FLAGS_steps << " --limits " << FLAGS_limits << " --withdrawals " << FLAGS_withdrawals << " --deadly " << FLAGS_deadly << " --deadlyparts "
            << FLAGS_deadlyparts << " --seconds " << FLAGS_seconds << " --callers " << FLAGS_callers << " --connections " << FLAGS_connections;
    return command.str();
}

Record play(const Plan &plan, const PlanSize &size, std::uint64_t seed, const std::string &scratch, PortBlock &ports)
{
    Deployment deployment(
        {.programs = FLAGS_programs, .scratch = scratch, .size = size, .seed = seed, .callerProcesses = FLAGS_callers, .connections = FLAGS_connections},
        plan,
        ports);
    deployment.start();
    const auto begunAt = now();
    for (const auto &step : plan.steps) {
        while (now() < begunAt + step.at) {
            deployment.tick();
        }
        deployment.begin(step);
    }
    const auto lastEnd = now() + kLongestEnd;
    while (!deployment.isCalm() && now() < lastEnd) {
        deployment.tick();
    }
    const bool hasCalmed = deployment.isCalm();
    const auto calmSince = now();
    while (now() < calmSince + Bounds().recovery + kCountedAfterwards) {
        deployment.tick();
    }
    deployment.stop();
    auto record = deployment.record();
    record.calmSince = calmSince;
    if (!hasCalmed) {
        record.unexpectedEnds.emplace_back("the processes did not all run again within " + std::to_string(kLongestEnd.count()) + " ms of the last disturbance");
    }
    return record;
}

/// @return whether no promise was broken.
bool playSeed(std::uint64_t seed, PortBlock &ports)
{
    const auto size = sizeFromFlags();
    const auto plan = makePlan(seed, size);
    if (FLAGS_plan) {
        for (const auto &step : plan.steps) {
            std::cout << describe(step) << '\n';
        }
        return true;
    }
    ScratchFolder scratch("soak");
    const auto record = play(plan, size, seed, scratch.path(), ports);
    const auto violations = check(record, {});
    const auto summary = summarize(record, {});
    const auto stalls
        = std::count_if(record.timeline.spans().begin(), record.timeline.spans().end(), [](const auto &span) { return span.name == kEverything; });
    std::cout << "seed " << seed << ": " << violations.size() << " broken; " << summary.requests << " requests, " << summary.served << " served, "
              << summary.refused << " refused, " << summary.inTouch << " in touch, " << summary.runs << " runs, " << summary.moved << " moved, "
              << summary.limited << " at endpoints with a limit, " << summary.deadly << " requests with deadly parts, " << summary.deadlyRuns
              << " of them run, " << summary.crashes << " crashes; " << summary.servedAfterwards << " served afterwards; " << stalls << " stalls of the machine"
              << std::endl;
    for (const auto &violation : violations) {
        std::cout << "  " << violation.promise << ": " << violation.text << '\n';
    }
    if (!violations.empty()) {
        std::cout << "  again: " << commandOf(seed) << std::endl;
        scratch.keep();
    }
    if (FLAGS_keep) {
        scratch.keep();
    }
    return violations.empty();
}

std::vector<std::uint64_t> seedsToPlay()
{
    std::vector<std::uint64_t> seeds;
    if (!FLAGS_regressions.empty()) {
        std::ifstream file(FLAGS_regressions);
        for (std::string line; std::getline(file, line);) {
            std::istringstream fields(line);
            std::uint64_t seed = 0;
            if (fields >> seed) {
                seeds.push_back(seed);
            }
        }
        return seeds;
    }
    for (std::uint64_t i = 0; i < FLAGS_seeds; ++i) {
        seeds.push_back(FLAGS_seed + i);
    }
    return seeds;
}

} // namespace

int main(int argc, char **argv)
try {
    gflags::SetUsageMessage("soak [--seed N] [--seeds N] [--regressions FILE]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    PortBlock ports;
    unsigned broken = 0;
    const auto seeds = seedsToPlay();
    for (const auto seed : seeds) {
        broken += playSeed(seed, ports) ? 0 : 1;
    }
    std::cout << seeds.size() << " played, " << broken << " with broken promises\n";
    return broken == 0 ? 0 : 1;
} catch (const std::exception &fault) {
    std::fprintf(stderr, "soak: %s\n", fault.what());
    return 1;
}
