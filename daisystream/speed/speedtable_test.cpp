#include "daisystream/speed/speedtable.h"

#include "daisystream/base/random.h"

#include <doctest/doctest.h>

#include <cmath>
#include <numbers>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::hours(1)};
const EndpointId kEndpoint("e0");

Duration lognormal(Random &random, double medianMs, double sigma = 0.5)
{
    const double normal = std::sqrt(-2 * std::log(1 - random.uniform())) * std::cos(2 * std::numbers::pi * random.uniform());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(medianMs * std::exp(sigma * normal)));
}

/// Calls to the endpoints e0, e1, ... in turn, ten a second each.
class Calls
{
public:
    Calls(std::size_t endpoints, std::uint64_t seed)
        : random_(seed)
        , endpoints_(endpoints)
    {
    }

    /// @param sample gets the endpoint and returns the factor of its call and what it reports.
    template<class Sample>
    void run(SpeedTable &table, std::size_t rounds, Sample sample)
    {
        for (std::size_t round = 0; round < rounds; ++round) {
            now += milliseconds(100);
            for (std::size_t i = 0; i < endpoints_; ++i) {
                auto [factor, call] = sample(i);
                call.service = ServiceId("s");
                call.route = RouteName("r");
                call.took = lognormal(random_, 30 * factor);
                call.goal = milliseconds(150);
                call.slots = 6;
                table.onCall(EndpointId("e" + std::to_string(i)), call, now);
            }
        }
    }

    TimePoint now = kNow;

private:
    Random random_;
    std::size_t endpoints_;
};

TEST_CASE("an unknown endpoint has the usual speed and no limit")
{
    const SpeedTable table;
    const auto speed = table.speed(kEndpoint, kNow);
    CHECK(speed.factor() == 1);
    CHECK_FALSE(speed.age);
    CHECK_FALSE(speed.loadLimit);
}

// Guards against random differences of durations that are taken for a difference between equal endpoints.
TEST_CASE("equal endpoints keep the usual base speed")
{
    std::size_t different = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SpeedTable table;
        Calls calls(4, seed);
        calls.run(table, 300, [](std::size_t) { return std::pair(1.0, SpeedSample{.calls = 1}); });
        for (int i = 0; i < 4; ++i) {
            different += table.speed(EndpointId("e" + std::to_string(i)), calls.now).factor() != 1 ? 1 : 0;
        }
    }
    CHECK(different <= 4);
}

TEST_CASE("the base speeds of unequal endpoints are learnt")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        SpeedTable table;
        Calls calls(4, seed);
        calls.run(table, 300, [](std::size_t endpoint) { return std::pair(endpoint == 0 ? 0.55 : 1.2, SpeedSample{.calls = 1}); });
        const double ratio = table.speed(kEndpoint, calls.now).base / table.speed(EndpointId("e1"), calls.now).base;
        CHECK(ratio > 0.38);
        CHECK(ratio < 0.65);
    }
}

TEST_CASE("a single outlier does not move the base speed")
{
    SpeedTable table;
    Calls calls(2, 3);
    calls.run(table, 50, [](std::size_t) { return std::pair(1.0, SpeedSample{.calls = 1}); });
    const double before = table.speed(kEndpoint, calls.now).base;
    table.onCall(kEndpoint,
                 {.service = ServiceId("s"), .route = RouteName("r"), .took = std::chrono::seconds(30), .goal = milliseconds(150), .calls = 1, .slots = 6},
                 calls.now);
    CHECK(std::abs(table.speed(kEndpoint, calls.now).base - before) < 0.05);
}

// Guards against a queue or a reported slow period that is taken for a property of the endpoint.
TEST_CASE("calls that met a queue or a reported slowness do not move the base speed")
{
    SpeedTable table;
    Calls calls(2, 4);
    calls.run(table, 100, [](std::size_t endpoint) { return std::pair(endpoint == 0 ? 3.0 : 1.0, SpeedSample{.calls = endpoint == 0 ? 9U : 1U}); });
    CHECK(table.speed(kEndpoint, calls.now).base == 1);
    calls.run(table, 100, [](std::size_t endpoint) {
        return std::pair(endpoint == 0 ? 2.5 : 1.0, SpeedSample{.calls = 1, .slownessPercent = endpoint == 0 ? 250U : 100U});
    });
    CHECK(table.speed(kEndpoint, calls.now).base == 1);
}

TEST_CASE("a reported slowness counts while it is fresh and then decays to the usual")
{
    SpeedTable table;
    table.onSlowness(kEndpoint, 300, kNow, 1.0);
    CHECK(table.speed(kEndpoint, kNow).slowness == doctest::Approx(3));
    CHECK(table.speed(kEndpoint, kNow + milliseconds(300)).slowness == doctest::Approx(3));
    CHECK(table.speed(kEndpoint, kNow + milliseconds(450)).slowness == doctest::Approx(2));
    CHECK(table.speed(kEndpoint, kNow + milliseconds(600)).slowness == 1);
    CHECK(table.speed(kEndpoint, kNow + std::chrono::hours(1)).slowness == 1);
    CHECK(table.speed(kEndpoint, kNow + milliseconds(300)).age == milliseconds(300));
    CHECK_FALSE(table.speed(kEndpoint, kNow + milliseconds(600)).age);
}

