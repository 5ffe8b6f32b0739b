#include "daisystream/membership/processtable.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

// Guards against what a former process held and nobody releases, and against a late message of it that releases what its successor holds.
TEST_CASE("a process that is replaced is former for good")
{
    ProcessTable processes;
    const VmId vm("vm1");
    CHECK(processes.onMessage(vm, 7) == SenderProcess::Known);
    CHECK(processes.onMessage(vm, 7) == SenderProcess::Known);
    CHECK(processes.onMessage(vm, 9) == SenderProcess::Replacement);
    CHECK(processes.onMessage(vm, 7) == SenderProcess::Former);
    CHECK(processes.onMessage(vm, 9) == SenderProcess::Known);
    CHECK(processes.onMessage(VmId("vm2"), 7) == SenderProcess::Known);
}

// Guards against a VM whose clock was set back before its restart and whose new process counts as the former one.
TEST_CASE("a process with a lower incarnation replaces the present one")
{
    ProcessTable processes;
    const VmId vm("vm1");
    CHECK(processes.onMessage(vm, 9) == SenderProcess::Known);
    CHECK(processes.onMessage(vm, 4) == SenderProcess::Replacement);
    CHECK(processes.onMessage(vm, 9) == SenderProcess::Former);
    CHECK(processes.onMessage(vm, 5) == SenderProcess::Replacement);
}

} // namespace
} // namespace daisystream
