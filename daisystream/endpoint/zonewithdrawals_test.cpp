#include "daisystream/endpoint/zonewithdrawals.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

const ZoneId kFirst("zone-a");
const ZoneId kSecond("zone-b");

StoreRevision rev(std::uint64_t number)
{
    return {.epoch = 1, .number = number};
}

TEST_CASE("zonewithdrawals: the newest revision decides, not the order of arrival")
{
    // Guards against a zone that stays withdrawn because the message about its withdrawal overtook that about its return.
    ZoneWithdrawals withdrawals;
    CHECK(withdrawals.apply(kFirst, true, rev(10)));
    CHECK(withdrawals.apply(kFirst, false, rev(12)));
    CHECK_FALSE(withdrawals.apply(kFirst, true, rev(11)));
    CHECK_FALSE(withdrawals.contains(kFirst));
    CHECK(withdrawals.revision() == rev(12));
}

TEST_CASE("zonewithdrawals: a whole set of an older revision changes nothing")
{
    // Guards against a VM that returns to an old state because another VM that was cut off hands it its set.
    ZoneWithdrawals withdrawals;
    CHECK(withdrawals.apply(kFirst, true, rev(10)));
    CHECK_FALSE(withdrawals.replace({}, rev(9)));
    CHECK(withdrawals.contains(kFirst));
}

TEST_CASE("zonewithdrawals: a whole set removes what is missing in it")
{
    // Guards against a zone that stays withdrawn after the store has lost the history with its return.
    ZoneWithdrawals withdrawals;
    CHECK(withdrawals.replace({kFirst, kSecond}, rev(10)));
    CHECK(withdrawals.replace({kSecond}, rev(40)));
    CHECK_FALSE(withdrawals.contains(kFirst));
    CHECK(withdrawals.contains(kSecond));
    CHECK_FALSE(withdrawals.replace({kSecond}, rev(41)));
    CHECK(withdrawals.revision() == rev(41));
}

TEST_CASE("zonewithdrawals: a change that a whole set already contains is ignored")
{
    // Guards against a watch that delivers changes again from before the set that another VM handed over.
    ZoneWithdrawals withdrawals;
    CHECK_FALSE(withdrawals.replace({}, rev(20)));
    CHECK_FALSE(withdrawals.apply(kFirst, true, rev(20)));
    CHECK_FALSE(withdrawals.contains(kFirst));
    CHECK(withdrawals.apply(kFirst, true, rev(21)));
}

TEST_CASE("zonewithdrawals: two zones are withdrawn and restored independently")
{
    ZoneWithdrawals withdrawals;
    CHECK(withdrawals.apply(kFirst, true, rev(1)));
    CHECK(withdrawals.apply(kSecond, true, rev(2)));
    CHECK(withdrawals.apply(kFirst, false, rev(3)));
    CHECK((withdrawals.zones() == std::set<ZoneId>{kSecond}));
}

// All rows that the operator writes in one transaction have the same revision. The second zone was ignored as already known.
TEST_CASE("zonewithdrawals: two zones of one transaction are both withdrawn")
{
    ZoneWithdrawals withdrawals;
    const std::vector<ZoneChange> both{{.zone = kFirst, .isWithdrawn = true, .revision = rev(7)}, {.zone = kSecond, .isWithdrawn = true, .revision = rev(7)}};
    CHECK(withdrawals.apply(both));
    CHECK((withdrawals.zones() == std::set<ZoneId>{kFirst, kSecond}));
    CHECK_FALSE(withdrawals.apply(both));
}

// Guards against requests to a zone that is out of service because a restored store has forgotten it, or does not count.
TEST_CASE("zonewithdrawals: a zone that a restored store lacks stays withdrawn until the operator had time to write it again")
{
    const StoreRevision restored{.epoch = 2, .number = 5};
    ZoneWithdrawals withdrawals;
    CHECK(withdrawals.replace({kFirst}, rev(90)));
    CHECK(withdrawals.replace({kSecond}, restored));
    CHECK((withdrawals.zones() == std::set<ZoneId>{kFirst, kSecond}));
    CHECK((withdrawals.registered() == std::set<ZoneId>{kSecond}));
    CHECK(withdrawals.hasKept());
    CHECK_FALSE(withdrawals.apply(kFirst, false, rev(91))); // A late message of the epoch before.
    CHECK(withdrawals.releaseKept());
    CHECK((withdrawals.zones() == std::set<ZoneId>{kSecond}));
}

TEST_CASE("zonewithdrawals: what the operator writes after a restore decides")
{
    ZoneWithdrawals withdrawals;
    CHECK(withdrawals.replace({kFirst, kSecond}, rev(90)));
    CHECK_FALSE(withdrawals.replace({}, {.epoch = 2, .number = 5}));
    CHECK(withdrawals.apply(kFirst, true, {.epoch = 2, .number = 6}));
    CHECK(withdrawals.apply(kSecond, false, {.epoch = 2, .number = 7}));
    CHECK_FALSE(withdrawals.releaseKept());
    CHECK((withdrawals.zones() == std::set<ZoneId>{kFirst}));
}

} // namespace
} // namespace daisystream
