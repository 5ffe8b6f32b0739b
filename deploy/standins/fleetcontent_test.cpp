#include "deploy/standins/fleetcontent.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <doctest/doctest.h>

// Callers of the soak judge answers by these; each kind of wrong answer is seen to be found.

namespace daisystream::standins
{
namespace
{

namespace http = boost::beast::http;
using soak::Kind;

http::response<http::string_body> answer(const std::string &body, const std::string &attempt = "a1", unsigned status = 200)
{
    http::response<http::string_body> response(static_cast<http::status>(status), 11);
    response.set("Attempt-Id", attempt);
    response.set("Server-Seal", "seal");
    response.body() = body;
    return response;
}

std::string events(unsigned from, unsigned to, unsigned last, const std::string &run = "r1")
{
    std::string text;
    for (unsigned number = from; number <= to; ++number) {
        text += eventText(run, number, last);
    }
    return text;
}

TEST_CASE("whole answers are accepted")
{
    CHECK(checkAnswer("a1", Kind::Safe, answer(answerBody("r1", "a1")), true) == AnswerCheck{"r1", ""});
    CHECK(checkAnswer("a1", Kind::Stream, answer(events(1, 9, 9)), true) == AnswerCheck{"r1", ""});
    CHECK(checkAnswer("a1", Kind::ResumableStream, answer(events(1, 4, 9) + events(5, 9, 9, "r2")), true) == AnswerCheck{"r2", ""});
    CHECK(checkAnswer("a1", Kind::Unsafe, answer("refused", "a1", 503), true) == AnswerCheck{});
}

TEST_CASE("an answer that breaks off is accepted up to there")
{
    CHECK(checkAnswer("a1", Kind::Stream, answer(events(1, 5, 9) + "id: 6\ndata: {\"ru"), false) == AnswerCheck{"r1", ""});
    CHECK(checkAnswer("a1", Kind::Safe, answer("{\"attem"), false) == AnswerCheck{});
}

TEST_CASE("wrong answers are found")
{
    const auto fault = [](Kind kind, const http::response<http::string_body> &response, bool isComplete = true) {
        return checkAnswer("a1", kind, response, isComplete).fault;
    };
    CHECK_FALSE(fault(Kind::Safe, answer(answerBody("r1", "a2"))).empty());
    CHECK_FALSE(fault(Kind::Safe, answer(answerBody("r1", "a1"), "a2")).empty());
    CHECK_FALSE(fault(Kind::Safe, answer(answerBody("r1", "a1") + "x")).empty());
    CHECK_FALSE(fault(Kind::Stream, answer(events(1, 8, 9))).empty());
    CHECK_FALSE(fault(Kind::Stream, answer("")).empty());
    CHECK_FALSE(fault(Kind::Stream, answer("id: 1\ndata: {\"ru")).empty());
    CHECK_FALSE(fault(Kind::Stream, answer(events(1, 9, 9) + "id: 10\nda")).empty());
    CHECK_FALSE(fault(Kind::Stream, answer(events(1, 3, 9) + events(5, 9, 9))).empty());
    CHECK_FALSE(fault(Kind::Stream, answer(events(1, 3, 9) + events(3, 9, 9)), false).empty());
    CHECK_FALSE(fault(Kind::Stream, answer(events(1, 4, 9) + events(5, 9, 9, "r2"))).empty());
    auto unproven = answer(answerBody("r1", "a1"));
    unproven.erase("Server-Seal");
    CHECK_FALSE(fault(Kind::Safe, unproven).empty());
    auto folded = answer(answerBody("r1", "a1"));
    folded.set("Server-Seal", "seal X-Field: a");
    CHECK_FALSE(fault(Kind::Safe, folded).empty());
    for (const unsigned status : {0U, 99U, 100U, 199U, 600U, 999U}) {
        CHECK_FALSE(fault(Kind::Unsafe, answer("", "a1", status)).empty());
    }
}

TEST_CASE("bytes that are no answer are told apart from an answer that breaks off")
{
    for (const auto error : {http::error::bad_status, http::error::bad_field, http::error::bad_value, http::error::bad_version, http::error::bad_chunk}) {
        CHECK_FALSE(faultOf(error).empty());
    }
    CHECK(faultOf({}).empty());
    CHECK(faultOf(http::error::end_of_stream).empty());
    CHECK(faultOf(http::error::partial_message).empty());
    CHECK(faultOf(boost::beast::error::timeout).empty());
    CHECK(faultOf(boost::asio::error::connection_reset).empty());
}

TEST_CASE("a request's body is recognized unchanged only")
{
    const auto body = requestBody("a1", "/max/item/1", 30);
    CHECK(isRequestBody(body, "a1", "/max/item/1"));
    CHECK_FALSE(isRequestBody(body, "a1", "/max/item/2"));
    CHECK_FALSE(isRequestBody(body, "a2", "/max/item/1"));
    CHECK_FALSE(isRequestBody(body.substr(0, body.size() - 1), "a1", "/max/item/1"));
    CHECK_FALSE(isRequestBody(body + "x", "a1", "/max/item/1"));
}

} // namespace
} // namespace daisystream::standins
