#include "daemon/frontend/answerrelay.h"

#include "daemon/endpoints/permitclient.h"
#include "daemon/endpoints/promptguard.h"
#include "daemon/status/decisionlog.h"
#include "daisystream/base/stablehash.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace daisystream
{

namespace asio = boost::asio;

namespace
{

// A cancel that got no answer is repeated, so that an engine that was paused does not generate for nobody.
constexpr unsigned kCancelAttempts = 6;
constexpr auto kCancelPause = std::chrono::seconds(1);
constexpr std::string_view kKeepAlive = ":\n\n";
// Tokens after which a request counts as begun: an engine may crash right after the first one.
constexpr std::uint64_t kTokensToBegin = 2;

void sleepFor(std::chrono::milliseconds duration, asio::yield_context yield)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(yield.get_executor(), duration);
    timer.async_wait(yield[ignored]);
}

Result<Assign> askFor(Dispatcher &dispatcher, const WorkRequest &work, asio::yield_context yield)
{
    const auto executor = strandOf(yield.get_executor());
    return asio::async_initiate<asio::yield_context, void(Result<Assign>)>(
        [&](auto handler) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            dispatcher.ask(work, [shared, executor](Result<Assign> reply) {
                asio::post(executor, [shared, reply = std::move(reply)]() mutable { (*shared)(std::move(reply)); });
            });
        },
        yield);
}

/// Links a running attempt with the scheduler's `Cancel`. Used in the strand of the connection only.
struct Recall
{
    bool firstToken = false; ///< Too late to take the request back.
    bool taken = false;      ///< The scheduler took the request back.
};

} // namespace

class AnswerRelay::Private
{
public:
    Private(FrontendContext &context, HttpConnection &connection, const CallerGrant &grant)
        : context_(context)
        , dispatcher_(context.parts.dispatcher)
        , connection_(connection)
        , grant_(grant)
    {
    }

    void run(const CompletionRequest &completion, asio::yield_context yield);
    void resume(const ResumePoint &point, bool chat, asio::yield_context yield);

private:
    [[nodiscard]] WorkRequest workOf(const CompletionRequest &completion) const;
    [[nodiscard]] std::optional<Error> attemptAt(const Assign &assign, const CompletionRequest &completion, asio::yield_context yield);
    void startEncoder(bool chat, const ModelId &model);
    void registerCancel();
    [[nodiscard]] Result<Assign> askWithinLimits(const WorkRequest &work, std::uint64_t request, asio::yield_context yield);
    void refuse(const Error &error, asio::yield_context yield);

    [[nodiscard]] std::optional<Error> follow(asio::yield_context yield);
    [[nodiscard]] std::optional<Error> take(EngineEvent &event);
    [[nodiscard]] std::optional<Error> takeToken(EngineEvent &event);
    void deliver(const Deliver &token);
    void markBegun();
    void flush(asio::yield_context yield);
    void checkCaller();
    [[nodiscard]] bool callerExpired() const;
    [[nodiscard]] bool stopGeneration(asio::yield_context yield);
    [[nodiscard]] bool reconnect(const Error &fault, asio::yield_context yield);
    [[nodiscard]] std::optional<Error> openResume(asio::yield_context yield);
    void reportProgress();
    void conclude(FinishReason reason, asio::yield_context yield);
    void sendWhole(FinalState state, const std::optional<Error> &error, asio::yield_context yield);
    void cancelLater(const std::string &name, const std::string &onlyReader);

    FrontendContext &context_;
    Dispatcher &dispatcher_;
    HttpConnection &connection_;
    const CallerGrant &grant_;

    RequestId request_;
    std::uint32_t promptTokens_ = 0;
    std::vector<PartId> parts_; ///< Of the prompt.
    bool hasBegun_ = false;     ///< The engine has survived the beginning of the answer.
    TimePoint sentAt_{};
    bool streamed_ = true;
    bool accounts_ = true; ///< This VM started the generation.
    std::optional<CompletionEncoder> encoder_;

