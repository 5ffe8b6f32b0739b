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

// Guards against retries that multiply the load while all requests fail.
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
    CHECK(budget.teams() == 1); // The state of the idle team was removed.
}

// Guards against callers that failed at the same time and retry at the same time.
TEST_CASE("delays are spread between zero and a bound that doubles up to a limit")
{
    const Backoff backoff(milliseconds(100), milliseconds(1000));
    Random random(3);
    for (std::uint32_t attempt = 0; attempt < 40; ++attempt) {
        Duration shortest = std::chrono::hours(1);
        Duration longest{};
        for (int i = 0; i < 1000; ++i) {
            const Duration delay = backoff.delay(attempt, random);
            shortest = std::min(shortest, delay);
            longest = std::max(longest, delay);
        }
        const Duration bound = attempt < 4 ? milliseconds(100) * (1 << attempt) : milliseconds(1000);
        CHECK(longest <= bound);
        CHECK(longest >= bound * 9 / 10);
        CHECK(shortest <= bound / 10);
    }
}

} // namespace
} // namespace daisystream
