#include "daisystream/endpoint/zonewithdrawals.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

const ZoneId kFirst("zone-a");
const ZoneId kSecond("zone-b");

TEST_CASE("zonewithdrawals: the newest revision decides, not the order of arrival")
{
    // Guards against a zone that stays withdrawn because the message about its withdrawal overtook that about its return.
    ZoneWithdrawals withdrawals;
    CHECK(withdrawals.apply(kFirst, true, 10));
    CHECK(withdrawals.apply(kFirst, false, 12));
    CHECK_FALSE(withdrawals.apply(kFirst, true, 11));
    CHECK_FALSE(withdrawals.contains(kFirst));
    CHECK(withdrawals.revision() == 12);
}

TEST_CASE("zonewithdrawals: a whole set of an older revision changes nothing")
{
    // Guards against a VM that returns to an old state because another VM that was cut off hands it its set.
    ZoneWithdrawals withdrawals;
    CHECK(withdrawals.apply(kFirst, true, 10));
    CHECK_FALSE(withdrawals.replace({}, 9));
    CHECK(withdrawals.contains(kFirst));
}

TEST_CASE("zonewithdrawals: a whole set removes what is missing in it")
{
    // Guards against a zone that stays withdrawn after the store has lost the history with its return.
    ZoneWithdrawals withdrawals;
    CHECK(withdrawals.replace({kFirst, kSecond}, 10));
    CHECK(withdrawals.replace({kSecond}, 40));
    CHECK_FALSE(withdrawals.contains(kFirst));
    CHECK(withdrawals.contains(kSecond));
    CHECK_FALSE(withdrawals.replace({kSecond}, 41));
    CHECK(withdrawals.revision() == 41);
}

TEST_CASE("zonewithdrawals: a change that a whole set already contains is ignored")
{
    // Guards against a watch that delivers changes again from before the set that another VM handed over.
    ZoneWithdrawals withdrawals;
    CHECK_FALSE(withdrawals.replace({}, 20));
    CHECK_FALSE(withdrawals.apply(kFirst, true, 20));
    CHECK_FALSE(withdrawals.contains(kFirst));
    CHECK(withdrawals.apply(kFirst, true, 21));
}

TEST_CASE("zonewithdrawals: two zones are withdrawn and restored independently")
{
    ZoneWithdrawals withdrawals;
    CHECK(withdrawals.apply(kFirst, true, 1));
    CHECK(withdrawals.apply(kSecond, true, 2));
    CHECK(withdrawals.apply(kFirst, false, 3));
    CHECK((withdrawals.zones() == std::set<ZoneId>{kSecond}));
}

// All rows that the operator writes in one transaction have the same revision. The second zone was ignored as already known.
TEST_CASE("zonewithdrawals: two zones of one transaction are both withdrawn")
{
    ZoneWithdrawals withdrawals;
    const std::vector<ZoneChange> both{{.zone = kFirst, .isWithdrawn = true, .revision = 7}, {.zone = kSecond, .isWithdrawn = true, .revision = 7}};
    CHECK(withdrawals.apply(both));
    CHECK((withdrawals.zones() == std::set<ZoneId>{kFirst, kSecond}));
    CHECK_FALSE(withdrawals.apply(both));
}

} // namespace
} // namespace daisystream
