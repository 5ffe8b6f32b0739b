#include "daisystream/shutdown/shutdownadmission.h"

#include <doctest/doctest.h>

// Which requests a VM may begin between the signal to stop and its end.

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kBegin(std::chrono::hours(1));
const RouteName kRoute("r");
constexpr AnswerStream kResumable{.resumable = true, .maxEventGap = milliseconds(180)};
constexpr AnswerStream kOnce{.resumable = false, .maxEventGap = milliseconds(180)};

ShutdownAdmission stopping()
{
    ShutdownAdmission admission;
    admission.begin({.handoverEnd = kBegin + milliseconds(2500), .lastAnswer = kBegin + milliseconds(7500)});
    return admission;
}

/// @param at when the request arrives, after the signal.
/// @param limit time limit of the request.
ShutdownRequest arriving(milliseconds at, const RequestKind &kind, std::uint64_t maxEvents, milliseconds limit = seconds(6))
{
    return {.route = kRoute, .kind = kind, .arrival = kBegin + at, .deadline = kBegin + at + limit, .goal = milliseconds(1500), .maxEvents = maxEvents};
}

bool isServed(const ShutdownAdmission &admission, milliseconds at, const RequestKind &kind, std::uint64_t maxEvents, milliseconds limit = seconds(6))
{
    return admission.canServe(arriving(at, kind, maxEvents, limit), kBegin + at);
}

// Property LOST: answers of 26 events were begun until 3.5 s before the end and took longer, although their engine kept its objectives.
TEST_CASE("an answer is begun late only if it ends in time at the slowest pace that its objectives permit")
{
    const auto admission = stopping();
    for (const auto at : {3300, 3500, 3700, 3900, 4100, 4300}) {
        CAPTURE(at);
        CHECK_FALSE(isServed(admission, milliseconds(at), kResumable, 26));
        CHECK_FALSE(isServed(admission, milliseconds(at), kOnce, 26));
    }
    // 1.5 s to the first event and 11 times 180 ms.
    CHECK(isServed(admission, milliseconds(4020), kResumable, 11));
    CHECK_FALSE(isServed(admission, milliseconds(4021), kResumable, 11));
    CHECK(isServed(admission, milliseconds(4020), kOnce, 11));
    CHECK_FALSE(isServed(admission, milliseconds(100), kResumable, 0, seconds(39)));
}

// Guards against refusals of requests that cannot be lost: their time limit comes first.
TEST_CASE("a request whose time limit is over before the end is always served")
{
    const auto admission = stopping();
    CHECK(isServed(admission, milliseconds(1500), kResumable, 1000));
    CHECK(isServed(admission, milliseconds(1500), kOnce, 0));
    CHECK(isServed(admission, milliseconds(7000), UnsafeCall{}, 0, milliseconds(500)));
    CHECK_FALSE(isServed(admission, milliseconds(7500), UnsafeCall{}, 0, milliseconds(0)));
}

// Guards against refusals of what could be served, as long as a refused caller may be sent here again.
TEST_CASE("a resumable answer is begun early if it ends in time at the pace of recent answers")
{
    auto admission = stopping();
    CHECK_FALSE(isServed(admission, milliseconds(2000), kResumable, 26));
    admission.onAnswer(kRoute, milliseconds(600), milliseconds(150));
    CHECK(isServed(admission, milliseconds(2000), kResumable, 26));
    CHECK_FALSE(isServed(admission, milliseconds(2500), kResumable, 26));
    CHECK_FALSE(isServed(admission, milliseconds(2000), kOnce, 26));
    CHECK_FALSE(isServed(admission, milliseconds(2000), kResumable, 40));
}

// Guards against answers that are begun by their objectives although engines do not keep them.
TEST_CASE("answers that were slower than their objectives recently need more time")
{
    auto admission = stopping();
    CHECK(isServed(admission, milliseconds(4000), kResumable, 11));
    admission.onAnswer(kRoute, milliseconds(600), milliseconds(400));
    CHECK_FALSE(isServed(admission, milliseconds(4000), kResumable, 11));
    for (int i = 0; i < 100; ++i) {
        admission.onAnswer(kRoute, milliseconds(400), milliseconds(50));
    }
    CHECK(isServed(admission, milliseconds(4000), kResumable, 11));
}

// Guards against calls that end without an answer because their service needs longer than most.
TEST_CASE("a call needs two seconds, or the time that calls of its route took")
{
    auto admission = stopping();
    const UnsafeCall call;
    CHECK(isServed(admission, milliseconds(5500), call, 0));
    CHECK_FALSE(isServed(admission, milliseconds(5501), call, 0));
    admission.onCall(kRoute, milliseconds(60));
    CHECK(isServed(admission, milliseconds(5500), call, 0));
    admission.onCall(kRoute, milliseconds(3000));
    CHECK_FALSE(isServed(admission, milliseconds(5500), call, 0));
    CHECK(isServed(admission, milliseconds(4000), call, 0));
}

// Guards against a wait that uses up the time of the answer.
TEST_CASE("a request that has waited is decided by the time that is left")
{
    const auto admission = stopping();
    const auto request = arriving(milliseconds(4000), kResumable, 11);
    CHECK(admission.canServe(request, kBegin + milliseconds(4000)));
    CHECK(admission.canServe(request, kBegin + milliseconds(5400))); // The first event is still on time.
    CHECK_FALSE(admission.canServe(request, kBegin + milliseconds(5600)));
}

// Guards against memory that grows with the number of routes, and against times of one route that are applied to another.
TEST_CASE("times are kept by route and for a bounded number of routes")
{
    ShutdownAdmission admission;
    CHECK(admission.canServe(arriving(milliseconds(0), kOnce, 0, seconds(600)), kBegin));
    std::size_t known = 0;
    for (int i = 0; i < 2000; ++i) {
        admission.onCall(RouteName(std::to_string(i)), milliseconds(i));
        CHECK(admission.recentTimes(RouteName(std::to_string(i))) == RouteTimes{.first = milliseconds(i), .gap = {}});
    }
    for (int i = 0; i < 2000; ++i) {
        known += admission.recentTimes(RouteName(std::to_string(i))) ? 1 : 0;
    }
    CHECK(known == 1024);
}

} // namespace
} // namespace daisystream
