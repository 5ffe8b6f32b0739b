#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/random.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

/// @file
/// Finds the prompt parts that crash engines and keeps requests with them from the engines, as one VM decides it from what all VMs saw.
///
/// A part is suspected if a request with it was at an engine and had not begun when the engine crashed. Most suspects were only present:
/// they are cleared as soon as a request with them begins anywhere. A part is blocked once requests with it met several crashes one after
/// the other, each sent after the crash before it, and none began meanwhile. Engines that fail together, such as those of an availability
/// zone, count as one crash for that reason.
///
/// Parts that always occurred together cannot be told apart. Only requests with all of them are refused, until a request with some of them
/// begins.
///
/// A block ends after a time that grows with each further crash. Then one request is let through as a trial: if it begins, the part is
/// cleared.
///
/// Example:
/// @code
///   PartQuarantine quarantine(self, random);
///   if (const auto *refused = std::get_if<PartBlocked>(&quarantine.admit(parts, now))) { refuse(refused->retryAfter); }
///   quarantine.onCrash(engine, parts, sentAt, brokenAt, now);
///   tellOthers(quarantine.takeNews(now));
/// @endcode

namespace daisystream
{

/// Interval of `PartQuarantine::tick`.
constexpr std::chrono::milliseconds kTickInterval{250};

/// Identifies a part of a prompt that several requests may have in common.
using PartId = std::uint64_t;

/// A request that was at an engine and had not begun when the engine crashed, as VMs tell it to each other. VMs share no clock, hence the
/// ages.
struct CrashReport
{
    EndpointId engine{};
    std::vector<PartId> parts{}; ///< Of the request's prompt; sorted, without duplicates.
    Duration sentAge{};          ///< Since the request was sent to the engine.
    Duration crashAge{};         ///< Since the connection to the engine broke.

    friend auto operator<=>(const CrashReport &, const CrashReport &) = default;
};

/// Something that happened to a request with a part.
struct PartSighting
{
    PartId part = 0;
    Duration age{};

    friend auto operator<=>(const PartSighting &, const PartSighting &) = default;
};

/// What VMs tell each other about parts.
struct QuarantineNews
{
    std::vector<CrashReport> crashes{};
    std::vector<PartSighting> begun{};  ///< A request with the part began.
    std::vector<PartSighting> trials{}; ///< A request with the part was let through to find out whether it still crashes engines.

    [[nodiscard]] bool empty() const
    {
        return crashes.empty() && begun.empty() && trials.empty();
    }

    friend auto operator<=>(const QuarantineNews &, const QuarantineNews &) = default;
};

/// The request may be sent.
struct PartsAdmitted
{
    bool isTrial = false; ///< It is the trial of a part that is blocked.

    friend auto operator<=>(const PartsAdmitted &, const PartsAdmitted &) = default;
};

/// The request must not be sent.
struct PartBlocked
{
    PartId part = 0;
    Duration retryAfter{}; ///< When the next trial may be due.

    friend auto operator<=>(const PartBlocked &, const PartBlocked &) = default;
};

using PartVerdict = std::variant<PartsAdmitted, PartBlocked>;

/// A part was blocked or cleared, for the log.
struct PartChange
{
    PartId part = 0;
    bool isBlocked = false;
    std::size_t crashes = 0;
    Duration blockedFor{};

