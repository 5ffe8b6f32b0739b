#include "soak/checks.h"

#include "soak/plan.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace daisystream::soak
{
namespace
{

using std::chrono::milliseconds;

constexpr unsigned kUnauthorized = 401;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooMany = 429;
constexpr unsigned kUnavailable = 503;

bool isServed(const Exchange &exchange)
{
    return exchange.status / 100 == 2 && exchange.isComplete && exchange.fault.empty();
}

/// @return whether a status promises that the request has not run and never will.
bool promisesNotRun(unsigned status)
{
    return status == kTimeout || status == kMisdirected || status == kTooMany || status == kUnavailable;
}

/// @return whether a VM and the store were calm for long enough before a span and throughout it.
bool isInTouch(const Timeline &timeline, const std::string &vm, Moment from, Moment to, const Bounds &bounds)
{
    const auto since = from - bounds.stable;
    return timeline.isCalm(vm, since, to) && timeline.isCalm(kStoreName, since, to);
}

class Checker
{
public:
    Checker(const Record &record, const Bounds &bounds)
        : record_(record)
        , bounds_(bounds)
    {
        for (const auto &exchange : record.exchanges) {
            exchangeOf_[exchange.attempt] = &exchange;
        }
        for (const auto &run : record.started) {
            runsOf_[run.attempt].push_back(&run);
        }
        for (const auto &end : record.ended) {
            endOf_[end.segment] = &end;
        }
    }

    std::vector<Violation> run()
    {
        for (const auto &exchange : record_.exchanges) {
            checkAnswer(exchange);
            checkRuns(exchange);
            checkConfiguration(exchange);
            checkTime(exchange);
        }
        for (const auto &run : record_.started) {
            checkOrigin(run);
            checkDrain(run);
            checkWithdrawal(run);
        }
        checkOverlaps();
        checkLoss();
        checkLeft();
        checkRetries();
        checkLimits();
        checkCrashes();
        checkRecovery();
        for (const auto &name : record_.unexpectedEnds) {
            report("end", name);
        }
        return std::move(violations_);
    }

private:
    void report(const char *promise, std::string text)
    {
        violations_.push_back({promise, std::move(text)});
    }

    [[nodiscard]] const std::vector<const RunStarted *> &runsOf(const std::string &attempt) const
    {
        static const std::vector<const RunStarted *> kNone;
        const auto found = runsOf_.find(attempt);
        return found == runsOf_.end() ? kNone : found->second;
    }

    [[nodiscard]] const RunEnded *endOf(const RunStarted &run) const
    {
        const auto found = endOf_.find(run.segment);
        return found == endOf_.end() ? nullptr : found->second;
    }

    [[nodiscard]] bool isInTouch(const std::string &vm, Moment from, Moment to) const
    {
        return soak::isInTouch(record_.timeline, vm, from, to, bounds_);
    }

    // Whole answers, each to its own request.

    void checkAnswer(const Exchange &exchange)
    {
        if (!exchange.fault.empty()) {
            report("mixed", exchange.attempt + " at " + exchange.vm + ": " + exchange.fault);
            return;
        }
        if (!isServed(exchange)) {
            return;
        }
        const auto &runs = runsOf(exchange.attempt);
        if (std::none_of(runs.begin(), runs.end(), [&](const RunStarted *run) { return run->run == exchange.run; })) {
            report("mixed", exchange.attempt + " was answered with run " + exchange.run + ", which is not its own");
        }
    }

    // At most once, and refusals that hold.

    void checkRuns(const Exchange &exchange)
    {
        const auto &runs = runsOf(exchange.attempt);
        std::set<std::string> names;
        std::set<std::string> endpoints;
        for (const auto *run : runs) {
            names.insert(run->run);
            // A run that moves with its memory is no further attempt.
            if (!run->continuesMemory) {
                endpoints.insert(run->endpoint);
            }
        }
        if (!mayRepeat(exchange.kind) && names.size() > 1) {
            report("twice",
                   exchange.attempt + " (" + exchange.route + ") ran " + std::to_string(names.size()) + " times: " + runs.front()->segment + " and "
                       + runs.back()->segment);
        }
        if (!mayRepeat(exchange.kind) && promisesNotRun(exchange.status) && !runs.empty()) {
            report("refused", exchange.attempt + " was answered " + std::to_string(exchange.status) + " and ran as " + runs.front()->segment);
        }
        const auto &routes = record_.configurations.front().configuration.routes;
        const auto route = std::find_if(routes.begin(), routes.end(), [&](const SoakRoute &candidate) { return candidate.name == exchange.route; });
        if (route != routes.end() && endpoints.size() > route->attempts) {
            report("attempts", exchange.attempt + " (" + exchange.route + ") ran at " + std::to_string(endpoints.size()) + " endpoints");
        }
    }

    void checkOrigin(const RunStarted &run)
    {
        const auto found = exchangeOf_.find(run.attempt);
        if (found == exchangeOf_.end()) {
            report("unasked", run.segment + " ran " + run.attempt + ", which no caller sent");
            return;
        }
        const auto &exchange = *found->second;
        if (!run.isIntact) {
            report("unasked", run.segment + " got " + run.attempt + " changed");
        }
        if (run.namesKey) {
            report("unasked", run.segment + " got the key of " + run.attempt);
        }
        const bool mayHold = std::any_of(record_.configurations.begin(), record_.configurations.end(), [&](const ConfigurationInForce &version) {
            return version.configuration.teamOf(exchange.key) == run.team;
        });
        if (!mayHold || run.team.empty()) {
            report("unasked", run.segment + " ran " + run.attempt + " for team '" + run.team + "'");
        }
        const bool mayServe = std::any_of(record_.configurations.begin(), record_.configurations.end(), [&](const ConfigurationInForce &version) {
            const auto &routes = version.configuration.routes;
            return std::any_of(
                routes.begin(), routes.end(), [&](const SoakRoute &route) { return route.name == exchange.route && route.service == run.service; });
        });
        if (!mayServe) {
            report("route", run.segment + " of service " + run.service + " ran " + run.attempt + " of route " + exchange.route);
        }
    }

    // Configurations.

    /// @return the versions that a calm VM may go by for a request that was sent at a moment and ended at another.
    [[nodiscard]] std::vector<const Configuration *> inForce(Moment sentAt, Moment endedAt) const
    {
        std::vector<const Configuration *> versions;
        const auto &all = record_.configurations;
        for (std::size_t i = 0; i < all.size(); ++i) {
            const bool isReplaced
                = i + 1 < all.size() && all[i + 1].acknowledgedAt != Moment::max() && all[i + 1].acknowledgedAt + bounds_.applyConfig < sentAt;
            if (!isReplaced && all[i].sentAt <= endedAt) {
                versions.push_back(&all[i].configuration);
            }
        }
        return versions;
    }

    void checkConfiguration(const Exchange &exchange)
    {
        const auto &runs = runsOf(exchange.attempt);
        checkRevocation(exchange, runs);
        if (!isInTouch(exchange.vm, exchange.sentAt, exchange.endedAt)) {
            return;
        }
        const auto versions = inForce(exchange.sentAt, exchange.endedAt);
        const auto allows = [&](const Configuration *version) {
            return version->hasRoute(exchange.route) && !version->teamOf(exchange.key).empty();
        };
        const bool isDenied = exchange.status == kUnauthorized || exchange.status == kForbidden || exchange.status == kNotFound;
        if (isDenied && std::all_of(versions.begin(), versions.end(), allows)) {
            report("config",
                   exchange.attempt + " at " + exchange.vm + " was answered " + std::to_string(exchange.status) + ", although route " + exchange.route
                       + " and key " + exchange.key + " are in force");
        }
        if (!runs.empty() && std::none_of(versions.begin(), versions.end(), allows)) {
            report("config", exchange.attempt + " at " + exchange.vm + " ran, although route " + exchange.route + " or key " + exchange.key + " is gone");
        }
    }

    /// Holds for each VM, calm or not.
    void checkRevocation(const Exchange &exchange, const std::vector<const RunStarted *> &runs)
    {
        if (runs.empty()) {
            return;
        }
        bool isHeld = false;
        bool wasHeld = false;
        Moment takenAway = Moment::max();
        for (const auto &version : record_.configurations) {
            const bool holds = !version.configuration.teamOf(exchange.key).empty();
            if (isHeld && !holds) {
                takenAway = version.acknowledgedAt;
            }
            isHeld = holds;
            wasHeld = wasHeld || holds;
        }
        if (!isHeld && wasHeld && takenAway != Moment::max() && exchange.sentAt > takenAway + bounds_.revocation) {
            report("revoked",
                   exchange.attempt + " at " + exchange.vm + " ran with " + exchange.key + ", which was taken away "
                       + std::to_string((exchange.sentAt - takenAway).count()) + " ms before");
        }
    }

    // Time.

    void checkTime(const Exchange &exchange)
    {
        const auto waited = exchange.endedAt - exchange.sentAt;
        if (!exchange.leftAt && waited > exchange.limit + bounds_.answerSlack && isInTouch(exchange.vm, exchange.sentAt, exchange.endedAt)) {
            report("late", exchange.attempt + " at " + exchange.vm + " had no final answer after " + std::to_string(waited.count()) + " ms");
        }
    }

    void checkDrain(const RunStarted &run)
    {
        const auto exchange = exchangeOf_.find(run.attempt);
        if (exchange == exchangeOf_.end()) {
            return;
        }
        for (const auto &leave : record_.leaves) {
            const bool isLate = run.segment.starts_with(leave.start + "-") && run.at > leave.at + bounds_.drain;
            // The stand-in of the endpoint is one of the processes that may be frozen with a request in its queue.
            if (isLate && isInTouch(exchange->second->vm, leave.at, run.at) && record_.timeline.isCalmButPlanned(run.endpoint, leave.at, run.at)) {
                report("drain", run.segment + " got " + run.attempt + " " + std::to_string((run.at - leave.at).count()) + " ms after it announced to leave");
            }
        }
    }

    void checkWithdrawal(const RunStarted &run)
    {
        const auto exchange = exchangeOf_.find(run.attempt);
        for (const auto &zone : record_.withdrawals) {
            const auto from = zone.acknowledgedAt;
            // A run that moves with its memory is not a new request.
            const bool isLate = zoneOfEndpoint(run.endpoint) == zone.zone && run.at > from + bounds_.withdrawal && run.at < zone.restoredAt;
            if (!isLate || run.continuesMemory || exchange == exchangeOf_.end()) {
                continue;
            }
            if (isInTouch(exchange->second->vm, from, run.at) && record_.timeline.isCalmButPlanned(run.endpoint, from, run.at)) {
                report("zone", run.segment + " got " + run.attempt + " " + std::to_string((run.at - from).count()) + " ms after its zone was withdrawn");
            }
        }
    }

    void checkOverlaps()
    {
        std::unordered_map<std::string, std::vector<const RunStarted *>> segments;
        for (const auto &run : record_.started) {
            segments[run.run].push_back(&run);
        }
        for (const auto &[name, parts] : segments) {
            for (std::size_t i = 1; i < parts.size(); ++i) {
                const auto *end = endOf(*parts[i - 1]);
                const auto exchange = exchangeOf_.find(parts[i]->attempt);
                if (end == nullptr || exchange == exchangeOf_.end()) {
                    continue; // The endpoint was killed.
                }
                const auto both = end->at - parts[i]->at;
                if (both > bounds_.overlap && isInTouch(exchange->second->vm, parts[i]->at, end->at)
                    && record_.timeline.isCalmButPlanned(parts[i - 1]->endpoint, parts[i]->at - bounds_.stable, end->at)) {
                    report("twice",
                           parts[i]->segment + " and " + parts[i - 1]->segment + " worked on " + parts[i]->attempt + " together for "
                               + std::to_string(both.count()) + " ms");
                }
            }
        }
    }

    /// @return whether an endpoint that worked on a request was itself disturbed, or broke off.
    [[nodiscard]] bool endpointFailed(const Exchange &exchange) const
    {
        const auto &runs = runsOf(exchange.attempt);
        return std::any_of(runs.begin(), runs.end(), [&](const RunStarted *run) {
            const auto *end = endOf(*run);
            const bool brokeOff = end == nullptr || end->how == Ending::Broken;
            return brokeOff || !record_.timeline.isCalm(run->endpoint, exchange.sentAt - bounds_.stable, exchange.endedAt);
        });
    }

    /// A planned stop cuts no request, and a calm VM hardly any.
    void checkLoss()
    {
        unsigned lost = 0;
        std::string example;
        for (const auto &exchange : record_.exchanges) {
            const bool isCut = !exchange.isComplete && !exchange.leftAt && exchange.endedAt - exchange.sentAt < exchange.limit;
            const bool wasPassedOn = !runsOf(exchange.attempt).empty();
            if (!isCut || endpointFailed(exchange)) {
                continue;
            }
            const auto since = exchange.sentAt - bounds_.stable;
            const bool isPlanned = record_.timeline.hasPlanned(exchange.vm, exchange.sentAt, exchange.endedAt)
                && record_.timeline.isCalmButPlanned(exchange.vm, since, exchange.endedAt) && record_.timeline.isCalm(kStoreName, since, exchange.endedAt);
            if (isPlanned && (wasPassedOn || exchange.endedAt - exchange.sentAt > bounds_.lossSlack)) {
                report("lost", exchange.attempt + " was cut at " + exchange.vm + ", which was told to stop or reload");
            }
            if (wasPassedOn && isInTouch(exchange.vm, exchange.sentAt, exchange.endedAt)) {
                ++lost;
                example = exchange.attempt;
            }
        }
        if (lost > bounds_.lostRequests) {
            report("lost", std::to_string(lost) + " requests were cut at calm VMs, such as " + example);
        }
    }

    void checkLeft()
    {
        unsigned left = 0;
        unsigned unstopped = 0;
        std::string example;
        for (const auto &exchange : record_.exchanges) {
            if (!exchange.leftAt || exchange.kind == Kind::Unsafe || !isInTouch(exchange.vm, exchange.sentAt, *exchange.leftAt + bounds_.leftWork)) {
                continue;
            }
            for (const auto *run : runsOf(exchange.attempt)) {
                const auto until = *exchange.leftAt + bounds_.leftWork;
                const auto *end = endOf(*run);
                if (end == nullptr || !record_.timeline.isCalm(run->endpoint, exchange.sentAt - bounds_.stable, until)) {
                    continue;
                }
                const bool wouldHaveLasted = end->how != Ending::Done || end->at > until;
                left += wouldHaveLasted ? 1 : 0;
                if (wouldHaveLasted && end->at > until) {
                    ++unstopped;
                    example = exchange.attempt;
                }
            }
        }
        // A few are allowed, as in the bound itself.
        constexpr unsigned kFew = 3;
        if (unstopped > kFew && unstopped > bounds_.unstoppedShare * left) {
            report("gone", std::to_string(unstopped) + " of " + std::to_string(left) + " runs went on after their caller had left, such as that of " + example);
        }
    }

    void checkRetries()
    {
        std::map<std::string, std::vector<Moment>> repeats;
        std::map<std::string, std::vector<Moment>> firsts;
        for (const auto &[attempt, runs] : runsOf_) {
            for (std::size_t i = 0; i < runs.size(); ++i) {
                if (i == 0) {
                    firsts[runs[i]->service].push_back(runs[i]->at);
                } else if (!runs[i]->continuesMemory) {
                    repeats[runs[i]->service].push_back(runs[i]->at);
                }
            }
        }
        for (auto &[service, moments] : repeats) {
            std::sort(moments.begin(), moments.end());
            auto &all = firsts[service];
            std::sort(all.begin(), all.end());
            const auto within = [&](const std::vector<Moment> &list, Moment from) {
                return std::upper_bound(list.begin(), list.end(), from + bounds_.retryWindow) - std::lower_bound(list.begin(), list.end(), from);
            };
            for (const auto from : moments) {
                // The requests of the window, of the one before it, or of the one half a window before it.
                const auto requests = std::max({within(all, from), within(all, from - bounds_.retryWindow), within(all, from - bounds_.retryWindow / 2)});
                const auto allowed = bounds_.retryRatio * static_cast<double>(requests) + bounds_.retryAllowance;
                if (static_cast<double>(within(moments, from)) > allowed) {
                    report("budget", "service " + service + " got " + std::to_string(within(moments, from)) + " repeats within its window");
                    break;
                }
            }
        }
    }

    // Requests to endpoints that state a limit for all VMs together.

    void checkLimits()
    {
        std::map<std::string, std::vector<const LimitedArrival *>> arrivalsOf;
        for (const auto &arrival : record_.limitedArrivals) {
            arrivalsOf[arrival.period].push_back(&arrival);
        }
        for (const auto &[period, arrivals] : arrivalsOf) {
            checkLimit(period, arrivals);
        }
    }

    void checkLimit(const std::string &period, const std::vector<const LimitedArrival *> &arrivals)
    {
        std::optional<Moment> firstToldAt;
        std::map<std::string, Moment> toldAt; // By VM.
        for (const auto &told : record_.limitsTold) {
            const auto exchange = exchangeOf_.find(told.attempt);
            if (told.period == period && exchange != exchangeOf_.end()) {
                firstToldAt = firstToldAt.value_or(told.at);
                toldAt.try_emplace(exchange->second->vm, told.at);
            }
        }
        if (!firstToldAt) {
            return;
        }
        std::deque<const LimitedArrival *> counted;
        for (const auto *arrival : arrivals) {
            const auto exchange = exchangeOf_.find(arrival->attempt);
            if (exchange == exchangeOf_.end() || arrival->at < *firstToldAt + bounds_.stable) {
                continue;
            }
            const auto &vm = exchange->second->vm;
            const auto told = toldAt.find(vm);
            const bool knows = told != toldAt.end() && told->second + bounds_.limitDelay <= arrival->at;
            if (!knows || !record_.timeline.isCalm(vm, arrival->at - bounds_.stable, arrival->at)) {
                continue;
            }
            counted.push_back(arrival);
            while (counted.front()->at + bounds_.limitWindow < arrival->at) {
                counted.pop_front();
            }
            const auto highest = std::max_element(counted.begin(), counted.end(), [](const auto *a, const auto *b) { return a->perSecond < b->perSecond; });
            const auto seconds = std::chrono::duration<double>(bounds_.limitWindow).count();
            const auto allowed = bounds_.limitRatio * (*highest)->perSecond * seconds + bounds_.limitAllowance;
            if (static_cast<double>(counted.size()) > allowed) {
                report("limit",
                       arrival->endpoint + " stated a limit of " + std::to_string((*highest)->perSecond) + " a second and got " + std::to_string(counted.size())
                           + " requests within " + std::to_string(bounds_.limitWindow.count()) + " ms from VMs that it had told; allowed "
                           + std::to_string(allowed));
                return;
            }
        }
    }

    // Parts of prompts that crash engines.

    void checkCrashes()
    {
        std::map<std::string, std::vector<const EngineCrashed *>> crashesOf;
        for (const auto &crash : record_.crashes) {
            crashesOf[deadlyPartOf(crash.attempt)].push_back(&crash);
        }
        Moment lastCounted{};
        for (const auto &[part, crashes] : crashesOf) {
            const auto last = std::min<std::size_t>(crashes.size(), bounds_.freeCrashes) - 1;
            lastCounted = std::max(lastCounted, crashes[last]->at);
            if (crashes.size() >= bounds_.freeCrashes) {
                checkRequestsWith(part, crashes[last]->at);
            }
        }
        if (!crashesOf.empty()) {
            checkSound(lastCounted + 2 * bounds_.stable);
        }
        for (const auto &exchange : record_.exchanges) {
            if (exchange.crashesEngines && promisesNotRun(exchange.status) && !runsOf(exchange.attempt).empty()) {
                report("refused", exchange.attempt + " was answered " + std::to_string(exchange.status) + " and reached an engine, which crashed");
            }
        }
    }

    /// @return the part that crashes engines, which the attempt ends with.
    static std::string deadlyPartOf(const std::string &attempt)
    {
        return attempt.substr(attempt.rfind('-') + 1);
    }

    void checkRequestsWith(const std::string &part, Moment fifthCrash)
    {
        unsigned reached = 0;
        std::string example;
        for (const auto &run : record_.started) {
            const auto exchange = exchangeOf_.find(run.attempt);
            const bool counts = exchange != exchangeOf_.end() && exchange->second->crashesEngines && deadlyPartOf(run.attempt) == part;
            if (counts && run.at > fifthCrash + bounds_.stable && isInTouch(exchange->second->vm, run.at, run.at)) {
                ++reached;
                example = run.attempt;
            }
        }
        if (reached > bounds_.deadlyRequests) {
            report("crashes", std::to_string(reached) + " requests with the part " + part + " reached engines after the fifth crash, such as " + example);
        }
    }

    /// Answers without such a part are served while others crash engines.
    void checkSound(Moment from)
    {
        unsigned asked = 0;
        unsigned served = 0;
        for (const auto &exchange : record_.exchanges) {
            const bool isSound = !exchange.crashesEngines && (exchange.kind == Kind::Stream || exchange.kind == Kind::ResumableStream);
            const auto &steady = record_.configurations.front().configuration;
            const bool isOwed = steady.hasRoute(exchange.route) && !steady.teamOf(exchange.key).empty() && !exchange.leftAt;
            if (isSound && isOwed && exchange.sentAt > from && isInTouch(exchange.vm, exchange.sentAt, exchange.endedAt) && !endpointFailed(exchange)) {
                ++asked;
                served += isServed(exchange) ? 1 : 0;
            }
        }
        if (asked >= bounds_.fewestSound && served < bounds_.soundShare * asked) {
            report("sound", "only " + std::to_string(served) + " of " + std::to_string(asked) + " answers without a part that crashes engines were served");
        }
    }

    void checkRecovery()
    {
        const auto summary = summarize(record_, bounds_);
        if (summary.servedAfterwards < bounds_.recoveredShare) {
            report("recover", "only " + std::to_string(summary.servedAfterwards) + " of the requests after the recovery time were served");
        }
    }

    const Record &record_;
    const Bounds bounds_;
    std::unordered_map<std::string, const Exchange *> exchangeOf_;
    std::unordered_map<std::string, std::vector<const RunStarted *>> runsOf_;
    std::unordered_map<std::string, const RunEnded *> endOf_;
    std::vector<Violation> violations_;
};

} // namespace

std::vector<Violation> check(const Record &record, const Bounds &bounds)
{
    return Checker(record, bounds).run();
}

Summary summarize(const Record &record, const Bounds &bounds)
{
    Summary summary;
    std::size_t late = 0;
    std::size_t lateServed = 0;
    for (const auto &exchange : record.exchanges) {
        ++summary.requests;
        summary.served += isServed(exchange) ? 1 : 0;
        summary.deadly += exchange.crashesEngines ? 1 : 0;
        summary.refused += promisesNotRun(exchange.status) ? 1 : 0;
        summary.inTouch += isInTouch(record.timeline, exchange.vm, exchange.sentAt, exchange.endedAt, bounds) ? 1 : 0;
        const auto &steady = record.configurations.front().configuration;
        const bool isOwed = steady.hasRoute(exchange.route) && !steady.teamOf(exchange.key).empty() && !exchange.leftAt && !exchange.crashesEngines;
        if (isOwed && exchange.sentAt > record.calmSince + bounds.recovery) {
            ++late;
            lateServed += isServed(exchange) ? 1 : 0;
        }
    }
    summary.limited = record.limitedArrivals.size();
    summary.crashes = record.crashes.size();
    std::set<std::string> deadly;
    for (const auto &exchange : record.exchanges) {
        if (exchange.crashesEngines) {
            deadly.insert(exchange.attempt);
        }
    }
    summary.deadlyRuns = static_cast<std::size_t>(
        std::count_if(record.started.begin(), record.started.end(), [&](const RunStarted &run) { return deadly.contains(run.attempt); }));
    summary.runs = record.started.size();
    summary.moved
        = static_cast<std::size_t>(std::count_if(record.started.begin(), record.started.end(), [](const RunStarted &run) { return run.continuesMemory; }));
    summary.servedAfterwards = late == 0 ? 0 : static_cast<double>(lateServed) / static_cast<double>(late);
    return summary;
}

} // namespace daisystream::soak
