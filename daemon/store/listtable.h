#pragma once

#include "daisystream/lists/latestlistversion.h"
#include "daisystream/lists/limitlist.h"
#include "daisystream/lists/planlist.h"
#include "daisystream/routes/routetable.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Holds the shared documents of the deployment: plans, limits, endpoint states and sealing keys, or routes and
/// endpoints where the platform stores these. A document is replaced only by one with a later revision.
///
/// Example:
/// @code
///   if (const auto refusal = lists.admission()) {
///       return *refusal; // The request is refused without being run.
///   }
///   const auto plans = lists.plans();
/// @endcode

namespace daisystream
{

/// Identifies a shared document.
enum class DocumentKind : std::uint8_t {
    Plans = 0,
    Limits = 1,
    EndpointStates = 2,
    SealKeys = 3,
    Routes = 4,    ///< The configuration of a deployment that uses routes instead of plans and limits.
    Endpoints = 5, ///< The registered endpoints; see `encodeEndpoints`.
    Vms = 6,       ///< The registered VMs of this deployment; see `encodeVms`.
    Zones = 7,     ///< The zones that the operator has taken out of service; see `encodeZones`.
};

constexpr std::size_t kDocumentKinds = 8;

/// @return the table and key of the row that holds the document, for example "lists/plans".
[[nodiscard]] const char *toString(DocumentKind kind);

/// One version of a shared document.
struct SharedDocument
{
    ListVersion version;
    std::string text;
};

/// Holds the document versions in force at this VM and decides whether the VM may accept new work. Thread-safe.
class ListTable
{
public:
    using ContactCheck = std::function<std::optional<Error>()>;
    using ChangeHandler = std::function<void(DocumentKind)>;
    using RouteParser = std::function<Result<RouteTable>(std::string_view)>;

    /// @param parseRoutes parses documents of the kind `Routes`. If null, such documents are stored without being parsed.
    explicit ListTable(RouteParser parseRoutes = nullptr);
    ~ListTable();

    /// @return the plans in force, or null if no plans have been received yet.
    [[nodiscard]] std::shared_ptr<const PlanList> plans() const;

    /// @return the limits in force, or null if no limits have been received yet.
    [[nodiscard]] std::shared_ptr<const LimitList> limits() const;

    /// @return the routes in force, or null if no routes have been received yet.
    [[nodiscard]] std::shared_ptr<const RouteTable> routes() const;

    /// @return the error (`NoLists` or `Isolated`) if this VM cannot confirm that its routes are in force, otherwise nothing.
    ///     Unlike `admission`, this check also admits requests during a shutdown.
    [[nodiscard]] std::optional<Error> routeAdmission() const;

    /// @return the error (`Stopping`, `NoLists` or `Isolated`) with which new work must be refused without being run, or nothing
    ///     if the VM may accept it.
    [[nodiscard]] std::optional<Error> admission() const;

    /// @return the document in force with its version; version number 0 means that no document has been received.
    [[nodiscard]] SharedDocument document(DocumentKind kind) const;

    /// Puts a document in force if its revision is later than the current one and its text is valid.
    /// @return true if the offered document was put in force; false also for a later revision of the routes in force, which then has the
    ///     same text and takes the place of the current one without further effect.
    bool offer(DocumentKind kind, const ListVersion &version, const std::string &text);

    /// @return the revisions in force, indexed by `DocumentKind`.
    [[nodiscard]] std::vector<StoreRevision> versions() const;

    /// Adds a handler that runs after each change, on the thread that offered it and without locks.
    void onChange(ChangeHandler handler);

    /// Marks the VM as shutting down: from now on `admission` returns `Stopping`.
    void setStopping();

    [[nodiscard]] bool isStopping() const;

    /// Sets the check that decides whether the VM can still confirm that its documents are in force. The check runs at each
    /// call of `admission` and `routeAdmission`, without locks, so that a process that was paused does not admit work based
    /// on an outdated result.
    void setContactCheck(ContactCheck check);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
