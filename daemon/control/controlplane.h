#pragma once

#include "daemon/cells/celldispatcher.h"
#include "daemon/cells/vmmonitor.h"
#include "daemon/control/platformadapter.h"
#include "daemon/control/settings.h"
#include "daemon/endpoints/loadpoller.h"
#include "daemon/endpoints/permitclient.h"
#include "daemon/endpoints/promptguard.h"
#include "daemon/endpoints/slownessshare.h"
#include "daemon/peers/peerlink.h"
#include "daemon/status/metrics.h"
#include "daemon/store/listtable.h"
#include "daemon/store/platformclient.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <optional>

/// @file
/// The control plane of a daemon: configuration lists, dispatching, links between VMs and the connection to the platform. The
/// frontend, which serves callers, is built on top of it.
///
/// Example:
/// @code
///   ControlPlane control(io, settings, clock, ControlOptions{.seed = 7, .incarnation = 1});
///   if (const auto error = control.start()) { ... }
/// @endcode

namespace daisystream
{

/// Options of the control plane that are not read from the settings file.
struct ControlOptions
{
    std::uint64_t seed = 1;        ///< Seed of the dispatcher's random numbers.
    std::uint64_t incarnation = 1; ///< Must be higher at every start of the daemon on the same VM.
    PeerLinkOptions peers{};
    VmMonitorOptions monitor{};
    LoadPollerOptions load{};
    PlatformAdapter adapter{};
};

/// Which endpoints are in service and were not before, and the reverse.
struct EndpointServiceChanges
{
    std::vector<EndpointId> ended{}; ///< They drain, have stated that they are leaving, or are missing in the store.
    std::vector<EndpointId> begun{}; ///< They are new, or are back after they were missing in the store.

    friend auto operator<=>(const EndpointServiceChanges &, const EndpointServiceChanges &) = default;
};

/// Owns the components of the control plane and connects them. Must be destroyed only after the event loop has stopped.
class ControlPlane
{
public:
    /// @param io the event loop; must outlive the object, as must `clock`.
    /// @param settings copied.
    ControlPlane(boost::asio::io_context &io, const Settings &settings, const Clock &clock, const ControlOptions &options);
    ~ControlPlane();

    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /// Sets the handler of changes of the endpoints in service. Must be called before `start`.
    void setEndpointHandler(std::function<void(const EndpointServiceChanges &)> handler);

    /// Must be called when an endpoint states in a response that it is leaving. At the first statement of each process of the endpoint,
    /// takes it out of service and tells the other VMs.
    void onEndpointLeaving(const EndpointId &endpoint);

    /// Sets the handlers of load polling. Must be called before `start`.
    /// @param mayAsk returns whether an engine may be asked for its load now.
    /// @param onResponse called with each response of an engine.
    void setLoadPollHandlers(std::function<bool(const EndpointId &)> mayAsk, std::function<void(const EndpointId &, const LoadPoller::Response &)> onResponse);

    /// Sets the handler for the number of VMs that the platform lists. Must be called before `start`.
    void setVmHandler(std::function<void(std::size_t count)> handler);

    /// Reads the list files, listens for other VMs and starts all timers.
    /// @return nothing, or the error that prevents the start.
    [[nodiscard]] std::optional<Error> start();

    /// Makes this VM refuse new work as not run and tells the other VMs that it is leaving.
    void beginShutdown();

    /// Stops all timers and closes all connections.
    void stop();

    [[nodiscard]] ListTable &lists();
    [[nodiscard]] CellDispatcher &dispatcher();
    [[nodiscard]] PeerLink &peers();
    [[nodiscard]] PlatformClient &platform();
    [[nodiscard]] VmMonitor &monitor();
    [[nodiscard]] PermitClient &permits();
    [[nodiscard]] PromptGuard &promptGuard();
    [[nodiscard]] SlownessShare &slowness();
    [[nodiscard]] Metrics &metrics();

    /// @return the state of this VM as JSON, which the command `daisystream status` shows.
    [[nodiscard]] nlohmann::json status() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
