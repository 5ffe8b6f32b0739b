#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

/// @file
/// Keeps the newest version of one list that this VM has seen, whichever way it came: from the platform or from a peer.
///
/// Example:
/// @code
///   ListKeeper plans;
///   if (plans.offer({.number = 8, .changeId = "c-17"}, text)) {
///       LOG(INFO) << "plans version " << plans.current()->version.number;
///   }
/// @endcode

namespace daisystream
{

/// Version of a list: the number of its row in the platform's table, and the change that wrote it.
struct ListVersion
{
    std::uint64_t number = 0; ///< Zero: no version.
    std::string changeId;

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

/// Deliberate breaks for the schedules, which must notice each of them. None in the product.
struct KeeperFaults
{
    bool acceptLower = false;
};

} // namespace internal

/// Holds the highest version offered so far. Thread-compatible.
class ListKeeper
{
public:
    explicit ListKeeper(internal::KeeperFaults faults = {})
        : faults_(faults)
    {
    }

    /// @return whether the version was higher than the current one and was taken.
    bool offer(ListVersion version, std::string text)
    {
        if (version.number == 0 || (current_ && version.number <= current_->version.number && !faults_.acceptLower)) {
            return false;
        }
        current_ = ListSnapshot{std::move(version), std::move(text)};
        return true;
    }

    /// @return the newest version, or nothing before the first.
    [[nodiscard]] const std::optional<ListSnapshot> &current() const
    {
        return current_;
    }

private:
    internal::KeeperFaults faults_;
    std::optional<ListSnapshot> current_;
};

} // namespace daisystream
