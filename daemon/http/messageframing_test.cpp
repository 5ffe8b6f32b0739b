#include "daemon/http/messageframing.h"

#include <doctest/doctest.h>

#include <cctype>
#include <string>
#include <utility>
#include <vector>

// Decisions about the end of a message by its header alone.

namespace daisystream
{
namespace
{

namespace http = boost::beast::http;

using Fields = std::vector<std::pair<std::string, std::string>>;

unsigned statusOfRequest(http::verb method, unsigned version, const Fields &fields)
{
    RequestHeader header;
    header.method(method);
    header.version(version);
    for (const auto &[name, value] : fields) {
        header.insert(name, value);
    }
    const auto fault = checkFraming(header);
    return fault ? static_cast<unsigned>(fault->status) : 0;
}

boost::system::error_code errorOfResponse(unsigned status, unsigned version, const Fields &fields)
{
    ResponseHeader header;
    header.result(status);
    header.version(version);
    for (const auto &[name, value] : fields) {
        header.insert(name, value);
    }
    return checkFraming(header);
}

// Guards against a coding that is ignored, so that the end of a request is not where its sender means it.
TEST_CASE("a request has a length or exactly the coding chunked")
{
    const auto post = http::verb::post;
    CHECK(statusOfRequest(post, 11, {}) == 0);
    CHECK(statusOfRequest(post, 11, {{"Content-Length", "4"}}) == 0);
    CHECK(statusOfRequest(post, 11, {{"Transfer-Encoding", "CHUNKED"}}) == 0);
    CHECK(statusOfRequest(post, 11, {{"Transfer-Encoding", "gzip,chunked"}}) == 501);
    CHECK(statusOfRequest(post, 11, {{"Transfer-Encoding", "gzip"}, {"transfer-encoding", "chunked"}}) == 501);
    for (const char *codings :
         {"", ",", "chunked,", "chunked, identity", "identity", "chunked;x", "chunked;x=1", "chunked chunked", "chunked,gzip,chunked", "\"chunked\""}) {
        CAPTURE(codings);
        CHECK(statusOfRequest(post, 11, {{"Transfer-Encoding", codings}}) == 400);
    }
    CHECK(statusOfRequest(post, 10, {{"Transfer-Encoding", "chunked"}}) == 400);
    CHECK(statusOfRequest(post, 11, {{"Transfer-Encoding", "chunked"}, {"Content-Length", "4"}}) == 400);
    CHECK(statusOfRequest(post, 11, {{"Transfer-Encoding", "gzip, chunked"}, {"Content-Length", "4"}}) == 400);
}

// Guards against methods that give a message another end.
TEST_CASE("CONNECT, TRACE with a body and two hosts are refused")
{
    CHECK(statusOfRequest(http::verb::connect, 11, {}) == 501);
    CHECK(statusOfRequest(http::verb::trace, 11, {{"Content-Length", "0"}}) == 0);
    CHECK(statusOfRequest(http::verb::trace, 11, {{"Content-Length", "1"}}) == 400);
    CHECK(statusOfRequest(http::verb::trace, 11, {{"Transfer-Encoding", "chunked"}}) == 400);
    CHECK(statusOfRequest(http::verb::get, 11, {{"Host", "a"}}) == 0);
    CHECK(statusOfRequest(http::verb::get, 11, {{"Host", "a"}, {"Host", "a"}}) == 400);
}

// Guards against chunks or coded bytes that are taken for a body.
TEST_CASE("a response has a length, exactly the coding chunked, or ends with its connection")
{
    CHECK_FALSE(errorOfResponse(200, 11, {}));
    CHECK_FALSE(errorOfResponse(200, 10, {}));
    CHECK_FALSE(errorOfResponse(599, 11, {{"Content-Length", "4"}}));
    CHECK_FALSE(errorOfResponse(200, 11, {{"Transfer-Encoding", "chunked"}}));
    for (const char *codings : {"gzip", "identity", "chunked, identity", "gzip, chunked", ""}) {
        CAPTURE(codings);
        CHECK(errorOfResponse(200, 11, {{"Transfer-Encoding", codings}}));
    }
    CHECK(errorOfResponse(200, 10, {{"Transfer-Encoding", "chunked"}}));
    CHECK(errorOfResponse(200, 11, {{"Transfer-Encoding", "chunked"}, {"Content-Length", "4"}}));
    for (const unsigned status : {0U, 99U, 101U, 600U, 999U}) {
        CAPTURE(status);
        CHECK(errorOfResponse(status, 11, {}));
    }
}

// Guards against a header that a client cannot read, or reads as other fields than were meant.
TEST_CASE("a well-formed header has a final status, tokens as names and no control bytes in values")
{
    using namespace std::string_literals;
    const auto isAccepted = [](unsigned status, const std::string &name, const std::string &value) {
        ResponseHeader header;
        header.result(status);
        header.insert(name, value);
        return isWellFormed(header);
    };
    for (const unsigned status : {200U, 204U, 299U, 304U, 404U, 599U}) {
        CHECK(isAccepted(status, "Content-Type", "text/plain;\tcharset=utf-8"));
    }
    for (const unsigned status : {0U, 99U, 100U, 101U, 199U, 600U, 999U}) {
        CAPTURE(status);
        CHECK_FALSE(isAccepted(status, "Content-Type", "text/plain"));
    }
    for (const auto &name : {"x"s, "X-1"s, "!#$%&'*+-.^_`|~"s}) {
        CHECK(isAccepted(200, name, ""));
    }
    for (int c = 0; c < 256; ++c) {
        CAPTURE(c);
        const auto byte = static_cast<char>(c);
        const bool isTokenByte = std::isalnum(c) != 0 || (c > 0 && std::string("!#$%&'*+-.^_`|~").find(byte) != std::string::npos);
        CHECK(isAccepted(200, "X"s + byte + "Y", "a") == isTokenByte);
        const bool isControl = (c < ' ' && c != '\t') || c == 0x7F;
        CHECK(isAccepted(200, "X", "a"s + byte + "b") != isControl);
    }
    CHECK_FALSE(isAccepted(200, "", "a"));
}

} // namespace
} // namespace daisystream
