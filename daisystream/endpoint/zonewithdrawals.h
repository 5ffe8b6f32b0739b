#pragma once

#include "daisystream/base/ids.h"

#include <cstdint>
#include <set>
#include <vector>

/// @file
/// The zones that the operator has taken out of service, as of one revision of the platform's store.
///
/// Updates reach a VM from the store and from other VMs, in any order. The revision decides, so that a zone that was withdrawn and
/// restored in quick succession ends in the state that the operator set last.
///
/// Example:
/// @code
///   ZoneWithdrawals withdrawals;
///   withdrawals.replace({ZoneId("zone-a")}, 120);
///   withdrawals.apply(ZoneId("zone-a"), false, 131); // Restored.
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
    bool isWithdrawn = false;   ///< False if the zone was restored.
    std::uint64_t revision = 0; ///< Revision of the store that contains the change.

    friend auto operator<=>(const ZoneChange &, const ZoneChange &) = default;
};

/// Set of withdrawn zones. Thread-compatible.
class ZoneWithdrawals
{
public:
    explicit ZoneWithdrawals(internal::ZoneWithdrawalFaults faults = {});

    /// Replaces the whole set by that of a revision, unless the known revision is newer.
    /// @return whether the set has changed.
    bool replace(const std::set<ZoneId> &zones, std::uint64_t revision);

    /// Applies the change of one zone. It is ignored unless it is newer than the known revision.
    /// @param isWithdrawn false if the zone was restored.
    /// @param revision of the store that contains the change.
    /// @return whether the change is newer than the known revision.
    bool apply(const ZoneId &zone, bool isWithdrawn, std::uint64_t revision);

    /// Applies changes that were read together, ordered by revision. Those that are not newer than the known revision are ignored. All
    /// changes of one transaction of the store have the same revision and must be passed together.
    /// @return whether at least one change is newer than the known revision.
    bool apply(const std::vector<ZoneChange> &changes);

    [[nodiscard]] bool contains(const ZoneId &zone) const;

    [[nodiscard]] const std::set<ZoneId> &zones() const;

    /// @return the revision of the store up to which the set is known; 0 if nothing is known yet.
    [[nodiscard]] std::uint64_t revision() const;

private:
    std::set<ZoneId> zones_;
    std::uint64_t revision_ = 0;
    internal::ZoneWithdrawalFaults faults_;
};

} // namespace daisystream
