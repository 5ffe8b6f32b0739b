#include "daisystream/base/random.h"
#include "daisystream/limits/shares.h"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

constexpr std::size_t kVms = 5;
constexpr double kConcurrency = 60;
constexpr double kTokens = 4000;

// An issuer and five VMs that ask it once in each period, over a network that loses messages.
struct Vms
{
    Vms()
    {
        issuer.setLimit(team, {kConcurrency, kTokens}, clock.now());
    }

    void period(double loss)
    {
        for (std::size_t v = 0; v < kVms; ++v) {
            while (running[v] < demand[v] && !holders[v].admit(team, clock.now())) {
                ++running[v];
            }
            while (running[v] > demand[v]) {
                holders[v].onFinished(team, clock.now());
                --running[v];
            }
            holders[v].onTokens(team, running[v] * 15.0, clock.now());
            for (const ShareRequest &request : holders[v].requests(VmId("vm" + std::to_string(v)), clock.now())) {
                if (cut[v] || random.uniform() < loss) {
                    continue;
                }
                const ShareGrant grant = issuer.request(request, clock.now());
                if (random.uniform() >= loss) {
                    holders[v].onGrant(grant, clock.now(), clock.now());
                }
            }
        }
        clock.advance(milliseconds(500));
    }

    [[nodiscard]] Share sum() const
    {
        Share total;
        for (const ShareHolder &holder : holders) {
            total.concurrency += holder.share(team, clock.now()).concurrency;
            total.tokensPerSecond += holder.share(team, clock.now()).tokensPerSecond;
        }
        return total;
    }

    TeamId team{"office"};
    ManualClock clock;
    Random random{9};
    ShareIssuer issuer{ShareOptions{}, clock.now()};
    std::array<ShareHolder, kVms> holders{
        ShareHolder{ShareOptions{}}, ShareHolder{ShareOptions{}}, ShareHolder{ShareOptions{}}, ShareHolder{ShareOptions{}}, ShareHolder{ShareOptions{}}};
    std::array<std::uint32_t, kVms> demand{};
    std::array<std::uint32_t, kVms> running{};
    std::array<bool, kVms> cut{};
};

// Guards against lending the same part of a limit twice, whatever messages are lost and however demand moves.
TEST_CASE("the sum of the shares never exceeds the limit")
{
    Vms vms;
    for (int i = 0; i < 3000; ++i) {
        if (i % 7 == 0) {
            vms.demand[vms.random.below(kVms)] = static_cast<std::uint32_t>(vms.random.below(80));
            vms.cut[vms.random.below(kVms)] = vms.random.uniform() < 0.2;
        }
        vms.period(0.3);
        CHECK(vms.sum().concurrency <= kConcurrency + 1e-6);
        CHECK(vms.sum().tokensPerSecond <= kTokens + 1e-6);
        CHECK(vms.issuer.lent(vms.team, vms.clock.now()).concurrency <= kConcurrency + 1e-6);
    }
}

// Guards against a share that stays where the traffic no longer is.
TEST_CASE("shares follow demand")
{
    Vms vms;
    vms.demand = {100, 2, 0, 0, 0};
    for (int i = 0; i < 30; ++i) {
        vms.period(0);
    }
    CHECK(vms.running[0] >= 50);
    CHECK(vms.running[1] == 2);
    vms.demand = {0, 2, 0, 100, 0};
    for (int i = 0; i < 20; ++i) {
        vms.period(0);
    }
    CHECK(vms.running[3] >= 50);
    CHECK(vms.running[1] == 2);
}

// Guards against an overshoot, or a stop, when the issuer is lost and another VM takes over without its memory.
TEST_CASE("another issuer takes over within the limit and without a stop")
{
    Vms vms;
    vms.demand = {40, 40, 5, 5, 5};
    for (int i = 0; i < 30; ++i) {
        vms.period(0);
    }
    const double before = vms.sum().concurrency;
    vms.cut.fill(true);
    for (int i = 0; i < 3; ++i) { // Until two seconds after the last grant.
        vms.period(0);
    }
    CHECK(vms.sum().concurrency == before);
    vms.cut.fill(false);
    vms.issuer = ShareIssuer(ShareOptions{}, vms.clock.now());
    vms.issuer.setLimit(vms.team, {kConcurrency, kTokens}, vms.clock.now());
    for (int i = 0; i < 40; ++i) {
        vms.period(0.1);
        CHECK(vms.sum().concurrency <= kConcurrency * 1.05);
        CHECK(vms.sum().concurrency >= before * 0.7);
    }
}

} // namespace
} // namespace daisystream
