#include "schedules/eventqueue.h"
#include "schedules/properties.h"

#include <array>
#include <map>
#include <memory>
#include <set>

namespace daisystream::schedules
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t kVms = 3;
constexpr std::size_t kEngines = 3;

/// One generation at an engine; its tokens are "REQUEST/GENERATION/INDEX".
struct Generation
{
    std::string request;
    std::size_t engine = 0;
    std::uint64_t length = 0;
};

/// One caller with its request. Keeps what it received across resumes.
struct Caller
{
    std::string request;
    TeamId team;
    std::vector<std::string> tokens;
    std::string lastEventId;
    std::optional<FinalState> final;
    int resumes = 0;
};

/// One answer at an entry VM.
struct Answer
{
    std::size_t caller = 0;
    std::size_t vm = 0;
    AnswerState state;
    EndpointId endpoint;
    int attemptsLeft = 3;
    std::uint64_t callerConnection = 0; // The connection of the caller that it serves.
    std::uint64_t connection = 0;       // Of the running attempt; ends and timeouts of earlier ones are void.
    TimePoint lastByte;
};

class AnswerWorld
{
public:
    AnswerWorld(std::uint64_t seed, const Faults &faults)
        : faults_(faults)
        , queue_(seed)
        , keys_{SealingKey{.number = 1, .bytes = {1}}}
        , trouble_(static_cast<double>(queue_.random.below(4)) * 0.04)
    {
        for (std::size_t vm = 0; vm < kVms; ++vm) {
            sealers_.push_back(std::make_unique<ResumeSealer>(keys_, Random(seed * kVms + vm), faults.resume));
        }
    }

    std::optional<std::string> run()
    {
        const std::uint64_t callers = 1 + queue_.random.below(4);
        callers_.resize(callers);
        for (std::size_t i = 0; i < callers; ++i) {
            callers_[i].request = "r" + std::to_string(i);
            callers_[i].team = TeamId("team" + std::to_string(i % 2));
            queue_.after(queue_.between(0ms, 2s), [this, i] { startAnswer(i); });
        }
        if (trouble_ > 0) {
            disturb();
        }
        queue_.run(2min, [] {});
        checkEnd();
        return queue_.violation;
    }

private:
    void disturb()
    {
        const std::uint64_t kills = queue_.random.below(4);
        for (std::uint64_t i = 0; i < kills; ++i) {
            queue_.after(queue_.between(0ms, 10s), [this] { killVm(queue_.random.below(kVms)); });
        }
        queue_.after(queue_.between(0ms, 10s), [this] {
            // Keys are rotated: the VMs learn of it one after the other, each keeps the old one.
            keys_.push_back({.number = 2, .bytes = {2}});
            for (auto &sealer : sealers_) {
                queue_.after(queue_.between(0ms, 2s), [this, &sealer] { sealer->setKeys(keys_); });
            }
        });
        queue_.after(queue_.between(0ms, 10s), [this] { deadEngines_.insert(queue_.random.below(kEngines)); });
    }

    [[nodiscard]] static std::chrono::sys_seconds calendar()
    {
        return std::chrono::sys_seconds(1'000'000s);
    }

    // Entry VM -------------------------------------------------------------------------------------------------------

    void startAnswer(std::size_t caller)
    {
        const std::size_t vm = queue_.random.below(kVms);
        auto answer = std::make_shared<Answer>();
        answer->caller = caller;
        answer->vm = vm;
        answer->state = AnswerState(faults_.answer);
        answers_.push_back(answer);
        attempt(answer);
    }

