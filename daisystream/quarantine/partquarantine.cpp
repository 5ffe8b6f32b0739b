#include "daisystream/quarantine/partquarantine.h"

#include "daisystream/membership/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace daisystream
{

namespace
{

using std::chrono::milliseconds;

// VMs that repeat the state of a part, so that one of them can be lost.
constexpr std::size_t kRepeaters = 2;
// A cleared part is repeated for so long after it was blocked, for VMs that missed it.
constexpr std::chrono::seconds kRepeatsCleared{10};
// Spread of announcements that many VMs may make at the same time, for each VM of the fleet, and its limit.
constexpr milliseconds kAnnouncementSpread{5};
constexpr milliseconds kMaxAnnouncementSpread{1000};
// Spread of the first trials after a block, for each VM of the fleet, and its limit.
constexpr milliseconds kTrialSpread{50};
constexpr milliseconds kMaxTrialSpread{20000};
// More crashes than this do not prolong a block.
constexpr std::size_t kMaxCrashes = 8;
// Parts of one request that are looked at.
constexpr std::size_t kMaxParts = 256;

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
    PartsAdmitted admitted;
    for (const auto part : sorted) {
        const auto found = suspects_.find(part);
        if (found == suspects_.end() || !isBlocked(found->second) || !concerns(found->second, sorted)) {
            continue;
        }
        if (const auto wait = waitFor(found->second, now)) {
            return PartBlocked{.part = part, .retryAfter = *wait};
        }
        admitted.isTrial = true;
    }
    return admitted;
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
        const auto others = std::count_if(crashes.begin(), crashes.end(), [&](const Crash &crash) { return crash.engine != failed; });
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

void PartQuarantine::onBegun(const std::vector<PartId> &parts, TimePoint now)
{
    for (const auto part : sortedParts(parts)) {
        noteKnown(part, now, now);
        const auto found = suspects_.find(part);
        if (found != suspects_.end() && !found->second.crashes.empty() && !options_.faults.ignoresBegun) {
            announceBegun(part, now, now);
        }
        recordBegun(part, now);
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
    std::vector<PartId> suspected; // Without the parts with which a request began since the crash.
    for (const auto part : parts) {
        const auto &suspect = suspectFor(part);
        if (!suspect.begunAt || *suspect.begunAt < crashedAt) {
            suspected.push_back(part);
        } else if (suspect.crashes.empty() && lastBegun(part) == suspect.begunAt) {
            announceBegun(part, *suspect.begunAt, now);
        }
    }
    for (const auto part : suspected) {
        auto &suspect = suspectFor(part);
        const bool wasBlocked = isBlocked(suspect);
        if (suspect.crashes.empty()) {
            suspect.companions = suspected;
        } else {
            std::vector<PartId> common;
            std::set_intersection(suspect.companions.begin(), suspect.companions.end(), suspected.begin(), suspected.end(), std::back_inserter(common));
            suspect.companions = std::move(common);
        }
        addCrash(suspect.crashes, {.engine = engine, .sentAt = sentAt, .crashedAt = crashedAt}, options_.faults.countsOverlapping);
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
            changes_.push_back({.part = part, .isBlocked = true, .crashes = suspect.crashes.size(), .blockedFor = blockTime(suspect)});
        }
    }
}

void PartQuarantine::addCrash(std::vector<Crash> &crashes, const Crash &crash, bool countsOverlapping)
{
    const auto overlaps = [&](const Crash &other) {
        return crash.sentAt < other.crashedAt && other.sentAt < crash.crashedAt;
    };
    const auto same = std::find_if(crashes.begin(), crashes.end(), [&](const Crash &other) {
        constexpr milliseconds kClockError{500}; // Between the ages that two VMs state for one crash.
        return other.engine == crash.engine && std::chrono::abs(other.crashedAt - crash.crashedAt) < kClockError;
    });
    const auto overlapping = std::count_if(crashes.begin(), crashes.end(), overlaps);
    if (same != crashes.end() || (overlapping > 0 && !countsOverlapping)) {
        // A request that was sent later makes it easier for others to be sent after this crash, and before it.
        const auto other = same != crashes.end() ? same : std::find_if(crashes.begin(), crashes.end(), overlaps);
        if (overlapping == 1 && overlaps(*other) && other->sentAt < crash.sentAt && crash.crashedAt < other->crashedAt) {
            *other = crash;
        }
        return;
    }
    crashes.insert(std::upper_bound(crashes.begin(), crashes.end(), crash, [](const Crash &a, const Crash &b) { return a.crashedAt < b.crashedAt; }), crash);
    if (crashes.size() > kMaxCrashes) {
        crashes.erase(crashes.begin());
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
    if (hadCrashes && suspect.crashes.empty()) {
        suspect.companions.clear();
        suspect.trialAt.reset();
        for (auto &[other, record] : suspects_) {
            std::erase(record.companions, part);
        }
    }
    if (wasBlocked && !isBlocked(suspect)) {
        changes_.push_back({.part = part, .isBlocked = false, .crashes = suspect.crashes.size(), .blockedFor = {}});
    }
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
            return !suspect.begunAt || now - *suspect.begunAt > 2 * options_.knownMemory;
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
    return suspect.crashes.size() >= threshold(suspect);
}

Duration PartQuarantine::blockTime(const Suspect &suspect) const
{
    auto time = options_.firstBlock;
    for (std::size_t i = threshold(suspect); i < suspect.crashes.size() && time < options_.longestBlock; ++i) {
        time *= options_.blockGrowth;
    }
    return options_.faults.neverEnds ? Duration::max() / 4 : std::min(time, options_.longestBlock);
}

/// @param sorted the parts of a request, which include the suspect.
/// @return whether the request has all the parts that may be the cause of the suspect's crashes.
bool PartQuarantine::concerns(const Suspect &suspect, const std::vector<PartId> &sorted) const
{
    return options_.faults.ignoresCompanions || std::all_of(suspect.companions.begin(), suspect.companions.end(), [&](PartId companion) {
               if (std::binary_search(sorted.begin(), sorted.end(), companion)) {
                   return true;
               }
               // A part with which requests were served shortly before is not what the suspect needs to crash an engine.
               const auto found = suspects_.find(companion);
               return found != suspects_.end() && isKnown(found->second);
           });
}

/// @return how long no request with the part may be sent; nothing if a trial is due.
std::optional<Duration> PartQuarantine::waitFor(const Suspect &suspect, TimePoint now) const
{
    auto end = suspect.lastCrashAt + blockTime(suspect) + suspect.trialDelay;
    if (suspect.trialAt) {
        end = std::max(end, *suspect.trialAt + options_.trialTime);
    }
    return now < end ? std::optional(end - now) : std::nullopt;
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
        reports.push_back({.engine = crash.engine, .parts = suspect.companions, .sentAge = now - crash.sentAt, .crashAge = now - crash.crashedAt});
    }
    return reports;
}

} // namespace daisystream
