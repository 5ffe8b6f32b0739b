#pragma once

#include "daemon/peers/peermessage.h"
#include "daemon/status/metrics.h"
#include "daisystream/base/clock.h"
#include "daisystream/base/result.h"
#include "daisystream/limits/endpointpermits.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

/// @file
/// Keeps requests within the limits that endpoints state for all VMs together: records the limits, tells them to the other VMs,
/// and obtains a permit from the issuer of an endpoint before a request is sent there.
///
/// Example:
/// @code
///   if (const auto denied = permits.acquire({.endpoint = id, .attempt = a, .request = r}, yield)) { tryAnother(); }
///   ...
///   permits.onAnswer(id, head.requestsPerSecond, head.isVerified, sentAt);
/// @endcode

namespace daisystream
{

/// A request waits for a permit for at most this part of its response-time objective.
constexpr int kMaxPermitWaitDivisor = 4;

/// A permit that was not used for so long must not add to those of a later time.
constexpr std::chrono::milliseconds kPermitLifetime{300};

/// A request that is to be sent to one of several endpoints, for waiting in line.
struct LineRequest
{
    std::vector<EndpointId> endpoints; ///< The candidates.
    std::uint64_t attempt = 0;         ///< As PermitRequest::attempt.
    std::uint64_t request = 0;         ///< As PermitRequest::request.
    bool isUrgent = false;
    std::chrono::milliseconds maxWait{0};  ///< How long the request may wait for a permit here.
    std::chrono::milliseconds patience{0}; ///< How long its caller can wait before it comes back.
};

/// Thread-safe. Its lock has position 5 in the lock order. Messages are sent and handlers called after it is released.
class PermitClient
{
public:
    /// Sends a message to another VM. Returns false if that VM is not connected.
    using Sender = std::function<bool(const VmId &, const PeerMessage &)>;

    /// @param sender called without locks.
    PermitClient(boost::asio::io_context &io, const VmId &self, const Clock &clock, Metrics &metrics, Sender sender);
    ~PermitClient();

    PermitClient(const PermitClient &) = delete;
    PermitClient &operator=(const PermitClient &) = delete;

    /// Sets the function that tells limits to all other VMs. Call it before the first request.
    void setAnnouncer(std::function<void(const std::vector<LimitStatement> &)> announcer);

    /// Starts to repeat limits to the other VMs from time to time.
    void start();

    /// Replaces the set of live VMs, which includes this one.
    void setVms(const std::vector<VmId> &live);

    /// Handles another VM's statement whether it issues permits. Only VMs that have stated it are asked; during an upgrade, VMs of
    /// an older build are none of them.
    void onIssuing(const VmId &vm, bool issuesPermits);

    /// Forgets the limits of all other endpoints.
    void setEndpoints(const std::vector<EndpointId> &endpoints);

    /// Replaces the limits of cold endpoints, in requests a second from all VMs together. They hold beside the limits that
    /// endpoints state; the smaller one binds.
    void setColdLimits(const std::map<EndpointId, double> &limits);

    /// Handles what endpoints stated to other VMs.
    void onStatements(const std::vector<LimitStatement> &statements);

    /// Handles requests for permits and replies; ignores other kinds of messages.
    void onMessage(const VmId &from, const PeerMessage &message);

    /// Handles the header of an endpoint's response.
    /// @param perSecond the limit that it states, if any.
    /// @param isVerified whether the response is certainly the endpoint's own; only such a response ends a limit.
    /// @param sentAt when the request was sent.
    void onAnswer(const EndpointId &endpoint, std::optional<double> perSecond, bool isVerified, TimePoint sentAt);

    /// @return the requests a second that the endpoint takes from all VMs together; nothing if it states no limit.
    [[nodiscard]] std::optional<double> limit(const EndpointId &endpoint) const;

    /// @return whether a request would get no permit at once, as far as this VM knows without asking.
    [[nodiscard]] bool isFull(const EndpointId &endpoint, bool isUrgent) const;

    /// @return the endpoints for which isFull() is true, sorted by id.
    [[nodiscard]] std::vector<EndpointId> fullEndpoints(bool isUrgent) const;

    /// Obtains a permit. Suspends the calling coroutine if the issuer is another VM.
    /// @return nothing if the request may be sent now; else until when it may not.
    [[nodiscard]] std::optional<PermitDenied> acquire(const PermitRequest &request, boost::asio::yield_context yield);

    /// Obtains a permit of one of several endpoints none of which takes a request at once. Suspends the calling coroutine for up
    /// to `maxWait`, if it gets a permit within that time.
    /// @return the endpoint for which there is a permit; or `EndpointRefused` with the time at which the caller can come back.
    [[nodiscard]] Result<EndpointId> waitInLine(const LineRequest &line, boost::asio::yield_context yield);

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream
