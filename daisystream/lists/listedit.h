#pragma once

#include "daisystream/base/result.h"
#include "daisystream/lists/listkeeper.h"
#include "daisystream/lists/versionedrow.h"

#include <string>
#include <variant>
#include <vector>

/// @file
/// Replaces one list in the platform's table. A change is accepted only when its conditional write is known to have taken
/// effect; a lost reply is resolved by reading the row back.
///
/// Example:
/// @code
///   ListEdit edit("plans", base, newText, "c-17");
///   ListEditStep step = edit.start();
///   while (const auto *action = std::get_if<TableAction>(&step)) {
///       step = edit.onReply(platform.perform(*action)); // After a TableLost or TableRefused: wait a little first.
///   }
/// @endcode

namespace daisystream
{

/// A field that differs between two texts, for example `teams[guides-north].plan`.
struct FieldDifference
{
    std::string path;
    std::string before; ///< JSON; empty if the field is absent.
    std::string after;  ///< JSON; empty if the field is absent.

    friend auto operator<=>(const FieldDifference &, const FieldDifference &) = default;
};

/// Compares two JSON texts field by field. Elements of arrays are matched by their `name`, `team`, `id` or `plan`.
/// @return the differences in order of their paths; a text that is not JSON counts as one field with an empty path.
[[nodiscard]] std::vector<FieldDifference> differencesBetween(std::string_view before, std::string_view after);

/// A row as an editor read it.
struct ListBase
{
    std::uint64_t number = 0; ///< Zero: there is no row yet.
    VersionedRow row;
};

/// The change took effect.
struct ListAccepted
{
    ListVersion version;
    bool superseded = false; ///< Another change on top of it has taken effect since.
};

/// Another change took precedence; this one never takes effect.
struct ListConflict
{
    ListVersion winner;                        ///< The newest version known.
    std::string text;                          ///< Its text.
    std::vector<FieldDifference> fromBase;     ///< What the others changed.
    std::vector<FieldDifference> fromProposal; ///< How the list in force differs from the refused text.
};

/// Ends with `PlatformUnavailable` (no effect, now or later) or `OutcomeOfWriteUnknown`.
using ListEditOutcome = std::variant<ListAccepted, ListConflict, Error>;
using ListEditStep = std::variant<TableAction, ListEditOutcome>;

namespace internal
{

/// Deliberate breaks for the schedules, which must notice each of them. None in the product.
struct ListEditFaults
{
    bool unconditional = false;     ///< Writes on whatever number the row has now.
    bool lostMeansAccepted = false; ///< Takes a lost reply for an acceptance.
    bool lostMeansRefused = false;  ///< Takes a lost reply for a failure without effect.
    bool rowBeforeHistory = false;  ///< Writes no object before the row.
    bool wrongNumber = false;       ///< Names the row's number instead of the change's.
    bool supersededIsLost = false;  ///< Looks only at the row's newest change.
};

} // namespace internal

/// @return the key of the history object that holds the given version of a list.
[[nodiscard]] std::string historyKey(const std::string &list, std::uint64_t number, const std::string &changeId);

/// One change of one list. Thread-compatible.
class ListEdit
{
public:
    /// @param list "plans" or "limits".
    /// @param base the row that the new text was made from.
    /// @param text checked by the caller.
    /// @param changeId unique among all changes.
    ListEdit(std::string list, ListBase base, std::string text, std::string changeId, internal::ListEditFaults faults = {});

    [[nodiscard]] ListEditStep start();
    [[nodiscard]] ListEditStep onReply(const TableReply &reply);

private:
    enum class Phase : std::uint8_t {
        History,
        Write,
        ReadBack,
        Done,
    };

    ListEditStep send(Phase phase);
    ListEditStep retry(Phase phase);
    ListEditStep end(ListEditOutcome outcome);
    ListEditStep onRow(const RowFound &found);
    ListEditStep conflict(const RowFound &found, const VersionedRow &row);

    std::string list_;
    ListBase base_;
    VersionedRow proposal_;
    std::string changeId_;
    internal::ListEditFaults faults_;
    Phase phase_ = Phase::History;
    int failures_ = 0;
    bool mayTakeEffect_ = false; // A write without a reply may have or get an effect.
};

} // namespace daisystream
