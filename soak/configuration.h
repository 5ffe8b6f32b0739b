#pragma once

#include "soak/observation.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// What the deployment of a soak offers: routes, teams, and the callers that use them.
///
/// Example:
/// @code
///   Configuration configuration = firstConfiguration();
///   configuration.routes.push_back({.name = "extra", .prefix = "/extra/", .service = "desk"});
/// @endcode

namespace daisystream::soak
{

struct SoakRoute
{
    std::string name;
    std::string prefix; ///< Begins and ends with a slash.
    Kind kind = Kind::Safe;
    std::string service;
    std::chrono::milliseconds limit{4000}; ///< How long a request may wait for its answer.
    unsigned attempts = 1;                 ///< Endpoints that one request may be sent to.

    friend bool operator==(const SoakRoute &, const SoakRoute &) = default;
};

struct SoakTeam
{
    std::string name;
    std::vector<std::string> keys;

    friend bool operator==(const SoakTeam &, const SoakTeam &) = default;
};

/// What the operator keeps in the store.
struct Configuration
{
    std::uint64_t version = 1;
    std::vector<SoakRoute> routes;
    std::vector<SoakTeam> teams;

    friend bool operator==(const Configuration &, const Configuration &) = default;

    /// @return whether there is a route of this name.
    [[nodiscard]] bool hasRoute(std::string_view name) const;

    /// @return the team that holds a key, empty if none does.
    [[nodiscard]] std::string teamOf(std::string_view key) const;
};

/// The services of each soak.
constexpr const char *kModelService = "model"; ///< Its endpoints are engines.
constexpr const char *kDeskService = "desk";   ///< Its endpoints answer plain calls.

/// @return the configuration that a soak starts with: a route of each kind, two teams.
[[nodiscard]] Configuration firstConfiguration();

/// Exit code of an engine that crashes because of a prompt.
constexpr int kCrashExitCode = 70;

struct CallerTarget
{
    std::string vm;
    std::uint16_t port = 0;

    friend bool operator==(const CallerTarget &, const CallerTarget &) = default;
};

/// What a process of callers does.
struct CallerPlan
{
    std::string name; ///< Prefix of its attempts.
    std::uint64_t seed = 1;
    unsigned connections = 8;
    std::vector<CallerTarget> targets;
    std::vector<SoakRoute> routes; ///< Also those that are not in force all the time.
    std::vector<std::string> keys; ///< Likewise.
    double deadlyShare = 0;        ///< Of the answers, whose prompts have a part that crashes engines.
    unsigned deadlyParts = 1;      ///< Different parts that do so.

    friend bool operator==(const CallerPlan &, const CallerPlan &) = default;
};

[[nodiscard]] std::string encodeCallerPlan(const CallerPlan &plan);

/// @throws std::exception if the text is not one of `encodeCallerPlan`.
[[nodiscard]] CallerPlan decodeCallerPlan(const std::string &text);

} // namespace daisystream::soak
