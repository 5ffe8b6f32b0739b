#include "scenarios/luamodule.h"

#include "scenarios/httpcall.h"
#include "scenarios/process.h"
#include "standins/relay/relay.h"

#include <lua.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <fstream>
#include <map>
#include <thread>

namespace daisystream::scenarios
{
namespace
{

using nlohmann::json;
using standins::Relay;

constexpr const char *kProcessType = "scenario.Process";
constexpr const char *kCallType = "scenario.HttpCall";
constexpr const char *kRelayType = "scenario.Relay";
constexpr auto kCallLimit = std::chrono::seconds(60);

const RunFolders &folders(lua_State *lua)
{
    return *static_cast<const RunFolders *>(lua_touserdata(lua, lua_upvalueindex(1)));
}

/// Stores a C++ object in a Lua userdata that destroys it when it is collected.
template<class T, class... Arguments>
void pushObject(lua_State *lua, const char *type, Arguments &&...arguments)
{
    void *memory = lua_newuserdatauv(lua, sizeof(T), 0);
    new (memory) T(std::forward<Arguments>(arguments)...);
    luaL_setmetatable(lua, type);
}

template<class T>
T &object(lua_State *lua, const char *type)
{
    return *static_cast<T *>(luaL_checkudata(lua, 1, type));
}

std::string stringField(lua_State *lua, int table, const char *name, const std::string &fallback)
{
    lua_getfield(lua, table, name);
    std::string value = luaL_optstring(lua, -1, fallback.c_str());
    lua_pop(lua, 1);
    return value;
}

bool isArray(lua_State *lua, int index)
{
    return lua_rawlen(lua, index) > 0;
}

json toJson(lua_State *lua, int index)
{
    index = lua_absindex(lua, index);
    switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
        return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
        return lua_isinteger(lua, index) != 0 ? json(lua_tointeger(lua, index)) : json(lua_tonumber(lua, index));
    case LUA_TSTRING:
        return std::string(lua_tostring(lua, index));
    case LUA_TTABLE:
        break;
    default:
        return nullptr;
    }
    json result = isArray(lua, index) ? json::array() : json::object();
    lua_pushnil(lua);
    while (lua_next(lua, index) != 0) {
        if (result.is_array()) {
            result.push_back(toJson(lua, -1));
        } else {
            result[lua_tostring(lua, -2)] = toJson(lua, -1);
        }
        lua_pop(lua, 1);
    }
    return result;
}

void pushJson(lua_State *lua, const json &value)
{
    if (value.is_boolean()) {
        lua_pushboolean(lua, value.get<bool>() ? 1 : 0);
    } else if (value.is_number_integer()) {
        lua_pushinteger(lua, value.get<lua_Integer>());
    } else if (value.is_number()) {
        lua_pushnumber(lua, value.get<double>());
    } else if (value.is_string()) {
        lua_pushstring(lua, value.get<std::string>().c_str());
    } else if (value.is_array()) {
        lua_newtable(lua);
        for (std::size_t i = 0; i < value.size(); ++i) {
            pushJson(lua, value[i]);
            lua_rawseti(lua, -2, static_cast<lua_Integer>(i) + 1);
        }
    } else if (value.is_object()) {
        lua_newtable(lua);
        for (const auto &[key, member] : value.items()) {
            pushJson(lua, member);
            lua_setfield(lua, -2, key.c_str());
        }
    } else {
        lua_pushnil(lua);
    }
}

int encodeJson(lua_State *lua)
{
    lua_pushstring(lua, toJson(lua, 1).dump().c_str());
    return 1;
}

int decodeJson(lua_State *lua)
{
    const json value = json::parse(luaL_checkstring(lua, 1), nullptr, false);
    if (value.is_discarded()) {
        lua_pushnil(lua);
    } else {
        pushJson(lua, value);
    }
    return 1;
}

int writeFile(lua_State *lua)
{
    const std::string path = folders(lua).scratch + "/" + luaL_checkstring(lua, 1);
    std::ofstream(path) << luaL_checkstring(lua, 2);
    lua_pushstring(lua, path.c_str());
    return 1;
}

int readFile(lua_State *lua)
{
    std::ifstream file(luaL_checkstring(lua, 1));
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    lua_pushlstring(lua, text.data(), text.size());
    return 1;
}

int sleepSeconds(lua_State *lua)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(luaL_checknumber(lua, 1)));
    return 0;
}

