#include "daemon/gateway/streamforwarder.h"

#include "daemon/endpoints/endpointexchange.h"
#include "daemon/endpoints/ssereader.h"
#include "daemon/gateway/answermove.h"
#include "daemon/gateway/gatewayreply.h"
#include "daemon/status/decisionlog.h"
#include "daisystream/forwarding/forwardingstate.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace daisystream
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t kErrorLimitBytes = 1U << 20U;
constexpr milliseconds kConnectTime{500};
// An answer that can go on elsewhere does so when its engine is silent for this many of its longest gaps. Any other waits:
// an engine that preempted it may be silent for seconds, and a dead one shows by its connection.
constexpr int kGapsUntilSilent = 6;
constexpr milliseconds kLeastSilence{1500};
// The same until the first event, in response-time objectives: callers give up after 4.
constexpr int kGoalsUntilSilent = 4;
// Callers wait for the first event for 4 response-time objectives. Less is left for the way and for an engine that is slower than
// forecast.
constexpr double kGoalsUntilCallerLeaves = 3.5;
constexpr milliseconds kProgressInterval{200};
constexpr milliseconds kRetryAfterFailure{300};
// A moved answer needs the first event of its new run within this time.
constexpr milliseconds kMovedConnectTime{300};
constexpr milliseconds kMoveDeadline{8000};
// Between two attempts to move an answer that goes on at its leaving engine.
constexpr milliseconds kMoveAgain{300};
constexpr double kMillisecondsPerSecond = 1000;

/// How one run of the answer ended.
enum class RunEnd : std::uint8_t {
    Complete, ///< The caller has the whole answer, or the engine's own failure.
    Moved,    ///< The answer goes on at another engine.
    Failed,   ///< The engine failed; the forwarding state tells what may follow.
    Left,     ///< The caller left.
};

/// One answer on its way.
class Stream : public std::enable_shared_from_this<Stream>
{
public:
    Stream(GatewayContext &gateway, HttpConnection &connection, const RoutedRequest &request)
        : gateway_(gateway)
        , connection_(connection)
        , request_(request)
        , kind_(std::get<AnswerStream>(request.route->kind))
        , state_(request.route->kind, request.route->attempts)
        , asking_(gateway)
        , workId_(request.id)
    {
    }

    void run(asio::yield_context yield)
    {
        connection_.watchPeer([self = shared_from_this()] { self->onCallerLeft(); });
        gateway_.countRequest(request_.service);
        auto end = RunEnd::Failed;
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
    void onCallerLeft()
    {
        callerLeft_ = true;
        asking_.giveUp({ResultCode::CallerLeft, "the caller left", {}});
        if (exchange_) {
            exchange_->abort();
        }
    }

    [[nodiscard]] bool mayRunAgain()
    {
        if (callerLeft_ || gateway_.now() >= request_.deadline || (!state_.mayTryAgain() && !state_.mayContinue())) {
            return false;
        }
        if (state_.sent() > 0 && !recalled_ && !gateway_.takeRepeat(request_.service)) {
            failure_.detail += "; the retry budget is spent";
            return false;
        }
        return true;
    }

    /// An answer that the caller has a part of is not late for its first event: it goes on as soon as it can.
    [[nodiscard]] WorkRequest work() const
    {
        const auto &engine = *request_.engine;
        const double pace = kind_.longestGap.count() > 0 ? kMillisecondsPerSecond * engine.tokensPerEvent / static_cast<double>(kind_.longestGap.count()) : 0;
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
                = std::min(request_.deadline, request_.arrival + std::chrono::duration_cast<Duration>(kGoalsUntilCallerLeaves * request_.route->goal)),
                .arrival = request_.arrival,
                .prefixHash = request_.head.prefixHash,
                .lengthClass = request_.route->name.value(),
                .mayRepeat = kind_.resumable,
                .avoids = failedAt_,
                .barred = gateway_.resting(),
                .mayMove = kind_.resumable};
    }

