#include "daisystream/quarantine/partquarantine.h"

#include "daisystream/membership/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace daisystream
{

namespace
{

using std::chrono::milliseconds;

// VMs that repeat the state of a part, so that some of them can restart at the same time.
constexpr std::size_t kRepeaters = 4;
// A cleared part is repeated for so long after it was blocked, for VMs that missed it.
constexpr std::chrono::seconds kRepeatsCleared{10};
// Spread of announcements that many VMs may make at the same time, for each VM of the fleet, and its limit.
constexpr milliseconds kAnnouncementSpread{5};
constexpr milliseconds kMaxAnnouncementSpread{1000};
// Spread of the first trials after a block, for each VM of the fleet, and its limit.
constexpr milliseconds kTrialSpread{50};
constexpr milliseconds kMaxTrialSpread{20000};
// Crashes that are remembered for each suspect.
constexpr std::size_t kMaxCrashes = 16;
// Reports of crashes of one engine within this time are of the same crash, since an engine takes long to start.
constexpr std::chrono::seconds kRestartTime{10};
// A VM whose ticks are further apart than this was frozen, and handles events that happened meanwhile.
constexpr milliseconds kTickTolerance{750};
// Parts of one request that are looked at.
constexpr std::size_t kMaxParts = 64;

std::vector<PartId> sortedParts(const std::vector<PartId> &parts)
{
    std::vector<PartId> sorted(parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(std::min(parts.size(), kMaxParts)));
    std::sort(sorted.begin(), sorted.end());
    sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
    return sorted;
}

} // namespace

PartQuarantine::PartQuarantine(VmId self, Random random, PartQuarantineOptions options)
    : self_(std::move(self))
    , options_(options)
    , random_(random)
    , vms_{self_}
{
}

void PartQuarantine::setVms(const std::vector<VmId> &live)
{
    const bool hasNew = std::any_of(live.begin(), live.end(), [&](const VmId &vm) { return std::find(vms_.begin(), vms_.end(), vm) == vms_.end(); });
    vms_ = live;
    for (auto &[part, suspect] : suspects_) {
        suspect.isRepeater.reset();
    }
    repeatsNow_ = repeatsNow_ || (hasNew && blockedParts() > 0);
}

PartVerdict PartQuarantine::check(const std::vector<PartId> &parts, TimePoint now) const
{
    if (suspects_.empty()) {
        return PartsAdmitted{};
    }
    const auto sorted = sortedParts(parts);
    std::optional<PartBlocked> blocked;
    bool isFairTrial = true;
    for (const auto part : sorted) {
        const auto found = suspects_.find(part);
        if (found == suspects_.end() || !isBlocked(found->second) || !concerns(found->second, sorted)) {
            continue;
        }
        isFairTrial = isFairTrial && !hasOtherSuspect(found->second, sorted);
        const auto wait = waitFor(found->second, now);
        if (!blocked || wait > blocked->retryAfter) {
            blocked = PartBlocked{.part = part, .retryAfter = wait};
        }
    }
    if (!blocked) {
        return PartsAdmitted{};
    }
    // A trial that crashes an engine because of another part would prolong this block: requests without such a part are tried first.
    blocked->retryAfter += isFairTrial ? Duration::zero() : 2 * options_.trialTime;
    return blocked->retryAfter > Duration::zero() ? PartVerdict(*blocked) : PartVerdict(PartsAdmitted{.isTrial = true});
}

/// @return whether a request has a suspected part that did not occur in each of a suspect's crashes and was not served shortly before.
bool PartQuarantine::hasOtherSuspect(const Suspect &suspect, const std::vector<PartId> &sorted) const
{
    return std::any_of(sorted.begin(), sorted.end(), [&](PartId part) {
        const auto found = suspects_.find(part);
        return found != suspects_.end() && !found->second.crashes.empty() && !isKnown(found->second)
            && !std::binary_search(suspect.companions.begin(), suspect.companions.end(), part);
    });
}

PartVerdict PartQuarantine::admit(const std::vector<PartId> &parts, TimePoint now)
{
    const auto verdict = check(parts, now);
    const auto *admitted = std::get_if<PartsAdmitted>(&verdict);
    if (admitted == nullptr || !admitted->isTrial) {
        return verdict;
    }
    const auto sorted = sortedParts(parts);
    for (const auto part : sorted) {
        const auto found = suspects_.find(part);
        if (found != suspects_.end() && isBlocked(found->second) && concerns(found->second, sorted)) {
            found->second.trialAt = now;
            urgentSince_ = urgentSince_.value_or(now);
            urgentNews_.trials.push_back({.part = part, .age = *urgentSince_ - now});
        }
    }
    return verdict;
}

bool PartQuarantine::mayRepeat(const std::vector<PartId> &parts, const EndpointId &failed) const
{
    const auto sorted = sortedParts(parts);
    return std::none_of(sorted.begin(), sorted.end(), [&](PartId part) {
        const auto found = suspects_.find(part);
        if (found == suspects_.end() || !concerns(found->second, sorted)) {
            return false;
        }
        const auto &crashes = found->second.crashes;
        const auto others = std::count_if(crashes.begin(), crashes.end(), [&](const Crash &crash) { return crash.counts && crash.engine != failed; });
        return static_cast<std::size_t>(others) + 1 >= threshold(found->second);
    });
}

void PartQuarantine::onCrash(const EndpointId &engine, std::vector<PartId> parts, TimePoint sentAt, TimePoint crashedAt, TimePoint now)
{
    parts = sortedParts(parts);
    if (parts.empty()) {
        return;
    }
    recordCrash(engine, parts, sentAt, crashedAt, now);
    urgentSince_ = urgentSince_.value_or(now);
    urgentNews_.crashes.push_back({.engine = engine, .parts = std::move(parts), .sentAge = *urgentSince_ - sentAt, .crashAge = *urgentSince_ - crashedAt});
}

void PartQuarantine::tick(TimePoint now)
{
    if (now - lastTick_ > kTickTolerance) {
        wokeAt_ = now;
    }
    lastTick_ = now;
}

void PartQuarantine::onBegun(const std::vector<PartId> &parts, TimePoint sentAt, TimePoint now)
{
    const bool isAwake = now - lastTick_ <= kTickTolerance && now - wokeAt_ > kTickTolerance;
    const auto begunAt = isAwake ? now : sentAt;
    for (const auto part : sortedParts(parts)) {
        noteKnown(part, begunAt, now);
        const auto found = suspects_.find(part);
        const bool isSuspected = found != suspects_.end() && !found->second.crashes.empty();
        if (isSuspected && found->second.crashes.front().crashedAt <= begunAt && !options_.faults.ignoresBegun) {
            announceBegun(part, begunAt, now);
        }
        recordBegun(part, begunAt);
    }
}

void PartQuarantine::onNews(const QuarantineNews &news, TimePoint now)
{
    if (options_.faults.ignoresNews) {
        return;
    }
    for (const auto &sighting : news.begun) {
        const auto begunAt = now - std::max(sighting.age, Duration::zero());
        const auto found = suspects_.find(sighting.part);
        const auto pending = pendingBegun_.find(sighting.part);
        if (pending != pendingBegun_.end() && found != suspects_.end()) {
            const auto crashAt = found->second.lastCrashAt;
            if (begunAt >= crashAt || pending->second.begunAt < crashAt) {
                pendingBegun_.erase(pending); // The other VM has told as much as this one knows.
            }
        }
        noteKnown(sighting.part, begunAt, now);
        recordBegun(sighting.part, begunAt);
    }
    for (const auto &report : news.crashes) {
        const auto crashedAt = now - std::max(report.crashAge, Duration::zero());
        recordCrash(report.engine, sortedParts(report.parts), now - std::max(report.sentAge, report.crashAge), crashedAt, now);
    }
    for (const auto &sighting : news.trials) {
        const auto found = suspects_.find(sighting.part);
        if (found != suspects_.end() && !options_.faults.everyoneTries) {
            const auto trialAt = now - std::max(sighting.age, Duration::zero());
            found->second.trialAt = std::max(found->second.trialAt.value_or(trialAt), trialAt);
        }
    }
}

QuarantineNews PartQuarantine::takeNews(TimePoint now)
{
    QuarantineNews news = std::exchange(urgentNews_, {});
    const auto late = now - urgentSince_.value_or(now);
    urgentSince_.reset();
    for (auto &report : news.crashes) {
        report.sentAge += late;
        report.crashAge += late;
    }
    for (auto &trial : news.trials) {
        trial.age += late;
    }
    for (auto pending = pendingBegun_.begin(); pending != pendingBegun_.end();) {
        if (pending->second.dueAt <= now) {
            news.begun.push_back({.part = pending->first, .age = now - pending->second.begunAt});
            pending = pendingBegun_.erase(pending);
        } else {
            ++pending;
        }
    }
    if (std::exchange(repeatsNow_, false)) {
        auto repeated = repeatedNews(now);
        std::move(repeated.crashes.begin(), repeated.crashes.end(), std::back_inserter(news.crashes));
        news.begun.insert(news.begun.end(), repeated.begun.begin(), repeated.begun.end());
        news.trials.insert(news.trials.end(), repeated.trials.begin(), repeated.trials.end());
    }
    return news;
}

std::optional<TimePoint> PartQuarantine::nextNews() const
{
    if (urgentSince_ || repeatsNow_) {
        return urgentSince_.value_or(TimePoint{});
    }
    std::optional<TimePoint> next;
    for (const auto &[part, pending] : pendingBegun_) {
        next = std::min(next.value_or(pending.dueAt), pending.dueAt);
    }
    return next;
}

QuarantineNews PartQuarantine::repeatedNews(TimePoint now)
{
    forgetOld(now);
    QuarantineNews news;
    if (options_.faults.tellsNoLatecomers) {
        return news;
    }
    for (auto &[part, suspect] : suspects_) {
        const bool isCleared = suspect.wasBlocked && suspect.crashes.empty() && suspect.begunAt && now - *suspect.begunAt < kRepeatsCleared;
        if ((!isCleared && !isBlocked(suspect)) || !isRepeater(part, suspect)) {
            continue;
        }
        if (isCleared) {
            news.begun.push_back({.part = part, .age = now - *suspect.begunAt});
            continue;
        }
        auto reports = reportsOf(suspect, now);
        std::move(reports.begin(), reports.end(), std::back_inserter(news.crashes));
        if (suspect.begunAt) {
            news.begun.push_back({.part = part, .age = now - *suspect.begunAt});
        }
        if (suspect.trialAt && now - *suspect.trialAt < options_.trialTime) {
            news.trials.push_back({.part = part, .age = now - *suspect.trialAt});
        }
    }
    return news;
}

std::vector<PartChange> PartQuarantine::takeChanges()
{
    return std::exchange(changes_, {});
}

std::size_t PartQuarantine::blockedParts() const
{
    return static_cast<std::size_t>(std::count_if(suspects_.begin(), suspects_.end(), [this](const auto &entry) { return isBlocked(entry.second); }));
}

void PartQuarantine::recordCrash(const EndpointId &engine, const std::vector<PartId> &parts, TimePoint sentAt, TimePoint crashedAt, TimePoint now)
{
    forgetOld(now);
    if (now - crashedAt > options_.longestBlock) {
        return;
    }
    Crash crash{.engine = engine, .sentAt = sentAt, .crashedAt = crashedAt, .parts = {}, .counts = false};
    for (const auto part : parts) {
        auto &suspect = suspectFor(part);
        suspect.lastReportAt = std::max(suspect.lastReportAt, crashedAt);
        if (!suspect.begunAt || *suspect.begunAt < crashedAt) {
            crash.parts.push_back(part);
        } else if (suspect.crashes.empty() && lastBegun(part) == suspect.begunAt) {
            announceBegun(part, *suspect.begunAt, now);
        }
    }
    // The most specific causes come first, so that the others are not incriminated if these are blocked now.
    std::vector<PartId> ordered = crash.parts;
    std::stable_sort(ordered.begin(), ordered.end(), [&](PartId a, PartId b) {
        const auto specificity = [&](PartId part) {
            const auto &suspect = suspectFor(part);
            return suspect.crashes.empty() ? crash.parts.size() : suspect.companions.size();
        };
        return specificity(a) > specificity(b);
    });
    for (const auto part : ordered) {
        auto &suspect = suspectFor(part);
        if (isBlamedOnOther(suspect, crash) || isBystander(part, suspect, crash)) {
            continue;
        }
        const bool wasBlocked = isBlocked(suspect);
        addCrash(suspect, crash);
        suspect.lastCrashAt = std::max(suspect.lastCrashAt, crashedAt);
        if (suspect.trialAt && *suspect.trialAt <= crashedAt) {
            suspect.trialAt.reset();
        }
        if (isKnown(suspect) && suspect.crashes.size() == 1 && !pendingBegun_.contains(part)) {
            announceBegun(part, *suspect.begunAt, now); // Tells the other VMs that requests with the part were served before.
        }
        if (isBlocked(suspect) && !wasBlocked) {
            suspect.wasBlocked = true;
            repeatsNow_ = true;
            changes_.push_back({.part = part, .isBlocked = true, .crashes = suspect.count, .blockedFor = blockTime(suspect)});
            clearBystanders();
        }
    }
}

/// @return whether an engine crashed because of a blocked part that the request of the crash does not have, so that the suspect was only
///     present. Only a part that crashed more engines than the suspect tells that.
bool PartQuarantine::isBystander(PartId part, const Suspect &suspect, const Crash &crash) const
{
    return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto &entry) {
        const auto &[cause, other] = entry;
        const bool isStronger = cause != part && isBlocked(other) && crashedEngines(other).size() > crashedEngines(suspect).size();
        const bool hasCause = std::binary_search(crash.parts.begin(), crash.parts.end(), cause) && concerns(other, crash.parts);
        return isStronger && !hasCause && crashedEngines(other).contains(crash.engine);
    });
}

