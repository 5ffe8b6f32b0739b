#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

/// @file
/// Limits of a team's plan across VMs: an issuer lends shares of the limits to the VMs that have traffic of the team.
///
/// Every VM with traffic of the team asks for a share once in each period, with its present demand. The grant replaces
/// its share. The issuer counts a share as lent until the VM has confirmed a later one or until it has expired, so the
/// sum of the lent shares never exceeds the limit. A VM that cannot reach the issuer works on with its expired share,
/// halved in each period; the issuer counts that remainder as lent, too. An issuer that starts cannot know what its
/// predecessor lent; until that has expired it lends what VMs say they hold, and a twentieth of the limit to others.
///
/// Example:
/// @code
///   ShareIssuer issuer(ShareOptions{}, now);
///   issuer.setLimit(team, {64, 4000}, now);
///   const ShareGrant grant = issuer.request({team, vm, demand, held}, now); // on the issuing VM
///   ShareHolder holder(ShareOptions{});
///   holder.onGrant(grant, sentAt, now);                                     // on the VM that asked
///   if (const auto error = holder.admit(team, now)) { ... }
/// @endcode

namespace daisystream
{

/// An amount of both limits of a plan.
struct Share
{
    double concurrency = 0;
    double tokensPerSecond = 0;

    friend auto operator<=>(const Share &, const Share &) = default;
};

struct ShareOptions
{
    std::chrono::milliseconds expiry{2500}; ///< A share that is not renewed ends after this time.
    std::chrono::milliseconds period{500};  ///< Between requests of a holder.
};

/// What a VM tells the issuer.
struct ShareRequest
{
    TeamId team;
    VmId vm;
    Share demand;                 ///< What it could use now.
    Share held;                   ///< The share that it works with, halved in each period after its expiry.
    Share last;                   ///< The share of its latest grant, expired or not.
    std::uint64_t heldNumber = 0; ///< Number of that grant; 0: none.

    friend auto operator<=>(const ShareRequest &, const ShareRequest &) = default;
};

/// What the issuer lends, counted from when the request was sent.
struct ShareGrant
{
    TeamId team;
    Share share;
    std::uint64_t number = 0;
    std::chrono::milliseconds expiry{};

    friend auto operator<=>(const ShareGrant &, const ShareGrant &) = default;
};

/// Lends the shares of the teams whose issuer this VM is. Thread-compatible.
class ShareIssuer
{
public:
    /// @param now when this VM became the issuer.
    ShareIssuer(ShareOptions options, TimePoint now);
    ~ShareIssuer();
    ShareIssuer(ShareIssuer &&) noexcept;
    ShareIssuer &operator=(ShareIssuer &&) noexcept;

    /// Sets the limit of a team. A team that is new here may have had another issuer until `now`.
    void setLimit(const TeamId &team, const Share &limit, TimePoint now);

    /// This VM is no longer the issuer of the team.
    void removeTeam(const TeamId &team);

    /// Answers a request; a team without limit gets an empty share.
    [[nodiscard]] ShareGrant request(const ShareRequest &request, TimePoint now);

    /// @return the sum of the lent shares that have not expired.
    [[nodiscard]] Share lent(const TeamId &team, TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

/// The shares of one VM, and the admission of requests by them. Thread-compatible.
class ShareHolder
{
public:
    explicit ShareHolder(ShareOptions options);
    ~ShareHolder();
    ShareHolder(ShareHolder &&) noexcept;
    ShareHolder &operator=(ShareHolder &&) noexcept;

    /// @param sentAt when the request for the grant was sent; its expiry counts from there.
    void onGrant(const ShareGrant &grant, TimePoint sentAt, TimePoint now);

    /// Counts the request as running if the share allows it.
    /// @return ConcurrencyLimit or RateLimit with a retry time if not.
    [[nodiscard]] std::optional<Error> admit(const TeamId &team, TimePoint now);

    /// Charges tokens that were generated.
    void onTokens(const TeamId &team, double tokens, TimePoint now);
    void onFinished(const TeamId &team, TimePoint now);

    /// @return the share in force. An expired one is halved in each period since; the team then works on without issuer.
    [[nodiscard]] Share share(const TeamId &team, TimePoint now) const;

    /// @return the requests to send now; call it once in each period and when `wantsShare`.
    [[nodiscard]] std::vector<ShareRequest> requests(const VmId &self, TimePoint now);

    /// @return whether a team has traffic and never had a share, so that a request should be sent at once.
    [[nodiscard]] bool wantsShare() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
