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

// A scheduler with some endpoints, fed by hand.
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

    // Passes time in small steps, with fresh reports of all endpoints but one.
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

    // Submits and finishes short answers; returns where they went.
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

// Guards against requests that get no answer or two.
TEST_CASE("each request is answered once, at the latest at its deadline")
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
        CHECK(cell.assigns.empty()); // No answer ended, so nothing can start.
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

// Guards against ordinary work without a first token holding what urgent work needs.
TEST_CASE("urgent work takes the place of ordinary work without first token")
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
    // The first token crossed the Cancel: the request still runs, and is not assigned again.
    cell.scheduler.onFirstToken(victim, cell.clock.now());
    cell.clock.advance(milliseconds(200));
    cell.decide();
    CHECK(!cell.assigns.contains(victim));
    CHECK(!cell.refusals.contains(victim));
}

// Guards against new work for an endpoint that drains, and against interrupting what runs there.
TEST_CASE("a draining endpoint gets no new work and keeps its own")
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

// Guards against feeding an endpoint that is slow or whose report says nothing new, and against a rush on it afterwards.
TEST_CASE("an endpoint that is slow or has a frozen report loses new work and gets it back one at a time")
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
            ++served[cell.assigns[id]]; // Without first tokens.
        }
        CHECK(served[bad] == 1);
    }
}

// Guards against losing the whole cell, or deciding without end, when no report arrives any more.
TEST_CASE("a cell whose reports all stop goes on")
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

// Guards against work of a previous owner of the cell being invisible to the next one.
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

// Guards an engine that is restored after a drain, on which a stand-in of the owner had put answers: with one caller that sends
// one request after the other it never got any again.
TEST_CASE("an idle engine on which others had work before gets work again")
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