std::set<EndpointId> PartQuarantine::crashedEngines(const Suspect &suspect)
{
    std::set<EndpointId> engines;
    for (const auto &crash : suspect.crashes) {
        engines.insert(crash.engine);
    }
    return engines;
}

/// @return whether the request of a crash has a blocked part that is a more specific cause than the suspect, which this crash then does not
///     incriminate further.
bool PartQuarantine::isBlamedOnOther(const Suspect &suspect, const Crash &crash) const
{
    const auto &companions = suspect.companions;
    return !suspect.crashes.empty() && std::any_of(crash.parts.begin(), crash.parts.end(), [&](PartId part) {
        const auto found = suspects_.find(part);
        return found != suspects_.end() && isBlocked(found->second) && concerns(found->second, crash.parts)
            && found->second.companions.size() > companions.size()
            && std::includes(found->second.companions.begin(), found->second.companions.end(), companions.begin(), companions.end());
    });
}

/// Drops the crashes at which suspects were only present, after another part was blocked.
void PartQuarantine::clearBystanders()
{
    for (auto &[part, suspect] : suspects_) {
        if (suspect.crashes.empty()) {
            continue;
        }
        const bool wasBlocked = isBlocked(suspect);
        std::vector<Crash> kept;
        std::copy_if(suspect.crashes.begin(), suspect.crashes.end(), std::back_inserter(kept), [&, part = part](const Crash &crash) {
            return !isBystander(part, suspects_.at(part), crash);
        });
        if (kept.size() < suspect.crashes.size()) {
            suspect.crashes = std::move(kept);
            countCrashes(suspect);
            noteIfCleared(part, suspect, wasBlocked);
        }
    }
}

