#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
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
    std::uint64_t revision = 0;                ///< Revision of the store in which the entry was written; 0 if it is not known.

    /// @return the id of the endpoint, made of its name and start time, so that it is unique among all starts.
    [[nodiscard]] EndpointId id() const;

    friend auto operator<=>(const EndpointEntry &, const EndpointEntry &) = default;
};

/// One new, changed or removed entry.
struct EndpointChange
{
    std::string name{};
    std::optional<EndpointEntry> entry{}; ///< Not set if the entry was removed or can no longer be parsed.
    std::uint64_t revision = 0;           ///< Revision of the store that contains the change.

    friend auto operator<=>(const EndpointChange &, const EndpointChange &) = default;
};

/// All changes between two revisions, ordered by revision.
struct EndpointChanges
{
    std::uint64_t after = 0; ///< A directory needs at least this revision to apply the changes.
    std::uint64_t upTo = 0;  ///< Revision of the directory after the changes.
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
};

/// Directory of the registered endpoints. Thread-compatible.
class EndpointDirectory
{
public:
    explicit EndpointDirectory(EndpointDirectoryOptions options = {});

    /// Replaces all entries by those of a revision, unless the directory has a newer revision.
    /// @return whether the entries were replaced.
    bool replace(const std::vector<EndpointEntry> &entries, std::uint64_t revision, TimePoint now);

    /// Adds or replaces one entry. Changes must be passed in the order of their revisions; a change that the last whole set
    /// contains is ignored.
    void put(const EndpointEntry &entry, std::uint64_t revision, TimePoint now);

    /// Handles the removal of an entry, or its replacement by one that cannot be parsed.
    void remove(const std::string &name, std::uint64_t revision, TimePoint now);

    /// Applies changes that another VM read from the store; those that the directory has are skipped.
    ChangesResult apply(const EndpointChanges &changes, TimePoint now);

    /// Handles that the store is available again.
    /// @param afterOutage whether it was unavailable for long enough that registrations may have expired.
    void onStoreReturned(TimePoint now, bool afterOutage);

    /// Handles that the store no longer answers.
    void onStoreLost();

    /// @return the entries that are valid now, including those that are kept after an outage of the store. Their cold time is that
    ///     which is left now.
    [[nodiscard]] std::vector<EndpointEntry> entries(TimePoint now) const;

    /// @return the entries that are registered in the store, without those that are kept after an outage. Their cold time is that which
    ///     is left now.
    [[nodiscard]] std::vector<EndpointEntry> registered(TimePoint now) const;

    /// @return when the result of `entries` changes because kept entries become invalid; nothing if it does not.
    [[nodiscard]] std::optional<TimePoint> nextChange(TimePoint now) const;

    /// @return the newest revision that was applied.
    [[nodiscard]] std::uint64_t revision() const
    {
        return revision_;
    }

private:
    struct StoredEntry
    {
        EndpointEntry entry;
        bool isUnregistered = false; ///< No longer registered in the store.
        TimePoint coldUntil{};
    };

    /// Stores an entry. The cold time runs from its first arrival, also if the same entry is read again.
    void store(const EndpointEntry &entry, TimePoint now);
    /// @return the entry with the cold time that is left.
    [[nodiscard]] static EndpointEntry aged(const StoredEntry &stored, TimePoint now);

    /// @return whether a single change of this revision is not yet part of the directory.
    [[nodiscard]] bool isNewChange(std::uint64_t revision) const;
    /// Marks an entry as no longer registered, and erases it if it is not to be kept.
    void markUnregistered(std::map<std::string, StoredEntry>::iterator entry, TimePoint now);
    /// @return whether the entry is registered or kept.
    [[nodiscard]] bool isValid(const StoredEntry &stored, TimePoint now) const;

    EndpointDirectoryOptions options_;
    std::map<std::string, StoredEntry> entries_;
    std::uint64_t revision_ = 0;
    std::uint64_t snapshotRevision_ = 0; ///< Revision of the last whole set.
    bool storeLost_ = false;
    std::optional<TimePoint> storeReturnedAt_; ///< End of the last outage of the store.
};

} // namespace daisystream
