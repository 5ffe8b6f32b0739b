#include "daemon/frontend/frontendfixture_test.h"

#include "daemon/frontend/httprouter.h"
#include "daemon/status/decisionlog.h"

namespace daisystream::frontendtest
{
namespace
{

const char *const kCompletions = "/v1/completions";

FrontendOptions shortOptions()
{
    FrontendOptions options;
    options.headerLimitBytes = 2048;
    options.bodyLimitBytes = 4096;
    options.idleTimeout = std::chrono::milliseconds(300);
    options.headerTimeout = std::chrono::milliseconds(300);
    options.bodyTimeout = std::chrono::milliseconds(300);
    return options;
}

// Guards against work for callers without a key, and against a message that tells which part of a key was wrong.
TEST_CASE("a missing or unknown key gets 401")
{
    Fleet fleet;
    const auto body = completion(1).dump();
    const auto missing = request(fleet.vm1->port(), http::verb::post, kCompletions, {}, body);
    CHECK(missing.status == 401);
    CHECK(missing.code() == 101);
    CHECK(missing.state() == "notRun");
    const auto wrongSecret = request(fleet.vm1->port(), http::verb::post, kCompletions, {{"Authorization", "Bearer ds_k1_wrong"}}, body);
    const auto wrongId = request(fleet.vm1->port(), http::verb::post, kCompletions, {{"Authorization", "Bearer ds_k9_wrong"}}, body);
    CHECK(wrongSecret.status == 401);
    CHECK(wrongSecret.code() == 102);
    CHECK(wrongSecret.body == wrongId.body);
    CHECK(fleet.engine1->started() + fleet.engine2->started() == 0);
}

// Guards against a plan that reaches models or services that it was not given.
TEST_CASE("a model or service outside the plan gets 403")
{
    Fleet fleet;
    json body = completion(1);
    body["model"] = "other";
    const auto model = request(fleet.vm1->port(), http::verb::post, kCompletions, kNorth, body.dump());
    CHECK(model.status == 403);
    CHECK(model.code() == 103);
    const auto service = request(fleet.vm1->port(), http::verb::post, "/v1/services/booking/tickets", kSouth);
    CHECK(service.status == 403);
    CHECK(service.code() == 104);
}

// Guards against bodies that reach an engine or end the daemon although they mean nothing.
TEST_CASE("malformed bodies get 400")
{
    Fleet fleet;
    for (const char *body : {"",
                             "{",
                             "[]",
                             "null",
                             R"({"model":1,"prompt":"x"})",
                             R"({"model":"assistant"})",
                             R"({"model":"assistant","prompt":7})",
                             R"({"model":"assistant","prompt":"x","stream":"yes"})",
                             R"({"model":"assistant","prompt":"x","max_tokens":-1})",
                             R"({"model":"assistant","prompt":"x","max_tokens":1e40})",
                             "{\"model\":\"assistant\",\"prompt\":\"\xFF\"}"}) {
        CAPTURE(body);
        const auto reply = request(fleet.vm1->port(), http::verb::post, kCompletions, kNorth, body);
        CHECK(reply.status == 400);
        CHECK(reply.code() == 105);
    }
    for (const char *body :
         {R"({"model":"assistant","messages":[]})", R"({"model":"assistant","messages":[{"role":"user"}]})", R"({"model":"assistant","messages":[3]})"}) {
        CHECK(request(fleet.vm1->port(), http::verb::post, "/v1/chat/completions", kNorth, body).status == 400);
    }
    CHECK(fleet.engine1->started() + fleet.engine2->started() == 0);
}

// Guards against a caller that fills the memory of the VM with a header or a body.
TEST_CASE("oversized headers get 431 and oversized bodies get 413")
{
    Fleet fleet(shortOptions());
    const auto header = request(fleet.vm1->port(), http::verb::post, kCompletions, with(kNorth, "X-Long", std::string(3000, 'x')), "{}");
    CHECK(header.status == 431);
    CHECK(header.code() == 107);
    const auto body = request(fleet.vm1->port(), http::verb::post, kCompletions, kNorth, std::string(100000, ' '));
    CHECK(body.status == 413);
    CHECK(body.code() == 106);
    Caller chunked(fleet.vm1->port());
    chunked.send("POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer ds_k1_north-secret\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n"
                 + std::string(5000, ' ') + "\r\n");
    CHECK(chunked.receive().status == 413);
}

// Guards against bodies that are stored although nothing at their path takes one.
TEST_CASE("a request without a destination is answered before its body has come")
{
    Fleet fleet(shortOptions());
    const std::vector<std::pair<std::string, unsigned>> heads = {{"POST /nothing", 404}, {"POST /readyz", 200}, {"POST /v1/completions", 401}};
    for (const auto &answered : heads) {
        const std::string &head = answered.first;
        const unsigned status = answered.second;
        CAPTURE(head);
        Caller kept(fleet.vm1->port());
        kept.send(head + " HTTP/1.1\r\nContent-Length: 4000\r\n\r\n");
        CHECK(kept.receive().status == status);
        kept.send(std::string(4000, 'b') + "GET /healthz HTTP/1.1\r\n\r\n");
        CHECK(kept.receive().status == 200);
        Caller chunked(fleet.vm1->port());
        chunked.send(head + " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        CHECK(chunked.receive().status == status);
        CHECK(chunked.closedByPeer());
    }
}

// Guards against a header within its limit that takes many times its bytes.
TEST_CASE("a header with too many fields gets 431, also one without an end")
{
    FrontendOptions options;
    options.fieldLimit = 100;
    Fleet fleet(options);
    const auto withFields = [](unsigned count) {
        std::string text = "GET /healthz HTTP/1.1\r\n";
        for (unsigned i = 0; i < count; ++i) {
            text += "a:b\r\n";
        }
        return text;
    };
    Caller most(fleet.vm1->port());
    most.send(withFields(100) + "\r\n" + withFields(100) + "\r\n");
    CHECK(most.receive().status == 200);
    CHECK(most.receive().status == 200);
    Caller more(fleet.vm1->port());
    more.send(withFields(103));
    const auto refused = more.receive();
    CHECK(refused.status == 431);
    CHECK(refused.code() == 107);
}

// Guards against bodies that are stored although the VM has no memory for them, and against a refusal that says nothing of it.
TEST_CASE("a body without room in memory gets 503 as not run")
{
    FrontendOptions options;
    options.memoryBytes = 1'000'000;
    Fleet fleet(options);
    Caller caller(fleet.vm1->port());
    caller.send("POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer ds_k1_north-secret\r\nContent-Length: 2000000\r\n\r\n");
    const auto refused = caller.receive();
    CHECK(refused.status == 503);
    CHECK(refused.code() == 209);
    CHECK(refused.state() == "notRun");
    CHECK(refused.headers.at("Retry-After") == "1");
    CHECK(request(fleet.vm1->port(), http::verb::post, kCompletions, kNorth, completion(1).dump()).status == 200);
}

// Guards against connections that are held for ever by callers that send slowly, stop half way or close one side.
TEST_CASE("slow and half-closed callers are closed after a bound")
{
    Fleet fleet(shortOptions());
    const std::string head = "POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer ds_k1_north-secret\r\nContent-Length: 100\r\n";
    for (const std::string &bytes : {std::string(), std::string("POST"), head, head + "\r\n{\"model\""}) {
        Caller silent(fleet.vm1->port());
        silent.send(bytes);
        CHECK(silent.closedByPeer());
        Caller halfClosed(fleet.vm1->port());
        halfClosed.send(bytes);
        halfClosed.socket().shutdown(tcp::socket::shutdown_send);
        if (bytes.size() > head.size() || bytes == head || bytes == "POST") {
            // The end in the middle of a request may be answered before the connection ends.
            boost::system::error_code error;
            std::string rest;
            asio::read(halfClosed.socket(), asio::dynamic_buffer(rest), error);
            CHECK((rest.empty() || rest.starts_with("HTTP/1.1 400")));
        } else {
            CHECK(halfClosed.closedByPeer());
        }
    }
    CHECK(request(fleet.vm1->port(), http::verb::get, "/healthz").status == 200);
}

// Guards against a parser that takes what is not HTTP, or two requests that are read as one.
TEST_CASE("what is not HTTP gets 400 and the connection ends")
{
    Fleet fleet;
    for (const char *bytes : {"\x16\x03\x01\x02\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/1.1\r\nContent-Length: a\r\n\r\n"}) {
        Caller caller(fleet.vm1->port());
        caller.send(bytes);
        CHECK(caller.receive().status == 400);
        CHECK(caller.closedByPeer());
    }
}

// Guards against a request in the body of another one: the own interface must agree with callers on where a request ends.
TEST_CASE("a request whose end is unclear gets 400 or 501, and nothing of its body runs")
{
    Fleet fleet;
    const auto body = completion(1).dump();
    const std::string inner
        = "POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer ds_k1_north-secret\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (const auto &unclear : std::vector<std::pair<std::string, unsigned>>{{"Transfer-Encoding: chunked, identity\r\n", 400},
                                                                             {"Transfer-Encoding: identity\r\n", 400},
                                                                             {"Transfer-Encoding: gzip\r\n", 400},
                                                                             {"Transfer-Encoding: gzip, chunked\r\n", 501},
                                                                             {"Transfer-Encoding: identity\r\nContent-Length: 2\r\n", 400}}) {
        for (const char *target : {"/v1/completions", "/v1/services/booking/orders", "/v1/models", "/healthz", "/nothing"}) {
            CAPTURE(unclear.first);
            CAPTURE(target);
            std::string header = "POST ";
            header.append(target)
                .append(" HTTP/1.1\r\nAuthorization: Bearer ds_k1_north-secret\r\nIdempotency-Key: k\r\n")
                .append(unclear.first)
                .append("\r\n");
            Caller caller(fleet.vm1->port());
            caller.send(header + inner);
            CHECK(caller.receive().status == unclear.second);
            CHECK(caller.closedByPeer());
        }
    }
    CHECK(fleet.engine1->started() + fleet.engine2->started() == 0);
}

// Guards against bodies in answers to HEAD, which callers take for the beginning of the next answer.
TEST_CASE("answers to HEAD have no body")
{
    Fleet fleet;
    Caller caller(fleet.vm1->port());
    for (const char *target : {"/healthz", "/readyz", "/metrics", "/v1/models", "/v1/completions", "/nothing"}) {
        CAPTURE(target);
        caller.send("HEAD " + std::string(target) + " HTTP/1.1\r\nAuthorization: Bearer ds_k1_north-secret\r\n\r\nGET /healthz HTTP/1.1\r\n\r\n");
        http::response_parser<http::string_body> parser;
        parser.skip(true);
        beast::flat_buffer buffer;
        http::read_header(caller.socket(), buffer, parser);
        CHECK(parser.get().count("Content-Length") == 1);
        http::response<http::string_body> next;
        http::read(caller.socket(), buffer, next);
        CHECK(next.body() == "ok\n");
    }
}

// Guards against a connection that serves only one request, and against a refusal that breaks those after it.
TEST_CASE("a connection serves several requests, pipelined ones too")
{
    Fleet fleet;
    Caller caller(fleet.vm1->port());
    caller.send("GET /healthz HTTP/1.1\r\n\r\nGET /nothing HTTP/1.1\r\n\r\nGET /readyz HTTP/1.1\r\n\r\n");
    CHECK(caller.receive().status == 200);
    const auto unknown = caller.receive();
    CHECK(unknown.status == 404);
    CHECK(unknown.code() == 113);
    CHECK(caller.receive().status == 200);
    caller.send(http::verb::post, kCompletions, kNorth, "{}");
    CHECK(caller.receive().status == 400);
    caller.send(http::verb::get, "/v1/models", kNorth);
    const auto models = caller.receive().parsed();
    CHECK(models.at("data").at(0).at("id") == "assistant");
    caller.send(http::verb::get, "/v1/completions", kNorth);
    CHECK(caller.receive().status == 405);
}

// Guards against a VM that takes new work while it stops, or reports itself ready then.
TEST_CASE("a stopping VM refuses new work as not run")
{
    Fleet fleet;
    CHECK(request(fleet.vm1->port(), http::verb::get, "/metrics").status == 200);
    fleet.vm1->lists.setStopping();
    CHECK(request(fleet.vm1->port(), http::verb::get, "/readyz").status == 503);
    const auto refused = request(fleet.vm1->port(), http::verb::post, kCompletions, kNorth, completion(1).dump());
    CHECK(refused.status == 503);
    CHECK(refused.code() == 301);
    CHECK(refused.state() == "notRun");
}

// Guards against an answer that is resumed at a VM that is about to end, and against connections that are kept to such a VM.
TEST_CASE("a stopping VM resumes no answer and closes each connection with its next response")
{
    Fleet fleet;
    EventStream stream(fleet.vm1->port(), kCompletions, kNorth, completion(3));
    Answer answer;
    collect(stream, answer);
    REQUIRE_FALSE(answer.lastId.empty());
    Caller kept(fleet.vm1->port());
    kept.send(http::verb::get, "/healthz", {});
    CHECK(kept.receive().status == 200);
    fleet.vm1->lists.setStopping();
    const auto refused = request(fleet.vm1->port(), http::verb::get, kCompletions, with(kNorth, "Last-Event-ID", answer.lastId));
    CHECK(refused.status == 502);
    CHECK(refused.code() == 301);
    CHECK(refused.state() == "outcomeUnknown");
    kept.send(http::verb::get, "/healthz", {});
    CHECK(kept.receive().headers.at("Connection") == "close");
    CHECK(kept.closedByPeer());
}

// Guards against a refusal that keeps its retry time to itself or rounds it down.
TEST_CASE("a refusal of the scheduler carries Retry-After")
{
    Fleet fleet;
    fleet.vm1->dispatcher.refuse = true;
    const auto refused = request(fleet.vm1->port(), http::verb::post, kCompletions, kNorth, completion(1).dump());
    CHECK(refused.status == 503);
    CHECK(refused.code() == 203);
    CHECK(refused.state() == "notRun");
    CHECK(refused.headers.at("Retry-After") == "2");
}

// Guards against a caller's text that adds fields or lines to the log.
TEST_CASE("values in a decision's log line are encoded")
{
    const auto line = DecisionLine("order").field("service", "a b\nreason=x").text();
    CHECK(line == "decision=order service=a%20b%0Areason%3Dx");
}

// Guards against paths that reach a service under another name, and against keys that leave their row.
TEST_CASE("paths of services are told apart")
{
    const auto query = routeOf("/v1/services/booking/orders/a%2Fb?x=1");
    REQUIRE(std::holds_alternative<OrderQueryRoute>(query));
    CHECK(std::get<OrderQueryRoute>(query).key == "a/b");
    CHECK(std::holds_alternative<TicketRoute>(routeOf("/v1/services/booking/tickets")));
    CHECK(std::holds_alternative<ServiceCall>(routeOf("/v1/services/booking/tickets/1")));
    CHECK(std::holds_alternative<UnknownRoute>(routeOf("/v1/services/")));
    CHECK(std::holds_alternative<UnknownRoute>(routeOf("/v1/completionsx")));
    CHECK(percentDecoded("%zz%4") == "%zz%4");
}

} // namespace
} // namespace daisystream::frontendtest
