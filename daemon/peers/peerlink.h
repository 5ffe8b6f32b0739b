#pragma once

#include "daemon/control/settings.h"
#include "daemon/peers/orderforwarding.h"
#include "daemon/peers/peermessage.h"
#include "daemon/status/metrics.h"
#include "daisystream/base/clock.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

/// @file
/// TCP connections between VMs, one for each pair and direction. Messages are packed and preceded by their length.
///
/// Example:
/// @code
///   PeerLink link(io, identity, clock, metrics, PeerLinkOptions{});
///   link.setMessageHandler([](const VmId &from, const PeerMessage &message) { ... });
///   link.start(settings.listenPeers, settings.peerTls);
///   link.setPeers(settings.peers);
///   link.send(VmId("vm2"), message);
/// @endcode

namespace daisystream
{

/// Who this VM is, towards others.
struct PeerIdentity
{
    VmId vm;
    ZoneId zone;
    std::uint64_t incarnation = 0;
};

struct PeerLinkOptions
{
    std::chrono::milliseconds silence{1500};    ///< Without an acknowledgement, an open connection counts as dead.
    std::chrono::milliseconds checkEvery{250};  ///< Between checks for silence and between attempts to connect.
    std::chrono::milliseconds pingEvery{4000};  ///< A connection without heartbeats is probed this often.
    std::chrono::milliseconds orderTime{30000}; ///< For the reply to a forwarded order.
    std::uint32_t protocolVersion = kPeerProtocolVersion;
};

/// Links to all other VMs. Thread-safe.
class PeerLink : public OrderForwarding
{
public:
    using MessageHandler = std::function<void(const VmId &from, std::uint64_t incarnation, const PeerMessage &)>;

    using ViewSource = std::function<PeerView()>;
    using AckHandler = std::function<void(const VmId &, TimePoint sentAt, const PeerView &view)>;

    PeerLink(boost::asio::io_context &io, const PeerIdentity &identity, const Clock &clock, Metrics &metrics, PeerLinkOptions options);
    ~PeerLink() override;

    /// Sets who receives every message that does not concern the connection itself or forwarded orders. Set it before
    /// `start`. It runs on a thread of the event loop without locks.
    void setMessageHandler(MessageHandler handler);

    /// Sets who learns that a VM has confirmed a heartbeat. Set it before `start`.
    /// @param handler gets the VM, the time at which this VM sent the confirmed heartbeat, and the view that the other VM
    ///     had when it confirmed.
    void setAckHandler(AckHandler handler);

    /// Sets where the view comes from that this VM states when it confirms. Set it before `start`.
    void setViewSource(ViewSource source);

    /// Listens for other VMs.
    /// @param listen nothing: this VM does not listen.
    /// @param tls nothing: plain TCP in both directions.
    /// @return nothing, or why the address or the TLS files cannot be used.
    [[nodiscard]] std::optional<Error> start(const std::optional<SocketAddress> &listen, const std::optional<TlsSettings> &tls);

    /// @return the port on which other VMs reach this one.
    [[nodiscard]] std::uint16_t port() const;

    /// Replaces the set of VMs to connect to.
    void setPeers(const std::vector<PeerSettings> &peers);

    /// @return the VMs to connect to.
    [[nodiscard]] std::vector<PeerSettings> peers() const;

    /// Sends a message.
    /// @return false if the VM is unknown or not connected; true does not prove that it arrives.
    bool send(const VmId &to, const PeerMessage &message);

    /// Closes all connections and stops listening.
    void stop();

    [[nodiscard]] const VmId &self() const override;
    [[nodiscard]] std::uint64_t incarnation() const override;
    void forwardOrder(const VmId &issuer, std::uint64_t incarnation, const ForwardedOrder &order, ReplyHandler handler) override;
    void setOrderHandler(OrderHandler handler) override;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream
