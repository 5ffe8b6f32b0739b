#include "daemon/endpoints/permitclient.h"

#include "daemon/control/bootclock.h"
#include "daemon/control/testloop.h"
#include "daisystream/membership/rendezvous.h"

#include <boost/asio/spawn.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>

namespace daisystream
{
namespace
{

namespace asio = boost::asio;

/// @return an endpoint whose permits vm2 issues in a fleet of vm1 and vm2.
EndpointId endpointOfVm2()
{
    for (int number = 1;; ++number) {
        EndpointId endpoint("e" + std::to_string(number));
        if (rendezvousOwner("permits/" + endpoint.value(), {VmId("vm1"), VmId("vm2")}) == VmId("vm2")) {
            return endpoint;
        }
    }
}

/// The permits of vm1 in a fleet of two, of which the other VM never replies.
class Scene
{
public:
    Scene()
        : client(loop.io, VmId("vm1"), clock, metrics, [this](const VmId &to, const PeerMessage &message) {
            const std::lock_guard lock(mutex_);
            asked_ += to == VmId("vm2") && std::holds_alternative<PermitAskMessage>(message) ? 1 : 0;
            return true;
        })
    {
        client.setVms({VmId("vm1"), VmId("vm2")});
        client.onAnswer(endpoint, 1000, true, clock.now());
    }

    ~Scene()
    {
        loop.stop();
    }

    /// @return whether a request got a permit.
    bool acquire()
    {
        std::atomic<int> outcome{0};
        asio::spawn(loop.io, [&](asio::yield_context yield) {
            const auto request = ++requests_;
            outcome = client.acquire({.endpoint = endpoint, .attempt = request, .request = request}, yield) ? 1 : 2;
        });
        REQUIRE(TestLoop::waitUntil([&] { return outcome != 0; }));
        return outcome == 2;
    }

    int asked()
    {
        const std::lock_guard lock(mutex_);
        return asked_;
    }

    const EndpointId endpoint = endpointOfVm2();
    TestLoop loop;
    BootClock clock;
    Metrics metrics;
    PermitClient client;

private:
    std::mutex mutex_;
    int asked_ = 0;
    std::uint64_t requests_ = 0;
};

// Guards rolling upgrades: a VM of an older build closes connections on which it is asked, and must not keep this VM from issuing.
TEST_CASE("only VMs that have stated that they issue permits are asked for one")
{
    Scene scene;
    int granted = 0;
    for (int i = 0; i < 10; ++i) {
        granted += scene.acquire() ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(2)); // At 1,000 a second, the next permit is due by then.
    }
    CHECK(granted >= 9); // The first request comes with the line of the endpoint, which has no permit yet.
    CHECK(scene.asked() == 0);
    scene.client.onIssuing(VmId("vm2"), true);
    (void)scene.acquire();
    CHECK(scene.asked() == 1);
    scene.client.onIssuing(VmId("vm2"), false);
    std::this_thread::sleep_for(std::chrono::milliseconds(1100)); // An issuer that did not reply is not asked for 1 s.
    (void)scene.acquire();
    CHECK(scene.asked() == 1);
}

// Guards callers against an issuer that takes requests and never replies.
TEST_CASE("a request whose issuer does not reply is decided by the VM that stands in")
{
    Scene scene;
    scene.client.onIssuing(VmId("vm2"), true);
    CHECK(scene.acquire()); // This VM stands in, with a quarter of 1,000 a second.
    CHECK(scene.asked() == 1);
    CHECK(scene.metrics.counter("daisystream_permit_timeouts_total", "").value() == 1);
}

} // namespace
} // namespace daisystream
