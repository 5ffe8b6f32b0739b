#include "daemon/gateway/answermove.h"

#include "daemon/endpoints/endpointexchange.h"
#include "daemon/status/decisionlog.h"

#include <boost/asio/detached.hpp>

namespace daisystream
{

namespace asio = boost::asio;

namespace
{

using std::chrono::milliseconds;

// A copy that took at most this long indicates that no other copies compete for the network links, so that the last copy
// will be short as well.
constexpr milliseconds kMaxShortCopyTime{60};
// Copies while the answer is being generated. Each transfers what is new since the one before. After this many the answer is
// stopped even if the copies did not become quick.
constexpr unsigned kMaxCopies = 4;
constexpr unsigned kMaxTargets = 3;
// A copy of the largest answers takes about 0.3 s, and concurrent copies queue behind each other.
constexpr milliseconds kCopyTimeout{4000};
constexpr milliseconds kConnectTimeout{300};
constexpr milliseconds kCopyRetryDelay{50};
constexpr std::uint64_t kMaxReplyBytes = 65536;

} // namespace

std::shared_ptr<AnswerMove> AnswerMove::start(GatewayContext &gateway, const FrontendStrand &strand, MovePlan plan)
{
    auto move = std::make_shared<AnswerMove>(gateway, strand, std::move(plan));
    asio::spawn(
        strand, [move](asio::yield_context yield) { move->run(yield); }, asio::detached);
    return move;
}

AnswerMove::AnswerMove(GatewayContext &gateway, const FrontendStrand &strand, MovePlan plan)
    : gateway_(gateway)
    , strand_(strand)
    , plan_(std::move(plan))
    , requester_(gateway)
    , ended_(strand_, asio::steady_timer::time_point::max())
{
}

std::optional<MovedAnswer> AnswerMove::wait(asio::yield_context yield)
{
    while (phase_ == Phase::Copying || phase_ == Phase::Stopping) {
        boost::system::error_code ignored;
        ended_.async_wait(yield[ignored]);
    }
    return phase_ == Phase::Moved ? moved_ : std::nullopt;
}

void AnswerMove::cancel()
{
    cancelled_ = true;
    requester_.cancelRequest({ResultCode::CallerLeft, "the answer ended before it was moved", {}});
    if (phase_ == Phase::Moved && moved_) {
        asio::spawn(
            strand_, [self = shared_from_this()](asio::yield_context yield) { self->release(yield); }, asio::detached);
    }
}

void AnswerMove::end(Phase phase)
{
    phase_ = phase;
    ended_.cancel();
}

void AnswerMove::pause(milliseconds time, asio::yield_context yield)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(strand_, time);
    timer.async_wait(yield[ignored]);
}

void AnswerMove::run(asio::yield_context yield)
{
    const auto begin = gateway_.now();
    auto reply = MoveReply{};
    for (unsigned tries = 0; tries < kMaxTargets && !cancelled_ && phase_ != Phase::Moved; ++tries) {
        const auto target = findTarget(yield);
        if (!target || cancelled_) {
            break;
        }
        if (!copyWhileRunning(*target, yield)) {
            release(yield);
            continue;
        }
        phase_ = Phase::Stopping;
        reply = copy(*target, true, yield);
        answerHadEnded_ = reply.outcome == MoveReply::Outcome::NoSuchRun;
        if (reply.outcome == MoveReply::Outcome::Copied) {
            moved_ = MovedAnswer{.target = *target, .memory = {.holder = plan_.source.address, .handle = reply.handle}, .workId = plan_.work.id};
            gateway_.dispatcher.onFirstToken(plan_.work.id); // Lets the dispatcher use the source's link for the next answer.
        } else if (!reply.handle.empty()) {
            // The source has stopped the answer but keeps its memory, so that the answer can resume at the source.
            moved_ = MovedAnswer{.target = plan_.source, .memory = {.holder = plan_.source.address, .handle = reply.handle}, .workId = plan_.work.id};
        }
        break;
    }
    gateway_.onMove(gateway_.now() - begin, moved_ && !cancelled_);
    DecisionLine("move")
        .field("request", plan_.attempt)
        .field("work", plan_.work.id.value())
        .field("from", plan_.source.id.value())
        .field("choice", moved_ ? moved_->target.id.value() : "none")
        .field("tokens", std::to_string(plan_.work.promptTokens + plan_.work.heldTokens))
        .field("near", moved_ && moved_->target.zone == plan_.source.zone ? "true" : "false")
        .field("copies", std::to_string(copies_))
        .field("granted_ms", assignedAt_ ? std::to_string(std::chrono::duration_cast<milliseconds>(*assignedAt_ - begin).count()) : "never")
        .field("took_ms", std::to_string(std::chrono::duration_cast<milliseconds>(gateway_.now() - begin).count()))
        .field("reason",
               cancelled_   ? "answer_ended"
                   : moved_ ? "moved"
                            : "failed")
        .write();
    if (!moved_ || cancelled_) {
        release(yield);
    }
    end(moved_ ? Phase::Moved : Phase::Failed);
}