    AnswerState state_;
    AnswerState::Attempt attempt_ = 0;
    EndpointSettings endpoint_;
    std::shared_ptr<EndpointStream> stream_;
    std::shared_ptr<Recall> recall_ = std::make_shared<Recall>();
    std::string reader_;
    unsigned fruitless_ = 0; ///< Resumes in a row without a new token.

    std::string out_;   ///< Events that are not written yet.
    std::string whole_; ///< Text of an answer that is not streamed.
    bool headerSent_ = false;
    bool ended_ = false;
    std::string finishReason_;
    std::optional<Error> lastError_;
    std::optional<TimePoint> goneSince_; ///< Set when the caller went away.
    bool callerGone_ = false;            ///< Nothing can be written to the caller.
    bool takenOver_ = false;             ///< The caller continues elsewhere.
    TimePoint lastProgress_{};
};

WorkRequest AnswerRelay::Private::workOf(const CompletionRequest &completion) const
{
    const auto now = context_.parts.clock.now();
    return {.id = request_,
            .team = grant_.team,
            .entry = context_.parts.peers.self(),
            .rank = grant_.plan.rank,
            .model = completion.model,
            .promptTokens = completion.promptTokens,
            .maxOutputTokens = completion.maxOutputTokens,
            .weight = grant_.plan.weight,
            .paceTokensPerSecond = grant_.plan.tokensPerSecond,
            .firstTokenDeadline = now + grant_.plan.firstToken,
            .arrival = now,
            .prefixHash = completion.prefixHash};
}

void AnswerRelay::Private::startEncoder(bool chat, const ModelId &model)
{
    encoder_.emplace(chat, request_, model, wallClock().time_since_epoch().count());
    reader_ = context_.newRequestId().value();
}

void AnswerRelay::Private::run(const CompletionRequest &completion, asio::yield_context yield)
{
    request_ = context_.newRequestId();
    streamed_ = completion.stream;
    promptTokens_ = completion.promptTokens;
    startEncoder(completion.chat, completion.model);
    parts_ = completion.parts;
    auto &guard = context_.parts.promptGuard;
    const auto verdict = guard.admit(parts_);
    if (const auto *refusal = std::get_if<Error>(&verdict)) {
        refuse(*refusal, yield);
        return;
    }
    const bool isTrial = std::get<PartsAdmitted>(verdict).isTrial;
    const auto work = workOf(completion);
    context_.countRequest(grant_.team);
    for (;;) {
        const auto reply = askWithinLimits(work, stableHash(grant_.team.value() + '\n' + completion.engineBody), yield);
        if (const auto *refusal = std::get_if<Error>(&reply)) {
            refuse(*refusal, yield);
            return;
        }
        if (const auto blocked = isTrial ? std::nullopt : guard.check(parts_)) {
            dispatcher_.onFinished(request_, 0, FinishReason::MovedAway);
            refuse(lastError_.value_or(*blocked), yield); // A request that has failed at an engine may have run there.
            return;
        }
        const auto failure = attemptAt(std::get<Assign>(reply), completion, yield);
        if (!failure) {
            return;
        }
        lastError_ = recall_->taken ? lastError_ : failure;
        if (!recall_->taken && !guard.mayRepeat(parts_, endpoint_.id)) {
            refuse({failure->code, failure->detail + "; other engines crashed under requests with a part of this prompt", {}}, yield);
            return;
        }
        // What the scheduler takes back is no retry: it has freed the capacity for other work on purpose.
        if (!recall_->taken && !context_.takeRetry(grant_.team)) {
            refuse({ResultCode::RetryBudgetSpent, "too many attempts failed recently; the last one: " + failure->detail, std::chrono::seconds(1)}, yield);
            return;
        }
    }
}

