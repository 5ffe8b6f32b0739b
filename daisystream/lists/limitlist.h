#pragma once

#include "daisystream/lists/planlist.h"

#include <cstdint>
#include <optional>

/// @file
/// The list of limits: the models, services and rates that each plan may use. Its text is JSON with comments, as described in
/// section 2.5 of docs/design.md.
///
/// Example:
/// @code
///   Result<LimitList> read = LimitList::parse(text, "lists/limits");
///   if (const auto *limits = std::get_if<LimitList>(&read)) {
///       const Limit *limit = limits->findLimit(PlanName("trail"));
///   }
/// @endcode

namespace daisystream
{

/// What the teams of one plan may use. The numbers apply to each team separately.
struct Limit
{
    PlanName plan;
    std::vector<ModelId> models;
    std::vector<ServiceId> services;
    std::uint32_t concurrency = 0;     ///< Maximum number of concurrent answers.
    double tokensPerSecond = 0;        ///< Maximum output rate over all answers of a team.
    std::uint32_t maxOutputTokens = 0; ///< Maximum length of one answer.

    [[nodiscard]] bool allows(const ModelId &model) const;
    [[nodiscard]] bool allows(const ServiceId &service) const;

    friend auto operator<=>(const Limit &, const Limit &) = default;
};

/// A validated list. Immutable and cheap to copy, because copies share the data. Thread-safe.
class LimitList
{
public:
    /// Reads and validates a list. Reading continues after a problem, so that all problems are reported.
    /// @param text the list as JSON with comments.
    /// @param fileName the file name to show in the problems.
    /// @return the list, or `InvalidDocument` with one line for each problem.
    [[nodiscard]] static Result<LimitList> parse(std::string_view text, const std::string &fileName);

    /// @return the limit of the plan, or nullptr if it has none. The pointer is valid as long as any copy of this list exists.
    [[nodiscard]] const Limit *findLimit(const PlanName &plan) const;
    /// @return all limits, sorted by plan.
    [[nodiscard]] const std::vector<Limit> &limits() const;

private:
    explicit LimitList(std::shared_ptr<const std::vector<Limit>> limits);
    std::shared_ptr<const std::vector<Limit>> limits_; // Sorted by plan.
};

/// Checks that every plan has a limit. A limit without a plan is allowed: the lists are stored in two rows that cannot be
/// written together, so an operator adds the limit of a new plan first, and removes the limit of an old plan last.
/// @return nothing if every plan has a limit, else `InvalidDocument` with one line for each plan that has no limit.
[[nodiscard]] std::optional<Error> crossCheck(const PlanList &plans, const LimitList &limits);

} // namespace daisystream
