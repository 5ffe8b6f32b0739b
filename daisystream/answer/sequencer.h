#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// @file
/// Decides for each event of a generation whether it goes to the caller, so that the caller gets every token once, in
/// order, and from one generation.
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

/// One event of an engine's stream, `id: GENERATION/SEQUENCE`.
struct StreamEvent
{
    GenerationId generation;
    std::uint64_t sequence = 0; ///< The first token has 0, so the sequence is also the offset in tokens.
    std::string text;

    friend auto operator<=>(const StreamEvent &, const StreamEvent &) = default;
};

/// The event goes to the caller now.
struct Deliver
{
    std::uint64_t sequence = 0;
    std::string text;

    friend auto operator<=>(const Deliver &, const Deliver &) = default;
};

/// The caller has this event already, or it belongs to an attempt that is over.
struct DropDuplicate
{
    std::uint64_t sequence = 0;

    friend auto operator<=>(const DropDuplicate &, const DropDuplicate &) = default;
};

using SequenceVerdict = std::variant<Deliver, DropDuplicate, Error>;

namespace internal
{

/// Deliberate breaks for the schedules, which must notice each of them. None in the product.
struct SequencerFaults
{
    bool acceptDuplicates = false;
    bool acceptGaps = false;
    bool acceptForeignGeneration = false;
};

} // namespace internal

/// Checks one answer's events. After the first error every further event gets the same error. Thread-compatible.
class AnswerSequencer
{
public:
    /// Starts a new answer; the first event determines its generation.
    AnswerSequencer() = default;
    /// Continues an answer of a known generation.
    /// @param next the sequence of the first event that the caller lacks.
    explicit AnswerSequencer(GenerationId generation, std::uint64_t next = 0, internal::SequencerFaults faults = {});

    /// @return what to do with the event; `ForeignGeneration` or `SequenceGap` end the answer as incomplete.
    [[nodiscard]] SequenceVerdict accept(const StreamEvent &event);

    /// @return the sequence of the next event to deliver: the offset to resume at.
    [[nodiscard]] std::uint64_t nextSequence() const
    {
        return next_;
    }
    /// @return the answer's generation; empty before the first event.
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
