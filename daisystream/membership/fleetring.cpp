#include "daisystream/membership/fleetring.h"

#include "daisystream/base/stablehash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace daisystream
{

namespace
{

/// Incarnation and sequence number of a heartbeat, by which the heartbeats of one VM are ordered.
using HeartbeatStamp = std::pair<std::uint64_t, std::uint64_t>;

/// What is known of another VM.
struct Entry
{
    HeartbeatStamp heard;                         ///< The latest heartbeat that this VM has received.
    TimePoint heardAt{};                          ///< When it was received, or when this VM began to watch the other one.
    HeartbeatStamp latestLive;                    ///< The latest heartbeat for which the VM was reported as live or leaving.
    std::map<VmId, HeartbeatStamp> silentReports; ///< Reports of silence by watcher. None refers to a heartbeat before `latestLive`.
    bool leaving = false;
    bool cutOff = false;
    bool isWatched = false; ///< Whether this VM watches the other one.
};

} // namespace

class FleetRing::Private
{
public:
    explicit Private(VmId selfId, FleetRingOptions ringOptions)
        : self(std::move(selfId))
        , options(ringOptions)
    {
    }

    [[nodiscard]] bool isDead(const Entry &entry) const
    {
        const std::size_t needed = options.faults.oneReportSuffices ? 1 : std::min(options.reports, others.size());
        return !entry.silentReports.empty() && entry.silentReports.size() >= std::max<std::size_t>(1, needed);
    }

    [[nodiscard]] bool isDead(const VmId &vm) const
    {
        const auto found = others.find(vm);
        return found != others.end() && isDead(found->second);
    }

    /// @param from the VM at which the search starts.
    /// @param step a function of an index and the size of the ring that returns the next index.
    /// @return up to `options.watchers` live VMs next to `from` in the ring, the nearest first.
    template<class Step>
    [[nodiscard]] std::vector<VmId> neighbours(const VmId &from, Step step) const
    {
        std::vector<VmId> found;
        const auto position = std::find(ring.begin(), ring.end(), from);
        if (position == ring.end()) {
            return found;
        }
        const auto size = ring.size();
        auto index = static_cast<std::size_t>(position - ring.begin());
        for (std::size_t i = 1; i < size && found.size() < options.watchers; ++i) {
            index = step(index, size);
            if (!isDead(ring[index])) {
                found.push_back(ring[index]);
            }
        }
        return found;
    }

    /// @return the next live VMs after `from` in the ring, which watch it.
    [[nodiscard]] std::vector<VmId> liveSuccessors(const VmId &from) const
    {
        return neighbours(from, [](std::size_t index, std::size_t size) { return (index + 1) % size; });
    }

    /// @return the live VMs that this VM watches: its nearest predecessors in the ring.
    [[nodiscard]] std::vector<VmId> watched() const
    {
        return neighbours(self, [](std::size_t index, std::size_t size) { return (index + size - 1) % size; });
    }

    /// Recomputes which VMs this VM watches. For a VM that is newly watched, the time of silence starts at `now`.
    void updateWatchedVms(TimePoint now)
    {
        const auto watchedNow = watched();
        for (auto &[vm, entry] : others) {
            const bool isWatched = std::find(watchedNow.begin(), watchedNow.end(), vm) != watchedNow.end();
            if (isWatched && !entry.isWatched) {
                entry.heardAt = now;
            }
            entry.isWatched = isWatched;
        }
    }

    /// Applies a report of kind Live or Leaving, and discards the reports of silence that refer to earlier heartbeats.
    /// @return whether it contained something new.
    bool applyLiveReport(Entry &entry, const VmReport &report, const HeartbeatStamp &stamp)
    {
        if (stamp < entry.latestLive) {
            return false;
        }
        const bool leaving = report.kind == VmReport::Kind::Leaving;
        // If two reports refer to the same heartbeat, the VM's report on itself overrides that of a watcher.
        const bool isOwn = report.reporter == report.vm;
        const bool isNews = stamp > entry.latestLive || (isOwn && (leaving != entry.leaving || report.cutOff != entry.cutOff));
        if (isNews) {
            entry.latestLive = stamp;
            entry.leaving = leaving;
            entry.cutOff = report.cutOff;
            std::erase_if(entry.silentReports, [&](const auto &silent) { return silent.second < stamp; });
        }
        return isNews;
    }

    /// Applies a report of kind Silent.
    /// @return whether it contained something new.
    bool applySilentReport(Entry &entry, const VmReport &report, const HeartbeatStamp &stamp) const
    {
        if (stamp < entry.latestLive) {
            return false;
        }
        auto &known = entry.silentReports[report.reporter];
        const bool isNews = known < stamp || known == HeartbeatStamp();
        known = std::max(known, stamp);
        return isNews;
    }

    const VmId self;
    const FleetRingOptions options;
    std::vector<VmId> ring; ///< All listed VMs and this one, in the order of the ring.
    std::map<VmId, Entry> others;
    std::optional<TimePoint> lastAdvance;                               ///< Time of the last call of advance().
    std::optional<std::tuple<std::uint64_t, bool, bool>> lastSelfState; ///< Arguments of the last call of reportSelf(): incarnation, leaving, cutOff.
    std::optional<VmReport> latestSelfReport;                           ///< The latest report of this VM on itself.
    bool selfLeaving = false;
    std::size_t nextDeadCalls = 0; ///< Number of calls of nextDeadVm() that found a dead VM.
};

FleetRing::FleetRing(VmId self, FleetRingOptions options)
    : d_(std::make_unique<Private>(std::move(self), options))
{
}

FleetRing::~FleetRing() = default;
FleetRing::FleetRing(FleetRing &&) noexcept = default;
FleetRing &FleetRing::operator=(FleetRing &&) noexcept = default;

void FleetRing::setVms(const std::vector<VmId> &listed, TimePoint now)
{
    std::set<VmId> names(listed.begin(), listed.end());
    names.insert(d_->self);
    d_->ring.assign(names.begin(), names.end());
    std::sort(d_->ring.begin(), d_->ring.end(), [](const VmId &one, const VmId &other) {
        return std::pair(stableHash(one.value()), one) < std::pair(stableHash(other.value()), other);
    });
    std::erase_if(d_->others, [&](const auto &entry) { return !names.contains(entry.first); });
    for (const VmId &vm : names) {
        if (vm != d_->self && d_->others.try_emplace(vm).second) {
            d_->others[vm].heardAt = now;
        }
    }
    d_->updateWatchedVms(now);
}

std::vector<VmId> FleetRing::watchers() const
{
    return d_->liveSuccessors(d_->self);
}

std::vector<VmReport> FleetRing::onHeartbeat(const VmHeartbeat &heartbeat, bool cutOff, TimePoint now)
{
    const auto found = d_->others.find(heartbeat.vm);
    const HeartbeatStamp stamp(heartbeat.incarnation, heartbeat.sequence);
    if (found == d_->others.end() || stamp <= found->second.heard) {
        return {};
    }
    Entry &entry = found->second;
    entry.heard = stamp;
    entry.heardAt = now;
    // Reported as live even if too few watchers found it silent to make it dead: their reports must not add up with later ones.
    const bool wasReportedSilent = !entry.silentReports.empty();
    const bool flagsChanged = entry.leaving != heartbeat.leaving || entry.cutOff != cutOff;
    if (!wasReportedSilent && !flagsChanged) {
        return {};
    }
    const VmReport report{.vm = heartbeat.vm,
                          .reporter = d_->self,
                          .kind = heartbeat.leaving ? VmReport::Kind::Leaving : VmReport::Kind::Live,
                          .incarnation = heartbeat.incarnation,
                          .sequence = heartbeat.sequence,
                          .cutOff = cutOff};
    if (!d_->applyLiveReport(entry, report, stamp)) {
        return {};
    }
    d_->updateWatchedVms(now);
    return {report};
}

bool FleetRing::onReport(const VmReport &report, TimePoint now)
{
    const auto found = d_->others.find(report.vm);
    if (found == d_->others.end()) {
        return false; // Either this VM, which reports on itself, or a VM that is not listed yet.
    }
    const HeartbeatStamp stamp(report.incarnation, report.sequence);
    Entry &entry = found->second;
    const bool isNews = report.kind == VmReport::Kind::Silent ? d_->applySilentReport(entry, report, stamp) : d_->applyLiveReport(entry, report, stamp);
    if (isNews) {
        d_->updateWatchedVms(now);
    }
    return isNews;
}

std::vector<VmReport> FleetRing::advance(TimePoint now)
{
    const bool wasPaused = d_->lastAdvance && now - *d_->lastAdvance > d_->options.pausedAfter && !d_->options.faults.trustsAfterPause;
    d_->lastAdvance = now;
    std::vector<VmReport> reports;
    for (auto &[vm, entry] : d_->others) {
        if (!entry.isWatched) {
            continue;
        }
        if (wasPaused) {
            entry.heardAt = now;
        }
        if (now - entry.heardAt < d_->options.silentAfter) {
            continue;
        }
        const HeartbeatStamp stamp = std::max(entry.heard, entry.latestLive);
        const VmReport report{
            .vm = vm, .reporter = d_->self, .kind = VmReport::Kind::Silent, .incarnation = stamp.first, .sequence = stamp.second, .cutOff = false};
        if (!entry.silentReports.contains(d_->self) && d_->applySilentReport(entry, report, stamp)) {
            reports.push_back(report);
        }
    }
    if (!reports.empty()) {
        d_->updateWatchedVms(now);
    }
    return reports;
}

std::optional<VmReport> FleetRing::reportSelf(std::uint64_t incarnation, std::uint64_t sequence, bool leaving, bool cutOff)
{
    d_->selfLeaving = leaving;
    const VmReport selfReport{.vm = d_->self,
                              .reporter = d_->self,
                              .kind = leaving ? VmReport::Kind::Leaving : VmReport::Kind::Live,
                              .incarnation = incarnation,
                              .sequence = sequence,
                              .cutOff = cutOff};
    d_->latestSelfReport = selfReport;
    const std::tuple selfState(incarnation, leaving, cutOff);
    const bool isNews = d_->lastSelfState ? *d_->lastSelfState != selfState : leaving || cutOff;
    d_->lastSelfState = selfState;
    return isNews ? std::optional(selfReport) : std::nullopt;
}

VmState FleetRing::state(const VmId &vm) const
{
    if (vm == d_->self) {
        return d_->selfLeaving ? VmState::Leaving : VmState::Live;
    }
    const auto found = d_->others.find(vm);
    if (found == d_->others.end() || d_->isDead(found->second)) {
        return VmState::Dead;
    }
    return found->second.leaving ? VmState::Leaving : VmState::Live;
}

std::vector<VmId> FleetRing::live() const
{
    std::vector<VmId> vms;
    for (const VmId &vm : d_->ring) {
        if (state(vm) == VmState::Live) {
            vms.push_back(vm);
        }
    }
    std::sort(vms.begin(), vms.end());
    return vms;
}

std::vector<VmId> FleetRing::dead() const
{
    std::vector<VmId> vms;
    for (const auto &[vm, entry] : d_->others) {
        if (d_->isDead(entry)) {
            vms.push_back(vm);
        }
    }
    return vms;
}

bool FleetRing::isCutOff(const VmId &vm) const
{
    const auto found = d_->others.find(vm);
    return found != d_->others.end() && found->second.cutOff;
}

std::optional<VmId> FleetRing::nextDeadVm()
{
    const auto all = dead();
    if (all.empty()) {
        return std::nullopt;
    }
    // Each VM starts at a different index, so that the VMs together soon reach all dead ones.
    return all[(stableHash(d_->self.value()) + d_->nextDeadCalls++) % all.size()];
}

bool FleetRing::hearsHalfOfWatched(TimePoint now) const
{
    std::size_t watched = 0;
    std::size_t heard = 0;
    for (const auto &[vm, entry] : d_->others) {
        watched += entry.isWatched;
        heard += entry.isWatched && now - entry.heardAt < d_->options.silentAfter;
    }
    return 2 * heard >= watched;
}

std::uint64_t FleetRing::digest() const
{
    std::uint64_t digest = 0;
    for (const VmReport &report : reports()) {
        if (report.kind == VmReport::Kind::Live && !report.cutOff) {
            continue; // The same as no report.
        }
        // A sum does not depend on the order. The stamps are left out, because watchers know different last heartbeats of a silent
        // VM.
        digest
            += stableHash(report.vm.value() + '/' + report.reporter.value() + '/' + std::to_string(static_cast<int>(report.kind)) + (report.cutOff ? "c" : ""));
    }
    return digest;
}

std::vector<VmReport> FleetRing::reports() const
{
    std::vector<VmReport> reports;
    for (const auto &[vm, entry] : d_->others) {
        for (const auto &[reporter, stamp] : entry.silentReports) {
            reports.push_back(
                {.vm = vm, .reporter = reporter, .kind = VmReport::Kind::Silent, .incarnation = stamp.first, .sequence = stamp.second, .cutOff = false});
        }
        // Also for VMs that are merely live again. A watcher that missed this report would refer to an older heartbeat in its next
        // report of silence, and the other VMs would ignore it.
        if (entry.latestLive != HeartbeatStamp()) {
            reports.push_back({.vm = vm,
                               .reporter = vm,
                               .kind = entry.leaving ? VmReport::Kind::Leaving : VmReport::Kind::Live,
                               .incarnation = entry.latestLive.first,
                               .sequence = entry.latestLive.second,
                               .cutOff = entry.cutOff});
        }
    }
    if (d_->latestSelfReport) {
        reports.push_back(*d_->latestSelfReport);
    }
    return reports;
}

} // namespace daisystream