    friend auto operator<=>(const PartChange &, const PartChange &) = default;
};

namespace internal
{

/// Faults that the mutation tests of the schedules inject and must detect. All are off in production.
struct PartQuarantineFaults
{
    bool ignoresNews = false;       ///< What other VMs saw is not used.
    bool countsOverlapping = false; ///< Crashes of engines that fail together count one by one.
    bool ignoresBegun = false;      ///< A request that begins does not clear its parts.
    bool ignoresCompanions = false; ///< Parts that occurred with the blocked one are blocked as well.
    bool neverEnds = false;         ///< A block does not end.
    bool everyoneTries = false;     ///< A trial of another VM does not keep this one from its own.
    bool tellsNoLatecomers = false; ///< VMs that start later are not told of blocked parts.
    bool forgetsNothing = false;    ///< Parts that are no longer suspected are kept.
};

} // namespace internal

struct PartQuarantineOptions
{
    std::size_t crashesToBlock = 2; ///< Successive crashes after which a part is blocked.
    /// The same for a part with which requests have begun shortly before the first crash.
    std::size_t crashesToBlockKnown = 3;
    Duration firstBlock = std::chrono::seconds(5);   ///< After the crash that caused the block.
    Duration longestBlock = std::chrono::hours(24);  ///< Limit of the growing times.
    int blockGrowth = 12;                            ///< Factor by which each further crash prolongs the block.
    Duration trialTime = std::chrono::seconds(10);   ///< For the outcome of a trial, before there may be another one.
    Duration suspicion = std::chrono::minutes(10);   ///< For which a crash is remembered if no part is blocked for it.
    Duration knownMemory = std::chrono::seconds(15); ///< At least so long it is remembered that a request with a part began.
    std::size_t maxSuspects = 512;                   ///< Parts that are suspected at the same time.
    std::size_t maxKnown = 4096;                     ///< Parts of which a beginning is remembered, twice.
    internal::PartQuarantineFaults faults{};
};

/// Thread-compatible.
class PartQuarantine
{
public:
    explicit PartQuarantine(VmId self, Random random, PartQuarantineOptions options = {});

    /// Replaces the set of live VMs, which includes this one.
    void setVms(const std::vector<VmId> &live);

    /// Decides whether a request may be sent, and counts it as a trial if one is due.
    /// @param parts of its prompt, in any order.
    [[nodiscard]] PartVerdict admit(const std::vector<PartId> &parts, TimePoint now);

    /// @return the verdict on a request without a trial, for requests that have been admitted and waited since.
    [[nodiscard]] PartVerdict check(const std::vector<PartId> &parts, TimePoint now) const;

    /// @param failed the engine at which the request has just failed.
    /// @return whether a request that failed before it began may be sent to another engine: not if another engine crashed under its parts.
    [[nodiscard]] bool mayRepeat(const std::vector<PartId> &parts, const EndpointId &failed) const;

    /// Handles the crash of an engine at which a request of this VM had not begun.
    /// @param sentAt when the request was sent to the engine.
    /// @param crashedAt when the connection to the engine broke.
    void onCrash(const EndpointId &engine, std::vector<PartId> parts, TimePoint sentAt, TimePoint crashedAt, TimePoint now);

    /// Must be called every `kTickInterval`, by which the object notices that its VM was frozen.
    void tick(TimePoint now);

    /// Handles the beginning of an answer. A VM that was frozen notices it later than it was, so that it clears the parts of crashes
    /// before the request was sent only.
    /// @param sentAt when the request was sent to the engine.
    void onBegun(const std::vector<PartId> &parts, TimePoint sentAt, TimePoint now);

    /// Handles what another VM saw.
    void onNews(const QuarantineNews &news, TimePoint now);

    /// @return what the other VMs have to be told now. What many VMs may see at the same time is delayed at random, so that the first
    ///     one tells it for all.
    [[nodiscard]] QuarantineNews takeNews(TimePoint now);

    /// @return when `takeNews` has something next; nothing if there is nothing to tell.
    [[nodiscard]] std::optional<TimePoint> nextNews() const;

    /// @return what this VM repeats from time to time for VMs that have missed it or have just started. Some VMs repeat it for each part.
    [[nodiscard]] QuarantineNews repeatedNews(TimePoint now);

    /// @return the parts that were blocked or cleared since the last call.
    [[nodiscard]] std::vector<PartChange> takeChanges();

    /// @return the parts that are blocked now, including those that wait for a trial.
    [[nodiscard]] std::size_t blockedParts() const;

    /// @return the parts of which crashes or their clearing are remembered.
    [[nodiscard]] std::size_t suspectedParts() const
    {
        return suspects_.size();
    }

