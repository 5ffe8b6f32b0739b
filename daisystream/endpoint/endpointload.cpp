#include "daisystream/endpoint/endpointload.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace daisystream
{

namespace
{

// Tokens that an answer may have generated since its last progress message: a second at a fast pace.
constexpr double kUnreportedTokens = 64;
// How fast the estimate of others' work follows the reports.
constexpr double kOthersGain = 0.5;
// What is left of the estimate below these is none: the reports count whole answers and tokens. A rest of the halving would
// make an idle engine look more loaded than another one for minutes.
constexpr double kLeastOthersRunning = 0.05;
constexpr double kLeastOthersTokens = 1;
constexpr double kMillisecondsPerSecond = 1000.0;

double withoutRest(double estimate, double least)
{
    return estimate < least ? 0 : estimate;
}

} // namespace

EndpointLoad::EndpointLoad(const EndpointInfo &info)
    : info_(info)
    , memoryCapacity_(info.memoryCapacityTokens)
{
}

void EndpointLoad::setInfo(const EndpointInfo &info)
{
    info_ = info;
    if (info.memoryCapacityTokens > 0) {
        memoryCapacity_ = info.memoryCapacityTokens;
    }
}

const EndpointInfo &EndpointLoad::info() const
{
    return info_;
}

void EndpointLoad::add(const Work &work)
{
    forecast_.add(work.memory);
    heldTokens_[static_cast<std::size_t>(work.rank)] += work.memory.mean[0];
    ++running_[static_cast<std::size_t>(work.rank)];
    ++paces_[work.pace];
    if (work.awaitingFirstToken) {
        ++awaiting_;
        pendingPrompt_ += work.promptTokens;
    }
    recentRunning_ = std::max<double>(recentRunning_, running_[0] + running_[1]);
    recentTokens_ = std::max(recentTokens_, forecast_.held());
}

void EndpointLoad::remove(const Work &work)
{
    forecast_.remove(work.memory);
    const auto rank = static_cast<std::size_t>(work.rank);
    heldTokens_[rank] = --running_[rank] == 0 ? 0.0 : heldTokens_[rank] - work.memory.mean[0];
    const auto pace = paces_.find(work.pace);
    if (--pace->second == 0) {
        paces_.erase(pace);
    }
    if (work.awaitingFirstToken) {
        --awaiting_;
        pendingPrompt_ -= work.promptTokens;
    }
}

void EndpointLoad::firstToken(Work &work)
{
    if (work.awaitingFirstToken) {
        work.awaitingFirstToken = false;
        --awaiting_;
        pendingPrompt_ -= work.promptTokens;
    }
}

void EndpointLoad::progress(Work &work, const MemoryForecast::Contribution &memory)
{
    forecast_.remove(work.memory);
    forecast_.add(memory);
    heldTokens_[static_cast<std::size_t>(work.rank)] += memory.mean[0] - work.memory.mean[0];
    work.memory = memory;
    recentTokens_ = std::max(recentTokens_, forecast_.held());
}

double EndpointLoad::onReport(const LoadReport &report)
{
    if (report.memoryCapacityTokens > 0) {
        memoryCapacity_ = report.memoryCapacityTokens;
    }
    const double ownRunning = std::max(recentRunning_, previousRunning_);
    const double ownTokens = std::max(recentTokens_, previousTokens_) + kUnreportedTokens * ownRunning;
    const double othersRunning = std::max(0.0, static_cast<double>(report.running) + report.waiting - ownRunning);
    const double othersTokens = std::max(0.0, static_cast<double>(report.memoryUsedTokens) - ownTokens);
    othersRunning_ = withoutRest(othersRunning_ + kOthersGain * (othersRunning - othersRunning_), kLeastOthersRunning);
    othersTokens_ = withoutRest(othersTokens_ + kOthersGain * (othersTokens - othersTokens_), kLeastOthersTokens);
    previousRunning_ = recentRunning_;
    previousTokens_ = recentTokens_;
    recentRunning_ = running_[0] + running_[1];
    recentTokens_ = forecast_.held();
    if (report.stepMilliseconds <= 0 || report.running == 0) {
        return 0;
    }
    return report.stepMilliseconds / modelStep(report.running, static_cast<double>(report.memoryUsedTokens));
}

void EndpointLoad::setCalibration(double factor)
{
    calibration_ = factor;
}

double EndpointLoad::calibration() const
{
    return calibration_;
}

double EndpointLoad::modelStep(double answers, double tokens) const
{
    const StepCost &cost = info_.stepCost;
    return std::max(0.01, cost.baseMilliseconds + cost.perSequenceMilliseconds * answers + cost.perThousandTokensMilliseconds * tokens / 1000.0);
}

double EndpointLoad::stepMilliseconds(double extraAnswers, double extraTokens) const
{
    return calibration_ * modelStep(running() + extraAnswers, forecast_.held() + othersTokens_ + extraTokens);
}

double EndpointLoad::modelMilliseconds(double tokens, double promptTokens) const
{
    return tokens * modelStep(running(), forecast_.held() + othersTokens_) + promptTokens * info_.stepCost.prefillMillisecondsPerThousandTokens / 1000.0;
}

double EndpointLoad::promptDelayMilliseconds(double promptTokens) const
{
    return calibration_ * promptTokens * info_.stepCost.prefillMillisecondsPerThousandTokens / 1000.0;
}

double EndpointLoad::answerDelayMilliseconds() const
{
    return calibration_ * info_.stepCost.perSequenceMilliseconds;
}

double EndpointLoad::urgentStepMilliseconds(double extraAnswers, double extraTokens) const
{
    return calibration_ * modelStep(running_[0] + othersRunning_ + extraAnswers, heldTokens_[0] + othersTokens_ + extraTokens);
}

double EndpointLoad::paceLimit(double pace, double margin) const
{
    const double fastest = std::max(pace, paces_.empty() ? 0.0 : paces_.rbegin()->first);
    if (fastest <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    // An engine that cannot keep the pace even alone is used as well as it can be.
    return std::max(margin * kMillisecondsPerSecond / fastest, 1.5 * modelStep(1, 0));
}

double EndpointLoad::firstTokenMilliseconds(std::uint32_t promptTokens) const
{
    const StepCost &cost = info_.stepCost;
    const double tokens = static_cast<double>(pendingPrompt_) + promptTokens;
    const double steps = 1.0 + std::ceil(tokens / std::max(1U, cost.prefillTokensPerStep));
    return calibration_ * (tokens * cost.prefillMillisecondsPerThousandTokens / 1000.0) + steps * stepMilliseconds(1, promptTokens);
}

double EndpointLoad::idleFirstTokenMilliseconds(std::uint32_t promptTokens) const
{
    const StepCost &cost = info_.stepCost;
    const double steps = std::ceil(static_cast<double>(promptTokens) / std::max(1U, cost.prefillTokensPerStep));
    return calibration_ * (promptTokens * cost.prefillMillisecondsPerThousandTokens / 1000.0 + steps * modelStep(1, promptTokens));
}

double EndpointLoad::memoryShare(const MemoryForecast::Contribution &extra, double deviations) const
{
    return memoryCapacity_ == 0 ? 0.0 : (forecast_.peakWith(extra, deviations) + othersTokens_) / static_cast<double>(memoryCapacity_);
}

double EndpointLoad::overflowProbability(const MemoryForecast::Contribution &extra) const
{
    return memoryCapacity_ == 0 ? 0.0 : forecast_.overflowProbability(extra, static_cast<double>(memoryCapacity_) - othersTokens_);
}

double EndpointLoad::heldShare(std::uint64_t furtherTokens) const
{
    const double held = forecast_.held() + othersTokens_ + static_cast<double>(furtherTokens);
    return memoryCapacity_ == 0 ? 0.0 : held / static_cast<double>(memoryCapacity_);
}

std::uint32_t EndpointLoad::running() const
{
    return running_[0] + running_[1] + static_cast<std::uint32_t>(std::lround(othersRunning_));
}

std::uint32_t EndpointLoad::running(Rank rank) const
{
    return running_[static_cast<std::size_t>(rank)];
}

std::uint32_t EndpointLoad::ownStreaming() const
{
    return running_[0] + running_[1] - awaiting_;
}

std::uint32_t EndpointLoad::awaitingFirstToken() const
{
    return awaiting_;
}

std::uint64_t EndpointLoad::pendingPromptTokens() const
{
    return pendingPrompt_;
}

} // namespace daisystream
