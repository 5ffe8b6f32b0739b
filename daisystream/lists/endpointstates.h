#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"
#include "daisystream/lists/versionedrow.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// @file
/// Reads and changes the set of draining endpoints, which is stored in the table row `endpoints/state`. Draining endpoints get
/// no new work.
///
/// Example:
/// @code
///   EndpointStateEdit edit({{EndpointId("engine-3")}, true}, "c-18");
///   EndpointStateStep step = edit.start();
///   while (const auto *action = std::get_if<TableAction>(&step)) {
///       step = edit.onReply(platform.perform(*action));
///   }
///   EndpointStateList states;
///   states.offer(row.number, row.value);
///   states.isDraining(EndpointId("engine-3"));
/// @endcode

namespace daisystream
{

/// Key of the table row.
constexpr const char *kEndpointStateKey = "endpoints/state";

namespace internal
{

/// Defects that the schedule tests inject to check that they detect each one. All are off in production.
struct EndpointStateFaults
{
    bool acceptLower = false;       ///< Accepts versions that are not newer than the current one.
    bool lostMeansAccepted = false; ///< Treats a lost reply to the write as success.
    bool repeatAfterLoss = false;   ///< Writes again without checking whether the row already contains the change.
    bool overwrite = false;         ///< Writes only its own change, so that the changes of other operators are lost.
};

} // namespace internal

/// The newest version of the row that this VM has received. Thread-compatible.
class EndpointStateList
{
public:
    explicit EndpointStateList(internal::EndpointStateFaults faults = {});

    /// Replaces the current version if the given one is newer and valid.
    /// @param number the row's number.
    /// @param value the row's value, an encoded VersionedRow.
    /// @return whether the current version was replaced.
    bool offer(std::uint64_t number, const std::string &value);

    [[nodiscard]] bool isDraining(const EndpointId &endpoint) const;
    [[nodiscard]] std::vector<EndpointId> draining() const;
    /// @return the number of the current version; zero if there is none yet.
    [[nodiscard]] std::uint64_t number() const
    {
        return number_;
    }
    /// @return the row's value, to be sent to peers that request it.
    [[nodiscard]] const std::string &value() const
    {
        return value_;
    }

private:
    internal::EndpointStateFaults faults_;
    std::uint64_t number_ = 0;
    std::string value_;
    std::map<EndpointId, bool> draining_;
};

/// A change by an operator: endpoints to drain or to return to service.
struct EndpointStateChange
{
    std::vector<EndpointId> endpoints;
    bool drain = true; ///< Whether to drain the endpoints; false returns them to service.

    friend auto operator<=>(const EndpointStateChange &, const EndpointStateChange &) = default;
};

/// A number of the row at which it contains the change, or `PlatformUnavailable` (the change had no effect),
/// `OutcomeOfWriteUnknown` or `InvalidDocument` (the stored row cannot be read).
using EndpointStateOutcome = Result<std::uint64_t>;
/// The next request to send to the table, or the outcome.
using EndpointStateStep = std::variant<TableAction, EndpointStateOutcome>;

/// State machine that applies one change to the row. Concurrent changes of several operators are merged: after a conflict the
/// change is applied to the new version of the row. Thread-compatible.
class EndpointStateEdit
{
public:
    /// @param change the change to apply.
    /// @param changeId a unique id, by which the change is recognized in the row after a lost reply.
    /// @param faults defects to inject; none in production.
    EndpointStateEdit(EndpointStateChange change, std::string changeId, internal::EndpointStateFaults faults = {});

    /// @return the first request.
    [[nodiscard]] EndpointStateStep start();
    /// @param reply the reply to the last request.
    /// @return the next request or the outcome.
    [[nodiscard]] EndpointStateStep onReply(const TableReply &reply);

private:
    EndpointStateStep read();
    EndpointStateStep write(std::uint64_t number, const std::string &value);

    EndpointStateChange change_;
    std::string changeId_;
    internal::EndpointStateFaults faults_;
    bool writing_ = false;
    bool writeMayTakeEffect_ = false; // A write got no reply.
    int failures_ = 0;
};

} // namespace daisystream