/// Asks for an engine that takes the request within its request limit.
/// @param request as PermitRequest::request.
Result<Assign> AnswerRelay::Private::askWithinLimits(const WorkRequest &work, std::uint64_t request, asio::yield_context yield)
{
    auto &permits = context_.parts.permits;
    const bool isUrgent = work.rank == Rank::Urgent;
    const auto attempt = stableHash(work.id.value());
    std::vector<EndpointId> denied; // Engines of which this request got no permit.
    for (;;) {
        LineRequest line{.endpoints = {}, .attempt = attempt, .request = request, .isUrgent = isUrgent};
        line.maxWait = grant_.plan.firstToken / kMaxPermitWaitDivisor;
        line.patience = grant_.plan.firstToken;
        const auto engines = dispatcher_.enginesFor(work.model);
        for (const auto &engine : engines) {
            const bool isDenied = std::find(denied.begin(), denied.end(), engine.id) != denied.end();
            if (isDenied || permits.isFull(engine.id, isUrgent)) {
                line.endpoints.push_back(engine.id);
            }
        }
        auto wanted = work;
        wanted.barred = line.endpoints;
        std::optional<EndpointId> permitted;
        if (!engines.empty() && line.endpoints.size() == engines.size()) {
            const auto reply = permits.waitInLine(line, yield);
            if (const auto *error = std::get_if<Error>(&reply)) {
                return *error;
            }
            permitted = std::get<EndpointId>(reply);
            std::erase(wanted.barred, *permitted);
        }
        const auto askedAt = context_.parts.clock.now();
        auto reply = askFor(dispatcher_, wanted, yield);
        const auto *assign = std::get_if<Assign>(&reply);
        const bool holdsPermit = assign != nullptr && permitted == assign->endpoint && context_.parts.clock.now() - askedAt <= kPermitLifetime;
        if (assign == nullptr || holdsPermit
            || !permits.acquire({.endpoint = assign->endpoint, .attempt = attempt, .request = request, .isUrgent = isUrgent}, yield)) {
            return reply;
        }
        dispatcher_.onFinished(request_, 0, FinishReason::MovedAway);
        denied.push_back(assign->endpoint);
    }
}

void AnswerRelay::Private::refuse(const Error &error, asio::yield_context yield)
{
    const auto state = state_.finish();
    DecisionLine("refuse")
        .field("request", request_.value())
        .field("team", grant_.team.value())
        .field("rank", toString(grant_.plan.rank))
        .field("reason", toString(error.code))
        .field("state", toString(state))
        .write();
    connection_.write(errorReply(error, state), yield);
}

void AnswerRelay::Private::registerCancel()
{
    recall_ = std::make_shared<Recall>();
    context_.setCancel(request_, [executor = strandOf(connection_.executor()), recall = recall_, stream = std::weak_ptr(stream_)] {
        asio::post(executor, [recall, stream] {
            const auto running = stream.lock();
            if (running && !recall->firstToken) {
                recall->taken = true;
                running->abort();
            }
        });
    });
}

std::optional<Error> AnswerRelay::Private::attemptAt(const Assign &assign, const CompletionRequest &completion, asio::yield_context yield)
{
    const auto endpoint = dispatcher_.findEndpoint(assign.endpoint);
    const auto number = state_.beginAttempt(assign.endpoint);
    if (!endpoint || !number) {
        dispatcher_.onFinished(request_, 0, FinishReason::Failed);
        return Error{ResultCode::NoEndpoint, "endpoint " + assign.endpoint.value() + " has left", {}};
    }
    endpoint_ = *endpoint;
    attempt_ = *number;
    DecisionLine("assign")
        .field("request", request_.value())
        .field("team", grant_.team.value())
        .field("rank", toString(grant_.plan.rank))
        .field("choice", endpoint_.id.value())
        .field("reason", attempt_ == 1 ? "scheduler" : (recall_->taken ? "recalled" : "retry"))
        .field("attempt", std::to_string(attempt_))
        .field("priority", std::to_string(assign.priority))
        .field("running", std::to_string(assign.figures.running))
        .write();
    const EngineCall call{
        .attempt = RequestId(request_.value() + "." + std::to_string(attempt_)), .priority = assign.priority, .reader = reader_, .body = completion.engineBody};
    stream_ = std::make_shared<EndpointStream>(connection_.executor(), endpoint_, context_.options);
    registerCancel();
    sentAt_ = context_.parts.clock.now();
    auto failure = stream_->start(call, yield);
    if (stream_->hasResponse()) {
        context_.parts.permits.onAnswer(endpoint_.id, stream_->requestsPerSecond(), !failure, sentAt_);
    }
    if (stream_->bytesSent()) {
        state_.onRequestBytesSent(attempt_);
    }
    if (stream_->provenNotRun()) {
        state_.onProvenNotRun(attempt_);
    }
    if (!failure) {
        failure = follow(yield);
    }
    context_.clearCancel(request_);
    if (failure) {
        if (stream_->bytesSent() && !stream_->provenNotRun() && !recall_->taken) {
            context_.parts.promptGuard.onFailed(endpoint_, parts_, sentAt_);
        }
        if (stream_->bytesSent() && !stream_->provenNotRun()) {
            cancelLater(call.attempt.value(), {});
        }
        dispatcher_.onFinished(request_, 0, recall_->taken ? FinishReason::MovedAway : FinishReason::Failed);
    }
    return failure;
}

