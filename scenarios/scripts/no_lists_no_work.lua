-- Guards R3 and R7: a VM that starts alone during an outage of the platform knows no lists and refuses work as not run.
local fleet = require("fleet")
local scenario = require("scenario")

local f = fleet.start{vms = 1, engines = 1}
f:platform_faults{outage = true}
f.vms[1].process:signal("KILL")
f.vms[1].process:wait()
f.vms[1]:start()
fleet.eventually("the daemon listens", function()
    return scenario.call{port = f.vms[1].port, target = "/healthz"} == 200
end)
local answer = f.vms[1]:ask{}
answer:wait_end()
local status, body = answer.call:result()
assert(status == 503, "status " .. status)
assert(body:find("notRun", 1, true), body)
assert(scenario.call{port = f.vms[1].port, target = "/readyz"} ~= 200, "a VM without lists is ready")

f:platform_faults{outage = false}
f.vms[1]:wait_ready()
