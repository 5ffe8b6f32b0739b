#include "daisystream/scheduler/scheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// A scheduler with some endpoints, whose time and events are set by the test.
struct Cell
{
    explicit Cell(std::uint32_t endpoints, std::uint32_t maxBatch = 64)
    {
        for (std::uint32_t i = 0; i < endpoints; ++i) {
            EndpointInfo info;
            info.id = EndpointId("e" + std::to_string(i));
            info.model = ModelId("assistant");
            info.memoryCapacityTokens = 200000;
            info.maxBatch = maxBatch;
            infos.push_back(info);
        }
        scheduler.setEndpoints(infos, clock.now());
    }

    RequestId submit(Rank rank, const std::string &team = "team", milliseconds firstToken = milliseconds(2000))
    {
        WorkRequest work;
        work.id = RequestId("r" + std::to_string(next++));
        work.team = TeamId(team);
        work.rank = rank;
        work.model = ModelId("assistant");
        work.promptTokens = 100;
        work.arrival = clock.now();
        work.firstTokenDeadline = clock.now() + firstToken;
        scheduler.submit(work, clock.now());
        return work.id;
    }

    void decide()
    {
        assigns.clear();
        refusals.clear();
        cancels.clear();
        probes.clear();
        for (const Action &action : scheduler.decide(clock.now())) {
            if (const auto *assign = std::get_if<Assign>(&action)) {
                assigns[assign->request] = assign->endpoint;
            } else if (const auto *refuse = std::get_if<Refuse>(&action)) {
                refusals.emplace(refuse->request, refuse->error);
            } else if (const auto *cancel = std::get_if<Cancel>(&action)) {
                cancels[cancel->request] = cancel->endpoint;
            } else if (const auto *probe = std::get_if<Probe>(&action)) {
                ++probes[probe->endpoint];
            }
        }
    }

    // Advances the time in steps of 100 ms. All endpoints report their load, except that `silent` sends no reports or, with a
    // slow factor above 1, reports slow steps.
    void run(Duration time, const EndpointId &silent = {}, double slowFactor = 1)
    {
        for (const TimePoint end = clock.now() + time; clock.now() < end;) {
            clock.advance(milliseconds(100));
            for (const EndpointInfo &info : infos) {
                if (info.id != silent || slowFactor > 1) {
                    report(info.id, info.id == silent ? slowFactor : 1);
                }
            }
            decide();
        }
    }

    void report(const EndpointId &endpoint, double factor)
    {
        LoadReport load;
        load.endpoint = endpoint;
        load.measuredAt = clock.now();
        load.running = 1;
        load.memoryUsedTokens = 100;
        load.stepMilliseconds = 15.1 * factor;
        load.generatedTokens = ++generated;
        scheduler.onLoadReport(load, clock.now());
    }

    // Submits requests and reports the first tokens of those that are assigned; returns the number of assigned requests by endpoint.
    std::map<EndpointId, int> serve(int count)
    {
        std::map<EndpointId, int> served;
        for (int i = 0; i < count; ++i) {
            const RequestId id = submit(Rank::Ordinary);
            decide();
            if (assigns.contains(id)) {
                ++served[assigns[id]];
                scheduler.onFirstToken(id, clock.now());
            }
        }
        return served;
    }

    ManualClock clock;
    Scheduler scheduler{SchedulerOptions{}, Random(1)};
    std::vector<EndpointInfo> infos;
    std::map<RequestId, EndpointId> assigns;
    std::map<RequestId, Error> refusals;
    std::map<RequestId, EndpointId> cancels;
    std::map<EndpointId, int> probes;
    int next = 0;
    std::uint64_t generated = 0;
};

// Guards against requests that are decided on never or twice.
TEST_CASE("each request is assigned or refused exactly once, at the latest at its deadline")
{
    Cell cell(2, 4);
    std::map<RequestId, int> answers;
    std::vector<RequestId> all;
    for (int i = 0; i < 200; ++i) {
        all.push_back(cell.submit(i % 3 == 0 ? Rank::Urgent : Rank::Ordinary, "t" + std::to_string(i % 7), milliseconds(500)));
        cell.decide();
        for (int round = 0; round < 2; ++round) {
            for (const auto &[id, endpoint] : cell.assigns) {
                ++answers[id];
                cell.scheduler.onFirstToken(id, cell.clock.now());
            }
            for (const auto &[id, error] : cell.refusals) {
                ++answers[id];
                CHECK(error.retryAfter.value_or(milliseconds(0)) > milliseconds(0));
            }
            cell.clock.advance(milliseconds(2));
            cell.decide();
        }
    }
    for (int i = 0; i < 30; ++i) {
        for (const auto &[id, error] : cell.refusals) {
            ++answers[id];
        }
        cell.clock.advance(milliseconds(20));
        cell.decide();
        CHECK(cell.assigns.empty()); // All slots are still in use.
    }
    CHECK(std::all_of(all.begin(), all.end(), [&](const RequestId &id) { return answers[id] == 1; }));
}

// Guards against waiting until the deadline for a refusal that is certain at once.
TEST_CASE("a request that cannot meet its first-token time is refused at once")
{
    Cell cell(1, 8);
    cell.serve(8);
    for (int i = 0; i < 100; ++i) {
        cell.submit(Rank::Ordinary);
    }
    cell.decide();
    CHECK(cell.refusals.size() > 80);
}

