#include "soak/configuration.h"
#include "soak/observation.h"

#include <doctest/doctest.h>

namespace daisystream::soak
{
namespace
{

TEST_CASE("observations are read back as they were written")
{
    Exchange exchange;
    exchange.attempt = "a1";
    exchange.kind = Kind::ResumableStream;
    exchange.sentAt = Moment(5);
    exchange.leftAt = Moment(9);
    exchange.fault = "event 3 came where 2 was due";
    exchange.crashesEngines = true;
    RunStarted run;
    run.segment = "engine1@5-1";
    run.behindEvent = 17;
    run.continuesMemory = true;
    for (const Observation &observation : {Observation(exchange),
                                           Observation(run),
                                           Observation(RunEnded{.segment = "engine1@5-1", .at = Moment(7), .how = Ending::Moved}),
                                           Observation(LeaveAnnounced{.endpoint = "engine1", .start = "engine1@5", .at = Moment(3)}),
                                           Observation(LimitedArrival{.endpoint = "engine1", .period = "p", .attempt = "a", .at = Moment(4), .perSecond = 2.5}),
                                           Observation(LimitTold{.endpoint = "engine1", .period = "p", .attempt = "a", .at = Moment(5)}),
                                           Observation(EngineCrashed{.endpoint = "engine1", .attempt = "a", .at = Moment(6)})}) {
        CHECK(decode(encode(observation)) == observation);
    }
}

TEST_CASE("half a line, another program's line and an empty line are no observations")
{
    const auto line = encode(Observation(RunEnded{.segment = "s", .at = Moment(1)}));
    CHECK_FALSE(decode(line.substr(0, line.size() / 2)));
    CHECK_FALSE(decode("engine1: the store did not answer"));
    CHECK_FALSE(decode("{}"));
    CHECK_FALSE(decode(""));
}

TEST_CASE("the plan of callers is read back, as far as callers need it")
{
    const CallerPlan plan{.name = "callers1",
                          .seed = 3,
                          .connections = 4,
                          .targets = {{"vm1", 1234}},
                          .routes = {{.name = "order", .prefix = "/order/", .kind = Kind::Unsafe, .service = {}}},
                          .keys = {"k"},
                          .deadlyShare = 0.25,
                          .deadlyParts = 2};
    CHECK(decodeCallerPlan(encodeCallerPlan(plan)) == plan);
}

} // namespace
} // namespace daisystream::soak
