#include "daisystream/orders/orderrecord.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

using namespace std::chrono_literals;

const std::chrono::sys_seconds kNow(1'000'000s);
const OrderDone kDone{.status = 201, .contentType = "application/json", .body = "\xff{}"};

// Guards against running the order of a ticket twice, and against reporting a ticket as expired (not run) whose order ran.
TEST_CASE("the order of a ticket runs once, and its response is then returned again")
{
    OrderLedger ledger(VmId("a"), 7);
    TicketSealer sealer({SealingKey{.number = 1, .bytes = {1}}}, Random(1));
    const TeamId team("t");
    const ServiceId service("hut");
    const std::string text = sealer.seal(ledger.issueTicket(team, service, kNow));
    const auto ticket = std::get<OrderTicket>(sealer.open(text, team, service));
    CHECK((std::get<Error>(sealer.open(text, TeamId("u"), service)).code == ResultCode::TicketForged));
    CHECK(std::holds_alternative<OrderRun>(ledger.begin(ticket, "d", kNow)));
    CHECK(std::holds_alternative<OrderInProgress>(ledger.begin(ticket, "d", kNow)));
    ledger.finish(ticket.serial, OrderNotRun{}, kNow);
    CHECK(std::holds_alternative<OrderRun>(ledger.begin(ticket, "d", kNow)));
    ledger.finish(ticket.serial, kDone, kNow);
    CHECK(std::get<OrderReplay>(ledger.begin(ticket, "d", kNow)).response == kDone);
    CHECK((std::get<Error>(ledger.begin(ticket, "other", kNow)).code == ResultCode::MalformedRequest));
    ledger.expire(kNow + 20min);
    CHECK((std::get<Error>(ledger.begin(ticket, "d", kNow + 20min)).code == ResultCode::OrderOutcomeUnknown));
    ledger.expire(kNow + 25h);
    CHECK(ledger.size() == 0);
    // The calendar clock is set back after the used ticket was dropped.
    CHECK((std::get<Error>(ledger.begin(ticket, "d", kNow)).code == ResultCode::OrderOutcomeUnknown));
}

// Guards against an incarnation that runs the order of a ticket issued by another incarnation, which may have run it too.
TEST_CASE("only the incarnation that issued a ticket runs its order")
{
    OrderLedger before(VmId("a"), 7);
    OrderLedger after(VmId("a"), 8);
    const auto ticket = before.issueTicket(TeamId("t"), ServiceId("s"), kNow);
    CHECK((std::get<Error>(after.begin(ticket, "", kNow)).code == ResultCode::TicketIssuerGone));
    CHECK((std::get<Error>(before.begin(ticket, "", kNow + 15min)).code == ResultCode::TicketExpired));
}

OrderRecord recordOf(const char *attempt)
{
    return {{TeamId("t"), ServiceId("s"), "key/1"}, {.id = attempt, .vm = VmId("a"), .incarnation = 1, .digest = "d"}};
}

// Guards against an attempt that dispatches the order without knowing that the row is its own, and against an attempt that
// does not recognize its own row after a lost reply.
TEST_CASE("after a lost reply to the insert, the attempt in the row decides who dispatches")
{
    OrderRecord record = recordOf("a1");
    const auto insert = std::get<TableWrite>(std::get<TableAction>(record.start()));
    CHECK(insert.ifNumber == 0);
    CHECK(std::holds_alternative<TableRead>(std::get<TableAction>(record.onReply(TableNoReply{}))));
    CHECK(std::holds_alternative<OrderRun>(std::get<OrderBegin>(record.onReply(RowFound{.number = 1, .value = insert.value}))));
    const auto outcome = std::get<TableWrite>(std::get<TableAction>(record.finish(kDone)));
    CHECK(std::holds_alternative<OrderRecorded>(record.onReply(RowWritten{.number = 2})));

    OrderRecord second = recordOf("a2");
    CHECK(std::holds_alternative<TableAction>(second.start()));
    CHECK(std::holds_alternative<TableAction>(second.onReply(RowConflict{})));
    OrderRecord third = second;
    CHECK(std::holds_alternative<OrderInProgress>(std::get<OrderBegin>(second.onReply(RowFound{.number = 1, .value = insert.value}))));
    CHECK(std::get<OrderReplay>(std::get<OrderBegin>(third.onReply(RowFound{.number = 2, .value = outcome.value}))).response == kDone);
}

// Guards against an insert whose reply was lost, which takes effect after the attempt was abandoned and leaves the order in
// state "running" forever.
TEST_CASE("an abandoned attempt records \"not run\" if its insert may still take effect")
{
    OrderRecord record = recordOf("a1");
    OrderStep step = record.start();
    while (std::holds_alternative<TableAction>(step)) {
        step = record.onReply(TableNoReply{});
    }
    CHECK((std::get<Error>(std::get<OrderBegin>(step)).code == ResultCode::PlatformUnavailable));
    CHECK(record.needsCleanUp());
    const auto write = std::get<TableWrite>(std::get<TableAction>(record.cleanUp()));
    CHECK(std::holds_alternative<OrderNotRun>(decodeOrderRow(write.value)->state));
}

} // namespace
} // namespace daisystream
