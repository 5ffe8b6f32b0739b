#include "daemon/http/earlyresponse_test.h"
#include "daemon/frontend/frontendfixture_test.h"

// Engines and services of the own interface that respond while a VM still sends them the request.

namespace daisystream::frontendtest
{
namespace
{

// Guards against a part of a response that passes for the whole, and against a second run of an order that may have run.
TEST_CASE("an order whose response without length is reset during the upload has an unknown outcome")
{
    Fleet fleet;
    EarlyServer service(fleet.io, "HTTP/1.1 201 Created\r\nX-Order-State: notRun\r\n\r\npart", ConnectionEnd::Reset);
    fleet.vm1->dispatcher.services.front().address.port = service.port();
    const auto ticket = request(fleet.vm1->port(), http::verb::post, "/v1/services/booking/tickets", kNorth).parsed().at("ticket").get<std::string>();
    for (int i = 0; i < 2; ++i) {
        const auto reply = request(fleet.vm1->port(), http::verb::post, "/v1/services/booking/seats", with(kNorth, "X-Order-Ticket", ticket), longBody());
        CHECK(reply.status == 502);
        CHECK(reply.state() == "outcomeUnknown");
    }
    CHECK(service.requests() == 1);
}

// Guards against complete responses that are lost because they arrive before the end of the request.
TEST_CASE("a complete response to an order that arrives during the upload is passed on")
{
    for (const std::string length : {"Content-Length: 5\r\n", ""}) {
        CAPTURE(length);
        Fleet fleet;
        EarlyServer service(fleet.io, "HTTP/1.1 201 Created\r\n" + length + "\r\nwhole", ConnectionEnd::Ended);
        fleet.vm1->dispatcher.services.front().address.port = service.port();
        const auto reply = request(fleet.vm1->port(), http::verb::post, "/v1/services/booking/seats", with(kNorth, "Idempotency-Key", "k"), longBody());
        CHECK(reply.status == 201);
        CHECK(reply.body == "whole");
        CHECK(service.requests() == 1);
    }
}

// Guards against events that are taken from a response that was cut short.
TEST_CASE("a completion whose engines reset the connection during the upload has an unknown outcome")
{
    Fleet fleet;
    EarlyServer engine(fleet.io,
                       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Generation-Id: g\r\n\r\n"
                       "id: g/1\ndata: {\"choices\":[{\"text\":\"early\"}]}\n\n",
                       ConnectionEnd::Reset);
    for (auto &endpoint : fleet.vm1->dispatcher.engines) {
        endpoint.address.port = engine.port();
    }
    auto body = completion(5);
    body["user"] = longBody();
    const auto reply = request(fleet.vm1->port(), http::verb::post, "/v1/completions", kNorth, body.dump());
    CHECK(reply.status == 502);
    CHECK(reply.state() == "outcomeUnknown");
    CHECK(engine.requests() > 0);
}

} // namespace
} // namespace daisystream::frontendtest
