#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/storerevision.h"
#include "daisystream/endpoint/endpointinfo.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The endpoints that are registered in the platform's store, as of one revision of the store.
///
/// While the store is unavailable, a registration can expire although its endpoint still runs. An entry that disappears
/// because of such an outage is kept until its endpoint has had time to register again. An endpoint that restarts under the
/// same name is a different endpoint with another id, because its start time differs.
///
/// A store that was restored from a backup lacks the latest entries and holds former ones. An entry that it lacks is kept for the same
/// time. An endpoint that was known to be draining or removed before stays out of service until its entry is written again, or until the
/// entry of one that has ended would have expired.
///
/// Example:
/// @code
///   EndpointDirectory directory;
///   directory.replace(entries, revision, now);
///   for (const EndpointEntry &entry : directory.entries(now)) { ... }
/// @endcode

namespace daisystream
{

/// Registration of an endpoint, written by the endpoint itself.
struct EndpointEntry
{
    std::string name{}; ///< Name of the registration. The endpoint verifies that a request is addressed to it.
    ServiceId service{};
    std::string address{}; ///< "IP:port".
    ZoneId zone{};
    EndpointState state = EndpointState::InService;
    std::uint32_t slots = 1;                   ///< Requests that the endpoint runs at the same time.
    std::uint64_t startedAt = 0;               ///< Milliseconds since the epoch by the endpoint's clock; differs between two starts.
    std::chrono::milliseconds coldDuration{0}; ///< Time for which the endpoint is still cold, as of the arrival of the entry.
    StoreRevision revision{};                  ///< Revision of the store in which the entry was written; the default if it is not known.

    /// @return the id of the endpoint, made of its name and start time, so that it is unique among all starts.
    [[nodiscard]] EndpointId id() const;

    friend auto operator<=>(const EndpointEntry &, const EndpointEntry &) = default;
};

/// One new, changed or removed entry.
struct EndpointChange
{
    std::string name{};
    std::optional<EndpointEntry> entry{}; ///< Not set if the entry was removed or can no longer be parsed.
    StoreRevision revision{};             ///< Revision of the store that contains the change.

    friend auto operator<=>(const EndpointChange &, const EndpointChange &) = default;
};

/// All changes between two revisions, ordered by revision.
struct EndpointChanges
{
    StoreRevision after{}; ///< A directory needs at least this revision to apply the changes.
    StoreRevision upTo{};  ///< Revision of the directory after the changes.
    std::vector<EndpointChange> changes{};

    friend auto operator<=>(const EndpointChanges &, const EndpointChanges &) = default;
};

/// Result of applying changes that another VM sent.
enum class ChangesResult : std::uint8_t {
    Applied, ///< The directory has the revision of the changes now.
    Known,   ///< The directory had the revision of the changes, or a later one, before.
    Gap,     ///< The directory lacks changes before these, so it needs the whole set.
};

struct EndpointDirectoryOptions
{
    /// Time after the end of an outage of the store for which entries that disappeared are kept. Endpoints register again
    /// within 2 s.
    std::chrono::milliseconds reregistrationTime{2200};
    /// Time after a restore of the store until the entry of an endpoint that has ended has certainly expired. Endpoints renew their
    /// entries every second or so, and an entry expires after three missed renewals.
    std::chrono::milliseconds expiryTime{10'000};
};

/// Directory of the registered endpoints. Thread-compatible.
class EndpointDirectory
{
public:
    explicit EndpointDirectory(EndpointDirectoryOptions options = {});

    /// Replaces all entries by those of a revision, unless the directory has a newer revision.
    /// @return whether the entries were replaced.
    bool replace(const std::vector<EndpointEntry> &entries, const StoreRevision &revision, TimePoint now);

    /// Adds or replaces one entry. Changes must be passed in the order of their revisions; a change that the last whole set
    /// contains is ignored.
    void put(const EndpointEntry &entry, const StoreRevision &revision, TimePoint now);

    /// Handles the removal of an entry, or its replacement by one that cannot be parsed.
    void remove(const std::string &name, const StoreRevision &revision, TimePoint now);

    /// Applies changes that another VM read from the store; those that the directory has are skipped.
    ChangesResult apply(const EndpointChanges &changes, TimePoint now);

    /// Handles that the store is available again.
    /// @param afterOutage whether it was unavailable for long enough that registrations may have expired.
    void onStoreReturned(TimePoint now, bool afterOutage);

    /// Handles that the store no longer answers.
    void onStoreLost();

    /// @return the entries that are valid now, including those that are kept after an outage of the store. Their cold time is that
    ///     which is left now. Those that are not in service although the restored store says so are draining.
    [[nodiscard]] std::vector<EndpointEntry> entries(TimePoint now) const;

    /// @return the entries as they are registered in the store, without those that are kept after an outage. Their cold time is that
    ///     which is left now.
    [[nodiscard]] std::vector<EndpointEntry> registered(TimePoint now) const;

    /// @return when the result of `entries` changes next because of the time alone; nothing if it does not.
    [[nodiscard]] std::optional<TimePoint> nextChange(TimePoint now) const;

    /// @return the newest revision that was applied.
    [[nodiscard]] const StoreRevision &revision() const
    {
        return revision_;
    }

private:
    struct StoredEntry
    {
        EndpointEntry entry;
        bool isUnregistered = false; ///< No longer registered in the store.
        TimePoint coldUntil{};
        TimePoint outOfServiceUntil{}; ///< Until then, the entry of the restored store may be of the time before the endpoint left.
    };

    /// Handles that the store was restored from a backup.
    /// @param revision of the first entries that were read since.
    void onRestored(const StoreRevision &revision, TimePoint now);
    /// @return whether an entry may be that of a backup while its endpoint has left since.
    [[nodiscard]] bool mayHaveLeft(const EndpointEntry &entry) const;
    /// Remembers an endpoint that drains or whose entry was removed.
    void noteDeparture(const EndpointId &endpoint, TimePoint now);

    /// Stores an entry. The cold time runs from its first arrival, also if the same entry is read again.
    void store(const EndpointEntry &entry, TimePoint now);
    /// @return the entry with the cold time that is left.
    [[nodiscard]] static EndpointEntry aged(const StoredEntry &stored, TimePoint now);

    /// @return whether a single change of this revision is not yet part of the directory.
    [[nodiscard]] bool isNewChange(const StoreRevision &revision) const;
    /// Marks an entry as no longer registered, and erases it if it is not to be kept.
    void markUnregistered(std::map<std::string, StoredEntry>::iterator entry, TimePoint now);
    /// @return whether the entry is registered or kept.
    [[nodiscard]] bool isValid(const StoredEntry &stored, TimePoint now) const;

    EndpointDirectoryOptions options_;
    std::map<std::string, StoredEntry> entries_;
    std::map<EndpointId, TimePoint> departed_; ///< Endpoints that were draining or removed, and when that was noticed.
    StoreRevision revision_;
    StoreRevision snapshotRevision_;          ///< Revision of the last whole set.
    std::optional<StoreRevision> restoredAs_; ///< Revision of the first whole set of the present epoch, if it is not the first epoch.
    TimePoint restoredAt_{};                  ///< When that set arrived.
    bool storeLost_ = false;
    std::optional<TimePoint> storeReturnedAt_; ///< End of the last outage of the store.
};

} // namespace daisystream