    /// @return all parts that this VM keeps a record of, for tests of its memory.
    [[nodiscard]] std::size_t recordedParts() const
    {
        return suspects_.size() + known_.size() + knownBefore_.size();
    }

private:
    struct Crash
    {
        EndpointId engine;
        TimePoint sentAt;
        TimePoint crashedAt;
        std::vector<PartId> parts; ///< Of the request, without those with which a request has begun since; sorted.
        bool counts = false;       ///< It is one of the successive crashes.
    };
    struct Suspect
    {
        std::vector<Crash> crashes;     ///< Since a request with the part last began, by the time of the crash.
        std::size_t count = 0;          ///< Successive crashes, see `countCrashes`.
        std::vector<PartId> companions; ///< Parts that occurred in each of these crashes; sorted, includes the part itself.
        TimePoint lastCrashAt{};
        TimePoint lastReportAt{};         ///< As `lastCrashAt`, of all crashes at which the part was present.
        std::optional<TimePoint> begunAt; ///< When a request with the part last began, as far as this VM knows.
        std::optional<TimePoint> trialAt;
        Duration trialDelay{}; ///< So much later than the end of the block this VM may try.
        bool wasBlocked = false;
        std::optional<bool> isRepeater; ///< Whether this VM repeats the state of the part; empty until it is needed.
    };

    void recordCrash(const EndpointId &engine, const std::vector<PartId> &parts, TimePoint sentAt, TimePoint crashedAt, TimePoint now);
    [[nodiscard]] static bool isSameCrash(const Crash &a, const Crash &b);
    void addCrash(Suspect &suspect, const Crash &crash) const;
    void countCrashes(Suspect &suspect) const;
    [[nodiscard]] bool isBystander(PartId part, const Suspect &suspect, const Crash &crash) const;
    [[nodiscard]] static std::set<EndpointId> crashedEngines(const Suspect &suspect);
    [[nodiscard]] bool isBlamedOnOther(const Suspect &suspect, const Crash &crash) const;
    void clearBystanders();
    void noteIfCleared(PartId part, const Suspect &suspect, bool wasBlocked);
    static void findCompanions(Suspect &suspect);
    void recordBegun(PartId part, TimePoint begunAt);
    Suspect &suspectFor(PartId part);
    void makeRoom();
    void forgetOld(TimePoint now);
    void noteKnown(PartId part, TimePoint begunAt, TimePoint now);
    [[nodiscard]] std::optional<TimePoint> lastBegun(PartId part) const;
    void announceBegun(PartId part, TimePoint begunAt, TimePoint now);
    [[nodiscard]] bool isKnown(const Suspect &suspect) const;
    [[nodiscard]] std::size_t threshold(const Suspect &suspect) const;
    [[nodiscard]] bool isBlocked(const Suspect &suspect) const;
    [[nodiscard]] Duration blockTime(const Suspect &suspect) const;
    [[nodiscard]] bool concerns(const Suspect &suspect, const std::vector<PartId> &sorted) const;
    [[nodiscard]] bool hasOtherSuspect(const Suspect &suspect, const std::vector<PartId> &sorted) const;
    [[nodiscard]] Duration waitFor(const Suspect &suspect, TimePoint now) const;
    [[nodiscard]] bool isRepeater(PartId part, Suspect &suspect) const;
    static std::vector<CrashReport> reportsOf(const Suspect &suspect, TimePoint now);

    const VmId self_;
    const PartQuarantineOptions options_;
    Random random_;
    std::vector<VmId> vms_;
    std::map<PartId, Suspect> suspects_;
    // Parts with which requests of this VM began, in two generations.
    std::unordered_map<PartId, TimePoint> known_;
    std::unordered_map<PartId, TimePoint> knownBefore_;
    TimePoint knownSince_{};
    TimePoint lastTick_{};
    TimePoint wokeAt_{};
    struct PendingBegun
    {
        TimePoint begunAt;
        TimePoint dueAt;
    };
    std::map<PartId, PendingBegun> pendingBegun_;
    QuarantineNews urgentNews_; ///< Told at the next `takeNews`. Ages are relative to `urgentSince_`.
    std::optional<TimePoint> urgentSince_;
    bool repeatsNow_ = false; ///< Blocked parts are told at the next `takeNews`.
    std::vector<PartChange> changes_;
};

} // namespace daisystream
