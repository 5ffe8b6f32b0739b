#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

/// @file
/// Stand-in for the platform: tables with conditional writes, objects, a lagging list of VMs, weights at a limited rate.
/// `POST /faults` switches faults: {"outage": true, "slowMs": 500, "loseReplies": 1, "staleMs": 3000, "vmLagMs": 5000}.
/// `POST /vms` replaces the list of VMs: [{"vm": "vm1", "zone": "z1", "peerAddress": "127.0.0.1:7001", "leaving": false}].
///
/// Example:
/// @code
///   boost::asio::io_context io;
///   PlatformStandIn platform(io, 0); // any free port
///   io.run();
/// @endcode

namespace daisystream::standins
{

/// The platform within a process. The event loop must run on one thread.
class PlatformStandIn
{
public:
    /// Faults, all off by default.
    struct Faults
    {
        bool outage = false;               ///< Connections are closed without a reply.
        std::chrono::milliseconds slow{};  ///< Added before each reply.
        unsigned loseReplies = 0;          ///< So many writes take effect but their connection closes without a reply.
        unsigned dropWrites = 0;           ///< So many writes are lost before they take effect, also without a reply.
        std::chrono::milliseconds stale{}; ///< Reads without a condition show the state of this long ago.
        std::chrono::milliseconds vmLag{}; ///< The list of VMs shows the state of this long ago.
    };

    /// @param port to listen on at 127.0.0.1, 0 for any free one.
    PlatformStandIn(boost::asio::io_context &io, std::uint16_t port);
    ~PlatformStandIn();

    /// @return the port in use.
    [[nodiscard]] std::uint16_t port() const;

    /// Replaces the faults. Call it on the event loop's thread or while the loop does not run.
    void setFaults(const Faults &faults);

    /// Replaces the list of VMs, as `POST /vms` does.
    void setVms(const std::string &text);

    /// @return requests served so far, by path prefix, such as "GET /v1/tables/lists/rows/plans".
    [[nodiscard]] std::uint64_t served(const std::string &prefix) const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream::standins
