#include "daemon/http/responsereader.h"

#include "daemon/control/testloop.h"
#include "daemon/http/malformedheaders_test.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <doctest/doctest.h>

#include <thread>

// Responses of a peer that sends given bytes and closes the connection.

namespace daisystream
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// How reading a response ended.
struct Outcome
{
    error_code error;
    bool hasHeader = false;
    unsigned status = 0;
    std::string body;
    std::string field; ///< Value of the field X-Field.
    std::size_t bodyCapacity = 0;
    std::string reason; ///< `ResponseReader::describe` of the error.
};

/// @param parts bytes that the peer sends, each part some time after the one before.
Outcome readResponse(const std::vector<std::string> &parts)
{
    TestLoop loop;
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    const std::jthread peer([&] {
        auto socket = acceptor.accept();
        for (std::size_t i = 0; i < parts.size(); ++i) {
            if (i > 0) {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
            error_code ignored;
            asio::write(socket, asio::buffer(parts[i]), ignored);
        }
    });
    auto outcome = loop.run([&](asio::yield_context yield) {
        boost::beast::tcp_stream stream(yield.get_executor());
        stream.expires_after(std::chrono::seconds(5));
        stream.async_connect(acceptor.local_endpoint(), yield);
        ResponseReader reader(http::verb::get);
        Outcome read;
        read.error = reader.readAll(stream, yield);
        read.hasHeader = reader.hasHeader();
        read.reason = reader.describe(read.error);
        if (read.hasHeader) {
            read.status = reader.response().result_int();
            read.field = std::string(reader.response()["X-Field"]);
            read.bodyCapacity = reader.response().body().capacity();
            read.body = reader.takeBody();
        }
        return read;
    });
    loop.stop();
    return outcome;
}

// Guards against bytes that are no response of HTTP, and whose fields and body may be read in more than one way.
TEST_CASE("a response with a malformed header is an error")
{
    for (const auto &header : malformedHeaders("200 OK", "Content-Length: 5\r\nX-Field: a\r\n")) {
        CAPTURE(header);
        const auto outcome = readResponse({header + "whole"});
        CHECK(isMalformed(outcome.error));
        CHECK_FALSE(outcome.hasHeader);
    }
}

// Guards against an interim response that hides a malformed header, or is taken for the final one.
TEST_CASE("a malformed header of an interim response is an error")
{
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    CHECK(readResponse({"HTTP/1.1 103 Early Hints\r\nX-Field: a\r\n\r\n" + whole}).body == "whole");
    for (const auto &header : malformedHeaders("103 Early Hints", "X-Field: a\r\n")) {
        CAPTURE(header);
        CHECK_FALSE(readResponse({header + whole}).hasHeader);
    }
}

// Guards against a check that depends on how the bytes of a header arrive.
TEST_CASE("a header is checked as a whole, however its bytes arrive")
{
    const std::string header = "HTTP/1.1 200 OK\r\nX-Field: a\r\nContent-Length: 5\r\n\r\n";
    for (std::size_t i = 1; i < header.size(); i += 3) {
        CAPTURE(i);
        const auto outcome = readResponse({header.substr(0, i), header.substr(i) + "wh", "ole"});
        CHECK_FALSE(outcome.error);
        CHECK(outcome.status == 200);
        CHECK(outcome.field == "a");
        CHECK(outcome.body == "whole");
    }
    const std::string folded = "HTTP/1.1 200 OK\r\nX-Field: a\r\n Content-Length: 5\r\n\r\n";
    for (std::size_t i = 1; i < folded.size(); ++i) {
        CAPTURE(i);
        CHECK_FALSE(readResponse({folded.substr(0, i), folded.substr(i) + "whole"}).hasHeader);
    }
}

// Guards against a peer that fails and is taken for one that sends malformed responses.
TEST_CASE("a response that breaks off is not malformed")
{
    for (const std::string part : {"", "HTT", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwho"}) {
        CAPTURE(part);
        const auto outcome = readResponse({part});
        CHECK(outcome.error);
        CHECK_FALSE(isMalformed(outcome.error));
    }
    CHECK_FALSE(isMalformed({}));
    CHECK_FALSE(isMalformed(boost::beast::error::timeout));
}

// Guards against a body that is taken for a part of the header.
TEST_CASE("lines of a body may begin with a space")
{
    const std::string body = "a\r\n b\r\n\r\n c";
    CHECK(readResponse({"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body}).body == body);
    CHECK(readResponse({"HTTP/1.1 200 OK\r\n\r\n b"}).body == " b");
}

// Property LOST: a response that stated a length of 18 digits ended the process, because memory was reserved for it.
TEST_CASE("memory is reserved for received bytes only, whatever length a response states")
{
    for (const std::string framing : {"Content-Length: 1073741824\r\n\r\nab", "Transfer-Encoding: chunked\r\n\r\n40000000\r\nab"}) {
        CAPTURE(framing);
        const auto outcome = readResponse({"HTTP/1.1 200 OK\r\n" + framing});
        CHECK(outcome.hasHeader);
        CHECK(outcome.error == http::error::partial_message);
        CHECK(outcome.body == "ab");
        CHECK(outcome.bodyCapacity < 65'536);
    }
}

// Property LOST, as above, for each range of lengths that a parser may treat differently.
TEST_CASE("a response that states more than the limit is malformed before its body is read")
{
    for (const std::string length : {"1073741825",
                                     "2147483648",
                                     "4294967296",
                                     "800000000000000000",
                                     "9223372036854775807",
                                     "9223372036854775808",
                                     "18446744073709551615",
                                     "18446744073709551616",
                                     "1000000000000000000000000000000"}) {
        CAPTURE(length);
        const auto outcome = readResponse({"HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nab"});
        CHECK(isMalformed(outcome.error));
        CHECK(outcome.body.empty());
        if (outcome.error == http::error::body_limit) {
            CHECK(outcome.reason == "the stated length of " + length + " bytes exceeds the limit of 1073741824");
        }
    }
    for (const std::string size : {"40000001", "80000000", "100000000", "7fffffffffffffff", "ffffffffffffffff", "10000000000000000"}) {
        CAPTURE(size);
        const auto outcome = readResponse({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + size + "\r\nab"});
        CHECK(isMalformed(outcome.error));
        CHECK(outcome.body.empty());
    }
}

} // namespace
} // namespace daisystream
