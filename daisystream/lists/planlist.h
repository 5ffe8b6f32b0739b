#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The list of service plans and of the teams that subscribe to them. Its text is JSON with comments, as described in section
/// 2.5 of docs/design.md.
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

/// The service level that the operator promises to the teams of a plan.
struct Plan
{
    PlanName name;
    Rank rank = Rank::Ordinary;
    std::chrono::milliseconds firstToken{0}; ///< Promised maximum time from the arrival of a request to its first token.
    double tokensPerSecond = 0;              ///< Promised output rate of each answer.
    double weight = 1;                       ///< Weight of a team's share of the capacity among teams of the same rank.

    friend auto operator<=>(const Plan &, const Plan &) = default;
};

/// One bearer key of a team. The secret itself is never stored.
struct KeyRecord
{
    std::string id;   ///< The public part of the bearer key, by which the record is found.
    std::string salt; ///< 8 to 64 bytes in lower-case hex.
    std::string hash; ///< SHA-256 over the salt's bytes and the secret, in lower-case hex.

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

/// A validated list. Immutable and cheap to copy, because copies share the data. Thread-safe.
class PlanList
{
public:
    /// Reads and validates a list. Reading continues after a problem, so that all problems are reported.
    /// @param text the list as JSON with comments.
    /// @param fileName the file name to show in the problems.
    /// @return the list, or `InvalidDocument` with one line for each problem.
    [[nodiscard]] static Result<PlanList> parse(std::string_view text, const std::string &fileName);

    /// @return the team, or nullptr if there is none. The pointer is valid as long as any copy of this list exists.
    [[nodiscard]] const TeamRecord *findTeam(const TeamId &team) const;
    /// @return the plan, or nullptr if there is none. The pointer is valid as long as any copy of this list exists.
    [[nodiscard]] const Plan *findPlan(const PlanName &name) const;

    /// A bearer key and the team that it belongs to.
    struct KeyOwner
    {
        const KeyRecord *key = nullptr; ///< nullptr if there is no such key.
        const TeamRecord *team = nullptr;
    };
    /// @param keyId the part of a bearer key between "ds_" and the second '_', after which the secret follows.
    /// @return the key and its team; null pointers if there is no such key.
    [[nodiscard]] KeyOwner findKey(std::string_view keyId) const;

    [[nodiscard]] const std::vector<Plan> &plans() const;
    [[nodiscard]] const std::vector<TeamRecord> &teams() const;

private:
    class Private;
    explicit PlanList(std::shared_ptr<const Private> d);
    std::shared_ptr<const Private> d_;
};

/// Finds the team that a bearer key belongs to and verifies the secret. An unknown key id takes the same time as a wrong
/// secret, so that callers cannot find out which key ids exist.
/// @param plans the list to search.
/// @param bearerKey the key in the form `ds_<id>_<secret>`.
/// @return the team, `MissingKey` if the key is empty, else `UnknownKey`.
[[nodiscard]] Result<TeamId> authenticate(const PlanList &plans, std::string_view bearerKey);

/// @param saltHex the salt in lower-case hex, with an even number of digits.
/// @param secret the secret part of a bearer key.
/// @return SHA-256 over the salt's bytes and the secret in lower-case hex, for KeyRecord::hash.
[[nodiscard]] std::string hashSecret(std::string_view saltHex, std::string_view secret);

} // namespace daisystream
