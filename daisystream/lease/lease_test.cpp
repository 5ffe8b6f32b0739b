#include "daisystream/lease/leaseholder.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

using namespace std::chrono_literals;

const TimePoint kStart(1h);

std::string acquire(LeaseHolder &lease, TimePoint at)
{
    CHECK(std::holds_alternative<TableRead>(lease.poll(at).value()));
    lease.onReply(RowAbsent{}, at);
    const auto write = std::get<TableWrite>(lease.poll(at).value());
    lease.onReply(RowWritten{.number = 1}, at + 4s);
    return write.value;
}

// Guards against a validity that is counted from the reply instead of the request, and against a holder that still acts when it
// resumes after a pause in which the lease has expired.
TEST_CASE("the validity is counted from the sending of the request and can end during a pause")
{
    LeaseHolder lease("placement", VmId("a"), 1);
    acquire(lease, kStart);
    CHECK(lease.fencingNumber(kStart + 5s) == 1);
    CHECK_FALSE(lease.fencingNumber(kStart + 6s).has_value());
    CHECK_FALSE(lease.fencingNumberForUnfencedEngines(kStart + 2s).has_value());
    CHECK(lease.fencingNumberForUnfencedEngines(kStart + 3s) == 1);
    CHECK(std::get<TableWrite>(lease.poll(kStart + 60s).value()).ifNumber == 1);
    lease.onReply(RowConflict{}, kStart + 60s);
    CHECK_FALSE(lease.fencingNumber(kStart + 60s).has_value());
}

// Guards against a contender that takes over the lease while the holder may still act, or without a higher fencing number.
TEST_CASE("a contender waits for the whole duration and then takes over with a higher fencing number")
{
    LeaseHolder holder("placement", VmId("a"), 1);
    const std::string row = acquire(holder, kStart);
    LeaseHolder contender("placement", VmId("b"), 1);
    for (auto after = 0s; after <= 6s; after += 2s) {
        CHECK(std::holds_alternative<TableRead>(contender.poll(kStart + after).value()));
        contender.onReply(RowFound{.number = 1, .value = row}, kStart + after);
    }
    const auto takeOver = std::get<TableWrite>(contender.poll(kStart + 8s).value());
    CHECK(takeOver.ifNumber == 1);
    contender.onReply(TableNoReply{}, kStart + 10s);
    CHECK_FALSE(contender.fencingNumber(kStart + 10s).has_value());
    CHECK(std::holds_alternative<TableRead>(contender.poll(kStart + 11s).value()));
    contender.onReply(RowFound{.number = 2, .value = takeOver.value}, kStart + 11s);
    CHECK(contender.fencingNumber(kStart + 11s) == 2);
    CHECK_FALSE(contender.fencingNumber(kStart + 14s).has_value());
}

} // namespace
} // namespace daisystream
