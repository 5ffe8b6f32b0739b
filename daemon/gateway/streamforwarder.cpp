#include "daemon/gateway/streamforwarder.h"

#include "daemon/endpoints/endpointexchange.h"
#include "daemon/endpoints/permitclient.h"
#include "daemon/endpoints/promptguard.h"
#include "daemon/endpoints/ssereader.h"
#include "daemon/gateway/answermove.h"
#include "daemon/gateway/gatewayreply.h"
#include "daemon/status/decisionlog.h"
#include "daisystream/base/stablehash.h"
#include "daisystream/forwarding/forwardingstate.h"
#include "daisystream/forwarding/responsemeaning.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <sstream>

namespace daisystream
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t kMaxErrorBytes = 1U << 20U;
constexpr milliseconds kConnectTimeout{500};
// A resumable answer is continued by another run when its engine sends no event for this many times the longest allowed gap
// (`AnswerStream::maxEventGap`). Other answers wait until the deadline: an engine that preempted the answer may be silent for
// seconds, and a dead engine is detected by its broken connection.
constexpr int kSilenceLimitGaps = 6;
constexpr milliseconds kMinSilenceLimit{1500};
// The silence limit before the first event, in response-time objectives (`Route::goal`): callers give up after 4.
constexpr int kSilenceLimitGoals = 4;
// Latest time at which a first event is still useful, in response-time objectives after the arrival. Callers wait for 4; the
// difference covers network latency and engines that are slower than forecast.
constexpr double kFirstEventLimitGoals = 3.5;
constexpr milliseconds kProgressInterval{200};
constexpr milliseconds kRetryAfterFailure{300};
// Connect timeout at the target of a move. It is short because the caller waits for the first event of the new run.
constexpr milliseconds kMovedConnectTimeout{300};
constexpr milliseconds kMoveTimeout{8000};
// Minimum time between the starts of two moves of an answer whose leaving engine still generates it.
constexpr milliseconds kMoveRetryInterval{300};
constexpr double kMillisecondsPerSecond = 1000;
// Events after which a request counts as begun: an engine may crash right after the first one.
constexpr std::uint64_t kEventsToBegin = 2;
// A moved answer has lost its engine already, so that it waits longer for a permit.
constexpr milliseconds kMovedPermitWait{1500};

/// How one run of the answer ended.
enum class RunEnd : std::uint8_t {
    Complete,   ///< No further run may follow: the answer is complete, or no engine was assigned.
    Moved,      ///< The answer was stopped to resume at another engine.
    Failed,     ///< The run failed; the forwarding state determines whether another one may follow.
    CallerLeft, ///< The caller disconnected.
};

/// Forwards a single answer, with its moves and further runs.
class Stream : public std::enable_shared_from_this<Stream>
{
public:
    Stream(GatewayContext &gateway, HttpConnection &connection, const RoutedRequest &request)
        : gateway_(gateway)
        , connection_(connection)
        , request_(request)
        , kind_(std::get<AnswerStream>(request.route->kind))
        , state_(request.route->kind, request.route->attempts)
        , requester_(gateway)
        , workId_(request.id)
    {
    }

    void run(asio::yield_context yield)
    {
        connection_.watchPeer([self = shared_from_this()] { self->onCallerLeft(); });
        const auto shutdownWatch = watchShutdown();
        gateway_.countRequest(request_.service);
        auto end = RunEnd::Failed;
        const auto verdict = guard().admit(request_.head.sharedParts);
        if (const auto *refusal = std::get_if<Error>(&verdict)) {
            failure_ = *refusal;
            refused_ = true;
            end = RunEnd::Complete;
        } else {
            isTrial_ = std::get<PartsAdmitted>(verdict).isTrial;
        }
        while (end == RunEnd::Failed && mayRunAgain()) {
            end = runOnce(yield);
        }
        endpointWatch_.reset();
        if (move_) {
            move_->cancel();
        }
        connection_.stopWatching();
        finish(yield);
        exchange_.reset();
    }

private:
    [[nodiscard]] PromptGuard &guard() const
    {
        return gateway_.frontend.parts.promptGuard;
    }

    void onCallerLeft()
    {
        callerLeft_ = true;
        requester_.cancelRequest({ResultCode::CallerLeft, "the caller disconnected", {}});
        if (exchange_) {
            exchange_->abort();
        }
    }

    [[nodiscard]] bool mayRunAgain()
    {
        if (callerLeft_ || isCutByShutdown_ || gateway_.now() >= request_.deadline || (!state_.mayRetry() && !state_.mayContinue())) {
            return false;
        }
        if (state_.sent() > 0 && !recalled_ && lastFailedEngine_ && !guard().mayRepeat(request_.head.sharedParts, *lastFailedEngine_)) {
            failure_.detail += "; other engines crashed under requests with a part of this prompt";
            return false;
        }
        if (state_.sent() > 0 && !recalled_ && !gateway_.tryConsumeRetry(request_.service)) {
            failure_.detail += "; the retry budget is exhausted";
            return false;
        }
        return true;
    }

    /// @return what the dispatcher needs to know to assign an engine. Once the caller has part of the answer, the objective for
    ///     the first event counts from now instead of the request's arrival.
    [[nodiscard]] WorkRequest work() const
    {
        const auto &engine = *request_.engine;
        const double pace = kind_.maxEventGap.count() > 0 ? kMillisecondsPerSecond * engine.tokensPerEvent / static_cast<double>(kind_.maxEventGap.count()) : 0;
        return {.id = workId_,
                .team = request_.team.value_or(TeamId("public")),
                .entry = gateway_.frontend.parts.peers.self(),
                .rank = rankOf(request_),
                .model = ModelId(request_.service.value()),
                .promptTokens = request_.head.promptTokens,
                .maxOutputTokens = request_.head.maxOutputTokens,
                .weight = 1,
                .paceTokensPerSecond = pace,
                .firstTokenDeadline = std::min(request_.deadline, (started_ ? gateway_.now() : request_.arrival) + request_.route->goal),
                .lastUsefulFirstToken
                = std::min(request_.deadline, request_.arrival + std::chrono::duration_cast<Duration>(kFirstEventLimitGoals * request_.route->goal)),
                .arrival = request_.arrival,
                .prefixHash = request_.head.prefixHash,
                .lengthClass = request_.route->name.value(),
                .mayRepeat = kind_.resumable,
                .avoids = lastFailedEngine_,
                .barred = gateway_.unavailable(rankOf(request_) == Rank::Urgent),
                .mayMove = kind_.resumable};
    }

    /// Requests an engine and relays the answer from it, and from the engines that the answer is moved to.
    RunEnd runOnce(asio::yield_context yield)
    {
        if (const auto rest = gateway_.timeUntilAvailable(gateway_.dispatcher.enginesFor(ModelId(request_.service.value())))) {
            failure_ = {ResultCode::EndpointRefused, "every engine asked this VM to send nothing for a time", *rest};
            refused_ = true;
            return RunEnd::Complete;
        }
        const auto blockWatch = watchBlocks();
        if (const auto ended = assignEngine(yield)) {
            return *ended;
        }
        auto end = runAtEndpoint(std::nullopt, yield);
        while (end == RunEnd::Moved) {
            end = continueMoved(yield);
        }
        const auto reason = end == RunEnd::Complete ? FinishReason::Complete
            : recalled_                             ? FinishReason::MovedAway
            : end == RunEnd::CallerLeft             ? FinishReason::Cancelled
                                                    : FinishReason::Failed;
        gateway_.dispatcher.onFinished(workId_, tokens(), provenNotRun_ && reason == FinishReason::Complete ? FinishReason::MovedAway : reason);
        return end;
    }

    /// Sets `endpoint_` to an engine that is assigned to the request and takes it within its request limit.
    /// @return how the run ends if there is none.
    [[nodiscard]] std::optional<RunEnd> assignEngine(asio::yield_context yield)
    {
        std::vector<EndpointId> denied; // Engines of which this run got no permit.
        for (;;) {
            std::optional<EndpointId> permitted;
            auto wanted = work();
            wanted.barred.insert(wanted.barred.end(), denied.begin(), denied.end());
            if (const auto limited = limitedEngines(wanted.barred)) {
                const auto reply = waitInLine(*limited, yield);
                if (const auto *error = std::get_if<Error>(&reply)) {
                    failure_ = *error;
                    refused_ = true;
                    return callerLeft_ ? RunEnd::CallerLeft : RunEnd::Complete;
                }
                permitted = std::get<EndpointId>(reply);
                std::erase(wanted.barred, *permitted);
            }
            const auto askedAt = gateway_.now();
            const auto reply = requester_.ask(wanted, request_.deadline, yield);
            if (const auto *error = std::get_if<Error>(&reply)) {
                failure_ = *error;
                refused_ = true;
                return callerLeft_ ? RunEnd::CallerLeft : RunEnd::Complete;
            }
            const auto &assign = std::get<Assign>(reply);
            const auto endpoint = gateway_.dispatcher.findEndpoint(assign.endpoint);
            const bool isInCooldown = endpoint && gateway_.isInCooldown(endpoint->id); // May have changed while waiting for the assignment.
            if (!endpoint || isInCooldown || callerLeft_) {
                gateway_.dispatcher.onFinished(workId_, 0, FinishReason::MovedAway);
                failure_ = {ResultCode::NoEndpoint,
                            "endpoint " + assign.endpoint.value() + (isInCooldown ? " asked this VM to send nothing for a time" : " has left"),
                            kRetryAfterFailure};
                return callerLeft_ ? RunEnd::CallerLeft : RunEnd::Failed;
            }
            if (!gateway_.isInService(endpoint->id)) {
                // Its zone was taken out of service, or it began to drain, after the owner had decided.
                gateway_.dispatcher.onFinished(workId_, 0, FinishReason::MovedAway);
                gateway_.countRedirect();
                denied.push_back(endpoint->id);
                continue;
            }
            if (auto refusal = blockOfParts()) {
                gateway_.dispatcher.onFinished(workId_, 0, FinishReason::MovedAway);
                failure_ = std::move(*refusal);
                refused_ = true;
                return RunEnd::Complete;
            }
            if (!mayBegin()) {
                gateway_.dispatcher.onFinished(workId_, 0, FinishReason::MovedAway);
                failure_ = shuttingDownError();
                refused_ = true;
                return RunEnd::Complete;
            }
            const bool holdsPermit = permitted == endpoint->id && gateway_.now() - askedAt <= kPermitLifetime;
            const bool isPermitted = holdsPermit || !gateway_.frontend.parts.permits.acquire(permitFor(endpoint->id), yield);
            const bool isInService = gateway_.isInService(endpoint->id); // May have changed while waiting for the permit.
            if (isPermitted && isInService && !callerLeft_) {
                endpoint_ = *endpoint;
                return std::nullopt;
            }
            if (!isInService) {
                gateway_.countRedirect();
            }
            gateway_.dispatcher.onFinished(workId_, 0, FinishReason::MovedAway);
            if (callerLeft_) {
                return RunEnd::CallerLeft;
            }
            denied.push_back(endpoint->id);
        }
    }

    [[nodiscard]] PermitRequest permitFor(const EndpointId &endpoint) const
    {
        return {.endpoint = endpoint,
                .attempt = stableHash(request_.id.value()),
                .request = permitRequestHash(request_),
                .isUrgent = rankOf(request_) == Rank::Urgent};
    }

    /// @return the engines with a request limit, if no engine takes the request without waiting.
    [[nodiscard]] std::optional<std::vector<EndpointId>> limitedEngines(const std::vector<EndpointId> &barred) const
    {
        std::vector<EndpointId> limited;
        if (barred.empty()) {
            return std::nullopt;
        }
        for (const auto &engine : gateway_.dispatcher.enginesFor(ModelId(request_.service.value()))) {
            if (std::find(barred.begin(), barred.end(), engine.id) == barred.end()) {
                return std::nullopt;
            }
            if (gateway_.frontend.parts.permits.limit(engine.id) && !gateway_.isInCooldown(engine.id)) {
                limited.push_back(engine.id);
            }
        }
        return limited.empty() ? std::nullopt : std::optional(std::move(limited));
    }

    [[nodiscard]] Result<EndpointId> waitInLine(const std::vector<EndpointId> &engines, asio::yield_context yield)
    {
        const auto left = gateway_.timeUntil(request_.deadline);
        return gateway_.frontend.parts.permits.waitInLine({.endpoints = engines,
                                                           .attempt = stableHash(request_.id.value()),
                                                           .request = permitRequestHash(request_),
                                                           .isUrgent = rankOf(request_) == Rank::Urgent,
                                                           .maxWait = std::min(left, request_.route->goal) / kMaxPermitWaitDivisor,
                                                           .patience = started_ ? milliseconds(0) : left / kReturnDivisor},
                                                          yield);
    }

    /// @return whether the answer has begun, or can still be completed if it begins now.
    [[nodiscard]] bool mayBegin()
    {
        return started_ || gateway_.canServe(request_);
    }

    /// Reacts to the shutdown of this VM as long as it lasts.
    /// @return keeps the callback registered.
    [[nodiscard]] std::shared_ptr<void> watchShutdown()
    {
        return gateway_.watchShutdown([weak = weak_from_this(), executor = strandOf(connection_.executor())] {
            asio::post(executor, [weak] {
                if (const auto self = weak.lock()) {
                    self->onShutdownReview();
                }
            });
        });
    }

    /// Cancels the wait for an engine once the answer could not be completed in time, so that another VM can serve the request. At the
    /// end, gives up an answer that has not begun, and breaks off one that has.
    void onShutdownReview()
    {
        if (!mayBegin()) {
            requester_.cancelRequest(shuttingDownError());
        }
        const auto phase = gateway_.shutdownPhase();
        if (phase >= ShutdownPhase::Answering && !started_ && !ended_) {
            isCutByShutdown_ = true;
            if (exchange_) {
                exchange_->abort();
            }
        }
        if (phase == ShutdownPhase::Cutting && started_ && !ended_) {
            isCutByShutdown_ = true;
            connection_.stopWatching();
            connection_.abort();
            requester_.cancelRequest(shuttingDownError());
            if (exchange_) {
                exchange_->abort();
            }
        }
    }

    /// @return the error if a part of the prompt was blocked since the request was admitted.
    [[nodiscard]] std::optional<Error> blockOfParts() const
    {
        return isTrial_ ? std::nullopt : guard().check(request_.head.sharedParts);
    }

    /// Cancels the wait for an engine when a part of the prompt is blocked.
    /// @return keeps the callback registered.
    [[nodiscard]] std::shared_ptr<void> watchBlocks()
    {
        if (request_.head.sharedParts.empty()) {
            return nullptr;
        }
        return guard().watchBlocks([weak = weak_from_this(), executor = strandOf(connection_.executor())] {
            asio::post(executor, [weak] {
                const auto self = weak.lock();
                if (const auto refusal = self ? self->blockOfParts() : std::nullopt) {
                    self->requester_.cancelRequest(*refusal);
                }
            });
        });
    }

    /// Waits for the end of the move and resumes the answer at its target engine, or at the source if the target fails before
    /// its first event.
    RunEnd continueMoved(asio::yield_context yield)
    {
        const auto moved = move_->wait(yield);
        const bool hadEnded = move_->answerHadEnded();
        move_.reset();
        if (callerLeft_) {
            return RunEnd::CallerLeft;
        }
        if (!moved && hadEnded && endedAfterEvent_) {
            return complete(yield);
        }
        const auto source = endpoint_.id;
        if (!moved || (moved->target.id == source && !mayResumeAtSource(source))) {
            failure_ = {ResultCode::EndpointReclaimed, "endpoint " + source.value() + " is leaving and the answer could not be moved", kRetryAfterFailure};
            return RunEnd::Failed;
        }
        gateway_.dispatcher.onFinished(workId_, tokens(), FinishReason::MovedAway);
        workId_ = moved->workId;
        endpoint_ = moved->target;
        awaitsFirstEvent_ = true;
        deliveredInRun_ = false;
        auto end = RunEnd::Failed;
        if (hasPermitForMove(endpoint_.id, yield) && !avoidsTarget(endpoint_.id)) {
            end = runAtEndpoint(moved->memory, yield);
        }
        const bool isAtSource = moved->target.address == moved->memory.holder;
        if (end != RunEnd::Failed || deliveredInRun_ || callerLeft_ || isAtSource || !mayResumeAtSource(source)) {
            return end;
        }
        // The source has stopped the answer but still keeps its memory, so that the answer can resume there.
        endpoint_.address = moved->memory.holder;
        endpoint_.name.clear();
        return hasPermitForMove(source, yield) ? runAtEndpoint(moved->memory, yield) : RunEnd::Failed;
    }

    /// @return whether a moved answer goes elsewhere because the zone of its target went out of service during the copy. An answer that
    ///     cannot be started again resumes there nevertheless, since it would be lost and the zone is still in its grace period.
    [[nodiscard]] bool avoidsTarget(const EndpointId &target) const
    {
        return kind_.resumable && gateway_.isWithdrawn(target);
    }

    /// @return whether the answer may resume at the engine that it was moved from. Its zone may have been out of service for long.
    [[nodiscard]] bool mayResumeAtSource(const EndpointId &source)
    {
        return gateway_.mayResumeAt(source) && !gateway_.isWithdrawn(source);
    }

    /// @return whether a moved answer may be sent to an endpoint.
    [[nodiscard]] bool hasPermitForMove(const EndpointId &endpoint, asio::yield_context yield)
    {
        auto &permits = gateway_.frontend.parts.permits;
        if (!permits.acquire(permitFor(endpoint), yield)) {
            return true;
        }
        const LineRequest line{.endpoints = {endpoint},
                               .attempt = stableHash(workId_.value()),
                               .request = stableHash(workId_.value()),
                               .isUrgent = true,
                               .maxWait = kMovedPermitWait};
        const auto reply = permits.waitInLine(line, yield);
        if (const auto *error = std::get_if<Error>(&reply)) {
            failure_ = *error;
            return false;
        }
        return !callerLeft_;
    }

