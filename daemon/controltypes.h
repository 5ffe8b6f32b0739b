#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"
#include "daisystream/scheduler/scheduler.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The types of the decision library that the control part of the daemon hands to the data part. Temporary: replaced by
/// includes of the library's headers as these arrive.

namespace daisystream
{

struct Plan
{
    PlanName name;
    Rank rank = Rank::Ordinary;
    std::chrono::milliseconds firstToken{};
    double tokensPerSecond = 0;
    double weight = 1;
};

struct KeyRecord
{
    std::string id, salt, hash;
};

struct TeamRecord
{
    TeamId team;
    PlanName plan;
    std::vector<KeyRecord> keys;
};

struct Limit
{
    PlanName plan;
    std::vector<ModelId> models;
    std::vector<ServiceId> services;
    std::uint32_t concurrency = 0;
    double tokensPerSecond = 0;
    std::uint32_t maxOutputTokens = 0;
};

class PlanList
{
public:
    [[nodiscard]] const TeamRecord *findTeam(const TeamId & /*team*/) const
    {
        return nullptr;
    }
    [[nodiscard]] const Plan *findPlan(const PlanName & /*plan*/) const
    {
        return nullptr;
    }
};

class LimitList
{
public:
    [[nodiscard]] const Limit *findLimit(const PlanName & /*plan*/) const
    {
        return nullptr;
    }
};

[[nodiscard]] inline Result<TeamId> authenticate(const PlanList & /*plans*/, std::string_view /*bearerKey*/)
{
    return Error{ResultCode::UnknownKey, "no lists yet", {}};
}

struct ListVersion
{
    std::uint64_t number = 0;
    std::string changeId;
};

} // namespace daisystream
