#include "daemon/frontend/frontendfixture_test.h"

#include "daemon/frontend/httpreply.h"
#include "daisystream/forwarding/responsemeaning.h"

#include <initializer_list>

namespace daisystream::frontendtest
{
namespace
{

const char *const kSeats = "/v1/services/booking/seats";

std::string ticketOf(const Vm &vm)
{
    const auto reply = request(vm.port(), http::verb::post, "/v1/services/booking/tickets", kNorth);
    REQUIRE(reply.status == 201);
    return reply.parsed().at("ticket").get<std::string>();
}

Reply order(const Vm &vm, const std::string &header, const std::string &value, const std::string &name)
{
    return request(vm.port(), http::verb::post, kSeats, with(kNorth, header, value), json{{"order", name}}.dump());
}

const std::string kTicket = "X-Order-Ticket";
const std::string kKey = "Idempotency-Key";
const std::string kState = "X-Order-State";

// Guards against an order that runs twice because it was sent to two VMs.
TEST_CASE("an order with a ticket runs once, whichever VM it is sent to")
{
    Fleet fleet;
    const auto ticket = ticketOf(*fleet.vm1);
    const auto first = order(*fleet.vm2, kTicket, ticket, "seat");
    CHECK(first.status == 201);
    CHECK(first.headers.at(kState) == "complete");
    const auto again = order(*fleet.vm1, kTicket, ticket, "seat");
    CHECK(again.status == 201);
    CHECK(again.body == first.body);
    CHECK(fleet.service->counts().at("seat") == 1);
    CHECK(order(*fleet.vm1, kTicket, ticket, "other").code() == 105);
    CHECK(fleet.service->counts().count("other") == 0);
}

// Guards against a repeated dispatch after a byte was sent, and against "not run" for an order that ran.
TEST_CASE("a lost reply leaves the outcome unknown and the order is never repeated")
{
    Fleet fleet;
    const auto ticket = ticketOf(*fleet.vm1);
    fleet.service->setFaults({.loseReplies = 2});
    for (int i = 0; i < 3; ++i) {
        const auto reply = order(i == 1 ? *fleet.vm2 : *fleet.vm1, kTicket, ticket, "seat");
        CHECK(reply.state() == "outcomeUnknown");
    }
    CHECK(order(*fleet.vm1, kKey, "k", "hut").state() == "outcomeUnknown");
    CHECK(order(*fleet.vm2, kKey, "k", "hut").state() == "outcomeUnknown");
    CHECK(fleet.service->counts() == std::map<std::string, unsigned>{{"seat", 1}, {"hut", 1}});
}

// Guards against a ticket that burns without the order having run.
TEST_CASE("an order that certainly did not run may be sent again with its ticket")
{
    Fleet fleet;
    const auto ticket = ticketOf(*fleet.vm1);
    fleet.service->setFaults({.refusals = 1});
    CHECK(order(*fleet.vm1, kTicket, ticket, "seat").headers.at(kState) == "notRun");
    std::vector<EndpointSettings> services;
    std::swap(services, fleet.vm1->dispatcher.services);
    const auto none = order(*fleet.vm1, kTicket, ticket, "seat");
    CHECK(none.status == 503);
    CHECK(none.state() == "notRun");
    std::swap(services, fleet.vm1->dispatcher.services);
    CHECK(order(*fleet.vm1, kTicket, ticket, "seat").status == 201);
    CHECK(fleet.service->counts().at("seat") == 1);
}

// Guards against a status that means "not run" for an order whose outcome is unknown.
TEST_CASE("no status that means not run is sent where the outcome is unknown")
{
    for (const auto code : {ResultCode::PlatformUnavailable,
                            ResultCode::PeerUnreachable,
                            ResultCode::RetryBudgetSpent,
                            ResultCode::RateLimit,
                            ResultCode::CallerTooSlow,
                            ResultCode::Isolated,
                            ResultCode::EndpointSilent,
                            ResultCode::TimeLimitPassed}) {
        CAPTURE(toString(code));
        for (const auto state : {FinalState::OutcomeUnknown, FinalState::Incomplete, FinalState::Complete}) {
            CHECK_FALSE(impliesNotRun(errorReply({code, {}, {}}, state).result_int()));
        }
        CHECK(errorReply({code, {}, {}}, FinalState::NotRun).result() == statusOf(code));
    }
}

// Guards against "not run" for an order that a service ran before it failed.
TEST_CASE("the 503 of a service shows that an order did not run only with its statement")
{
    Fleet fleet;
    fleet.service->setFaults({.failures = 2});
    const auto ticket = ticketOf(*fleet.vm1);
    for (const auto *vm : {fleet.vm1.get(), fleet.vm2.get()}) {
        const auto reply = order(*vm, kTicket, ticket, "seat");
        CHECK(reply.status == 502);
        CHECK(reply.headers.at(kState) == "outcomeUnknown");
    }
    const auto keyed = order(*fleet.vm1, kKey, "k", "hut");
    CHECK(keyed.status == 502);
    CHECK(keyed.state() == "outcomeUnknown");
    const auto again = order(*fleet.vm2, kKey, "k", "hut");
    CHECK(again.status != 503);
    CHECK(again.state() == "outcomeUnknown");
    CHECK(fleet.service->counts() == std::map<std::string, unsigned>{{"seat", 1}, {"hut", 1}});
}

// Guards against "not run" from a record that an earlier version of this program wrote.
TEST_CASE("a recorded 503 does not show that an order did not run")
{
    Fleet fleet;
    REQUIRE(order(*fleet.vm1, kKey, "k", "hut").status == 201);
    Reply again;
    do { // The outcome is recorded after the response was sent.
        again = order(*fleet.vm2, kKey, "k", "hut");
    } while (again.status == 409);
    REQUIRE(again.status == 201);
    {
        const std::lock_guard lock(fleet.records.mutex);
        auto &row = fleet.records.rows.begin()->second;
        auto record = json::parse(row.text);
        record["status"] = 503;
        row.text = record.dump();
    }
    const auto recorded = order(*fleet.vm2, kKey, "k", "hut");
    CHECK(recorded.status == 502);
    CHECK(recorded.state() == "outcomeUnknown");
}

// Guards against a caller that gets a response that is not HTTP because it was recorded.
TEST_CASE("a malformed recorded response leaves the outcome unknown")
{
    Fleet fleet;
    REQUIRE(order(*fleet.vm1, kKey, "k", "hut").status == 201);
    Reply again;
    do { // The outcome is recorded after the response was sent.
        again = order(*fleet.vm2, kKey, "k", "hut");
    } while (again.status == 409);
    REQUIRE(again.status == 201);
    const std::vector<std::pair<std::string, json>> changes = {{"status", 0},
                                                               {"status", 99},
                                                               {"status", 100},
                                                               {"status", 600},
                                                               {"contentType", "text/plain\r\nBad Name: a"},
                                                               {"contentType", "text/plain\nBad\x01Name: a"}};
    for (const auto &change : changes) {
        CAPTURE(change.first);
        CAPTURE(change.second.dump());
        std::string sound;
        {
            const std::lock_guard lock(fleet.records.mutex);
            auto &row = fleet.records.rows.begin()->second;
            sound = row.text;
            auto record = json::parse(row.text);
            record[change.first] = change.second;
            row.text = record.dump();
        }
        Reply reply;
        CHECK_NOTHROW(reply = order(*fleet.vm2, kKey, "k", "hut"));
        CHECK(reply.status == 502);
        CHECK(reply.headers[kState] == "outcomeUnknown");
        const auto known = request(fleet.vm1->port(), http::verb::get, "/v1/services/booking/orders/k", kNorth);
        CHECK(known.status == 502);
        CHECK(known.headers.at(kState) == "outcomeUnknown");
        const std::lock_guard lock(fleet.records.mutex);
        fleet.records.rows.begin()->second.text = sound;
    }
    CHECK(order(*fleet.vm2, kKey, "k", "hut").body == again.body);
    CHECK(fleet.service->counts().at("hut") == 1);
}

// Guards against "not run" from another VM that did not state it, such as one with an earlier version of this program.
TEST_CASE("the status of another VM shows that an order did not run only with its statement")
{
    Fleet fleet;
    const auto ticket = ticketOf(*fleet.vm2);
    for (const char *state : {"", "outcomeUnknown", "complete", "notRun"}) {
        CAPTURE(state);
        OrderReply fromIssuer{.status = 503, .headers = {}, .body = "{}"};
        if (*state != 0) {
            fromIssuer.headers.emplace_back(kState, state);
        }
        {
            const std::lock_guard lock(fleet.net.mutex);
            fleet.net.handlers[{VmId("vm2"), 22}] = [fromIssuer](const ForwardedOrder &, const OrderForwarding::ReplyHandler &reply) {
                reply(fromIssuer);
            };
        }
        const auto reply = order(*fleet.vm1, kTicket, ticket, "seat");
        const bool isNotRun = std::string(state) == "notRun";
        CHECK(reply.status == (isNotRun ? 503 : 502));
        CHECK(reply.headers.at(kState) == (isNotRun ? "notRun" : "outcomeUnknown"));
    }
}

// Guards against a caller that gets a response that is not HTTP because another VM answered with one.
TEST_CASE("a malformed response of another VM leaves the outcome unknown")
{
    using namespace std::string_literals;
    std::vector<OrderReply> replies;
    for (const std::uint32_t status : {0U, 99U, 100U, 101U, 199U, 600U, 1000U, 65736U}) {
        replies.push_back({.status = status, .headers = {{kState, "complete"}}, .body = "whole"});
    }
    for (const auto &name :
         {""s, "Bad Name"s, "Bad-Name "s, " Bad-Name"s, "Bad\tName"s, "Bad\0Name"s, "Bad\x01Name"s, "Bad\x7fName"s, "Bad\r\nName"s, "Bad:Name"s}) {
        replies.push_back({.status = 201, .headers = {{kState, "complete"}, {name, "a"}}, .body = "whole"});
    }
    for (const auto &value : {"a\r\nBad Name: b"s, "a\nBad Name: b"s, "a\rb"s, "a\0b"s, "a\x7fz"s}) {
        replies.push_back({.status = 201, .headers = {{kState, "complete"}, {"X-Field", value}}, .body = "whole"});
    }
    Fleet fleet;
    const auto ticket = ticketOf(*fleet.vm2);
    for (const auto &fromIssuer : replies) {
        CAPTURE(fromIssuer.status);
        CAPTURE(fromIssuer.headers.back().first);
        CAPTURE(fromIssuer.headers.back().second);
        {
            const std::lock_guard lock(fleet.net.mutex);
            fleet.net.handlers[{VmId("vm2"), 22}] = [fromIssuer](const ForwardedOrder &, const OrderForwarding::ReplyHandler &reply) {
                reply(fromIssuer);
            };
        }
        Reply reply;
        CHECK_NOTHROW(reply = order(*fleet.vm1, kTicket, ticket, "seat"));
        CHECK(reply.status == 502);
        CHECK(reply.headers[kState] == "outcomeUnknown");
        CHECK(reply.body.find("whole") == std::string::npos);
    }
}

// Guards against "not run" from a VM that refuses a request before it knows whether an earlier one ran the same order.
TEST_CASE("a VM that cannot look an order up does not call it not run")
{
    Fleet fleet;
    const auto ticket = ticketOf(*fleet.vm1);
    REQUIRE(order(*fleet.vm1, kTicket, ticket, "seat").status == 201);
    REQUIRE(order(*fleet.vm1, kKey, "k", "hut").status == 201);
    const json keys = {{"keys", {{{"number", 2}, {"key", std::string(64, 'b')}}}}};
    REQUIRE(fleet.vm2->lists.offer(DocumentKind::SealKeys, {.number = 2, .changeId = "b"}, keys.dump()));
    const auto unreadable = order(*fleet.vm2, kTicket, ticket, "seat");
    CHECK(unreadable.code() == 604);
    CHECK(unreadable.state() == "outcomeUnknown");
    {
        const std::lock_guard lock(fleet.records.mutex);
        fleet.records.down = true;
    }
    const auto unavailable = order(*fleet.vm2, kKey, "k", "hut");
    CHECK(unavailable.status == 502);
    CHECK(unavailable.state() == "outcomeUnknown");
    fleet.vm2->lists.setStopping();
    const auto stopping = order(*fleet.vm2, kKey, "k", "hut");
    CHECK(stopping.status == 502);
    CHECK(stopping.code() == 301);
    CHECK(stopping.state() == "outcomeUnknown");
    for (const auto &[header, value] : {std::pair(kTicket, ticket), std::pair(kKey, std::string("k"))}) {
        const auto denied = request(fleet.vm1->port(), http::verb::post, kSeats, {{"Authorization", "Bearer none"}, {header, value}}, "{}");
        CHECK(denied.status == 401);
        CHECK(denied.state() == "outcomeUnknown");
    }
    CHECK(request(fleet.vm1->port(), http::verb::post, kSeats, {{"Authorization", "Bearer none"}}, "{}").state() == "notRun");
}

// Guards against tickets that are made up, and against a claim about orders of an incarnation that is gone.
TEST_CASE("forged tickets are refused and tickets of a lost VM leave the outcome unknown")
{
    Fleet fleet;
    CHECK(order(*fleet.vm1, kTicket, "made-up", "seat").code() == 604);
    const auto ticket = ticketOf(*fleet.vm2);
    {
        const std::lock_guard lock(fleet.net.mutex);
        fleet.net.handlers.clear();
    }
    const auto lost = order(*fleet.vm1, kTicket, ticket, "seat");
    CHECK(lost.code() == 605);
    CHECK(lost.state() == "outcomeUnknown");
    CHECK(fleet.service->counts().empty());
}

// Guards against a caller's own key that lets an order run twice, at one VM or at two at the same time.
TEST_CASE("an order with the caller's own key runs once")
{
    Fleet fleet;
    {
        std::vector<std::jthread> callers;
        callers.reserve(8);
        for (int i = 0; i < 8; ++i) {
            callers.emplace_back([&, i] { order(i % 2 == 0 ? *fleet.vm1 : *fleet.vm2, kKey, "bus 7", "bus"); });
        }
    }
    CHECK(fleet.service->counts().at("bus") == 1);
    Reply again;
    do { // The outcome is recorded after the response was sent.
        again = order(*fleet.vm2, kKey, "bus 7", "bus");
    } while (again.status == 409);
    CHECK(again.status == 201);
    const auto known = request(fleet.vm1->port(), http::verb::get, "/v1/services/booking/orders/bus%207", kNorth).parsed();
    CHECK(known.at("state") == "complete");
    CHECK(known.at("status") == 201);
    CHECK(order(*fleet.vm1, kKey, "bus 7", "other").status == 409);
    CHECK(request(fleet.vm1->port(), http::verb::get, "/v1/services/booking/orders/unknown", kNorth).status == 404);
    CHECK(fleet.service->counts().size() == 1);
}

// Guards against an order that is lost or doubled when the platform's reply to the insert is lost, and against a
// dispatch without a record.
TEST_CASE("an order by key survives a lost reply and is refused while the platform is down")
{
    Fleet fleet;
    fleet.records.loseReplies = 1;
    CHECK(order(*fleet.vm1, kKey, "a", "seat").status == 201);
    CHECK(fleet.service->counts().at("seat") == 1);
    {
        const std::lock_guard lock(fleet.records.mutex);
        fleet.records.down = true;
    }
    // Whether an earlier request with the key ran the order is not known here.
    const auto refused = order(*fleet.vm1, kKey, "b", "hut");
    CHECK(refused.status == 502);
    CHECK(refused.code() == 501);
    CHECK(refused.state() == "outcomeUnknown");
    const auto ticket = ticketOf(*fleet.vm1);
    CHECK(order(*fleet.vm1, kTicket, ticket, "bench").status == 201);
    CHECK(fleet.service->counts().count("hut") == 0);
}

// Guards against orders without protection, and against a service that sees the caller's key.
TEST_CASE("an order needs a ticket or a key, reading does not")
{
    Fleet fleet;
    const auto bare = request(fleet.vm1->port(), http::verb::post, kSeats, kNorth, R"({"order":"seat"})");
    CHECK(bare.status == 400);
    CHECK(bare.code() == 606);
    CHECK(order(*fleet.vm1, kKey, "", "seat").status == 400);
    CHECK(order(*fleet.vm1, kKey, std::string(200, 'x'), "seat").status == 400);
    CHECK(request(fleet.vm1->port(), http::verb::get, kSeats, kNorth).body == R"({"free":7})");
    CHECK(fleet.service->counts().empty());
}

} // namespace
} // namespace daisystream::frontendtest
