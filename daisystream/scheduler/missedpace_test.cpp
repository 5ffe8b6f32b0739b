#include "daisystream/scheduler/scheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

const ModelId kModel("assistant");
constexpr double kPace = 1000.0 / 45; // An event of 4 tokens within 180 ms.
constexpr std::uint32_t kLongPrompt = 3079;
constexpr std::uint32_t kShortPrompt = 2550;
constexpr double kSlowHost = 2.5;

/// A scheduler with engines of given paces that is told the times to first tokens and the slowness of engines. Load: long answers with a
/// promised pace beside the prompts of short ones.
class Cell
{
public:
    explicit Cell(const std::map<std::string, double> &paces, bool forecasts = true, std::uint64_t memoryTokens = 26900)
        : paces_(paces)
        , scheduler_({.placement = Placement::LeastAddedTime,
                      .memoryQuantile = 0.9,
                      .urgentReserve = 0.12,
                      .reservesEndpoints = false,
                      .forecastsMissedPace = forecasts,
                      .reportTimeout = std::chrono::hours(1000)},
                     Random(1))
    {
        std::vector<EndpointInfo> engines;
        for (const auto &[id, pace] : paces) {
            EndpointInfo info;
            info.id = EndpointId(id);
            info.model = kModel;
            info.memoryCapacityTokens = memoryTokens;
            info.maxBatch = 24;
            info.stepCost = {.baseMilliseconds = 7,
                             .perSequenceMilliseconds = 0.12,
                             .perThousandTokensMilliseconds = 0.004,
                             .prefillMillisecondsPerThousandTokens = 71,
                             .prefillTokensPerStep = 112};
            engines.push_back(info);
        }
        scheduler_.setEndpoints(engines, now_);
    }

    /// Submits a request. @return the engine to which it is assigned; empty if none.
    std::string assign(const std::string &id, bool isLong, milliseconds objective = milliseconds(1800))
    {
        WorkRequest work;
        work.id = RequestId(id);
        work.team = TeamId("press");
        work.rank = isLong ? Rank::Ordinary : Rank::Urgent;
        work.model = kModel;
        work.promptTokens = isLong ? kLongPrompt : kShortPrompt;
        work.maxOutputTokens = isLong ? 752 : 8;
        work.paceTokensPerSecond = isLong ? kPace : 0;
        work.lengthClass = isLong ? "long" : "short";
        work.arrival = now_;
        work.firstTokenDeadline = now_ + objective;
        scheduler_.submit(work, now_);
        for (const auto &action : scheduler_.decide(now_)) {
            if (const auto *assign = std::get_if<Assign>(&action); assign != nullptr && assign->request == work.id) {
                figures_ = assign->figures;
                return assign->endpoint.value();
            }
        }
        return {};
    }

    /// Assigns a request and lets its first token arrive.
    std::string start(const std::string &id, bool isLong, double slowness = 0)
    {
        std::string engine = assign(id, isLong);
        if (!engine.empty()) {
            now_ += std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(kPrefillMilliseconds * paces_.at(engine) * std::max(1.0, slowness)));
            if (slowness > 0) {
                scheduler_.onSlowness(RequestId(id), slowness, now_);
            }
            scheduler_.onFirstToken(RequestId(id), now_);
            (void)scheduler_.decide(now_);
        }
        return engine;
    }

    void finish(const std::string &id, bool isLong)
    {
        scheduler_.onFinished(RequestId(id), isLong ? 752 : 8, FinishReason::Complete, now_);
    }

    /// Runs and ends short answers, so that the scheduler learns the paces and that engines are slow for 15% of the time.
    void learn(double slowness = kSlowHost)
    {
        for (int round = 0; round < 20; ++round) {
            std::vector<std::string> ids;
            for (std::size_t i = 0; i < 2 * paces_.size(); ++i) {
                ids.push_back("learn" + std::to_string(round) + "-" + std::to_string(i));
                start(ids.back(), false, round % 20 < 3 ? slowness : 1.0);
            }
            for (const auto &id : ids) {
                finish(id, false);
            }
            wait(milliseconds(500));
        }
    }

    void wait(Duration time)
    {
        now_ += time;
        (void)scheduler_.decide(now_);
    }

    [[nodiscard]] const AssignmentDetails &figures() const
    {
        return figures_;
    }