    /// Sends the request to `endpoint_` and relays the response.
    /// @param memory the copy that the run resumes from; nothing if the run computes the prompt itself.
    RunEnd runAtEndpoint(const std::optional<AnswerMemory> &memory, asio::yield_context yield)
    {
        exchange_ = std::make_shared<EndpointExchange>(connection_.executor(), endpoint_.address);
        recalled_ = false;
        deliveredInRun_ = false;
        begunInRun_ = memory.has_value();
        endedAfterEvent_ = false;
        eventsOfRun_ = 0;
        provenNotRun_ = false;
        proof_ = "none";
        reader_ = SseReader();
        registerCancel();
        sentAt_ = gateway_.now();
        const auto left = gateway_.timeUntil(request_.deadline);
        const EndpointOptions options{.endpointName = endpoint_.name,
                                      .timeLeft = left,
                                      .team = request_.team,
                                      .priority = enginePriority(request_),
                                      .lastEvent = lastEvent_.empty() ? std::nullopt : std::optional(lastEvent_),
                                      .memory = memory};
        const auto connectTime = memory ? kMovedConnectTimeout : kConnectTimeout;
        const auto fault
            = exchange_->open(gateway_.dialect.toEndpoint(request_.http, options), {.connect = std::min(left, connectTime), .header = silenceLimit()}, yield);
        if (exchange_->bytesSent()) {
            gateway_.onSent(endpoint_.id);
        }
        if (exchange_->bytesSent() && !memory) {
            state_.onSent();
        }
        const auto end = fault ? onRunFailed(*fault) : relay(yield);
        endpointWatch_.reset();
        gateway_.frontend.clearCancel(workId_);
        log(end);
        return end;
    }

    /// Lets the scheduler cancel this run as long as no event of the answer was delivered; the request is then assigned again.
    void registerCancel()
    {
        gateway_.frontend.setCancel(workId_, [weak = weak_from_this(), executor = strandOf(connection_.executor())] {
            asio::post(executor, [weak] {
                const auto self = weak.lock();
                if (self && self->lastEvent_.empty() && self->exchange_) {
                    self->recalled_ = true;
                    self->exchange_->abort();
                }
            });
        });
    }

    [[nodiscard]] milliseconds silenceLimitBeforeFirstEvent() const
    {
        return std::max(kMinSilenceLimit, kSilenceLimitGoals * request_.route->goal);
    }

    [[nodiscard]] milliseconds silenceLimit() const
    {
        const auto left = gateway_.timeUntil(request_.deadline);
        if (!kind_.resumable) {
            return left;
        }
        const auto allowed = lastEvent_.empty() ? silenceLimitBeforeFirstEvent() : std::max(kMinSilenceLimit, kSilenceLimitGaps * kind_.maxEventGap);
        return std::min(allowed, left);
    }

    RunEnd relay(asio::yield_context yield)
    {
        const auto head = gateway_.dialect.readEndpoint(exchange_->response());
        proof_ = proofText(head);
        slownessPercent_ = head.load ? head.load->slownessPercent.value_or(0) : 0;
        slownessReadAt_ = gateway_.now();
        gateway_.onEndpointHeaders(endpoint_.id, head, sentAt_);
        const bool isForOtherRequest = !head.attempt.empty() && head.attempt != request_.head.attempt;
        const auto meaning = meaningOf(factsOf(exchange_->response().result_int(), head, isForOtherRequest));
        if (exchange_->response().result() != http::status::ok || meaning != ResponseMeaning::Success) {
            return relayErrorResponse(meaning, yield);
        }
        if (request_.http.method() == http::verb::head) {
            return relayHeader(yield);
        }
        lastEventOfRunAt_ = gateway_.now();
        for (;;) {
            // Only complete events count as progress. An engine that occasionally sends bytes without completing an event is
            // treated as silent, but an engine that needs longer for its next event is not cut off before the silence limit.
            const auto timeLimit
                = silenceLimit() - std::chrono::duration_cast<milliseconds>(kind_.resumable ? gateway_.now() - lastEventOfRunAt_ : Duration(0));
            if (timeLimit.count() <= 0 || gateway_.now() >= request_.deadline) {
                return onRunFailed({.kind = ExchangeFault::Kind::Silent, .detail = "no complete event within the silence limit"});
            }
            auto part = exchange_->read(timeLimit, yield);
            if (const auto *fault = std::get_if<ExchangeFault>(&part)) {
                return onRunFailed(*fault);
            }
            reader_.feed(std::get<std::string>(part));
            if (!deliver(yield)) {
                return RunEnd::CallerLeft;
            }
            if (reader_.failed()) {
                return onRunFailed({.kind = ExchangeFault::Kind::Malformed, .detail = "an event exceeds the size limit"});
            }
            if (exchange_->isComplete()) {
                return endOfStream(yield);
            }
        }
    }

