#pragma once

#include "daemon/peers/peermessage.h"
#include "daemon/status/metrics.h"
#include "daisystream/base/clock.h"
#include "daisystream/speed/slownesscollector.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <vector>

/// @file
/// Exchanges with the other VMs the slowness that endpoints of plain services report. `SlownessCollector` decides what is sent.
///
/// Example:
/// @code
///   SlownessShare share(io, self, clock, metrics, sender);
///   share.setHandler([&](const SlownessReport &report) { balancer.onSlowness(report); });
///   share.onRead({.endpoint = id, .percent = 250, .at = now});
/// @endcode

namespace daisystream
{

/// Thread-safe. Its lock has position 5 in the lock order. Messages are sent and handlers called after it is released.
class SlownessShare
{
public:
    /// Sends a message to another VM. Returns false if that VM is not connected.
    using Sender = std::function<bool(const VmId &, const PeerMessage &)>;

    SlownessShare(boost::asio::io_context &io, const VmId &self, const Clock &clock, Metrics &metrics, Sender sender);
    ~SlownessShare();

    SlownessShare(const SlownessShare &) = delete;
    SlownessShare &operator=(const SlownessShare &) = delete;

    /// Sets the function that announces reports to all other VMs. Call it before the first report.
    void setAnnouncer(std::function<void(const std::vector<SlownessReport> &)> announcer);

    /// Sets the handler of reports that other VMs read. Call it before the first message.
    void setHandler(std::function<void(const SlownessReport &)> handler);

    /// Replaces the set of live VMs, which includes this one.
    void setVms(const std::vector<VmId> &live);

    /// Removes all endpoints but these.
    void setEndpoints(const std::vector<EndpointId> &endpoints);

    /// Handles a slowness that this VM read in a response.
    void onRead(const SlownessReport &report);

    /// Handles reports that other VMs sent to this one as the collector; ignores other kinds of messages.
    void onMessage(const PeerMessage &message);

    /// Handles announcements of other VMs.
    void onNews(const std::vector<SlownessReport> &reports);

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream
