#include "daisystream/limits/requestlimits.h"

#include "daisystream/limits/requestrate.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

using namespace std::chrono_literals;

const EndpointId kEndpoint("e1");

// Guards against answers that overtake each other: one that was on its way when the limit was stated must not lift it.
TEST_CASE("only the answer to a later request raises or lifts a limit; a lower one holds at once")
{
    ManualClock clock;
    RequestLimits limits;
    const auto early = clock.now();
    CHECK_FALSE(limits.onAnswer(kEndpoint, std::nullopt, early, clock.now()));
    clock.advance(1s);
    CHECK(limits.onAnswer(kEndpoint, 8, clock.now() - 10ms, clock.now()));
    CHECK_FALSE(limits.onAnswer(kEndpoint, std::nullopt, early, clock.now()));
    CHECK_FALSE(limits.onAnswer(kEndpoint, 20, early, clock.now()));
    CHECK(limits.limit(kEndpoint) == 8);
    CHECK(limits.onAnswer(kEndpoint, 3, early, clock.now()));
    clock.advance(1s);
    CHECK(limits.onAnswer(kEndpoint, 20, clock.now() - 10ms, clock.now()));
    CHECK(limits.limit(kEndpoint) == 20);
    CHECK(limits.onAnswer(kEndpoint, std::nullopt, clock.now(), clock.now()));
    CHECK_FALSE(limits.limit(kEndpoint));
    CHECK(limits.limitedEndpoints().empty());
}

// Guards against a VM that wakes from a freeze and passes the limit of an old answer on as the newest one (schedule limits,
// seed 956).
TEST_CASE("an answer that waited does not replace what was stated meanwhile")
{
    ManualClock clock;
    RequestLimits frozen;
    RequestLimits issuer;
    frozen.onAnswer(kEndpoint, 120, clock.now(), clock.now());
    const auto sentAt = clock.now();
    clock.advance(3s);
    issuer.onAnswer(kEndpoint, 0.4, clock.now() - 10ms, clock.now());
    clock.advance(1s);
    frozen.onAnswer(kEndpoint, 120, sentAt, clock.now());
    CHECK_FALSE(issuer.onStatement(*frozen.statement(kEndpoint, clock.now()), clock.now()));
    CHECK(issuer.limit(kEndpoint) == 0.4);
    CHECK(frozen.onStatement(*issuer.statement(kEndpoint, clock.now()), clock.now()));
    CHECK(frozen.limit(kEndpoint) == 0.4);
}

// Guards against news that arrive late or in another order at some VMs.
TEST_CASE("a statement of another VM is used only if it is newer")
{
    ManualClock clock;
    RequestLimits limits;
    CHECK(limits.onStatement({.endpoint = kEndpoint, .perSecond = 5, .age = 2s}, clock.now()));
    CHECK_FALSE(limits.onStatement({.endpoint = kEndpoint, .perSecond = 0, .age = 3s}, clock.now()));
    CHECK(limits.limit(kEndpoint) == 5);
    CHECK(limits.onStatement({.endpoint = kEndpoint, .perSecond = 0, .age = 1s}, clock.now()));
    CHECK_FALSE(limits.limit(kEndpoint));
    CHECK_FALSE(limits.onStatement({.endpoint = kEndpoint, .perSecond = 5, .age = 2s}, clock.now()));
    CHECK_FALSE(limits.onStatement({.endpoint = EndpointId("e2"), .perSecond = 0, .age = 0s}, clock.now()));
    limits.retain({});
    CHECK_FALSE(limits.statement(kEndpoint, clock.now()));
}

// Guards against a cold endpoint that gets more than it bears because it states a higher limit, or none.
TEST_CASE("the smaller of the stated limit and that of a cold endpoint holds, until it is no longer cold")
{
    ManualClock clock;
    RequestLimits limits;
    limits.setColdLimits({{kEndpoint, 4}});
    CHECK(limits.limit(kEndpoint) == 4);
    CHECK(limits.coldLimit(kEndpoint) == 4);
    CHECK_FALSE(limits.statement(kEndpoint, clock.now()));
    limits.onAnswer(kEndpoint, 9, clock.now(), clock.now());
    CHECK(limits.limit(kEndpoint) == 4);
    CHECK(limits.statement(kEndpoint, clock.now())->perSecond == 9); // Other VMs are told what the endpoint stated.
    limits.onAnswer(kEndpoint, 2, clock.now(), clock.now());
    CHECK(limits.limit(kEndpoint) == 2);
    limits.setColdLimits({});
    CHECK(limits.limit(kEndpoint) == 2);
    CHECK_FALSE(limits.coldLimit(kEndpoint));
}

TEST_CASE("a request rate is a finite positive decimal number")
{
    CHECK(parseRequestRate("3.7") == 3.7);
    CHECK(parseRequestRate("300") == 300);
    for (const auto *text : {"", "0", "-1", "nan", "inf", "1e999", "3x", " 3", "x"}) {
        CHECK_FALSE(parseRequestRate(text));
    }
}

} // namespace
} // namespace daisystream
