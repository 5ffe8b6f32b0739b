#include "daisystream/base/result.h"

namespace daisystream
{

const char *toString(ResultCode code)
{
    switch (code) {
    case ResultCode::MissingKey:
        return "MissingKey";
    case ResultCode::UnknownKey:
        return "UnknownKey";
    case ResultCode::ModelNotAllowed:
        return "ModelNotAllowed";
    case ResultCode::ServiceNotAllowed:
        return "ServiceNotAllowed";
    case ResultCode::MalformedRequest:
        return "MalformedRequest";
    case ResultCode::RequestTooLarge:
        return "RequestTooLarge";
    case ResultCode::HeaderTooLarge:
        return "HeaderTooLarge";
    case ResultCode::ForgedResumeId:
        return "ForgedResumeId";
    case ResultCode::ExpiredResumeId:
        return "ExpiredResumeId";
    case ResultCode::ForeignResumeId:
        return "ForeignResumeId";
    case ResultCode::UnknownModel:
        return "UnknownModel";
    case ResultCode::UnknownService:
        return "UnknownService";
    case ResultCode::UnknownPath:
        return "UnknownPath";
    case ResultCode::CallerTooSlow:
        return "CallerTooSlow";
    case ResultCode::ConcurrencyLimit:
        return "ConcurrencyLimit";
    case ResultCode::RateLimit:
        return "RateLimit";
    case ResultCode::PromiseCannotBeMet:
        return "PromiseCannotBeMet";
    case ResultCode::QueueDeadlinePassed:
        return "QueueDeadlinePassed";
    case ResultCode::NoEndpoint:
        return "NoEndpoint";
    case ResultCode::RetryBudgetSpent:
        return "RetryBudgetSpent";
    case ResultCode::Stopping:
        return "Stopping";
    case ResultCode::NoLists:
        return "NoLists";
    case ResultCode::Isolated:
        return "Isolated";
    case ResultCode::EndpointUnreachable:
        return "EndpointUnreachable";
    case ResultCode::EndpointSilent:
        return "EndpointSilent";
    case ResultCode::EndpointRefused:
        return "EndpointRefused";
    case ResultCode::EndpointProtocol:
        return "EndpointProtocol";
    case ResultCode::EndpointReclaimed:
        return "EndpointReclaimed";
    case ResultCode::SequenceGap:
        return "SequenceGap";
    case ResultCode::ForeignGeneration:
        return "ForeignGeneration";
    case ResultCode::GenerationLost:
        return "GenerationLost";
    case ResultCode::PlatformUnavailable:
        return "PlatformUnavailable";
    case ResultCode::WriteConflict:
        return "WriteConflict";
    case ResultCode::OutcomeOfWriteUnknown:
        return "OutcomeOfWriteUnknown";
    case ResultCode::InvalidDocument:
        return "InvalidDocument";
    case ResultCode::VersionBehind:
        return "VersionBehind";
    case ResultCode::LeaseLost:
        return "LeaseLost";
    case ResultCode::StaleFencingNumber:
        return "StaleFencingNumber";
    case ResultCode::OrderInProgress:
        return "OrderInProgress";
    case ResultCode::OrderOutcomeUnknown:
        return "OrderOutcomeUnknown";
    case ResultCode::TicketExpired:
        return "TicketExpired";
    case ResultCode::TicketForged:
        return "TicketForged";
    case ResultCode::TicketIssuerGone:
        return "TicketIssuerGone";
    case ResultCode::OrderNeedsKey:
        return "OrderNeedsKey";
    case ResultCode::PeerUnreachable:
        return "PeerUnreachable";
    case ResultCode::PeerVersionMismatch:
        return "PeerVersionMismatch";
    case ResultCode::PeerMalformedMessage:
        return "PeerMalformedMessage";
    }
    return "Unknown";
}

} // namespace daisystream
