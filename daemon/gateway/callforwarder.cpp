#include "daemon/gateway/callforwarder.h"

#include "daemon/endpoints/endpointexchange.h"
#include "daemon/endpoints/permitclient.h"
#include "daemon/endpoints/promptguard.h"
#include "daemon/gateway/gatewayreply.h"
#include "daemon/status/decisionlog.h"
#include "daisystream/base/stablehash.h"
#include "daisystream/forwarding/forwardingstate.h"
#include "daisystream/forwarding/responsemeaning.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>

namespace daisystream
{

namespace http = boost::beast::http;

namespace
{

// Plain services have bounded requests and responses; a longer response is treated as a failure.
constexpr std::uint64_t kMaxResponseBytes = 4U << 20U;
// An idempotent call waits for one endpoint for this many times the response-time objective (`Route::goal`) before it is sent
// to another endpoint.
constexpr int kGoalsPerAttempt = 2;
// Endpoints to which no byte could be sent before the call is given up. A failed connection costs little, so that several
// endpoints are tried.
constexpr std::size_t kMaxUnreachable = 4;
constexpr std::chrono::milliseconds kConnectTimeout{300};
// Retry time for callers when every endpoint is full: the duration of a few calls.
constexpr std::chrono::milliseconds kRetryAfterFull{200};

/// @return a factor in percent, for the log.
std::string percentText(double factor)
{
    return std::to_string(std::lround(100 * factor));
}

/// Forwards a single call, with its retries.
class Call : public std::enable_shared_from_this<Call>
{
public:
    Call(GatewayContext &gateway, HttpConnection &connection, const RoutedRequest &request)
        : gateway_(gateway)
        , connection_(connection)
        , request_(request)
        , state_(request.route->kind, request.route->attempts)
        , attemptHash_(stableHash(request.id.value()))
        , requestHash_(permitRequestHash(request))
    {
    }

    void run(boost::asio::yield_context yield)
    {
        connection_.watchPeer([this] {
            callerLeft_ = true;
            if (exchange_) {
                exchange_->abort();
            }
        });
        const auto shutdownWatch = watchShutdown();
        gateway_.countRequest(request_.service);
        const auto verdict = guard().admit(request_.head.sharedParts);
        if (const auto *refusal = std::get_if<Error>(&verdict)) {
            failure_ = *refusal;
        }
        while (std::holds_alternative<PartsAdmitted>(verdict) && mayAttempt()) {
            const auto endpoint = chooseEndpoint(yield);
            if (!endpoint) {
                break;
            }
            if (!gateway_.canServe(request_)) {
                gateway_.onCallEnded(endpoint->id, CallResult::CallerLeft, {});
                failure_ = shuttingDownError();
                break;
            }
            tried_.push_back(endpoint->id);
            attempt(*endpoint, yield);
        }
        connection_.stopWatching();
        finish(yield);
    }

private:
    [[nodiscard]] PromptGuard &guard() const
    {
        return gateway_.frontend.parts.promptGuard;
    }

    /// Ends the exchange with an endpoint when this VM has no time left to wait for it.
    /// @return keeps the callback registered.
    [[nodiscard]] std::shared_ptr<void> watchShutdown()
    {
        return gateway_.watchShutdown([weak = weak_from_this(), executor = strandOf(connection_.executor())] {
            boost::asio::post(executor, [weak] {
                const auto self = weak.lock();
                if (self && self->gateway_.shutdownPhase() >= ShutdownPhase::Answering) {
                    self->isCutByShutdown_ = true;
                    if (self->exchange_) {
                        self->exchange_->abort();
                    }
                }
            });
        });
    }

    [[nodiscard]] bool mayAttempt()
    {
        if (callerLeft_ || isCutByShutdown_ || answered_ || gateway_.now() >= request_.deadline || !state_.mayRetry() || unreachableCount_ >= kMaxUnreachable) {
            return false;
        }
        if (state_.sent() > 0 && !guard().mayRepeat(request_.head.sharedParts, tried_.back())) {
            return false;
        }
        if (state_.sent() > 0 && !gateway_.tryConsumeRetry(request_.service)) {
            budgetExhausted_ = true;
            return false;
        }
        return true;
    }