    /// Sends the response to a HEAD request, which has no events.
    RunEnd relayHeader(asio::yield_context yield)
    {
        ended_ = true;
        markBegun();
        state_.onAttemptEnded(AttemptEnd::Answered);
        connection_.write(gateway_.dialect.toCaller(exchange_->response()), yield);
        return RunEnd::Complete;
    }

    /// Sends the complete events that the reader has buffered to the caller.
    /// @return false if the caller has disconnected.
    bool deliver(asio::yield_context yield)
    {
        std::uint64_t count = 0;
        while (const auto event = reader_.next()) {
            if (!event->id.empty()) {
                lastEvent_ = event->id;
                ++count;
            }
        }
        const std::string events = reader_.takeRaw();
        if (events.empty()) {
            return true;
        }
        if (!started_) {
            started_ = true;
            state_.onDelivered();
            if (!connection_.startStream(gateway_.dialect.toCaller(exchange_->response()), yield)) {
                return markCallerLeft();
            }
        }
        deliveredInRun_ = true;
        if (!connection_.writeEvents(events, yield)) {
            return markCallerLeft();
        }
        const auto now = gateway_.now();
        if (events_ == 0) {
            firstEventAt_ = now;
            gateway_.onFirstEvent(request_);
        } else if (count > 0) {
            longestGap_ = std::max(longestGap_, now - lastEventAt_);
            gateway_.onEventGap(now - lastEventAt_);
        }
        lastEventAt_ = now;
        lastEventOfRunAt_ = count > 0 ? now : lastEventOfRunAt_;
        events_ += count;
        eventsOfRun_ += count;
        if (eventsOfRun_ >= kEventsToBegin) {
            markBegun();
        }
        reportProgress();
        return true;
    }

    /// Records that the engine has survived the beginning of the answer.
    void markBegun()
    {
        if (!std::exchange(begunInRun_, true)) {
            guard().onBegun(request_.head.sharedParts, sentAt_);
        }
    }

    bool markCallerLeft()
    {
        callerLeft_ = true;
        return false;
    }

    [[nodiscard]] std::uint32_t tokens() const
    {
        return static_cast<std::uint32_t>(events_ * request_.engine->tokensPerEvent);
    }

    void reportProgress()
    {
        const auto now = gateway_.now();
        if (std::exchange(awaitsFirstEvent_, false)) {
            gateway_.dispatcher.onFirstToken(workId_, slownessPercent_, now - slownessReadAt_);
            watchEndpoint();
        }
        if (now - progressReportedAt_ < kProgressInterval) {
            return;
        }
        progressReportedAt_ = now;
        gateway_.dispatcher.onProgress(workId_, tokens());
        if (move_ && move_->phase() == AnswerMove::Phase::Failed && now - moveStartedAt_ >= kMoveRetryInterval) {
            startMove();
        }
    }

    /// Starts a move as soon as the engine is leaving. Called after the first event of a run, because the engine has no run to
    /// move before that.
    void watchEndpoint()
    {
        if (!request_.engine->canMoveAnswers) {
            return;
        }
        const auto onLeaving = [weak = weak_from_this(), executor = strandOf(connection_.executor()), leaving = endpoint_.id] {
            asio::post(executor, [weak, leaving] {
                const auto self = weak.lock();
                if (self && self->endpoint_.id == leaving) {
                    self->startMove();
                }
            });
        };
        endpointWatch_ = gateway_.watchEndpoint(endpoint_.id, onLeaving);
        if (gateway_.isLeaving(endpoint_.id)) {
            startMove();
        }
    }

    void startMove()
    {
        const bool isMoving = move_ && move_->phase() != AnswerMove::Phase::Failed;
        if (isMoving || callerLeft_ || ended_) {
            return;
        }
        moveStartedAt_ = gateway_.now();
        auto moved = work();
        moved.lastUsefulFirstToken.reset(); // A move waits for a copy, not for a first token.
        moved.heldTokens = tokens();
        moved.movesFrom = RunningAt{.endpoint = endpoint_.id, .zone = endpoint_.zone};
        moved.rank = Rank::Urgent; // A running answer must not queue behind requests that have not started.
        moved.mayMove = false;
        moved.arrival = gateway_.now();
        moved.firstTokenDeadline = moved.arrival + kMoveTimeout;
        move_ = AnswerMove::start(
            gateway_,
            strandOf(connection_.executor()),
            {.work = moved, .attempt = request_.head.attempt, .source = endpoint_, .deadline = std::min(request_.deadline, moved.firstTokenDeadline)});
    }

