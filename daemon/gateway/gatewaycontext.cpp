#include "daemon/gateway/gatewaycontext.h"

#include "daemon/endpoints/permitclient.h"
#include "daisystream/base/stablehash.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <unordered_map>

namespace daisystream
{
namespace
{

// Before the platform kills the process: for the final responses, the last messages to other VMs and the last lines of the log.
constexpr std::chrono::milliseconds kLastAnswerMargin{500};
// The balancer asks every second and stops after two refusals.
constexpr std::chrono::milliseconds kHandoverTime{2500};
constexpr std::chrono::milliseconds kReviewInterval{50};
constexpr std::size_t kMinPrune = 64;
// Endpoints whose speed is shown in the metrics; names of endpoints that are replaced would otherwise add up.
constexpr std::size_t kMaxSpeedSeries = 64;
// Subtracted from the time for which a leaving endpoint still accepts requests. That time starts when the endpoint tells
// the store that it is leaving; this VM learns of it later, and a request takes time to reach the endpoint.
constexpr std::chrono::milliseconds kDrainMargin{500};
// How long a leaving endpoint is remembered. It is gone well before this time is over, and its id is never reused.
constexpr std::chrono::minutes kLeavingRetention{5};
// Number of route priorities that are distinguished within one team priority. Engines support ten priority levels in total.
constexpr std::uint32_t kRoutePriorityLevels = 3;

const char *kindName(const RequestKind &kind)
{
    if (const auto *stream = std::get_if<AnswerStream>(&kind)) {
        return stream->resumable ? "resumable_stream" : "stream";
    }
    return std::holds_alternative<SafeCall>(kind) ? "safe" : "unsafe";
}

const char *outcomeName(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Answered:
        return "answered";
    case RequestOutcome::NotRun:
        return "not_run";
    case RequestOutcome::OutcomeUnknown:
        return "outcome_unknown";
    case RequestOutcome::CutOff:
        return "cut_off";
    case RequestOutcome::CallerLeft:
        break;
    }
    return "caller_left";
}

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Rank rankOf(const RoutedRequest &request)
{
    // Requests on urgent routes need little capacity, so that they are urgent even if their team is not.
    return request.priority == 0 || request.route->priority == 0 ? Rank::Urgent : Rank::Ordinary;
}

std::uint64_t permitRequestHash(const RoutedRequest &request)
{
    std::string text = request.team ? request.team->value() : "";
    text.append(1, '\0').append(request.http.target()).append(1, '\0').append(request.http.body());
    return stableHash(text);
}

std::uint32_t enginePriority(const RoutedRequest &request)
{
    return kRoutePriorityLevels * request.priority + std::min(request.route->priority, kRoutePriorityLevels - 1);
}

/// The metrics of the gateway. Only request kinds and outcomes are labels, so that the number of time series is bounded.
class GatewayContext::Series
{
public:
    explicit Series(Metrics &metrics)
        : metrics_(metrics)
        , gap(metrics.histogram("daisystream_event_gap_seconds", "Time between two events of an answer."))
        , moveTime(metrics.histogram("daisystream_move_seconds", "Time to move a running answer to another engine."))
        , moved(metrics.counter("daisystream_moves_total", "Attempts to move a running answer to another engine.", {{"outcome", "moved"}}))
        , notMoved(metrics.counter("daisystream_moves_total", "Attempts to move a running answer to another engine.", {{"outcome", "not_moved"}}))
        , redirected(metrics.counter("daisystream_redirected_total", "Assigned requests whose endpoint went out of service before they were sent."))
        , sentToLimited(metrics.counter("daisystream_limited_sends_total", "Requests sent to endpoints that state a request limit."))
    {
    }

    Counter &requests(const RequestKind &kind, RequestOutcome outcome)
    {
        return metrics_.counter("daisystream_requests_total", "Finished requests.", {{"kind", kindName(kind)}, {"outcome", outcomeName(outcome)}});
    }

    Histogram &requestTime(const RequestKind &kind)
    {
        return metrics_.histogram("daisystream_request_seconds", "Time from the arrival of a request to its end.", {{"kind", kindName(kind)}});
    }

    Histogram &firstEvent(const RequestKind &kind)
    {
        return metrics_.histogram(
            "daisystream_first_event_seconds", "Time from the arrival of a request to the first event of its answer.", {{"kind", kindName(kind)}});
    }

    /// Shows the speed of an endpoint. The caller holds the lock of the context.
    void showSpeed(const EndpointSettings &endpoint, const EndpointSpeed &speed)
    {
        const auto &name = endpoint.name.empty() ? endpoint.id.value() : endpoint.name;
        auto found = speeds_.find(name);
        if (found == speeds_.end()) {
            if (speeds_.size() >= kMaxSpeedSeries) {
                return;
            }
            const auto gauge = [&](const char *figure) {
                return &metrics_.gauge(
                    "daisystream_endpoint_speed", "Estimated speed of an endpoint of a plain service.", {{"endpoint", name}, {"figure", figure}});
            };
            found = speeds_.emplace(name, SpeedGauges{gauge("base"), gauge("slowness"), gauge("gain"), gauge("load_limit")}).first;
        }
        found->second.base->set(speed.base);
        found->second.slowness->set(speed.slowness);
        found->second.gain->set(speed.gain);
        found->second.loadLimit->set(speed.loadLimit.value_or(endpoint.slots));
    }

private:
    struct SpeedGauges
    {
        Gauge *base;
        Gauge *slowness;
        Gauge *gain;
        Gauge *loadLimit;
    };

    Metrics &metrics_;
    std::unordered_map<std::string, SpeedGauges> speeds_; ///< By name of the endpoint.

public:
    Histogram &gap;
    Histogram &moveTime;
    Counter &moved;
    Counter &notMoved;
    Counter &redirected;
    Counter &sentToLimited;
};

GatewayContext::GatewayContext(
    FrontendContext &frontend, CellDispatcher &dispatcher, const GatewayDialect &dialect, const GatewaySettings &settings, const ZoneId &zone)
    : frontend(frontend)
    , dispatcher(dispatcher)
    , dialect(dialect)
    , settings(settings)
    , zone_(zone)
    , random_(frontend.parts.seed)
    , budget_({.ratio = settings.retryRatio, .allowance = settings.retryAllowance, .window = settings.retryWindow})
    , series_(std::make_unique<Series>(frontend.parts.metrics))
{
}

GatewayContext::~GatewayContext() = default;

DecisionLine GatewayContext::startLine(std::string_view decision, const RoutedRequest &request) const
{
    DecisionLine line(decision);
    line.field("request", request.head.attempt)
        .field("work", request.id.value())
        .field("route", request.route->name.value())
        .field("team", request.team ? request.team->value() : "")
        .field("routes", std::to_string(request.table->version()));
    if (const auto age = contactAge_ ? contactAge_() : std::nullopt) {
        line.field("contact_ms", std::to_string(age->count()));
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now());
    return line.field("left_ms", std::to_string(left.count()));
}

void GatewayContext::setContactAge(std::function<std::optional<std::chrono::milliseconds>()> source)
{
    contactAge_ = std::move(source);
}

void GatewayContext::onEnded(const RoutedRequest &request, RequestOutcome outcome)
{
    series_->requests(request.route->kind, outcome).add(1);
    series_->requestTime(request.route->kind).observe(secondsOf(now() - request.arrival));
}

void GatewayContext::onFirstEvent(const RoutedRequest &request)
{
    series_->firstEvent(request.route->kind).observe(secondsOf(now() - request.arrival));
}

void GatewayContext::onEventGap(Duration gap)
{
    series_->gap.observe(secondsOf(gap));
}

void GatewayContext::onMove(Duration took, bool moved)
{
    series_->moveTime.observe(secondsOf(took));
    (moved ? series_->moved : series_->notMoved).add(1);
}

TimePoint GatewayContext::now() const
{
    return frontend.parts.clock.now();
}

std::chrono::milliseconds GatewayContext::timeUntil(TimePoint deadline) const
{
    return std::max(std::chrono::milliseconds(1), std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now()));
}

StartedCall GatewayContext::startCall(const RoutedRequest &request, const std::vector<EndpointId> &tried, bool isUrgent)
{
    const auto endpoints = dispatcher.serviceEndpoints(request.service);
    std::vector<ServiceCandidate> candidates;
    candidates.reserve(endpoints.size());
    const auto excluded = unavailable(isUrgent);
    for (const auto &endpoint : endpoints) {
        if (std::binary_search(excluded.begin(), excluded.end(), endpoint.id)) {
            continue;
        }
        candidates.push_back({.id = endpoint.id, .slots = endpoint.slots, .isNear = endpoint.zone == zone_, .isCold = endpoint.isCold});
    }
    const auto at = now();
    const std::lock_guard lock(mutex_);
    if (const auto wait = balancer_.timeUntilCapacity(candidates, request.route->name, request.deadline - at, at); wait && tried.empty()) {
        return {.endpoint = {}, .overloadedFor = std::chrono::ceil<std::chrono::milliseconds>(*wait)};
    }
    const auto chosen = balancer_.choose(candidates, tried, random_, at);
    if (!chosen) {
        return {};
    }
    balancer_.onStarted(*chosen, at);
    return {.endpoint = *std::find_if(endpoints.begin(), endpoints.end(), [&](const auto &endpoint) { return endpoint.id == *chosen; })};
}

void GatewayContext::startCallAt(const EndpointId &endpoint)
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    balancer_.onStarted(endpoint, at);
}

void GatewayContext::onCallEnded(const EndpointId &endpoint, CallResult result, const std::optional<ReportedLoad> &load)
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    balancer_.onEnded(endpoint, result, at);
    if (load) {
        balancer_.onReportedLoad(endpoint, *load, at);
    }
}

void GatewayContext::onEndpointHeaders(const EndpointId &endpoint, const EndpointHeaders &head, TimePoint sentAt)
{
    frontend.parts.permits.onAnswer(endpoint, head.requestsPerSecond, head.isVerified, sentAt);
    if (!head.isLeaving && !head.isThrottled) {
        return;
    }
    if (head.isThrottled && head.retryAfter) {
        const auto at = now();
        const std::lock_guard lock(mutex_);
        cooldowns_.startCooldown(endpoint, *head.retryAfter, at);
    }
    if (head.isThrottled) {
        DecisionLine("rest").field("choice", endpoint.value()).field("retry_ms", std::to_string(head.retryAfter->count())).write();
    }
    if (head.isLeaving && leavingHandler_) {
        leavingHandler_(endpoint);
    }
}

std::string GatewayContext::limitText(const EndpointId &endpoint)
{
    const auto limit = frontend.parts.permits.limit(endpoint);
    return limit ? std::to_string(*limit) : "";
}

void GatewayContext::onSent(const EndpointId &endpoint)
{
    if (frontend.parts.permits.limit(endpoint)) {
        series_->sentToLimited.add(1);
    }
}

void GatewayContext::setLeavingHandler(std::function<void(const EndpointId &)> handler)
{
    leavingHandler_ = std::move(handler);
}

bool GatewayContext::isInCooldown(const EndpointId &endpoint)
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    return cooldowns_.isInCooldown(endpoint, at);
}

std::vector<EndpointId> GatewayContext::endpointsInCooldown()
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    return cooldowns_.endpointsInCooldown(at);
}

std::vector<EndpointId> GatewayContext::unavailable(bool isUrgent)
{
    const auto inCooldown = endpointsInCooldown();
    const auto full = frontend.parts.permits.fullEndpoints(isUrgent);
    std::vector<EndpointId> all;
    std::set_union(inCooldown.begin(), inCooldown.end(), full.begin(), full.end(), std::back_inserter(all));
    return all;
}

std::optional<std::chrono::milliseconds> GatewayContext::timeUntilAvailable(const std::vector<EndpointSettings> &endpoints)
{
    const auto at = now();
    std::optional<TimePoint> first;
    const std::lock_guard lock(mutex_);
    for (const auto &endpoint : endpoints) {
        const auto end = cooldowns_.end(endpoint.id, at);
        if (!end) {
            return std::nullopt;
        }
        first = std::min(first.value_or(*end), *end);
    }
    return first ? std::optional(std::chrono::ceil<std::chrono::milliseconds>(*first - at)) : std::nullopt;
}

void GatewayContext::countRequest(const ServiceId &service)
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    budget_.onRequest(service, at);
}

bool GatewayContext::tryConsumeRetry(const ServiceId &service)
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    return budget_.tryRetry(service, at);
}

void GatewayContext::setVms(std::size_t count)
{
    const std::lock_guard lock(mutex_);
    budget_.setVms(count);
}

std::shared_ptr<void> GatewayContext::watchEndpoint(const EndpointId &endpoint, std::function<void()> onLeaving)
{
    auto watch = std::make_shared<std::function<void()>>(std::move(onLeaving));
    const std::lock_guard lock(mutex_);
    std::erase_if(watches_, [](const auto &entry) { return entry.second.expired(); });
    watches_.emplace(endpoint, watch);
    return watch;
}

void GatewayContext::announceLeaving(const std::vector<EndpointId> &endpoints)
{
    std::vector<std::shared_ptr<std::function<void()>>> called;
    const auto at = now();
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(leavingSince_, [&](const auto &entry) {
            const bool isGone = at - entry.second > kLeavingRetention;
            if (isGone) {
                balancer_.remove(entry.first);
            }
            return isGone;
        });
        for (const auto &endpoint : endpoints) {
            leavingSince_.emplace(endpoint, at);
            const auto [begin, end] = watches_.equal_range(endpoint);
            for (auto entry = begin; entry != end; ++entry) {
                if (auto watch = entry->second.lock()) {
                    called.push_back(std::move(watch));
                }
            }
        }
    }
    for (const auto &watch : called) {
        (*watch)();
    }
}

void GatewayContext::onInService(const std::vector<EndpointId> &endpoints)
{
    const std::lock_guard lock(mutex_);
    for (const auto &endpoint : endpoints) {
        leavingSince_.erase(endpoint);
    }
}

TimePoint GatewayContext::beginShutdown()
{
    const auto at = now();
    const auto last = at + settings.graceTime - kLastAnswerMargin;
    {
        const std::lock_guard lock(mutex_);
        shutdownAdmission_.begin({.handoverEnd = at + kHandoverTime, .lastAnswer = last});
        lastAnswer_ = last;
    }
    boost::asio::spawn(
        frontend.io,
        [this](boost::asio::yield_context yield) {
            boost::asio::steady_timer timer(frontend.io);
            for (;;) {
                reviewShutdown();
                timer.expires_after(kReviewInterval);
                timer.async_wait(yield);
            }
        },
        boost::asio::detached);
    return last;
}

void GatewayContext::reviewShutdown()
{
    std::vector<std::weak_ptr<std::function<void()>>> watches;
    {
        const std::lock_guard lock(mutex_);
        watches = shutdownWatches_;
    }
    for (const auto &weak : watches) {
        if (const auto watch = weak.lock()) {
            (*watch)();
        }
    }
}

std::shared_ptr<void> GatewayContext::watchShutdown(std::function<void()> onReview)
{
    auto watch = std::make_shared<std::function<void()>>(std::move(onReview));
    const std::lock_guard lock(mutex_);
    if (shutdownWatches_.size() >= nextPrune_) {
        std::erase_if(shutdownWatches_, [](const auto &entry) { return entry.expired(); });
        nextPrune_ = std::max(kMinPrune, 2 * shutdownWatches_.size());
    }
    shutdownWatches_.push_back(watch);
    return watch;
}

void GatewayContext::endAdmission()
{
    const std::lock_guard lock(mutex_);
    admissionEnded_ = true;
}

void GatewayContext::cutAnswers()
{
    {
        const std::lock_guard lock(mutex_);
        isCutting_ = true;
    }
    reviewShutdown();
}