    /// Chooses an endpoint that takes a request now. If none does because of request limits, waits in line for a short time.
    /// @return nothing if there is no such endpoint; `failure_` is set.
    [[nodiscard]] std::optional<EndpointSettings> chooseEndpoint(boost::asio::yield_context yield)
    {
        const bool isUrgent = rankOf(request_) == Rank::Urgent;
        auto excluded = tried_;
        for (;;) {
            auto [endpoint, overloadedFor] = gateway_.startCall(request_, excluded, isUrgent);
            if (overloadedFor) {
                failure_ = Error{ResultCode::NoEndpoint, "every endpoint of the service is overloaded", *overloadedFor};
                return std::nullopt;
            }
            if (!endpoint) {
                break;
            }
            const auto denied = gateway_.frontend.parts.permits.acquire(
                {.endpoint = endpoint->id, .attempt = attemptHash_, .request = requestHash_, .isUrgent = isUrgent}, yield);
            const bool isInService = gateway_.isInService(endpoint->id); // May have changed while waiting for the permit.
            if (!denied && isInService && !callerLeft_) {
                return endpoint;
            }
            if (!isInService) {
                gateway_.countRedirect();
            }
            gateway_.onCallEnded(endpoint->id, CallResult::CallerLeft, {});
            if (callerLeft_) {
                return std::nullopt;
            }
            excluded.push_back(endpoint->id);
        }
        return waitInLine(isUrgent, yield);
    }

    [[nodiscard]] std::optional<EndpointSettings> waitInLine(bool isUrgent, boost::asio::yield_context yield)
    {
        const auto left = gateway_.timeUntil(request_.deadline);
        LineRequest line{.endpoints = {},
                         .attempt = attemptHash_,
                         .request = requestHash_,
                         .isUrgent = isUrgent,
                         .maxWait = std::min(left, request_.route->goal) / kMaxPermitWaitDivisor,
                         .patience = state_.sent() > 0 ? std::chrono::milliseconds(0) : left / kReturnDivisor};
        for (const auto &endpoint : gateway_.dispatcher.serviceEndpoints(request_.service)) {
            const bool isTried = std::find(tried_.begin(), tried_.end(), endpoint.id) != tried_.end();
            if (!isTried && gateway_.frontend.parts.permits.limit(endpoint.id) && !gateway_.isInCooldown(endpoint.id)) {
                line.endpoints.push_back(endpoint.id);
            }
        }
        if (line.endpoints.empty()) {
            failure_ = failure_.value_or(noEndpointError());
            return std::nullopt;
        }
        const auto reply = gateway_.frontend.parts.permits.waitInLine(line, yield);
        if (const auto *error = std::get_if<Error>(&reply)) {
            failure_ = failure_.value_or(*error);
            return std::nullopt;
        }
        auto endpoint = gateway_.dispatcher.findEndpoint(std::get<EndpointId>(reply));
        if (callerLeft_ || !endpoint || !gateway_.isInService(endpoint->id)) {
            failure_ = failure_.value_or(noEndpointError());
            return std::nullopt;
        }
        gateway_.startCallAt(endpoint->id);
        return endpoint;
    }

    /// @return the error for a call that has no endpoint left to be sent to.
    [[nodiscard]] Error noEndpointError()
    {
        if (const auto rest = gateway_.timeUntilAvailable(gateway_.dispatcher.serviceEndpoints(request_.service))) {
            return {ResultCode::EndpointRefused, "every endpoint of the service asked this VM to send nothing for a time", *rest};
        }
        return {ResultCode::NoEndpoint, "no endpoint of the service takes requests", kRetryAfterFull};
    }

