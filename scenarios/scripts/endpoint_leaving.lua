-- Guards R5 and R6: the platform's list of VMs says that an engine is leaving. No VM gives it new work; what runs there
-- finishes.
local fleet = require("fleet")
local scenario = require("scenario")

local f = fleet.start{vms = 3, engines = 2}
local running = f:start_answers(6, 300)
assert(f:started(1) > 0, "the engine that leaves has no work")

local status = scenario.call{
    method = "POST",
    port = f.platform_port,
    target = "/vms",
    body = scenario.encode{{vm = "engine-1", zone = "a", leaving = true}},
}
assert(status == 200 or status == 204, "the list was not taken: " .. status)
f:wait_no_new_work(1)
fleet.assert_all_complete(running, 300)