void AnswerRelay::Private::resume(const ResumePoint &point, bool chat, asio::yield_context yield)
{
    request_ = point.request;
    accounts_ = false;
    const auto endpoint = dispatcher_.findEndpoint(point.endpoint);
    endpoint_ = endpoint.value_or(EndpointSettings());
    endpoint_.id = point.endpoint;
    startEncoder(chat, endpoint_.model);
    state_ = AnswerState(point.generation, point.offset);
    attempt_ = state_.resumeAttempt().value_or(0);
    const Error lost{ResultCode::GenerationLost, "endpoint " + point.endpoint.value() + " has left", {}};
    if (!endpoint || !reconnect(lost, yield)) {
        const auto error = lastError_.value_or(lost);
        DecisionLine("refuse").field("request", request_.value()).field("team", grant_.team.value()).field("reason", toString(error.code)).write();
        connection_.write(errorReply(error, state_.finish()), yield);
        return;
    }
    if (follow(yield)) {
        conclude(FinishReason::Failed, yield);
    }
}

/// @return the failure of an attempt that may move to another endpoint; nothing if the answer has come to its end.
std::optional<Error> AnswerRelay::Private::follow(asio::yield_context yield)
{
    for (;;) {
        auto read = stream_->read(yield);
        std::optional<Error> fault;
        if (auto *batch = std::get_if<std::vector<EngineEvent>>(&read)) {
            for (auto event = batch->begin(); event != batch->end() && !ended_ && !fault; ++event) {
                fault = take(*event);
            }
            if (batch->empty() && headerSent_) {
                out_ = kKeepAlive;
            }
        } else {
            fault = std::get<Error>(read);
        }
        flush(yield);
        if (ended_) {
            markBegun();
            conclude(FinishReason::Complete, yield);
            return std::nullopt;
        }
        checkCaller();
        if (callerExpired() && stopGeneration(yield)) {
            conclude(FinishReason::Cancelled, yield);
            return std::nullopt;
        }
        if (fault && state_.mayMove()) {
            return fault;
        }
        if (fault && accounts_ && !hasBegun_) {
            context_.parts.promptGuard.onFailed(endpoint_, parts_, sentAt_);
        }
        if (fault && !reconnect(*fault, yield)) {
            cancelLater(state_.generation().value(), reader_);
            conclude(FinishReason::Failed, yield);
            return std::nullopt;
        }
        reportProgress();
    }
}

std::optional<Error> AnswerRelay::Private::take(EngineEvent &event)
{
    const auto &announced = stream_->generation();
    if (!announced.empty() && event.event.generation != announced) {
        return Error{ResultCode::ForeignGeneration, "endpoint " + endpoint_.id.value() + " sent an event of another generation", {}};
    }
    if (event.event.sequence > state_.nextSequence()) {
        // A new connection can bring what is missing.
        return Error{ResultCode::SequenceGap, "endpoint " + endpoint_.id.value() + " left out an event", {}};
    }
    if (!event.finishReason || !event.event.text.empty()) {
        return takeToken(event);
    }
    if (!state_.generation().empty() && event.event.generation != state_.generation()) {
        return Error{ResultCode::ForeignGeneration, "endpoint " + endpoint_.id.value() + " ended another generation", {}};
    }
    if (event.event.sequence == state_.nextSequence()) {
        ended_ = true;
        finishReason_ = *event.finishReason;
        state_.onEndOfStream(attempt_, event.event.sequence);
    }
    return std::nullopt;
}

