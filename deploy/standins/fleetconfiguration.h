#pragma once

#include "soak/configuration.h"

#include <string>

namespace daisystream::standins
{

/// Length of the answers that stand-ins stream, in events.
constexpr unsigned kEventsOfLongAnswer = 160;
constexpr unsigned kEventsOfShortAnswer = 6;
/// Tokens of each event.
constexpr unsigned kTokensPerEvent = 4;

/// @return a configuration as the operator keeps it in the store.
[[nodiscard]] std::string configurationText(const soak::Configuration &configuration);

/// @return the body by which a test has the stand-in of the store take a configuration.
[[nodiscard]] std::string configurationRow(const soak::Configuration &configuration);

/// @return the body by which a test has the stand-in of the store take a zone out of service, or back.
[[nodiscard]] std::string zoneRow(const std::string &zone, bool isWithdrawn);

} // namespace daisystream::standins
