#include "daisystream/orders/orderledger.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace daisystream
{
namespace
{

using nlohmann::json;
using std::chrono::sys_seconds;

constexpr std::string_view kTicketPurpose = "ticket";
constexpr std::chrono::minutes kResponseRetention{15};
// Used tickets are kept for longer than their responses, so that "expired" is reported only for orders that have not run.
constexpr std::chrono::hours kUsedTicketRetention{24};

} // namespace

TicketSealer::TicketSealer(const std::vector<SealingKey> &keys, Random random)
    : sealer_(keys, random)
{
}

void TicketSealer::setKeys(const std::vector<SealingKey> &keys)
{
    sealer_.setKeys(keys);
}

std::string TicketSealer::seal(const OrderTicket &ticket)
{
    const json fields = json::array(
        {ticket.vm.value(), ticket.incarnation, ticket.serial, ticket.team.value(), ticket.service.value(), ticket.expiry.time_since_epoch().count()});
    std::string plain;
    json::to_cbor(fields, plain);
    return sealer_.seal(plain, kTicketPurpose);
}

Result<OrderTicket> TicketSealer::open(std::string_view text, const TeamId &team, const ServiceId &service) const
{
    const Error forged{ResultCode::TicketForged, "the ticket could not be verified for this team and service", {}};
    const std::optional<std::string> plain = sealer_.open(text, kTicketPurpose);
    if (!plain) {
        return forged;
    }
    OrderTicket ticket;
    try {
        const json fields = json::from_cbor(*plain);
        ticket.vm = VmId(fields.at(0).get<std::string>());
        ticket.incarnation = fields.at(1).get<std::uint64_t>();
        ticket.serial = fields.at(2).get<std::uint64_t>();
        ticket.team = TeamId(fields.at(3).get<std::string>());
        ticket.service = ServiceId(fields.at(4).get<std::string>());
        ticket.expiry = sys_seconds(std::chrono::seconds(fields.at(5).get<std::int64_t>()));
    } catch (const json::exception &) {
        return forged; // Created by a software version with another layout of the fields.
    }
    if (ticket.team != team || ticket.service != service) {
        return forged;
    }
    return ticket;
}

OrderLedger::OrderLedger(VmId vm, std::uint64_t incarnation, internal::LedgerFaults faults)
    : vm_(std::move(vm))
    , incarnation_(incarnation)
    , faults_(faults)
{
}

sys_seconds OrderLedger::advance(sys_seconds now)
{
    // The system's calendar clock may be set back. Using the latest time keeps a used ticket whose entry was dropped from
    // becoming valid again.
    latestTime_ = std::max(latestTime_, now);
    return latestTime_;
}

OrderTicket OrderLedger::issueTicket(const TeamId &team, const ServiceId &service, sys_seconds now)
{
    const sys_seconds time = advance(now);
    return {.vm = vm_, .incarnation = incarnation_, .serial = ++lastSerial_, .team = team, .service = service, .expiry = time + kTicketLifetime};
}

OrderBegin OrderLedger::begin(const OrderTicket &ticket, const std::string &digest, sys_seconds now)
{
    const sys_seconds time = advance(now);
    if ((ticket.vm != vm_ || ticket.incarnation != incarnation_) && !faults_.acceptOtherIssuer) {
        return Error{
            ResultCode::TicketIssuerGone, "the ticket was issued by VM " + ticket.vm.value() + ", incarnation " + std::to_string(ticket.incarnation), {}};
    }
    const auto found = usedTickets_.find(ticket.serial);
    if (found == usedTickets_.end() || faults_.runAgain) {
        if (time >= ticket.expiry + kUsedTicketRetention) {
            return Error{ResultCode::OrderOutcomeUnknown, "the ticket expired too long ago to determine whether it was used", {}};
        }
        if (time >= ticket.expiry) {
            return Error{ResultCode::TicketExpired, "the ticket expired without being used", {}};
        }
        usedTickets_[ticket.serial] = {.state = Running{}, .digest = digest, .changedAt = time};
        return OrderRun{};
    }
    const Entry &entry = found->second;
    if (entry.digest != digest) {
        return Error{ResultCode::MalformedRequest, "the ticket was used for an order with other content", {}};
    }
    if (std::holds_alternative<Running>(entry.state)) {
        return OrderInProgress{};
    }
    if (const auto *done = std::get_if<OrderDone>(&entry.state)) {
        return OrderReplay{*done};
    }
    const bool responseDropped = std::holds_alternative<ResponseDropped>(entry.state);
    return Error{
        ResultCode::OrderOutcomeUnknown, responseDropped ? "the order has run, but its response is no longer kept" : "the service's response was lost", {}};
}

void OrderLedger::finish(std::uint64_t serial, OrderOutcome outcome, sys_seconds now)
{
    const sys_seconds time = advance(now);
    const auto found = usedTickets_.find(serial);
    if (found == usedTickets_.end() || !std::holds_alternative<Running>(found->second.state)) {
        return;
    }
    if (std::holds_alternative<OrderNotRun>(outcome) || (faults_.reuseAfterUnknown && std::holds_alternative<OrderUnknown>(outcome))) {
        usedTickets_.erase(found);
        return;
    }
    found->second.changedAt = time;
    if (auto *done = std::get_if<OrderDone>(&outcome)) {
        found->second.state = std::move(*done);
    } else {
        found->second.state = OrderUnknown{};
    }
}

void OrderLedger::expire(sys_seconds now)
{
    const sys_seconds time = advance(now);
    for (auto entry = usedTickets_.begin(); entry != usedTickets_.end();) {
        const auto age = time - entry->second.changedAt;
        if (std::holds_alternative<OrderDone>(entry->second.state) && age >= kResponseRetention) {
            entry->second.state = ResponseDropped{};
        }
        // A ticket expires at most kTicketLifetime after its use.
        const bool retentionPassed = age >= (faults_.forgetAtExpiry ? kTicketLifetime : kTicketLifetime + kUsedTicketRetention);
        entry = retentionPassed && !std::holds_alternative<Running>(entry->second.state) ? usedTickets_.erase(entry) : std::next(entry);
    }
}

} // namespace daisystream
