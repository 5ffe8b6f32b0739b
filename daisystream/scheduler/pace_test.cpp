#include "daisystream/scheduler/scheduler.h"

#include <doctest/doctest.h>

#include <map>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

const ModelId kModel("assistant");
constexpr std::uint32_t kPromptTokens = 3000;
constexpr std::uint32_t kShortPrompt = 300;
constexpr double kStepMilliseconds = 7;
constexpr double kPromptMillisecondsPerToken = 0.071;

/// A scheduler with engines that send no load reports. Answers advance at the speed of their engine, which is given as a factor
/// by which its steps take longer than the cost model says.
class Cell
{
public:
    explicit Cell(const std::map<std::string, double> &slowness, std::uint64_t memoryTokens = 60000)
        : slowness_(slowness)
    {
        std::vector<EndpointInfo> engines;
        for (const auto &[id, factor] : slowness) {
            EndpointInfo info;
            info.id = EndpointId(id);
            info.model = kModel;
            info.memoryCapacityTokens = memoryTokens;
            info.maxBatch = 24;
            info.stepCost = {.baseMilliseconds = kStepMilliseconds,
                             .perSequenceMilliseconds = 0.12,
                             .perThousandTokensMilliseconds = 0.004,
                             .prefillMillisecondsPerThousandTokens = 1000 * kPromptMillisecondsPerToken,
                             .prefillTokensPerStep = 112};
            engines.push_back(info);
        }
        scheduler_.setEndpoints(engines, now_);
    }

    /// Submits a request and reports its first token if it is assigned.
    /// @return the engine to which it was assigned; empty if none.
    std::string start(const std::string &id, std::uint32_t prompt)
    {
        WorkRequest work;
        work.id = RequestId(id);
        work.team = TeamId("press");
        work.model = kModel;
        work.promptTokens = prompt;
        work.maxOutputTokens = 2200;
        work.arrival = now_;
        work.firstTokenDeadline = now_ + milliseconds(4000);
        work.mayMove = false;
        scheduler_.submit(work, now_);
        for (const auto &action : scheduler_.decide(now_)) {
            if (const auto *assign = std::get_if<Assign>(&action)) {
                scheduler_.onFirstToken(assign->request, now_);
                running_[id] = {assign->endpoint.value(), 1};
                forecastStep_ = assign->figures.stepMilliseconds;
                promptMilliseconds_[assign->endpoint.value()] += prompt * kPromptMillisecondsPerToken;
                return assign->endpoint.value();
            }
        }
        return {};
    }

    void finish(const std::string &id)
    {
        scheduler_.onFinished(RequestId(id), static_cast<std::uint32_t>(running_.at(id).tokens), FinishReason::Complete, now_);
        running_.erase(id);
    }

    /// @return the duration of a decode step that was forecast at the last assignment, in milliseconds.
    [[nodiscard]] double forecastStep() const
    {
        return forecastStep_;
    }

    /// Lets all answers advance for one second, less the time that their engines need for prefill.
    void runSecond()
    {
        now_ += milliseconds(1000);
        for (auto &[id, answer] : running_) {
            const double reading = slowness_.at(answer.engine) * promptMilliseconds_[answer.engine];
            answer.tokens += (1000 - reading) / (slowness_.at(answer.engine) * kStepMilliseconds);
            scheduler_.onProgress(RequestId(id), static_cast<std::uint32_t>(answer.tokens), now_);
        }
        promptMilliseconds_.clear();
        (void)scheduler_.decide(now_);
    }

private:
    struct Answer
    {
        std::string engine;
        double tokens = 0;
    };

    std::map<std::string, double> slowness_;
    std::map<std::string, Answer> running_;
    std::map<std::string, double> promptMilliseconds_; // Prefill time in the current second, by engine.
    double forecastStep_ = 0;
    TimePoint now_{std::chrono::hours(1)};
    Scheduler scheduler_{{.placement = Placement::LeastAddedTime, .memoryQuantile = 0.9, .reservesEndpoints = false, .reportTimeout = std::chrono::hours(1000)},
                         Random(1)};
};

} // namespace

// Guards against treating engines of different speeds as equal if they report no load.
TEST_CASE("long answers are assigned to fast engines rather than slow ones, based on the progress of own answers")
{
    Cell cell({{"fast", 1.0}, {"slow", 1.4}});
    for (const std::string id : {"probe1", "probe2"}) {
        cell.start(id, kPromptTokens);
    }
    for (int second = 0; second < 3; ++second) {
        cell.runSecond();
    }
    std::map<std::string, int> given;
    for (int i = 0; i < 6; ++i) {
        ++given[cell.start("r" + std::to_string(i), kPromptTokens)];
    }
    CHECK(given["fast"] >= 5);
}

// Guards against mistaking prefill for a slow engine: the prompts of many short requests delay the answers that it decodes.
TEST_CASE("an engine does not look slow because of its prefill")
{
    Cell cell({{"busy", 1.0}});
    cell.start("long", kPromptTokens);
    for (int second = 0; second < 4; ++second) {
        for (int i = 0; i < 20; ++i) {
            const std::string id = "short" + std::to_string(second) + "-" + std::to_string(i);
            cell.start(id, kShortPrompt);
            cell.finish(id);
        }
        cell.runSecond();
    }
    cell.start("next", kPromptTokens);
    CHECK(cell.forecastStep() == doctest::Approx(kStepMilliseconds).epsilon(0.1));
}

// Guards against preemptions: an engine that runs out of memory while it generates answers of unknown length preempts one.
TEST_CASE("an answer is assigned to a busier engine if it is less likely to run out of memory")
{
    constexpr std::uint32_t kLargePrompt = 6000;
    constexpr std::uint32_t kSmallPrompt = 1000;
    Cell cell({{"a", 1.0}, {"b", 1.0}}, 21000);
    const std::string full = cell.start("large1", kLargePrompt);
    const std::string roomy = cell.start("small1", kSmallPrompt);
    CHECK(roomy != full);
    CHECK(cell.start("small2", kSmallPrompt) == roomy);
    CHECK(cell.start("large2", kLargePrompt) == full);
    CHECK(cell.start("small3", kSmallPrompt) == roomy);
    CHECK(cell.start("large3", kLargePrompt) == roomy);
}

} // namespace daisystream
