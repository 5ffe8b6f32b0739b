#include "cli/commands.h"
#include "cli/eventparser.h"
#include "cli/exitcodes.h"
#include "cli/httpcall.h"

#include "daemon/control/testloop.h"
#include "daemon/http/earlyresponse_test.h"
#include "daemon/http/malformedheaders_test.h"
#include "standins/platform/platformmodel.h"

#include <doctest/doctest.h>

#include <sstream>

namespace daisystream::cli
{
namespace
{

using standins::PlatformStandIn;
namespace asio = boost::asio;

std::string limits(int concurrency)
{
    return R"({"limits": [{"plan": "trail", "models": ["assistant"], "services": [], "concurrency": )" + std::to_string(concurrency)
        + R"(, "tokensPerSecond": 400, "maxOutputTokens": 100}]})";
}

struct Fixture
{
    ~Fixture()
    {
        loop.stop();
    }

    /// Runs `limits edit` or, if `isApply` is set, `limits apply`, which has no base version.
    /// @return the exit code.
    int edit(std::uint64_t baseVersion, const std::string &text, bool isApply = false)
    {
        Options options;
        options.platform = SocketAddress{"127.0.0.1", platform.port()};
        options.baseVersion = isApply ? std::nullopt : std::optional(baseVersion);
        std::istringstream in(text);
        out.str("");
        err.str("");
        Context context{.io = loop.io, .in = in, .out = out, .err = err};
        return loop.run([&](asio::yield_context yield) { return runListCommand("limits", {isApply ? "apply" : "edit"}, options, context, yield); });
    }

    /// @return the standard output of `limits show` or `limits history`.
    std::string outputOf(const std::string &action)
    {
        Options options;
        options.platform = SocketAddress{"127.0.0.1", platform.port()};
        std::istringstream in;
        out.str("");
        Context context{.io = loop.io, .in = in, .out = out, .err = err};
        loop.run([&](asio::yield_context yield) { return runListCommand("limits", {action}, options, context, yield); });
        return out.str();
    }

    void setFaults(const PlatformStandIn::Faults &faults)
    {
        loop.run([&](asio::yield_context) {
            platform.setFaults(faults);
            return true;
        });
    }

    TestLoop loop;
    PlatformStandIn platform{loop.io, 0};
    std::ostringstream out;
    std::ostringstream err;
};

// Guards against an edit that silently reverts the edit of another operator.
TEST_CASE("the second of two edits of one version fails and prints the conflicting change")
{
    Fixture fixture;
    CHECK(fixture.edit(0, limits(4)) == Success);
    CHECK(fixture.edit(1, limits(5)) == Success);
    CHECK(fixture.edit(1, limits(6)) == Conflict);
    CHECK(fixture.err.str().find("version 2") != std::string::npos);
    CHECK(fixture.err.str().find("concurrency: yours 6, in force 5") != std::string::npos);
    CHECK(fixture.outputOf("show") == limits(5) + "\n");
    CHECK(fixture.edit(2, "{\"limits\": 3}") == InvalidText);
    CHECK(fixture.outputOf("history").find("2 c-") == 0);
}

// Guards against reporting failure for a change that is in force, or success for one that is not.
TEST_CASE("after a lost reply the tool reads the list back to learn the outcome")
{
    Fixture fixture;
    CHECK(fixture.edit(0, limits(4)) == Success);
    fixture.setFaults({.loseReplies = 2}); // The replies to the writes of the history object and of the row.
    CHECK(fixture.edit(1, limits(5)) == Success);
    CHECK(fixture.outputOf("show") == limits(5) + "\n");
    fixture.setFaults({.dropWrites = 2});
    CHECK(fixture.edit(2, limits(6)) == Success);
    CHECK(fixture.outputOf("show") == limits(6) + "\n");
    fixture.setFaults({.outage = true});
    CHECK(fixture.edit(3, limits(7)) == Unavailable);
    fixture.setFaults({});
    CHECK(fixture.outputOf("show") == limits(6) + "\n");
}

// Guards against an event that is lost or parsed twice because its bytes arrived in pieces.
TEST_CASE("events are parsed wherever their bytes are split")
{
    const std::string text = ": keep-alive\n\nid: a\ndata: 1\n\nevent: final\r\ndata: {\ndata: }\r\n\r\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        EventParser parser;
        auto events = parser.feed(std::string_view(text).substr(0, cut));
        for (auto &event : parser.feed(std::string_view(text).substr(cut))) {
            events.push_back(event);
        }
        REQUIRE(events.size() == 2);
        CHECK(events[0].id == "a");
        CHECK(events[0].data == "1");
        CHECK(events[1].name == "final");
        CHECK(events[1].data == "{\n}");
    }
}

// Guards against output and exit codes that come from bytes that are no response.
TEST_CASE("a response with a malformed header is no response")
{
    TestLoop loop;
    RawServer server(loop.io);
    for (const char *status : {"200 OK", "503 Service Unavailable"}) {
        for (const auto &header : malformedHeaders(status, "Content-Length: 5\r\nX-Field: a\r\n")) {
            CAPTURE(header);
            server.setResponse(header + "whole");
            std::string body;
            const HttpCall call{.method = "GET", .target = "/v1/status", .onBodyChunk = [&](std::string_view bytes) {
                                    body += bytes;
                                }};
            const auto result = loop.run([&](asio::yield_context yield) { return httpCall(loop.io, {"127.0.0.1", server.port()}, call, yield); });
            CHECK(result.status == 0);
            CHECK(result.sent);
            CHECK_FALSE(result.complete);
            CHECK_FALSE(result.reason.empty());
            CHECK((body + result.body).empty());
        }
    }
    loop.stop();
}

// Guards against a part of a response that passes for the whole.
TEST_CASE("a response without length that is reset is not complete")
{
    TestLoop loop;
    EarlyServer server(loop.io, "HTTP/1.1 200 OK\r\n\r\npart", ConnectionEnd::Reset);
    for (const auto &body : {std::string("x"), longBody()}) {
        const HttpCall call{.method = "POST", .target = "/v1/completions", .body = body};
        const auto result = loop.run([&](asio::yield_context yield) { return httpCall(loop.io, {"127.0.0.1", server.port()}, call, yield); });
        CHECK(result.sent);
        CHECK_FALSE(result.complete);
        CHECK_FALSE(result.reason.empty());
    }
    CHECK(server.requests() == 2);
    loop.stop();
}

} // namespace
} // namespace daisystream::cli
