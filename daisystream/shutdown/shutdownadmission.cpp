#include "daisystream/shutdown/shutdownadmission.h"

#include <algorithm>

namespace daisystream
{

namespace
{

constexpr std::chrono::milliseconds kMinTimeForCall{2000};
// Part of the difference by which a recorded time approaches a shorter one. A longer one is taken over at once.
constexpr int kDecayDivisor = 16;
// Added to recorded times, as a part of them.
constexpr int kMarginDivisor = 10;
// Routes whose times are kept. When another one comes, a route is forgotten and treated like one without recent requests.
constexpr std::size_t kMaxRoutes = 1024;

void raiseOrDecay(Duration &recorded, Duration latest)
{
    recorded = latest >= recorded ? latest : recorded - (recorded - latest) / kDecayDivisor;
}

Duration withMargin(Duration time)
{
    return time + time / kMarginDivisor;
}

} // namespace

void ShutdownAdmission::record(const RouteName &route, const RouteTimes &times)
{
    if (times_.size() >= kMaxRoutes && !times_.contains(route)) {
        times_.erase(times_.begin());
    }
    const auto [entry, isNew] = times_.emplace(route, times);
    if (!isNew) {
        raiseOrDecay(entry->second.first, times.first);
        raiseOrDecay(entry->second.gap, times.gap);
    }
}

void ShutdownAdmission::onCall(const RouteName &route, Duration took)
{
    record(route, {.first = took, .gap = {}});
}

void ShutdownAdmission::onAnswer(const RouteName &route, Duration untilFirst, Duration gap)
{
    record(route, {.first = untilFirst, .gap = gap});
}

std::optional<RouteTimes> ShutdownAdmission::recentTimes(const RouteName &route) const
{
    const auto found = times_.find(route);
    return found == times_.end() ? std::nullopt : std::optional(found->second);
}

void ShutdownAdmission::begin(const ShutdownTimes &times)
{
    shutdown_ = times;
}

bool ShutdownAdmission::canServe(const ShutdownRequest &request, TimePoint now) const
{
    if (!shutdown_) {
        return true;
    }
    if (now >= shutdown_->lastAnswer) {
        return false;
    }
    if (request.deadline <= shutdown_->lastAnswer) {
        return true;
    }
    if (const auto *stream = std::get_if<AnswerStream>(&request.kind)) {
        return canFinish(*stream, request, now);
    }
    const auto recent = recentTimes(request.route);
    const Duration needed = std::max<Duration>(kMinTimeForCall, recent ? withMargin(recent->first) : Duration(0));
    return now + needed <= shutdown_->lastAnswer;
}

bool ShutdownAdmission::canFinish(const AnswerStream &kind, const ShutdownRequest &request, TimePoint now) const
{
    if (request.maxEvents == 0) {
        return false;
    }
    const auto events = static_cast<Duration::rep>(request.maxEvents);
    const auto recent = recentTimes(request.route);
    const auto first = recent ? withMargin(recent->first) : Duration(0);
    const auto gap = recent ? withMargin(recent->gap) : Duration(0);
    // An answer that is on time ends by then, also if its endpoint is as slow as its objectives permit.
    const auto latestEnd = std::max(request.arrival + request.goal, now + first) + events * std::max<Duration>(kind.maxEventGap, gap);
    if (kind.maxEventGap.count() > 0 && latestEnd <= shutdown_->lastAnswer) {
        return true;
    }
    return kind.resumable && recent && now < shutdown_->handoverEnd && now + first + events * gap <= shutdown_->lastAnswer;
}

} // namespace daisystream
