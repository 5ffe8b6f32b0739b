#include "daisystream/retry/servicebudget.h"

#include <doctest/doctest.h>

#include <vector>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

// Guards against exceeding the budget when every endpoint of a service fails, so that each request on each VM needs a retry.
TEST_CASE("the retries of all VMs stay within the shared budget in every window")
{
    constexpr std::size_t kVmCount = 4;
    const ServiceRetryBudgetOptions options{.ratio = 0.2, .allowance = 58, .window = milliseconds(10000)};
    std::vector<ServiceRetryBudget> vms(kVmCount, ServiceRetryBudget(options));
    for (auto &vm : vms) {
        vm.setVms(kVmCount);
    }
    const ServiceId service("desk");
    std::vector<std::pair<milliseconds, bool>> events; // Time, and whether the event is a retry.
    const TimePoint start{std::chrono::hours(1)};
    for (milliseconds at{0}; at < milliseconds(40000); at += milliseconds(20)) {
        auto &vm = vms[static_cast<std::size_t>(at.count() / 20) % kVmCount];
        vm.onRequest(service, start + at);
        events.emplace_back(at, false);
        if (vm.tryRetry(service, start + at)) {
            events.emplace_back(at, true);
        }
    }
    std::size_t total = 0;
    for (milliseconds begin{0}; begin < milliseconds(30000); begin += milliseconds(250)) {
        std::size_t requests = 0;
        std::size_t retries = 0;
        for (const auto &[at, isRetry] : events) {
            if (at >= begin && at < begin + options.window) {
                ++(isRetry ? retries : requests);
            }
        }
        CHECK(static_cast<double>(retries) <= options.ratio * static_cast<double>(requests) + options.allowance);
        total += retries;
    }
    CHECK(total > 0);
}

TEST_CASE("a VM with few requests may retry, and each service has its own budget")
{
    ServiceRetryBudget budget({.ratio = 0.2, .allowance = 58});
    budget.setVms(31);
    const TimePoint now{std::chrono::hours(1)};
    CHECK(budget.tryRetry(ServiceId("desk"), now));
    CHECK_FALSE(budget.tryRetry(ServiceId("desk"), now));
    CHECK(budget.tryRetry(ServiceId("counter"), now));
    CHECK(budget.tryRetry(ServiceId("desk"), now + milliseconds(10001)));
}

} // namespace
} // namespace daisystream
