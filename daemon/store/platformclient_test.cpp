#include "daemon/store/platformclient.h"

#include "daemon/control/testloop.h"
#include "daemon/http/earlyresponse_test.h"
#include "daemon/http/malformedheaders_test.h"
#include "standins/platform/platformmodel.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

using standins::PlatformStandIn;
namespace asio = boost::asio;

struct Fixture
{
    void setFaults(const PlatformStandIn::Faults &faults)
    {
        loop.run([&](asio::yield_context) {
            platform.setFaults(faults);
            return true;
        });
    }

    Result<std::uint64_t> put(const std::string &text, const RowCondition &condition)
    {
        return loop.run([&](asio::yield_context yield) { return client.putRow("lists", "plans", text, condition, yield); });
    }

    std::string read()
    {
        const auto row = loop.run([&](asio::yield_context yield) { return client.getRow("lists", "plans", yield); });
        const auto *found = std::get_if<std::optional<Row>>(&row);
        return found != nullptr && *found ? (*found)->text + "@" + std::to_string((*found)->version) : "none";
    }

    ~Fixture()
    {
        loop.stop();
    }

    TestLoop loop;
    PlatformStandIn platform{loop.io, 0};
    PlatformClient client{loop.io, SocketAddress{"127.0.0.1", platform.port()}};
};

ResultCode codeOf(const Result<std::uint64_t> &result)
{
    const auto *error = std::get_if<Error>(&result);
    return error == nullptr ? ResultCode{} : error->code;
}

// Guards against a store that confirms two conditional writes on the same version.
TEST_CASE("of two conditional writes on one version, one succeeds")
{
    Fixture fixture;
    CHECK(std::get<std::uint64_t>(fixture.put("a", IfNoneMatch{})) == 1);
    CHECK((codeOf(fixture.put("b", IfNoneMatch{})) == ResultCode::WriteConflict));
    CHECK(std::get<std::uint64_t>(fixture.put("c", IfMatch{1})) == 2);
    CHECK((codeOf(fixture.put("d", IfMatch{1})) == ResultCode::WriteConflict));
    CHECK(fixture.read() == "c@2");
}

// Guards against a write with a lost reply that is reported as not written, and against a write that was never sent
// and is reported as unknown.
TEST_CASE("a lost reply is reported as unknown, an unreachable platform as not written")
{
    Fixture fixture;
    fixture.setFaults({.loseReplies = 1});
    CHECK((codeOf(fixture.put("a", IfNoneMatch{})) == ResultCode::OutcomeOfWriteUnknown));
    CHECK(fixture.read() == "a@1");
    fixture.setFaults({.dropWrites = 1});
    CHECK((codeOf(fixture.put("b", IfMatch{1})) == ResultCode::OutcomeOfWriteUnknown));
    CHECK(fixture.read() == "a@1");
    PlatformClient unconfiguredClient(fixture.loop.io, std::nullopt);
    const auto refused = fixture.loop.run([&](asio::yield_context yield) { return unconfiguredClient.putRow("lists", "plans", "x", IfNoneMatch{}, yield); });
    CHECK((codeOf(refused) == ResultCode::PlatformUnavailable));
}

// Guards against a read that fails because its idle connection was closed by the platform during an outage.
TEST_CASE("a read succeeds although the platform closed its idle connection")
{
    Fixture fixture;
    CHECK(std::holds_alternative<std::uint64_t>(fixture.put("a", IfNoneMatch{})));
    CHECK(fixture.read() == "a@1");
    fixture.setFaults({.outage = true});
    CHECK(fixture.read() == "none");
    fixture.setFaults({});
    CHECK(fixture.read() == "a@1");
}

// Guards against rows that are read from bytes that are no response, and against a write that is reported as not written although the store
// may have done it.
TEST_CASE("a reply with a malformed header is no reply")
{
    TestLoop loop;
    RawServer server(loop.io);
    PlatformClient client(loop.io, SocketAddress{"127.0.0.1", server.port()});
    for (const char *status : {"200 OK", "404 Not Found", "412 Precondition Failed", "503 Service Unavailable"}) {
        for (const auto &header : malformedHeaders(status, "Content-Length: 1\r\nETag: \"7\"\r\n")) {
            CAPTURE(header);
            server.setResponse(header + "x");
            const auto row = loop.run([&](asio::yield_context yield) { return client.getRow("lists", "plans", yield); });
            REQUIRE(std::holds_alternative<Error>(row));
            CHECK((std::get<Error>(row).code == ResultCode::PlatformUnavailable));
            const auto object = loop.run([&](asio::yield_context yield) { return client.getObject("o", yield); });
            CHECK(std::holds_alternative<Error>(object));
            const auto written = loop.run([&](asio::yield_context yield) { return client.putRow("lists", "plans", "x", IfMatch{1}, yield); });
            CHECK((codeOf(written) == ResultCode::OutcomeOfWriteUnknown));
        }
    }
    loop.stop();
}

// Guards against a part of a reply that passes for the whole, in reads and in writes that are still being sent.
TEST_CASE("a reply without length that is reset is no reply")
{
    TestLoop loop;
    EarlyServer server(loop.io, "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\nx", ConnectionEnd::Reset);
    PlatformClient client(loop.io, SocketAddress{"127.0.0.1", server.port()});
    const auto row = loop.run([&](asio::yield_context yield) { return client.getRow("lists", "plans", yield); });
    CHECK(std::holds_alternative<Error>(row));
    for (const auto &text : {std::string("x"), longBody()}) {
        const auto written = loop.run([&](asio::yield_context yield) { return client.putRow("lists", "plans", text, IfMatch{1}, yield); });
        CHECK((codeOf(written) == ResultCode::OutcomeOfWriteUnknown));
    }
    CHECK(server.requests() == 3);
    loop.stop();
}

} // namespace
} // namespace daisystream