void PartQuarantine::noteIfCleared(PartId part, const Suspect &suspect, bool wasBlocked)
{
    if (wasBlocked && !isBlocked(suspect)) {
        changes_.push_back({.part = part, .isBlocked = false, .crashes = suspect.count, .blockedFor = {}});
    }
}

/// @return whether two reports are of one crash of an engine.
bool PartQuarantine::isSameCrash(const Crash &a, const Crash &b)
{
    return a.engine == b.engine && std::chrono::abs(a.crashedAt - b.crashedAt) < kRestartTime;
}

void PartQuarantine::addCrash(Suspect &suspect, const Crash &crash) const
{
    auto &crashes = suspect.crashes;
    const auto same = std::find_if(crashes.begin(), crashes.end(), [&](const Crash &other) {
        return isSameCrash(other, crash) && std::includes(other.parts.begin(), other.parts.end(), crash.parts.begin(), crash.parts.end());
    });
    if (same != crashes.end()) {
        if (same->crashedAt <= crash.crashedAt) {
            return;
        }
        crashes.erase(same); // Ages that were delayed on the way make a crash look later than it was.
    }
    crashes.insert(std::upper_bound(crashes.begin(), crashes.end(), crash, [](const Crash &a, const Crash &b) { return a.crashedAt < b.crashedAt; }), crash);
    countCrashes(suspect);
    if (crashes.size() > kMaxCrashes) {
        const auto spare = std::find_if(crashes.begin(), crashes.end(), [](const Crash &other) { return !other.counts; });
        crashes.erase(spare == crashes.end() ? crashes.begin() : spare);
        countCrashes(suspect);
    }
}