int monotonicSeconds(lua_State *lua)
{
    lua_pushnumber(lua, std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count());
    return 1;
}

int freePort(lua_State *lua)
{
    lua_pushinteger(lua, folders(lua).ports.next());
    return 1;
}

int startProcess(lua_State *lua)
{
    const std::string program = folders(lua).programs + "/" + luaL_checkstring(lua, 1);
    luaL_checktype(lua, 2, LUA_TTABLE);
    const std::string log = folders(lua).scratch + "/" + luaL_checkstring(lua, 3) + ".log";
    std::vector<std::string> arguments;
    for (lua_Integer i = 1; i <= static_cast<lua_Integer>(lua_rawlen(lua, 2)); ++i) {
        lua_rawgeti(lua, 2, i);
        arguments.emplace_back(luaL_checkstring(lua, -1));
        lua_pop(lua, 1);
    }
    pushObject<Process>(lua, kProcessType, program, arguments, log);
    lua_pushstring(lua, log.c_str());
    return 2;
}

int processSignal(lua_State *lua)
{
    static const std::map<std::string, int> kSignals{{"KILL", SIGKILL}, {"TERM", SIGTERM}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}, {"HUP", SIGHUP}};
    const auto found = kSignals.find(luaL_checkstring(lua, 2));
    if (found == kSignals.end()) {
        return luaL_error(lua, "unknown signal");
    }
    object<Process>(lua, kProcessType).signal(found->second);
    return 0;
}

int processRunning(lua_State *lua)
{
    lua_pushboolean(lua, object<Process>(lua, kProcessType).running() ? 1 : 0);
    return 1;
}

int processWait(lua_State *lua)
{
    lua_pushinteger(lua, object<Process>(lua, kProcessType).wait());
    return 1;
}

/// Takes {method=, port=, target=, headers={}, body=}.
HttpRequest toRequest(lua_State *lua)
{
    luaL_checktype(lua, 1, LUA_TTABLE);
    HttpRequest request;
    request.method = stringField(lua, 1, "method", "GET");
    request.target = stringField(lua, 1, "target", "/");
    request.body = stringField(lua, 1, "body", "");
    lua_getfield(lua, 1, "port");
    request.port = static_cast<std::uint16_t>(luaL_checkinteger(lua, -1));
    lua_getfield(lua, 1, "headers");
    if (lua_istable(lua, -1)) {
        const json headers = toJson(lua, -1);
        for (const auto &[name, value] : headers.items()) {
            request.headers[name] = value.get<std::string>();
        }
    }
    lua_pop(lua, 2);
    return request;
}

int openCall(lua_State *lua)
{
    pushObject<HttpCall>(lua, kCallType, toRequest(lua));
    return 1;
}

/// Returns status, body, headers, failure.
int pushCallResult(lua_State *lua, const HttpCall &call)
{
    lua_pushinteger(lua, call.status());
    const std::string body = call.body();
    lua_pushlstring(lua, body.data(), body.size());
    pushJson(lua, json(call.headers()));
    lua_pushstring(lua, call.failure().c_str());
    return 4;
}

int performCall(lua_State *lua)
{
    const HttpCall call(toRequest(lua));
    if (!call.waitFinished(kCallLimit)) {
        return luaL_error(lua, "the call did not end within its limit");
    }
    return pushCallResult(lua, call);
}

int callResult(lua_State *lua)
{
    return pushCallResult(lua, object<HttpCall>(lua, kCallType));
}

int callFinished(lua_State *lua)
{
    lua_pushboolean(lua, object<HttpCall>(lua, kCallType).finished() ? 1 : 0);
    return 1;
}

