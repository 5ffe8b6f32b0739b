#include "daisystream/scheduler/scheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

const ModelId kModel("assistant");

EndpointInfo engine(const std::string &id, const std::string &zone)
{
    EndpointInfo info;
    info.id = EndpointId(id);
    info.model = kModel;
    info.zone = ZoneId(zone);
    info.memoryCapacityTokens = 34000;
    info.maxBatch = 24;
    info.stepCost = {.baseMilliseconds = 7,
                     .perSequenceMilliseconds = 0.12,
                     .perThousandTokensMilliseconds = 0.004,
                     .prefillMillisecondsPerThousandTokens = 71,
                     .prefillTokensPerStep = 112};
    return info;
}

/// A scheduler with endpoints in one or two zones. Answers move to them from endpoints that have left.
class Cell
{
public:
    explicit Cell(std::vector<EndpointInfo> engines)
        : engines_(std::move(engines))
    {
        scheduler.setEndpoints(engines_, now);
    }

    /// @return a request for an answer with 400 tokens that has to move away from an endpoint.
    [[nodiscard]] WorkRequest running(const std::string &id, const std::string &from, const std::string &zone, std::uint32_t prompt) const
    {
        WorkRequest work;
        work.id = RequestId(id);
        work.team = TeamId("depot");
        work.rank = Rank::Urgent;
        work.model = kModel;
        work.promptTokens = prompt;
        work.heldTokens = 400;
        work.maxOutputTokens = 2216;
        work.movesFrom = RunningAt{.endpoint = EndpointId(from), .zone = ZoneId(zone)};
        work.arrival = now;
        work.firstTokenDeadline = now + milliseconds(8000);
        work.mayMove = false;
        return work;
    }

    /// Runs `decide`.
    /// @return the assignments among its actions.
    std::vector<Assign> assigned()
    {
        std::vector<Assign> assigns;
        for (const auto &action : scheduler.decide(now)) {
            if (const auto *assign = std::get_if<Assign>(&action)) {
                assigns.push_back(*assign);
            }
            cancelled = cancelled || std::holds_alternative<Cancel>(action);
        }
        return assigns;
    }

    TimePoint now{std::chrono::hours(1)};
    Scheduler scheduler{{.memoryQuantile = 0.9, .reportTimeout = std::chrono::hours(1000)}, Random(1)};
    bool cancelled = false;

private:
    std::vector<EndpointInfo> engines_;
};

// Guards against losing all answers of an engine that leaves at short notice: all copies share its link, so none would be
// complete in time if they were made at once.
TEST_CASE("the answers of an engine that leaves move one at a time, the one with the least memory first")
{
    Cell cell({engine("a", "z1"), engine("b", "z1"), engine("c", "z2")});
    cell.scheduler.submit(cell.running("large", "gone", "z1", 6000), cell.now);
    cell.scheduler.submit(cell.running("small", "gone", "z1", 1000), cell.now);
    cell.scheduler.submit(cell.running("middle", "gone", "z1", 3000), cell.now);
    for (const std::string expected : {"small", "middle", "large"}) {
        const auto granted = cell.assigned();
        REQUIRE(granted.size() == 1);
        CHECK(granted.front().request == RequestId(expected));
        CHECK(granted.front().endpoint != EndpointId("c")); // A copy to another zone takes twice as long.
        CHECK(cell.assigned().empty());
        cell.now += milliseconds(200);
        cell.scheduler.onFirstToken(granted.front().request, cell.now);
    }
    CHECK(cell.assigned().empty());
}

// Guards against copying to one target from two engines that leave at the same moment.
TEST_CASE("answers of two engines that leave together go to different targets")
{
    Cell cell({engine("a", "z1"), engine("b", "z1"), engine("c", "z2"), engine("d", "z2")});
    cell.scheduler.submit(cell.running("r1", "gone1", "z1", 3000), cell.now);
    cell.scheduler.submit(cell.running("r2", "gone2", "z1", 3000), cell.now);
    const auto granted = cell.assigned();
    REQUIRE(granted.size() == 2);
    CHECK(granted[0].endpoint != granted[1].endpoint);
}