/// Determines the longest sequence of crashes in which each request was sent after the crash before. While the part is blocked, only a
/// crash under a trial is one more, since VMs that do not know of the block send other requests.
void PartQuarantine::countCrashes(Suspect &suspect) const
{
    suspect.count = 0;
    TimePoint last{}; // The last crash that counts.
    TimePoint latest{};
    for (auto &crash : suspect.crashes) {
        const bool isDuringBlock = suspect.count >= threshold(suspect) && crash.sentAt < latest + blockTime(suspect);
        const bool isNew = crash.sentAt >= last || options_.faults.countsOverlapping;
        const bool isCounted = std::any_of(
            suspect.crashes.begin(), suspect.crashes.end(), [&](const Crash &other) { return &other < &crash && other.counts && isSameCrash(other, crash); });
        crash.counts = isNew && !isDuringBlock && !isCounted;
        if (crash.counts) {
            ++suspect.count;
            last = crash.crashedAt;
        }
        latest = crash.crashedAt;
    }
    findCompanions(suspect);
}

/// Determines the parts that occurred in each crash. Of several requests at one engine, the one that leaves most parts counts, so that no
/// more requests are refused than the crashes give reason for.
void PartQuarantine::findCompanions(Suspect &suspect)
{
    suspect.companions.clear();
    std::set<EndpointId> seen;
    for (const auto &first : suspect.crashes) {
        if (!seen.insert(first.engine).second) {
            continue;
        }
        std::vector<PartId> most;
        for (const auto &crash : suspect.crashes) {
            if (crash.engine != first.engine) {
                continue;
            }
            std::vector<PartId> common = crash.parts;
            if (seen.size() > 1) {
                common.clear();
                std::set_intersection(suspect.companions.begin(), suspect.companions.end(), crash.parts.begin(), crash.parts.end(), std::back_inserter(common));
            }
            most = common.size() > most.size() ? std::move(common) : std::move(most);
        }
        suspect.companions = std::move(most);
    }
}

