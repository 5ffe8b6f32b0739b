#include "daemon/endpoints/slownessshare.h"

#include "daemon/control/bootclock.h"
#include "daemon/control/testloop.h"
#include "daisystream/membership/rendezvous.h"

#include <doctest/doctest.h>

#include <mutex>

namespace daisystream
{
namespace
{

/// @return an endpoint whose collector is the given one of vm1 and vm2.
EndpointId endpointOf(const VmId &collector)
{
    for (int number = 1;; ++number) {
        EndpointId endpoint("e" + std::to_string(number));
        if (rendezvousOwner("slowness/" + endpoint.value(), {VmId("vm1"), VmId("vm2")}) == collector) {
            return endpoint;
        }
    }
}

/// The reports of vm1 in a fleet of two.
class Scene
{
public:
    Scene()
        : share(loop.io, VmId("vm1"), clock, metrics, [this](const VmId &to, const PeerMessage &message) {
            const std::lock_guard lock(mutex_);
            sent_ += to == VmId("vm2") && std::holds_alternative<SlownessMessage>(message) ? 1 : 0;
            return true;
        })
    {
        share.setAnnouncer([this](const std::vector<SlownessReport> &reports) {
            const std::lock_guard lock(mutex_);
            announced_.insert(announced_.end(), reports.begin(), reports.end());
        });
        share.setHandler([this](const SlownessReport &report) {
            const std::lock_guard lock(mutex_);
            handled_.push_back(report);
        });
        share.setVms({VmId("vm1"), VmId("vm2")});
    }

    ~Scene()
    {
        loop.stop();
    }

    std::size_t sent()
    {
        const std::lock_guard lock(mutex_);
        return sent_;
    }

    std::vector<SlownessReport> announced()
    {
        const std::lock_guard lock(mutex_);
        return announced_;
    }

    std::vector<SlownessReport> handled()
    {
        const std::lock_guard lock(mutex_);
        return handled_;
    }

    BootClock clock;
    Metrics metrics;
    TestLoop loop;
    SlownessShare share;

private:
    std::mutex mutex_;
    std::size_t sent_ = 0;
    std::vector<SlownessReport> announced_;
    std::vector<SlownessReport> handled_;
};

TEST_CASE("a changed slowness is sent to the collector once and announced by it only")
{
    Scene scene;
    const auto endpoint = endpointOf(VmId("vm2"));
    scene.share.onRead({.endpoint = endpoint, .percent = 250, .at = scene.clock.now()});
    scene.share.onRead({.endpoint = endpoint, .percent = 250, .at = scene.clock.now()});
    CHECK(scene.sent() == 1);
    CHECK(scene.announced().empty());
}

// Guards against a change within the minimum interval that is never announced, since no further report follows it.
TEST_CASE("the collector announces a change that came too soon at the end of the interval")
{
    Scene scene;
    const auto endpoint = endpointOf(VmId("vm1"));
    scene.share.onMessage(SlownessMessage{{.endpoint = endpoint, .percent = 250, .at = scene.clock.now()}});
    scene.share.onMessage(SlownessMessage{{.endpoint = endpoint, .percent = 100, .at = scene.clock.now()}});
    CHECK(scene.handled().size() == 2);
    CHECK(scene.announced().size() == 1);
    REQUIRE(TestLoop::waitUntil([&] { return scene.announced().size() == 2; }));
    const auto announced = scene.announced();
    CHECK(announced.back().percent == 100);
    CHECK(scene.sent() == 0);
}

TEST_CASE("announcements of other VMs are passed to the handler and are not sent again")
{
    Scene scene;
    const auto endpoint = endpointOf(VmId("vm2"));
    scene.share.onNews({{.endpoint = endpoint, .percent = 250, .at = scene.clock.now(), .gainPercent = 70}});
    REQUIRE(scene.handled().size() == 1);
    CHECK(scene.handled().front().gainPercent == 70);
    scene.share.onRead({.endpoint = endpoint, .percent = 250, .at = scene.clock.now()});
    CHECK(scene.sent() == 0);
}

} // namespace
} // namespace daisystream
