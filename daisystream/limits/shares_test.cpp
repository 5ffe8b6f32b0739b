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

constexpr std::size_t kVmCount = 5;
constexpr double kConcurrencyLimit = 60;
constexpr double kTokensPerSecondLimit = 4000;

// An issuer and five VMs that send it requests once per period over a network that loses messages.
struct ShareFixture
{
    ShareFixture()
    {
        issuer.setLimit(team, {kConcurrencyLimit, kTokensPerSecondLimit}, clock.now());
    }

    // Runs one period; `loss` is the probability that a message is lost.
    void runPeriod(double loss)
    {
        for (std::size_t v = 0; v < kVmCount; ++v) {
            while (running[v] < demand[v] && !holders[v].admit(team, clock.now())) {
                ++running[v];
            }
            while (running[v] > demand[v]) {
                holders[v].onFinished(team, clock.now());
                --running[v];
            }
            holders[v].onTokens(team, running[v] * 15.0, clock.now());
            for (const ShareRequest &request : holders[v].requests(VmId("vm" + std::to_string(v)), clock.now())) {
                if (disconnected[v] || random.uniform() < loss) {
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

    // Returns the sum of the shares in force on all VMs.
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
    std::array<ShareHolder, kVmCount> holders{
        ShareHolder{ShareOptions{}}, ShareHolder{ShareOptions{}}, ShareHolder{ShareOptions{}}, ShareHolder{ShareOptions{}}, ShareHolder{ShareOptions{}}};
    std::array<std::uint32_t, kVmCount> demand{};
    std::array<std::uint32_t, kVmCount> running{};
    std::array<bool, kVmCount> disconnected{}; // VMs that cannot reach the issuer.
};

// Guards against granting the same part of a limit twice when messages are lost and demand changes.
TEST_CASE("the sum of the shares never exceeds the limit")
{
    ShareFixture fixture;
    for (int i = 0; i < 3000; ++i) {
        if (i % 7 == 0) {
            fixture.demand[fixture.random.below(kVmCount)] = static_cast<std::uint32_t>(fixture.random.below(80));
            fixture.disconnected[fixture.random.below(kVmCount)] = fixture.random.uniform() < 0.2;
        }
        fixture.runPeriod(0.3);
        CHECK(fixture.sum().concurrency <= kConcurrencyLimit + 1e-6);
        CHECK(fixture.sum().tokensPerSecond <= kTokensPerSecondLimit + 1e-6);
        CHECK(fixture.issuer.totalGranted(fixture.team, fixture.clock.now()).concurrency <= kConcurrencyLimit + 1e-6);
    }
}

// Guards against a VM that keeps a share after its requests of the team have ended.
TEST_CASE("shares follow demand")
{
    ShareFixture fixture;
    fixture.demand = {100, 2, 0, 0, 0};
    for (int i = 0; i < 30; ++i) {
        fixture.runPeriod(0);
    }
    CHECK(fixture.running[0] >= 50);
    CHECK(fixture.running[1] == 2);
    fixture.demand = {0, 2, 0, 100, 0};
    for (int i = 0; i < 20; ++i) {
        fixture.runPeriod(0);
    }
    CHECK(fixture.running[3] >= 50);
    CHECK(fixture.running[1] == 2);
}

// Guards against exceeding the limit, or refusing all requests, when the issuer is lost and another VM replaces it without
// its state.
TEST_CASE("a new issuer keeps the limit and admission continues after the previous issuer is lost")
{
    ShareFixture fixture;
    fixture.demand = {40, 40, 5, 5, 5};
    for (int i = 0; i < 30; ++i) {
        fixture.runPeriod(0);
    }
    const double before = fixture.sum().concurrency;
    fixture.disconnected.fill(true);
    for (int i = 0; i < 3; ++i) { // The last grants are two seconds old afterwards, so they have not expired.
        fixture.runPeriod(0);
    }
    CHECK(fixture.sum().concurrency == before);
    fixture.disconnected.fill(false);
    fixture.issuer = ShareIssuer(ShareOptions{}, fixture.clock.now());
    fixture.issuer.setLimit(fixture.team, {kConcurrencyLimit, kTokensPerSecondLimit}, fixture.clock.now());
    for (int i = 0; i < 40; ++i) {
        fixture.runPeriod(0.1);
        CHECK(fixture.sum().concurrency <= kConcurrencyLimit * 1.05);
        CHECK(fixture.sum().concurrency >= before * 0.7);
    }
}

} // namespace
} // namespace daisystream