// Guards against delaying a move when the queue is full of new requests.
TEST_CASE("an answer that moves waits neither for queued requests nor for pending prompts")
{
    Cell cell({engine("a", "z1")});
    for (int i = 0; i < 30; ++i) {
        auto work = cell.running("new" + std::to_string(i), "", "", 3000);
        work.movesFrom.reset();
        work.heldTokens = 0;
        work.rank = Rank::Ordinary;
        cell.scheduler.submit(work, cell.now);
    }
    const auto first = cell.assigned();
    REQUIRE_FALSE(first.empty());
    cell.scheduler.submit(cell.running("moving", "gone", "z1", 3000), cell.now);
    const auto granted = cell.assigned();
    REQUIRE(granted.size() == 1);
    CHECK(granted.front().request == RequestId("moving"));
}

// Guards against a lost confirmation of a copy blocking all further moves.
TEST_CASE("a copy that is never confirmed delays the next one only until it times out")
{
    Cell cell({engine("a", "z1")});
    cell.scheduler.submit(cell.running("r1", "gone", "z1", 1000), cell.now);
    cell.scheduler.submit(cell.running("r2", "gone", "z1", 2000), cell.now);
    REQUIRE(cell.assigned().size() == 1);
    cell.now += milliseconds(1000);
    CHECK(cell.assigned().empty());
    cell.now += milliseconds(600);
    const auto granted = cell.assigned();
    REQUIRE(granted.size() == 1);
    CHECK(granted.front().request == RequestId("r2"));
}

// Guards against suspecting a target because a copy takes longer than a first token.
TEST_CASE("a target is not suspected because of a slow copy")
{
    Cell cell({engine("a", "z1")});
    for (int i = 0; i < 4; ++i) {
        const std::string id = "r" + std::to_string(i);
        cell.scheduler.submit(cell.running(id, "gone", "z1", 1000), cell.now);
        REQUIRE(cell.assigned().size() == 1);
        cell.now += milliseconds(1400);
        cell.scheduler.onFirstToken(RequestId(id), cell.now);
    }
    CHECK_FALSE(cell.cancelled);
    auto work = cell.running("new", "", "", 1000);
    work.movesFrom.reset();
    work.heldTokens = 0;
    cell.scheduler.submit(work, cell.now);
    CHECK(cell.assigned().size() == 1);
}

TEST_CASE("no answer moves to an engine whose memory cannot hold it")
{
    Cell cell({engine("a", "z1")});
    cell.scheduler.submit(cell.running("huge", "gone", "z1", 33500), cell.now);
    cell.scheduler.submit(cell.running("fits", "gone", "z1", 20000), cell.now);
    const auto granted = cell.assigned();
    REQUIRE(granted.size() == 1);
    CHECK(granted.front().request == RequestId("fits"));
}

// Guards against running a request twice: if it may run only once, it must not be assigned to a second engine, however late its
// first token is.
TEST_CASE("the assignment of a request that may not move is never cancelled")
{
    Cell cell({engine("a", "z1"), engine("b", "z1")});
    for (int i = 0; i < 6; ++i) {
        auto work = cell.running("r" + std::to_string(i), "", "", 3000);
        work.movesFrom.reset();
        work.heldTokens = 0;
        work.rank = Rank::Ordinary;
        cell.scheduler.submit(work, cell.now);
    }
    std::set<RequestId> given;
    for (int step = 0; step < 100; ++step) {
        for (const auto &assign : cell.assigned()) {
            CHECK(given.insert(assign.request).second);
        }
        cell.now += milliseconds(100);
    }
    CHECK_FALSE(cell.cancelled);
    CHECK_FALSE(given.empty());
}

} // namespace
} // namespace daisystream
