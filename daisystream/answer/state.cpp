#include "daisystream/answer/state.h"

#include <algorithm>
#include <utility>

namespace daisystream
{

const char *toString(FinalState state)
{
    switch (state) {
    case FinalState::Complete:
        return "complete";
    case FinalState::Incomplete:
        return "incomplete";
    case FinalState::NotRun:
        return "notRun";
    case FinalState::OutcomeUnknown:
        return "outcomeUnknown";
    }
    return "outcomeUnknown";
}

AnswerState::AnswerState(internal::AnswerFaults faults)
    : faults_(faults)
    , sequencer_(GenerationId(), 0, faults.sequencer)
{
}

AnswerState::AnswerState(GenerationId generation, std::uint64_t offset, internal::AnswerFaults faults)
    : faults_(faults)
    , sequencer_(std::move(generation), offset, faults.sequencer)
    , delivered_(true)
{
}

std::optional<AnswerState::Attempt> AnswerState::beginAttempt(const EndpointId &endpoint)
{
    if (!mayMove()) {
        return std::nullopt;
    }
    if (!delivered_) {
        // Discards the generation that the earlier attempt announced.
        sequencer_ = AnswerSequencer(GenerationId(), 0, faults_.sequencer);
    } else {
        sequencer_ = AnswerSequencer(GenerationId(), sequencer_.nextSequence(), faults_.sequencer); // Reached only with the injected fault moveAfterFirstToken.
    }
    totalTokens_.reset();
    endpoint_ = endpoint;
    attempts_.emplace_back();
    return static_cast<Attempt>(attempts_.size());
}

std::optional<AnswerState::Attempt> AnswerState::resumeAttempt()
{
    if (final_ || sequencer_.generation().empty()) {
        return std::nullopt;
    }
    if (attempts_.empty()) {
        attempts_.push_back({.bytesSent = true, .provenNotRun = false});
    }
    return static_cast<Attempt>(attempts_.size());
}

void AnswerState::onRequestBytesSent(Attempt attempt)
{
    if (attempt >= 1 && attempt <= attempts_.size()) {
        attempts_[attempt - 1].bytesSent = true;
    }
}

void AnswerState::onProvenNotRun(Attempt attempt)
{
    if (attempt >= 1 && attempt <= attempts_.size()) {
        attempts_[attempt - 1].provenNotRun = true;
    }
}

void AnswerState::announce(Attempt attempt, const GenerationId &generation)
{
    if (attempt == attempts_.size() && !final_ && sequencer_.generation().empty() && !faults_.ignoreAnnouncement) {
        sequencer_ = AnswerSequencer(generation, sequencer_.nextSequence(), faults_.sequencer);
    }
}

SequenceVerdict AnswerState::accept(Attempt attempt, const StreamEvent &event)
{
    const bool fromEarlierAttempt = attempt != attempts_.size() && !faults_.acceptOldAttempts;
    if (fromEarlierAttempt || final_) {
        return DropDuplicate{event.sequence};
    }
    SequenceVerdict verdict = sequencer_.accept(event);
    delivered_ = delivered_ || std::holds_alternative<Deliver>(verdict);
    return verdict;
}

void AnswerState::onEndOfStream(Attempt attempt, std::uint64_t totalTokens)
{
    if (attempt == attempts_.size() && !final_ && !faults_.forgetEnd) {
        totalTokens_ = totalTokens;
    }
}

FinalState AnswerState::finish()
{
    if (!final_) {
        const bool allDelivered = totalTokens_ && *totalTokens_ == sequencer_.nextSequence() && !sequencer_.error();
        if (allDelivered || (faults_.completeWithoutEnd && delivered_)) {
            final_ = FinalState::Complete;
        } else if (delivered_) {
            final_ = FinalState::Incomplete;
        } else {
            final_ = mayHaveRun() ? FinalState::OutcomeUnknown : FinalState::NotRun;
        }
    }
    return *final_;
}

bool AnswerState::mayMove() const
{
    return !final_ && (!delivered_ || faults_.moveAfterFirstToken);
}

bool AnswerState::mayHaveRun() const
{
    return !faults_.notRunAfterBytesSent
        && std::any_of(attempts_.begin(), attempts_.end(), [](const AttemptProgress &attempt) { return attempt.bytesSent && !attempt.provenNotRun; });
}

} // namespace daisystream
