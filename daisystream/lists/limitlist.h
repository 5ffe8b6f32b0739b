#pragma once

#include "daisystream/lists/planlist.h"

#include <cstdint>
#include <optional>

/// @file
/// The list of what each plan may use. The text is JSON with comments, as in section 2.5 of docs/design.md.
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

/// What the teams of one plan may use; the figures hold for each team by itself.
struct Limit
{
    PlanName plan;
    std::vector<ModelId> models;
    std::vector<ServiceId> services;
    std::uint32_t concurrency = 0; ///< Answers at the same time.
    double tokensPerSecond = 0;    ///< Over all answers of the team.
    std::uint32_t maxOutputTokens = 0;

    [[nodiscard]] bool allows(const ModelId &model) const;
    [[nodiscard]] bool allows(const ServiceId &service) const;

    friend auto operator<=>(const Limit &, const Limit &) = default;
};

/// A checked list. Immutable, cheap to copy; thread-safe.
class LimitList
{
public:
    /// Reads and checks a list completely.
    /// @param fileName named in the problems.
    /// @return the list, or `InvalidDocument` with one line for each problem.
    [[nodiscard]] static Result<LimitList> parse(std::string_view text, const std::string &fileName);

    /// @return the limit of the plan, or nullptr; valid as long as any copy of this list.
    [[nodiscard]] const Limit *findLimit(const PlanName &plan) const;
    [[nodiscard]] const std::vector<Limit> &limits() const;

private:
    explicit LimitList(std::shared_ptr<const std::vector<Limit>> limits);
    std::shared_ptr<const std::vector<Limit>> limits_; // Sorted by plan.
};

/// Checks that every plan has a limit. A limit without a plan is allowed: the lists are two rows that no write changes
/// together, so an operator adds a plan's limit first and removes it last.
/// @return `InvalidDocument` with one line for each plan that has no limit.
[[nodiscard]] std::optional<Error> crossCheck(const PlanList &plans, const LimitList &limits);

} // namespace daisystream
