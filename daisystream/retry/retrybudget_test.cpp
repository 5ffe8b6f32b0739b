#include "daisystream/retry/retrybudget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

// Guards against retries that multiply the load while everything fails.
TEST_CASE("retries stay within a tenth of the requests when every request fails")
{
    RetryBudget budget(RetryBudgetOptions{});
    ManualClock clock;
    int requests = 0;
    int retries = 0;
    for (int i = 0; i < 20000; ++i) {
        const TeamId team("team-" + std::to_string(i % 5));
        budget.onRequest(team, clock.now());
        ++requests;
        for (int attempt = 0; attempt < 3; ++attempt) {
            retries += budget.tryRetry(team, clock.now()) ? 1 : 0;
        }
        clock.advance(milliseconds(5));
    }
    CHECK(retries <= requests / 10 + 5);
    CHECK(retries >= requests / 12);
}

// Guards against one team using up the retries of the others.
TEST_CASE("a failing team leaves retries to another")
{
    RetryBudget budget(RetryBudgetOptions{});
    ManualClock clock;
    const TeamId failing("failing");
    const TeamId other("other");
    for (int i = 0; i < 500; ++i) {
        budget.onRequest(failing, clock.now());
        budget.onRequest(other, clock.now());
        while (budget.tryRetry(failing, clock.now())) { }
        clock.advance(milliseconds(5));
    }
    CHECK(budget.tryRetry(other, clock.now()));
    clock.advance(std::chrono::hours(1));
    budget.onRequest(other, clock.now());
    CHECK(budget.teams() == 1); // Idle teams cost no memory.
}

// Guards against callers that failed together coming back together.
TEST_CASE("waits are spread from zero to a bound that doubles up to a limit")
{
    const Backoff backoff(milliseconds(100), milliseconds(1000));
    Random random(3);
    for (std::uint32_t attempt = 0; attempt < 40; ++attempt) {
        Duration least = std::chrono::hours(1);
        Duration most{};
        for (int i = 0; i < 1000; ++i) {
            const Duration delay = backoff.delay(attempt, random);
            least = std::min(least, delay);
            most = std::max(most, delay);
        }
        const Duration bound = attempt < 4 ? milliseconds(100) * (1 << attempt) : milliseconds(1000);
        CHECK(most <= bound);
        CHECK(most >= bound * 9 / 10);
        CHECK(least <= bound / 10);
    }
}

} // namespace
} // namespace daisystream