bool GatewayContext::canServe(const RoutedRequest &request)
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    if (admissionEnded_ || !lastAnswer_) {
        return !admissionEnded_;
    }
    const std::uint64_t tokensPerEvent = request.engine != nullptr ? std::max(1U, request.engine->tokensPerEvent) : 1;
    return shutdownAdmission_.canServe({.route = request.route->name,
                                        .kind = request.route->kind,
                                        .arrival = request.arrival,
                                        .deadline = request.deadline,
                                        .goal = request.route->goal,
                                        .maxEvents = (request.head.maxOutputTokens + tokensPerEvent - 1) / tokensPerEvent},
                                       at);
}

ShutdownPhase GatewayContext::shutdownPhase()
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    if (!lastAnswer_) {
        return ShutdownPhase::None;
    }
    if (isCutting_) {
        return ShutdownPhase::Cutting;
    }
    return at < *lastAnswer_ ? ShutdownPhase::Stopping : ShutdownPhase::Answering;
}

void GatewayContext::onCallTime(const RoutedRequest &request, Duration took)
{
    const std::lock_guard lock(mutex_);
    shutdownAdmission_.onCall(request.route->name, took);
}

void GatewayContext::onSpeedSample(const RoutedRequest &request, const EndpointSettings &endpoint, const std::optional<ReportedLoad> &load, Duration took)
{
    const auto at = now();
    SpeedSample sample{.service = request.service, .route = request.route->name, .took = took, .goal = request.route->goal, .slots = endpoint.slots};
    if (load) {
        sample.calls = load->running + load->waiting;
        sample.slots = load->slots > 0 ? load->slots : endpoint.slots;
        sample.slownessPercent = load->slownessPercent;
    }
    std::optional<double> relative;
    EndpointSpeed speed;
    {
        const std::lock_guard lock(mutex_);
        relative = balancer_.onSpeedSample(endpoint.id, sample, at);
        speed = balancer_.speed(endpoint.id, at);
        series_->showSpeed(endpoint, speed);
    }
    if (sample.slownessPercent && slownessHandler_) {
        SlownessReport report{.endpoint = endpoint.id, .percent = *sample.slownessPercent, .at = at};
        if (relative) {
            report.relativePercent = static_cast<std::uint32_t>(std::lround(100 * *relative));
        }
        slownessHandler_(report);
    }
}

void GatewayContext::onSlowness(const SlownessReport &report)
{
    const std::lock_guard lock(mutex_);
    balancer_.onSlowness(report.endpoint, report.percent, report.at, report.gainPercent ? std::optional(*report.gainPercent / 100.0) : std::nullopt);
}

void GatewayContext::setSlownessHandler(std::function<void(const SlownessReport &)> handler)
{
    slownessHandler_ = std::move(handler);
}

EndpointSpeed GatewayContext::speed(const EndpointId &endpoint)
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    return balancer_.speed(endpoint, at);
}

void GatewayContext::onAnswerTime(const RoutedRequest &request, Duration untilFirst, Duration gap)
{
    const std::lock_guard lock(mutex_);
    shutdownAdmission_.onAnswer(request.route->name, untilFirst, gap);
}

void GatewayContext::countRedirect()
{
    series_->redirected.add(1);
}

void GatewayContext::countStopRefusal()
{
    ++stopRefusals_;
}

std::uint64_t GatewayContext::stopRefusals() const
{
    return stopRefusals_;
}

bool GatewayContext::mayResumeAt(const EndpointId &endpoint)
{
    const auto at = now();
    const std::lock_guard lock(mutex_);
    const auto leaving = leavingSince_.find(endpoint);
    return leaving == leavingSince_.end() || at + kDrainMargin < leaving->second + settings.drainTime;
}

bool GatewayContext::isLeaving(const EndpointId &endpoint) const
{
    return dispatcher.isLeaving(endpoint);
}

bool GatewayContext::isWithdrawn(const EndpointId &endpoint) const
{
    return dispatcher.isWithdrawn(endpoint);
}

bool GatewayContext::isInService(const EndpointId &endpoint) const
{
    return dispatcher.isInService(endpoint);
}

} // namespace daisystream
