#include <daisystream/base/clock.h>
#include <daisystream/scheduler/scheduler.h>

#include <iostream>
#include <set>

/// @file
/// Schedules four requests onto two engines with the embedded `Scheduler`, in simulated time.

namespace
{

using namespace daisystream;
using namespace std::chrono_literals;

EndpointInfo engine(const std::string &id)
{
    EndpointInfo info;
    info.id = EndpointId(id);
    info.model = ModelId("assistant");
    info.zone = ZoneId("a");
    return info;
}

WorkRequest request(int number, Rank rank, TimePoint now)
{
    WorkRequest work;
    work.id = RequestId("request-" + std::to_string(number));
    work.team = TeamId(rank == Rank::Urgent ? "guides" : "office");
    work.entry = VmId("vm1");
    work.rank = rank;
    work.model = ModelId("assistant");
    work.promptTokens = 200;
    work.arrival = now;
    work.firstTokenDeadline = now + 660ms;
    return work;
}

} // namespace

int main()
{
    ManualClock clock;
    Scheduler scheduler(SchedulerOptions{}, Random(1));
    scheduler.setEndpoints({engine("engine-1"), engine("engine-2")}, clock.now());
    for (int i = 0; i < 4; ++i) {
        scheduler.submit(request(i, i % 2 == 0 ? Rank::Ordinary : Rank::Urgent, clock.now()), clock.now());
    }
    std::set<RequestId> assigned;
    for (const Action &action : scheduler.decide(clock.now())) {
        if (const auto *assign = std::get_if<Assign>(&action)) {
            std::cout << assign->request << " -> " << assign->endpoint << '\n';
            assigned.insert(assign->request);
        }
    }
    return assigned.size() == 4 ? 0 : 1;
}
