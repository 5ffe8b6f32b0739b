#pragma once

#include "daemon/gateway/gatewaycontext.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

/// @file
/// Asks the dispatcher for an engine, from a coroutine that can stop waiting.
///
/// Example:
/// @code
///   Asking asking(gateway);
///   const Result<Assign> reply = asking.ask(work, deadline, yield); // `asking.giveUp(error)` ends the wait
/// @endcode

namespace daisystream
{

/// One question at a time. Use it from one strand only.
class Asking
{
public:
    explicit Asking(GatewayContext &gateway);
    ~Asking();

    Asking(const Asking &) = delete;
    Asking &operator=(const Asking &) = delete;

    /// @param deadline the question is withdrawn then.
    /// @return the engine, the refusal, or the error of `giveUp`; `TimeLimitPassed` at the deadline.
    [[nodiscard]] Result<Assign> ask(const WorkRequest &work, TimePoint deadline, boost::asio::yield_context yield);

    /// Withdraws the question, if there is one; `ask` returns the error.
    void giveUp(const Error &error);

private:
    class Question;

    GatewayContext &gateway_;
    std::shared_ptr<Question> question_;
};

} // namespace daisystream