    void attempt(const EndpointSettings &endpoint, boost::asio::yield_context yield)
    {
        const auto left = gateway_.timeUntil(request_.deadline);
        const auto timeLimit = attemptTimeLimit(left);
        sentAt_ = gateway_.now();
        speed_ = gateway_.speed(endpoint.id);
        exchange_.emplace(connection_.executor(), endpoint.address);
        auto fault = exchange_->open(gateway_.dialect.toEndpoint(request_.http, {.endpointName = endpoint.name, .timeLeft = left, .team = request_.team}),
                                     {.connect = std::min(left, kConnectTimeout), .header = timeLimit},
                                     yield);
        if (exchange_->bytesSent()) {
            state_.onSent();
            gateway_.onSent(endpoint.id);
        }
        if (!fault) {
            fault = exchange_->readAll(timeLimit, kMaxResponseBytes, yield, &gateway_.frontend.clients.budget());
        }
        recordAttempt(endpoint, fault);
        // The response is in memory until the caller has read it.
        answerBytes_ = exchange_->takeLease();
        exchange_.reset();
    }

    /// @return the time limit for one endpoint: all of the remaining time if no further endpoint may be tried.
    [[nodiscard]] std::chrono::milliseconds attemptTimeLimit(std::chrono::milliseconds left) const
    {
        const bool isLast = !isIdempotent(request_.route->kind) || state_.sent() + 1 >= request_.route->attempts || request_.route->goal.count() == 0;
        return isLast ? left : std::min(left, kGoalsPerAttempt * request_.route->goal);
    }

    void recordAttempt(const EndpointSettings &endpoint, const std::optional<ExchangeFault> &fault)
    {
        const auto &response = exchange_->response();
        const auto head = fault ? EndpointHeaders{} : gateway_.dialect.readEndpoint(response);
        if (!fault) {
            gateway_.onEndpointHeaders(endpoint.id, head, sentAt_);
        }
        const bool isForOtherRequest = !fault && !head.attempt.empty() && head.attempt != request_.head.attempt;
        const auto meaning = fault ? ResponseMeaning::Unproven : meaningOf(factsOf(response.result_int(), head, isForOtherRequest));
        auto end = AttemptEnd::MayHaveRun;
        auto result = CallResult::Failed;
        if (!exchange_->bytesSent()) {
            end = AttemptEnd::NotSent;
            ++unreachableCount_;
        } else if (meaning == ResponseMeaning::NotRun) {
            end = AttemptEnd::ProvenNotRun;
            result = CallResult::Refused;
            failure_ = Error{ResultCode::EndpointRefused, "endpoint " + endpoint.id.value() + " is full or leaving", head.retryAfter.value_or(kRetryAfterFull)};
        } else if (meaning != ResponseMeaning::Unproven) {
            end = AttemptEnd::Answered;
            const bool isServerError = response.result_int() >= 500;
            result = isServerError ? CallResult::Failed : CallResult::Answered;
            answer_ = gateway_.dialect.toCaller(response);
            // Another endpoint may succeed after a server error; this answer is final only if no other endpoint may be tried.
            answered_ = !isServerError || !state_.mayRetry();
        }
        if (callerLeft_ || isCutByShutdown_) {
            result = CallResult::CallerLeft;
        } else if (fault && end == AttemptEnd::MayHaveRun) {
            guard().onFailed(endpoint, request_.head.sharedParts, sentAt_);
        } else if (end == AttemptEnd::Answered) {
            guard().onBegun(request_.head.sharedParts, sentAt_);
            gateway_.onCallTime(request_, gateway_.now() - sentAt_);
            // Errors and redirections may take less time than the work of a call.
            if (response.result_int() < 300) {
                gateway_.onSpeedSample(request_, endpoint, head.load, gateway_.now() - sentAt_);
            }
        }
        if (!fault && end == AttemptEnd::MayHaveRun) {
            failure_ = Error{ResultCode::EndpointProtocol,
                             "endpoint " + endpoint.id.value() + " responded with status " + std::to_string(response.result_int())
                                 + (isForOtherRequest ? " to another request" : ", which does not prove whether the request has run"),
                             {}};
        }
        state_.onAttemptEnded(end);
        if (fault && !failure_) {
            const auto code = fault->kind == ExchangeFault::Kind::Silent ? ResultCode::EndpointSilent : ResultCode::EndpointUnreachable;
            failure_ = Error{code, "endpoint " + endpoint.id.value() + ": " + fault->detail, kRetryAfterFull};
        }
        gateway_.onCallEnded(endpoint.id, result, head.load);
        log(endpoint, fault, head, isForOtherRequest);
    }

