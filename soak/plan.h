#pragma once

#include "soak/configuration.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// @file
/// What a soak does to its processes, links and store, and when. A seed gives the same plan each time.
///
/// Example:
/// @code
///   const Plan plan = makePlan(7, {.vms = 4, .engines = 3, .services = 2});
///   for (const Step &step : plan.steps) { ... }
/// @endcode

namespace daisystream::soak
{

using std::chrono::milliseconds;

/// A process stands still for a while.
struct FreezeProcess
{
    std::string process;
    milliseconds length{};

    friend bool operator==(const FreezeProcess &, const FreezeProcess &) = default;
};

/// A process is killed and started again after a while.
struct KillProcess
{
    std::string process;
    milliseconds downFor{};

    friend bool operator==(const KillProcess &, const KillProcess &) = default;
};

/// A process is asked to end, and started again some time after it has.
struct StopProcess
{
    std::string process;
    milliseconds downFor{};

    friend bool operator==(const StopProcess &, const StopProcess &) = default;
};

/// A VM is told that its settings file has changed.
struct ReloadProcess
{
    std::string process;

    friend bool operator==(const ReloadProcess &, const ReloadProcess &) = default;
};

/// What happens to a link. `Cut` closes what is open and does nothing further.
enum class LinkFault : std::uint8_t { Cut, Refuse, Stall, Forget, DropRequests, DropReplies, Slow };

/// What a link leads to.
enum class LinkKind : std::uint8_t {
    Callers,  ///< From callers to a VM.
    Peers,    ///< From other VMs to a VM.
    Store,    ///< From a VM to the store.
    Endpoint, ///< From all VMs to an endpoint.
};

/// The link of one process is disturbed for a while.
struct DisturbLink
{
    LinkKind link = LinkKind::Callers;
    std::string process;
    LinkFault fault = LinkFault::Cut;
    milliseconds length{};

    friend bool operator==(const DisturbLink &, const DisturbLink &) = default;
};

enum class StoreFault : std::uint8_t { Refusing, Closing, Silent, Slow, LosesReplies, ForgetsHistory, ClockJumps };

/// The store itself is disturbed for a while.
struct DisturbStore
{
    StoreFault fault = StoreFault::Refusing;
    milliseconds length{};

    friend bool operator==(const DisturbStore &, const DisturbStore &) = default;
};

/// An endpoint misbehaves for a while with good health.
enum class EndpointFault : std::uint8_t { LosesAnswers, Fails, Garbles, Slow };

struct DisturbEndpoint
{
    std::string process;
    EndpointFault fault = EndpointFault::Fails;
    milliseconds length{};

    friend bool operator==(const DisturbEndpoint &, const DisturbEndpoint &) = default;
};

/// The operator writes a new configuration.
struct ChangeConfiguration
{
    Configuration next;

    friend bool operator==(const ChangeConfiguration &, const ChangeConfiguration &) = default;
};

/// An endpoint states for a while how many requests a second it takes from all VMs together. It is not a disturbance.
struct LimitEndpoint
{
    std::string process;
    double perSecond = 0;
    milliseconds length{};

    friend bool operator==(const LimitEndpoint &, const LimitEndpoint &) = default;
};

/// The operator takes a zone out of service for a while. It is not a disturbance.
struct WithdrawZone
{
    std::string zone;
    milliseconds length{};

    friend bool operator==(const WithdrawZone &, const WithdrawZone &) = default;
};

using Action = std::variant<FreezeProcess,
                            KillProcess,
                            StopProcess,
                            ReloadProcess,
                            DisturbLink,
                            DisturbStore,
                            DisturbEndpoint,
                            ChangeConfiguration,
                            LimitEndpoint,
                            WithdrawZone>;

struct Step
{
    milliseconds at{}; ///< Since the start of the disturbances.
    Action action;

    friend bool operator==(const Step &, const Step &) = default;
};

/// How large a soak is.
struct PlanSize
{
    unsigned vms = 4;
    unsigned engines = 4;
    unsigned services = 3;
    unsigned steps = 14;
    unsigned limits = 3;        ///< Times that an endpoint states a limit.
    unsigned withdrawals = 1;   ///< Times that a zone is taken out of service.
    milliseconds length{14000}; ///< Within which steps begin.
    double deadlyShare = 0;     ///< As `CallerPlan::deadlyShare`.
    unsigned deadlyParts = 1;   ///< As `CallerPlan::deadlyParts`.

    friend bool operator==(const PlanSize &, const PlanSize &) = default;
};

struct Plan
{
    std::vector<Step> steps;                   ///< In the order of their times.
    std::vector<Configuration> configurations; ///< All, in the order of their versions; the first one holds from the start.

    friend bool operator==(const Plan &, const Plan &) = default;

    /// @return every route that some configuration has.
    [[nodiscard]] std::vector<SoakRoute> allRoutes() const;

    /// @return every key that some configuration has; first those that all have.
    [[nodiscard]] std::vector<std::string> allKeys() const;
};

/// @return the name of a VM, engine or service by its place, from 1.
[[nodiscard]] std::string vmName(unsigned number);
[[nodiscard]] std::string engineName(unsigned number);
[[nodiscard]] std::string serviceName(unsigned number);

/// @return the zone of an endpoint by its name. Endpoints of a service are in two zones in turn.
[[nodiscard]] std::string zoneOfEndpoint(const std::string &name);

[[nodiscard]] Plan makePlan(std::uint64_t seed, const PlanSize &size);

/// @return one line that says what a step does.
[[nodiscard]] std::string describe(const Step &step);

} // namespace daisystream::soak