/// Records that a request with a part began, which clears the part of the crashes before.
void PartQuarantine::recordBegun(PartId part, TimePoint begunAt)
{
    const auto found = suspects_.find(part);
    if (found == suspects_.end() || options_.faults.ignoresBegun) {
        return;
    }
    auto &suspect = found->second;
    const bool wasBlocked = isBlocked(suspect);
    const bool hadCrashes = !suspect.crashes.empty();
    suspect.begunAt = std::max(suspect.begunAt.value_or(begunAt), begunAt);
    std::erase_if(suspect.crashes, [&](const Crash &crash) { return crash.crashedAt <= begunAt; });
    countCrashes(suspect);
    if (!hadCrashes) {
        return;
    }
    if (suspect.crashes.empty()) {
        suspect.trialAt.reset();
    }
    for (auto &[other, record] : suspects_) {
        // The part is not what crashed these engines.
        for (auto &crash : record.crashes) {
            if (crash.crashedAt <= begunAt) {
                std::erase(crash.parts, part);
            }
        }
        findCompanions(record);
    }
    noteIfCleared(part, suspect, wasBlocked);
}

PartQuarantine::Suspect &PartQuarantine::suspectFor(PartId part)
{
    if (const auto found = suspects_.find(part); found != suspects_.end()) {
        return found->second;
    }
    makeRoom();
    Suspect suspect;
    suspect.begunAt = lastBegun(part);
    const auto spread = std::min(kMaxTrialSpread, kTrialSpread * static_cast<int>(vms_.size()));
    suspect.trialDelay = std::chrono::duration_cast<Duration>(spread * random_.uniform());
    return suspects_.emplace(part, std::move(suspect)).first->second;
}

/// Drops the suspect that matters least if there is no room for another one.
void PartQuarantine::makeRoom()
{
    if (suspects_.size() < options_.maxSuspects) {
        return;
    }
    const auto least = std::min_element(suspects_.begin(), suspects_.end(), [](const auto &a, const auto &b) {
        const auto weight = [](const Suspect &suspect) {
            return std::pair(suspect.crashes.size(), suspect.lastCrashAt);
        };
        return weight(a.second) < weight(b.second);
    });
    pendingBegun_.erase(least->first);
    suspects_.erase(least);
}

