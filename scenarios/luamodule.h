#pragma once

#include "scenarios/portblock.h"

#include <string>

struct lua_State;

/// @file
/// The functions that scenario scripts call, as the Lua module `scenario`. docs/scenarios.md lists them.

namespace daisystream::scenarios
{

/// Where a run finds its programs and keeps its files.
struct RunFolders
{
    std::string programs; ///< Build folder with the executables.
    std::string scratch;  ///< Temporary folder for settings files and logs of this run.
    PortBlock &ports;     ///< For the processes that the run starts.
};

/// Makes the module available to `require("scenario")`.
/// @param folders must outlive the Lua state.
void registerScenarioModule(lua_State *lua, const RunFolders &folders);

} // namespace daisystream::scenarios
