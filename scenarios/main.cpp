#include "scenarios/luamodule.h"

#include <gflags/gflags.h>
#include <lua.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <memory>

DEFINE_string(programs, "build", "build folder with the executables");
DEFINE_string(library, "scenarios/lib", "folder of the shared Lua modules");
DEFINE_bool(keep, false, "keep the temporary folder with settings and logs, and print its name");

namespace
{

using daisystream::scenarios::RunFolders;

/// A temporary folder that is removed with its content.
class ScratchFolder
{
public:
    ScratchFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
        path_ = ::mkdtemp(pattern.data());
    }

    ~ScratchFolder()
    {
        if (FLAGS_keep) {
            std::cerr << "kept " << path_ << '\n';
            return;
        }
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }

    ScratchFolder(const ScratchFolder &) = delete;
    ScratchFolder &operator=(const ScratchFolder &) = delete;
    ScratchFolder(ScratchFolder &&) = delete;
    ScratchFolder &operator=(ScratchFolder &&) = delete;

    [[nodiscard]] const std::string &path() const
    {
        return path_;
    }

private:
    std::string path_;
};

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
    bool passed = true;
    for (int i = 1; i < argc; ++i) {
        const ScratchFolder scratch;
        const RunFolders folders{.programs = FLAGS_programs, .scratch = scratch.path()};
        passed = runScript(argv[i], folders) && passed;
    }
    return passed ? 0 : 1;
} catch (const std::exception &fault) {
    std::fprintf(stderr, "scenario_runner: %s\n", fault.what());
    return 1;
}
