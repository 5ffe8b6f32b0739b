#pragma once

#include "daisystream/answer/sequencer.h"

#include <vector>

/// @file
/// The state of one answer at its entry VM (the VM that received the request): its attempts at endpoints, the tokens
/// delivered to the caller, and its final state.
///
/// Example:
/// @code
///   AnswerState answer;
///   const auto attempt = answer.beginAttempt(endpoint);
///   answer.onRequestBytesSent(*attempt);
///   SequenceVerdict verdict = answer.accept(*attempt, event);
///   answer.onEndOfStream(*attempt, event.sequence + 1);
///   FinalState state = answer.finish();
/// @endcode

namespace daisystream
{

/// How an answer ended, as reported to the caller in the final event.
enum class FinalState : std::uint8_t {
    Complete,       ///< All tokens were delivered to the caller.
    Incomplete,     ///< The delivered tokens are valid, but the rest of the answer will not be delivered.
    NotRun,         ///< No endpoint ran the request.
    OutcomeUnknown, ///< An endpoint may have run the request, but no token was delivered.
};

/// @return "complete", "incomplete", "notRun" or "outcomeUnknown".
[[nodiscard]] const char *toString(FinalState state);

namespace internal
{

/// Defects that the schedule tests inject to check that they detect each one. All are off in production.
struct AnswerFaults
{
    SequencerFaults sequencer;
    bool moveAfterFirstToken = false;
    bool acceptOldAttempts = false;
    bool notRunAfterBytesSent = false;
    bool completeWithoutEnd = false;
    bool ignoreAnnouncement = false;
    bool forgetEnd = false;
};

} // namespace internal

/// Tracks one answer: the caller reports what happened, finish() derives the final state. Thread-compatible.
class AnswerState
{
public:
    using Attempt = std::uint32_t; ///< Number of an attempt; the first is 1.

    /// Starts a new answer.
    explicit AnswerState(internal::AnswerFaults faults = {});
    /// Continues an answer of an existing generation.
    /// @param generation the generation that runs or ran at the endpoint.
    /// @param offset the number of tokens that the caller has already received.
    /// @param faults defects to inject; none in production.
    AnswerState(GenerationId generation, std::uint64_t offset, internal::AnswerFaults faults = {});

    /// Starts the next attempt at an endpoint. Events of earlier attempts are dropped from now on.
    /// @return the attempt's number, or nothing if the answer has ended or a token was delivered. After a token only the
    ///     same generation may continue the answer, see resumeAttempt().
    [[nodiscard]] std::optional<Attempt> beginAttempt(const EndpointId &endpoint);
    /// Continues the current attempt over a new connection to the same endpoint, with the same generation from
    /// nextSequence() on. Events of the old connection remain valid, because both connections carry the same tokens.
    /// @return the number of the current attempt, or nothing if the answer has ended or no generation is known yet.
    [[nodiscard]] std::optional<Attempt> resumeAttempt();

    /// Records that at least one byte of the request may have reached the endpoint.
    void onRequestBytesSent(Attempt attempt);
    /// Records that the endpoint's reply proves that it did not run the request and will not run it later.
    void onProvenNotRun(Attempt attempt);
    /// Sets the generation from the endpoint's response header. Otherwise the first event determines the generation, and a
    /// misrouted event of another answer could be taken as the first.
    void announce(Attempt attempt, const GenerationId &generation);
    /// Checks an event as AnswerSequencer::accept() does.
    /// @return what to do with the event: DropDuplicate if it belongs to an earlier attempt or the answer has ended.
    [[nodiscard]] SequenceVerdict accept(Attempt attempt, const StreamEvent &event);
    /// Records that the endpoint reported the end of the generation.
    /// @param attempt the attempt that the report belongs to; a report of an earlier attempt is ignored.
    /// @param totalTokens the number of tokens in the whole generation, including those before a resume offset.
    void onEndOfStream(Attempt attempt, std::uint64_t totalTokens);

    /// Ends the answer. Later calls return the same state, and later events are dropped.
    /// @return the final state, derived from what was recorded before the first call.
    FinalState finish();

    [[nodiscard]] bool finished() const
    {
        return final_.has_value();
    }
    /// @return whether the request may be sent to another endpoint: no token was delivered and the answer has not ended.
    [[nodiscard]] bool mayMove() const;
    /// @return the token offset to resume at.
    [[nodiscard]] std::uint64_t nextSequence() const
    {
        return sequencer_.nextSequence();
    }
    /// @return the generation of the current attempt; empty until announce() or the first event sets it.
    [[nodiscard]] const GenerationId &generation() const
    {
        return sequencer_.generation();
    }
    /// @return the endpoint of the current attempt; empty before the first call of beginAttempt().
    [[nodiscard]] const EndpointId &endpoint() const
    {
        return endpoint_;
    }
    /// @return the error that ended the answer early, if there was one.
    [[nodiscard]] const std::optional<Error> &error() const
    {
        return sequencer_.error();
    }

private:
    struct AttemptProgress
    {
        bool bytesSent = false;
        bool provenNotRun = false;
    };

    [[nodiscard]] bool mayHaveRun() const;

    internal::AnswerFaults faults_;
    AnswerSequencer sequencer_;
    EndpointId endpoint_;
    std::vector<AttemptProgress> attempts_;
    bool delivered_ = false;
    std::optional<std::uint64_t> totalTokens_;
    std::optional<FinalState> final_;
};

} // namespace daisystream
