#include "daisystream/endpoint/endpointload.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace daisystream
{

namespace
{

// Tokens that an answer may have generated since its last progress message: about one second at a high token rate.
constexpr double kUnreportedTokens = 64;
// Weight of the latest report in the exponential moving average of the work that this scheduler did not assign.
constexpr double kOthersSmoothing = 0.5;
// Values of this average below these bounds count as zero, because the reports count whole answers and tokens. Otherwise the
// decaying average would make an idle engine look more loaded than another one for minutes.
constexpr double kMinOthersRunning = 0.05;
constexpr double kMinOthersTokens = 1;
constexpr double kMillisecondsPerSecond = 1000.0;

double zeroIfBelow(double estimate, double threshold)
{
    return estimate < threshold ? 0 : estimate;
}

} // namespace

EndpointLoad::EndpointLoad(const EndpointInfo &info)
    : info_(info)
    , memoryCapacityTokens_(info.memoryCapacityTokens)
{
}

void EndpointLoad::setInfo(const EndpointInfo &info)
{
    info_ = info;
    if (info.memoryCapacityTokens > 0) {
        memoryCapacityTokens_ = info.memoryCapacityTokens;
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
        ++awaitingFirstToken_;
        pendingPromptTokens_ += work.promptTokens;
    } else {
        ++streaming_[work.pace];
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
        --awaitingFirstToken_;
        pendingPromptTokens_ -= work.promptTokens;
    } else if (const auto streaming = streaming_.find(work.pace); --streaming->second == 0) {
        streaming_.erase(streaming);
    }
}

void EndpointLoad::firstToken(Work &work)
{
    if (work.awaitingFirstToken) {
        work.awaitingFirstToken = false;
        --awaitingFirstToken_;
        pendingPromptTokens_ -= work.promptTokens;
        ++streaming_[work.pace];
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
        memoryCapacityTokens_ = report.memoryCapacityTokens;
    }
    const double ownRunning = std::max(recentRunning_, previousRunning_);
    const double ownTokens = std::max(recentTokens_, previousTokens_) + kUnreportedTokens * ownRunning;
    const double othersRunning = std::max(0.0, static_cast<double>(report.running) + report.waiting - ownRunning);
    const double othersTokens = std::max(0.0, static_cast<double>(report.memoryUsedTokens) - ownTokens);
    othersRunning_ = zeroIfBelow(othersRunning_ + kOthersSmoothing * (othersRunning - othersRunning_), kMinOthersRunning);
    othersTokens_ = zeroIfBelow(othersTokens_ + kOthersSmoothing * (othersTokens - othersTokens_), kMinOthersTokens);
    previousRunning_ = recentRunning_;
    previousTokens_ = recentTokens_;
    recentRunning_ = running_[0] + running_[1];
    recentTokens_ = forecast_.held();
    if (report.stepMilliseconds <= 0 || report.running == 0) {
        return 0;
    }
    return report.stepMilliseconds / modelStepMilliseconds(report.running, static_cast<double>(report.memoryUsedTokens));
}

void EndpointLoad::setCalibration(double factor)
{
    calibration_ = factor;
}

double EndpointLoad::calibration() const
{
    return calibration_;
}

double EndpointLoad::modelStepMilliseconds(double answers, double tokens) const
{
    const StepCost &cost = info_.stepCost;
    return std::max(0.01, cost.baseMilliseconds + cost.perSequenceMilliseconds * answers + cost.perThousandTokensMilliseconds * tokens / 1000.0);
}

double EndpointLoad::stepMilliseconds(double extraAnswers, double extraTokens) const
{
    return calibration_ * modelStepMilliseconds(running() + extraAnswers, forecast_.held() + othersTokens_ + extraTokens);
}

double EndpointLoad::modelMilliseconds(double tokens, double promptTokens) const
{
    return tokens * modelStepMilliseconds(running(), forecast_.held() + othersTokens_)
        + promptTokens * info_.stepCost.prefillMillisecondsPerThousandTokens / 1000.0;
}

double EndpointLoad::promptDelayMilliseconds(double promptTokens) const
{
    return calibration_ * promptTokens * info_.stepCost.prefillMillisecondsPerThousandTokens / 1000.0;
}

double EndpointLoad::prefillStepMilliseconds(double promptTokens) const
{
    return stepMilliseconds(1, promptTokens) + promptDelayMilliseconds(std::min<double>(promptTokens, info_.stepCost.prefillTokensPerStep));
}

double EndpointLoad::prefillSeconds(double promptTokens) const
{
    const double steps = std::ceil(promptTokens / std::max(1U, info_.stepCost.prefillTokensPerStep));
    return (steps * stepMilliseconds(1, promptTokens) + promptDelayMilliseconds(promptTokens)) / kMillisecondsPerSecond;
}

const std::map<double, std::uint32_t> &EndpointLoad::streamingByPace() const
{
    return streaming_;
}

double EndpointLoad::answerDelayMilliseconds() const
{
    return calibration_ * info_.stepCost.perSequenceMilliseconds;
}

double EndpointLoad::urgentStepMilliseconds(double extraAnswers, double extraTokens) const
{
    return calibration_ * modelStepMilliseconds(running_[0] + othersRunning_ + extraAnswers, heldTokens_[0] + othersTokens_ + extraTokens);
}

double EndpointLoad::maxStepMilliseconds(double pace, double margin) const
{
    const double highestPace = std::max(pace, paces_.empty() ? 0.0 : paces_.rbegin()->first);
    if (highestPace <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    // An engine that misses the pace even with a single answer still gets work, up to 1.5 times its step time with one answer.
    return std::max(margin * kMillisecondsPerSecond / highestPace, 1.5 * modelStepMilliseconds(1, 0));
}

double EndpointLoad::firstTokenMilliseconds(std::uint32_t promptTokens) const
{
    const StepCost &cost = info_.stepCost;
    const double tokens = static_cast<double>(pendingPromptTokens_) + promptTokens;
    const double steps = 1.0 + std::ceil(tokens / std::max(1U, cost.prefillTokensPerStep));
    return calibration_ * (tokens * cost.prefillMillisecondsPerThousandTokens / 1000.0) + steps * stepMilliseconds(1, promptTokens);
}

double EndpointLoad::idleFirstTokenMilliseconds(std::uint32_t promptTokens) const
{
    const StepCost &cost = info_.stepCost;
    const double steps = std::ceil(static_cast<double>(promptTokens) / std::max(1U, cost.prefillTokensPerStep));
    return calibration_ * (promptTokens * cost.prefillMillisecondsPerThousandTokens / 1000.0 + steps * modelStepMilliseconds(1, promptTokens));
}

double EndpointLoad::forecastMemoryFraction(const MemoryForecast::Contribution &extra, double deviations) const
{
    return memoryCapacityTokens_ == 0 ? 0.0 : (forecast_.peakWith(extra, deviations) + othersTokens_) / static_cast<double>(memoryCapacityTokens_);
}

double EndpointLoad::overflowProbability(const MemoryForecast::Contribution &extra) const
{
    return memoryCapacityTokens_ == 0 ? 0.0 : forecast_.overflowProbability(extra, static_cast<double>(memoryCapacityTokens_) - othersTokens_);
}

double EndpointLoad::usedMemoryFraction(std::uint64_t furtherTokens) const
{
    const double held = forecast_.held() + othersTokens_ + static_cast<double>(furtherTokens);
    return memoryCapacityTokens_ == 0 ? 0.0 : held / static_cast<double>(memoryCapacityTokens_);
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
    return running_[0] + running_[1] - awaitingFirstToken_;
}

std::uint32_t EndpointLoad::awaitingFirstToken() const
{
    return awaitingFirstToken_;
}

std::uint64_t EndpointLoad::pendingPromptTokens() const
{
    return pendingPromptTokens_;
}

} // namespace daisystream
