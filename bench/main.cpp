#include "bench/checks.h"
#include "bench/fleet.h"
#include "bench/harness.h"
#include "bench/scenario.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <sstream>

DEFINE_string(scenario, "normal", "scenario, or 'list', or 'large' for the run toward the target size");
DEFINE_string(fleet, "fizzwell", "fizzwell or murmeltier");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint32(seeds, 1, "number of seeds");
DEFINE_bool(check, false, "check the targets; the exit status is the number of missed ones");
DEFINE_string(only, "", "checks to make, separated by commas");
DEFINE_string(except, "", "checks to leave out, separated by commas");
DEFINE_string(policy, "", "run only this policy");
DEFINE_double(trace_from, 0, "seconds of virtual time from which events of arrangement (d) go to standard error");
DEFINE_double(trace_to, 0, "end of the trace");

namespace daisystream::bench
{
namespace
{

constexpr std::array<Policy, 6> kPolicies{Policy::RoundRobin, Policy::LeastOutstanding, Policy::FirstCome, Policy::Alone, Policy::EndpointOwner, Policy::Cells};

std::set<std::string> split(const std::string &list)
{
    std::set<std::string> parts;
    std::stringstream stream(list);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.insert(part);
    }
    return parts;
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Figures runOne(const Fleet &fleet, const Scenario &scenario, Policy policy, std::uint64_t seed)
{
    Harness harness(fleet, scenario, policy, seed);
    if (policy == Policy::Cells) {
        harness.traceBetween(fromSeconds(FLAGS_trace_from), fromSeconds(FLAGS_trace_to));
    }
    Figures figures = harness.run();
    if (policy == Policy::Cells && scenario.name == "platform") {
        Scenario undisturbed = scenario;
        undisturbed.faults.clear();
        Harness other(fleet, undisturbed, policy, seed);
        (void)other.run();
        figures["decisions differ"] = harness.decisionHash() == other.decisionHash() ? 0 : 1;
    }
    return figures;
}

SeedRuns runSeed(const Fleet &fleet, const Scenario &scenario, std::uint64_t seed)
{
    SeedRuns runs;
    for (const Policy policy : kPolicies) {
        const bool wanted = FLAGS_policy.empty() ? !scenario.cellsOnly || policy == Policy::Cells : FLAGS_policy == toString(policy);
        if (wanted) {
            runs[toString(policy)] = runOne(fleet, scenario, policy, seed);
        }
    }
    if (FLAGS_check && needsNormalRun(scenario.name)) {
        runs["normal"] = runOne(fleet, *findScenario("normal"), Policy::Cells, seed);
    }
    return runs;
}

void printTable(const std::vector<SeedRuns> &seeds)
{
    std::vector<std::string> columns;
    for (const Policy policy : kPolicies) {
        if (seeds.front().contains(toString(policy))) {
            columns.emplace_back(toString(policy));
        }
    }
    std::printf("%-40s", "figure (median [minimum, maximum])");
    for (const std::string &column : columns) {
        std::printf(" %26s", column.c_str());
    }
    std::printf("\n");
    for (const auto &[name, unused] : seeds.front().at(columns.back())) {
        std::printf("%-40s", name.c_str());
        for (const std::string &column : columns) {
            std::vector<double> values;
            values.reserve(seeds.size());
            for (const SeedRuns &runs : seeds) {
                values.push_back(runs.at(column).at(name));
            }
            const Summary summary = summarize(values);
            std::array<char, 64> text{};
            std::snprintf(text.data(), text.size(), summary.count > 1 ? "%.4g [%.4g, %.4g]" : "%.4g", summary.median, summary.least, summary.most);
            std::printf(" %26s", text.data());
        }
        std::printf("\n");
    }
}

int printChecks(const std::vector<Check> &checks)
{
    const std::set<std::string> only = split(FLAGS_only);
    const std::set<std::string> except = split(FLAGS_except);
    int missed = 0;
    for (const Check &check : checks) {
        if ((!only.empty() && !only.contains(check.name)) || except.contains(check.name)) {
            continue;
        }
        const Summary summary = summarize(check.values);
        std::printf("%-6s %-16s bound %s %.4g, %zu seeds: minimum %.4g, median %.4g, maximum %.4g (%s)\n",
                    check.holds() ? "met" : "MISSED",
                    check.name.c_str(),
                    check.atLeast ? ">=" : "<=",
                    check.bound,
                    summary.count,
                    summary.least,
                    summary.median,
                    summary.most,
                    check.target.c_str());
        for (std::size_t i = 0; i < check.values.size(); ++i) {
            const std::uint64_t seed = FLAGS_seed + i;
            if (check.atLeast ? check.values[i] < check.bound : check.values[i] > check.bound) {
                std::printf("       seed %llu: %.4g; replay: bench/bench --scenario %s --fleet %s --seed %llu --check --only %s\n",
                            static_cast<unsigned long long>(seed),
                            check.values[i],
                            FLAGS_scenario.c_str(),
                            FLAGS_fleet.c_str(),
                            static_cast<unsigned long long>(seed),
                            check.name.c_str());
            }
        }
        missed += check.holds() ? 0 : 1;
    }
    return missed;
}

int runScenario()
{
    const Scenario *scenario = findScenario(FLAGS_scenario);
    if (scenario == nullptr || (FLAGS_fleet != "fizzwell" && FLAGS_fleet != "murmeltier")) {
        std::fprintf(stderr, "bench: unknown scenario or fleet; see --scenario list\n");
        return 100;
    }
    const Fleet fleet = FLAGS_fleet == "fizzwell" ? fizzwell() : murmeltier();
    const std::uint64_t last = FLAGS_seed + FLAGS_seeds - 1;
    std::printf("scenario %s, fleet %s, seeds %llu to %llu: %s\n",
                scenario->name.c_str(),
                fleet.name.c_str(),
                static_cast<unsigned long long>(FLAGS_seed),
                static_cast<unsigned long long>(last),
                scenario->purpose.c_str());
    std::vector<SeedRuns> seeds;
    seeds.reserve(FLAGS_seeds);
    for (std::uint64_t i = 0; i < FLAGS_seeds; ++i) {
        seeds.push_back(runSeed(fleet, *scenario, FLAGS_seed + i));
    }
    printTable(seeds);
    return FLAGS_check ? printChecks(checksFor(scenario->name, seeds)) : 0;
}

// Figures at rising sizes and the slope of each against the number of VMs, to judge the target size.
int runLarge()
{
    struct Size
    {
        std::uint32_t engines;
        std::uint32_t vms;
    };
    constexpr std::array<Size, 3> kSizes{Size{28, 11}, Size{55, 21}, Size{110, 42}};
    const std::array<const char *, 9> kRows{"cpu % of a core per VM",
                                            "cpu % of a core, busiest VM",
                                            "control bytes/s per VM",
                                            "load report bytes/s per VM",
                                            "urgent within SLO",
                                            "ordinary within SLO",
                                            "urgent first token p99 ms",
                                            "urgent token gap p99 ms",
                                            "tokens/s"};
    Scenario scenario = *findScenario("normal");
    scenario.length = std::chrono::seconds(60);
    scenario.floodBegin = std::chrono::seconds(20);
    scenario.floodEnd = std::chrono::seconds(50);
    std::vector<Figures> figures;
    std::printf("%-32s", "cells of 3 engines, 60% load");
    for (const Size &size : kSizes) {
        Harness harness(largeFleet(size.engines, size.vms), scenario, Policy::Cells, FLAGS_seed);
        harness.measureProcessorTime();
        figures.push_back(harness.run());
        std::printf(" %7u eng %3u VMs", size.engines, size.vms);
    }
    std::printf(" %20s %20s\n", "slope per 100 VMs", "line at 420 VMs");
    for (const char *row : kRows) {
        std::printf("%-32s", row);
        for (const Figures &run : figures) {
            std::printf(" %19.4g", run.at(row));
        }
        const double slope = (figures.back().at(row) - figures.front().at(row)) / (kSizes.back().vms - kSizes.front().vms);
        std::printf(" %20.4g %20.4g\n", 100 * slope, figures.back().at(row) + slope * (420 - kSizes.back().vms));
    }
    return 0;
}

int runMain()
{
    if (FLAGS_scenario == "list") {
        for (const Scenario &scenario : scenarios()) {
            std::printf("%-14s %s\n", scenario.name.c_str(), scenario.purpose.c_str());
        }
        return 0;
    }
    return FLAGS_scenario == "large" ? runLarge() : runScenario();
}

} // namespace
} // namespace daisystream::bench

int main(int argc, char **argv)
try {
    gflags::SetUsageMessage("benchmarks in virtual time: bench --scenario NAME --fleet NAME --seed N [--seeds K] [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return daisystream::bench::runMain();
} catch (const std::exception &fault) {
    std::fprintf(stderr, "bench: %s\n", fault.what());
    return 101;
}
