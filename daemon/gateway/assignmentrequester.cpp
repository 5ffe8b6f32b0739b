#include "daemon/gateway/assignmentrequester.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>

namespace daisystream
{

namespace asio = boost::asio;

/// A request that waits for its result. The waiting coroutine, the dispatcher and the timer share it; only the first result
/// is used.
class AssignmentRequester::PendingRequest
{
public:
    PendingRequest(GatewayContext &gateway, RequestId id, const FrontendStrand &strand)
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

    void complete(Result<Assign> reply)
    {
        if (auto resume = std::exchange(resume_, nullptr)) {
            timer_.cancel();
            resume(std::move(reply));
        }
    }

    void cancelRequest(const Error &error)
    {
        if (resume_) {
            gateway_.dispatcher.withdraw(id_);
            complete(error);
        }
    }

private:
    GatewayContext &gateway_;
    RequestId id_;
    asio::steady_timer timer_;
    std::function<void(Result<Assign>)> resume_;
};

AssignmentRequester::AssignmentRequester(GatewayContext &gateway)
    : gateway_(gateway)
{
}

AssignmentRequester::~AssignmentRequester() = default;

Result<Assign> AssignmentRequester::ask(const WorkRequest &work, TimePoint deadline, asio::yield_context yield)
{
    const auto strand = strandOf(yield.get_executor());
    auto pending = std::make_shared<PendingRequest>(gateway_, work.id, strand);
    pending_ = pending;
    const auto left = gateway_.timeUntil(deadline);
    return asio::async_initiate<asio::yield_context, void(Result<Assign>)>(
        [&](auto handler) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            pending->setResume(
                [shared, strand](Result<Assign> reply) { asio::post(strand, [shared, reply = std::move(reply)]() mutable { (*shared)(std::move(reply)); }); });
            pending->timer().expires_after(left);
            pending->timer().async_wait([weak = std::weak_ptr(pending)](const boost::system::error_code &cancelled) {
                const auto waiting = weak.lock();
                if (!cancelled && waiting) {
                    waiting->cancelRequest({ResultCode::TimeLimitPassed, "no engine had capacity before the time limit", {}});
                }
            });
            gateway_.dispatcher.ask(work, [pending, strand](Result<Assign> reply) {
                asio::post(strand, [pending, reply = std::move(reply)]() mutable { pending->complete(std::move(reply)); });
            });
        },
        yield);
}

void AssignmentRequester::cancelRequest(const Error &error)
{
    if (const auto pending = pending_) {
        pending->cancelRequest(error);
    }
}

} // namespace daisystream
