#pragma once

#include "daisystream/base/table.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The value of a table row that operators change: its text and the ids of its latest changes, newest last. After a lost reply
/// the ids show whether a write took effect, even if others have changed the row since.
///
/// Example:
/// @code
///   VersionedRow row{.text = newText, .changes = {}};
///   row.appendChange("c-17");
///   write({.key = "lists/plans", .ifNumber = n, .value = encode(row)});
/// @endcode

namespace daisystream
{

/// The decoded value of a row.
struct VersionedRow
{
    /// Number of change ids that a row keeps. It exceeds the number of changes that others can make while a writer finds out
    /// whether its write took effect.
    static constexpr std::size_t kChangesKept = 64;

    std::string text;
    std::vector<std::string> changes; ///< Oldest first.

    /// Adds the id of the newest change, and drops the oldest id if there are more than kChangesKept.
    void appendChange(std::string changeId);
    /// @return whether the change is among the kept ones.
    [[nodiscard]] bool contains(std::string_view changeId) const;

    friend auto operator<=>(const VersionedRow &, const VersionedRow &) = default;
};

/// @return the row's value as JSON.
[[nodiscard]] std::string encode(const VersionedRow &row);
/// @return the decoded row, or nothing if the value is not valid.
[[nodiscard]] std::optional<VersionedRow> decodeVersionedRow(std::string_view value);

/// Whether a change has taken effect, as far as a row that was read back shows.
enum class ChangeStatus : std::uint8_t {
    Applied,  ///< The change took effect.
    Pending,  ///< The change has not taken effect yet; writing it can still succeed.
    Rejected, ///< Another change replaced the same row first, so this change will never take effect.
    Unknown,  ///< The row has been changed so often since that it does not show whether this change took effect.
};

/// Determines from a row that was read back whether a change has taken effect.
/// @param changeId the id of the change.
/// @param baseNumber the number of the row that the change replaces; zero if there was no row.
/// @param baseChanges the change ids in that row.
/// @param number the number of the row that was read back.
/// @param row the row that was read back.
[[nodiscard]] ChangeStatus
changeStatus(const std::string &changeId, std::uint64_t baseNumber, const std::vector<std::string> &baseChanges, std::uint64_t number, const VersionedRow &row);

} // namespace daisystream
