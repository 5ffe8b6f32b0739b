#include "daisystream/speed/slownesscollector.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::hours(1)};
const EndpointId kEndpoint("e0");
const std::vector<VmId> kVms{VmId("vm0"), VmId("vm1"), VmId("vm2"), VmId("vm3")};

SlownessReport report(std::uint32_t percent, TimePoint at = kNow)
{
    return {.endpoint = kEndpoint, .percent = percent, .at = at};
}

SlownessCollector collectorOf(const VmId &vm)
{
    SlownessCollector collector(vm);
    collector.setVms(kVms);
    return collector;
}

VmId owner()
{
    return collectorOf(kVms[0]).collector(kEndpoint);
}

VmId other()
{
    return kVms[0] == owner() ? kVms[1] : kVms[0];
}

TEST_CASE("all VMs agree on the collector, and the next one takes over when it fails")
{
    const auto first = owner();
    for (const auto &vm : kVms) {
        CHECK(collectorOf(vm).collector(kEndpoint) == first);
    }
    auto collector = collectorOf(other());
    CHECK(collector.onRead(report(250), kNow) == first);
    auto rest = kVms;
    std::erase(rest, first);
    collector.setVms(rest);
    const auto next = collector.collector(kEndpoint);
    CHECK(next != first);
    // The former collector may have failed before it announced the report.
    if (next != other()) {
        CHECK(collector.onRead(report(250, kNow + milliseconds(10)), kNow + milliseconds(10)) == next);
    }
}

TEST_CASE("only changes of a quarter or more are sent to the collector")
{
    auto collector = collectorOf(other());
    CHECK_FALSE(collector.onRead(report(100), kNow));
    CHECK_FALSE(collector.onRead(report(124, kNow + milliseconds(1)), kNow + milliseconds(1)));
    CHECK(collector.onRead(report(125, kNow + milliseconds(2)), kNow + milliseconds(2)));
    CHECK_FALSE(collector.onRead(report(130, kNow + milliseconds(3)), kNow + milliseconds(3)));
    CHECK(collector.onRead(report(250, kNow + milliseconds(4)), kNow + milliseconds(4)));
    CHECK(collector.onRead(report(100, kNow + milliseconds(5)), kNow + milliseconds(5)));
}

// Guards against a slow period that the fleet forgets because the figure does not change any more.
TEST_CASE("a slowness that continues is sent again when the known one has lost its effect")
{
    auto collector = collectorOf(other());
    CHECK(collector.onRead(report(250), kNow));
    CHECK_FALSE(collector.onRead(report(250, kNow + milliseconds(250)), kNow + milliseconds(250)));
    CHECK(collector.onRead(report(250, kNow + milliseconds(550)), kNow + milliseconds(550)));
}

TEST_CASE("a VM does not send what it knows from an announcement")
{
    auto collector = collectorOf(other());
    collector.onNews(report(250), kNow + milliseconds(5));
    CHECK_FALSE(collector.onRead(report(250, kNow + milliseconds(10)), kNow + milliseconds(10)));
    CHECK(collector.onRead(report(100, kNow + milliseconds(20)), kNow + milliseconds(20)));
}

TEST_CASE("the collector announces changes at most every 100 ms for each endpoint")
{
    auto collector = collectorOf(owner());
    std::size_t announced = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto now = kNow + milliseconds(i);
        collector.onReport(report(i % 2 == 0 ? 300 : 100, now), now);
        announced += collector.takeNews(now).size();
    }
    CHECK(announced >= 5);
    CHECK(announced <= 10);
}

TEST_CASE("a change within the interval is announced at its end")
{
    auto collector = collectorOf(owner());
    collector.onReport(report(250), kNow);
    CHECK(collector.nextNews() == kNow);
    REQUIRE(collector.takeNews(kNow).size() == 1);
    collector.onReport(report(100, kNow + milliseconds(30)), kNow + milliseconds(30));
    CHECK(collector.takeNews(kNow + milliseconds(30)).empty());
    CHECK(collector.nextNews() == kNow + milliseconds(100));
    const auto news = collector.takeNews(kNow + milliseconds(100));
    REQUIRE(news.size() == 1);
    CHECK(news.front().percent == 100);
    CHECK(news.front().at == kNow + milliseconds(30));
    CHECK_FALSE(collector.nextNews());
}

TEST_CASE("the collector announces its own readings")
{
    auto collector = collectorOf(owner());
    CHECK_FALSE(collector.onRead(report(250), kNow));
    CHECK(collector.takeNews(kNow).size() == 1);
    CHECK_FALSE(collector.onRead(report(250, kNow + milliseconds(200)), kNow + milliseconds(200)));
    CHECK(collector.takeNews(kNow + milliseconds(200)).empty());
}

TEST_CASE("late and old reports change nothing")
{
    auto collector = collectorOf(owner());
    collector.onReport(report(250), kNow);
    (void)collector.takeNews(kNow);
    collector.onReport(report(100, kNow - milliseconds(1)), kNow + milliseconds(120));
    CHECK(collector.takeNews(kNow + milliseconds(120)).empty());
    // A VM that was frozen sends what it read before.
    collector.onReport(report(400, kNow + milliseconds(1)), kNow + milliseconds(700));
    CHECK(collector.takeNews(kNow + milliseconds(700)).empty());
}

TEST_CASE("the announced gain is that of the calls of all VMs")
{
    const auto gainAfter = [](std::uint32_t relativePercent) {
        auto collector = collectorOf(owner());
        std::optional<std::uint32_t> gain;
        for (int i = 0; i < 20; ++i) {
            const auto now = kNow + milliseconds(800 * i);
            auto slow = report(250, now);
            slow.relativePercent = relativePercent;
            collector.onReport(slow, now);
            for (const auto &news : collector.takeNews(now)) {
                gain = news.gainPercent;
                CHECK_FALSE(news.relativePercent);
            }
        }
        return gain;
    };
    CHECK(gainAfter(250).value_or(0) >= 90);
    CHECK(gainAfter(100).value_or(100) <= 10);
    CHECK(gainAfter(1).value_or(100) == 0);
}

TEST_CASE("removed endpoints are forgotten")
{
    auto collector = collectorOf(owner());
    collector.onReport(report(250), kNow);
    collector.retain({});
    CHECK(collector.takeNews(kNow).empty());
}

} // namespace
} // namespace daisystream
