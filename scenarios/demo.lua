-- Starts three VMs with stand-ins, streams an answer through the command-line tool, kills the VM that streams it, and
-- shows that the tool resumes at another VM without a gap or a duplicate.
local fleet = require("fleet")
local scenario = require("scenario")

local kTokens = 60

print("starting a platform, two engines and three VMs (stand-ins, loopback)")
local f = fleet.start{vms = 3, engines = 2, engine_arguments = {"--tokens", tostring(kTokens), "--step_ms", "40"}}

local addresses = {}
for _, vm in ipairs(f.vms) do
    table.insert(addresses, "127.0.0.1:" .. vm.port)
end
print("asking for an answer through " .. table.concat(addresses, ", "))
local caller, log = scenario.start("cli/daisystream",
    {"--vms", table.concat(addresses, ","), "--key", fleet.urgent_key, "ask", "Describe the trail."}, "caller")

local function relaying_vm()
    for _, vm in ipairs(f.vms) do
        if vm:log_count("decision=assign") > 0 then
            return vm
        end
    end
    return nil
end

local first = fleet.eventually("an answer streams", relaying_vm)
fleet.eventually("the first tokens", function()
    return #scenario.read_file(log) > 60
end)
first.process:signal("KILL")
print(first.name .. " was streaming the answer and has been killed")
local code = caller:wait()
local output = scenario.read_file(log)
print("the caller received:\n" .. output)

local numbers = {}
for number in output:gmatch("(%d+) ") do
    table.insert(numbers, tonumber(number))
end
local count = 0
for _, number in ipairs(numbers) do
    if number == count then
        count = count + 1
    end
end
assert(code == 0, "the tool ended with exit code " .. code)
assert(count == kTokens, "expected " .. kTokens .. " tokens in order, got " .. count)
print("shown: " .. count .. " of " .. kTokens .. " tokens, each once and in order, from one generation, although " .. first.name ..
    " died in the middle; exit code " .. code)
