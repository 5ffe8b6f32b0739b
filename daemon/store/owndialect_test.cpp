#include "daemon/store/owndialect.h"

#include <boost/beast/http.hpp>
#include <doctest/doctest.h>

#include <initializer_list>

namespace daisystream
{
namespace
{

namespace http = boost::beast::http;

// Guards against a write that is reported as not done on the word of a status that does not say so.
TEST_CASE("a write counts as refused only if the status guarantees that it was not done")
{
    const StoreCall write = WriteRow{.table = "t", .key = "k", .text = "x", .condition = Always{}};
    const auto decoded = [&](unsigned status) {
        return ownStoreDialect()->decode(write, StoreDialect::Response(http::int_to_status(status), 11));
    };
    CHECK(std::holds_alternative<StoreWritten>(decoded(200)));
    CHECK(std::holds_alternative<StoreConflict>(decoded(412)));
    for (const unsigned status : {400U, 403U, 404U, 413U, 429U}) {
        CAPTURE(status);
        CHECK(std::holds_alternative<StoreRefused>(decoded(status)));
    }
    for (const unsigned status : {201U, 202U, 204U, 302U, 408U, 500U, 502U, 503U, 504U}) {
        CAPTURE(status);
        CHECK(std::holds_alternative<StoreUnclear>(decoded(status)));
    }
}

} // namespace
} // namespace daisystream
