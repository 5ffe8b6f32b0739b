#include "daemon/gateway/asking.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>

namespace daisystream
{

namespace asio = boost::asio;

/// Shared by the coroutine that waits, the dispatcher and the timer; whoever settles it first counts.
class Asking::Question
{
public:
    Question(GatewayContext &gateway, RequestId id, const FrontendStrand &strand)
        : gateway_(gateway)
        , id_(std::move(id))
        , timer_(strand)
    {
    }

    void setResume(std::function<void(Result<Assign>)> resume)
    {
        resume_ = std::move(resume);
    }

    asio::steady_timer &timer()
    {
        return timer_;
    }

    void settle(Result<Assign> reply)
    {
        if (auto resume = std::exchange(resume_, nullptr)) {
            timer_.cancel();
            resume(std::move(reply));
        }
    }

    void giveUp(const Error &error)
    {
        if (resume_) {
            gateway_.dispatcher.withdraw(id_);
            settle(error);
        }
    }

private:
    GatewayContext &gateway_;
    RequestId id_;
    asio::steady_timer timer_;
    std::function<void(Result<Assign>)> resume_;
};

Asking::Asking(GatewayContext &gateway)
    : gateway_(gateway)
{
}

Asking::~Asking() = default;

Result<Assign> Asking::ask(const WorkRequest &work, TimePoint deadline, asio::yield_context yield)
{
    const auto strand = strandOf(yield.get_executor());
    auto question = std::make_shared<Question>(gateway_, work.id, strand);
    question_ = question;
    const auto left = gateway_.timeUntil(deadline);
    return asio::async_initiate<asio::yield_context, void(Result<Assign>)>(
        [&](auto handler) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            question->setResume(
                [shared, strand](Result<Assign> reply) { asio::post(strand, [shared, reply = std::move(reply)]() mutable { (*shared)(std::move(reply)); }); });
            question->timer().expires_after(left);
            question->timer().async_wait([weak = std::weak_ptr(question)](const boost::system::error_code &cancelled) {
                const auto waiting = weak.lock();
                if (!cancelled && waiting) {
                    waiting->giveUp({ResultCode::TimeLimitPassed, "no engine had room before the time limit", {}});
                }
            });
            gateway_.dispatcher.ask(work, [question, strand](Result<Assign> reply) {
                asio::post(strand, [question, reply = std::move(reply)]() mutable { question->settle(std::move(reply)); });
            });
        },
        yield);
}

void Asking::giveUp(const Error &error)
{
    if (const auto question = question_) {
        question->giveUp(error);
    }
}

} // namespace daisystream
