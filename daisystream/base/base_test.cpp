#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/random.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

// Guards against a source of chance that would make a failing seed impossible to replay.
TEST_CASE("the same seed gives the same numbers")
{
    Random first(7);
    Random second(7);
    for (int i = 0; i < 1000; ++i) {
        CHECK(first.bits() == second.bits());
    }
    CHECK(Random(7).bits() != Random(8).bits());
}

// Guards against a bound that can be reached, which would index past the end of a table.
TEST_CASE("below stays below its bound")
{
    Random random(1);
    for (int i = 0; i < 10000; ++i) {
        CHECK(random.below(3) < 3);
    }
}

} // namespace
} // namespace daisystream
