#include "daisystream/endpoint/endpointload.h"

#include <doctest/doctest.h>

#include <chrono>

namespace daisystream
{
namespace
{

EndpointInfo engine(std::uint64_t capacity)
{
    EndpointInfo info;
    info.id = EndpointId("e1");
    info.memoryCapacityTokens = capacity;
    return info;
}

LoadReport report(std::uint32_t running, std::uint64_t usedTokens)
{
    LoadReport report;
    report.endpoint = EndpointId("e1");
    report.running = running;
    report.memoryUsedTokens = usedTokens;
    return report;
}

TEST_CASE("work of others follows the load reports")
{
    EndpointLoad load(engine(100000));
    for (int i = 0; i < 20; ++i) {
        (void)load.onReport(report(6, 50000));
    }
    CHECK(load.running() == 6);
    CHECK(load.usedMemoryFraction(0) == doctest::Approx(0.5).epsilon(0.01));
    (void)load.onReport(report(0, 0));
    CHECK(load.usedMemoryFraction(0) < 0.3);
}

// Guards against an idle engine that is never chosen because the decaying estimate of past work of others makes it look more
// loaded than an engine that never had such work.
TEST_CASE("an engine has no load after work of others has ended")
{
    EndpointLoad used(engine(100000));
    const EndpointLoad fresh(engine(100000));
    (void)used.onReport(report(4, 800));
    constexpr int kReportsInTenSeconds = 40;
    for (int i = 0; i < kReportsInTenSeconds; ++i) {
        (void)used.onReport(report(0, 0));
    }
    CHECK(used.usedMemoryFraction(0) == fresh.usedMemoryFraction(0));
    CHECK(used.stepMilliseconds(1, 0) == fresh.stepMilliseconds(1, 0));
    CHECK(used.urgentStepMilliseconds(1, 0) == fresh.urgentStepMilliseconds(1, 0));
}

} // namespace
} // namespace daisystream
