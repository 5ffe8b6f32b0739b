#include "daisystream/forwarding/responsemeaning.h"

namespace daisystream
{

bool impliesNotRun(unsigned status)
{
    constexpr unsigned kRequestTimeout = 408;
    constexpr unsigned kMisdirectedRequest = 421;
    constexpr unsigned kTooManyRequests = 429;
    constexpr unsigned kServiceUnavailable = 503;
    return status == kRequestTimeout || status == kMisdirectedRequest || status == kTooManyRequests || status == kServiceUnavailable;
}

ResponseMeaning meaningOf(const ResponseFacts &facts)
{
    constexpr unsigned kFirstRedirection = 300;
    const bool isSuccess = facts.status < kFirstRedirection;
    if (facts.isForOtherRequest || (facts.statesNotRun && isSuccess)) {
        return ResponseMeaning::Unproven;
    }
    if (facts.statesNotRun) {
        return ResponseMeaning::NotRun;
    }
    if (impliesNotRun(facts.status)) {
        return ResponseMeaning::Unproven;
    }
    if (!isSuccess) {
        return ResponseMeaning::Failure;
    }
    return facts.isVerified ? ResponseMeaning::Success : ResponseMeaning::Unproven;
}

} // namespace daisystream