    RunEnd endOfStream(asio::yield_context yield)
    {
        // An engine that was told to stop closes the stream without an end marker. If there is an end marker, the answer was already
        // complete.
        const bool isWhole = reader_.pending() == 0 && started_;
        if (isStoppedForMove() && !exchange_->isSelfDelimiting()) {
            endedAfterEvent_ = isWhole;
            return RunEnd::Moved;
        }
        if (!isWhole) {
            return onRunFailed({.kind = ExchangeFault::Kind::Broken, .detail = "the stream ended inside an event or before the first event"});
        }
        return complete(yield);
    }

    RunEnd complete(asio::yield_context yield)
    {
        ended_ = true;
        markBegun();
        if (eventsOfRun_ == events_ && firstEventAt_ && events_ > 0) {
            const auto gaps = static_cast<Duration::rep>(std::max<std::uint64_t>(1, events_ - 1));
            gateway_.onAnswerTime(request_, *firstEventAt_ - sentAt_, (lastEventAt_ - *firstEventAt_) / gaps);
        }
        connection_.endEvents(yield);
        return RunEnd::Complete;
    }

    /// @return whether the engine was told to stop because the answer is moved.
    [[nodiscard]] bool isStoppedForMove() const
    {
        return move_ && (move_->phase() == AnswerMove::Phase::Stopping || move_->phase() == AnswerMove::Phase::Moved);
    }

    RunEnd onRunFailed(const ExchangeFault &fault)
    {
        if (callerLeft_) {
            return RunEnd::CallerLeft;
        }
        if (isStoppedForMove() && !isCutByShutdown_) {
            return RunEnd::Moved;
        }
        state_.onAttemptEnded(exchange_->bytesSent() ? AttemptEnd::MayHaveRun : AttemptEnd::NotSent);
        lastFailedEngine_ = endpoint_.id;
        if (exchange_->bytesSent() && !begunInRun_ && !recalled_ && !isCutByShutdown_) {
            guard().onFailed(endpoint_, request_.head.sharedParts, sentAt_);
        }
        const auto code = fault.kind == ExchangeFault::Kind::Silent ? ResultCode::EndpointSilent : ResultCode::EndpointUnreachable;
        failure_ = {code, "endpoint " + endpoint_.id.value() + ": " + toString(fault.kind) + ", " + fault.detail, kRetryAfterFailure};
        return RunEnd::Failed;
    }

    /// Handles a response that is not a valid event stream. The engine's error response is sent to the caller if the request may
    /// not be sent to another engine.
    RunEnd relayErrorResponse(ResponseMeaning meaning, asio::yield_context yield)
    {
        const auto status = exchange_->response().result_int();
        failure_ = {ResultCode::EndpointRefused, "endpoint " + endpoint_.id.value() + " responded with status " + std::to_string(status), kRetryAfterFailure};
        if (meaning == ResponseMeaning::NotRun) {
            provenNotRun_ = true;
            state_.onAttemptEnded(AttemptEnd::ProvenNotRun);
            return RunEnd::Failed;
        }
        state_.onAttemptEnded(meaning == ResponseMeaning::Unproven ? AttemptEnd::MayHaveRun : AttemptEnd::Answered);
        if (meaning != ResponseMeaning::Failure || started_ || state_.mayRetry()) {
            return RunEnd::Failed;
        }
        if (exchange_->readAll(silenceLimit(), kMaxErrorBytes, yield, &gateway_.frontend.clients.budget())) {
            return RunEnd::Failed;
        }
        ended_ = true;
        connection_.write(gateway_.dialect.toCaller(exchange_->response()), yield);
        return RunEnd::Failed;
    }

    /// @return the ids of the first shared parts of the prompt, for the log.
    [[nodiscard]] std::string partsText() const
    {
        constexpr std::size_t kMaxLoggedParts = 8;
        std::ostringstream text;
        text << std::hex;
        const auto &parts = request_.head.sharedParts;
        for (std::size_t i = 0; i < std::min(parts.size(), kMaxLoggedParts); ++i) {
            text << (i == 0 ? "" : ",") << parts[i];
        }
        return text.str();
    }

