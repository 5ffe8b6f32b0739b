-- Guards R5 and R6: a drained engine gets no new work from any VM and finishes what runs; restored, it gets work again.
local fleet = require("fleet")
local scenario = require("scenario")

local f = fleet.start{vms = 3, engines = 2}
local platform = {"--platform", "127.0.0.1:" .. f.platform_port}

local function started(number)
    local _, body = scenario.call{port = f.engines[number].port, target = "/faults"}
    return scenario.decode(body).started
end

local running = {}
for i = 1, 6 do
    running[i] = f.vms[i % 3 + 1]:ask{tokens = 200}
end
for _, answer in ipairs(running) do
    answer:wait_tokens(2)
end
assert(started(1) > 0, "the engine to drain has no work")

local code, output = f:cli{"endpoints", "drain", "engine-1", table.unpack(platform)}
assert(code == 0, output)
fleet.eventually("no VM sends new work to the drained engine", function()
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
    fleet.assert_whole((answer:tokens()), 200)
end

code, output = f:cli{"endpoints", "restore", "engine-1", table.unpack(platform)}
assert(code == 0, output)
fleet.eventually("the restored engine gets work", function()
    local before = started(1)
    for _ = 1, 8 do
        f.vms[1]:ask{tokens = 1}:wait_end()
    end
    return started(1) > before
end)
