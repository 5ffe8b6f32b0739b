#include "daisystream/answer/sealer.h"
#include "daisystream/answer/state.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

using namespace std::chrono_literals;

StreamEvent event(const char *generation, std::uint64_t sequence)
{
    return {.generation = GenerationId(generation), .sequence = sequence, .text = "t" + std::to_string(sequence)};
}

// Guards against tokens that are repeated, missing or taken from another generation.
TEST_CASE("the sequencer delivers each event of one generation once")
{
    AnswerSequencer sequencer;
    CHECK(std::get<Deliver>(sequencer.accept(event("g", 0))).text == "t0");
    CHECK(std::holds_alternative<DropDuplicate>(sequencer.accept(event("g", 0))));
    CHECK(std::get<Deliver>(sequencer.accept(event("g", 1))).sequence == 1);
    AnswerSequencer other = sequencer;
    CHECK((std::get<Error>(sequencer.accept(event("g", 3))).code == ResultCode::SequenceGap));
    CHECK((std::get<Error>(sequencer.accept(event("g", 2))).code == ResultCode::SequenceGap));
    CHECK((std::get<Error>(other.accept(event("h", 2))).code == ResultCode::ForeignGeneration));
}

// Guards against an answer whose first tokens come from one generation and the rest from another: another endpoint
// may generate other tokens for the same request.
TEST_CASE("a request may be sent to another endpoint only before its first token")
{
    AnswerState answer;
    const auto first = answer.beginAttempt(EndpointId("e1")).value();
    answer.onRequestBytesSent(first);
    const auto second = answer.beginAttempt(EndpointId("e2")).value();
    CHECK(std::holds_alternative<DropDuplicate>(answer.accept(first, event("old", 0))));
    CHECK(std::holds_alternative<Deliver>(answer.accept(second, event("new", 0))));
    CHECK_FALSE(answer.beginAttempt(EndpointId("e3")).has_value());
    CHECK(answer.resumeAttempt() == second);
    answer.onEndOfStream(second, 2);
    CHECK(std::holds_alternative<Deliver>(answer.accept(second, event("new", 1))));
    CHECK((answer.finish() == FinalState::Complete));
}

// Guards against reporting "not run" for a request that an endpoint may have run, which callers would repeat.
TEST_CASE("the final state depends on whether an endpoint may have run the request")
{
    AnswerState untouched;
    CHECK(untouched.beginAttempt(EndpointId("e")).has_value());
    CHECK((untouched.finish() == FinalState::NotRun));
    AnswerState sent;
    sent.onRequestBytesSent(sent.beginAttempt(EndpointId("e")).value());
    AnswerState refused = sent;
    CHECK((sent.finish() == FinalState::OutcomeUnknown));
    refused.onProvenNotRun(1);
    CHECK((refused.finish() == FinalState::NotRun));
    AnswerState cut;
    CHECK(std::holds_alternative<Deliver>(cut.accept(cut.beginAttempt(EndpointId("e")).value(), event("g", 0))));
    cut.onEndOfStream(1, 2);
    CHECK((cut.finish() == FinalState::Incomplete));
}

// Guards against accepting ids that were forged, issued to another team or have expired, and against rejecting ids that
// were issued before a key rotation.
TEST_CASE("a resume id is accepted only from its team, before its expiry, and while its key is available")
{
    const SealingKey old{.number = 1, .bytes = {1, 2, 3}};
    const SealingKey fresh{.number = 2, .bytes = {4, 5, 6}};
    const std::chrono::sys_seconds now(1000s);
    const ResumePoint point{EndpointId("e"), GenerationId("g"), 17, TeamId("a"), RequestId("r"), now + 60s};
    ResumeSealer sealer({old}, Random(1));
    const std::string id = sealer.seal(point);
    CHECK(id != sealer.seal(point));
    sealer.setKeys({fresh, old});
    CHECK(std::get<ResumePoint>(sealer.open(id, TeamId("a"), now)) == point);
    CHECK((std::get<Error>(sealer.open(id, TeamId("b"), now)).code == ResultCode::ForeignResumeId));
    CHECK((std::get<Error>(sealer.open(id, TeamId("a"), now + 60s)).code == ResultCode::ExpiredResumeId));
    for (std::size_t i = 0; i < id.size(); ++i) {
        std::string forged = id;
        forged[i] = forged[i] == 'A' ? 'B' : 'A';
        CHECK(std::holds_alternative<Error>(sealer.open(forged, TeamId("a"), now)));
        CHECK(std::holds_alternative<Error>(sealer.open(id.substr(0, i), TeamId("a"), now)));
    }
    sealer.setKeys({fresh});
    CHECK((std::get<Error>(sealer.open(id, TeamId("a"), now)).code == ResultCode::ForgedResumeId));
    Sealer other({fresh}, Random(2));
    CHECK_FALSE(other.open(sealer.seal(point), "ticket").has_value());
}

} // namespace
} // namespace daisystream
