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
/// Which endpoints are draining, as the row `endpoints/state` says.
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

constexpr const char *kEndpointStateKey = "endpoints/state";

namespace internal
{

/// Deliberate breaks for the schedules, which must notice each of them. None in the product.
struct EndpointStateFaults
{
    bool acceptLower = false;       ///< Takes whatever version comes last.
    bool lostMeansAccepted = false; ///< Takes a lost reply for an acceptance.
    bool repeatAfterLoss = false;   ///< Does not look for its change before it writes again.
    bool overwrite = false;         ///< Writes only its own change, so that others' changes are reverted.
};

} // namespace internal

/// The newest version of the row that this VM has seen. Thread-compatible.
class EndpointStateList
{
public:
    explicit EndpointStateList(internal::EndpointStateFaults faults = {});

    /// @return whether the version was higher than the current one, could be read and was taken.
    bool offer(std::uint64_t number, const std::string &value);

    [[nodiscard]] bool isDraining(const EndpointId &endpoint) const;
    [[nodiscard]] std::vector<EndpointId> draining() const;
    /// @return the row's number, zero before the first version.
    [[nodiscard]] std::uint64_t number() const
    {
        return number_;
    }
    /// @return the row's value, for peers that ask for it.
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

/// Endpoints to drain or to restore.
struct EndpointStateChange
{
    std::vector<EndpointId> endpoints;
    bool drain = true; ///< False: restore.

    friend auto operator<=>(const EndpointStateChange &, const EndpointStateChange &) = default;
};

/// The number of the row with the change, or `PlatformUnavailable` (no effect) or `OutcomeOfWriteUnknown`.
using EndpointStateOutcome = Result<std::uint64_t>;
using EndpointStateStep = std::variant<TableAction, EndpointStateOutcome>;

/// Applies one change to the row. Changes of different operators do not exclude each other: after a conflict the change is
/// applied to the new row. Thread-compatible.
class EndpointStateEdit
{
public:
    EndpointStateEdit(EndpointStateChange change, std::string changeId, internal::EndpointStateFaults faults = {});

    [[nodiscard]] EndpointStateStep start();
    [[nodiscard]] EndpointStateStep onReply(const TableReply &reply);

private:
    EndpointStateStep read();
    EndpointStateStep write(std::uint64_t number, const std::string &value);

    EndpointStateChange change_;
    std::string changeId_;
    internal::EndpointStateFaults faults_;
    bool writing_ = false;
    bool mayTakeEffect_ = false;
    int failures_ = 0;
};

} // namespace daisystream
