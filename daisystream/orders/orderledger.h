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
/// Tickets for orders that must run at most once. One incarnation of one VM issues a ticket and only that incarnation
/// runs it, so no other system is needed to rule out a second run.
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

/// The right to run one order once, at the VM that issued it.
struct OrderTicket
{
    VmId vm;
    std::uint64_t incarnation = 0;
    std::uint64_t serial = 0;
    TeamId team;
    ServiceId service;
    std::chrono::sys_seconds expiry{};

    friend auto operator<=>(const OrderTicket &, const OrderTicket &) = default;
};

/// Turns tickets into texts for callers and back. Any VM can open a ticket, to forward it to its issuer.
/// Thread-compatible.
class TicketSealer
{
public:
    TicketSealer(const std::vector<SealingKey> &keys, Random random);

    void setKeys(const std::vector<SealingKey> &keys);
    /// @return the text; empty if there is no key.
    [[nodiscard]] std::string seal(const OrderTicket &ticket);
    /// @param team,service for which the ticket is presented.
    /// @return the ticket, or `TicketForged` if it is not ours or was issued for another team or service. The expiry is
    ///     left to the issuer, because a used ticket still tells its outcome after it.
    [[nodiscard]] Result<OrderTicket> open(std::string_view text, const TeamId &team, const ServiceId &service) const;

private:
    Sealer sealer_;
};

/// The service replied.
struct OrderDone
{
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;

    friend auto operator<=>(const OrderDone &, const OrderDone &) = default;
};

/// No byte of the order reached a service: the ticket may be used again.
struct OrderNotRun
{
    friend auto operator<=>(const OrderNotRun &, const OrderNotRun &) = default;
};

/// The order may have run and its response was lost.
struct OrderUnknown
{
    friend auto operator<=>(const OrderUnknown &, const OrderUnknown &) = default;
};

using OrderOutcome = std::variant<OrderDone, OrderNotRun, OrderUnknown>;

/// Run the order now, then call OrderLedger::finish().
struct OrderRun
{
};

/// The order has run: this is its response.
struct OrderReplay
{
    OrderDone response;
};

/// The order is running; repeat the request later.
struct OrderInProgress
{
};

using OrderBegin = std::variant<OrderRun, OrderReplay, OrderInProgress, Error>;

namespace internal
{

/// Deliberate breaks for the schedules, which must notice each of them. None in the product.
struct LedgerFaults
{
    bool runAgain = false;          ///< Forgets that a ticket was used.
    bool acceptOtherIssuer = false; ///< Runs tickets that another incarnation issued.
    bool reuseAfterUnknown = false; ///< Treats an unknown outcome as not run.
    bool forgetAtExpiry = false;    ///< Drops used tickets at their expiry and calls them expired, thus not run.
};

} // namespace internal

/// The tickets of one VM incarnation, in memory. Thread-compatible.
class OrderLedger
{
public:
    OrderLedger(VmId vm, std::uint64_t incarnation, internal::LedgerFaults faults = {});

    [[nodiscard]] OrderTicket issueTicket(const TeamId &team, const ServiceId &service, std::chrono::sys_seconds now);

    /// Decides whether the order may run now.
    /// @param digest of the order's content; a ticket that was used with another content is refused.
    /// @return `TicketIssuerGone`: another incarnation issued it, its outcome is not known here. `TicketExpired`: it has not
    ///     run and will not. `OrderOutcomeUnknown`: it may have run and its response is lost or no longer kept.
    ///     `MalformedRequest`: it was used for an order with other content.
    [[nodiscard]] OrderBegin begin(const OrderTicket &ticket, const std::string &digest, std::chrono::sys_seconds now);
    /// Records the outcome of an order that begin() let run.
    void finish(std::uint64_t serial, OrderOutcome outcome, std::chrono::sys_seconds now);
    /// Drops responses and tickets that are too old to be asked for.
    void expire(std::chrono::sys_seconds now);

    /// @return tickets in memory, for metrics.
    [[nodiscard]] std::size_t size() const
    {
        return used_.size();
    }

private:
    struct Running
    {
    };
    struct Closed
    {
    };
    struct Entry
    {
        std::variant<Running, OrderDone, OrderUnknown, Closed> state;
        std::string digest;
        std::chrono::sys_seconds since{};
    };

    std::chrono::sys_seconds advance(std::chrono::sys_seconds now);

    VmId vm_;
    std::uint64_t incarnation_;
    internal::LedgerFaults faults_;
    std::uint64_t lastSerial_ = 0;
    std::chrono::sys_seconds latest_{};
    std::map<std::uint64_t, Entry> used_; // Unused tickets need no entry.
};

} // namespace daisystream
