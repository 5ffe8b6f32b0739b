#include "standins/enginemodel/enginemodel.h"

#include <doctest/doctest.h>

#include <map>

namespace daisystream
{
namespace
{

using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

// Runs the engine until it is idle and returns the tokens of each generation.
std::map<GenerationNumber, std::vector<TokenEvent>> drain(EngineModel &engine)
{
    std::map<GenerationNumber, std::vector<TokenEvent>> found;
    while (const auto next = engine.nextEvent()) {
        for (const TokenEvent &event : engine.advance(*next)) {
            found[event.generation].push_back(event);
        }
    }
    return found;
}

// Guards against lost or repeated tokens when answers are preempted and recomputed.
TEST_CASE("each answer gets all its tokens once and in order, also after preemption")
{
    EngineOptions options;
    options.memoryTokens = 500;
    EngineModel engine(options);
    std::map<GenerationNumber, std::uint32_t> lengths;
    for (std::uint32_t i = 0; i < 8; ++i) {
        lengths[engine.start({.promptTokens = 50, .outputTokens = 100 + i}, kStart).value()] = 100 + i;
    }
    const auto tokens = drain(engine);
    CHECK(engine.load(kStart).preemptions > 0);
    CHECK(engine.load(kStart).memoryUsedTokens == 0);
    for (const auto &[generation, length] : lengths) {
        const auto &events = tokens.at(generation);
        REQUIRE(events.size() == length);
        for (std::uint32_t i = 0; i < length; ++i) {
            CHECK(events[i].sequence == i);
            CHECK((events[i].end == EndReason::Stop) == (i + 1 == length));
        }
    }
}

// Guards against preempting urgent answers while ordinary ones hold memory.
TEST_CASE("the least urgent priority is preempted and the most urgent enters first")
{
    EngineOptions options;
    options.memoryTokens = 400;
    options.maxBatch = 2;
    EngineModel engine(options);
    const auto ordinary = engine.start({.priority = 1, .promptTokens = 100, .outputTokens = 150}, kStart).value();
    const auto waitingOrdinary = engine.start({.priority = 1, .promptTokens = 10, .outputTokens = 5}, kStart).value();
    const auto urgent = engine.start({.priority = 0, .promptTokens = 100, .outputTokens = 150}, kStart).value();
    const auto tokens = drain(engine);
    CHECK(engine.load(kStart).preemptions == 1);
    CHECK(tokens.at(urgent).front().time < tokens.at(waitingOrdinary).front().time);
    CHECK(tokens.at(urgent).back().time < tokens.at(ordinary).back().time);
}

// Guards against a step time that ignores batch size, memory or uncached prompt tokens.
TEST_CASE("step time follows answers, resident tokens and uncached prompt tokens")
{
    const EngineOptions options;
    EngineModel engine(options);
    const StartRequest request{.promptTokens = 400, .outputTokens = 1, .prefixHash = 5, .prefixTokens = 300};
    const auto expected = [&](double read) {
        return options.stepBaseMilliseconds + options.stepMillisecondsPerAnswer + options.stepMillisecondsPerResidentToken * 400
            + options.prefillMillisecondsPerToken * read;
    };
    (void)engine.start(request, kStart);
    CHECK(engine.load(kStart).stepMilliseconds == doctest::Approx(expected(400)));
    (void)drain(engine);
    (void)engine.start(request, kStart + seconds(1));
    CHECK(engine.load(kStart).stepMilliseconds == doctest::Approx(expected(100)));
    (void)drain(engine);
    engine.setSlowdown(10);
    (void)engine.start(request, kStart + seconds(2));
    CHECK(engine.load(kStart).stepMilliseconds == doctest::Approx(10 * expected(100)));
}

// Guards against a cache without a limit, and events that hide a gap.
TEST_CASE("the prefix cache evicts the least recently used and numbers its events")
{
    EngineOptions options;
    options.cacheTokens = 250;
    EngineModel engine(options);
    engine.setCacheEventLoss(2);
    TimePoint now = kStart;
    for (const std::uint64_t hash : {1, 2, 1, 3}) {
        (void)engine.start({.promptTokens = 100, .outputTokens = 1, .prefixHash = hash, .prefixTokens = 100}, now);
        (void)drain(engine);
        now += seconds(1);
    }
    const auto events = engine.cacheEventsAfter(0);
    REQUIRE(events.size() == 2); // Stored 1, (lost: stored 2), evicted 2, (lost: stored 3).
    CHECK(events[0].sequence == 1);
    CHECK(events[1].sequence == 3);
    CHECK(events[1].prefixHash == 2);
    CHECK_FALSE(events[1].stored);
}

// Guards against a resume that reads another generation, or one that never expires.
TEST_CASE("a generation can be resumed for a while after its end")
{
    EngineModel engine(EngineOptions{});
    const auto generation = engine.start({.promptTokens = 10, .outputTokens = 20}, kStart).value();
    (void)engine.advance(kStart + std::chrono::milliseconds(50));
    const auto during = engine.resume(generation, 1, kStart + std::chrono::milliseconds(50));
    REQUIRE(during);
    CHECK(during->end == EndReason::None);
    CHECK_FALSE(engine.resume(generation, during->generated + 1, kStart + std::chrono::milliseconds(50)));
    (void)drain(engine);
    CHECK(engine.resume(generation, 20, kStart + seconds(2))->end == EndReason::Stop);
    CHECK_FALSE(engine.resume(generation, 20, kStart + seconds(120)));
    CHECK_FALSE(engine.resume(generation + 1, 0, kStart + seconds(2)));
}

// Guards against faults that only look like faults: progress during a freeze, memory kept after cancel or crash.
TEST_CASE("cancel, freeze and crash")
{
    EngineModel engine(EngineOptions{});
    const auto first = engine.start({.promptTokens = 10, .outputTokens = 1000}, kStart).value();
    const auto second = engine.start({.promptTokens = 10, .outputTokens = 1000}, kStart).value();
    CHECK(engine.cancel(first, kStart));
    CHECK_FALSE(engine.cancel(first, kStart));
    engine.setReportFrozen(true, kStart);
    engine.setFrozen(true, kStart);
    CHECK(engine.advance(kStart + seconds(10)).empty());
    engine.setFrozen(false, kStart + seconds(10));
    const auto &tokens = engine.advance(kStart + seconds(11));
    REQUIRE_FALSE(tokens.empty());
    CHECK(tokens.front().generation == second);
    CHECK(tokens.front().time > kStart + seconds(10));
    CHECK(engine.load(kStart + seconds(11)).measuredAt == kStart);
    engine.crash(kStart + seconds(11));
    engine.setReportFrozen(false, kStart + seconds(11));
    CHECK(engine.load(kStart + seconds(11)).memoryUsedTokens == 0);
    CHECK_FALSE(engine.start({}, kStart + seconds(11)));
    CHECK_FALSE(engine.nextEvent());
    engine.restart(kStart + seconds(12));
    CHECK(engine.start({}, kStart + seconds(12)).value() > second);
}

} // namespace
} // namespace daisystream