std::optional<Error> AnswerRelay::Private::takeToken(EngineEvent &event)
{
    const auto verdict = state_.accept(attempt_, event.event);
    if (const auto *error = std::get_if<Error>(&verdict)) {
        return *error;
    }
    if (const auto *token = std::get_if<Deliver>(&verdict)) {
        deliver(*token);
        if (event.finishReason) {
            ended_ = true;
            finishReason_ = *event.finishReason;
            state_.onEndOfStream(attempt_, state_.nextSequence());
        }
    }
    return std::nullopt;
}

void AnswerRelay::Private::deliver(const Deliver &token)
{
    fruitless_ = 0;
    if (accounts_ && !recall_->firstToken) {
        recall_->firstToken = true;
        dispatcher_.onFirstToken(request_);
    }
    if (state_.nextSequence() >= kTokensToBegin) {
        markBegun();
    }
    if (!streamed_) {
        whole_ += token.text;
    } else if (!callerGone_) {
        const auto id = context_.sealResume({.endpoint = endpoint_.id,
                                             .generation = state_.generation(),
                                             .offset = token.sequence + 1,
                                             .team = grant_.team,
                                             .request = request_,
                                             .expiry = wallClock() + std::chrono::ceil<std::chrono::seconds>(context_.options.resumeIdLifetime)});
        encoder_->appendToken(out_, id, token.sequence, token.text);
    }
}

/// Records that the engine has survived the beginning of the answer.
void AnswerRelay::Private::markBegun()
{
    if (accounts_ && !std::exchange(hasBegun_, true)) {
        context_.parts.promptGuard.onBegun(parts_, sentAt_);
    }
}

void AnswerRelay::Private::flush(asio::yield_context yield)
{
    if (out_.empty() || callerGone_) {
        out_.clear();
        return;
    }
    const bool started = std::exchange(headerSent_, true) || connection_.startEvents(yield);
    callerGone_ = !started || !connection_.writeEvents(out_, yield);
    out_.clear();
    if (callerGone_) {
        goneSince_ = context_.parts.clock.now();
    }
}

void AnswerRelay::Private::checkCaller()
{
    // A caller that closed its side may still read: an answer that is not streamed goes on until the resume window ends.
    if (!streamed_ && !goneSince_ && connection_.peerClosed()) {
        goneSince_ = context_.parts.clock.now();
    }
}

bool AnswerRelay::Private::callerExpired() const
{
    return goneSince_ && !takenOver_ && context_.parts.clock.now() - *goneSince_ >= context_.options.resumeWindow;
}

/// @return true if the generation was cancelled, false if the caller continues it at another connection.
bool AnswerRelay::Private::stopGeneration(asio::yield_context yield)
{
    if (state_.generation().empty()) {
        cancelLater(request_.value() + "." + std::to_string(attempt_), reader_);
        return true;
    }
    const auto outcome = cancelGeneration(endpoint_, state_.generation().value(), reader_, context_.options, yield);
    if (outcome == CancelOutcome::Unknown) {
        cancelLater(state_.generation().value(), reader_);
    }
    takenOver_ = outcome == CancelOutcome::TakenOver;
    return !takenOver_;
}

void AnswerRelay::Private::cancelLater(const std::string &name, const std::string &onlyReader)
{
    context_.spawn([&context = context_, endpoint = endpoint_, name, onlyReader](asio::yield_context yield) {
        for (unsigned i = 0; i < kCancelAttempts && cancelGeneration(endpoint, name, onlyReader, context.options, yield) == CancelOutcome::Unknown; ++i) {
            sleepFor(kCancelPause * (1U << i), yield);
        }
    });
}

