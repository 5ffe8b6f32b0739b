#include "soak/timeline.h"

#include <doctest/doctest.h>

namespace daisystream::soak
{
namespace
{

TEST_CASE("a span that touches a disturbance is not calm")
{
    Timeline timeline;
    const auto span = timeline.begin("vm1", Disturbance::Unplanned, Moment(100));
    CHECK_FALSE(timeline.isCalm("vm1", Moment(500), Moment(600))); // It has not ended.
    timeline.end(span, Moment(200));
    CHECK(timeline.isCalm("vm1", Moment(0), Moment(99)));
    CHECK_FALSE(timeline.isCalm("vm1", Moment(0), Moment(100)));
    CHECK_FALSE(timeline.isCalm("vm1", Moment(200), Moment(300)));
    CHECK(timeline.isCalm("vm1", Moment(201), Moment(300)));
    CHECK(timeline.isCalm("vm2", Moment(100), Moment(200)));
}

TEST_CASE("a planned stop is told apart, and a stall of the machine concerns everything")
{
    Timeline timeline;
    timeline.end(timeline.begin("vm1", Disturbance::Planned, Moment(100)), Moment(200));
    CHECK_FALSE(timeline.isCalm("vm1", Moment(150), Moment(160)));
    CHECK(timeline.isCalmButPlanned("vm1", Moment(150), Moment(160)));
    CHECK(timeline.hasPlanned("vm1", Moment(150), Moment(160)));
    timeline.end(timeline.begin(kEverything, Disturbance::Unplanned, Moment(155)), Moment(156));
    CHECK_FALSE(timeline.isCalmButPlanned("vm1", Moment(150), Moment(160)));
    CHECK_FALSE(timeline.isCalm("vm2", Moment(150), Moment(160)));
}

} // namespace
} // namespace daisystream::soak
