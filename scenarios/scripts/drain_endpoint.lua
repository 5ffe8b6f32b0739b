-- Guards R5 and R6: a drained engine gets no new work from any VM and finishes what runs; restored, it gets work again.
local fleet = require("fleet")

local f = fleet.start{vms = 3, engines = 2}
local platform = {"--platform", "127.0.0.1:" .. f.platform_port}
local running = f:start_answers(6, 200)
assert(f:started(1) > 0, "the engine to drain has no work")

local code, output = f:cli{"endpoints", "drain", "engine-1", table.unpack(platform)}
assert(code == 0, output)
f:wait_no_new_work(1)
fleet.assert_all_complete(running, 200)

code, output = f:cli{"endpoints", "restore", "engine-1", table.unpack(platform)}
assert(code == 0, output)
fleet.eventually("the restored engine gets work", function()
    local before = f:started(1)
    for _ = 1, 8 do
        f.vms[1]:ask{tokens = 1}:wait_end()
    end
    return f:started(1) > before
end)
