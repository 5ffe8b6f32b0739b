#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/random.h"
#include "daisystream/speed/speedtable.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// @file
/// Chooses an endpoint of a service without engines for each call: the one where it is expected to complete first, of those that
/// are not ejected for failures. Each VM decides independently, based on its own calls and on the load and slowness that endpoints
/// report in their responses to this VM and to others.
///
/// Example:
/// @code
///   if (const auto chosen = balancer.choose(candidates, tried, random, now)) {
///       balancer.onStarted(*chosen, now);
///       balancer.onEnded(*chosen, CallResult::Answered, now);
///   }
/// @endcode

namespace daisystream
{

/// An endpoint that a call may be sent to.
struct ServiceCandidate
{
    EndpointId id;
    std::uint32_t slots = 1; ///< Calls that the endpoint runs at the same time.
    bool isNear = false;     ///< Whether it is in the zone of this VM.
    bool isCold = false;     ///< Whether it has started recently and is still slow.

    friend auto operator<=>(const ServiceCandidate &, const ServiceCandidate &) = default;
};

/// Load that an endpoint reported in a response; includes the calls of all VMs.
struct ReportedLoad
{
    std::uint32_t running = 0;                      ///< Calls that run.
    std::uint32_t waiting = 0;                      ///< Calls that wait for a slot.
    std::uint32_t slots = 0;                        ///< Calls that can run at the same time.
    std::optional<std::uint32_t> slownessPercent{}; ///< How long work takes there at present, in percent of the usual; not set if not stated.

    friend auto operator<=>(const ReportedLoad &, const ReportedLoad &) = default;
};

/// How a call to an endpoint ended.
enum class CallResult : std::uint8_t {
    Answered,   ///< The endpoint responded, with any status that does not count as a failure of the endpoint.
    Refused,    ///< The endpoint stated that it did not run the call.
    Failed,     ///< The endpoint sent no usable response.
    CallerLeft, ///< The caller disconnected first, so the result says nothing about the endpoint.
};

struct ServiceBalancerOptions
{
    double failureGain = 0.2;                     ///< Weight of the latest call in the exponential moving average of an endpoint's failures.
    double ejectionThreshold = 0.35;              ///< Failure rate above which an endpoint is ejected, if it is also more than twice the average of the others.
    std::chrono::milliseconds ejectionTime{1500}; ///< Time until an ejected endpoint gets a trial call; doubles after each failed trial.
    std::chrono::milliseconds maxEjectionTime{8000};     ///< Upper bound of the doubled time.
    std::chrono::milliseconds reportedLoadLifetime{500}; ///< Time for which a reported load is used.
    std::chrono::milliseconds failureHalfLife{2000};     ///< Half-life of the failure rate while the endpoint gets no calls.
    std::chrono::milliseconds averageLoadHalfLife{2000}; ///< Half-life of the average reported load while no load is reported.
    bool usesSpeed = true;                               ///< Whether endpoints are compared by speed; false is for comparison in tests.
    SpeedTableOptions speed{};                           ///< How speeds are estimated.

    friend auto operator<=>(const ServiceBalancerOptions &, const ServiceBalancerOptions &) = default;
};

/// Load and failures of the endpoints, as one VM sees them. Thread-compatible.
class ServiceBalancer
{
public:
    explicit ServiceBalancer(ServiceBalancerOptions options = {});

    /// Chooses an endpoint for a call. If an ejected candidate is due for a trial call, it is chosen and its next trial is
    /// postponed.
    /// @param tried endpoints to which this call was sent before; none of them is chosen.
    /// @return the endpoint, or nothing if no candidate is left. If every candidate is ejected, the best of them is chosen,
    ///     so that a service whose endpoints all fail still gets calls.
    [[nodiscard]] std::optional<EndpointId>
    choose(const std::vector<ServiceCandidate> &candidates, const std::vector<EndpointId> &tried, Random &random, TimePoint now);

