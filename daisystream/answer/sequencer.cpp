#include "daisystream/answer/sequencer.h"

#include <utility>

namespace daisystream
{

AnswerSequencer::AnswerSequencer(GenerationId generation, std::uint64_t next, internal::SequencerFaults faults)
    : generation_(std::move(generation))
    , next_(next)
    , faults_(faults)
{
}

SequenceVerdict AnswerSequencer::accept(const StreamEvent &event)
{
    if (error_) {
        return *error_;
    }
    if (generation_.empty()) {
        generation_ = event.generation;
    }
    if (event.generation != generation_ && !faults_.acceptForeignGeneration) {
        return fail(ResultCode::ForeignGeneration, "expected generation " + generation_.value() + ", got " + event.generation.value());
    }
    if (event.sequence < next_ && !faults_.acceptDuplicates) {
        return DropDuplicate{event.sequence};
    }
    if (event.sequence > next_ && !faults_.acceptGaps) {
        return fail(ResultCode::SequenceGap, "expected event " + std::to_string(next_) + ", got " + std::to_string(event.sequence));
    }
    next_ = event.sequence + 1;
    return Deliver{.sequence = event.sequence, .text = event.text};
}

SequenceVerdict AnswerSequencer::fail(ResultCode code, std::string detail)
{
    error_ = Error{code, std::move(detail), {}};
    return *error_;
}

} // namespace daisystream
