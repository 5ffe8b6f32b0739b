#include "daisystream/forwarding/forwardingstate.h"

#include "daisystream/base/random.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

constexpr AnswerStream kStream{.resumable = false};
constexpr AnswerStream kResumable{.resumable = true};

TEST_CASE("an unsafe call is repeated only after proof that it did not run")
{
    ForwardingState state(UnsafeCall{}, 3);
    CHECK(state.mayTryAgain());
    CHECK(state.givenUp() == GivenUp::NotRun);
    state.onSent();
    CHECK_FALSE(state.mayTryAgain());
    CHECK(state.givenUp() == GivenUp::OutcomeUnknown);
    state.onAttemptEnded(AttemptEnd::ProvenNotRun);
    CHECK(state.mayTryAgain());
    CHECK(state.givenUp() == GivenUp::NotRun);
    state.onSent();
    state.onAttemptEnded(AttemptEnd::MayHaveRun);
    CHECK_FALSE(state.mayTryAgain());
    CHECK(state.givenUp() == GivenUp::OutcomeUnknown);
}

TEST_CASE("a safe call is repeated up to its limit of attempts")
{
    ForwardingState state(SafeCall{}, 2);
    state.onSent();
    state.onAttemptEnded(AttemptEnd::Answered);
    CHECK(state.mayTryAgain());
    state.onSent();
    state.onAttemptEnded(AttemptEnd::ProvenNotRun);
    CHECK_FALSE(state.mayTryAgain());
    CHECK(state.givenUp() == GivenUp::OutcomeUnknown); // The first attempt ran.
}

TEST_CASE("an answer that has begun is continued, never begun again")
{
    ForwardingState resumable(kResumable, 2);
    resumable.onSent();
    resumable.onDelivered();
    CHECK_FALSE(resumable.mayTryAgain());
    CHECK(resumable.mayContinue());
    resumable.onSent();
    CHECK_FALSE(resumable.mayContinue());
    ForwardingState other(kStream, 2);
    other.onSent();
    other.onDelivered();
    CHECK_FALSE(other.mayTryAgain());
    CHECK_FALSE(other.mayContinue());
    CHECK(other.givenUp() == GivenUp::OutcomeUnknown);
}

/// Runs one random history against an endpoint that really runs requests, and reports the first broken promise.
std::string brokenPromise(std::uint64_t seed, internal::ForwardingFaults faults)
{
    Random random(seed);
    const std::vector<RequestKind> kinds{SafeCall{}, UnsafeCall{}, kStream, kResumable};
    const RequestKind kind = kinds[random.below(kinds.size())];
    const auto limit = static_cast<std::uint32_t>(1 + random.below(3));
    ForwardingState state(kind, limit, faults);
    std::uint32_t runs = 0;
    std::uint32_t sent = 0;
    while (state.mayTryAgain() || state.mayContinue()) {
        const bool continues = state.mayContinue();
        if (random.below(5) == 0) {
            state.onAttemptEnded(AttemptEnd::NotSent);
            if (random.below(2) == 0) {
                break;
            }
            continue;
        }
        state.onSent();
        ++sent;
        const auto fate = random.below(4);
        runs += fate == 0 ? 0 : 1;
        if (runs > 1 && !isIdempotent(kind)) {
            return "ran twice";
        }
        if (sent > limit) {
            return "sent to too many endpoints";
        }
        const bool streams = std::holds_alternative<AnswerStream>(kind);
        if (fate == 0) {
            state.onAttemptEnded(AttemptEnd::ProvenNotRun);
        } else if (fate == 1 && streams) {
            state.onDelivered();
            state.onAttemptEnded(AttemptEnd::MayHaveRun);
            if (state.mayTryAgain()) {
                return "began a delivered answer again";
            }
        } else {
            state.onAttemptEnded(fate == 2 ? AttemptEnd::Answered : AttemptEnd::MayHaveRun);
        }
        if (continues && state.mayTryAgain()) {
            return "began a delivered answer again";
        }
    }
    return state.givenUp() == GivenUp::NotRun && runs > 0 ? "called not run what ran" : "";
}

TEST_CASE("no history breaks a promise, and each deliberate fault is noticed")
{
    constexpr std::uint64_t kSeeds = 2000;
    const auto failures = [](internal::ForwardingFaults faults) {
        std::uint64_t count = 0;
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            const auto broken = brokenPromise(seed, faults);
            count += broken.empty() ? 0 : 1;
        }
        return count;
    };
    CHECK(failures({}) == 0);
    CHECK(failures({.repeatUnsafe = true}) > 0);
    CHECK(failures({.forgetSentAttempts = true}) > 0);
    CHECK(failures({.ignoreAttemptLimit = true}) > 0);
    CHECK(failures({.repeatAfterDelivery = true}) > 0);
}

} // namespace
} // namespace daisystream