    /// Gets an engine and relays the answer from there, through all moves.
    RunEnd runOnce(asio::yield_context yield)
    {
        if (const auto rest = gateway_.restOf(gateway_.dispatcher.engines(ModelId(request_.service.value())))) {
            failure_ = {ResultCode::EndpointRefused, "every engine has turned this VM away for a time", *rest};
            refused_ = true;
            return RunEnd::Complete;
        }
        const auto shutdownWatch = watchShutdown();
        const auto reply = asking_.ask(work(), request_.deadline, yield);
        if (const auto *error = std::get_if<Error>(&reply)) {
            failure_ = *error;
            refused_ = true;
            return callerLeft_ ? RunEnd::Left : RunEnd::Complete;
        }
        const auto &assign = std::get<Assign>(reply);
        const auto endpoint = gateway_.dispatcher.findEndpoint(assign.endpoint);
        const bool isResting = endpoint && gateway_.isResting(endpoint->id); // Since the owner was asked.
        if (!endpoint || isResting || callerLeft_) {
            gateway_.dispatcher.onFinished(workId_, 0, FinishReason::MovedAway);
            failure_ = {ResultCode::NoEndpoint,
                        "endpoint " + assign.endpoint.value() + (isResting ? " takes nothing from this VM for a time" : " has left"),
                        kRetryAfterFailure};
            return callerLeft_ ? RunEnd::Left : RunEnd::Failed;
        }
        endpoint_ = *endpoint;
        auto end = runAt(std::nullopt, yield);
        while (end == RunEnd::Moved) {
            end = continueMoved(yield);
        }
        const auto reason = end == RunEnd::Complete ? FinishReason::Complete
            : recalled_                             ? FinishReason::MovedAway
            : end == RunEnd::Left                   ? FinishReason::Cancelled
                                                    : FinishReason::Failed;
        gateway_.dispatcher.onFinished(workId_, tokens(), notRun_ && reason == FinishReason::Complete ? FinishReason::MovedAway : reason);
        return end;
    }

    /// A VM that stops has no time for an answer that has not begun, while another VM has.
    [[nodiscard]] std::shared_ptr<void> watchShutdown()
    {
        return gateway_.watchShutdown([weak = weak_from_this(), executor = strandOf(connection_.executor())] {
            asio::post(executor, [weak] {
                const auto self = weak.lock();
                if (self && !self->gateway_.canServe(self->request_.route->kind)) {
                    self->asking_.giveUp(shuttingDown());
                }
            });
        });
    }

    /// Goes on at the engine to which the answer was moved.
    RunEnd continueMoved(asio::yield_context yield)
    {
        const auto moved = move_->wait(yield);
        move_.reset();
        if (callerLeft_) {
            return RunEnd::Left;
        }
        const auto source = endpoint_.id;
        if (!moved || (moved->target.id == source && !gateway_.mayReturnTo(source))) {
            failure_ = {ResultCode::EndpointReclaimed, "endpoint " + source.value() + " left and the answer could not be moved", kRetryAfterFailure};
            return RunEnd::Failed;
        }
        gateway_.dispatcher.onFinished(workId_, tokens(), FinishReason::MovedAway);
        workId_ = moved->work;
        endpoint_ = moved->target;
        firstEventOfRun_ = true;
        const auto end = runAt(moved->memory, yield);
        const bool isAtSource = moved->target.address == moved->memory.holder;
        if (end != RunEnd::Failed || deliveredInRun_ || callerLeft_ || isAtSource || !gateway_.mayReturnTo(source)) {
            return end;
        }
        // The source has stopped the answer and still has its memory.
        endpoint_.address = moved->memory.holder;
        endpoint_.name.clear();
        return runAt(moved->memory, yield);
    }

    /// Sends the request to `endpoint_` and relays what comes.
    RunEnd runAt(const std::optional<AnswerMemory> &memory, asio::yield_context yield)
    {
        exchange_ = std::make_shared<EndpointExchange>(connection_.executor(), endpoint_.address);
        recalled_ = false;
        deliveredInRun_ = false;
        notRun_ = false;
        reader_ = SseReader();
        registerCancel();
        const auto left = gateway_.timeUntil(request_.deadline);
        const EndpointOptions options{.endpointName = endpoint_.name,
                                      .timeLeft = left,
                                      .team = request_.team,
                                      .priority = enginePriority(request_),
                                      .lastEvent = lastEvent_.empty() ? std::nullopt : std::optional(lastEvent_),
                                      .memory = memory};
        const auto connectTime = memory ? kMovedConnectTime : kConnectTime;
        const auto fault
            = exchange_->open(gateway_.dialect.toEndpoint(request_.http, options), {.connect = std::min(left, connectTime), .header = silence()}, yield);
        if (exchange_->bytesSent() && !memory) {
            state_.onSent();
        }
        const auto end = fault ? failed(*fault) : relay(yield);
        endpointWatch_.reset();
        gateway_.frontend.clearCancel(workId_);
        log(end);
        return end;
    }

    /// The scheduler may take the request back until its first event.
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

    [[nodiscard]] milliseconds silenceBeforeFirstEvent() const
    {
        return std::max(kLeastSilence, kGoalsUntilSilent * request_.route->goal);
    }

    [[nodiscard]] milliseconds silence() const
    {
        const auto left = gateway_.timeUntil(request_.deadline);
        if (!kind_.resumable) {
            return left;
        }
        const auto allowed = lastEvent_.empty() ? silenceBeforeFirstEvent() : std::max(kLeastSilence, kGapsUntilSilent * kind_.longestGap);
        return std::min(allowed, left);
    }

    RunEnd relay(asio::yield_context yield)
    {
        const auto head = gateway_.dialect.readEndpoint(exchange_->response());
        gateway_.onEndpointHead(endpoint_.id, head);
        const bool isForeign = !head.attempt.empty() && head.attempt != request_.head.attempt;
        if (exchange_->response().result() != http::status::ok || isForeign || !head.isVerified) {
            return relayFailure(head, isForeign, yield);
        }
        progressAt_ = gateway_.now();
        for (;;) {
            // Bytes that complete no event are no progress. An engine that sends them now and then is as silent as one that
            // sends nothing, while one that is slow to its next event is not cut.
            const auto patience = silence() - std::chrono::duration_cast<milliseconds>(kind_.resumable ? gateway_.now() - progressAt_ : Duration(0));
            if (patience.count() <= 0 || gateway_.now() >= request_.deadline) {
                return failed({.kind = ExchangeFault::Kind::Silent, .detail = "no whole event in time"});
            }
            auto part = exchange_->read(patience, yield);
            if (const auto *fault = std::get_if<ExchangeFault>(&part)) {
                return failed(*fault);
            }
            reader_.feed(std::get<std::string>(part));
            if (!deliver(yield)) {
                return RunEnd::Left;
            }
            if (reader_.failed()) {
                return failed({.kind = ExchangeFault::Kind::Malformed, .detail = "an event is too long"});
            }
            if (exchange_->isComplete()) {
                return endOfStream(yield);
            }
        }
    }

