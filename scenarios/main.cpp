#include "scenarios/luamodule.h"
#include "scenarios/scratchfolder.h"

#include <gflags/gflags.h>
#include <lua.hpp>

#include <cstdio>
#include <iostream>
#include <memory>

DEFINE_string(programs, "build", "build folder with the executables");
DEFINE_string(library, "scenarios/lib", "folder of the shared Lua modules");
DEFINE_bool(keep, false, "keep the temporary folder with settings and logs, and print its name; done for each failed script");

namespace
{

using daisystream::scenarios::RunFolders;
using daisystream::scenarios::ScratchFolder;

/// Adds a stack trace to the message of a Lua error.
int addTrace(lua_State *lua)
{
    luaL_traceback(lua, lua, lua_tostring(lua, 1), 1);
    return 1;
}

bool runScript(const std::string &script, const RunFolders &folders)
{
    const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(), lua_close);
    luaL_openlibs(lua.get());
    daisystream::scenarios::registerScenarioModule(lua.get(), folders);
    const std::string path = "package.path = '" + FLAGS_library + "/?.lua;' .. package.path";
    luaL_dostring(lua.get(), path.c_str());
    lua_pushcfunction(lua.get(), addTrace);
    const bool failed = luaL_loadfile(lua.get(), script.c_str()) != LUA_OK || lua_pcall(lua.get(), 0, 0, 1) != LUA_OK;
    if (failed) {
        std::cerr << script << ": FAILED: " << lua_tostring(lua.get(), -1) << '\n';
    }
    return !failed;
}

} // namespace

int main(int argc, char **argv)
try {
    gflags::SetUsageMessage("scenario_runner [--programs DIR] [--library DIR] [--keep] SCRIPT...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    daisystream::scenarios::PortBlock ports;
    bool passed = true;
    for (int i = 1; i < argc; ++i) {
        ScratchFolder scratch("scenario");
        if (FLAGS_keep) {
            scratch.keep();
        }
        const RunFolders folders{.programs = FLAGS_programs, .scratch = scratch.path(), .ports = ports};
        if (!runScript(argv[i], folders)) {
            scratch.keep();
            passed = false;
        }
    }
    return passed ? 0 : 1;
} catch (const std::exception &fault) {
    std::fprintf(stderr, "scenario_runner: %s\n", fault.what());
    return 1;
}