void PartQuarantine::forgetOld(TimePoint now)
{
    if (options_.faults.forgetsNothing) {
        return;
    }
    std::erase_if(suspects_, [&](const auto &entry) {
        const Suspect &suspect = entry.second;
        if (suspect.crashes.empty()) {
            return now - suspect.lastReportAt > 2 * options_.knownMemory;
        }
        return now - suspect.lastCrashAt > options_.suspicion + (isBlocked(suspect) ? blockTime(suspect) : Duration::zero());
    });
    std::erase_if(pendingBegun_, [&](const auto &entry) { return !suspects_.contains(entry.first); });
}

/// Remembers for some time that requests with a part are served.
void PartQuarantine::noteKnown(PartId part, TimePoint begunAt, TimePoint now)
{
    if (now - begunAt > options_.knownMemory) {
        return;
    }
    if (now - knownSince_ > options_.knownMemory || known_.size() >= options_.maxKnown) {
        knownBefore_ = now - knownSince_ > 2 * options_.knownMemory ? decltype(known_)() : std::move(known_);
        known_.clear();
        knownSince_ = now;
    }
    auto &known = known_[part];
    known = std::max(known, begunAt);
}

std::optional<TimePoint> PartQuarantine::lastBegun(PartId part) const
{
    for (const auto *generation : {&known_, &knownBefore_}) {
        if (const auto found = generation->find(part); found != generation->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

void PartQuarantine::announceBegun(PartId part, TimePoint begunAt, TimePoint now)
{
    const auto spread = std::min(kMaxAnnouncementSpread, kAnnouncementSpread * static_cast<int>(vms_.size()));
    const auto delay = std::chrono::duration_cast<Duration>(spread * random_.uniform());
    pendingBegun_.insert_or_assign(part, PendingBegun{.begunAt = begunAt, .dueAt = now + delay});
}

/// @return whether requests with the part were served shortly before its first crash.
bool PartQuarantine::isKnown(const Suspect &suspect) const
{
    return suspect.begunAt && !suspect.crashes.empty() && suspect.crashes.front().crashedAt - *suspect.begunAt < 2 * options_.knownMemory;
}

std::size_t PartQuarantine::threshold(const Suspect &suspect) const
{
    return isKnown(suspect) ? options_.crashesToBlockKnown : options_.crashesToBlock;
}

bool PartQuarantine::isBlocked(const Suspect &suspect) const
{
    return suspect.count >= threshold(suspect);
}

Duration PartQuarantine::blockTime(const Suspect &suspect) const
{
    auto time = options_.firstBlock;
    for (std::size_t i = threshold(suspect); i < suspect.count && time < options_.longestBlock; ++i) {
        time *= options_.blockGrowth;
    }
    return options_.faults.neverEnds ? Duration::max() / 4 : std::min(time, options_.longestBlock);
}

/// @param sorted the parts of a request, which include the suspect.
/// @return whether the request has all the parts that may be the cause of the suspect's crashes.
bool PartQuarantine::concerns(const Suspect &suspect, const std::vector<PartId> &sorted) const
{
    return options_.faults.ignoresCompanions || std::includes(sorted.begin(), sorted.end(), suspect.companions.begin(), suspect.companions.end());
}

/// @return how long no request with the part may be sent; zero or less if a trial is due.
Duration PartQuarantine::waitFor(const Suspect &suspect, TimePoint now) const
{
    auto end = suspect.lastCrashAt + blockTime(suspect) + suspect.trialDelay;
    if (suspect.trialAt) {
        end = std::max(end, *suspect.trialAt + options_.trialTime);
    }
    return end - now;
}

bool PartQuarantine::isRepeater(PartId part, Suspect &suspect) const
{
    if (!suspect.isRepeater) {
        const auto order = rendezvousOrder("part/" + std::to_string(part), vms_);
        const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(kRepeaters, order.size()));
        suspect.isRepeater = std::find(order.begin(), end, self_) != end;
    }
    return *suspect.isRepeater;
}

std::vector<CrashReport> PartQuarantine::reportsOf(const Suspect &suspect, TimePoint now)
{
    std::vector<CrashReport> reports;
    for (const auto &crash : suspect.crashes) {
        if (!crash.counts && crash.crashedAt != suspect.lastCrashAt) {
            continue; // It changes nothing.
        }
        reports.push_back({.engine = crash.engine, .parts = crash.parts, .sentAge = now - crash.sentAt, .crashAge = now - crash.crashedAt});
    }
    return reports;
}

} // namespace daisystream
