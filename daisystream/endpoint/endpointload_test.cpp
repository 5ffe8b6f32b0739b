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

TEST_CASE("work of others is taken over from the reports and forgotten with them")
{
    EndpointLoad load(engine(100000));
    for (int i = 0; i < 20; ++i) {
        (void)load.onReport(report(6, 50000));
    }
    CHECK(load.running() == 6);
    CHECK(load.heldShare(0) == doctest::Approx(0.5).epsilon(0.01));
    (void)load.onReport(report(0, 0));
    CHECK(load.heldShare(0) < 0.3);
}

// Guards an engine that is idle and never chosen: the least rest of work that others had there made it look more loaded than
// an engine that never had any.
TEST_CASE("an engine whose work of others has ended is as idle as one that never had any")
{
    EndpointLoad used(engine(100000));
    const EndpointLoad fresh(engine(100000));
    (void)used.onReport(report(4, 800));
    constexpr int kReportsOfTenSeconds = 40;
    for (int i = 0; i < kReportsOfTenSeconds; ++i) {
        (void)used.onReport(report(0, 0));
    }
    CHECK(used.heldShare(0) == fresh.heldShare(0));
    CHECK(used.stepMilliseconds(1, 0) == fresh.stepMilliseconds(1, 0));
    CHECK(used.urgentStepMilliseconds(1, 0) == fresh.urgentStepMilliseconds(1, 0));
}

} // namespace
} // namespace daisystream
