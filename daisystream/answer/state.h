#pragma once

#include "daisystream/answer/sequencer.h"

#include <vector>

/// @file
/// The state of one answer at its entry VM: its attempts at endpoints, what was delivered, and the one state that it
/// ends in.
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

/// How an answer ended; named in its final event.
enum class FinalState : std::uint8_t {
    Complete,       ///< The caller has the whole answer.
    Incomplete,     ///< What was sent remains valid; the rest does not come.
    NotRun,         ///< No endpoint ran the request.
    OutcomeUnknown, ///< An endpoint may have run it, the caller got nothing.
};

/// @return "complete", "incomplete", "notRun" or "outcomeUnknown".
[[nodiscard]] const char *toString(FinalState state);

namespace internal
{

/// Deliberate breaks for the schedules, which must notice each of them. None in the product.
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

/// One answer. Facts go in, the final state comes out. Thread-compatible.
class AnswerState
{
public:
    using Attempt = std::uint32_t; ///< Number of an attempt, from 1.

    explicit AnswerState(internal::AnswerFaults faults = {});
    /// Continues an answer of which the caller has the first `offset` tokens.
    AnswerState(GenerationId generation, std::uint64_t offset, internal::AnswerFaults faults = {});

    /// Starts the next attempt at an endpoint. Events of earlier attempts are dropped from now on.
    /// @return the attempt, or nothing if a token was delivered: then only the same generation may continue, which
    ///     resumeAttempt() starts.
    [[nodiscard]] std::optional<Attempt> beginAttempt(const EndpointId &endpoint);
    /// Starts a new connection to the endpoint of the running attempt, for the same generation at nextSequence().
    /// Events of the old connection remain valid, because they are the same tokens.
    /// @return the attempt, or nothing if no generation is known yet.
    [[nodiscard]] std::optional<Attempt> resumeAttempt();

    /// At least one byte of the request may have reached the endpoint.
    void onRequestBytesSent(Attempt attempt);
    /// The endpoint's reply proves that it did not run the request and will not.
    void onProvenNotRun(Attempt attempt);
    /// The endpoint's response header names the generation. Without it the first event determines the generation, and an
    /// event that crossed over from another answer could be the first.
    void announce(Attempt attempt, const GenerationId &generation);
    /// @return what to do with the event; an event of an earlier attempt is dropped.
    [[nodiscard]] SequenceVerdict accept(Attempt attempt, const StreamEvent &event);
    /// The endpoint declared the end of the generation.
    /// @param totalTokens of the whole generation, from its first token.
    void onEndOfStream(Attempt attempt, std::uint64_t totalTokens);

    /// @return the state that follows from the facts so far. The first call settles it: later calls return the same, and
    ///     later events are dropped.
    FinalState finish();

    [[nodiscard]] bool finished() const
    {
        return final_.has_value();
    }
    /// @return whether the request may move to another endpoint: no token was delivered and the answer has not ended.
    [[nodiscard]] bool mayMove() const;
    /// @return the offset to resume at.
    [[nodiscard]] std::uint64_t nextSequence() const
    {
        return sequencer_.nextSequence();
    }
    /// @return the generation; empty before the first event of the running attempt.
    [[nodiscard]] const GenerationId &generation() const
    {
        return sequencer_.generation();
    }
    /// @return the endpoint of the running attempt; empty before the first.
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
    struct AttemptFacts
    {
        bool bytesSent = false;
        bool provenNotRun = false;
    };

    [[nodiscard]] bool mayHaveRun() const;

    internal::AnswerFaults faults_;
    AnswerSequencer sequencer_;
    EndpointId endpoint_;
    std::vector<AttemptFacts> attempts_;
    bool delivered_ = false;
    std::optional<std::uint64_t> totalTokens_;
    std::optional<FinalState> final_;
};

} // namespace daisystream
