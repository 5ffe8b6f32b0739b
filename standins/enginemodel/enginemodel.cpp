#include "standins/enginemodel/enginemodel.h"

#include <algorithm>
#include <deque>
#include <list>
#include <set>
#include <unordered_map>

namespace daisystream
{
namespace
{

struct Answer
{
    GenerationNumber number = 0;
    StartRequest request;
    std::uint32_t generated = 0;
    std::uint32_t toPrefill = 0; // Tokens to read before the next token.
    bool running = false;
    EndReason end = EndReason::None;

    [[nodiscard]] std::uint64_t resident() const
    {
        return std::uint64_t{request.promptTokens} + generated;
    }

    [[nodiscard]] std::uint32_t length() const
    {
        const std::uint32_t wanted = std::max<std::uint32_t>(request.outputTokens, 1);
        return request.maxOutputTokens == 0 ? wanted : std::min(wanted, request.maxOutputTokens);
    }
};

// Order of entry into the batch: lower priority value first, then older.
struct EntersBefore
{
    bool operator()(const Answer *left, const Answer *right) const
    {
        if (left->request.priority != right->request.priority) {
            return left->request.priority < right->request.priority;
        }
        return left->number < right->number;
    }
};

Duration milliseconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

// Shared prompt prefixes in least-recently-used order within a token limit.
class PrefixCache
{
public:
    PrefixCache(std::uint64_t capacity, std::size_t eventsKept)
        : capacity_(capacity)
        , eventsKept_(eventsKept)
    {
    }

    // Tokens of the prefix that are cached; marks it as used.
    std::uint32_t use(std::uint64_t hash)
    {
        const auto found = index_.find(hash);
        if (hash == 0 || found == index_.end()) {
            return 0;
        }
        order_.splice(order_.begin(), order_, found->second);
        return found->second->tokens;
    }

    void store(std::uint64_t hash, std::uint32_t tokens)
    {
        if (hash == 0 || tokens == 0 || tokens > capacity_ || index_.contains(hash)) {
            return;
        }
        while (used_ + tokens > capacity_) {
            const Entry last = order_.back();
            order_.pop_back();
            index_.erase(last.hash);
            used_ -= last.tokens;
            record(last, false);
        }
        order_.push_front({hash, tokens});
        index_[hash] = order_.begin();
        used_ += tokens;
        record(order_.front(), true);
    }

    void clear()
    {
        order_.clear();
        index_.clear();
        events_.clear();
        used_ = 0;
    }

    void setLoss(std::uint32_t every)
    {
        lossEvery_ = every;
    }

    [[nodiscard]] std::vector<EngineCacheEvent> eventsAfter(std::uint64_t sequence) const
    {
        std::vector<EngineCacheEvent> found;
        std::copy_if(events_.begin(), events_.end(), std::back_inserter(found), [&](const EngineCacheEvent &event) { return event.sequence > sequence; });
        return found;
    }

private:
    struct Entry
    {
        std::uint64_t hash = 0;
        std::uint32_t tokens = 0;
    };

    void record(const Entry &entry, bool stored)
    {
        ++sequence_;
        if (lossEvery_ != 0 && sequence_ % lossEvery_ == 0) {
            return;
        }
        events_.push_back({sequence_, entry.hash, stored, entry.tokens});
        if (events_.size() > eventsKept_) {
            events_.pop_front();
        }
    }

    std::uint64_t capacity_;
    std::size_t eventsKept_;
    std::uint64_t used_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint32_t lossEvery_ = 0;
    std::list<Entry> order_;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> index_;
    std::deque<EngineCacheEvent> events_;
};

} // namespace

class EngineModel::Private
{
public:
    explicit Private(const EngineOptions &given)
        : options(given)
        , cache(given.cacheTokens, given.cacheEventsKept)
        , nextNumber(given.firstGeneration)
    {
    }

    void beginStep(TimePoint now);
    void finishStep();
    void makeRoom();
    void admit();
    void preempt(Answer *answer);
    void end(Answer *answer, EndReason reason, TimePoint now);
    void forget(TimePoint now);
    [[nodiscard]] std::uint32_t readPrompts();
    [[nodiscard]] std::uint64_t growth() const;
    [[nodiscard]] EngineLoad measure(TimePoint now) const;