int callClose(lua_State *lua)
{
    object<HttpCall>(lua, kCallType).close();
    return 0;
}

int startRelay(lua_State *lua)
{
    pushObject<Relay>(lua, kRelayType, static_cast<std::uint16_t>(luaL_checkinteger(lua, 1)));
    return 1;
}

int relayPort(lua_State *lua)
{
    lua_pushinteger(lua, object<Relay>(lua, kRelayType).port());
    return 1;
}

int relayMode(lua_State *lua)
{
    static const std::map<std::string, Relay::Mode> kModes{{"pass", Relay::Mode::Pass},
                                                           {"stall", Relay::Mode::Stall},
                                                           {"forget_open", Relay::Mode::ForgetOpen},
                                                           {"refuse", Relay::Mode::Refuse},
                                                           {"drop_requests", Relay::Mode::DropRequests},
                                                           {"drop_replies", Relay::Mode::DropReplies},
                                                           {"slow", Relay::Mode::Slow}};
    const auto found = kModes.find(luaL_checkstring(lua, 2));
    if (found == kModes.end()) {
        return luaL_error(lua, "unknown relay mode");
    }
    object<Relay>(lua, kRelayType).setMode(found->second);
    return 0;
}

int relayCut(lua_State *lua)
{
    object<Relay>(lua, kRelayType).cutOpen();
    return 0;
}

template<class T>
int destroyObject(lua_State *lua)
{
    static_cast<T *>(lua_touserdata(lua, 1))->~T();
    return 0;
}

template<class T>
void registerType(lua_State *lua, const char *type, const luaL_Reg *methods)
{
    luaL_newmetatable(lua, type);
    lua_newtable(lua);
    luaL_setfuncs(lua, methods, 0);
    lua_setfield(lua, -2, "__index");
    lua_pushcfunction(lua, destroyObject<T>);
    lua_setfield(lua, -2, "__gc");
    lua_pop(lua, 1);
}

constexpr luaL_Reg kProcessMethods[] = {{"signal", processSignal}, {"running", processRunning}, {"wait", processWait}, {nullptr, nullptr}};
constexpr luaL_Reg kCallMethods[] = {{"result", callResult}, {"finished", callFinished}, {"close", callClose}, {nullptr, nullptr}};
constexpr luaL_Reg kRelayMethods[] = {{"port", relayPort}, {"mode", relayMode}, {"cut", relayCut}, {nullptr, nullptr}};
constexpr luaL_Reg kFunctions[] = {{"encode", encodeJson},
                                   {"decode", decodeJson},
                                   {"write_file", writeFile},
                                   {"read_file", readFile},
                                   {"sleep", sleepSeconds},
                                   {"now", monotonicSeconds},
                                   {"free_port", freePort},
                                   {"start", startProcess},
                                   {"open", openCall},
                                   {"call", performCall},
                                   {"relay", startRelay},
                                   {nullptr, nullptr}};

int openModule(lua_State *lua)
{
    lua_getfield(lua, LUA_REGISTRYINDEX, "scenario.folders");
    void *folders = lua_touserdata(lua, -1);
    luaL_newlibtable(lua, kFunctions);
    lua_pushlightuserdata(lua, folders);
    luaL_setfuncs(lua, kFunctions, 1);
    return 1;
}

} // namespace

void registerScenarioModule(lua_State *lua, const RunFolders &folders)
{
    registerType<Process>(lua, kProcessType, kProcessMethods);
    registerType<HttpCall>(lua, kCallType, kCallMethods);
    registerType<Relay>(lua, kRelayType, kRelayMethods);
    // Lua's light userdata is not const; the module only reads the folders.
    lua_pushlightuserdata(lua, const_cast<RunFolders *>(&folders));
    lua_setfield(lua, LUA_REGISTRYINDEX, "scenario.folders");
    luaL_requiref(lua, "scenario", openModule, 0);
    lua_pop(lua, 1);
}

} // namespace daisystream::scenarios
