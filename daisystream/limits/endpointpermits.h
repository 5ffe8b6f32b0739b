#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/limits/permitissuer.h"
#include "daisystream/limits/requestlimits.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

/// @file
/// Keeps the requests of all VMs to an endpoint within the request limit that the endpoint states.
///
/// Each endpoint has an issuer, the first live VM by rendezvous hash. Before a VM sends a request to an endpoint with a limit, it
/// asks the issuer for a permit. If the issuer does not reply, the second VM stands in with a small part of the rate, so that both
/// together stay within what an endpoint tolerates. A VM that has lost contact with some of the others issues only the share of
/// those that it still reaches, since the others may have an issuer of their own.
///
/// Example:
/// @code
///   EndpointPermits permits(self);
///   permits.setVms(live, now);
///   perform(permits.ask(7, request, now));       // `AskForPermit`: send it; `PermitDecided`: the request's outcome
///   perform(permits.onReply(from, reply, now)); // a reply of the issuer
///   perform(permits.expire(now));               // at nextWake()
/// @endcode

namespace daisystream
{

namespace internal
{

/// Faults that the mutation tests of the schedules inject and must detect. All are off in production.
struct EndpointPermitFaults
{
    bool eachIssuesItself = false; ///< Each VM issues the whole rate to itself.
    bool ignoresLostVms = false;   ///< A VM that lost contact with others issues the whole rate.
    bool neverStandsIn = false;    ///< Nobody is asked in place of an issuer that does not reply.
    RequestLimitFaults limits{};
    PermitIssuerFaults issuer{};
};

} // namespace internal

/// A request for a permit, as it is sent to the issuer.
struct PermitAsk
{
    std::uint64_t number = 0; ///< Chosen by the asking VM, which finds the request again by it.
    PermitRequest request{};
    LimitStatement statement{}; ///< The limit as the asking VM knows it; the issuer may not have been told.
    double coldPerSecond = 0;   ///< Limit of the endpoint while it is cold, as the asking VM knows it; 0 if it is not cold.

    friend auto operator<=>(const PermitAsk &, const PermitAsk &) = default;
};

/// The issuer's reply.
struct PermitReply
{
    std::uint64_t number = 0;
    EndpointId endpoint;
    PermitOutcome outcome{};
    LimitStatement statement{}; ///< The limit as the issuer knows it.

    friend auto operator<=>(const PermitReply &, const PermitReply &) = default;
};

/// Send the request for a permit to a VM. If it cannot be sent, call EndpointPermits::onSendFailed().
struct AskForPermit
{
    VmId to;
    PermitAsk ask;

    friend auto operator<=>(const AskForPermit &, const AskForPermit &) = default;
};

/// The outcome for a request of this VM.
struct PermitDecided
{
    std::uint64_t number = 0; ///< As in the call of EndpointPermits::ask().
    PermitOutcome outcome{};

    friend auto operator<=>(const PermitDecided &, const PermitDecided &) = default;
};

using PermitAction = std::variant<AskForPermit, PermitDecided>;

/// Settings of EndpointPermits.
struct EndpointPermitOptions
{
    Duration replyTimeout = std::chrono::milliseconds(100); ///< After it, the issuer is taken for unavailable.
    Duration avoidFor = std::chrono::seconds(1);            ///< How long an unavailable issuer is not asked.
    /// How long a lost VM counts as one that may follow another issuer. Longer than most network failures.
    Duration lostFor = std::chrono::seconds(15);
    Duration settleFor = std::chrono::seconds(5); ///< The same for a VM that is back, until all VMs agree that it is.
    internal::EndpointPermitFaults faults{};
};

/// The permits that one VM asks for and issues. Reads no clock and sends nothing itself. Thread-compatible.
class EndpointPermits
{
public:
    explicit EndpointPermits(VmId self, EndpointPermitOptions options = {});

    /// Replaces the set of live VMs, which includes this one.
    void setVms(const std::vector<VmId> &live, TimePoint now);

    /// Forgets what is known of all other endpoints.
    void retain(const std::vector<EndpointId> &endpoints);

    /// What endpoints state. Changes have to be told to the other VMs.
    [[nodiscard]] RequestLimits &limits();
    [[nodiscard]] const RequestLimits &limits() const;

