#include "daisystream/forwarding/forwardingstate.h"

namespace daisystream
{

ForwardingState::ForwardingState(const RequestKind &kind, std::uint32_t attempts, internal::ForwardingFaults faults)
    : idempotent_(isIdempotent(kind))
    , resumable_(std::holds_alternative<AnswerStream>(kind) && std::get<AnswerStream>(kind).resumable)
    , attempts_(attempts)
    , faults_(faults)
{
}

void ForwardingState::onSent()
{
    ++sent_;
}

void ForwardingState::onAttemptEnded(AttemptEnd end)
{
    if (end == AttemptEnd::ProvenNotRun) {
        ++provenNotRun_;
    }
}

void ForwardingState::onDelivered()
{
    delivered_ = true;
}

bool ForwardingState::mayRetry() const
{
    const bool withinLimit = sent_ < attempts_ || faults_.ignoreAttemptLimit;
    const bool mayExecuteAgain = idempotent_ || faults_.repeatUnsafe || failureOutcome() == FailureOutcome::NotRun;
    return withinLimit && mayExecuteAgain && (!delivered_ || faults_.repeatAfterDelivery);
}

bool ForwardingState::mayContinue() const
{
    const bool withinLimit = sent_ < attempts_ || faults_.ignoreAttemptLimit;
    return withinLimit && resumable_ && delivered_;
}

FailureOutcome ForwardingState::failureOutcome() const
{
    const bool noneExecuted = sent_ == provenNotRun_ || faults_.forgetSentAttempts;
    return noneExecuted && !delivered_ ? FailureOutcome::NotRun : FailureOutcome::OutcomeUnknown;
}

} // namespace daisystream
