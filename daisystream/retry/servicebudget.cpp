#include "daisystream/retry/servicebudget.h"

#include <algorithm>

namespace daisystream
{
namespace
{

// Part of the budget that is spent. The rest covers windows that begin between a request and its repeat.
constexpr double kSpentPart = 0.75;

void dropOld(std::deque<TimePoint> &times, TimePoint oldest)
{
    while (!times.empty() && times.front() <= oldest) {
        times.pop_front();
    }
}

} // namespace

ServiceRetryBudget::ServiceRetryBudget(ServiceRetryBudgetOptions options)
    : options_(options)
{
}

void ServiceRetryBudget::setVms(std::size_t count)
{
    vms_ = std::max<std::size_t>(count, 1);
}

ServiceRetryBudget::Counts &ServiceRetryBudget::countsOf(const ServiceId &service, TimePoint now)
{
    Counts &counts = services_[service];
    dropOld(counts.requests, now - options_.window);
    dropOld(counts.repeats, now - options_.window);
    return counts;
}

void ServiceRetryBudget::onRequest(const ServiceId &service, TimePoint now)
{
    countsOf(service, now).requests.push_back(now);
}

bool ServiceRetryBudget::tryRepeat(const ServiceId &service, TimePoint now)
{
    Counts &counts = countsOf(service, now);
    const double allowed = options_.ratio * static_cast<double>(counts.requests.size()) + options_.allowance / static_cast<double>(vms_);
    if (static_cast<double>(counts.repeats.size()) + 1 > kSpentPart * allowed) {
        return false;
    }
    counts.repeats.push_back(now);
    return true;
}

} // namespace daisystream
