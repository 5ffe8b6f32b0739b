#pragma once

#include "soak/configuration.h"
#include "soak/observation.h"
#include "soak/timeline.h"

#include <string>
#include <vector>

/// @file
/// The promises to callers, endpoints and operators, checked on what these saw.
///
/// Example:
/// @code
///   Record record = ...;
///   for (const Violation &violation : check(record, {})) {
///       std::cerr << violation.promise << ": " << violation.text << std::endl;
///   }
/// @endcode

namespace daisystream::soak
{

/// The store took a configuration.
struct ConfigurationInForce
{
    Configuration configuration;
    Moment sentAt{};
    Moment acknowledgedAt = Moment::max();

    friend bool operator==(const ConfigurationInForce &, const ConfigurationInForce &) = default;
};

/// The operator took a zone out of service.
struct ZoneWithdrawn
{
    std::string zone;
    Moment acknowledgedAt{};           ///< The store took it.
    Moment restoredAt = Moment::max(); ///< The operator began to take it back.

    friend bool operator==(const ZoneWithdrawn &, const ZoneWithdrawn &) = default;
};

/// Everything that was seen of one soak.
struct Record
{
    std::vector<Exchange> exchanges;
    std::vector<RunStarted> started;
    std::vector<RunEnded> ended;
    std::vector<LeaveAnnounced> leaves;
    std::vector<LimitedArrival> limitedArrivals;      ///< In the order of their times.
    std::vector<LimitTold> limitsTold;                ///< In the order of their times.
    std::vector<EngineCrashed> crashes;               ///< In the order of their times.
    std::vector<ConfigurationInForce> configurations; ///< In the order of their versions.
    std::vector<ZoneWithdrawn> withdrawals;
    std::vector<std::string> unexpectedEnds; ///< Processes that ended by themselves or did not end when told to.
    Timeline timeline;
    Moment calmSince{}; ///< From here on nothing was disturbed.
};

/// Bounds of the promises. They are those that the platform's pages state for its deployments.
struct Bounds
{
    std::chrono::milliseconds stable{3000};      ///< Calm for so long, a VM is held to bounds of time.
    std::chrono::milliseconds applyConfig{2000}; ///< A configuration is in force everywhere.
    std::chrono::milliseconds revocation{5000};  ///< A key that was taken away is refused, whatever fails.
    std::chrono::milliseconds drain{2000};       ///< No request reaches an endpoint that leaves.
    std::chrono::milliseconds withdrawal{5000};  ///< No request reaches an endpoint of a zone that is out of service.
    std::chrono::milliseconds leftWork{500};     ///< Work for a caller that has left ends.
    std::chrono::milliseconds overlap{400};      ///< Two endpoints at work on one run.
    std::chrono::milliseconds answerSlack{500};  ///< Beyond a route's limit.
    std::chrono::milliseconds lossSlack{200};    ///< Planned work cuts no request that was sent so long ago.
    std::chrono::milliseconds recovery{12000};   ///< After the last disturbance.
    double recoveredShare = 0.25;                ///< Of the requests after it that must be served.
    unsigned lostRequests = 3;                   ///< On calm VMs, in a whole soak.
    double unstoppedShare = 0.25;                ///< Of the work for callers that have left.
    double retryRatio = 0.2;                     ///< Repeats for each request that a service gets within the window.
    unsigned retryAllowance = 58;                ///< Repeats beside these.
    std::chrono::milliseconds retryWindow{10000};
    std::chrono::milliseconds limitWindow{4000}; ///< Within which requests to an endpoint with a limit are counted.
    std::chrono::milliseconds limitDelay{500};   ///< From when a VM passed a limit on until its requests count.
    double limitRatio = 1.5;                     ///< Of what the limit allows in the window.
    unsigned limitAllowance = 5;                 ///< Requests beside that.
    unsigned freeCrashes = 5;                    ///< Crashes under one part before its requests are counted.
    unsigned deadlyRequests = 3;                 ///< Requests with the part that may reach engines afterwards.
    double soundShare = 0.5;                     ///< Of the other answers that must be served while such requests come.
    unsigned fewestSound = 20;                   ///< With fewer of them the share says nothing.

    friend bool operator==(const Bounds &, const Bounds &) = default;
};

struct Violation
{
    std::string promise; ///< One word.
    std::string text;

    friend bool operator==(const Violation &, const Violation &) = default;
};

/// @return what was broken, in no particular order.
[[nodiscard]] std::vector<Violation> check(const Record &record, const Bounds &bounds);

/// Figures of a soak, to see that it tested something.
struct Summary
{
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t inTouch = 0; ///< At VMs that were held to bounds of time throughout.
    std::size_t runs = 0;
    std::size_t moved = 0;      ///< Runs that went on at another endpoint.
    std::size_t limited = 0;    ///< Requests that reached an endpoint with a limit.
    std::size_t deadly = 0;     ///< Requests with a part that crashes engines.
    std::size_t deadlyRuns = 0; ///< Those of them that reached an engine.
    std::size_t crashes = 0;
    double servedAfterwards = 0; ///< Share of the requests after the recovery time.

    friend bool operator==(const Summary &, const Summary &) = default;
};

[[nodiscard]] Summary summarize(const Record &record, const Bounds &bounds);

} // namespace daisystream::soak
