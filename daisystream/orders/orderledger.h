#pragma once

#include "daisystream/answer/sealer.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

/// @file
/// Tickets for orders, that is, requests to a service that must run at most once. Only the incarnation of the VM that issued
/// a ticket may run its order. It can therefore rule out a second run from its own memory, without shared storage.
///
/// Example:
/// @code
///   OrderLedger ledger(vm, incarnation);
///   const std::string text = tickets.seal(ledger.issueTicket(team, service, now));
///   Result<OrderTicket> ticket = tickets.open(text, team, service);
///   auto begun = ledger.begin(std::get<OrderTicket>(ticket), digestOfBody, now);
///   if (std::holds_alternative<OrderRun>(begun)) {
///       ledger.finish(std::get<OrderTicket>(ticket).serial, OrderDone{201, "application/json", body}, now);
///   }
/// @endcode

namespace daisystream
{

constexpr std::chrono::minutes kTicketLifetime{15};

/// Permission to run one order once, at the VM incarnation that issued the ticket.
struct OrderTicket
{
    VmId vm;
    std::uint64_t incarnation = 0;
    std::uint64_t serial = 0; ///< Number of the ticket among those of the incarnation, from 1.
    TeamId team;
    ServiceId service;
    std::chrono::sys_seconds expiry{}; ///< From this time on, an unused ticket cannot be used any more.

    friend auto operator<=>(const OrderTicket &, const OrderTicket &) = default;
};

/// Encrypts tickets into opaque texts for callers, and decrypts them. Any VM can decrypt a ticket in order to forward the
/// order to the VM that issued it. Thread-compatible.
class TicketSealer
{
public:
    /// @param keys as for Sealer.
    /// @param random as for Sealer.
    TicketSealer(const std::vector<SealingKey> &keys, Random random);

    /// Replaces all keys, for example after a key rotation.
    void setKeys(const std::vector<SealingKey> &keys);
    /// @return the encrypted ticket in URL-safe base64; empty if there is no key or the encryption failed.
    [[nodiscard]] std::string seal(const OrderTicket &ticket);
    /// Decrypts a ticket.
    /// @param text the encrypted ticket that the caller sent.
    /// @param team the team of the caller.
    /// @param service the service that the order is for.
    /// @return the ticket, or `TicketForged` if it cannot be decrypted or was issued for another team or service. Expired
    ///     tickets are accepted: the issuer checks the expiry, because it still reports the outcome of an order that ran.
    [[nodiscard]] Result<OrderTicket> open(std::string_view text, const TeamId &team, const ServiceId &service) const;

private:
    Sealer sealer_;
};

/// Outcome: the service replied.
struct OrderDone
{
    std::uint16_t status = 0; ///< HTTP status code.
    std::string contentType;
    std::string body;

    friend auto operator<=>(const OrderDone &, const OrderDone &) = default;
};

/// Outcome: no byte of the order reached a service, so the ticket or key may be used again.
struct OrderNotRun
{
    friend auto operator<=>(const OrderNotRun &, const OrderNotRun &) = default;
};

/// Outcome: the order may have run, but its response was lost.
struct OrderUnknown
{
    friend auto operator<=>(const OrderUnknown &, const OrderUnknown &) = default;
};

/// How the dispatch of an order ended.
using OrderOutcome = std::variant<OrderDone, OrderNotRun, OrderUnknown>;

/// Decision: dispatch the order now, then report its outcome with finish().
struct OrderRun
{
};

/// Decision: the order has already run; return its response.
struct OrderReplay
{
    OrderDone response;
};

/// Decision: the order is still running; the caller should repeat the request later.
struct OrderInProgress
{
};

/// What to do with an order.
using OrderBegin = std::variant<OrderRun, OrderReplay, OrderInProgress, Error>;

namespace internal
{

/// Defects that the schedule tests inject to check that they detect each one. All are off in production.
struct LedgerFaults
{
    bool runAgain = false;          ///< Runs the order of a used ticket again.
    bool acceptOtherIssuer = false; ///< Runs orders whose tickets another incarnation issued.
    bool reuseAfterUnknown = false; ///< Treats an unknown outcome as "not run".
    bool forgetAtExpiry = false;    ///< Drops used tickets at their expiry, so that they are reported as expired, that is, not run.
};

} // namespace internal

/// Issues the tickets of one VM incarnation and keeps the used ones in memory. Thread-compatible.
class OrderLedger
{
public:
    /// @param vm the VM that issues the tickets.
    /// @param incarnation the number of the VM's incarnation.
    /// @param faults defects to inject; none in production.
    OrderLedger(VmId vm, std::uint64_t incarnation, internal::LedgerFaults faults = {});

    /// @return a new ticket, valid for kTicketLifetime from `now`.
    [[nodiscard]] OrderTicket issueTicket(const TeamId &team, const ServiceId &service, std::chrono::sys_seconds now);

    /// Decides whether the order of a ticket may run now.
    /// @param ticket the decrypted ticket.
    /// @param digest the digest of the order's content; a ticket cannot be used again with other content.
    /// @param now the current calendar time.
    /// @return the decision, or an error. `TicketIssuerGone`: another incarnation issued the ticket, so the order's outcome is
    ///     not known here. `TicketExpired`: the order has not run and will not. `OrderOutcomeUnknown`: the order may have run,
    ///     and its response was lost or is no longer kept. `MalformedRequest`: the ticket was used for an order with other
    ///     content.
    [[nodiscard]] OrderBegin begin(const OrderTicket &ticket, const std::string &digest, std::chrono::sys_seconds now);
    /// Records the outcome of an order for which begin() returned OrderRun.
    /// @param serial the serial number of the order's ticket.
    /// @param outcome after OrderNotRun the ticket may be used again.
    /// @param now the current calendar time.
    void finish(std::uint64_t serial, OrderOutcome outcome, std::chrono::sys_seconds now);
    /// Drops responses and used tickets whose retention time has passed. To be called regularly.
    void expire(std::chrono::sys_seconds now);

    /// @return the number of used tickets in memory, for metrics.
    [[nodiscard]] std::size_t size() const
    {
        return usedTickets_.size();
    }

private:
    /// The order was dispatched and its outcome has not been reported.
    struct Running
    {
    };
    /// The service replied, but the response is no longer kept.
    struct ResponseDropped
    {
    };
    struct Entry
    {
        std::variant<Running, OrderDone, OrderUnknown, ResponseDropped> state;
        std::string digest;
        std::chrono::sys_seconds changedAt{}; // When the order was dispatched or, later, when its outcome was reported.
    };

    /// @return the latest time passed so far, including `now`.
    std::chrono::sys_seconds advance(std::chrono::sys_seconds now);

    VmId vm_;
    std::uint64_t incarnation_;
    internal::LedgerFaults faults_;
    std::uint64_t lastSerial_ = 0;
    std::chrono::sys_seconds latestTime_{};      // The latest time passed to any function.
    std::map<std::uint64_t, Entry> usedTickets_; // By serial number. Unused tickets need no entry.
};

} // namespace daisystream
