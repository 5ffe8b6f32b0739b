#include "daisystream/retry/servicebudget.h"

#include <algorithm>

namespace daisystream
{
namespace
{

// Fraction of the budget that is used. The rest covers windows that begin between a request and its retry, and so contain the
// retry but not the request.
constexpr double kUsedFraction = 0.75;

void removeUntil(std::deque<TimePoint> &times, TimePoint oldest)
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
    removeUntil(counts.requests, now - options_.window);
    removeUntil(counts.retries, now - options_.window);
    return counts;
}

void ServiceRetryBudget::onRequest(const ServiceId &service, TimePoint now)
{
    countsOf(service, now).requests.push_back(now);
}

bool ServiceRetryBudget::tryRetry(const ServiceId &service, TimePoint now)
{
    Counts &counts = countsOf(service, now);
    const double allowed = options_.ratio * static_cast<double>(counts.requests.size()) + options_.allowance / static_cast<double>(vms_);
    if (static_cast<double>(counts.retries.size()) + 1 > kUsedFraction * allowed) {
        return false;
    }
    counts.retries.push_back(now);
    return true;
}

} // namespace daisystream
