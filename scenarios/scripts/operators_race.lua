-- Guards R7: of two operators who edit the same version one wins and the other is told so; a write whose reply was lost
-- is settled by reading back, and the command reports what really happened.
local fleet = require("fleet")
local scenario = require("scenario")

local f = fleet.start{vms = 1, engines = 1}
local platform = {"--platform", "127.0.0.1:" .. f.platform_port}

local function shown_version()
    local code, output = f:cli{"--json", platform[1], platform[2], "limits", "show"}
    assert(code == 0, output)
    return scenario.decode(output).version
end

local function apply(concurrency, base)
    local limits = fleet.limits()
    limits.limits[1].concurrency = concurrency
    local path = scenario.write_file("limits-" .. concurrency .. ".json", scenario.encode(limits))
    return f:cli{"--base", tostring(base), "--file", path, platform[1], platform[2], "limits", "edit"}
end

local base = shown_version()
local first_code, first_output = apply(11, base)
local second_code, second_output = apply(12, base)
assert(first_code == 0, first_output)
assert(second_code == 4, "the second operator was not told of the conflict: " .. second_output)
assert(second_output:find("concurrency", 1, true), "the difference is not named: " .. second_output)

base = shown_version()
f:platform_faults{loseReplies = 1}
local code, output = apply(13, base)
assert(code == 0, "an applied change was reported as failed: " .. output)
assert(shown_version() == base + 1, "the change was applied more than once")
