#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The list of plans and of the teams that hold them. The text is JSON with comments, as in section 2.5 of
/// docs/design.md.
///
/// Example:
/// @code
///   Result<PlanList> read = PlanList::parse(text, "lists/plans");
///   if (const auto *plans = std::get_if<PlanList>(&read)) {
///       Result<TeamId> team = authenticate(*plans, "ds_k1_secret");
///   }
/// @endcode

namespace daisystream
{

/// What the operator promises to the teams that hold a plan.
struct Plan
{
    PlanName name;
    Rank rank = Rank::Ordinary;
    std::chrono::milliseconds firstToken{0}; ///< Time from arrival to the first token.
    double tokensPerSecond = 0;              ///< Pace of one answer.
    double weight = 1;                       ///< Share beside other teams of the same rank.

    friend auto operator<=>(const Plan &, const Plan &) = default;
};

/// One bearer key of a team. The secret itself is never stored.
struct KeyRecord
{
    std::string id;
    std::string salt; ///< Lower-case hex, at least 8 bytes.
    std::string hash; ///< Lower-case hex of SHA-256 over the salt's bytes and the secret.

    friend auto operator<=>(const KeyRecord &, const KeyRecord &) = default;
};

/// A team with its plan and keys.
struct TeamRecord
{
    TeamId team;
    PlanName plan;
    std::vector<KeyRecord> keys;

    friend auto operator<=>(const TeamRecord &, const TeamRecord &) = default;
};

/// A checked list. Immutable, cheap to copy; thread-safe.
class PlanList
{
public:
    /// Reads and checks a list completely.
    /// @param fileName named in the problems.
    /// @return the list, or `InvalidDocument` with one line for each problem.
    [[nodiscard]] static Result<PlanList> parse(std::string_view text, const std::string &fileName);

    /// @return the team, or nullptr; valid as long as any copy of this list.
    [[nodiscard]] const TeamRecord *findTeam(const TeamId &team) const;
    /// @return the plan, or nullptr.
    [[nodiscard]] const Plan *findPlan(const PlanName &name) const;

    /// A key with the team that owns it.
    struct KeyOwner
    {
        const KeyRecord *key = nullptr; ///< nullptr if there is no such key.
        const TeamRecord *team = nullptr;
    };
    /// @param keyId the part of a bearer key between "ds_" and the secret.
    [[nodiscard]] KeyOwner findKey(std::string_view keyId) const;

    [[nodiscard]] const std::vector<Plan> &plans() const;
    [[nodiscard]] const std::vector<TeamRecord> &teams() const;

private:
    class Private;
    explicit PlanList(std::shared_ptr<const Private> d);
    std::shared_ptr<const Private> d_;
};

/// Tells whose key it is. Takes the same time for a wrong secret as for an unknown key id.
/// @param bearerKey `ds_<id>_<secret>`.
/// @return the team, `MissingKey` if the key is empty, else `UnknownKey`.
[[nodiscard]] Result<TeamId> authenticate(const PlanList &plans, std::string_view bearerKey);

/// @param saltHex hex digits, an even number.
/// @return lower-case hex of SHA-256 over the salt's bytes and the secret: the `hash` of a KeyRecord.
[[nodiscard]] std::string hashSecret(std::string_view saltHex, std::string_view secret);

} // namespace daisystream
