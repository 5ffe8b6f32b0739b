#pragma once

#include "daemon/cells/celldispatcher.h"
#include "daemon/frontend/frontendcontext.h"
#include "daemon/frontend/httpconnection.h"
#include "daemon/gateway/gatewaydialect.h"
#include "daemon/status/decisionlog.h"
#include "daisystream/balancing/endpointrests.h"
#include "daisystream/balancing/servicebalancer.h"
#include "daisystream/forwarding/bytebudget.h"
#include "daisystream/retry/servicebudget.h"
#include "daisystream/routes/routetable.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// @file
/// What the parts of the gateway share.
///
/// Example:
/// @code
///   GatewayContext gateway(context, dialect, settings);
///   if (const auto endpoint = gateway.chooseEndpoint(service, tried)) { ... }
/// @endcode

namespace daisystream
{

/// A request that passed the checks of its route and its key.
struct RoutedRequest
{
    const HttpRequest &http;
    CallerHead head{};
    RequestId id{};                            ///< Ours; differs between all requests of all VMs.
    std::shared_ptr<const RouteTable> table{}; ///< Keeps `route` and `engine` alive.
    const Route *route = nullptr;
    const EngineProfile *engine = nullptr; ///< Set if engines serve it.
    ServiceId service{};
    std::optional<TeamId> team{};
    std::uint32_t priority = 0; ///< Of the team, if it has one, else of the route; 0 is the most urgent.
    TimePoint arrival{};
    TimePoint deadline{}; ///< The final answer is due.
};

/// @return the rank in which engines serve the request: urgent if its team or its route is the most urgent there is.
[[nodiscard]] Rank rankOf(const RoutedRequest &request);

/// @return the order in which one engine serves requests: by team first, then by route.
[[nodiscard]] std::uint32_t enginePriority(const RoutedRequest &request);

/// How a request ended, for the metrics.
enum class RequestOutcome : std::uint8_t {
    Answered,       ///< The caller has the endpoint's answer, good or bad.
    NotRun,         ///< Refused, and it has not run.
    OutcomeUnknown, ///< Given up; it may have run.
    CutOff,         ///< The caller has a part of the answer.
    CallerLeft,
};

/// Thread-safe. Its lock belongs to level 7 (connections) and nothing is called while it is held.
class GatewayContext
{
public:
    /// All parameters must outlive the event loop.
    GatewayContext(FrontendContext &frontend, CellDispatcher &dispatcher, const GatewayDialect &dialect, const GatewaySettings &settings, const ZoneId &zone);
    ~GatewayContext();

    GatewayContext(const GatewayContext &) = delete;
    GatewayContext &operator=(const GatewayContext &) = delete;

    FrontendContext &frontend;
    CellDispatcher &dispatcher;
    const GatewayDialect &dialect;
    const GatewaySettings settings;

    ByteBudget responseBytes; ///< For bodies of responses that are held whole.

    [[nodiscard]] TimePoint now() const;

    /// @return a log line about a request, with the versions and ages of what it is decided by.
    [[nodiscard]] DecisionLine line(std::string_view decision, const RoutedRequest &request) const;

    /// Sets where the age of this VM's knowledge comes from, for log lines.
    void setContactAge(std::function<std::optional<std::chrono::milliseconds>()> source);

    /// Counts a request that has its final answer.
    void onEnded(const RoutedRequest &request, RequestOutcome outcome);

    /// Counts the first event of an answer, and the pause before each further one.
    void onFirstEvent(const RoutedRequest &request);
    void onGap(Duration gap);

    /// Counts a move of an answer that ended.
    void onMove(Duration took, bool moved);

    /// @return the time until a deadline, at least one millisecond.
    [[nodiscard]] std::chrono::milliseconds timeUntil(TimePoint deadline) const;

    /// @return an endpoint of a plain service; nothing if none is left that was not tried. It counts as having one more
    ///     call until `onCallEnded`.
    [[nodiscard]] std::optional<EndpointSettings> startCall(const ServiceId &service, const std::vector<EndpointId> &tried);
    void onCallEnded(const EndpointId &endpoint, CallResult result, const std::optional<StatedLoad> &load);

    /// Takes what an endpoint states of itself beside its answer. Call it before the answer is passed on.
    void onEndpointHead(const EndpointId &endpoint, const EndpointHead &head);

    /// Sets who learns that an endpoint states in an answer that it leaves. Called once for each endpoint, without locks.
    void setLeavingHandler(std::function<void(const EndpointId &)> handler);

    /// @return whether the endpoint takes nothing from this VM at present.
    [[nodiscard]] bool isResting(const EndpointId &endpoint);

    /// @return the endpoints that take nothing from this VM at present.
    [[nodiscard]] std::vector<EndpointId> resting();

    /// @return the time until the first of these endpoints takes requests of this VM again; nothing if one does now, or if
    ///     there are none.
    [[nodiscard]] std::optional<std::chrono::milliseconds> restOf(const std::vector<EndpointSettings> &endpoints);

    /// Counts a request, which the retry budget of its service grows with.
    void countRequest(const ServiceId &service);

    /// @return whether a request may be sent to one more endpoint.
    [[nodiscard]] bool takeRepeat(const ServiceId &service);

    /// Sets how many VMs share the retry budgets.
    void setVms(std::size_t count);

    /// Calls a function when an endpoint announces that it leaves, until the returned token is destroyed.
    [[nodiscard]] std::shared_ptr<void> watchEndpoint(const EndpointId &endpoint, std::function<void()> onLeaving);

    /// Tells the answers at these endpoints that they leave.
    void announceLeaving(const std::vector<EndpointId> &endpoints);

    /// SIGTERM came: the process is killed after the grace time.
    void beginShutdown();

    /// @param onShutdown called on any thread when the shutdown begins, at once if it has begun.
    /// @return keeps the callback registered.
    [[nodiscard]] std::shared_ptr<void> watchShutdown(std::function<void()> onShutdown);

    /// Every request that is admitted from now on is refused as not run; those admitted before count as running.
    void endAdmission();

    /// @return whether a request that arrives now can be served before the process is killed.
    [[nodiscard]] bool canServe(const RequestKind &kind);

    /// @return whether the endpoint is in service.
    [[nodiscard]] bool isInService(const EndpointId &endpoint) const;

    /// @return whether an answer that has left an endpoint may go on there: it stays, or leaves but still takes requests.
    [[nodiscard]] bool mayReturnTo(const EndpointId &endpoint);

private:
    class Series;
    using Watches = std::multimap<EndpointId, std::weak_ptr<std::function<void()>>>;

    std::mutex mutex_;
    const ZoneId zone_;
    Random random_;
    ServiceBalancer balancer_;
    EndpointRests rests_;
    ServiceRetryBudget budget_;
    Watches watches_;
    std::vector<std::weak_ptr<std::function<void()>>> shutdownWatches_;
    std::map<EndpointId, TimePoint> leavingSince_; ///< When this VM learned that an endpoint leaves.
    std::optional<TimePoint> stoppingSince_;
    bool admissionEnded_ = false;
    std::function<std::optional<std::chrono::milliseconds>()> contactAge_;
    std::function<void(const EndpointId &)> leavingHandler_;
    std::unique_ptr<Series> series_;
};

} // namespace daisystream