    void attempt(const std::shared_ptr<Answer> &answer)
    {
        if (answer->attemptsLeft-- == 0) {
            finish(answer);
            return;
        }
        const std::size_t engine = queue_.random.below(kEngines);
        const EndpointId endpoint("e" + std::to_string(engine));
        const auto attempt = answer->state.beginAttempt(endpoint);
        if (!attempt) {
            finish(answer);
            return;
        }
        answer->endpoint = endpoint;
        const std::uint64_t connection = ++answer->connection;
        if (queue_.chance(trouble_) || deadEngines_.contains(engine)) {
            later(answer, 5ms, [this, answer] { this->attempt(answer); }); // No connection.
            return;
        }
        answer->state.onRequestBytesSent(*attempt);
        if (queue_.chance(trouble_)) {
            later(answer, 5ms, [this, answer, attempt] {
                answer->state.onProvenNotRun(*attempt);
                this->attempt(answer);
            });
            return;
        }
        // Some attempts are slow to start, so that their events come after the request has moved.
        const Duration begin = queue_.chance(trouble_ * 3) ? Duration(3s) : queue_.between(2ms, 500ms);
        const std::string generation = "g" + std::to_string(generations_.size());
        generations_[generation] = {.request = callers_[answer->caller].request, .engine = engine, .length = 1 + queue_.random.below(12)};
        later(answer, begin, [answer, attempt, generation] { answer->state.announce(*attempt, GenerationId(generation)); });
        stream(answer, *attempt, connection, generation, 0, begin);
        watch(answer, *attempt, connection);
    }

    /// Gives the attempt up after two seconds of silence: moves it if no token was delivered, else resumes it.
    void watch(const std::shared_ptr<Answer> &answer, AnswerState::Attempt attempt, std::uint64_t connection)
    {
        answer->lastByte = queue_.now();
        const auto look = std::make_shared<std::function<void()>>();
        std::weak_ptr<std::function<void()>> again = look;
        *look = [this, answer, attempt, connection, again] {
            if (answer->connection != connection || answer->state.finished()) {
                return;
            }
            if (queue_.now() - answer->lastByte >= 2s) {
                reconnect(answer, attempt);
            } else if (const auto self = again.lock()) {
                later(answer, 500ms, [self] { (*self)(); });
            }
        };
        later(answer, 500ms, [look] { (*look)(); });
    }

    void reconnect(const std::shared_ptr<Answer> &answer, AnswerState::Attempt attempt)
    {
        if (answer->state.mayMove()) {
            this->attempt(answer);
            return;
        }
        const auto resumed = answer->state.resumeAttempt();
        const auto found = generations_.find(answer->state.generation().value());
        if (!resumed || answer->attemptsLeft-- <= 0 || found == generations_.end() || deadEngines_.contains(found->second.engine)) {
            finish(answer);
            return;
        }
        const std::uint64_t connection = ++answer->connection;
        stream(answer, *resumed, connection, found->first, answer->state.nextSequence(), 5ms);
        watch(answer, attempt, connection);
    }

    void onEvent(const std::shared_ptr<Answer> &answer, AnswerState::Attempt attempt, const StreamEvent &event)
    {
        answer->lastByte = queue_.now();
        const SequenceVerdict verdict = answer->state.accept(attempt, event);
        if (const auto *deliver = std::get_if<Deliver>(&verdict)) {
            deliverToken(answer, event, deliver->text);
        } else if (std::holds_alternative<Error>(verdict)) {
            finish(answer);
        }
    }

    void onEnd(const std::shared_ptr<Answer> &answer, AnswerState::Attempt attempt, std::uint64_t connection, std::uint64_t total)
    {
        answer->state.onEndOfStream(attempt, total);
        if (answer->connection != connection || answer->state.finished()) {
            return;
        }
        if (answer->state.nextSequence() == total) {
            finish(answer);
        } else {
            reconnect(answer, attempt); // Some events were lost at the end.
        }
    }

    void finish(const std::shared_ptr<Answer> &answer)
    {
        const bool first = !answer->state.finished();
        const FinalState state = answer->state.finish();
        if (first && answer->callerConnection == connections_[answer->caller]) {
            onFinal(callers_[answer->caller], state);
        }
    }

    /// Posts to the answer's VM; lost if that is killed.
    void later(const std::shared_ptr<Answer> &answer, Duration delay, std::function<void()> event)
    {
        queue_.after(delay, processes_[answer->vm], std::move(event));
    }

    void killVm(std::size_t vm)
    {
        ++processes_[vm].incarnation;
        for (std::size_t i = 0; i < callers_.size(); ++i) {
            if (!callers_[i].final && !callers_[i].lastEventId.empty()) {
                // The caller notices and resumes elsewhere; one that was not on this VM does so as well, after a break of
                // its own connection. Its old answer may run on.
                queue_.after(queue_.between(10ms, 500ms), [this, i] { resume(i); });
            }
        }
    }

