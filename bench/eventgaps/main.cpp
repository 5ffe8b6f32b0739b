#include "bench/eventgaps.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <string>

/// @file
/// Prints the share of late answers beside prefill on slow hosts, with the forecast of missed paces disabled and enabled.

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint32(seeds, 5, "number of seeds");
DEFINE_uint32(engines, 45, "number of engines");
DEFINE_double(load, 1, "multiple of the usual rate of requests");
DEFINE_double(slow_share, 0.15, "fraction of the time in which an engine is slow");
DEFINE_bool(unequal, true, "engines differ in pace");
DEFINE_bool(replaces, true, "a sixth of the engines is replaced every 3.3 s");
DEFINE_bool(states, true, "engines state their slowness");
DEFINE_bool(check, false, "check the bound; the exit status is 1 if it is missed");

namespace
{

// Bound of docs/design/hard-load.md: long answers that are late on a day without faults.
constexpr double kMaxLate = 0.02;

} // namespace

int main(int argc, char **argv)
{
    using namespace daisystream::bench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    EventGapsOptions options{
        .engines = FLAGS_engines, .slowShare = FLAGS_slow_share, .unequal = FLAGS_unequal, .replaces = FLAGS_replaces, .statesSlowness = FLAGS_states};
    options.longPerSecond *= FLAGS_load;
    options.shortPerSecond *= FLAGS_load;
    double most = 0;
    for (const bool forecast : {false, true}) {
        if (!forecast && FLAGS_check) {
            continue;
        }
        for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
            auto scheduler = gatewaySchedulerOptions();
            scheduler.forecastsMissedPace = forecast;
            const Figures figures = runEventGaps(options, scheduler, seed);
            std::printf("forecast=%d seed=%llu", forecast ? 1 : 0, static_cast<unsigned long long>(seed));
            for (const auto &[name, value] : figures) {
                std::printf("  %s %.4g", name.c_str(), value);
            }
            std::printf("\n");
            most = forecast ? std::max(most, figures.at("long late")) : most;
        }
    }
    return FLAGS_check && most > kMaxLate ? 1 : 0;
}
