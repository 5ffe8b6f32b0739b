#include "daisystream/base/base64.h"
#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/random.h"
#include "daisystream/base/stablehash.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

// Guards against random numbers that do not depend on the seed alone, which would make failures impossible to reproduce.
TEST_CASE("the same seed gives the same numbers")
{
    Random first(7);
    Random second(7);
    for (int i = 0; i < 1000; ++i) {
        CHECK(first.bits() == second.bits());
    }
    CHECK(Random(7).bits() != Random(8).bits());
}

// Guards against below() returning the bound itself, which callers would use as an index past the end of an array.
TEST_CASE("below() returns only numbers under its bound")
{
    Random random(1);
    for (int i = 0; i < 10000; ++i) {
        CHECK(random.below(3) < 3);
    }
}

// Test vectors of RFC 4648, section 10.
TEST_CASE("base64 is encoded and decoded, and invalid text is rejected")
{
    CHECK(toBase64("") == "");
    CHECK(toBase64("f") == "Zg==");
    CHECK(toBase64("fo") == "Zm8=");
    CHECK(toBase64("foobar") == "Zm9vYmFy");
    CHECK(fromBase64("") == std::string());
    CHECK(fromBase64("Zg==") == std::string("f"));
    CHECK(fromBase64("Zm9vYmFy") == std::string("foobar"));
    CHECK_FALSE(fromBase64("Zg="));
    CHECK_FALSE(fromBase64("Z!=="));
    CHECK(toBase64Url("\xff\xfe") == "__4");
    CHECK(fromBase64Url("__4") == std::string("\xff\xfe"));
    CHECK_FALSE(fromBase64Url("//4="));
    CHECK_FALSE(fromBase64Url("Z"));
}

// Guards fleets of two builds: VMs that hash names differently disagree on who owns a cell.
TEST_CASE("the stable hash never changes")
{
    CHECK(stableHash("vm1") == 0x482ba68ca86c4489ULL);
    CHECK(stableHash("e1/assistant/0") == 0x722cf3199b37bf10ULL);
    CHECK(stableHash("vm1", 1) != stableHash("vm1"));
}

} // namespace
} // namespace daisystream
