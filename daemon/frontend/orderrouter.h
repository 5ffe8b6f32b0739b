#pragma once

#include "daemon/frontend/callerauth.h"
#include "daemon/frontend/frontendcontext.h"

#include <boost/asio/spawn.hpp>

#include <memory>
#include <string>

/// @file
/// Routes calls to plain services so that no order runs twice (design 2.7).
///
/// Example:
/// @code
///   OrderRouter orders(context);
///   HttpResponse response = orders.call(grant, service, request, yield);
/// @endcode

namespace daisystream
{

/// Tickets, idempotency keys and the one dispatch of each order. Thread-safe.
///
/// An order with a ticket runs at the VM incarnation that issued it; other VMs forward it through `OrderForwarding`. The
/// links between VMs carry it rather than the callers' HTTP port, because they already know the incarnation at the other
/// end, which decides between "not run" and "unknown".
class OrderRouter : public std::enable_shared_from_this<OrderRouter>
{
public:
    /// @param context must outlive the event loop.
    explicit OrderRouter(FrontendContext &context);
    ~OrderRouter();

    /// Starts to run orders that other VMs forward.
    void start();

    /// @return a response with a new ticket.
    [[nodiscard]] HttpResponse issueTicket(const CallerGrant &grant, const ServiceId &service);

    /// @return what is known about an order with the caller's own key.
    [[nodiscard]] HttpResponse query(const CallerGrant &grant, const ServiceId &service, const std::string &key, boost::asio::yield_context yield);

    /// Runs a call: with the header `X-Order-Ticket`, with `Idempotency-Key`, or, for GET and HEAD only, with neither.
    [[nodiscard]] HttpResponse call(const CallerGrant &grant, const ServiceId &service, const HttpRequest &request, boost::asio::yield_context yield);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

/// @return what is known of a request that is refused before its order was looked up: an earlier request with the same ticket or key may
///     have run the order.
[[nodiscard]] FinalState stateOfRefused(const HttpRequest &request);

/// Header that carries a ticket.
constexpr const char *kTicketHeader = "X-Order-Ticket";

} // namespace daisystream
