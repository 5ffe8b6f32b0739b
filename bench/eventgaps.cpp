#include "bench/eventgaps.h"

#include "bench/eventqueue.h"
#include "daisystream/base/random.h"
#include "standins/enginemodel/enginemodel.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisystream::bench
{
namespace
{

using std::chrono::milliseconds;

constexpr Duration kZoneDelay = std::chrono::microseconds(1400); // One way, docs/design/hard-load.md.
constexpr Duration kSlowPeriod = milliseconds(600);
constexpr Duration kReplaceInterval = milliseconds(3300);
constexpr std::uint32_t kReplacedParts = 6;
constexpr Duration kProgressInterval = std::chrono::seconds(1);
constexpr std::uint32_t kTokensPerEvent = 4;
constexpr Duration kMaxGap = milliseconds(180);
constexpr std::uint32_t kMaxBatch = 24;
constexpr std::uint64_t kMemoryTokens = 26900;
constexpr std::uint32_t kPrefillTokensPerStep = 112;
constexpr double kLateFirstEventFactor = 3.5; // As a gateway sets `lastUsefulFirstToken`.
constexpr std::array<double, 4> kPaces{0.55, 1.2, 1.2, 1.2};
const ModelId kModel("assistant");

struct Kind
{
    const char *name;
    Rank rank;
    std::uint32_t promptTokens;
    std::uint32_t events;
    Duration firstEvent;
    Duration timeout;
};

const Kind kLong{"long", Rank::Ordinary, 3079, 188, milliseconds(1800), std::chrono::seconds(39)};
const Kind kShort{"short", Rank::Urgent, 2550, 2, milliseconds(1500), std::chrono::seconds(6)};

struct Request
{
    const Kind *kind = nullptr;
    TimePoint arrival;
    std::size_t engine = 0;
    GenerationNumber generation = 0;
    std::uint32_t assignment = 0; // Number of its latest assignment.
    std::uint32_t tokens = 0;
    std::optional<TimePoint> firstEvent{};
    TimePoint lastEvent{};
    TimePoint progressAt{};
    bool hasLateGap = false;
    bool isAtEngine = false;
    bool isDone = false;
};

struct Engine
{
    EndpointId id;
    double pace = 1;
    double slowness = 1;
    EngineModel core;
    std::optional<TimePoint> stepAt{};
    std::vector<std::uint32_t> requests{0}; // By generation number.
    bool isReplaced = false;
};

EngineOptions engineOptions()
{
    EngineOptions options;
    options.stepBaseMilliseconds = 7;
    options.stepMillisecondsPerAnswer = 0.12;
    options.stepMillisecondsPerResidentToken = 0.000004;
    options.prefillMillisecondsPerToken = 0.071;
    options.prefillTokensPerStep = kPrefillTokensPerStep;
    options.maxBatch = kMaxBatch;
    options.memoryTokens = kMemoryTokens;
    options.keepAfterEnd = std::chrono::seconds(1);
    return options;
}

class Run
{
public:
    Run(const EventGapsOptions &options, const SchedulerOptions &scheduler, std::uint64_t seed)
        : options_(options)
        , arrivals_(seed)
        , hosts_(seed + 1000)
        , scheduler_(scheduler, Random(seed))
        , begin_(queue_.now())
    {
        for (std::uint32_t place = 0; place < options_.engines; ++place) {
            current_.push_back(addEngine(place));
        }
        publishEngines();
        scheduleArrival(kLong, options_.longPerSecond * options_.engines);
        scheduleArrival(kShort, options_.shortPerSecond * options_.engines);
        if (options_.replaces) {
            queue_.at(begin_ + kReplaceInterval, [this] { replaceEngines(); });
        }
    }

    Figures run()
    {
        while (queue_.runOne(begin_ + options_.warmUp + options_.measured + kLong.timeout)) { }
        Figures figures;
        addFigures(figures, kLong);
        addFigures(figures, kShort);
        return figures;
    }

private:
    std::size_t addEngine(std::uint32_t place)
    {
        const std::size_t index = engines_.size();
        const double pace = options_.unequal ? kPaces.at(place % kPaces.size()) : 1.0;
        engines_.push_back(std::make_unique<Engine>(Engine{.id = EndpointId("e" + std::to_string(index)), .pace = pace, .core = EngineModel(engineOptions())}));
        engines_.back()->core.setSlowdown(pace);
        if (options_.slowShare > 0) {
            queue_.at(queue_.now() + timeUntilSlow(), [this, index] { setSlow(index, true); });
        }
        return index;
    }

    Duration timeUntilSlow()
    {
        const double mean = std::chrono::duration<double>(kSlowPeriod).count() * (1 - options_.slowShare) / options_.slowShare;
        return exponential(hosts_, mean);
    }

    static Duration exponential(Random &random, double meanSeconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-std::log(1 - random.uniform()) * meanSeconds));
    }

    void setSlow(std::size_t index, bool slow)
    {
        Engine &engine = *engines_[index];
        engine.slowness = slow ? options_.slowFactor : 1;
        engine.core.setSlowdown(engine.pace * engine.slowness);
        queue_.at(queue_.now() + (slow ? kSlowPeriod : timeUntilSlow()), [this, index, slow] { setSlow(index, !slow); });
    }

    // Replaces a sixth of the engines. A replaced engine receives no new requests and completes those that it runs.
    void replaceEngines()
    {
        for (std::uint32_t place = replacedPart_; place < options_.engines; place += kReplacedParts) {
            engines_[current_[place]]->isReplaced = true;
            current_[place] = addEngine(place);
        }
        replacedPart_ = (replacedPart_ + 1) % kReplacedParts;
        publishEngines();
        decide();
        queue_.at(queue_.now() + kReplaceInterval, [this] { replaceEngines(); });
    }

    void publishEngines()
    {
        std::vector<EndpointInfo> infos;
        for (const auto &engine : engines_) {
            EndpointInfo info;
            info.id = engine->id;
            info.model = kModel;
            info.state = !engine->isReplaced                  ? EndpointState::InService
                : engine->core.load(queue_.now()).running > 0 ? EndpointState::Draining
                                                              : EndpointState::Gone;
            info.memoryCapacityTokens = kMemoryTokens;
            info.maxBatch = kMaxBatch;
            info.stepCost = {.baseMilliseconds = 7,
                             .perSequenceMilliseconds = 0.12,
                             .perThousandTokensMilliseconds = 0.004,
                             .prefillMillisecondsPerThousandTokens = 71,
                             .prefillTokensPerStep = kPrefillTokensPerStep};
            infos.push_back(info);
        }
        scheduler_.setEndpoints(infos, queue_.now());
    }

    void scheduleArrival(const Kind &kind, double perSecond)
    {
        const TimePoint at = queue_.now() + exponential(arrivals_, 1 / perSecond);
        if (at >= begin_ + options_.warmUp + options_.measured) {
            return;
        }
        queue_.at(at, [this, &kind, perSecond] {
            arrive(kind);
            scheduleArrival(kind, perSecond);
        });
    }

    void arrive(const Kind &kind)
    {
        const auto index = static_cast<std::uint32_t>(requests_.size());
        requests_.push_back({.kind = &kind, .arrival = queue_.now()});
        WorkRequest work;
        work.id = RequestId(std::to_string(index));
        work.team = TeamId(kind.name);
        work.rank = kind.rank;
        work.model = kModel;
        work.promptTokens = kind.promptTokens;
        work.maxOutputTokens = 0;
        work.paceTokensPerSecond = &kind == &kLong ? kTokensPerEvent / std::chrono::duration<double>(kMaxGap).count() : 0;
        work.firstTokenDeadline = queue_.now() + kind.firstEvent;
        work.lastUsefulFirstToken
            = queue_.now() + std::min<Duration>(kind.timeout, std::chrono::duration_cast<Duration>(kLateFirstEventFactor * kind.firstEvent));
        work.arrival = queue_.now();
        work.lengthClass = kind.name;
        queue_.at(queue_.now() + kZoneDelay, [this, work] {
            scheduler_.submit(work, queue_.now());
            decide();
        });
    }

    void decide()
    {
        for (const Action &action : scheduler_.decide(queue_.now())) {
            if (const auto *assign = std::get_if<Assign>(&action)) {
                onAssign(*assign);
            } else if (const auto *cancel = std::get_if<Cancel>(&action)) {
                const auto index = static_cast<std::uint32_t>(std::stoul(cancel->request.value()));
                queue_.at(queue_.now() + 2 * kZoneDelay, [this, index, number = requests_[index].assignment] { onCancel(index, number); });
            }
        }
        const auto wake = scheduler_.nextWake();
        if (wake && (!wakeAt_ || *wake < *wakeAt_)) {
            wakeAt_ = wake;
            queue_.at(*wake, [this, at = *wake] {
                if (wakeAt_ == at) {
                    wakeAt_.reset();
                    decide();
                }
            });
        }
    }

    void onAssign(const Assign &assign)
    {
        const auto index = static_cast<std::uint32_t>(std::stoul(assign.request.value()));
        const auto engine = static_cast<std::size_t>(std::stoul(assign.endpoint.value().substr(1)));
        const std::uint32_t number = ++requests_[index].assignment;
        queue_.at(queue_.now() + 2 * kZoneDelay, [this, index, engine, number, priority = assign.priority] {
            Request &request = requests_[index];
            if (request.assignment != number || request.isAtEngine) {
                return;
            }
            Engine &at = *engines_[engine];
            const StartRequest start{.priority = priority, .promptTokens = request.kind->promptTokens, .outputTokens = request.kind->events * kTokensPerEvent};
            request.generation = at.core.start(start, queue_.now()).value();
            request.engine = engine;
            request.isAtEngine = true;
            at.requests.push_back(index);
            scheduleStep(engine);
        });
    }

    void onCancel(std::uint32_t index, std::uint32_t number)
    {
        Request &request = requests_[index];
        if (request.assignment != number || !request.isAtEngine || request.firstEvent) {
            return;
        }
        engines_[request.engine]->core.cancel(request.generation, queue_.now());
        request.isAtEngine = false;
        request.tokens = 0;
        scheduleStep(request.engine);
    }

    void scheduleStep(std::size_t index)
    {
        Engine &engine = *engines_[index];
        const auto next = engine.core.nextEvent();
        if (!next || engine.stepAt == next) {
            return;
        }
        engine.stepAt = next;
        queue_.at(*next, [this, index, at = *next] {
            if (engines_[index]->stepAt == at) {
                step(index);
            }
        });
    }

    void step(std::size_t index)
    {
        Engine &engine = *engines_[index];
        engine.stepAt.reset();
        for (const TokenEvent &event : engine.core.advance(queue_.now())) {
            onToken(engine, engine.requests.at(event.generation), event);
        }
        scheduleStep(index);
    }

    void onToken(const Engine &engine, std::uint32_t index, const TokenEvent &event)
    {
        Request &request = requests_[index];
        if (request.generation != event.generation || engines_[request.engine].get() != &engine || !request.isAtEngine) {
            return;
        }
        ++request.tokens;
        if (request.tokens % kTokensPerEvent != 0) {
            return;
        }
        const RequestId id(std::to_string(index));
        if (!request.firstEvent) {
            request.firstEvent = event.time + kZoneDelay;
            request.progressAt = event.time;
            tellOwner([this, id, slowness = engine.slowness, at = event.time] {
                if (options_.statesSlowness) {
                    scheduler_.onSlowness(id, slowness, at);
                }
                scheduler_.onFirstToken(id, queue_.now());
            });
        } else {
            request.hasLateGap = request.hasLateGap || event.time - request.lastEvent > kMaxGap;
        }
        request.lastEvent = event.time;
        if (event.end != EndReason::None) {
            request.isDone = true;
            request.isAtEngine = false;
            tellOwner([this, id, tokens = request.tokens] { scheduler_.onFinished(id, tokens, FinishReason::Complete, queue_.now()); });
        } else if (event.time - request.progressAt >= kProgressInterval) {
            request.progressAt = event.time;
            tellOwner([this, id, tokens = request.tokens] { scheduler_.onProgress(id, tokens, queue_.now()); });
        }
    }

    // Runs `action` when a message from an engine has reached the scheduler.
    template<class Action>
    void tellOwner(Action action)
    {
        queue_.at(queue_.now() + 2 * kZoneDelay, [this, action] {
            action();
            decide();
        });
    }

    void addFigures(Figures &figures, const Kind &kind) const
    {
        Quantiles first;
        double count = 0;
        double lateFirst = 0;
        double lateGap = 0;
        double failed = 0;
        double late = 0;
        for (const Request &request : requests_) {
            if (request.kind != &kind || request.arrival < begin_ + options_.warmUp) {
                continue;
            }
            ++count;
            const bool isLateFirst = request.firstEvent && *request.firstEvent - request.arrival > kind.firstEvent;
            lateFirst += isLateFirst ? 1 : 0;
            lateGap += request.hasLateGap ? 1 : 0;
            failed += request.isDone ? 0 : 1;
            late += isLateFirst || request.hasLateGap || !request.isDone ? 1 : 0;
            if (request.firstEvent) {
                first.add(std::chrono::duration<double>(*request.firstEvent - request.arrival).count());
            }
        }
        const std::string name = kind.name;
        count = std::max(1.0, count);
        figures[name + " count"] = count;
        figures[name + " late first"] = lateFirst / count;
        figures[name + " late gap"] = lateGap / count;
        figures[name + " failed"] = failed / count;
        figures[name + " late"] = late / count;
        figures[name + " first p99 ms"] = 1000 * first.at(0.99);
    }

    EventGapsOptions options_;
    Random arrivals_;
    Random hosts_;
    EventQueue queue_;
    Scheduler scheduler_;
    TimePoint begin_;
    std::vector<std::unique_ptr<Engine>> engines_; // Also those that were replaced.
    std::vector<std::size_t> current_;             // By place: the engine that receives requests.
    std::vector<Request> requests_;
    std::uint32_t replacedPart_ = 0;
    std::optional<TimePoint> wakeAt_;
};

} // namespace

Figures runEventGaps(const EventGapsOptions &options, const SchedulerOptions &scheduler, std::uint64_t seed)
{
    return Run(options, scheduler, seed).run();
}

SchedulerOptions gatewaySchedulerOptions()
{
    SchedulerOptions options;
    options.placement = Placement::LeastAddedTime;
    options.memoryQuantile = 0.9;
    options.urgentReserve = 0.12;
    options.reservesEndpoints = false;
    options.reportTimeout = std::chrono::hours(24 * 365);
    return options;
}

} // namespace daisystream::bench
