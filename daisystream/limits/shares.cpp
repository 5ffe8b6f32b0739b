#include "daisystream/limits/shares.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <iterator>
#include <map>
#include <unordered_map>

namespace daisystream
{

namespace
{

using std::chrono::milliseconds;

// Fraction of a team's limit that a new issuer grants to a VM without a share while shares that its predecessor granted may
// still be in force. It bounds by how much the total may exceed the limit after the loss of an issuer.
constexpr double kTakeoverShareFraction = 0.05;
// After its expiry, a share is halved once per period; after this many halvings it counts as zero.
constexpr int kMaxHalvings = 7;
// Time constant of the exponential moving average of a VM's token rate.
constexpr double kRateAveragingSeconds = 1.0;
constexpr double kIdleTokensPerSecond = 0.01; // A team without requests is idle below this token rate.
// Capacity of a team's token bucket on a VM, as the time in which the VM's share of the token rate fills it.
constexpr double kBurstSeconds = 1.0;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Returns the fraction of a share that is left at `now`: 1 before the expiry, then halved at the expiry and after each period.
double remainingFraction(TimePoint expiry, TimePoint now, milliseconds period)
{
    if (now < expiry) {
        return 1.0;
    }
    const auto halvings = static_cast<int>(std::min<Duration::rep>(kMaxHalvings, 1 + (now - expiry) / period));
    return halvings >= kMaxHalvings ? 0.0 : std::ldexp(1.0, -halvings);
}

Share scaled(const Share &share, double factor)
{
    return {share.concurrency * factor, share.tokensPerSecond * factor};
}

Share sum(const Share &left, const Share &right)
{
    return {left.concurrency + right.concurrency, left.tokensPerSecond + right.tokensPerSecond};
}

Share elementwiseMax(const Share &left, const Share &right)
{
    return {std::max(left.concurrency, right.concurrency), std::max(left.tokensPerSecond, right.tokensPerSecond)};
}

Share elementwiseMin(const Share &left, const Share &right)
{
    return {std::min(left.concurrency, right.concurrency), std::min(left.tokensPerSecond, right.tokensPerSecond)};
}

// Divides a limit by max-min fairness: demands below an equal part are met in full, and the other VMs get equal parts of the
// rest. Capacity that no VM demands is divided equally, so that a VM can admit a surge before its next request to the issuer.
// Returns the part of the VM whose demand is `own`; `demands` includes it.
double maxMinFairShare(double limit, double own, std::vector<double> demands)
{
    std::sort(demands.begin(), demands.end());
    double left = limit;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double equal = left / static_cast<double>(demands.size() - i);
        if (demands[i] > equal) {
            return std::min(own, equal);
        }
        left -= demands[i];
    }
    return own + left / static_cast<double>(demands.size());
}

} // namespace

// --- Issuer -----------------------------------------------------------------------------------------------------

class ShareIssuer::Private
{
public:
    struct OutstandingGrant
    {
        std::uint64_t number = 0;
        Share share;
        TimePoint expiry;
    };

    struct VmGrants
    {
        std::deque<OutstandingGrant> grants; // Grants that may be in force or not yet received, oldest first.
        Share demand;
    };

    struct TeamState
    {
        Share limit;
        TimePoint takeoverEnd; // From then on, no share that a previous issuer granted is in force.
        std::map<VmId, VmGrants> holders;
    };

    ShareOptions options;
    TimePoint startedAt;
    std::uint64_t nextNumber = 1;
    std::unordered_map<TeamId, TeamState> teams;

    [[nodiscard]] Share grantedTo(const VmGrants &holder, TimePoint now) const
    {
        Share maximum;
        for (const OutstandingGrant &grant : holder.grants) {
            maximum = elementwiseMax(maximum, scaled(grant.share, remainingFraction(grant.expiry, now, options.period)));
        }
        return maximum;
    }

    void removeExpired(TeamState &team, TimePoint now) const
    {
        for (auto entry = team.holders.begin(); entry != team.holders.end();) {
            auto &grants = entry->second.grants;
            while (!grants.empty() && remainingFraction(grants.front().expiry, now, options.period) <= 0) {
                grants.pop_front();
            }
            entry = grants.empty() ? team.holders.erase(entry) : std::next(entry);
        }
    }

    // Updates the VM's demand and grants from its request: removes the grants before the confirmed one, or records a grant that
    // this issuer does not know.
    void updateFromRequest(VmGrants &holder, const ShareRequest &request, TimePoint now) const
    {
        auto &grants = holder.grants;
        const auto found = std::find_if(grants.begin(), grants.end(), [&](const OutstandingGrant &grant) { return grant.number == request.latestNumber; });
        if (found != grants.end()) {
            grants.erase(grants.begin(), found); // The VM's grant replaced the earlier ones.
        } else if (request.latestNumber != 0) {
            grants.push_front({request.latestNumber, request.inForce, now + options.expiry}); // Granted by a previous issuer.
        }
        holder.demand = request.demand;
    }

