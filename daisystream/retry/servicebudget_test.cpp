#include "daisystream/retry/servicebudget.h"

#include <doctest/doctest.h>

#include <vector>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

// Pattern: every endpoint of a service fails, so that every request of every VM asks for a repeat.
TEST_CASE("the repeats of all VMs stay within the shared budget in every window")
{
    constexpr std::size_t kVms = 4;
    const ServiceRetryBudgetOptions options{.ratio = 0.2, .allowance = 58, .window = milliseconds(10000)};
    std::vector<ServiceRetryBudget> vms(kVms, ServiceRetryBudget(options));
    for (auto &vm : vms) {
        vm.setVms(kVms);
    }
    const ServiceId service("desk");
    std::vector<std::pair<milliseconds, bool>> events; // Time and whether it is a repeat.
    const TimePoint start{std::chrono::hours(1)};
    for (milliseconds at{0}; at < milliseconds(40000); at += milliseconds(20)) {
        auto &vm = vms[static_cast<std::size_t>(at.count() / 20) % kVms];
        vm.onRequest(service, start + at);
        events.emplace_back(at, false);
        if (vm.tryRepeat(service, start + at)) {
            events.emplace_back(at, true);
        }
    }
    std::size_t total = 0;
    for (milliseconds begin{0}; begin < milliseconds(30000); begin += milliseconds(250)) {
        std::size_t requests = 0;
        std::size_t repeats = 0;
        for (const auto &[at, isRepeat] : events) {
            if (at >= begin && at < begin + options.window) {
                ++(isRepeat ? repeats : requests);
            }
        }
        CHECK(static_cast<double>(repeats) <= options.ratio * static_cast<double>(requests) + options.allowance);
        total += repeats;
    }
    CHECK(total > 0);
}

TEST_CASE("a VM with little traffic may repeat as well, and budgets of services are separate")
{
    ServiceRetryBudget budget({.ratio = 0.2, .allowance = 58});
    budget.setVms(31);
    const TimePoint now{std::chrono::hours(1)};
    CHECK(budget.tryRepeat(ServiceId("desk"), now));
    CHECK_FALSE(budget.tryRepeat(ServiceId("desk"), now));
    CHECK(budget.tryRepeat(ServiceId("counter"), now));
    CHECK(budget.tryRepeat(ServiceId("desk"), now + milliseconds(10001)));
}

} // namespace
} // namespace daisystream
