#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/routes/routetable.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

/// @file
/// Estimates how fast the endpoints of plain services are, from the durations of this VM's calls and from the slowness that
/// endpoints report.
///
/// Three values are kept for each endpoint: its base speed, which does not depend on load; its current slowness, as far as the
/// endpoint's reports have proved true; and the concurrency up to which its calls stay as fast as those of the other endpoints.
///
/// Example:
/// @code
///   SpeedTable speeds;
///   speeds.onCall(endpoint, {.service = service, .route = route, .took = took, .goal = goal, .calls = 3, .slots = 6}, now);
///   speeds.onSlowness(endpoint, 250, statedAt);
///   const EndpointSpeed speed = speeds.speed(endpoint, now);
/// @endcode

namespace daisystream
{

/// A call that an endpoint answered.
struct SpeedSample
{
    ServiceId service{};
    RouteName route{};
    Duration took{};                                ///< From sending the request to the end of the response.
    std::chrono::milliseconds goal{0};              ///< Latency target of the route; 0 if it has none.
    std::optional<std::uint32_t> calls{};           ///< Calls of all VMs that ran or waited at the endpoint, if it reported them.
    std::uint32_t slots = 0;                        ///< Calls that the endpoint runs concurrently.
    std::optional<std::uint32_t> slownessPercent{}; ///< As ReportedLoad::slownessPercent of the response.

    friend auto operator<=>(const SpeedSample &, const SpeedSample &) = default;
};

/// Estimated speed of an endpoint. Factors multiply the duration of a call; 1 is the usual duration.
struct EndpointSpeed
{
    double base = 1;                   ///< Base speed: factor of an idle endpoint that reports no slowness.
    double slowness = 1;               ///< Factor of the current slowness, by its gain and age.
    double reported = 1;               ///< Reported slowness by its age, whether or not it is true.
    double gain = 0;                   ///< Part of the reported slowness that calls have confirmed, 0 to 1.
    std::optional<Duration> age{};     ///< Age of the reported slowness; not set if there is none or it has expired.
    bool isStale = false;              ///< The endpoint was slow and has not reported since, so that its slowness is uncertain.
    std::optional<double> loadLimit{}; ///< Concurrency up to which calls stay fast; not set while no lower limit than the slots is known.

    /// @return the factor of a call that needs no slot to become free.
    [[nodiscard]] double factor() const
    {
        return base * slowness;
    }

    friend auto operator<=>(const EndpointSpeed &, const EndpointSpeed &) = default;
};

struct SpeedTableOptions
{
    std::chrono::milliseconds freshTime{300};  ///< Age up to which a reported slowness counts in full: half of a usual slow period.
    std::chrono::milliseconds expiryTime{600}; ///< Age at which it counts no more; in between it decays linearly.
    std::chrono::seconds staleTime{5};         ///< Age from which on it is forgotten, so that the endpoint counts as usual.
    std::chrono::seconds halfLife{60};         ///< Half-life of the weight of calls in the base speed and in the gain.
    double priorCalls = 8;                     ///< Weight of the prior of the base speed, in calls.
    double priorGain = 0.5;                    ///< Gain of an endpoint whose reports no call has tested.
    double sharedGainWeight = 4;               ///< Weight of a gain that calls of all VMs have confirmed.
    double priorGainWeight = 2;                ///< Weight of `priorGain`; a call at 250% has the weight 0.84.
    double significance = 2.5;                 ///< Standard errors within which a base speed does not differ from the usual.

    friend auto operator<=>(const SpeedTableOptions &, const SpeedTableOptions &) = default;
};

/// @param percent reported slowness.
/// @param age time since the endpoint reported it.
/// @return the percentage that is assumed at that age; 100 from `SpeedTableOptions::expiryTime` on.
[[nodiscard]] double decayedSlowness(std::uint32_t percent, Duration age, const SpeedTableOptions &options = {});

/// Speeds of the endpoints as one VM sees them. Thread-compatible.
class SpeedTable
{
public:
    explicit SpeedTable(SpeedTableOptions options = {});
    ~SpeedTable();
    SpeedTable(SpeedTable &&) noexcept;
    SpeedTable &operator=(SpeedTable &&) noexcept;

    /// Handles a call that an endpoint answered. The slowness that the response reported becomes the current one.
    /// @return the duration of the call relative to that of an idle endpoint of this base speed without slowness, to test the reported
    ///     slowness; nothing if the call met a queue or took no time.
    std::optional<double> onCall(const EndpointId &endpoint, const SpeedSample &sample, TimePoint now);

    /// Handles a slowness that an endpoint reported to this VM or another one. An older report than the last one changes nothing.
    /// @param percent duration of work in percent of the usual; limited to 25 to 1000.
    /// @param gain part of the reported slowness that calls of all VMs have confirmed, if known; replaces the prior of this VM.
    void onSlowness(const EndpointId &endpoint, std::uint32_t percent, TimePoint reportedAt, std::optional<double> gain = {});

    /// @param level the lowest `EndpointSpeed::reported` that is known of the endpoints that can be used instead. Slowness is relative
    ///     to it, since only differences matter, and decays to it with age.
    /// @return the estimate of an endpoint; all factors are 1 if it is not known.
    [[nodiscard]] EndpointSpeed speed(const EndpointId &endpoint, TimePoint now, double level = 1) const;

    /// @return the usual duration of calls of a route, or nothing before its first call.
    [[nodiscard]] std::optional<Duration> usualDuration(const RouteName &route) const;

    /// Removes an endpoint.
    void remove(const EndpointId &endpoint);

    /// Removes all endpoints but these.
    void retain(const std::vector<EndpointId> &endpoints);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