TEST_CASE("an older report does not replace a newer one")
{
    SpeedTable table;
    table.onSlowness(kEndpoint, 250, kNow);
    table.onSlowness(kEndpoint, 100, kNow - milliseconds(50));
    CHECK(table.speed(kEndpoint, kNow).slowness > 1.2);
    table.onSlowness(kEndpoint, 100, kNow + milliseconds(1));
    CHECK(table.speed(kEndpoint, kNow + milliseconds(1)).slowness == 1);
}

// Guards against endpoints being avoided for a slowness that all of them share, or for different gains under the same slowness.
TEST_CASE("slowness is relative to the lowest level of the other endpoints")
{
    SpeedTable table;
    table.onSlowness(kEndpoint, 250, kNow, 0.9);
    CHECK(table.speed(kEndpoint, kNow, 2.5).slowness == doctest::Approx(1));
    CHECK(table.speed(kEndpoint, kNow + milliseconds(450), 2.5).slowness == doctest::Approx(1));
    CHECK(table.speed(kEndpoint, kNow + milliseconds(450)).isStale);
    CHECK_FALSE(table.speed(kEndpoint, kNow + milliseconds(100)).isStale);
}

TEST_CASE("the gain of true reports rises, and that of false ones falls to 0")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        SpeedTable table;
        Calls calls(4, seed);
        calls.run(table, 200, [round = 0U](std::size_t endpoint) mutable {
            const bool isSlow = ++round % 40 < 8;
            // e0 is true, e1 reports a slowness that it does not have.
            const bool reports = endpoint == 0 ? isSlow : endpoint == 1;
            return std::pair(endpoint == 0 && isSlow ? 2.5 : 1.0, SpeedSample{.calls = 1, .slownessPercent = reports ? 250U : 100U});
        });
        CHECK(table.speed(kEndpoint, calls.now).gain > 0.7);
        const auto falsified = table.speed(EndpointId("e1"), calls.now);
        CHECK(falsified.gain < 0.2);
        CHECK(falsified.slowness == 1);
    }
}

TEST_CASE("an extreme report has a bounded effect")
{
    SpeedTable table;
    table.onSlowness(kEndpoint, 4000000000U, kNow, 1.0);
    CHECK(table.speed(kEndpoint, kNow).slowness == doctest::Approx(10));
    table.onSlowness(kEndpoint, 0, kNow + milliseconds(1), 1.0);
    CHECK(table.speed(kEndpoint, kNow + milliseconds(1)).slowness == doctest::Approx(0.25));
}

TEST_CASE("an endpoint that is slow before it is full gets a limit, which rises again")
{
    SpeedTable table;
    Calls calls(3, 5);
    std::uint32_t load = 5;
    const auto slowUnderLoad = [&](std::size_t endpoint) {
        const bool isOverloaded = endpoint == 0 && load > 2;
        return std::pair(isOverloaded ? 4.0 : 1.0, SpeedSample{.calls = endpoint == 0 ? load : 1});
    };
    calls.run(table, 10, [](std::size_t) { return std::pair(1.0, SpeedSample{.calls = 1}); });
    calls.run(table, 12, slowUnderLoad);
    const auto limit = table.speed(kEndpoint, calls.now).loadLimit;
    REQUIRE(limit);
    CHECK(*limit >= 1);
    CHECK(*limit <= 4);
    load = 4;
    calls.run(table, 200, [&](std::size_t endpoint) { return std::pair(1.0, SpeedSample{.calls = endpoint == 0 ? 5U : 1U}); });
    CHECK_FALSE(table.speed(kEndpoint, calls.now).loadLimit);
}

TEST_CASE("no endpoint gets a limit while all are equally slow under load")
{
    SpeedTable table;
    Calls calls(3, 6);
    calls.run(table, 20, [](std::size_t) { return std::pair(1.0, SpeedSample{.calls = 1}); });
    calls.run(table, 100, [](std::size_t) { return std::pair(4.0, SpeedSample{.calls = 5}); });
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(table.speed(EndpointId("e" + std::to_string(i)), calls.now).loadLimit);
    }
}

TEST_CASE("removed endpoints start again with the prior")
{
    SpeedTable table;
    table.onSlowness(kEndpoint, 250, kNow);
    table.onSlowness(EndpointId("e1"), 250, kNow);
    table.retain({EndpointId("e1")});
    CHECK(table.speed(kEndpoint, kNow).slowness == 1);
    CHECK(table.speed(EndpointId("e1"), kNow).slowness > 1);
    table.remove(EndpointId("e1"));
    CHECK(table.speed(EndpointId("e1"), kNow).slowness == 1);
}

} // namespace
} // namespace daisystream