    [[nodiscard]] static Share fairShare(const TeamState &team, const Share &own)
    {
        std::vector<double> concurrency;
        std::vector<double> tokens;
        for (const auto &[vm, holder] : team.holders) {
            concurrency.push_back(holder.demand.concurrency);
            tokens.push_back(holder.demand.tokensPerSecond);
        }
        return {maxMinFairShare(team.limit.concurrency, own.concurrency, std::move(concurrency)),
                maxMinFairShare(team.limit.tokensPerSecond, own.tokensPerSecond, std::move(tokens))};
    }
};

ShareIssuer::ShareIssuer(ShareOptions options, TimePoint now)
    : d_(std::make_unique<Private>())
{
    d_->options = options;
    d_->startedAt = now;
    // Numbering starts at the current clock reading, so that the numbers of a previous issuer are not mistaken for own ones.
    d_->nextNumber = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(now.time_since_epoch().count()));
}

ShareIssuer::~ShareIssuer() = default;
ShareIssuer::ShareIssuer(ShareIssuer &&) noexcept = default;
ShareIssuer &ShareIssuer::operator=(ShareIssuer &&) noexcept = default;

void ShareIssuer::setLimit(const TeamId &team, const Share &limit, TimePoint now)
{
    const auto [found, isNew] = d_->teams.try_emplace(team);
    found->second.limit = limit;
    if (isNew) {
        found->second.takeoverEnd = now + d_->options.expiry + kMaxHalvings * d_->options.period;
    }
}

void ShareIssuer::removeTeam(const TeamId &team)
{
    d_->teams.erase(team);
}

ShareGrant ShareIssuer::request(const ShareRequest &request, TimePoint now)
{
    ShareGrant grant{request.team, {}, 0, d_->options.expiry};
    const auto found = d_->teams.find(request.team);
    if (found == d_->teams.end()) {
        return grant;
    }
    Private::TeamState &team = found->second;
    d_->removeExpired(team, now);
    Private::VmGrants &holder = team.holders[request.vm];
    d_->updateFromRequest(holder, request, now);
    Share others;
    for (const auto &[vm, other] : team.holders) {
        others = vm == request.vm ? others : sum(others, d_->grantedTo(other, now));
    }
    const Share free{std::max(0.0, team.limit.concurrency - others.concurrency), std::max(0.0, team.limit.tokensPerSecond - others.tokensPerSecond)};
    grant.share = elementwiseMin(Private::fairShare(team, request.demand), free);
    if (now < team.takeoverEnd) {
        // The previous issuer kept the sum of the latest grants within the limit, so each of them may be renewed.
        const Share takeoverBound = elementwiseMax(request.latest, scaled(team.limit, kTakeoverShareFraction));
        grant.share = elementwiseMin(grant.share, {std::max(1.0, takeoverBound.concurrency), takeoverBound.tokensPerSecond});
    }
    grant.share.concurrency = std::floor(grant.share.concurrency + 1e-9);
    grant.number = d_->nextNumber++;
    holder.grants.push_back({grant.number, grant.share, now + d_->options.expiry});
    return grant;
}

Share ShareIssuer::totalGranted(const TeamId &team, TimePoint now) const
{
    Share total;
    const auto found = d_->teams.find(team);
    if (found != d_->teams.end()) {
        for (const auto &[vm, holder] : found->second.holders) {
            total = sum(total, d_->grantedTo(holder, now));
        }
    }
    return total;
}

// --- Holder -----------------------------------------------------------------------------------------------------

class ShareHolder::Private
{
public:
    struct TeamState
    {
        Share latest;
        std::uint64_t number = 0;
        TimePoint expiry{};
        TimePoint sentAt{};
        bool hasGrant = false;
        std::uint32_t running = 0;
        std::uint32_t refused = 0; // Since the last request to the issuer.
        double rate = 0;           // Tokens per second, as an exponential moving average.
        TimePoint rateUpdatedAt{};
        double bucket = 0; // Token bucket: tokens that may be generated now; negative after the running answers have exceeded the share.
        TimePoint bucketUpdatedAt{};
    };

    ShareOptions options;
    std::map<TeamId, TeamState> teams;
    bool grantNeeded = false;

    [[nodiscard]] Share shareInForce(const TeamState &team, TimePoint now) const
    {
        return team.hasGrant ? scaled(team.latest, remainingFraction(team.expiry, now, options.period)) : Share{};
    }

