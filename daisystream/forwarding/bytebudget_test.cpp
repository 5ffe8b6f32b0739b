#include "daisystream/forwarding/bytebudget.h"

#include "daisystream/base/random.h"

#include <doctest/doctest.h>

#include <vector>

namespace daisystream
{
namespace
{

// Guards against large buffers that leave no memory for small requests.
TEST_CASE("large leases leave the reserve to small ones")
{
    ByteBudget budget(1'000'000, 200'000);
    ByteLease large(budget);
    CHECK_FALSE(large.grow(800'001));
    CHECK(large.grow(800'000));
    CHECK(budget.isCrowded());
    ByteLease small(budget);
    CHECK(small.grow(ByteBudget::kSmallLease));
    CHECK_FALSE(small.grow(ByteBudget::kSmallLease + 1));
    CHECK(budget.held() == 800'000 + ByteBudget::kSmallLease);
    large.shrink(100'000);
    CHECK_FALSE(budget.isCrowded());
    CHECK(small.grow(ByteBudget::kSmallLease + 1));
}

// Guards against bytes that stay counted after an exchange was broken off at any point, which would shut out all clients in time.
TEST_CASE("a budget is empty once all leases have ended, whatever happened to them")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        const auto below = [&](std::uint64_t bound) {
            return random.below(bound);
        };
        ByteBudget budget(500'000, 100'000);
        {
            std::vector<ByteLease> leases;
            for (unsigned step = 0; step < 2'000; ++step) {
                const auto action = below(6);
                if (leases.empty() || action == 0) {
                    leases.emplace_back(budget);
                    continue;
                }
                auto &lease = leases[below(leases.size())];
                if (action <= 2) {
                    const auto before = lease.bytes();
                    const auto wanted = below(200'000);
                    const bool isGrown = lease.grow(wanted);
                    CHECK(lease.bytes() == (isGrown ? std::max(before, wanted) : before));
                } else if (action == 3) {
                    lease.shrink(below(200'000));
                } else if (action == 4) {
                    lease = std::move(leases.back());
                    leases.pop_back();
                } else {
                    leases.erase(leases.begin() + static_cast<std::ptrdiff_t>(below(leases.size())));
                }
                std::uint64_t sum = 0;
                for (const auto &each : leases) {
                    sum += each.bytes();
                }
                REQUIRE(budget.held() == sum);
                REQUIRE(sum <= budget.limit());
            }
        }
        CHECK(budget.held() == 0);
    }
}

} // namespace
} // namespace daisystream
