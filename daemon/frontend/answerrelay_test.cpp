#include "daemon/frontend/frontendfixture_test.h"

#include "daisystream/base/random.h"

#include <set>

namespace daisystream::frontendtest
{
namespace
{

const char *const kCompletions = "/v1/completions";
const char *const kChat = "/v1/chat/completions";

FrontendOptions quickOptions()
{
    FrontendOptions options;
    options.resumeBackoff = std::chrono::milliseconds(1);
    return options;
}

Answer ask(const Vm &vm, unsigned tokens, const Headers &headers = kNorth)
{
    EventStream stream(vm.port(), kCompletions, headers, completion(tokens));
    REQUIRE(stream.status() == 200);
    Answer answer;
    collect(stream, answer);
    return answer;
}

// Guards against lost, repeated or reordered tokens and against an answer without its explicit end.
TEST_CASE("a streamed answer has all tokens and ends complete")
{
    Fleet fleet;
    const auto answer = ask(*fleet.vm1, 300);
    checkWhole(answer, 300);
    CHECK(answer.state == "complete");
    CHECK(answer.done);
    CHECK(fleet.vm1->dispatcher.waitFinished(1).front() == std::pair(300U, FinishReason::Complete));
}

// Guards against a chat answer in the form of a plain completion.
TEST_CASE("chat answers have the form of chat clients")
{
    Fleet fleet;
    const json body = {{"model", "assistant"}, {"stream", true}, {"standin_tokens", 5}, {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
    EventStream stream(fleet.vm1->port(), kChat, kNorth, body);
    Answer answer;
    collect(stream, answer);
    checkWhole(answer, 5);
    json whole = body;
    whole["stream"] = false;
    const auto reply = request(fleet.vm1->port(), http::verb::post, kChat, kNorth, whole.dump()).parsed();
    CHECK(reply.at("object") == "chat.completion");
    CHECK(reply.at("choices").at(0).at("message").at("role") == "assistant");
}

// Guards against a whole answer that lacks tokens or claims the wrong number.
TEST_CASE("an answer that is not streamed comes in one body")
{
    Fleet fleet;
    json body = completion(50);
    body["stream"] = false;
    const auto reply = request(fleet.vm1->port(), http::verb::post, kCompletions, kNorth, body.dump());
    REQUIRE(reply.status == 200);
    std::string expected;
    for (int i = 0; i < 50; ++i) {
        expected += "g1t" + std::to_string(i) + " ";
    }
    CHECK(reply.parsed().at("choices").at(0).at("text") == expected);
    CHECK(reply.parsed().at("choices").at(0).at("finish_reason") == "stop");
    CHECK(reply.parsed().at("usage").at("completion_tokens") == 50);
    CHECK(reply.parsed().at("state") == "complete");
}

// Guards against a gap, a repetition or a second generation when a caller moves between VMs. Seeds vary the cuts.
TEST_CASE("a caller that is cut off resumes at any VM")
{
    Fleet fleet(quickOptions());
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        const auto startedBefore = fleet.engine1->started() + fleet.engine2->started();
        Answer answer;
        for (bool first = true; !answer.done; first = false) {
            const auto &vm = random.below(2) == 0 ? *fleet.vm1 : *fleet.vm2;
            EventStream stream(vm.port(), kCompletions, first ? kNorth : with(kNorth, "Last-Event-ID", answer.lastId), completion(200));
            REQUIRE(stream.status() == 200);
            collect(stream, answer, answer.tokens.size() + 1 + random.below(60));
        }
        checkWhole(answer, 200);
        CHECK(answer.state == "complete");
        CHECK(fleet.engine1->started() + fleet.engine2->started() == startedBefore + 1);
    }
}

// Guards against an answer that goes to a team that did not ask for it, and against ids that are made up.
TEST_CASE("forged and foreign resume ids get 403")
{
    Fleet fleet;
    const auto answer = ask(*fleet.vm1, 3);
    const auto foreign = request(fleet.vm2->port(), http::verb::get, kCompletions, with(kSouth, "Last-Event-ID", answer.lastId));
    CHECK(foreign.status == 403);
    CHECK(foreign.code() == 110);
    auto forged = answer.lastId;
    forged[forged.size() / 2] = forged[forged.size() / 2] == 'A' ? 'B' : 'A';
    for (const auto &id : {forged, std::string("x"), std::string(500, 'A')}) {
        const auto reply = request(fleet.vm2->port(), http::verb::get, kCompletions, with(kNorth, "Last-Event-ID", id));
        CHECK(reply.status == 403);
        CHECK(reply.code() == 108);
    }
    CHECK(request(fleet.vm2->port(), http::verb::get, kCompletions, with(kNorth, "Last-Event-ID", answer.lastId)).status == 200);
}

// Guards against faulty events of an engine that reach the caller or cost it tokens.
TEST_CASE("malformed, duplicate, reordered and cut streams are repaired from the same generation")
{
    Fleet fleet(quickOptions());
    fleet.useOneEngine();
    const std::vector<EngineFaults> cases = {{.malformedEvery = 7},
                                             {.duplicateEvery = 3},
                                             {.reorderEvery = 11},
                                             {.cutEvery = 13},
                                             {.malformedEvery = 17, .duplicateEvery = 2, .reorderEvery = 19, .cutEvery = 23}};
    for (const auto &faults : cases) {
        CAPTURE(faults.malformedEvery);
        CAPTURE(faults.reorderEvery);
        CAPTURE(faults.cutEvery);
        const auto startedBefore = fleet.engine1->started();
        const auto askedBefore = fleet.vm1->dispatcher.asked;
        fleet.engine1->setFaults(faults);
        const auto answer = ask(*fleet.vm1, 150);
        checkWhole(answer, 150);
        CHECK(answer.state == "complete");
        // A fault in the very first event moves the request; after the first token there is no further attempt.
        CHECK(fleet.engine1->started() - startedBefore == fleet.vm1->dispatcher.asked - askedBefore);
    }
}

// Guards against an event of another generation that reaches a caller.
TEST_CASE("a foreign event ends the answer as incomplete with what was valid")
{
    Fleet fleet(quickOptions());
    fleet.useOneEngine();
    fleet.engine1->setFaults({.foreignEvery = 10});
    const auto answer = ask(*fleet.vm1, 50);
    CHECK(answer.state == "incomplete");
    CHECK(answer.done);
    checkWhole(answer, 9);
}

// Guards against answers that mix when engines send faulty events to many callers at once.
TEST_CASE("callers at the same time never get each other's tokens")
{
    Fleet fleet(quickOptions());
    const EngineFaults faults{.malformedEvery = 37, .duplicateEvery = 5, .reorderEvery = 41, .cutEvery = 43};
    fleet.engine1->setFaults(faults);
    fleet.engine2->setFaults(faults);
    std::vector<Answer> answers(16);
    {
        std::vector<std::jthread> callers;
        for (std::size_t i = 0; i < answers.size(); ++i) {
            callers.emplace_back([&, i] {
                EventStream stream((i % 2 == 0 ? fleet.vm1 : fleet.vm2)->port(), kCompletions, i % 3 == 0 ? kSouth : kNorth, completion(100));
                collect(stream, answers[i]);
            });
        }
    }
    for (const auto &answer : answers) {
        checkWhole(answer, 100);
        CHECK(answer.state == "complete");
    }
    // A fault in the very first event moves the request, so attempts are counted rather than callers.
    CHECK(fleet.engine1->started() + fleet.engine2->started() == fleet.vm1->dispatcher.asked + fleet.vm2->dispatcher.asked);
}

// Guards against a request that fails although another endpoint could have run it.
TEST_CASE("an attempt that fails before the first token moves to another endpoint")
{
    auto options = quickOptions();
    options.endpointSilenceTimeout = std::chrono::milliseconds(1000); // Twice the keep-alive interval of the engine.
    Fleet fleet(options);
    SUBCASE("the endpoint refuses")
    {
        fleet.engine1->setFaults({.refuse = true});
    }
    SUBCASE("the endpoint is silent")
    {
        fleet.engine1->setFaults({.hangStart = true});
    }
    SUBCASE("the endpoint is gone")
    {
        fleet.engine1->die();
    }
    const auto answer = ask(*fleet.vm1, 20);
    checkWhole(answer, 20);
    CHECK(answer.state == "complete");
    CHECK(fleet.engine2->started() == 1);
    CHECK(fleet.vm1->dispatcher.waitFinished(2).front() == std::pair(0U, FinishReason::Failed));
}

// Guards against "not run" for a request that an engine may have run, and against retries without an end.
TEST_CASE("a request that no endpoint takes ends with what is known of it")
{
    auto options = quickOptions();
    options.endpointSilenceTimeout = std::chrono::milliseconds(1000);
    Fleet fleet(options);
    fleet.useOneEngine();
    std::string expected = "notRun";
    unsigned status = 503;
    SUBCASE("refused")
    {
        fleet.engine1->setFaults({.refuse = true});
    }
    SUBCASE("unreachable")
    {
        fleet.engine1->die();
    }
    SUBCASE("failed")
    {
        fleet.engine1->setFaults({.failStart = true});
        expected = "outcomeUnknown";
        status = 502;
    }
    SUBCASE("a refusal of another request")
    {
        fleet.engine1->setFaults({.foreignRefusal = true});
        expected = "outcomeUnknown";
        status = 502;
    }
    SUBCASE("no answer")
    {
        fleet.engine1->setFaults({.hangStart = true});
        expected = "outcomeUnknown";
        status = 502;
    }
    const auto reply = request(fleet.vm1->port(), http::verb::post, kCompletions, kNorth, completion(5).dump());
    CHECK(reply.status == status);
    CHECK(reply.code() == 206);
    CHECK(reply.state() == expected);
    CHECK(fleet.vm1->dispatcher.asked == 4); // The floor of the retry budget is 3.
}

// Guards against a second generation after the first token: its text would not fit what the caller has.
TEST_CASE("an engine that dies after the first token leaves the answer incomplete")
{
    Fleet fleet(quickOptions());
    EventStream stream(fleet.vm1->port(), kCompletions, kNorth, completion(100000));
    Answer answer;
    collect(stream, answer, 10);
    fleet.engine1->die();
    collect(stream, answer);
    CHECK(answer.state == "incomplete");
    CHECK(answer.done);
    checkWhole(answer, answer.tokens.size());
    CHECK(fleet.engine2->started() == 0);
    const auto lost = request(fleet.vm2->port(), http::verb::get, kCompletions, with(kNorth, "Last-Event-ID", answer.lastId));
    CHECK(lost.state() == "incomplete");
}

// Guards against a stream that hangs because its connection is open and dead while new connections work.
TEST_CASE("a silent connection to an engine is replaced")
{
    auto options = quickOptions();
    options.endpointSilenceTimeout = std::chrono::milliseconds(1000);
    Fleet fleet(options);
    fleet.useOneEngine();
    EventStream stream(fleet.vm1->port(), kCompletions, kNorth, completion(3000));
    Answer answer;
    collect(stream, answer, 5);
    fleet.engine1->setFaults({.silentStreams = true});
    collect(stream, answer);
    checkWhole(answer, 3000);
    CHECK(answer.state == "complete");
    CHECK(fleet.engine1->started() == 1);
}

// Guards against generations that go on for nobody.
TEST_CASE("a generation is cancelled when its caller does not come back")
{
    auto options = quickOptions();
    options.resumeWindow = std::chrono::milliseconds(1);
    Fleet fleet(options);
    fleet.useOneEngine();
    {
        EventStream stream(fleet.vm1->port(), kCompletions, kNorth, completion(100000));
        Answer answer;
        collect(stream, answer, 3);
    }
    CHECK(fleet.vm1->dispatcher.waitFinished(1).front().second == FinishReason::Cancelled);
    CHECK(fleet.engine1->cancelled() == 1);
}

// Guards against the first VM cancelling a generation that its caller continues at another VM.
TEST_CASE("a generation that continues at another VM is not cancelled")
{
    auto options = quickOptions();
    options.resumeWindow = std::chrono::milliseconds(1);
    Fleet fleet(options);
    fleet.useOneEngine();
    Answer answer;
    std::optional<EventStream> first(std::in_place, fleet.vm1->port(), kCompletions, kNorth, completion(4000));
    collect(*first, answer, 5);
    EventStream second(fleet.vm2->port(), kCompletions, with(kNorth, "Last-Event-ID", answer.lastId), completion(4000));
    collect(second, answer, 10);
    first.reset();
    collect(second, answer);
    checkWhole(answer, 4000);
    CHECK(answer.state == "complete");
    // The first VM accounts for the generation to its end.
    CHECK(fleet.vm1->dispatcher.waitFinished(1).front() == std::pair(4000U, FinishReason::Complete));
    CHECK(fleet.engine1->cancelled() == 0);
}

// Guards against a scheduler that cannot take back work before its first token, and against a retry that this costs.
TEST_CASE("work that the scheduler takes back is asked for anew")
{
    Fleet fleet(quickOptions());
    fleet.engine1->setFaults({.hangStart = true});
    std::jthread recall([&] {
        auto &dispatcher = fleet.vm1->dispatcher;
        for (bool moved = false; !moved;) {
            std::this_thread::yield();
            RequestId id;
            Dispatcher::CancelHandler cancel;
            {
                const std::lock_guard lock(dispatcher.mutex);
                id = dispatcher.lastRequest;
                cancel = dispatcher.cancel;
                moved = !dispatcher.finished.empty();
            }
            if (!moved && !id.empty()) {
                cancel({.request = id, .endpoint = EndpointId("e1")});
            }
        }
    });
    const auto answer = ask(*fleet.vm1, 10);
    recall.join();
    checkWhole(answer, 10);
    CHECK(fleet.vm1->dispatcher.waitFinished(2).front() == std::pair(0U, FinishReason::MovedAway));
}

} // namespace
} // namespace daisystream::frontendtest
