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

/// Engines that send no load reports. Answers are told to advance at the pace of their engine.
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

    /// Submits a request and lets its prompt be read.
    /// @return the engine that it was given.
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

    /// @return the step that was forecast with the last assignment, in milliseconds.
    [[nodiscard]] double forecastStep() const
    {
        return forecastStep_;
    }

    /// All answers advance for a second.
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
    std::map<std::string, double> promptMilliseconds_; // Read within the present second.
    double forecastStep_ = 0;
    TimePoint now_{std::chrono::hours(1)};
    Scheduler scheduler_{{.placement = Placement::LeastAddedTime, .memoryQuantile = 0.9, .reservesEndpoints = false, .reportTimeout = std::chrono::hours(1000)},
                         Random(1)};
};

} // namespace

// Pattern: engines of one service differ in speed and report no load. Answers last as long as their engine is slow.
TEST_CASE("more long answers run at fast engines than at slow ones, learnt from the answers' own progress")
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

// Pattern: short requests bring many prompts to an engine, which delays the answers that it decodes. That is no slowness.
TEST_CASE("prompts that an engine reads do not make it look slow")
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

// Pattern: answers of unknown length with large prompts. An engine that runs out of memory in mid-answer preempts one of them.
TEST_CASE("an answer goes to a busier engine if its memory is the safer one")
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
