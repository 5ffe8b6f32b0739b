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
using std::chrono::seconds;

constexpr std::uint32_t kPromptTokens = 3000;

/// A scheduler with one engine that runs few answers at a time.
class Cell
{
public:
    explicit Cell(std::uint32_t slots)
    {
        EndpointInfo &info = engine_;
        info.id = EndpointId("engine");
        info.model = ModelId("assistant");
        info.memoryCapacityTokens = 200000;
        info.maxBatch = slots;
        info.stepCost = {.baseMilliseconds = 7,
                         .perSequenceMilliseconds = 0.12,
                         .perThousandTokensMilliseconds = 0.004,
                         .prefillMillisecondsPerThousandTokens = 71,
                         .prefillTokensPerStep = 112};
        scheduler_.setEndpoints({info}, now);
    }

    /// Makes the engine drain, so that it accepts no more requests.
    void leave()
    {
        engine_.state = EndpointState::Draining;
        scheduler_.setEndpoints({engine_}, now);
        decide();
    }

    /// @param promise promised time to first token.
    /// @param patience time after which a first token is of no use; nothing if it is of no use after the promised time.
    void submit(const std::string &id, Duration promise, std::optional<Duration> patience)
    {
        WorkRequest work;
        work.id = RequestId(id);
        work.team = TeamId("press");
        work.model = ModelId("assistant");
        work.promptTokens = kPromptTokens;
        work.arrival = now;
        work.firstTokenDeadline = now + promise;
        work.lastUsefulFirstToken = patience ? std::optional(now + *patience) : std::nullopt;
        work.mayMove = false;
        scheduler_.submit(work, now);
        decide();
    }

    void finish(const std::string &id)
    {
        scheduler_.onFinished(RequestId(id), 300, FinishReason::Complete, now);
        decide();
    }

    void wait(Duration time)
    {
        for (const TimePoint end = now + time; now < end;) {
            now += milliseconds(50);
            decide();
        }
    }

    TimePoint now{std::chrono::hours(1)};
    std::vector<std::string> started; ///< Requests that were assigned, in order.
    std::map<std::string, TimePoint> refusedAt;

private:
    void decide()
    {
        for (const auto &action : scheduler_.decide(now)) {
            if (const auto *assign = std::get_if<Assign>(&action)) {
                started.push_back(assign->request.value());
                scheduler_.onFirstToken(assign->request, now);
            } else if (const auto *refuse = std::get_if<Refuse>(&action)) {
                refusedAt[refuse->request.value()] = now;
            }
        }
    }

    EndpointInfo engine_;
    Scheduler scheduler_{{.placement = Placement::LeastAddedTime, .memoryQuantile = 0.9, .reservesEndpoints = false, .reportTimeout = std::chrono::hours(1000)},
                         Random(1)};
};

} // namespace

// Guards against refusing requests whose callers prefer a late answer to none, when a burst of long answers fills the engines.
TEST_CASE("a request that cannot meet its deadline is served late, after those that still can")
{
    Cell cell(2);
    cell.submit("a", seconds(4), seconds(14));
    cell.submit("b", seconds(4), seconds(14));
    cell.submit("late", seconds(4), seconds(14));
    cell.wait(seconds(5));
    CHECK(cell.refusedAt.empty());
    cell.submit("fresh", seconds(4), seconds(14));
    cell.finish("a");
    CHECK(cell.started == std::vector<std::string>{"a", "b", "fresh"});
    cell.finish("b");
    CHECK(cell.started.back() == "late");
}

// Guards against keeping a request in the queue whose caller has no use for a late answer.
TEST_CASE("a request without use for a late answer is refused before its deadline")
{
    Cell cell(1);
    cell.submit("a", seconds(4), std::nullopt);
    cell.submit("late", seconds(4), std::nullopt);
    const TimePoint submitted = cell.now;
    cell.wait(seconds(5));
    REQUIRE(cell.refusedAt.contains("late"));
    CHECK(cell.refusedAt.at("late") <= submitted + seconds(4));
}

// Guards against a late request that waits until its caller gives up, during a long overload. A refusal before that lets the
// caller try something else.
TEST_CASE("a late request that is not assigned is refused before its caller would leave")
{
    Cell cell(1);
    cell.submit("a", seconds(4), seconds(14));
    cell.submit("late", seconds(4), seconds(14));
    const TimePoint submitted = cell.now;
    cell.wait(seconds(15));
    REQUIRE(cell.refusedAt.contains("late"));
    CHECK(cell.refusedAt.at("late") < submitted + seconds(14));
}

// Guards against callers that wait although there are far more requests than can be served.
TEST_CASE("late requests that would probably not be served are refused at once")
{
    Cell cell(1);
    cell.submit("a", seconds(4), seconds(14));
    constexpr int kFlood = 200;
    for (int i = 0; i < kFlood; ++i) {
        cell.submit("f" + std::to_string(i), seconds(4), seconds(14));
    }
    CHECK(cell.refusedAt.size() > kFlood / 2);
}

// Guards against late requests that wait until their limit while requests that can meet their deadlines use all engines.
TEST_CASE("late requests are refused when no capacity is left for them")
{
    Cell cell(1);
    const TimePoint begin = cell.now;
    cell.submit("a", seconds(4), seconds(14));
    for (int i = 0; i < 4; ++i) {
        cell.submit("late" + std::to_string(i), seconds(1), seconds(14));
    }
    std::string running = "a";
    for (int i = 0; i < 16; ++i) {
        const std::string next = "fresh" + std::to_string(i);
        cell.submit(next, seconds(4), seconds(14));
        cell.wait(milliseconds(500));
        cell.finish(running);
        running = cell.started.back();
    }
    const auto late = std::find_if(cell.refusedAt.begin(), cell.refusedAt.end(), [](const auto &entry) { return entry.first.starts_with("late"); });
    REQUIRE(late != cell.refusedAt.end());
    CHECK(late->second < begin + seconds(10));
}

// Guards against late requests that wait although the last engine of their model has left.
TEST_CASE("late requests are refused at once when no engine is left")
{
    Cell cell(1);
    cell.submit("a", seconds(4), seconds(14));
    cell.submit("late", seconds(4), seconds(14));
    cell.wait(seconds(3));
    CHECK(cell.refusedAt.empty());
    cell.leave();
    CHECK(cell.refusedAt.contains("late"));
}

// Guards against serving a late request whose caller has left.
TEST_CASE("a withdrawn late request is not served")
{
    Cell cell(1);
    cell.submit("a", seconds(4), seconds(14));
    cell.submit("late1", seconds(4), seconds(14));
    cell.submit("late2", seconds(4), seconds(14));
    cell.wait(seconds(3));
    cell.finish("late1");
    cell.finish("a");
    CHECK(cell.started == std::vector<std::string>{"a", "late2"});
}

} // namespace daisystream