    void onStarted(const EndpointId &endpoint, TimePoint now);

    /// Updates the failure rate of the endpoint, and ejects it or ends its ejection. `CallerLeft` and `Refused` change neither.
    void onEnded(const EndpointId &endpoint, CallResult result, TimePoint now);

    /// Handles a load report of an endpoint. It replaces the earlier one.
    void onReportedLoad(const EndpointId &endpoint, const ReportedLoad &load, TimePoint now);

    /// Handles a call that an endpoint answered, for the estimate of its speed.
    /// @return as SpeedTable::onCall.
    std::optional<double> onSpeedSample(const EndpointId &endpoint, const SpeedSample &sample, TimePoint now);

    /// Handles a slowness that an endpoint reported to another VM.
    /// @param gain as SpeedTable::onSlowness.
    void onSlowness(const EndpointId &endpoint, std::uint32_t percent, TimePoint reportedAt, std::optional<double> gain);

    /// @return the estimated speed of an endpoint.
    [[nodiscard]] EndpointSpeed speed(const EndpointId &endpoint, TimePoint now) const;

    /// @param timeLeft until the deadline of a call.
    /// @return the time until an endpoint is expected to have capacity, if all candidates reported a load beyond their limits
    ///     recently and the call is not expected to complete in time at any of them; else nothing.
    [[nodiscard]] std::optional<Duration>
    timeUntilCapacity(const std::vector<ServiceCandidate> &candidates, const RouteName &route, Duration timeLeft, TimePoint now) const;

    /// Removes the state of endpoints that no longer exist and have no calls of this VM.
    /// @param endpoints all candidates of all services.
    void retain(const std::vector<EndpointId> &endpoints);

    /// Removes the state of an endpoint that no longer exists, unless it has calls of this VM.
    void remove(const EndpointId &endpoint);

    /// @return whether the endpoint is ejected, so that it gets trial calls only.
    [[nodiscard]] bool isEjected(const EndpointId &endpoint) const;

    /// @return the number of calls of this VM that the endpoint has not answered yet.
    [[nodiscard]] std::uint32_t outstanding(const EndpointId &endpoint) const;

private:
    struct State
    {
        std::uint32_t outstanding = 0;
        double failureRate = 0; ///< Exponential moving average, valid at `failureRateAt`.
        TimePoint failureRateAt{};
        std::uint32_t samples = 0;
        std::optional<TimePoint> trialAt; ///< When the endpoint gets its next trial call; set while it is ejected.
        std::chrono::milliseconds ejectionTime{0};
        ReportedLoad reported;
        std::uint32_t outstandingAtReport = 0; ///< Calls of this VM that the reported load includes.
        TimePoint reportedAt{};
        double averageLoad = 0; ///< Exponential moving average of the reported calls, valid at `reportedAt`.
    };

    /// Cost of sending a call to a candidate.
    struct Cost
    {
        double value = 0;
        bool isOverloaded = false; ///< The call would exceed the load limit of the endpoint.
    };

    /// @param isUneven whether the candidates differ in speed.
    [[nodiscard]] Cost costOf(const ServiceCandidate &candidate, const EndpointSpeed &speed, bool isUneven, TimePoint now) const;
    /// @return the calls at the endpoint, as far as this VM knows; includes reports up to `reportedLoadLifetime` old.
    [[nodiscard]] double loadOf(const State &state, TimePoint now) const;
    [[nodiscard]] double failureRate(const State &state, TimePoint now) const; ///< The rate after its decay until `now`.
    /// @return the average failure rate of the other endpoints with enough samples; 1 if there are none.
    [[nodiscard]] double othersFailureRate(const EndpointId &endpoint, TimePoint now) const;

    ServiceBalancerOptions options_;
    std::unordered_map<EndpointId, State> states_;
    SpeedTable speeds_;
    std::vector<EndpointSpeed> candidateSpeeds_; ///< Of the candidates of the current choice; kept to avoid allocations.
};

} // namespace daisystream
