#pragma once

#include "scenarios/portblock.h"
#include "soak/checks.h"
#include "soak/plan.h"

#include <cstdint>
#include <memory>
#include <string>

/// @file
/// The processes of a soak on one machine, the links between them, and what disturbs both.
///
/// Example:
/// @code
///   Deployment deployment({.programs = "build", .scratch = folder, .size = size}, plan, ports);
///   deployment.start();
///   deployment.begin(plan.steps.front());
///   deployment.tick();
/// @endcode

namespace daisystream::soak
{

struct DeploymentOptions
{
    std::string programs; ///< Build folder with the executables.
    std::string scratch;  ///< Folder for settings and logs.
    PlanSize size{};
    std::uint64_t seed = 1;
    unsigned callerProcesses = 2;
    unsigned connections = 10; ///< Of each process of callers.
};

/// Owns the processes; ends those that it started, and no others. Thread-compatible.
class Deployment
{
public:
    /// @param ports must outlive the deployment.
    Deployment(const DeploymentOptions &options, const Plan &plan, scenarios::PortBlock &ports);
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;
    Deployment(Deployment &&) = delete;
    Deployment &operator=(Deployment &&) = delete;

    /// Starts everything and waits until all VMs take requests.
    /// @throws std::runtime_error if they do not.
    void start();

    /// Begins what a step does. What ends it comes with later ticks.
    void begin(const Step &step);

    /// Does what is due, and notices processes that have ended. Call it every few milliseconds.
    void tick();

    /// @return whether all disturbances have ended and all processes run.
    [[nodiscard]] bool isCalm() const;

    /// Ends the callers, then all VMs, as planned.
    void stop();

    /// @return everything that was seen, after `stop`.
    [[nodiscard]] Record record() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream::soak
