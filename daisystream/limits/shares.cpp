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

// Part of the limit that a new issuer lends to VMs that hold nothing, while shares of its predecessor may be in force.
// It is the overshoot that a failure may cause.
constexpr double kUnprovenShare = 0.05;
// A share that was halved this often counts as nothing.
constexpr int kHalvings = 7;
// Time over which the token rate of a VM is averaged.
constexpr double kRateSeconds = 1.0;
constexpr double kIdleRate = 0.01; // Tokens a second below which a team without requests is idle.
// Tokens that a VM may generate at once, in seconds of its share.
constexpr double kBurstSeconds = 1.0;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Factor of an expired share: halved at the expiry and after each period.
double remainder(TimePoint expiry, TimePoint now, milliseconds period)
{
    if (now < expiry) {
        return 1.0;
    }
    const auto halvings = static_cast<int>(std::min<Duration::rep>(kHalvings, 1 + (now - expiry) / period));
    return halvings >= kHalvings ? 0.0 : std::ldexp(1.0, -halvings);
}

Share scaled(const Share &share, double factor)
{
    return {share.concurrency * factor, share.tokensPerSecond * factor};
}

Share sum(const Share &left, const Share &right)
{
    return {left.concurrency + right.concurrency, left.tokensPerSecond + right.tokensPerSecond};
}

Share larger(const Share &left, const Share &right)
{
    return {std::max(left.concurrency, right.concurrency), std::max(left.tokensPerSecond, right.tokensPerSecond)};
}

Share smaller(const Share &left, const Share &right)
{
    return {std::min(left.concurrency, right.concurrency), std::min(left.tokensPerSecond, right.tokensPerSecond)};
}

// Divides a limit so that whoever asks for little gets it and the others get equal parts; what nobody asks for is
// divided equally, for surges between two requests.
double fairPart(double limit, double own, std::vector<double> demands)
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
    struct Lent
    {
        std::uint64_t number = 0;
        Share share;
        TimePoint expiry;
    };

    struct Holder
    {
        std::deque<Lent> grants; // All that may be in force or still on the way.
        Share demand;
    };

    struct Team
    {
        Share limit;
        TimePoint proven; // From here on no share of a predecessor is in force.
        std::map<VmId, Holder> holders;
    };

    ShareOptions options;
    TimePoint startedAt;
    std::uint64_t nextNumber = 1;
    std::unordered_map<TeamId, Team> teams;

    [[nodiscard]] Share lentTo(const Holder &holder, TimePoint now) const
    {
        Share most;
        for (const Lent &grant : holder.grants) {
            most = larger(most, scaled(grant.share, remainder(grant.expiry, now, options.period)));
        }
        return most;
    }

    void forgetExpired(Team &team, TimePoint now) const
    {
        for (auto entry = team.holders.begin(); entry != team.holders.end();) {
            auto &grants = entry->second.grants;
            while (!grants.empty() && remainder(grants.front().expiry, now, options.period) <= 0) {
                grants.pop_front();
            }
            entry = grants.empty() ? team.holders.erase(entry) : std::next(entry);
        }
    }

    // Takes note of what the VM says it holds.
    void confirm(Holder &holder, const ShareRequest &request, TimePoint now) const
    {
        auto &grants = holder.grants;
        const auto found = std::find_if(grants.begin(), grants.end(), [&](const Lent &grant) { return grant.number == request.heldNumber; });
        if (found != grants.end()) {
            grants.erase(grants.begin(), found); // Earlier grants are replaced.
        } else if (request.heldNumber != 0) {
            grants.push_front({request.heldNumber, request.held, now + options.expiry}); // From a predecessor.
        }
        holder.demand = request.demand;
    }

    [[nodiscard]] static Share target(const Team &team, const Share &own)
    {
        std::vector<double> concurrency;
        std::vector<double> tokens;
        for (const auto &[vm, holder] : team.holders) {
            concurrency.push_back(holder.demand.concurrency);
            tokens.push_back(holder.demand.tokensPerSecond);
        }
        return {fairPart(team.limit.concurrency, own.concurrency, std::move(concurrency)),
                fairPart(team.limit.tokensPerSecond, own.tokensPerSecond, std::move(tokens))};
    }
};

ShareIssuer::ShareIssuer(ShareOptions options, TimePoint now)
    : d_(std::make_unique<Private>())
{
    d_->options = options;
    d_->startedAt = now;
    // Starts at the time, so that numbers of a predecessor are not taken for own ones.
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
        found->second.proven = now + d_->options.expiry + kHalvings * d_->options.period;
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
    Private::Team &team = found->second;
    d_->forgetExpired(team, now);
    Private::Holder &holder = team.holders[request.vm];
    d_->confirm(holder, request, now);
    Share others;
    for (const auto &[vm, other] : team.holders) {
        others = vm == request.vm ? others : sum(others, d_->lentTo(other, now));
    }
    const Share free{std::max(0.0, team.limit.concurrency - others.concurrency), std::max(0.0, team.limit.tokensPerSecond - others.tokensPerSecond)};
    grant.share = smaller(Private::target(team, request.demand), free);
    if (now < team.proven) {
        // The predecessor kept the sum of the latest grants within the limit, so each may be renewed.
        const Share proven = larger(request.last, scaled(team.limit, kUnprovenShare));
        grant.share = smaller(grant.share, {std::max(1.0, proven.concurrency), proven.tokensPerSecond});
    }
    grant.share.concurrency = std::floor(grant.share.concurrency + 1e-9);
    grant.number = d_->nextNumber++;
    holder.grants.push_back({grant.number, grant.share, now + d_->options.expiry});
    return grant;
}

