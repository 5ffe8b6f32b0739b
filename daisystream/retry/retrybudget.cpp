#include "daisystream/retry/retrybudget.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <unordered_map>

namespace daisystream
{

namespace
{

// Bounds the exponent, so that the doubled delay stays finite; 2^30 times the first delay exceeds any useful bound.
constexpr std::uint32_t kMaxDoublings = 30;

// Balance of allowed retries. Each request adds a fraction of a retry, up to that fraction of the recent requests; unused
// retries are lost as these requests cease to be recent.
struct RetryBalance
{
    double retries = 0;
    double recentRequests = 0; // Number of recent requests; decays exponentially over the window.
    TimePoint updatedAt{};

    void onRequest(const RetryBudgetOptions &options, double allowance, TimePoint now)
    {
        const std::chrono::duration<double> elapsed = std::max(Duration{}, now - updatedAt);
        recentRequests = recentRequests * std::exp(-elapsed / std::chrono::duration<double>(options.window)) + 1;
        updatedAt = now;
        retries = std::min(retries + options.share, std::max(allowance, options.share * recentRequests));
    }
};

} // namespace

class RetryBudget::Private
{
public:
    RetryBudgetOptions options;
    RetryBalance vm;
    std::unordered_map<TeamId, RetryBalance> teams;
    TimePoint idleTeamsRemovedAt{};

    RetryBalance &balanceOf(const TeamId &team)
    {
        return teams.try_emplace(team, RetryBalance{options.teamAllowance, 0, {}}).first->second;
    }

    void removeIdleTeams(TimePoint now)
    {
        if (now - idleTeamsRemovedAt < options.idleTeamLifetime) {
            return;
        }
        idleTeamsRemovedAt = now;
        for (auto entry = teams.begin(); entry != teams.end();) {
            entry = now - entry->second.updatedAt >= options.idleTeamLifetime ? teams.erase(entry) : std::next(entry);
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
    d_->removeIdleTeams(now);
    d_->vm.onRequest(d_->options, d_->options.vmAllowance, now);
    d_->balanceOf(team).onRequest(d_->options, d_->options.teamAllowance, now);
}

bool RetryBudget::tryRetry(const TeamId &team, TimePoint)
{
    RetryBalance &teamBalance = d_->balanceOf(team);
    if (teamBalance.retries < 1 || d_->vm.retries < 1) {
        return false;
    }
    teamBalance.retries -= 1;
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
    const double bound = std::min(std::ldexp(std::chrono::duration<double>(first_).count(), static_cast<int>(std::min(attempt, kMaxDoublings))),
                                  std::chrono::duration<double>(longest_).count());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bound * random.uniform()));
}

} // namespace daisystream
