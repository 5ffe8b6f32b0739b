#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// @file
/// Decides for each event of an engine's stream whether to forward it to the caller, so that the caller receives every
/// token exactly once, in order, and from a single generation.
///
/// Example:
/// @code
///   AnswerSequencer sequencer;
///   const auto verdict = sequencer.accept({.generation = id, .sequence = 0, .text = "Hello"});
///   if (const auto *deliver = std::get_if<Deliver>(&verdict)) {
///       caller.send(deliver->text);
///   }
/// @endcode

namespace daisystream
{

/// One event of an engine's stream, which carries one token. Its event id on the wire is `GENERATION/SEQUENCE`.
struct StreamEvent
{
    GenerationId generation;
    std::uint64_t sequence = 0; ///< Token offset within the generation: 0 for the first token.
    std::string text;

    friend auto operator<=>(const StreamEvent &, const StreamEvent &) = default;
};

/// Verdict: forward the event to the caller now.
struct Deliver
{
    std::uint64_t sequence = 0;
    std::string text;

    friend auto operator<=>(const Deliver &, const Deliver &) = default;
};

/// Verdict: discard the event, because the caller already has it or because its attempt or answer has ended.
struct DropDuplicate
{
    std::uint64_t sequence = 0;

    friend auto operator<=>(const DropDuplicate &, const DropDuplicate &) = default;
};

/// What to do with an event; an Error ends the answer.
using SequenceVerdict = std::variant<Deliver, DropDuplicate, Error>;

namespace internal
{

/// Defects that the schedule tests inject to check that they detect each one. All are off in production.
struct SequencerFaults
{
    bool acceptDuplicates = false;
    bool acceptGaps = false;
    bool acceptForeignGeneration = false;
};

} // namespace internal

/// Checks the events of one answer. After the first error, accept() returns that error for every further event.
/// Thread-compatible.
class AnswerSequencer
{
public:
    /// Starts a new answer; the first event determines its generation.
    AnswerSequencer() = default;
    /// Continues an answer.
    /// @param generation the answer's generation; if empty, the first event determines it.
    /// @param next the sequence number of the first event that the caller has not received.
    /// @param faults defects to inject; none in production.
    explicit AnswerSequencer(GenerationId generation, std::uint64_t next = 0, internal::SequencerFaults faults = {});

    /// Checks the next event of the stream and, if it is to be delivered, advances nextSequence().
    /// @return what to do with the event. The error is `ForeignGeneration` if the event belongs to another generation, and
    ///     `SequenceGap` if events before it are missing.
    [[nodiscard]] SequenceVerdict accept(const StreamEvent &event);

    /// @return the sequence number of the next event to deliver, which is also the token offset to resume at.
    [[nodiscard]] std::uint64_t nextSequence() const
    {
        return next_;
    }
    /// @return the answer's generation; empty if it is not known before the first event.
    [[nodiscard]] const GenerationId &generation() const
    {
        return generation_;
    }
    /// @return the error that ended the answer, if there was one.
    [[nodiscard]] const std::optional<Error> &error() const
    {
        return error_;
    }

private:
    SequenceVerdict fail(ResultCode code, std::string detail);

    GenerationId generation_;
    std::uint64_t next_ = 0;
    std::optional<Error> error_;
    internal::SequencerFaults faults_;
};

} // namespace daisystream
