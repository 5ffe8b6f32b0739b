#include "cli/explain.h"

#include "cli/exitcodes.h"

#include <doctest/doctest.h>

#include <sstream>

namespace daisystream::cli
{
namespace
{

// Logs of two VMs: the caller is connected to vm1, and vm2 owns the cell. Lines of another request are mixed in.
constexpr const char *kCutOffLog = R"(time=2026-12-04T05:00:01.000000Z level=info vm=vm2 decision=assign request=w-1 team=cafe choice=i-7@5 reason=owner
   1.2 edge-1 time=2026-12-04T05:00:01.500000Z level=info vm=vm1 event=endpoint endpoint=i-7@5 state=gone revision=9
time=2026-12-04T05:00:01.600000Z level=info vm=vm1 event=endpoint endpoint=i-8@5 state=gone revision=10
time=2026-12-04T05:00:03.000000Z level=info vm=vm1 decision=stream request=other work=w-2 choice=i-9@1 outcome=complete
time=2026-12-04T05:00:03.100000Z level=info vm=vm1 decision=move request=abc work=w-3 from=i-7%405 choice=none reason=failed
time=2026-12-04T05:00:03.200000Z level=info vm=vm1 decision=stream request=abc work=w-1 choice=i-7%405 outcome=failed events=12
time=2026-12-04T05:00:03.300000Z level=warning vm=vm1 decision=give_up request=abc work=w-1 reason=cut_off detail=endpoint%20i-7%405%3A%20broken
some text without fields
)";

/// @return the output of the command, after a check of its exit code.
std::string explain(const std::string &request, const std::string &log, int expected = Success, bool json = false)
{
    std::istringstream in(log);
    std::ostringstream out;
    std::ostringstream err;
    CHECK(runExplainCommand(request, {}, json, in, out, err) == expected);
    return out.str();
}

TEST_CASE("explain merges the lines of several VMs and prints the first cause")
{
    const auto text = explain("abc", kCutOffLog);
    const auto position = [&](const std::string &part) {
        return text.find(part);
    };
    CHECK(position("decision=assign request=w-1") < position("event=endpoint endpoint=i-7@5"));
    CHECK(position("event=endpoint endpoint=i-7@5") < position("decision=give_up"));
    CHECK(position("other") == std::string::npos);
    CHECK(position("i-8@5") == std::string::npos);
    CHECK(position("cause: the answer was cut off: endpoint i-7@5: broken; its endpoint i-7@5 had left") != std::string::npos);
}

TEST_CASE("explain distinguishes a refusal under overload from one by an isolated VM")
{
    CHECK(explain("a", "time=1 vm=vm1 decision=give_up request=a reason=PromiseCannotBeMet detail=the%20promise\n").find("overloaded") != std::string::npos);
    CHECK(explain("b", "time=1 vm=vm1 decision=refuse request=b reason=Isolated\n").find("no contact with the platform") != std::string::npos);
}

// An operator who has taken a zone out of service sees refusals without a hint that it was the cause.
TEST_CASE("explain names the withdrawn zones as the cause of a refusal, unless they were back in service")
{
    const std::string withdrawn = "time=1 vm=vm1 event=zone_withdrawn zone=z-a revision=5\ntime=1 vm=vm2 event=zone_withdrawn zone=z-b revision=6\n";
    const std::string restored = "time=2 vm=vm1 event=zone_restored zone=z-a revision=7\n";
    const std::string refusal = "time=3 vm=vm1 decision=give_up request=a reason=NoEndpoint detail=none\n";
    const std::string laterWithdrawal = "time=4 vm=vm1 event=zone_withdrawn zone=z-c revision=9\n";
    CHECK(explain("a", withdrawn + refusal + laterWithdrawal).find("cause: NoEndpoint: none; the operator had taken these zones out of service: z-a\n")
          != std::string::npos);
    CHECK(explain("a", withdrawn + restored + refusal).find("out of service") == std::string::npos);
}

TEST_CASE("explain shows the speed of an endpoint if it differed from the usual")
{
    const auto slow = explain("a", "time=1 vm=vm1 decision=send request=a choice=e1 speed=120 slowness=220 slowness_ms=40 load_limit=3 outcome=200\n");
    CHECK(slow.find("calls there take 120% of the usual time") != std::string::npos);
    CHECK(slow.find("reported slowness 40 ms before, expected to take 220%") != std::string::npos);
    CHECK(slow.find("slow beyond 3 concurrent calls") != std::string::npos);
    const auto usual = explain("a", "time=1 vm=vm1 decision=send request=a choice=e1 speed=100 slowness=100 slowness_ms= load_limit= outcome=200\n");
    CHECK(usual.find("was answered by its endpoint\n") != std::string::npos);
}

TEST_CASE("explain reports an answered request, an unknown request and a missing log")
{
    CHECK(explain("a", "time=1 vm=vm1 decision=send request=a outcome=200\n").find("was answered") != std::string::npos);
    CHECK(explain("b", "time=1 vm=vm1 decision=send request=a outcome=200\n", Failure).empty());
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    CHECK(runExplainCommand("a", {"/nonexistent/log"}, false, in, out, err) == Usage);
}

TEST_CASE("explain prints the history as JSON")
{
    const auto text = explain("abc", kCutOffLog, Success, true);
    CHECK(text.find("\"cause\"") != std::string::npos);
    CHECK(text.find("\"decision\": \"give_up\"") != std::string::npos);
}

} // namespace
} // namespace daisystream::cli
