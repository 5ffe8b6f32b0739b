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
/// Enforces the limits of a team's plan across VMs: one VM, the issuer, grants shares of the limits to the VMs that serve
/// requests of the team.
///
/// Every VM with requests of the team asks the issuer for a share once per period and states its current demand. The new
/// grant replaces the VM's share. The issuer counts a grant until the VM has confirmed a later one or until the grant has
/// expired, so the sum of the granted shares never exceeds the limit. A VM that cannot reach the issuer continues with its
/// expired share, which is halved in each period; the issuer counts the remainder as granted, too. A new issuer does not
/// know the grants of the previous issuer. Until these have expired, it renews the shares that VMs report and grants a
/// twentieth of the limit to a VM without a share.
///
/// Example:
/// @code
///   ShareIssuer issuer(ShareOptions{}, now);
///   issuer.setLimit(team, {64, 4000}, now);
///   const ShareGrant grant = issuer.request({team, vm, demand, held}, now); // on the issuing VM
///   ShareHolder holder(ShareOptions{});
///   holder.onGrant(grant, sentAt, now);                                     // on the requesting VM
///   if (const auto error = holder.admit(team, now)) { ... }
/// @endcode

namespace daisystream
{

/// A part of both limits of a plan.
struct Share
{
    double concurrency = 0;     ///< Requests that run at the same time.
    double tokensPerSecond = 0; ///< Generated tokens.

    friend auto operator<=>(const Share &, const Share &) = default;
};

struct ShareOptions
{
    std::chrono::milliseconds expiry{2500}; ///< Validity of a grant; halving of the share starts after it.
    std::chrono::milliseconds period{500};  ///< Time between two requests of a VM, and between two halvings of an expired share.
};

/// Request of a VM to the issuer for a share of a team's limits.
struct ShareRequest
{
    TeamId team;
    VmId vm;
    Share demand;                   ///< What the VM could use now.
    Share inForce;                  ///< The share that the VM enforces now, after the halvings since its expiry.
    Share latest;                   ///< The share of the VM's latest grant before any halving; empty once it counts as zero.
    std::uint64_t latestNumber = 0; ///< Number of the latest grant; 0 if there is none.

    friend auto operator<=>(const ShareRequest &, const ShareRequest &) = default;
};

/// Response of the issuer to a `ShareRequest`.
struct ShareGrant
{
    TeamId team;
    Share share;
    std::uint64_t number = 0;           ///< Rises with each grant of the issuer; 0 if the issuer knows no limit of the team.
    std::chrono::milliseconds expiry{}; ///< Validity, counted from when the request was sent.

    friend auto operator<=>(const ShareGrant &, const ShareGrant &) = default;
};

/// Grants shares of the limits of those teams that this VM is the issuer of. Thread-compatible.
class ShareIssuer
{
public:
    /// @param options must equal those of the holders.
    /// @param now when this VM became the issuer.
    ShareIssuer(ShareOptions options, TimePoint now);
    ~ShareIssuer();
    ShareIssuer(ShareIssuer &&) noexcept;
    ShareIssuer &operator=(ShareIssuer &&) noexcept;

    /// Sets the limit of a team. If the team is new to this issuer, another VM may have been its issuer until `now`, so new
    /// grants are restricted until the grants of that VM have expired.
    void setLimit(const TeamId &team, const Share &limit, TimePoint now);

    /// Removes a team of which this VM is no longer the issuer, with its grants.
    void removeTeam(const TeamId &team);

    /// Grants a share to the requesting VM, which replaces its earlier ones.
    /// @return the grant; its share is empty if no limit is set for the team.
    [[nodiscard]] ShareGrant request(const ShareRequest &request, TimePoint now);

    /// @return the sum over all VMs of the largest share that may be in force on each, after halvings.
    [[nodiscard]] Share totalGranted(const TeamId &team, TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

/// Holds the shares that one VM was granted and admits the VM's requests within them. Thread-compatible.
class ShareHolder
{
public:
    /// @param options must equal those of the issuer.
    explicit ShareHolder(ShareOptions options);
    ~ShareHolder();
    ShareHolder(ShareHolder &&) noexcept;
    ShareHolder &operator=(ShareHolder &&) noexcept;

    /// Replaces the share of the team, unless the response to a later request was applied before.
    /// @param sentAt when this VM sent the request for the grant; the validity counts from then.
    void onGrant(const ShareGrant &grant, TimePoint sentAt, TimePoint now);

    /// Admits a request, and counts it as running, if the team's share allows it.
    /// @return nothing if the request is admitted, else ConcurrencyLimit or RateLimit with the time until a retry.
    [[nodiscard]] std::optional<Error> admit(const TeamId &team, TimePoint now);

    /// Takes generated tokens from the team's token bucket.
    void onTokens(const TeamId &team, double tokens, TimePoint now);
    /// Counts one running request of the team less.
    void onFinished(const TeamId &team, TimePoint now);

    /// @return the share in force. After its expiry it is halved in each period, so that the team is served for a while
    ///     without an issuer.
    [[nodiscard]] Share share(const TeamId &team, TimePoint now) const;

    /// Starts a new period: also resets the counts of refused requests, and forgets idle teams whose shares have ended.
    /// Call it once per period, and at once when `needsGrant` returns true.
    /// @param self id of this VM.
    /// @return the requests to send to the issuers now, one for each team that is not idle.
    [[nodiscard]] std::vector<ShareRequest> requests(const VmId &self, TimePoint now);

    /// @return whether, since the last call of `requests`, a request arrived of a team that was never granted a share, so
    ///     that the issuer should be asked at once.
    [[nodiscard]] bool needsGrant() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
