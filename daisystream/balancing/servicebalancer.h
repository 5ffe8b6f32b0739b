#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/random.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// @file
/// Chooses an endpoint of a plain service for each call: the least loaded one that works. Each VM decides by itself, by
/// its own calls and by the load that endpoints state in their responses.
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

/// An endpoint that may be chosen.
struct ServiceCandidate
{
    EndpointId id;
    std::uint32_t slots = 1; ///< Calls that it works on at the same time.
    bool isNear = false;     ///< In the zone of this VM.
    bool isCold = false;     ///< Started a moment ago and slow.

    friend auto operator<=>(const ServiceCandidate &, const ServiceCandidate &) = default;
};

/// Load that an endpoint stated.
struct StatedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    friend auto operator<=>(const StatedLoad &, const StatedLoad &) = default;
};

enum class CallResult : std::uint8_t {
    Answered, ///< The endpoint answered, with whatever status of a working service.
    Refused,  ///< It stated that it did not run the call.
    Failed,   ///< No usable answer.
    Left,     ///< The caller left; nothing is known of the endpoint.
};

struct ServiceBalancerOptions
{
    double failureGain = 0.2;                         ///< Weight of the latest call in the failure rate of an endpoint.
    double ejectAbove = 0.35;                         ///< Failure rate that ejects an endpoint while others fail less than half as often.
    std::chrono::milliseconds ejectTime{1500};        ///< Until an ejected endpoint gets one trial call; doubles.
    std::chrono::milliseconds longestEjectTime{8000}; ///< Bound of the doubling.
    std::chrono::milliseconds statedLoadLife{500};    ///< How long a stated load counts.
    std::chrono::milliseconds failureHalfLife{2000};  ///< An endpoint without calls is forgiven half of its rate in this time.

    friend auto operator<=>(const ServiceBalancerOptions &, const ServiceBalancerOptions &) = default;
};

/// Thread-compatible.
class ServiceBalancer
{
public:
    explicit ServiceBalancer(ServiceBalancerOptions options = {});

    /// @param tried endpoints that this call was sent to already.
    /// @return the endpoint, or nothing if no candidate is left. While every candidate is ejected, they are used all the
    ///     same: a service is not given up because all of it looks bad.
    [[nodiscard]] std::optional<EndpointId>
    choose(const std::vector<ServiceCandidate> &candidates, const std::vector<EndpointId> &tried, Random &random, TimePoint now);

    void onStarted(const EndpointId &endpoint, TimePoint now);
    void onEnded(const EndpointId &endpoint, CallResult result, TimePoint now);
    void onStatedLoad(const EndpointId &endpoint, const StatedLoad &load, TimePoint now);

    /// Forgets endpoints that are not among the candidates of any service.
    void retain(const std::vector<EndpointId> &endpoints);

    /// @return whether the endpoint gets no calls but trials.
    [[nodiscard]] bool isEjected(const EndpointId &endpoint) const;

    /// @return calls of this VM at the endpoint.
    [[nodiscard]] std::uint32_t outstanding(const EndpointId &endpoint) const;

private:
    struct State
    {
        std::uint32_t outstanding = 0;
        double failureRate = 0; ///< As of `ratedAt`.
        TimePoint ratedAt{};
        std::uint32_t samples = 0;
        std::optional<TimePoint> trialAt; ///< Set while ejected.
        std::chrono::milliseconds ejectTime{0};
        StatedLoad stated;
        std::uint32_t outstandingThen = 0; ///< Own calls that the stated load includes.
        TimePoint statedAt{};
    };

    [[nodiscard]] double scoreOf(const ServiceCandidate &candidate, TimePoint now) const;
    [[nodiscard]] double failureRate(const State &state, TimePoint now) const;
    [[nodiscard]] double othersFailureRate(const EndpointId &endpoint, TimePoint now) const;

    ServiceBalancerOptions options_;
    std::unordered_map<EndpointId, State> states_;
};

} // namespace daisystream