Share ShareIssuer::lent(const TeamId &team, TimePoint now) const
{
    Share total;
    const auto found = d_->teams.find(team);
    if (found != d_->teams.end()) {
        for (const auto &[vm, holder] : found->second.holders) {
            total = sum(total, d_->lentTo(holder, now));
        }
    }
    return total;
}

// --- Holder -----------------------------------------------------------------------------------------------------

class ShareHolder::Private
{
public:
    struct Team
    {
        Share last;
        std::uint64_t number = 0;
        TimePoint expiry{};
        TimePoint sentAt{};
        bool granted = false;
        std::uint32_t running = 0;
        std::uint32_t refused = 0; // Since the last request to the issuer.
        double rate = 0;           // Tokens a second, averaged.
        TimePoint rateAt{};
        double bucket = 0; // Tokens that may be generated now; negative while answers run over the share.
        TimePoint bucketAt{};
    };

    ShareOptions options;
    std::map<TeamId, Team> teams;
    bool wanting = false;

    [[nodiscard]] Share shareOf(const Team &team, TimePoint now) const
    {
        return team.granted ? scaled(team.last, remainder(team.expiry, now, options.period)) : Share{};
    }

    void refill(Team &team, TimePoint now) const
    {
        const double rate = shareOf(team, now).tokensPerSecond;
        team.bucket = std::min(kBurstSeconds * rate, team.bucket + rate * std::max(0.0, secondsOf(now - team.bucketAt)));
        team.bucketAt = now;
    }

    static void countRate(Team &team, double tokens, TimePoint now)
    {
        team.rate = team.rate * std::exp(-std::max(0.0, secondsOf(now - team.rateAt)) / kRateSeconds) + tokens / kRateSeconds;
        team.rateAt = now;
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
    Private::Team &team = d_->teams[grant.team];
    if (team.granted && sentAt < team.sentAt) {
        return; // The answer to an earlier request overtook that to a later one.
    }
    d_->refill(team, now);
    const bool first = !team.granted;
    team.last = grant.share;
    team.number = grant.number;
    team.sentAt = sentAt;
    team.expiry = sentAt + grant.expiry;
    team.granted = true;
    if (first) {
        team.bucket = kBurstSeconds * grant.share.tokensPerSecond;
    }
}

std::optional<Error> ShareHolder::admit(const TeamId &teamId, TimePoint now)
{
    Private::Team &team = d_->teams[teamId];
    d_->wanting = d_->wanting || !team.granted;
    d_->refill(team, now);
    const Share share = d_->shareOf(team, now);
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
    Private::Team &team = d_->teams[teamId];
    d_->refill(team, now);
    team.bucket -= tokens;
    Private::countRate(team, tokens, now);
}

void ShareHolder::onFinished(const TeamId &teamId, TimePoint)
{
    Private::Team &team = d_->teams[teamId];
    team.running -= team.running > 0 ? 1 : 0;
}

Share ShareHolder::share(const TeamId &team, TimePoint now) const
{
    const auto found = d_->teams.find(team);
    return found == d_->teams.end() ? Share{} : d_->shareOf(found->second, now);
}

std::vector<ShareRequest> ShareHolder::requests(const VmId &self, TimePoint now)
{
    d_->wanting = false;
    std::vector<ShareRequest> result;
    for (auto entry = d_->teams.begin(); entry != d_->teams.end();) {
        Private::Team &team = entry->second;
        Private::countRate(team, 0, now);
        if (team.running == 0 && team.refused == 0 && team.rate < kIdleRate) {
            // An idle team's share runs out; the issuer counts it until then.
            const bool over = now >= team.expiry + kHalvings * d_->options.period;
            entry = over ? d_->teams.erase(entry) : std::next(entry);
            continue;
        }
        const double wanted = team.running + team.refused + 1.0;
        const double perAnswer = team.running > 0 ? team.rate / team.running : 0.0;
        const Share demand{wanted, std::max(team.rate, perAnswer * wanted) + 1.0};
        const bool valid = team.granted && remainder(team.expiry, now, d_->options.period) > 0;
        result.push_back({entry->first, self, demand, d_->shareOf(team, now), valid ? team.last : Share{}, valid ? team.number : 0});
        team.refused = 0;
        ++entry;
    }
    return result;
}

bool ShareHolder::wantsShare() const
{
    return d_->wanting;
}

} // namespace daisystream
