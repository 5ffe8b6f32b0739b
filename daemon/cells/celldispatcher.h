#pragma once

#include "daemon/cells/dispatcher.h"
#include "daemon/peers/peermessage.h"
#include "daemon/status/metrics.h"
#include "daemon/store/listtable.h"
#include "daisystream/base/clock.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// @file
/// Implements `Dispatcher` by cells, which are groups of engines of one model. Each cell has one VM as its owner, which schedules its
/// requests. This VM asks the owner of a request's cell for an endpoint, and is itself the owner of some cells. See docs/design.md 2.3.
///
/// Example:
/// @code
///   CellDispatcher dispatcher(io, settings, clock, metrics, send, 7);
///   dispatcher.setVms({VmId("vm1"), VmId("vm2")}, {});
///   dispatcher.ask(work, handler);
/// @endcode

namespace daisystream
{

/// Acts as entry VM for the requests of this VM's callers and as owner of this VM's cells. Thread-safe. Messages are sent and callbacks
/// called only after its lock is released; the lock has position 4 in the lock order.
class CellDispatcher : public Dispatcher
{
public:
    /// Sends a message to another VM. Returns false if that VM is not connected.
    using Sender = std::function<bool(const VmId &, const PeerMessage &)>;

    /// @param io runs the timer and the callbacks.
    /// @param sender sends messages to other VMs; called without locks.
    /// @param seed of the random generators that choose cells and that the schedulers use.
    CellDispatcher(boost::asio::io_context &io, const Settings &settings, const Clock &clock, Metrics &metrics, Sender sender, std::uint64_t seed);
    ~CellDispatcher() override;

    void ask(const WorkRequest &work, AskHandler handler) override;
    void setCancelHandler(CancelHandler handler) override;
    void withdraw(const RequestId &request) override;
    void onResumed(const WorkRequest &work, const EndpointId &endpoint, std::uint32_t tokens) override;
    void onFirstToken(const RequestId &request, std::uint32_t slownessPercent = 0, Duration slownessAge = {}) override;
    void onProgress(const RequestId &request, std::uint32_t tokens) override;
    void onFinished(const RequestId &request, std::uint32_t tokens, FinishReason reason) override;
    [[nodiscard]] std::vector<EndpointSettings> serviceEndpoints(const ServiceId &service) const override;
    [[nodiscard]] std::vector<EndpointSettings> enginesFor(const ModelId &model) const override;
    [[nodiscard]] std::optional<EndpointSettings> findEndpoint(const EndpointId &endpoint) const override;

    /// @return whether the endpoint is known and accepts new requests.
    [[nodiscard]] bool isInService(const EndpointId &endpoint) const;

    /// @return whether the endpoint is unknown or about to end, so that running answers should be moved.
    [[nodiscard]] bool isLeaving(const EndpointId &endpoint) const;

    /// @return whether the zone of the endpoint is out of service.
    [[nodiscard]] bool isWithdrawn(const EndpointId &endpoint) const;

    /// Sets the check that runs before an endpoint is used for a new request; see `VmMonitor::assignment`.
    /// @param check returns nothing if the endpoint may be used, else the error for the caller. Called without locks.
    void setAssignmentCheck(std::function<std::optional<Error>()> check);

    /// Sets the function that asks an engine for its load when the scheduler needs to know whether the engine has recovered. Without
    /// it, every engine must be polled periodically.
    /// @param handler starts one request for the load of the given engine; the report is passed to `onLoadReport`.
    void setProbeHandler(std::function<void(const EndpointSettings &)> handler);

    /// Replaces the sets of live and dead VMs. Cells get new owners accordingly.
    /// @param live VMs that can own cells, including this one.
    /// @param dead VMs whose requests are removed from the cells of this VM.
    void setVms(const std::vector<VmId> &live, const std::vector<VmId> &dead);

    /// Replaces the list of endpoints. Initially, it is the list in the settings.
    void setEndpoints(const std::vector<EndpointSettings> &endpoints);

    /// Replaces the set of endpoints that operators are draining. They get no new requests.
    void setDraining(const std::vector<EndpointId> &endpoints);

    /// Replaces the set of endpoints whose zone is out of service. They get no new requests, but they are not about to end, so that
    /// running answers stay there.
    void setWithdrawn(const std::vector<EndpointId> &endpoints);

    /// Replaces the set of endpoints that the platform is about to reclaim. They get no new requests.
    void setLeaving(const std::vector<EndpointId> &endpoints);

    /// Handles a message between an entry VM and the owner of a cell; ignores the content of other kinds of messages. If the sending
    /// process has replaced another one of its VM, ends what this VM holds for the former process.
    /// @param incarnation of the sending process.
    void onMessage(const VmId &from, std::uint64_t incarnation, const PeerMessage &message);

    /// Sets whether a VM handles `CheckMessage`. Those of earlier builds do not.
    void setAnswersChecks(const VmId &vm, bool answersChecks);

    /// Passes an engine's load report to the scheduler of its cell; ignored if this VM has none.
    void onLoadReport(const LoadReport &report);

    /// Passes a change of an engine's prefix cache to the scheduler of its cell; ignored if this VM has none.
    void onCacheEvent(const CacheEvent &event);

    /// @return the engines of all cells that this VM schedules, whose load reports it therefore needs.
    [[nodiscard]] std::vector<EndpointSettings> enginesToPoll() const;

    /// @return the engines to which requests of this VM's callers are assigned.
    [[nodiscard]] std::vector<EndpointId> enginesInUse() const;

    /// @return the load of each cell that this VM owns.
    [[nodiscard]] std::vector<CellDigest> digests() const;

    /// Stores the load of a cell.
    /// @param owner the VM that reported it; the report is ignored unless this VM is the cell's owner.
    void onDigest(const VmId &owner, const CellDigest &digest);

    /// Handles expired timeouts, sends progress reports, checks requests without news and schedules queued requests. A timer calls it; tests call it after they
    /// advance their clock.
    void advance();

    /// @return the number of requests of this VM's callers that have not ended, assigned or not.
    [[nodiscard]] std::size_t running() const;

    /// @return an object with the cells and their owners, the states of the endpoints, and the load by rank and team.
    [[nodiscard]] nlohmann::json status() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream
