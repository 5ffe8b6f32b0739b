#pragma once

#include "bench/figures.h"

#include <map>
#include <string>
#include <vector>

/// @file
/// The targets of design section 2.4 as checks on the figures of a scenario.
///
/// Example:
/// @code
///   for (const Check &check : checksFor("ordinary10", runs)) {
///       ok = ok && check.holds();
///   }
/// @endcode

namespace daisystream::bench
{

/// Figures of the runs of one seed, by policy name; "normal" holds the run of arrangement (d) without overload.
using SeedRuns = std::map<std::string, Figures>;

/// One target. It holds if the figure of every seed is on the right side of the bound.
struct Check
{
    std::string name; ///< One word, used in CTest names and KNOWN-RED.txt.
    std::string target;
    bool atLeast = true; ///< false: at most.
    double bound = 0;
    std::vector<double> values{}; ///< By seed.

    [[nodiscard]] bool holds() const;
};

/// @return the checks of a scenario over all seeds.
[[nodiscard]] std::vector<Check> checksFor(const std::string &scenario, const std::vector<SeedRuns> &seeds);

/// @return whether the checks of the scenario compare with a run without overload.
[[nodiscard]] bool needsNormalRun(const std::string &scenario);

} // namespace daisystream::bench
