#include "bench/fleet.h"

#include <cmath>

namespace daisystream::bench
{
namespace
{

// Ten teams, five of each rank. The first of each rank asks for ten times as much as any other.
std::vector<TeamSpec> tenTeams(const std::string &name)
{
    constexpr double kLargeDemand = 10;
    std::vector<TeamSpec> teams;
    for (int i = 0; i < 10; ++i) {
        const Rank rank = i % 2 == 0 ? Rank::Urgent : Rank::Ordinary;
        teams.push_back({TeamId(name + std::to_string(i)), rank, i < 2 ? kLargeDemand : 1, 1});
    }
    return teams;
}

} // namespace

double ModelSpec::meanOutput() const
{
    return medianOutput * std::exp(sigmaOutput * sigmaOutput / 2);
}

Fleet fizzwell()
{
    Fleet fleet;
    fleet.name = "fizzwell";
    fleet.models
        = {{.id = ModelId("assistant"), .engines = 10}, {.id = ModelId("app"), .medianOutput = 60, .sigmaOutput = 1.0, .medianPrompt = 150, .engines = 3}};
    fleet.teams = tenTeams("cafe-");
    fleet.zones = 3;
    return fleet;
}

Fleet murmeltier()
{
    Fleet fleet;
    fleet.name = "murmeltier";
    fleet.models = {{.id = ModelId("assistant"), .medianOutput = 200, .engines = 12},
                    {.id = ModelId("booking"), .medianOutput = 60, .sigmaOutput = 1.0, .medianPrompt = 150, .engines = 4}};
    fleet.teams = tenTeams("outfit-");
    fleet.zones = 4;
    fleet.zoneDelay = std::chrono::microseconds(1000);
    fleet.callerDelay = std::chrono::microseconds(3000);
    return fleet;
}

Fleet largeFleet(std::uint32_t engines, std::uint32_t vms)
{
    Fleet fleet;
    fleet.name = "large-" + std::to_string(engines);
    fleet.models = {{.id = ModelId("assistant"), .engines = engines}};
    fleet.teams = tenTeams("team-");
    fleet.zones = 7;
    fleet.vms = vms;
    fleet.cellSize = 3;
    return fleet;
}

} // namespace daisystream::bench