    /// Hands whole events to the caller.
    /// @return false if the caller has gone away.
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
                return callerWent();
            }
        }
        deliveredInRun_ = true;
        if (!connection_.writeEvents(events, yield)) {
            return callerWent();
        }
        const auto now = gateway_.now();
        if (events_ == 0) {
            firstEventAt_ = now;
            gateway_.onFirstEvent(request_);
        } else if (count > 0) {
            longestGap_ = std::max(longestGap_, now - lastEventAt_);
            gateway_.onGap(now - lastEventAt_);
        }
        lastEventAt_ = now;
        progressAt_ = count > 0 ? now : progressAt_;
        events_ += count;
        noteProgress();
        return true;
    }

    bool callerWent()
    {
        callerLeft_ = true;
        return false;
    }

    [[nodiscard]] std::uint32_t tokens() const
    {
        return static_cast<std::uint32_t>(events_ * request_.engine->tokensPerEvent);
    }

    void noteProgress()
    {
        const auto now = gateway_.now();
        if (std::exchange(firstEventOfRun_, false)) {
            gateway_.dispatcher.onFirstToken(workId_);
            watchEndpoint();
        }
        if (now - lastProgress_ < kProgressInterval) {
            return;
        }
        lastProgress_ = now;
        gateway_.dispatcher.onProgress(workId_, tokens());
        if (move_ && move_->phase() == AnswerMove::Phase::Failed && now - movedAt_ >= kMoveAgain) {
            startMove();
        }
    }

    /// Moves the answer as soon as its engine leaves. Before its first event an engine has no run that could be moved.
    void watchEndpoint()
    {
        if (!request_.engine->movesAnswers) {
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
        if (!gateway_.isInService(endpoint_.id)) {
            startMove();
        }
    }

    void startMove()
    {
        const bool isUnderWay = move_ && move_->phase() != AnswerMove::Phase::Failed;
        if (isUnderWay || callerLeft_ || ended_) {
            return;
        }
        movedAt_ = gateway_.now();
        auto moved = work();
        moved.lastUsefulFirstToken.reset(); // Its copy is waited for, not its first token.
        moved.heldTokens = tokens();
        moved.movesFrom = RunningAt{.endpoint = endpoint_.id, .zone = endpoint_.zone};
        moved.rank = Rank::Urgent; // It must not wait behind requests that have not begun.
        moved.mayMove = false;
        moved.arrival = gateway_.now();
        moved.firstTokenDeadline = moved.arrival + kMoveDeadline;
        move_ = AnswerMove::start(
            gateway_,
            strandOf(connection_.executor()),
            {.work = moved, .attempt = request_.head.attempt, .source = endpoint_, .deadline = std::min(request_.deadline, moved.firstTokenDeadline)});
    }

    RunEnd endOfStream(asio::yield_context yield)
    {
        // An engine that was told to stop closes the stream without its end: with its end, the answer was whole before.
        if (isStopped() && !exchange_->statesItsEnd()) {
            return RunEnd::Moved;
        }
        if (reader_.pending() > 0 || !started_) {
            return failed({.kind = ExchangeFault::Kind::Broken, .detail = "the stream ended within an event"});
        }
        ended_ = true;
        connection_.endEvents(yield);
        return RunEnd::Complete;
    }

    /// @return whether the answer was stopped in order to go on elsewhere.
    [[nodiscard]] bool isStopped() const
    {
        return move_ && (move_->phase() == AnswerMove::Phase::Stopping || move_->phase() == AnswerMove::Phase::Moved);
    }

    RunEnd failed(const ExchangeFault &fault)
    {
        if (callerLeft_) {
            return RunEnd::Left;
        }
        if (isStopped()) {
            return RunEnd::Moved;
        }
        state_.onAttemptEnded(exchange_->bytesSent() ? AttemptEnd::MayHaveRun : AttemptEnd::NotSent);
        failedAt_ = endpoint_.id;
        const auto code = fault.kind == ExchangeFault::Kind::Silent ? ResultCode::EndpointSilent : ResultCode::EndpointUnreachable;
        failure_ = {code, "endpoint " + endpoint_.id.value() + ": " + toString(fault.kind) + ", " + fault.detail, kRetryAfterFailure};
        return RunEnd::Failed;
    }

    /// The engine gave no stream. Its own failure is passed on if the request cannot run elsewhere.
    RunEnd relayFailure(const EndpointHead &head, bool isForeign, asio::yield_context yield)
    {
        const auto status = exchange_->response().result_int();
        failure_ = {ResultCode::EndpointRefused, "endpoint " + endpoint_.id.value() + " answered with status " + std::to_string(status), kRetryAfterFailure};
        if (head.provenNotRun) {
            notRun_ = true;
            state_.onAttemptEnded(AttemptEnd::ProvenNotRun);
            return RunEnd::Failed;
        }
        state_.onAttemptEnded(AttemptEnd::Answered);
        const bool isOwnAnswer = !isForeign && status >= 300 && !started_;
        if (!isOwnAnswer || state_.mayTryAgain()) {
            return RunEnd::Failed;
        }
        if (exchange_->readAll(silence(), kErrorLimitBytes, yield, &gateway_.responseBytes)) {
            return RunEnd::Failed;
        }
        ended_ = true;
        connection_.write(gateway_.dialect.toCaller(exchange_->response()), yield);
        return RunEnd::Failed;
    }

    void log(RunEnd end) const
    {
        static constexpr std::array<const char *, 4> kNames{"complete", "moved", "failed", "caller_left"};
        gateway_.line("stream", request_)
            .field("choice", endpoint_.id.value())
            .field("attempt", std::to_string(state_.sent()))
            .field("outcome", kNames[static_cast<std::size_t>(end)])
            .field("priority", std::to_string(request_.priority))
            .field("events", std::to_string(events_))
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
            gateway_.line("give_up", request_).field("reason", "cut_off").field("detail", failure_.detail).write();
            connection_.abort(); // The caller must not take what it has for the whole answer.
            return;
        }
        Error error = failure_;
        if (!refused_ && gateway_.now() >= request_.deadline) {
            error = {ResultCode::TimeLimitPassed, "the time limit has passed; " + failure_.detail, {}};
        }
        gateway_.onEnded(request_, state_.givenUp() == GivenUp::NotRun ? RequestOutcome::NotRun : RequestOutcome::OutcomeUnknown);
        gateway_.line("give_up", request_)
            .field("reason", toString(error.code))
            .field("not_run", state_.givenUp() == GivenUp::NotRun ? "true" : "false")
            .field("retry_ms", error.retryAfter ? std::to_string(error.retryAfter->count()) : "")
            .field("detail", error.detail)
            .write();
        connection_.write(gatewayReply(gateway_.dialect, error, state_.givenUp()), yield);
    }

    GatewayContext &gateway_;
    HttpConnection &connection_;
    const RoutedRequest &request_;
    const AnswerStream kind_;
    ForwardingState state_;
    Asking asking_;
    RequestId workId_; ///< Under which the dispatcher knows the present run.

    EndpointSettings endpoint_; ///< Of the present run.
    std::shared_ptr<EndpointExchange> exchange_;
    SseReader reader_;
    std::shared_ptr<void> endpointWatch_;
    std::shared_ptr<AnswerMove> move_;

    std::optional<EndpointId> failedAt_; ///< The engine that failed last.
    std::string lastEvent_;              ///< Id of the last event that was delivered.
    std::uint64_t events_ = 0;
    Error failure_{};
    TimePoint lastProgress_{};
    TimePoint lastEventAt_{};
    std::optional<TimePoint> firstEventAt_;
    Duration longestGap_{};  ///< Between two events of the answer, over all its runs.
    TimePoint progressAt_{}; ///< Of the last whole event of this run, or of its header.
    TimePoint movedAt_{};    ///< The last move was started.
    bool firstEventOfRun_ = true;
    bool deliveredInRun_ = false;
    bool started_ = false; ///< The caller has the header of the answer.
    bool ended_ = false;   ///< The caller has the final answer.
    bool refused_ = false; ///< The dispatcher refused the request.
    bool recalled_ = false;
    bool notRun_ = false;
    bool callerLeft_ = false;
};

} // namespace

void forwardStream(GatewayContext &gateway, HttpConnection &connection, const RoutedRequest &request, asio::yield_context yield)
{
    std::make_shared<Stream>(gateway, connection, request)->run(yield);
}

} // namespace daisystream