    void log(const EndpointSettings &endpoint, const std::optional<ExchangeFault> &fault, const EndpointHeaders &head, bool isForOtherRequest) const
    {
        gateway_.startLine("send", request_)
            .field("choice", endpoint.id.value())
            .field("attempt", std::to_string(state_.sent()))
            .field("limit", gateway_.limitText(endpoint.id))
            .field("speed", percentText(speed_.base))
            .field("slowness", percentText(speed_.slowness))
            .field("slowness_ms", speed_.age ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*speed_.age).count()) : "")
            .field("load_limit", speed_.loadLimit ? std::to_string(std::lround(*speed_.loadLimit)) : "")
            .field("outcome",
                   fault                   ? toString(fault->kind)
                       : isForOtherRequest ? "foreign"
                                           : std::to_string(exchange_->response().result_int()))
            .field("proof", proofText(head))
            .field("forwarded", answered_ ? "true" : "false")
            .field("detail", fault ? fault->detail : "")
            .field("waited_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(gateway_.now() - request_.arrival).count()))
            .write();
    }

    void finish(boost::asio::yield_context yield)
    {
        if (callerLeft_) {
            gateway_.onEnded(request_, RequestOutcome::CallerLeft);
            connection_.abort();
            return;
        }
        if (answer_) {
            gateway_.onEnded(request_, RequestOutcome::Answered);
            connection_.write(std::move(*answer_), yield);
            return;
        }
        Error error = failure_.value_or(Error{ResultCode::TimeLimitPassed, "the time limit was exceeded", {}});
        if (isCutByShutdown_) {
            error = shuttingDownError();
        } else if (gateway_.now() >= request_.deadline) {
            error = {ResultCode::TimeLimitPassed, "the time limit was exceeded; " + error.detail, error.retryAfter};
        } else if (budgetExhausted_) {
            error.detail += "; the retry budget is exhausted";
        }
        sendFailure(gateway_, connection_, request_, error, state_.failureOutcome(), yield);
    }

    GatewayContext &gateway_;
    HttpConnection &connection_;
    const RoutedRequest &request_;
    ForwardingState state_;
    const std::uint64_t attemptHash_; ///< As PermitRequest::attempt.
    const std::uint64_t requestHash_; ///< As PermitRequest::request.
    std::optional<EndpointExchange> exchange_;
    std::vector<EndpointId> tried_;      ///< Endpoints that were already attempted.
    ByteLease answerBytes_;              ///< For `answer_`.
    std::optional<HttpResponse> answer_; ///< Latest response that an endpoint gave to this call.
    std::optional<Error> failure_;       ///< Error of the first failed attempt, or of the latest refused attempt.
    EndpointSpeed speed_;                ///< Of the endpoint of the latest attempt, when it began.
    TimePoint sentAt_{};                 ///< When the latest attempt began.
    std::size_t unreachableCount_ = 0;   ///< Attempts of which no byte was sent.
    bool answered_ = false;              ///< `answer_` is final.
    bool budgetExhausted_ = false;
    bool isCutByShutdown_ = false; ///< The call was given up because this VM ends.
    bool callerLeft_ = false;
};

} // namespace

void forwardCall(GatewayContext &gateway, HttpConnection &connection, const RoutedRequest &request, boost::asio::yield_context yield)
{
    std::make_shared<Call>(gateway, connection, request)->run(yield);
}

} // namespace daisystream
