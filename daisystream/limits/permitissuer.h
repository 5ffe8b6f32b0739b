#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <cstdint>
#include <map>
#include <memory>
#include <variant>

/// @file
/// Issues permits for requests to endpoints that state a request limit. One VM, the issuer, does so for an endpoint on behalf of
/// all VMs.
///
/// Permits are spaced by the generic cell rate algorithm: in any span, no more are issued than the rate allows and a small burst.
/// A request that gets none is given a place in a line, as far as its caller can come back in time; at that time a permit is
/// kept for it. Urgent requests may use permits that ordinary ones have to leave, and the line takes only a part of the rate, so
/// that urgent requests do not have to wait behind it.
///
/// Example:
/// @code
///   PermitIssuer issuer;
///   const PermitOutcome outcome = issuer.request(ask, {.perSecond = 3.7}, now);
///   if (const auto *denied = std::get_if<PermitDenied>(&outcome)) { comeBackAfter(denied->retryAfter); }
/// @endcode

namespace daisystream
{

namespace internal
{

/// Faults that the mutation tests of the schedules inject and must detect. All are off in production.
struct PermitIssuerFaults
{
    bool issuesFreely = false;       ///< Every request gets a permit.
    bool forgetsPlaces = false;      ///< A place in the line is not kept.
    bool standsInAtFullRate = false; ///< A VM that stands in for the issuer issues at the whole rate.
};

} // namespace internal

/// A request that needs a permit.
struct PermitRequest
{
    EndpointId endpoint{};
    VmId vm{};                 ///< The VM that sends the request.
    std::uint64_t attempt = 0; ///< Identifies this attempt of a caller.
    std::uint64_t request = 0; ///< The same for all attempts of a request; finds its place in the line when the caller is back.
    bool isUrgent = false;
    Duration patience{}; ///< For how long a place in the line is of use; zero: no place is wanted.

    friend auto operator<=>(const PermitRequest &, const PermitRequest &) = default;
};

/// At which rate permits are issued.
struct PermitTerms
{
    double perSecond = 0;
    bool isStandIn = false; ///< The issuer does not reply, and this VM issues a small part of the permits in its place.

    friend auto operator<=>(const PermitTerms &, const PermitTerms &) = default;
};

/// The request may be sent now.
struct PermitGranted
{
    friend auto operator<=>(const PermitGranted &, const PermitGranted &) = default;
};

/// The request must not be sent.
struct PermitDenied
{
    Duration retryAfter{};    ///< When a permit can be had: for this request if a place is kept for it, else for any request.
    bool isPlaceKept = false; ///< A permit is kept for the request at that time.
    Duration fullFor{};       ///< Ordinary requests of the same VM get no permit at once before that.
    Duration pause{};         ///< The VM should ask nothing for the endpoint for this time, to spare the issuer.

    friend auto operator<=>(const PermitDenied &, const PermitDenied &) = default;
};

using PermitOutcome = std::variant<PermitGranted, PermitDenied>;

/// Permits of all endpoints of which this VM is the issuer, or stands in for it. Thread-compatible.
class PermitIssuer
{
public:
    explicit PermitIssuer(internal::PermitIssuerFaults faults = {});
    ~PermitIssuer();
    PermitIssuer(PermitIssuer &&) noexcept;
    PermitIssuer &operator=(PermitIssuer &&) noexcept;

    /// Issues a permit if the terms allow it now.
    /// @param terms in force for the endpoint.
    [[nodiscard]] PermitOutcome request(const PermitRequest &request, const PermitTerms &terms, TimePoint now);

    /// Removes the state of endpoints for which nothing was requested for some time.
    void removeIdle(TimePoint now);

private:
    class Line;

    std::map<EndpointId, std::unique_ptr<Line>> lines_;
    internal::PermitIssuerFaults faults_;
};

} // namespace daisystream
