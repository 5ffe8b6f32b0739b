#pragma once

#include "daisystream/base/table.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The value of a row that people change: its text with the ids of its latest changes, newest last. The ids tell after a
/// lost reply whether a write took effect, even if others have changed the row since.
///
/// Example:
/// @code
///   VersionedRow row{.text = newText, .changes = {}};
///   row.appendChange("c-17");
///   write({.key = "lists/plans", .ifNumber = n, .value = encode(row)});
/// @endcode

namespace daisystream
{

/// A decoded row.
struct VersionedRow
{
    /// Changes that a row remembers: more than can pass while a writer resolves a lost reply.
    static constexpr std::size_t kChangesKept = 64;

    std::string text;
    std::vector<std::string> changes; ///< Oldest first.

    void appendChange(std::string changeId);
    [[nodiscard]] bool contains(std::string_view changeId) const;

    friend auto operator<=>(const VersionedRow &, const VersionedRow &) = default;
};

[[nodiscard]] std::string encode(const VersionedRow &row);
/// @return the row, or nothing if the value is not one.
[[nodiscard]] std::optional<VersionedRow> decodeVersionedRow(std::string_view value);

/// What a row that was read back says about a change on top of the row `baseNumber`.
enum class ChangeFate : std::uint8_t {
    Effective, ///< It took effect.
    Open,      ///< It has not yet; a write of it can still succeed.
    Lost,      ///< Another change took its place; it will never take effect.
    Untold,    ///< So many changes have passed that the row does not tell.
};

/// @param baseNumber the number of the row that the change replaces, zero for none.
/// @param baseChanges the changes of that row.
[[nodiscard]] ChangeFate
fateOf(const std::string &changeId, std::uint64_t baseNumber, const std::vector<std::string> &baseChanges, std::uint64_t number, const VersionedRow &row);

} // namespace daisystream
