#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

/// @file
/// Forwarding of orders to the VM that issued their ticket.
///
/// Example:
/// @code
///   peers.forwardOrder(issuer, order, [](Result<OrderReply> reply) { ... });
/// @endcode

namespace daisystream
{

/// An order with a ticket, on its way to the VM that issued the ticket.
struct ForwardedOrder
{
    std::string ticket;
    TeamId team; ///< Already authenticated by the entry VM.
    ServiceId service;
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    friend auto operator<=>(const ForwardedOrder &, const ForwardedOrder &) = default;
};

/// The answer to a forwarded order.
struct OrderReply
{
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    friend auto operator<=>(const OrderReply &, const OrderReply &) = default;
};

/// What the data part needs of the links between VMs. Thread-safe.
class OrderForwarding
{
public:
    using ReplyHandler = std::function<void(Result<OrderReply>)>;
    using OrderHandler = std::function<void(const ForwardedOrder &, ReplyHandler)>;

    virtual ~OrderForwarding() = default;

    /// @return this VM.
    [[nodiscard]] virtual const VmId &self() const = 0;

    /// @return a number that differs between two runs of the daemon at the same VM.
    [[nodiscard]] virtual std::uint64_t incarnation() const = 0;

    /// Sends an order to the VM that issued its ticket.
    /// @param handler called exactly once: the reply; `TicketIssuerGone` or `PeerUnreachable` if the order certainly did
    ///     not reach that VM's incarnation; `OrderOutcomeUnknown` if it may have.
    virtual void forwardOrder(const VmId &issuer, std::uint64_t incarnation, const ForwardedOrder &order, ReplyHandler handler) = 0;

    /// Sets who runs orders that other VMs forward to this one.
    virtual void setOrderHandler(OrderHandler handler) = 0;
};

} // namespace daisystream
