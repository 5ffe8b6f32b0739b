#include "daisystream/forwarding/responsemeaning.h"

#include <doctest/doctest.h>

#include <initializer_list>

namespace daisystream
{
namespace
{

// Guards against a status of an endpoint that tells the caller "not run" although the request ran.
TEST_CASE("only the endpoint's statement shows that a request did not run")
{
    for (unsigned status = 200; status < 600; ++status) {
        CAPTURE(status);
        for (const bool isVerified : {false, true}) {
            const auto meaning = meaningOf({.status = status, .isVerified = isVerified});
            CHECK(meaning != ResponseMeaning::NotRun);
            if (meaning != ResponseMeaning::Unproven) {
                CHECK_FALSE(impliesNotRun(status));
            }
            CHECK((meaning == ResponseMeaning::Success) == (status < 300 && isVerified));
        }
    }
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
        CAPTURE(status);
        CHECK(impliesNotRun(status));
        CHECK(meaningOf({.status = status, .isVerified = true}) == ResponseMeaning::Unproven);
        CHECK(meaningOf({.status = status, .statesNotRun = true}) == ResponseMeaning::NotRun);
    }
}

TEST_CASE("an endpoint's own failures are forwarded")
{
    for (const unsigned status : {301U, 400U, 404U, 409U, 413U, 500U, 502U, 504U}) {
        CAPTURE(status);
        CHECK(meaningOf({.status = status}) == ResponseMeaning::Failure);
        CHECK(meaningOf({.status = status, .isVerified = true}) == ResponseMeaning::Failure);
    }
}

TEST_CASE("a response to another request is not forwarded")
{
    for (const unsigned status : {200U, 404U, 500U, 503U}) {
        CAPTURE(status);
        CHECK(meaningOf({.status = status, .isVerified = true, .isForOtherRequest = true}) == ResponseMeaning::Unproven);
    }
}

} // namespace
} // namespace daisystream
