#pragma once

#include "daemon/cells/celldispatcher.h"
#include "daemon/peers/peerlink.h"
#include "daemon/status/metrics.h"
#include "daemon/store/listtable.h"
#include "daemon/store/platformclient.h"
#include "daisystream/base/clock.h"
#include "daisystream/lists/freshness.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

/// @file
/// Tracks the state of the other VMs of the fleet by heartbeats, keeps the shared documents up to date, and records when the platform was
/// last reached.
///
/// Example:
/// @code
///   VmMonitor monitor(io, settings, {lists, platform, peers, dispatcher, metrics, clock}, VmMonitorOptions{});
///   monitor.start();
/// @endcode

namespace daisystream
{

struct VmMonitorOptions
{
    std::chrono::milliseconds heartbeatEvery{500};  ///< Interval between heartbeats.
    std::chrono::milliseconds pollEvery{2000};      ///< Interval between polls of the platform.
    std::chrono::milliseconds sealKeysEvery{10000}; ///< Interval between polls of the sealing keys, which change rarely.
    bool polls = true;                              ///< Whether to poll the platform. If false, a `StoreWatch` passes its contents to the monitor.
    /// After which times without contact this VM refuses requests. If nothing, the values depend on the size of the fleet.
    std::optional<FreshnessOptions> freshness{};
};

/// Handlers of messages that other VMs send to the whole fleet. Called on a thread of the event loop without locks.
struct NewsHandlers
{
    /// Handles changes of the endpoints.
    /// @param onGap must be called if the changes follow a version that this VM does not have; it requests the whole document.
    std::function<void(const EndpointChanges &, std::function<void()> onGap)> onChanges{};
    /// Handles the announcement that an endpoint will shut down. Called once for each endpoint.
    std::function<void(const EndpointId &)> onLeaving{};
    /// Handles the request limits that endpoints stated to other VMs.
    std::function<void(const std::vector<LimitStatement> &)> onLimits{};
    /// Handles the slowness that endpoints reported to other VMs.
    std::function<void(const std::vector<SlownessReport> &)> onSlowness{};
    /// Handles what other VMs saw of prompt parts that may crash engines.
    std::function<void(const QuarantineNews &)> onQuarantine{};
};

/// Objects that the monitor uses. All of them must outlive the monitor.
struct VmMonitorParts
{
    ListTable &lists;
    PlatformClient &platform;
    PeerLink &peers;
    CellDispatcher &dispatcher;
    Metrics &metrics;
    const Clock &clock;
};

/// Sends and receives heartbeats, fetches newer documents from other VMs, and informs the dispatcher which VMs are live. Thread-safe; its
/// lock has position 2 in the lock order.
class VmMonitor
{
public:
    VmMonitor(boost::asio::io_context &io, const Settings &settings, const VmMonitorParts &parts, VmMonitorOptions options);
    ~VmMonitor();

    /// Starts the heartbeats and the polls of the platform.
    void start();
    /// Stops them after their current interval. The destructor does the same.
    void stop();

    /// Informs the other VMs that this one accepts no new requests.
    void setLeaving();

    /// Handles heartbeats, documents, requests for documents and messages to the whole fleet; ignores other kinds of messages.
    /// @param incarnation of the sending process.
    void onMessage(const VmId &from, std::uint64_t incarnation, const PeerMessage &message);

    /// Replaces the list of VMs by that of the platform.
    void onVms(const std::vector<ListedVm> &vms);

    /// Records contact with the platform.
    /// @param asOf time at which the data that the platform returned was in force.
    void onStoreContact(TimePoint asOf);

    /// Sets the handler of the live VMs, which include this one. It is called at once and at each change, under the lock that
    /// orders the changes only. Call it before `start`.
    void setLiveHandler(std::function<void(const std::vector<VmId> &)> handler);

    /// Sets the function that determines whether this VM is cut off from the platform. Call it before `start`.
    /// @param source returns true if this VM does not reach the platform.
    void setCutOffSource(std::function<bool()> source);

    /// @return whether this VM is one of the few that read frequently changing data from the platform on behalf of the fleet. In a small
    ///     fleet, every VM is.
    [[nodiscard]] bool isPlatformWatcher() const;

    /// @return the number of known VMs, live or not, including this one.
    [[nodiscard]] std::size_t knownVms() const;

    /// Handles another VM's confirmation of a heartbeat.
    /// @param sentAt when this VM sent the heartbeat.
    /// @param view versions and platform contact of the other VM at the time of the confirmation.
    void onAck(const VmId &from, TimePoint sentAt, const PeerView &view);

    /// @return the versions of this VM's documents and the age of its contact with the platform.
    [[nodiscard]] PeerView view() const;

    /// Informs the other VMs immediately that this one has a newer version of a document.
    void announceDocument(DocumentKind kind);

    /// Sends a message to the whole fleet.
    /// @param topic selects the VMs that forward the message, so that the load of forwarding is shared between VMs.
    /// @param relays number of VMs in each other zone that forward the message, if it differs from the usual one.
    void broadcast(NewsMessage news, const std::string &topic, std::optional<std::size_t> relays = {});

    /// Sets the handlers of messages that other VMs send to the whole fleet. Call it before `start`.
    void setNewsHandlers(NewsHandlers handlers);

    /// @return nothing if an admitted request may be assigned to an endpoint; else `Isolated`, since the endpoint may be draining without
    ///     this VM's knowledge.
    [[nodiscard]] std::optional<Error> assignment() const;

    /// Sends heartbeats and updates the state of the other VMs. A timer calls it at every interval; tests can call it as well.
    void sendHeartbeats();

    /// @return an array of the known VMs with their state, incarnation and document versions.
    [[nodiscard]] nlohmann::json status() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream
