#pragma once

#include "daisystream/base/storerevision.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

/// @file
/// Keeps the newest version of one list that this VM has received from the platform or from a peer.
///
/// Example:
/// @code
///   LatestListVersion plans;
///   if (plans.offer({.number = 8, .changeId = "c-17"}, text)) {
///       LOG(INFO) << "plans version " << plans.current()->version.number;
///   }
/// @endcode

namespace daisystream
{

/// The version of a list: the number of its row in the platform's table, and the id of the change that wrote it.
struct ListVersion
{
    std::uint64_t number = 0; ///< Zero if there is no version.
    std::string changeId;
    std::uint64_t epoch = 0; ///< Epoch of the store to which the number belongs.

    /// @return what decides which of two versions is newer.
    [[nodiscard]] StoreRevision revision() const
    {
        return {.epoch = epoch, .number = number};
    }

    friend auto operator<=>(const ListVersion &, const ListVersion &) = default;
};

/// A list's text with its version.
struct ListSnapshot
{
    ListVersion version;
    std::string text;
};

namespace internal
{

/// Defects that the schedule tests inject to check that they detect each one. All are off in production.
struct KeeperFaults
{
    bool acceptLower = false; ///< Accepts versions that are not newer than the current one.
};

} // namespace internal

/// Holds the version with the highest number so far. Thread-compatible.
class LatestListVersion
{
public:
    explicit LatestListVersion(internal::KeeperFaults faults = {})
        : faults_(faults)
    {
    }

    /// Replaces the current version if the given one has a higher number.
    /// @return whether the current version was replaced.
    bool offer(ListVersion version, std::string text)
    {
        if (version.number == 0 || (current_ && version.revision() <= current_->version.revision() && !faults_.acceptLower)) {
            return false;
        }
        current_ = ListSnapshot{std::move(version), std::move(text)};
        return true;
    }

    /// @return the newest version, or nothing if none has been received yet.
    [[nodiscard]] const std::optional<ListSnapshot> &current() const
    {
        return current_;
    }

private:
    internal::KeeperFaults faults_;
    std::optional<ListSnapshot> current_;
};

} // namespace daisystream