    EngineOptions options;
    PrefixCache cache;
    GenerationNumber nextNumber;
    std::unordered_map<GenerationNumber, std::unique_ptr<Answer>> answers;
    std::set<Answer *, EntersBefore> waiting;
    std::vector<Answer *> running;
    std::deque<std::pair<TimePoint, GenerationNumber>> ended;
    std::vector<TokenEvent> events;
    std::optional<TimePoint> stepEnd; // Set while a step is in progress.
    TimePoint frozenAt;
    EngineLoad frozenLoad;
    std::uint64_t memoryUsed = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t generatedTokens = 0;
    double stepMilliseconds = 0;
    double slowdown = 1;
    bool frozen = false;
    bool reportFrozen = false;
    bool crashed = false;
};

// Tokens by which memory grows in the coming step if every running answer makes a token.
std::uint64_t EngineModel::Private::growth() const
{
    return running.size();
}

void EngineModel::Private::preempt(Answer *answer)
{
    running.erase(std::find(running.begin(), running.end(), answer));
    answer->running = false;
    memoryUsed -= answer->resident();
    waiting.insert(answer);
    ++preemptions;
}

// Frees memory for one token of each running answer. The last to enter the batch order leaves first.
void EngineModel::Private::makeRoom()
{
    while (!running.empty() && memoryUsed + growth() > options.memoryTokens) {
        if (running.size() == 1) {
            // Recomputing cannot help an answer that alone exceeds the memory.
            Answer *alone = running.front();
            events.push_back({alone->number, alone->generated, *stepEnd, EndReason::Length});
            ++alone->generated;
            ++memoryUsed;
            end(alone, EndReason::Length, *stepEnd);
            return;
        }
        preempt(*std::max_element(running.begin(), running.end(), EntersBefore{}));
    }
}

void EngineModel::Private::admit()
{
    while (!waiting.empty() && running.size() < options.maxBatch) {
        Answer *next = *waiting.begin();
        if (memoryUsed + next->resident() + growth() + 1 > options.memoryTokens) {
            return;
        }
        waiting.erase(waiting.begin());
        const std::uint32_t cached = std::min(cache.use(next->request.prefixHash), next->request.prefixTokens);
        next->toPrefill = static_cast<std::uint32_t>(next->resident()) - std::min(cached, next->request.promptTokens);
        next->running = true;
        memoryUsed += next->resident();
        running.push_back(next);
    }
}

// Reads prompts within the step's limit, in the order in which answers entered the batch.
std::uint32_t EngineModel::Private::readPrompts()
{
    std::uint32_t budget = options.prefillTokensPerStep;
    for (Answer *answer : running) {
        const std::uint32_t read = std::min(answer->toPrefill, budget);
        answer->toPrefill -= read;
        budget -= read;
        if (budget == 0) {
            break;
        }
    }
    return options.prefillTokensPerStep - budget;
}

void EngineModel::Private::beginStep(TimePoint now)
{
    stepEnd = now;
    makeRoom();
    admit();
    if (running.empty()) {
        stepEnd.reset();
        return;
    }
    const std::uint32_t read = readPrompts();
    const double normal = options.stepBaseMilliseconds + options.stepMillisecondsPerAnswer * static_cast<double>(running.size())
        + options.stepMillisecondsPerResidentToken * static_cast<double>(memoryUsed) + options.prefillMillisecondsPerToken * read;
    stepMilliseconds = normal * slowdown;
    stepEnd = now + milliseconds(stepMilliseconds);
}

void EngineModel::Private::finishStep()
{
    const TimePoint now = *stepEnd;
    const std::vector<Answer *> batch = running;
    for (Answer *answer : batch) {
        if (answer->toPrefill > 0) {
            continue;
        }
        if (answer->generated == 0) {
            cache.store(answer->request.prefixHash, answer->request.prefixTokens);
        }
        const bool last = answer->generated + 1 >= answer->length();
        const bool stopped = answer->request.maxOutputTokens == 0 || answer->request.outputTokens <= answer->request.maxOutputTokens;
        const EndReason reason = !last ? EndReason::None : stopped ? EndReason::Stop : EndReason::Length;
        events.push_back({answer->number, answer->generated, now, reason});
        ++answer->generated;
        ++memoryUsed;
        ++generatedTokens;
        if (last) {
            end(answer, reason, now);
        }
    }
    forget(now);
    beginStep(now);
}

void EngineModel::Private::end(Answer *answer, EndReason reason, TimePoint now)
{
    if (answer->running) {
        running.erase(std::find(running.begin(), running.end(), answer));
        memoryUsed -= answer->resident();
        answer->running = false;
    } else {
        waiting.erase(answer);
    }
    answer->end = reason;
    ended.emplace_back(now + options.keepAfterEnd, answer->number);
}

void EngineModel::Private::forget(TimePoint now)
{
    while (!ended.empty() && ended.front().first <= now) {
        answers.erase(ended.front().second);
        ended.pop_front();
    }
}

EngineLoad EngineModel::Private::measure(TimePoint now) const
{
    return {now,
            static_cast<std::uint32_t>(running.size()),
            static_cast<std::uint32_t>(waiting.size()),
            memoryUsed,
            options.memoryTokens,
            stepMilliseconds,
            preemptions,
            generatedTokens};
}

EngineModel::EngineModel(const EngineOptions &options)
    : d_(std::make_unique<Private>(options))
{
}

EngineModel::~EngineModel() = default;
EngineModel::EngineModel(EngineModel &&) noexcept = default;
EngineModel &EngineModel::operator=(EngineModel &&) noexcept = default;

std::optional<GenerationNumber> EngineModel::start(const StartRequest &request, TimePoint now)
{
    if (d_->crashed || std::uint64_t{request.promptTokens} + 1 > d_->options.memoryTokens) {
        return std::nullopt;
    }
    auto answer = std::make_unique<Answer>();
    answer->number = d_->nextNumber++;
    answer->request = request;
    d_->waiting.insert(answer.get());
    const GenerationNumber number = answer->number;
    d_->answers.emplace(number, std::move(answer));
    if (!d_->stepEnd && !d_->frozen) {
        d_->beginStep(now);
    }
    return number;
}

bool EngineModel::cancel(GenerationNumber generation, TimePoint now)
{
    const auto found = d_->answers.find(generation);
    if (found == d_->answers.end() || found->second->end != EndReason::None) {
        return false;
    }
    d_->end(found->second.get(), EndReason::Cancelled, now);
    return true;
}

std::optional<GenerationState> EngineModel::resume(GenerationNumber generation, std::uint32_t offset, TimePoint now)
{
    d_->forget(now);
    const auto found = d_->answers.find(generation);
    if (found == d_->answers.end() || offset > found->second->generated) {
        return std::nullopt;
    }
    return GenerationState{found->second->generated, found->second->end};
}

const std::vector<TokenEvent> &EngineModel::advance(TimePoint now)
{
    d_->events.clear();
    while (!d_->frozen && d_->stepEnd && *d_->stepEnd <= now) {
        d_->finishStep();
    }
    return d_->events;
}

std::optional<TimePoint> EngineModel::nextEvent() const
{
    return d_->frozen ? std::nullopt : d_->stepEnd;
}

EngineLoad EngineModel::load(TimePoint now) const
{
    return d_->reportFrozen ? d_->frozenLoad : d_->measure(now);
}

std::vector<EngineCacheEvent> EngineModel::cacheEventsAfter(std::uint64_t sequence) const
{
    return d_->cache.eventsAfter(sequence);
}

void EngineModel::setSlowdown(double factor)
{
    d_->slowdown = factor;
}

void EngineModel::setFrozen(bool frozen, TimePoint now)
{
    if (frozen == d_->frozen) {
        return;
    }
    d_->frozen = frozen;
    if (frozen) {
        d_->frozenAt = now;
    } else if (d_->stepEnd) {
        *d_->stepEnd += now - d_->frozenAt;
    } else if (!d_->crashed) {
        d_->beginStep(now);
    }
}

void EngineModel::setReportFrozen(bool frozen, TimePoint now)
{
    if (frozen && !d_->reportFrozen) {
        d_->frozenLoad = d_->measure(now);
    }
    d_->reportFrozen = frozen;
}

void EngineModel::setCacheEventLoss(std::uint32_t every)
{
    d_->cache.setLoss(every);
}

void EngineModel::crash(TimePoint /*now*/)
{
    d_->crashed = true;
    d_->stepEnd.reset();
    d_->running.clear();
    d_->waiting.clear();
    d_->ended.clear();
    d_->answers.clear();
    d_->cache.clear();
    d_->memoryUsed = 0;
}

void EngineModel::restart(TimePoint /*now*/)
{
    d_->crashed = false;
    d_->frozen = false;
    d_->preemptions = 0;
    d_->generatedTokens = 0;
    d_->stepMilliseconds = 0;
}

std::string EngineModel::tokenText(GenerationNumber generation, std::uint32_t sequence)
{
    return "g" + std::to_string(generation) + "t" + std::to_string(sequence) + " ";
}

} // namespace daisystream