private:
    static constexpr double kPrefillMilliseconds = 400;

    std::map<std::string, double> paces_;
    AssignmentDetails figures_;
    TimePoint now_{std::chrono::hours(1)};
    Scheduler scheduler_;
};

} // namespace

// Guards against prefill beside answers that miss their pace because of it, while another engine is free.
TEST_CASE("a prompt goes to an engine without a long answer rather than beside one on a slow engine")
{
    Cell cell({{"a", 1.2}, {"b", 1.2}});
    cell.learn();
    const std::string busy = cell.start("long", true, 1.0);
    for (int i = 0; i < 5; ++i) {
        const std::string id = "short" + std::to_string(i);
        CHECK(cell.start(id, false, 1.0) != busy);
        cell.finish(id, false);
        cell.wait(milliseconds(400));
    }
}

// Guards against ignoring the slowness that an engine states at present, and against believing it for ever.
TEST_CASE("a stated slowness counts while it is fresh")
{
    Cell cell({{"a", 1.0}});
    cell.learn(1.0);
    REQUIRE(cell.start("long1", true, 4.0) == "a");
    REQUIRE(cell.assign("short1", false) == "a");
    CAPTURE(cell.figures().calibration);
    CAPTURE(cell.figures().stepMilliseconds);
    CHECK(cell.figures().expectedMisses > 0.9);
    CHECK(cell.figures().slowness == 4.0);
    cell.finish("short1", false);
    cell.wait(milliseconds(400));
    cell.assign("short2", false);
    CHECK(cell.figures().expectedMisses < 0.5);
    CHECK(cell.figures().slownessAge >= milliseconds(400));
}

// Guards against changes where nothing is slow: the forecast must then cost nothing.
TEST_CASE("equal engines that are never slow get the same requests with and without the forecast")
{
    const std::map<std::string, double> paces{{"a", 1.0}, {"b", 1.0}, {"c", 1.0}};
    Cell with(paces, true);
    Cell without(paces, false);
    for (int i = 0; i < 60; ++i) {
        const std::string id = "r" + std::to_string(i);
        const bool isLong = i % 3 == 0;
        CAPTURE(i);
        CHECK(with.start(id, isLong, 1.0) == without.start(id, isLong, 1.0));
        CHECK(with.figures().expectedMisses == 0);
        if (i >= 6) {
            const int ended = i - 6;
            with.finish("r" + std::to_string(ended), ended % 3 == 0);
            without.finish("r" + std::to_string(ended), ended % 3 == 0);
        }
    }
}

// Guards against a request that misses its own objective, or is refused, to spare a running answer.
TEST_CASE("a request takes an engine with a long answer if no other one is in time or has memory")
{
    Cell cell({{"a", 1.2}}, true, 12000);
    cell.learn();
    CHECK(cell.start("long", true, kSlowHost) == "a");
    CHECK(cell.start("short1", false, kSlowHost) == "a");
    CHECK(cell.figures().expectedMisses > 0);
    CHECK(cell.assign("short2", false, milliseconds(1500)) == "a");
}

// Guards against filling the memory of one engine beyond its capacity because the others would miss a pace.
TEST_CASE("the forecast does not override the memory of an engine")
{
    Cell cell({{"fast", 0.55}, {"slow", 1.2}});
    cell.learn();
    std::map<std::string, int> given;
    for (int i = 0; i < 10; ++i) {
        ++given[cell.start("long" + std::to_string(i), true, 1.0)];
    }
    CHECK(given["fast"] * (kLongPrompt + 752) <= 26900);
    CHECK(given["slow"] > 0);
}

// Guards against a burst of short answers on the engines that run long ones.
TEST_CASE("a burst of short answers spreads over all engines when those without long answers are busy")
{
    Cell cell({{"a", 1.2}, {"b", 1.2}});
    cell.learn();
    const std::string busy = cell.start("long", true, 1.0);
    std::map<std::string, int> given;
    for (int i = 0; i < 12; ++i) {
        ++given[cell.assign("short" + std::to_string(i), false, milliseconds(1500))];
    }
    CHECK(given[busy] > 0);
    given.erase("");
    CHECK(given.size() == 2);
}

} // namespace daisystream