    void log(RunEnd end) const
    {
        static constexpr std::array<const char *, 4> kNames{"complete", "moved", "failed", "caller_left"};
        gateway_.startLine("stream", request_)
            .field("choice", endpoint_.id.value())
            .field("attempt", std::to_string(state_.sent()))
            .field("limit", gateway_.limitText(endpoint_.id))
            .field("outcome", kNames[static_cast<std::size_t>(end)])
            .field("status", exchange_->hasHeader() ? std::to_string(exchange_->response().result_int()) : "")
            .field("proof", proof_)
            .field("forwarded", started_ || ended_ ? "true" : "false")
            .field("priority", std::to_string(request_.priority))
            .field("events", std::to_string(events_))
            .field("parts", end == RunEnd::Failed && events_ == 0 ? partsText() : "")
            .field("prompt_tokens", std::to_string(request_.head.promptTokens))
            .field("most_tokens", std::to_string(request_.head.maxOutputTokens))
            .field("first_event_ms", firstEventAt_ ? std::to_string(std::chrono::duration_cast<milliseconds>(*firstEventAt_ - request_.arrival).count()) : "")
            .field("longest_gap_ms", std::to_string(std::chrono::duration_cast<milliseconds>(longestGap_).count()))
            .field("age_ms", std::to_string(std::chrono::duration_cast<milliseconds>(gateway_.now() - request_.arrival).count()))
            .field("detail", end == RunEnd::Failed ? failure_.detail : "")
            .write();
    }

    void finish(asio::yield_context yield)
    {
        if (callerLeft_) {
            gateway_.onEnded(request_, RequestOutcome::CallerLeft);
            connection_.abort();
            return;
        }
        if (ended_) {
            gateway_.onEnded(request_, RequestOutcome::Answered);
            return;
        }
        if (started_) {
            gateway_.onEnded(request_, RequestOutcome::CutOff);
            gateway_.startLine("give_up", request_).field("reason", "cut_off").field("detail", failure_.detail).write();
            connection_.abort(); // Shows the caller that the answer is incomplete.
            return;
        }
        Error error = failure_;
        if (isCutByShutdown_) {
            error = shuttingDownError();
        } else if (!refused_ && gateway_.now() >= request_.deadline) {
            error = {ResultCode::TimeLimitPassed, "the time limit was exceeded; " + failure_.detail, {}};
        }
        sendFailure(gateway_, connection_, request_, error, state_.failureOutcome(), yield);
    }

    GatewayContext &gateway_;
    HttpConnection &connection_;
    const RoutedRequest &request_;
    const AnswerStream kind_;
    ForwardingState state_;
    AssignmentRequester requester_;
    RequestId workId_; ///< Id by which the dispatcher knows the current run.

    EndpointSettings endpoint_; ///< Engine of the current run.
    std::shared_ptr<EndpointExchange> exchange_;
    SseReader reader_;
    std::shared_ptr<void> endpointWatch_;
    std::shared_ptr<AnswerMove> move_;

    std::optional<EndpointId> lastFailedEngine_; ///< The engine that failed last; the dispatcher avoids it.
    std::string lastEvent_;                      ///< Id of the last event that was delivered; empty before the first one.
    std::uint64_t events_ = 0;                   ///< Events with an id that were delivered, over all runs.
    std::uint64_t eventsOfRun_ = 0;              ///< The same of the current run.
    Error failure_{};
    TimePoint progressReportedAt_{}; ///< When progress was last reported to the dispatcher.
    TimePoint lastEventAt_{};
    std::optional<TimePoint> firstEventAt_;
    Duration longestGap_{};             ///< Longest time between two events of the answer, over all its runs.
    TimePoint lastEventOfRunAt_{};      ///< When the last complete event of this run arrived, or its header before any event.
    TimePoint sentAt_{};                ///< When the request was sent to the engine of the current run.
    TimePoint moveStartedAt_{};         ///< When the last move was started.
    TimePoint slownessReadAt_{};        ///< When that response began.
    std::uint32_t slownessPercent_ = 0; ///< As the engine stated it with its latest response; 0 if it did not.
    bool awaitsFirstEvent_ = true;      ///< No event arrived since the answer began or was moved.
    bool deliveredInRun_ = false;       ///< An event of the current run was sent to the caller.
    bool begunInRun_ = false;           ///< The engine has survived the beginning of the current run.
    bool endedAfterEvent_ = false;      ///< The engine, told to stop, closed the stream after a whole event.
    bool started_ = false;              ///< The response header was sent to the caller.
    bool ended_ = false;                ///< The complete answer or the engine's error response was sent to the caller.
    bool isTrial_ = false;              ///< The request shows whether a blocked part still crashes engines.
    bool refused_ = false;              ///< No engine was assigned.
    bool recalled_ = false;             ///< The scheduler cancelled the current run to assign the request again.
    bool isCutByShutdown_ = false;      ///< The request was given up because this VM ends.
    bool provenNotRun_ = false;         ///< The engine proved that it did not run the request.
    const char *proof_ = "none";        ///< What the response of the current run proves, for the log.
    bool callerLeft_ = false;
};

} // namespace

void forwardStream(GatewayContext &gateway, HttpConnection &connection, const RoutedRequest &request, asio::yield_context yield)
{
    std::make_shared<Stream>(gateway, connection, request)->run(yield);
}

} // namespace daisystream
