#pragma once

#include "daemon/gateway/gatewaycontext.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

/// @file
/// Requests an engine assignment from the dispatcher. The waiting coroutine can be cancelled.
///
/// Example:
/// @code
///   AssignmentRequester requester(gateway);
///   const Result<Assign> reply = requester.ask(work, deadline, yield); // `requester.cancelRequest(error)` ends the wait
/// @endcode

namespace daisystream
{

/// Has at most one pending request at a time. All members must be called on one strand.
class AssignmentRequester
{
public:
    explicit AssignmentRequester(GatewayContext &gateway);
    ~AssignmentRequester();

    AssignmentRequester(const AssignmentRequester &) = delete;
    AssignmentRequester &operator=(const AssignmentRequester &) = delete;

    /// Asks the dispatcher for an engine and suspends the calling coroutine until there is a result.
    /// @param work the request that needs an engine.
    /// @param deadline time at which the request is withdrawn from the dispatcher.
    /// @return the assigned engine; the dispatcher's error if it refuses the work; the error that was passed to
    ///     `cancelRequest`; or `TimeLimitPassed` at the deadline.
    [[nodiscard]] Result<Assign> ask(const WorkRequest &work, TimePoint deadline, boost::asio::yield_context yield);

    /// Withdraws the pending request, if there is one, and makes `ask` return `error`.
    void cancelRequest(const Error &error);

private:
    class PendingRequest;

    GatewayContext &gateway_;
    std::shared_ptr<PendingRequest> pending_;
};

} // namespace daisystream
