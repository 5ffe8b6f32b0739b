#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/storerevision.h"

#include <cstdint>
#include <set>
#include <vector>

/// @file
/// The zones that the operator has taken out of service, as of one revision of the platform's store.
///
/// Updates reach a VM from the store and from other VMs, in any order. The revision decides, so that a zone that was withdrawn and
/// restored in quick succession ends in the state that the operator set last.
///
/// A store that was restored from a backup may lack a zone that was withdrawn since. It stays withdrawn until the operator has written it
/// again, restored it, or had time to do so.
///
/// Example:
/// @code
///   ZoneWithdrawals withdrawals;
///   withdrawals.replace({ZoneId("zone-a")}, {.epoch = 1, .number = 120});
///   withdrawals.apply(ZoneId("zone-a"), false, {.epoch = 1, .number = 131}); // Restored.
/// @endcode

namespace daisystream
{

namespace internal
{

/// Faults that the mutation tests of the schedules inject and must detect. All are off in production.
struct ZoneWithdrawalFaults
{
    bool ignoresRevisions = false; ///< The update that arrives last decides.
};

} // namespace internal

/// One zone that was withdrawn or restored.
struct ZoneChange
{
    ZoneId zone{};
    bool isWithdrawn = false; ///< False if the zone was restored.
    StoreRevision revision{}; ///< Revision of the store that contains the change.

    friend auto operator<=>(const ZoneChange &, const ZoneChange &) = default;
};

/// Set of withdrawn zones. Thread-compatible.
class ZoneWithdrawals
{
public:
    explicit ZoneWithdrawals(internal::ZoneWithdrawalFaults faults = {});

    /// Replaces the whole set by that of a revision, unless the known revision is newer.
    /// @return whether the set has changed.
    bool replace(const std::set<ZoneId> &zones, const StoreRevision &revision);

    /// Applies the change of one zone. It is ignored unless it is newer than the known revision.
    /// @param isWithdrawn false if the zone was restored.
    /// @param revision of the store that contains the change.
    /// @return whether the change is newer than the known revision.
    bool apply(const ZoneId &zone, bool isWithdrawn, const StoreRevision &revision);

    /// Applies changes that were read together, ordered by revision. Those that are not newer than the known revision are ignored. All
    /// changes of one transaction of the store have the same revision and must be passed together.
    /// @return whether at least one change is newer than the known revision.
    bool apply(const std::vector<ZoneChange> &changes);

    /// Handles that the operator had time to write the zones again that a restored store lacked: those that it still lacks are restored.
    /// @return whether the set has changed.
    bool releaseKept();

    [[nodiscard]] bool contains(const ZoneId &zone) const;

    /// @return the withdrawn zones, including those that are kept after a restore of the store.
    [[nodiscard]] std::set<ZoneId> zones() const;

    /// @return the zones that are withdrawn in the store.
    [[nodiscard]] const std::set<ZoneId> &registered() const;

    /// @return whether zones are kept that the restored store lacks.
    [[nodiscard]] bool hasKept() const;

    /// @return the revision of the store up to which the set is known; 0 if nothing is known yet.
    [[nodiscard]] const StoreRevision &revision() const;

private:
    std::set<ZoneId> registered_;
    std::set<ZoneId> kept_; ///< Withdrawn before the store was restored, and missing there.
    StoreRevision revision_;
    internal::ZoneWithdrawalFaults faults_;
};

} // namespace daisystream
