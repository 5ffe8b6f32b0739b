#include "daisystream/retry/retrybudget.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <unordered_map>

namespace daisystream
{

namespace
{

// Doublings after which the bound of a back-off exceeds any sensible wait.
constexpr std::uint32_t kMostDoublings = 30;

// Retries that may still be made. Each request adds its share; what recent requests did not use lapses.
struct Account
{
    double retries = 0;
    double recent = 0; // Requests, fading with time.
    TimePoint at{};

    void onRequest(const RetryBudgetOptions &options, double allowance, TimePoint now)
    {
        const std::chrono::duration<double> elapsed = std::max(Duration{}, now - at);
        recent = recent * std::exp(-elapsed / std::chrono::duration<double>(options.window)) + 1;
        at = now;
        retries = std::min(retries + options.share, std::max(allowance, options.share * recent));
    }
};

} // namespace

class RetryBudget::Private
{
public:
    RetryBudgetOptions options;
    Account vm;
    std::unordered_map<TeamId, Account> teams;
    TimePoint sweptAt{};

    Account &accountOf(const TeamId &team)
    {
        return teams.try_emplace(team, Account{options.teamAllowance, 0, {}}).first->second;
    }

    void sweep(TimePoint now)
    {
        if (now - sweptAt < options.forgetAfter) {
            return;
        }
        sweptAt = now;
        for (auto entry = teams.begin(); entry != teams.end();) {
            entry = now - entry->second.at >= options.forgetAfter ? teams.erase(entry) : std::next(entry);
        }
    }
};

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : d_(std::make_unique<Private>())
{
    d_->options = options;
    d_->vm.retries = options.vmAllowance;
}

RetryBudget::~RetryBudget() = default;
RetryBudget::RetryBudget(RetryBudget &&) noexcept = default;
RetryBudget &RetryBudget::operator=(RetryBudget &&) noexcept = default;

void RetryBudget::onRequest(const TeamId &team, TimePoint now)
{
    d_->sweep(now);
    d_->vm.onRequest(d_->options, d_->options.vmAllowance, now);
    d_->accountOf(team).onRequest(d_->options, d_->options.teamAllowance, now);
}

bool RetryBudget::tryRetry(const TeamId &team, TimePoint)
{
    Account &own = d_->accountOf(team);
    if (own.retries < 1 || d_->vm.retries < 1) {
        return false;
    }
    own.retries -= 1;
    d_->vm.retries -= 1;
    return true;
}

std::size_t RetryBudget::teams() const
{
    return d_->teams.size();
}

Backoff::Backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest)
    : first_(first)
    , longest_(longest)
{
}

Duration Backoff::delay(std::uint32_t attempt, Random &random) const
{
    const double bound = std::min(std::ldexp(std::chrono::duration<double>(first_).count(), static_cast<int>(std::min(attempt, kMostDoublings))),
                                  std::chrono::duration<double>(longest_).count());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bound * random.uniform()));
}

} // namespace daisystream