bool AnswerRelay::Private::reconnect(const Error &fault, asio::yield_context yield)
{
    lastError_ = fault;
    if (state_.error() || fault.code == ResultCode::ForeignGeneration) {
        return false;
    }
    while (fruitless_ < context_.options.resumeAttempts) {
        if (fruitless_ > 0) {
            const auto longest = context_.options.resumeBackoff * (1U << (fruitless_ - 1));
            sleepFor(std::chrono::duration_cast<std::chrono::milliseconds>(longest * context_.uniform()), yield);
        }
        ++fruitless_;
        const auto error = openResume(yield);
        if (!error) {
            return true;
        }
        lastError_ = error;
        if (error->code == ResultCode::GenerationLost) {
            return false;
        }
    }
    return false;
}

std::optional<Error> AnswerRelay::Private::openResume(asio::yield_context yield)
{
    DecisionLine("resume")
        .field("request", request_.value())
        .field("team", grant_.team.value())
        .field("choice", endpoint_.id.value())
        .field("reason", accounts_ || headerSent_ ? toString(lastError_->code) : "caller")
        .field("offset", std::to_string(state_.nextSequence()))
        .write();
    if (!dispatcher_.findEndpoint(endpoint_.id)) {
        return Error{ResultCode::GenerationLost, "endpoint " + endpoint_.id.value() + " has left", {}};
    }
    stream_ = std::make_shared<EndpointStream>(connection_.executor(), endpoint_, context_.options);
    // A relay without a caller only listens: it must not take the generation from a VM where the caller resumed.
    return stream_->resume(state_.generation(), state_.nextSequence(), callerGone_ ? "" : reader_, yield);
}

void AnswerRelay::Private::reportProgress()
{
    const auto now = context_.parts.clock.now();
    if (accounts_ && recall_->firstToken && now - lastProgress_ >= context_.options.progressInterval) {
        lastProgress_ = now;
        dispatcher_.onProgress(request_, static_cast<std::uint32_t>(state_.nextSequence()));
    }
}

void AnswerRelay::Private::conclude(FinishReason reason, asio::yield_context yield)
{
    const auto state = state_.finish();
    auto error = state == FinalState::Complete ? std::nullopt : (state_.error() ? state_.error() : lastError_);
    if (accounts_) {
        dispatcher_.onFinished(request_, static_cast<std::uint32_t>(state_.nextSequence()), reason);
    }
    DecisionLine("finish")
        .field("request", request_.value())
        .field("team", grant_.team.value())
        .field("choice", endpoint_.id.value())
        .field("reason", error ? toString(error->code) : (callerGone_ ? "caller_gone" : "end"))
        .field("state", toString(state))
        .field("tokens", std::to_string(state_.nextSequence()))
        .write();
    if (callerGone_) {
        return;
    }
    if (!streamed_) {
        sendWhole(state, error, yield);
        return;
    }
    if (ended_) {
        encoder_->appendFinish(out_, finishReason_);
    }
    CompletionEncoder::appendFinal(out_, state, error);
    flush(yield);
    connection_.endEvents(yield);
}

void AnswerRelay::Private::sendWhole(FinalState state, const std::optional<Error> &error, asio::yield_context yield)
{
    auto body = encoder_->whole(whole_, ended_ ? finishReason_ : "incomplete", state, promptTokens_, state_.nextSequence());
    if (!error) {
        connection_.write(jsonReply(std::move(body)), yield);
        return;
    }
    // What was generated remains valid, so it is part of the error's body.
    auto response = errorReply(*error, state);
    body.back() = ',';
    response.body() = body + response.body().substr(1);
    connection_.write(std::move(response), yield);
}

AnswerRelay::AnswerRelay(FrontendContext &context, HttpConnection &connection, const CallerGrant &grant)
    : d_(std::make_unique<Private>(context, connection, grant))
{
}

AnswerRelay::~AnswerRelay() = default;

void AnswerRelay::run(const CompletionRequest &request, asio::yield_context yield)
{
    d_->run(request, yield);
}

void AnswerRelay::resume(const ResumePoint &point, bool chat, asio::yield_context yield)
{
    d_->resume(point, chat, yield);
}

} // namespace daisystream
