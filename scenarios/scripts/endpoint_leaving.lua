-- Guards R5 and R6: the platform's list of VMs says that an engine is leaving. No VM gives it new work; what runs there
-- finishes.
local fleet = require("fleet")
local scenario = require("scenario")

local f = fleet.start{vms = 3, engines = 2}

local function started(number)
    local _, body = scenario.call{port = f.engines[number].port, target = "/faults"}
    return scenario.decode(body).started
end

local running = {}
for i = 1, 6 do
    running[i] = f.vms[i % 3 + 1]:ask{tokens = 300}
end
for _, answer in ipairs(running) do
    answer:wait_tokens(2)
end
assert(started(1) > 0, "the engine that leaves has no work")

local status = scenario.call{
    method = "POST",
    port = f.platform_port,
    target = "/vms",
    body = scenario.encode{{vm = "engine-1", zone = "a", leaving = true}},
}
assert(status == 200 or status == 204, "the list was not taken: " .. status)
fleet.eventually("no VM sends new work to the leaving engine", function()
    local before = started(1)
    for _, vm in ipairs(f.vms) do
        for _ = 1, 4 do
            vm:ask{tokens = 1}:wait_end()
        end
    end
    return started(1) == before
end)
for _, answer in ipairs(running) do
    local final = answer:wait_end()
    assert(final and final.state == "complete", "a running answer was cut off")
    fleet.assert_whole((answer:tokens()), 300)
end