    // Engine ---------------------------------------------------------------------------------------------------------

    [[nodiscard]] StreamEvent eventOf(const std::string &generation, std::uint64_t sequence) const
    {
        return {.generation = GenerationId(generation),
                .sequence = sequence,
                .text = generations_.at(generation).request + "/" + generation + "/" + std::to_string(sequence)};
    }

    /// Sends the generation from an offset, with the faults of engines and of whatever lies between.
    void stream(const std::shared_ptr<Answer> &answer,
                AnswerState::Attempt attempt,
                std::uint64_t connection,
                const std::string &generation,
                std::uint64_t offset,
                Duration begin)
    {
        Duration at = begin;
        const std::uint64_t length = generations_[generation].length;
        for (std::uint64_t i = offset; i < length; ++i) {
            at += queue_.between(1ms, 50ms);
            if (queue_.chance(trouble_ / 2)) {
                continue; // Lost.
            }
            if (queue_.chance(trouble_ / 2)) {
                return; // The connection goes silent.
            }
            StreamEvent event = eventOf(generation, i);
            if (queue_.chance(trouble_)) {
                event = crossed(event);
            }
            const int copies = queue_.chance(trouble_ * 2) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                later(answer, at + copy * 60ms, [this, answer, attempt, event] { onEvent(answer, attempt, event); });
            }
        }
        later(answer, at + 61ms, [this, answer, attempt, connection, length] { onEnd(answer, attempt, connection, length); });
    }

    /// An event of another generation on this connection, if there is one.
    StreamEvent crossed(const StreamEvent &event)
    {
        for (const auto &[id, generation] : generations_) {
            if (id != event.generation.value() && generation.length > event.sequence) {
                return eventOf(id, event.sequence);
            }
        }
        return event;
    }

    // Caller ---------------------------------------------------------------------------------------------------------

    void deliverToken(const std::shared_ptr<Answer> &answer, const StreamEvent &event, const std::string &text)
    {
        Caller &caller = callers_[answer->caller];
        if (answer->callerConnection != connections_[answer->caller]) {
            return; // The caller has left this VM.
        }
        const auto generation = generations_.find(event.generation.value());
        caller.tokens.push_back(text);
        checkTokens(caller);
        if (generation == generations_.end() || "e" + std::to_string(generation->second.engine) != answer->endpoint.value()) {
            queue_.fail("R1: a token of an attempt that is over was delivered to " + caller.request);
        }
        caller.lastEventId = sealers_[answer->vm]->seal({.endpoint = answer->endpoint,
                                                         .generation = answer->state.generation(),
                                                         .offset = answer->state.nextSequence(),
                                                         .team = caller.team,
                                                         .request = RequestId(caller.request),
                                                         .expiry = calendar() + 60s});
    }

    void checkTokens(const Caller &caller)
    {
        const std::string &first = caller.tokens.front();
        const std::string generation = first.substr(0, first.rfind('/'));
        if (generation.substr(0, generation.find('/')) != caller.request) {
            queue_.fail("R2: " + caller.request + " received " + first);
        }
        const std::string expected = generation + "/" + std::to_string(caller.tokens.size() - 1);
        if (caller.tokens.back() != expected) {
            queue_.fail("R1: " + caller.request + " received " + caller.tokens.back() + " instead of " + expected);
        }
    }

    void onFinal(Caller &caller, FinalState state)
    {
        if (caller.final) {
            return;
        }
        caller.final = state;
        const bool ran = std::any_of(generations_.begin(), generations_.end(), [&](const auto &entry) { return entry.second.request == caller.request; });
        if (state == FinalState::NotRun && ran) {
            queue_.fail("R3: " + caller.request + " was reported as not run and ran");
        }
        if (state == FinalState::Complete && !isWhole(caller)) {
            queue_.fail("R2: " + caller.request + " was reported as complete with " + std::to_string(caller.tokens.size()) + " tokens");
        }
    }

    [[nodiscard]] bool isWhole(const Caller &caller) const
    {
        if (caller.tokens.empty()) {
            return false;
        }
        const std::string &first = caller.tokens.front();
        const auto begin = first.find('/') + 1;
        const auto found = generations_.find(first.substr(begin, first.rfind('/') - begin));
        return found != generations_.end() && found->second.length == caller.tokens.size();
    }

    /// The caller presents its last event id at any VM; sometimes that of another caller.
    void resume(std::size_t index)
    {
        Caller &caller = callers_[index];
        if (caller.final || ++caller.resumes > 4) {
            return;
        }
        const std::size_t vm = queue_.random.below(kVms);
        const std::size_t other = queue_.random.below(callers_.size());
        if (callers_[other].team != caller.team && !callers_[other].lastEventId.empty()) {
            if (std::holds_alternative<ResumePoint>(sealers_[vm]->open(callers_[other].lastEventId, caller.team, calendar()))) {
                queue_.fail("R2: " + caller.request + " may resume the answer of another team");
            }
        }
        const auto opened = sealers_[vm]->open(caller.lastEventId, caller.team, calendar());
        const auto *point = std::get_if<ResumePoint>(&opened);
        if (point == nullptr) {
            // A VM that does not know the newest key yet cannot open the id; the caller tries another one.
            if (caller.resumes == 4) {
                queue_.fail("R2: the resume id of " + caller.request + " opens nowhere");
            }
            queue_.after(1s, [this, index] { resume(index); });
            return;
        }
        ++connections_[index];
        auto answer = std::make_shared<Answer>();
        answer->caller = index;
        answer->vm = vm;
        answer->state = AnswerState(point->generation, point->offset, faults_.answer);
        answer->callerConnection = connections_[index];
        answers_.push_back(answer);
        answer->endpoint = point->endpoint;
        const auto attempt = answer->state.resumeAttempt();
        reconnect(answer, attempt.value_or(0));
    }

    /// Without faults every caller has its whole answer, so that a product that gives up everything does not pass.
    void checkEnd()
    {
        for (const Caller &caller : callers_) {
            if (trouble_ == 0 && caller.final != FinalState::Complete) {
                queue_.fail("R2: " + caller.request + " did not get its whole answer although nothing failed");
            }
        }
    }

    Faults faults_;
    EventQueue queue_;
    std::vector<SealingKey> keys_;
    double trouble_;
    std::array<Process, kVms> processes_;
    std::vector<std::unique_ptr<ResumeSealer>> sealers_;
    std::set<std::size_t> deadEngines_;
    std::map<std::string, Generation> generations_;
    std::vector<Caller> callers_;
    std::map<std::size_t, std::uint64_t> connections_; // Of each caller: the present one.
    std::vector<std::shared_ptr<Answer>> answers_;
};

} // namespace

