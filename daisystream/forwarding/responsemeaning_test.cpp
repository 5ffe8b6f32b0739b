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

// Guards against a response to another request that is forwarded, or whose statement counts for this request.
TEST_CASE("a response to another request proves nothing")
{
    for (const unsigned status : {200U, 404U, 421U, 429U, 500U, 503U}) {
        for (const bool statesNotRun : {false, true}) {
            CAPTURE(status);
            CAPTURE(statesNotRun);
            CHECK(meaningOf({.status = status, .statesNotRun = statesNotRun, .isVerified = true, .isForOtherRequest = true}) == ResponseMeaning::Unproven);
        }
    }
}

// Guards against a request that is sent again after a response that contradicts itself.
TEST_CASE("a success that states that the request did not run proves nothing")
{
    CHECK(meaningOf({.status = 200, .statesNotRun = true, .isVerified = true}) == ResponseMeaning::Unproven);
    CHECK(meaningOf({.status = 200, .statesNotRun = true}) == ResponseMeaning::Unproven);
}

} // namespace
} // namespace daisystream
