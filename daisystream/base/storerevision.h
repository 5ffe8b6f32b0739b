#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

/// @file
/// A point in the history of a store that may be restored from a backup.
///
/// A restore sets the store back and begins a new epoch, in which the store gives out numbers again that it had given out before. So a
/// number alone does not tell which of two states is newer.
///
/// Example:
/// @code
///   const StoreRevision before{.epoch = 1, .number = 90};
///   const StoreRevision restored{.epoch = 2, .number = 41};
///   assert(before < restored);
/// @endcode

namespace daisystream
{

/// Ordered by epoch, then by number. The default value precedes all that a store has written.
struct StoreRevision
{
    std::uint64_t epoch = 0;  ///< Rises by one with each restore; 0 if the store states none.
    std::uint64_t number = 0; ///< Rises within an epoch.

    friend auto operator<=>(const StoreRevision &, const StoreRevision &) = default;
};

inline std::ostream &operator<<(std::ostream &out, const StoreRevision &revision)
{
    return out << revision.epoch << '.' << revision.number;
}

} // namespace daisystream