    /// @return the statements of the endpoints with a limit of which this VM is the issuer or the one that stands in. It repeats
    ///     them to the other VMs from time to time, for those that have just started.
    [[nodiscard]] std::vector<LimitStatement> ownStatements(TimePoint now);

    /// @return whether a request would get no permit at once, as far as this VM knows without asking.
    [[nodiscard]] bool isFull(const EndpointId &endpoint, bool isUrgent, TimePoint now) const;

    /// @return the endpoints for which isFull() is true, sorted by id.
    [[nodiscard]] std::vector<EndpointId> fullEndpoints(bool isUrgent, TimePoint now) const;

    /// Chooses the endpoint at which a request waits or keeps a place when none can take it at once. All VMs choose the same
    /// one for a request, so that its caller finds the place again at any VM.
    /// @param request as PermitRequest::request.
    /// @param endpoints the candidates.
    /// @return an endpoint, chosen in proportion to the limits; nothing if none of the candidates has one.
    [[nodiscard]] std::optional<EndpointId> lineFor(std::uint64_t request, const std::vector<EndpointId> &endpoints) const;

    /// Asks for a permit.
    /// @param number chosen by the caller, different for each call; `PermitDecided` carries it.
    /// @param request the vm in it is set to this VM.
    [[nodiscard]] std::vector<PermitAction> ask(std::uint64_t number, PermitRequest request, TimePoint now);

    /// Handles a reply. It is ignored if the request has been decided.
    [[nodiscard]] std::vector<PermitAction> onReply(const VmId &from, const PermitReply &reply, TimePoint now);

    /// Handles an `AskForPermit` that could not be sent.
    [[nodiscard]] std::vector<PermitAction> onSendFailed(std::uint64_t number, TimePoint now);

    /// Handles requests without a reply.
    [[nodiscard]] std::vector<PermitAction> expire(TimePoint now);

    /// @return when `expire` has to be called next, if at all.
    [[nodiscard]] std::optional<TimePoint> nextWake() const;

    /// Handles a request of another VM.
    [[nodiscard]] PermitReply onAsk(const PermitAsk &ask, TimePoint now);

private:
    struct Pending
    {
        PermitAsk ask;
        TimePoint sentAt;
        VmId to;
        bool isLast = false; ///< No other VM is asked after this one.
    };
    /// Until when an endpoint takes no further requests of this VM.
    struct Full
    {
        TimePoint until;       ///< For ordinary requests.
        TimePoint pausedUntil; ///< For all requests; the issuer is not asked before.
    };
    /// Limit of a cold endpoint as another VM reported it.
    struct ReportedCold
    {
        double perSecond = 0;
        TimePoint until;
    };

    [[nodiscard]] const std::vector<VmId> &ownersOf(const EndpointId &endpoint);
    /// @return the part of the live and lately lost VMs that follows this VM's view of who issues permits.
    [[nodiscard]] double followingShare(TimePoint now) const;
    /// @return the limit by which this VM issues permits; nothing if it knows none.
    [[nodiscard]] std::optional<double> limitFor(const EndpointId &endpoint, TimePoint now) const;
    [[nodiscard]] PermitTerms termsFor(const EndpointId &endpoint, TimePoint now);
    [[nodiscard]] LimitStatement statementOf(const EndpointId &endpoint, TimePoint now) const;
    [[nodiscard]] PermitOutcome issue(const PermitRequest &request, TimePoint now);
    [[nodiscard]] std::vector<PermitAction> send(PermitAsk ask, const VmId &to, bool isLast, TimePoint now);
    [[nodiscard]] std::vector<PermitAction> askNext(std::uint64_t number, TimePoint now);
    [[nodiscard]] PermitDecided decide(std::uint64_t number, const EndpointId &endpoint, const PermitOutcome &outcome, TimePoint now);

    const VmId self_;
    const EndpointPermitOptions options_;
    RequestLimits limits_;
    PermitIssuer issuer_;
    std::vector<VmId> live_;
    std::map<VmId, TimePoint> lostUntil_;            ///< VMs that may follow another issuer until then.
    std::map<EndpointId, std::vector<VmId>> owners_; ///< The first VMs by rendezvous hash, for the present live VMs.
    std::map<VmId, TimePoint> avoidUntil_;           ///< VMs that did not reply.
    std::map<EndpointId, Full> full_;
    std::map<EndpointId, ReportedCold> reportedCold_;
    std::map<std::uint64_t, Pending> pending_;
};

} // namespace daisystream