Property answersProperty()
{
    return {.name = "answers",
            .run = [](std::uint64_t seed, const Faults &faults) { return AnswerWorld(seed, faults).run(); },
            .mutations = {{"acceptDuplicates",
                           [](Faults &faults) {
                               faults.answer.sequencer.acceptDuplicates = true;
                           }},
                          {"acceptGaps",
                           [](Faults &faults) {
                               faults.answer.sequencer.acceptGaps = true;
                           }},
                          {"acceptForeignGeneration",
                           [](Faults &faults) {
                               faults.answer.sequencer.acceptForeignGeneration = true;
                           }},
                          {"moveAfterFirstToken",
                           [](Faults &faults) {
                               faults.answer.moveAfterFirstToken = true;
                           }},
                          {"acceptOldAttempts",
                           [](Faults &faults) {
                               faults.answer.acceptOldAttempts = true;
                           }},
                          {"notRunAfterBytesSent",
                           [](Faults &faults) {
                               faults.answer.notRunAfterBytesSent = true;
                           }},
                          {"completeWithoutEnd",
                           [](Faults &faults) {
                               faults.answer.completeWithoutEnd = true;
                           }},
                          {"ignoreAnnouncement",
                           [](Faults &faults) {
                               faults.answer.ignoreAnnouncement = true;
                           }},
                          {"forgetEnd",
                           [](Faults &faults) {
                               faults.answer.forgetEnd = true;
                           }},
                          {"ignoreTeam",
                           [](Faults &faults) {
                               faults.resume.ignoreTeam = true;
                           }},
                          {"newestKeyOnly", [](Faults &faults) {
                               faults.resume.newestKeyOnly = true;
                           }}}};
}

} // namespace daisystream::schedules
