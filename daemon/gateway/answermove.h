#pragma once

#include "daemon/gateway/assignmentrequester.h"

#include <memory>
#include <optional>

/// @file
/// Migrates a running answer from an engine that is leaving to another engine.
///
/// The answer's memory (its KV cache) is copied while the source engine still generates the answer. Each further copy only
/// transfers what was generated since the one before. As soon as a copy is quick, the answer is stopped, the remainder is
/// copied, and the answer can resume at the target engine. The caller sees a pause as long as this last copy.
///
/// Example:
/// @code
///   auto move = AnswerMove::start(gateway, strand, plan);
///   ...                                          // the source engine closes the stream when the answer is stopped
///   if (const auto moved = move->wait(yield)) { continueAt(*moved); }
/// @endcode

namespace daisystream
{

/// The answer to move and its constraints.
struct MovePlan
{
    WorkRequest work;        ///< The work that the dispatcher assigns to a target engine.
    std::string attempt;     ///< Attempt id by which the source engine knows the answer.
    EndpointSettings source; ///< The engine that generates the answer now.
    TimePoint deadline{};    ///< Time limit for the assignment of a target engine.
};

/// Where a moved answer resumes.
struct MovedAnswer
{
    EndpointSettings target;
    AnswerMemory memory; ///< The copy from which the target resumes.
    RequestId workId;    ///< Id by which the dispatcher knows the run at the target.
};

/// A single move of one answer. All members must be called on the strand that was passed to `start`.
class AnswerMove : public std::enable_shared_from_this<AnswerMove>
{
public:
    enum class Phase : std::uint8_t {
        Copying,  ///< The source still generates the answer.
        Stopping, ///< The source was told to stop generating; the last copy is in progress.
        Moved,    ///< The answer can resume as `wait` returns.
        Failed,   ///< The source still generates the answer, unless it was already told to stop.
    };

    /// Starts the move in a new coroutine on `strand`.
    /// @return the move, which its coroutine keeps alive until it has ended.
    [[nodiscard]] static std::shared_ptr<AnswerMove> start(GatewayContext &gateway, const FrontendStrand &strand, MovePlan plan);

    AnswerMove(GatewayContext &gateway, const FrontendStrand &strand, MovePlan plan);

    [[nodiscard]] Phase phase() const
    {
        return phase_;
    }

    /// @return whether the source no longer ran the answer when it was told to stop generating.
    [[nodiscard]] bool answerHadEnded() const
    {
        return answerHadEnded_;
    }

    /// Suspends the calling coroutine until the move has ended.
    /// @return where the answer resumes, or nothing if the move failed.
    [[nodiscard]] std::optional<MovedAnswer> wait(boost::asio::yield_context yield);

    /// Cancels the move and drops the copy, because the answer has ended or was given up.
    void cancel();

private:
    void run(boost::asio::yield_context yield);
    [[nodiscard]] std::optional<EndpointSettings> findTarget(boost::asio::yield_context yield);
    [[nodiscard]] MoveReply copy(const EndpointSettings &target, bool isLast, boost::asio::yield_context yield);
    [[nodiscard]] bool copyWhileRunning(const EndpointSettings &target, boost::asio::yield_context yield);
    void release(boost::asio::yield_context yield);
    void pause(std::chrono::milliseconds time, boost::asio::yield_context yield);
    void end(Phase phase);

    GatewayContext &gateway_;
    FrontendStrand strand_;
    MovePlan plan_;
    AssignmentRequester requester_;
    boost::asio::steady_timer ended_;
    Phase phase_ = Phase::Copying;
    std::optional<TimePoint> assignedAt_; ///< When the dispatcher assigned the current target.
    unsigned copies_ = 0;                 ///< Copy requests so far, over all targets.
    bool answerHadEnded_ = false;
    bool cancelled_ = false;
    bool assigned_ = false; ///< The dispatcher has an assignment that `release` must end.
    std::string handle_;    ///< Handle of the latest copy; empty if there is none.
    std::optional<MovedAnswer> moved_;
};

} // namespace daisystream
