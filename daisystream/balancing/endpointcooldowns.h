#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <map>
#include <optional>
#include <vector>

/// @file
/// Tracks endpoints that refused a request of this VM and stated after how long the VM may send them another one.
///
/// Such an endpoint is healthy and may serve other VMs; it limits the requests of this VM only. Until the stated time is
/// over, no component of this VM sends it a request.
///
/// Example:
/// @code
///   EndpointCooldowns cooldowns;
///   cooldowns.startCooldown(endpoint, std::chrono::seconds(2), now);
///   if (!cooldowns.isInCooldown(endpoint, now)) { send(); }
/// @endcode

namespace daisystream
{

namespace internal
{

/// Faults that the mutation tests of the schedules inject and must detect. All are off in production.
struct EndpointCooldownFaults
{
    bool shortens = false;  ///< A later refusal with an earlier end shortens the waiting time.
    bool endsEarly = false; ///< The waiting time ends after half of the stated time.
    bool isShared = false;  ///< The waiting time of one endpoint applies to all endpoints.
    bool neverEnds = false; ///< The waiting time never ends.
};

} // namespace internal

/// Waiting times of the endpoints that refused requests of this VM. Thread-compatible.
class EndpointCooldowns
{
public:
    explicit EndpointCooldowns(internal::EndpointCooldownFaults faults = {});

    /// Handles a refusal that states a waiting time. An end that was stated before is only replaced by a later one.
    /// @param wait time from `now` during which the endpoint accepts no request of this VM.
    void startCooldown(const EndpointId &endpoint, Duration wait, TimePoint now);

    /// @return whether no request may be sent to the endpoint now.
    [[nodiscard]] bool isInCooldown(const EndpointId &endpoint, TimePoint now) const;

    /// @return when the endpoint accepts requests again; nothing if it accepts them now.
    [[nodiscard]] std::optional<TimePoint> end(const EndpointId &endpoint, TimePoint now) const;

    /// @return the endpoints to which no request may be sent now, ordered by id.
    [[nodiscard]] std::vector<EndpointId> endpointsInCooldown(TimePoint now) const;

private:
    std::map<EndpointId, TimePoint> ends_;
    internal::EndpointCooldownFaults faults_;
};

} // namespace daisystream
