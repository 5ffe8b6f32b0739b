#pragma once

#include "daisystream/base/result.h"
#include "daisystream/lists/latestlistversion.h"
#include "daisystream/lists/versionedrow.h"

#include <string>
#include <variant>
#include <vector>

/// @file
/// Replaces one list in the platform's table. A change is reported as accepted only if its conditional write is known to have
/// taken effect. After a lost reply the row is read back to find out.
///
/// Example:
/// @code
///   ListEdit edit("plans", base, newText, "c-17");
///   ListEditStep step = edit.start();
///   while (const auto *action = std::get_if<TableAction>(&step)) {
///       step = edit.onReply(platform.perform(*action)); // Wait briefly after TableNoReply or TableRefused.
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
/// @return the differences, sorted by path. A text that is not JSON is treated as one field with an empty path.
[[nodiscard]] std::vector<FieldDifference> differencesBetween(std::string_view before, std::string_view after);

/// The version of a list's row that an operator's change is based on.
struct ListBase
{
    std::uint64_t number = 0; ///< The row's number; zero if there is no row yet.
    VersionedRow row;
};

/// The change took effect.
struct ListAccepted
{
    ListVersion version;
    bool superseded = false; ///< Whether a later change has replaced this version since.
};

/// Another change of the same base version took effect first; this change will never take effect.
struct ListConflict
{
    ListVersion winner;                        ///< The current version, as read back.
    std::string text;                          ///< The text of the current version.
    std::vector<FieldDifference> fromBase;     ///< What the other changes changed in the base version.
    std::vector<FieldDifference> fromProposal; ///< How the current version differs from the rejected text.
};

/// The outcome of a change. The error is `PlatformUnavailable` (the change has no effect, now or later),
/// `OutcomeOfWriteUnknown` or `InvalidDocument` (the stored row cannot be read).
using ListEditOutcome = std::variant<ListAccepted, ListConflict, Error>;
/// The next request to send to the platform, or the outcome.
using ListEditStep = std::variant<TableAction, ListEditOutcome>;

namespace internal
{

/// Defects that the schedule tests inject to check that they detect each one. All are off in production.
struct ListEditFaults
{
    bool unconditional = false;     ///< Overwrites a row that has changed since the base version.
    bool lostMeansAccepted = false; ///< Treats a lost reply to the write as success.
    bool lostMeansRefused = false;  ///< Treats a lost reply to the write as a failure without effect.
    bool rowBeforeHistory = false;  ///< Writes the row without writing the history object first.
    bool wrongNumber = false;       ///< Reports the row's current number instead of the number that the change produced.
    bool supersededIsLost = false;  ///< Looks for the change only as the newest one in the row.
};

} // namespace internal

/// @return the key of the object in the object store that keeps the given version of a list.
[[nodiscard]] std::string historyKey(const std::string &list, std::uint64_t number, const std::string &changeId);

/// State machine that makes one change of one list. Thread-compatible.
class ListEdit
{
public:
    /// @param list the name of the list, "plans" or "limits".
    /// @param base the version that the new text is based on.
    /// @param text the new text, which the caller has validated.
    /// @param changeId a unique id, by which the change is recognized in the row after a lost reply.
    /// @param faults defects to inject; none in production.
    ListEdit(std::string list, ListBase base, std::string text, std::string changeId, internal::ListEditFaults faults = {});

    /// @return the first request.
    [[nodiscard]] ListEditStep start();
    /// @param reply the reply to the last request.
    /// @return the next request or the outcome.
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
    bool writeMayTakeEffect_ = false; // A write got no reply, so it may have taken effect or may still do so.
};

} // namespace daisystream