std::optional<EndpointSettings> AnswerMove::findTarget(asio::yield_context yield)
{
    plan_.work.id = gateway_.frontend.newRequestId();
    plan_.work.barred = gateway_.unavailable(plan_.work.rank == Rank::Urgent);
    const auto answer = requester_.ask(plan_.work, plan_.deadline, yield);
    const auto *assign = std::get_if<Assign>(&answer);
    if (assign == nullptr) {
        return std::nullopt;
    }
    assigned_ = true;
    assignedAt_ = gateway_.now();
    auto target = gateway_.dispatcher.findEndpoint(assign->endpoint);
    if (!target || target->id == plan_.source.id || gateway_.isInCooldown(target->id)) {
        release(yield);
        return std::nullopt;
    }
    return target;
}

bool AnswerMove::copyWhileRunning(const EndpointSettings &target, asio::yield_context yield)
{
    for (unsigned round = 0; round < kMaxCopies && !cancelled_; ++round) {
        const auto begin = gateway_.now();
        const auto reply = copy(target, false, yield);
        if (reply.outcome == MoveReply::Outcome::InProgress) {
            pause(kCopyRetryDelay, yield);
            continue;
        }
        if (reply.outcome != MoveReply::Outcome::Copied) {
            return false;
        }
        handle_ = reply.handle;
        if (gateway_.now() - begin <= kMaxShortCopyTime) {
            break;
        }
    }
    return !cancelled_;
}

MoveReply AnswerMove::copy(const EndpointSettings &target, bool isLast, asio::yield_context yield)
{
    if (gateway_.isInCooldown(plan_.source.id)) {
        return {};
    }
    ++copies_;
    EndpointExchange exchange(strand_, plan_.source.address);
    const auto sentAt = gateway_.now();
    const auto request = gateway_.dialect.moveRequest(plan_.source.name, plan_.attempt, target.address, isLast);
    if (exchange.open(request, {.connect = kConnectTimeout, .header = kCopyTimeout}, yield)) {
        return {};
    }
    if (exchange.readAll(kCopyTimeout, kMaxReplyBytes, yield)) {
        return {};
    }
    gateway_.onEndpointHeaders(plan_.source.id, gateway_.dialect.readEndpoint(exchange.response()), sentAt);
    return gateway_.dialect.readMove(exchange.response());
}

void AnswerMove::release(asio::yield_context yield)
{
    if (std::exchange(assigned_, false)) {
        gateway_.dispatcher.onFinished(plan_.work.id, 0, FinishReason::MovedAway);
    }
    if (handle_.empty() || gateway_.isInCooldown(plan_.source.id)) {
        return;
    }
    EndpointExchange exchange(strand_, plan_.source.address);
    const auto request = gateway_.dialect.dropRequest(std::exchange(handle_, {}));
    // The reply is ignored: if the request is lost, the engines drop the copy when its lifetime expires.
    (void)exchange.open(request, {.connect = kConnectTimeout, .header = kCopyTimeout}, yield);
}

} // namespace daisystream