    void refill(TeamState &team, TimePoint now) const
    {
        const double rate = shareInForce(team, now).tokensPerSecond;
        team.bucket = std::min(kBurstSeconds * rate, team.bucket + rate * std::max(0.0, secondsOf(now - team.bucketUpdatedAt)));
        team.bucketUpdatedAt = now;
    }

    static void updateRate(TeamState &team, double tokens, TimePoint now)
    {
        team.rate = team.rate * std::exp(-std::max(0.0, secondsOf(now - team.rateUpdatedAt)) / kRateAveragingSeconds) + tokens / kRateAveragingSeconds;
        team.rateUpdatedAt = now;
    }
};

ShareHolder::ShareHolder(ShareOptions options)
    : d_(std::make_unique<Private>())
{
    d_->options = options;
}

ShareHolder::~ShareHolder() = default;
ShareHolder::ShareHolder(ShareHolder &&) noexcept = default;
ShareHolder &ShareHolder::operator=(ShareHolder &&) noexcept = default;

void ShareHolder::onGrant(const ShareGrant &grant, TimePoint sentAt, TimePoint now)
{
    Private::TeamState &team = d_->teams[grant.team];
    if (team.hasGrant && sentAt < team.sentAt) {
        return; // The response to a later request was applied before.
    }
    d_->refill(team, now);
    const bool isFirst = !team.hasGrant;
    team.latest = grant.share;
    team.number = grant.number;
    team.sentAt = sentAt;
    team.expiry = sentAt + grant.expiry;
    team.hasGrant = true;
    if (isFirst) {
        team.bucket = kBurstSeconds * grant.share.tokensPerSecond;
    }
}

std::optional<Error> ShareHolder::admit(const TeamId &teamId, TimePoint now)
{
    Private::TeamState &team = d_->teams[teamId];
    d_->grantNeeded = d_->grantNeeded || !team.hasGrant;
    d_->refill(team, now);
    const Share share = d_->shareInForce(team, now);
    if (team.running + 1.0 > share.concurrency) {
        ++team.refused;
        return Error{ResultCode::ConcurrencyLimit, "the team runs as many requests as its plan allows", d_->options.period};
    }
    if (team.bucket <= 0) {
        ++team.refused;
        const double wait = share.tokensPerSecond > 0 ? -team.bucket / share.tokensPerSecond : secondsOf(d_->options.expiry);
        const auto after = std::chrono::ceil<milliseconds>(std::chrono::duration<double>(std::clamp(wait, 0.01, 60.0)));
        return Error{ResultCode::RateLimit, "the team generates as many tokens a second as its plan allows", after};
    }
    ++team.running;
    return std::nullopt;
}

void ShareHolder::onTokens(const TeamId &teamId, double tokens, TimePoint now)
{
    Private::TeamState &team = d_->teams[teamId];
    d_->refill(team, now);
    team.bucket -= tokens;
    Private::updateRate(team, tokens, now);
}

void ShareHolder::onFinished(const TeamId &teamId, TimePoint)
{
    Private::TeamState &team = d_->teams[teamId];
    team.running -= team.running > 0 ? 1 : 0;
}

Share ShareHolder::share(const TeamId &team, TimePoint now) const
{
    const auto found = d_->teams.find(team);
    return found == d_->teams.end() ? Share{} : d_->shareInForce(found->second, now);
}

std::vector<ShareRequest> ShareHolder::requests(const VmId &self, TimePoint now)
{
    d_->grantNeeded = false;
    std::vector<ShareRequest> result;
    for (auto entry = d_->teams.begin(); entry != d_->teams.end();) {
        Private::TeamState &team = entry->second;
        Private::updateRate(team, 0, now);
        if (team.running == 0 && team.refused == 0 && team.rate < kIdleTokensPerSecond) {
            // The share of an idle team is not renewed, but the issuer counts its remainder as granted until the last halving.
            const bool expired = now >= team.expiry + kMaxHalvings * d_->options.period;
            entry = expired ? d_->teams.erase(entry) : std::next(entry);
            continue;
        }
        const double wantedConcurrency = team.running + team.refused + 1.0;
        const double tokensPerSecondPerAnswer = team.running > 0 ? team.rate / team.running : 0.0;
        const Share demand{wantedConcurrency, std::max(team.rate, tokensPerSecondPerAnswer * wantedConcurrency) + 1.0};
        const bool valid = team.hasGrant && remainingFraction(team.expiry, now, d_->options.period) > 0;
        result.push_back({entry->first, self, demand, d_->shareInForce(team, now), valid ? team.latest : Share{}, valid ? team.number : 0});
        team.refused = 0;
        ++entry;
    }
    return result;
}

bool ShareHolder::needsGrant() const
{
    return d_->grantNeeded;
}

} // namespace daisystream