// Guards against urgent requests that wait for ordinary requests without a first token.
TEST_CASE("an urgent request replaces an ordinary request without a first token")
{
    Cell cell(1, 8);
    std::set<RequestId> ordinary;
    for (int i = 0; i < 8; ++i) {
        ordinary.insert(cell.submit(Rank::Ordinary));
    }
    cell.decide();
    REQUIRE(cell.assigns.size() == 8); // The whole batch.
    const RequestId urgent = cell.submit(Rank::Urgent, "guide");
    cell.decide();
    REQUIRE(cell.assigns.contains(urgent));
    REQUIRE(cell.cancels.size() == 1);
    const RequestId victim = cell.cancels.begin()->first;
    CHECK(ordinary.contains(victim));
    // The endpoint sent the first token before it got the Cancel: the request still runs, and must not be assigned again.
    cell.scheduler.onFirstToken(victim, cell.clock.now());
    cell.clock.advance(milliseconds(200));
    cell.decide();
    CHECK(!cell.assigns.contains(victim));
    CHECK(!cell.refusals.contains(victim));
}

// Guards against assigning work to an endpoint that drains, and against cancelling what runs there.
TEST_CASE("a draining endpoint gets no new work and keeps its running work")
{
    Cell cell(2);
    CHECK(cell.serve(6).size() == 2);
    cell.infos[0].state = EndpointState::Draining;
    cell.scheduler.setEndpoints(cell.infos, cell.clock.now());
    const auto served = cell.serve(10);
    CHECK(served.size() == 1);
    CHECK(served.contains(cell.infos[1].id));
    CHECK(cell.cancels.empty());
}

// Guards against assigning work to an endpoint that is slow or has a frozen report, and against assigning it too much at once
// when it has recovered.
TEST_CASE("an endpoint that is slow or has a frozen report gets no new work, and one request at a time when it recovers")
{
    for (const double slowFactor : {1.0, 10.0}) {
        Cell cell(3);
        const EndpointId bad = cell.infos[1].id;
        cell.run(seconds(5));
        CHECK(cell.serve(12).contains(bad));
        cell.run(seconds(3), bad, slowFactor);
        CHECK(!cell.serve(12).contains(bad));
        int probes = 0;
        for (int i = 0; i < 20; ++i) {
            cell.run(milliseconds(100), bad, slowFactor);
            probes += cell.probes[bad];
        }
        CHECK(probes >= 1);
        CHECK(probes <= 4);
        cell.run(seconds(2));
        std::map<EndpointId, int> served;
        for (int i = 0; i < 12; ++i) {
            const RequestId id = cell.submit(Rank::Ordinary);
            cell.decide();
            ++served[cell.assigns[id]]; // No first token arrives.
        }
        CHECK(served[bad] == 1);
    }
}

// Guards against a cell that stops serving, or that asks for `decide` in an endless loop, when no report arrives any more.
TEST_CASE("a cell continues to serve when the reports of all endpoints stop")
{
    Cell cell(3);
    cell.run(seconds(3));
    for (int i = 0; i < 100; ++i) {
        cell.clock.advance(milliseconds(100));
        cell.decide();
        CHECK(cell.scheduler.nextWake().value_or(cell.clock.now() + seconds(1)) > cell.clock.now());
    }
    CHECK(cell.serve(12).size() == 3);
}

// Guards against a new owner of a cell that ignores the work that the previous owner assigned.
TEST_CASE("work that another owner assigned is counted")
{
    Cell cell(2);
    WorkRequest work;
    work.team = TeamId("team");
    work.model = ModelId("assistant");
    work.promptTokens = 100;
    for (int i = 0; i < 20; ++i) {
        work.id = RequestId("old" + std::to_string(i));
        cell.scheduler.onRunning(work, cell.infos[0].id, 50, cell.clock.now());
    }
    const auto served = cell.serve(10);
    CHECK(served.size() == 1);
    CHECK(served.contains(cell.infos[1].id));
}

// Guards against never assigning work to an engine again that was restored after a drain and had run answers which a stand-in of
// the owner had assigned. This happened with a single caller that sends one request after the other.
TEST_CASE("an idle engine that ran work of others before gets work again")
{
    Cell cell(2);
    LoadReport busy;
    busy.endpoint = cell.infos[0].id;
    busy.running = 4;
    busy.memoryUsedTokens = 800;
    busy.measuredAt = cell.clock.now();
    cell.scheduler.onLoadReport(busy, cell.clock.now());
    for (int i = 1; i <= 40; ++i) {
        cell.clock.advance(milliseconds(250));
        for (const EndpointInfo &info : cell.infos) {
            LoadReport idle;
            idle.endpoint = info.id;
            idle.measuredAt = cell.clock.now();
            cell.scheduler.onLoadReport(idle, cell.clock.now());
        }
        cell.decide();
    }
    std::map<EndpointId, int> served;
    for (int i = 0; i < 8; ++i) {
        const RequestId id = cell.submit(Rank::Urgent);
        cell.decide();
        ++served[cell.assigns[id]];
        cell.scheduler.onFinished(id, 1, FinishReason::Complete, cell.clock.now());
    }
    CHECK(served[cell.infos[0].id] > 0);
}

} // namespace
} // namespace daisystream
