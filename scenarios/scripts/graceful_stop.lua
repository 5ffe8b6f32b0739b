-- Guards R6 and R3: after SIGTERM the VM refuses new work as not run, finishes what runs, and exits with status 0.
local fleet = require("fleet")
local scenario = require("scenario")

local f = fleet.start{vms = 2, engines = 1}
local answer = f.vms[1]:ask{tokens = 100}
answer:wait_tokens(3)
f.vms[1].process:signal("TERM")
fleet.eventually("readiness fails", function()
    return scenario.call{port = f.vms[1].port, target = "/readyz"} ~= 200
end)
local refused = f.vms[1]:ask{tokens = 5}
refused:wait_end()
local status, body = refused.call:result()
if status ~= 0 then -- A closed listener refuses as well.
    assert(status == 503, "status " .. status)
    assert(body:find("notRun", 1, true), body)
end
local final = answer:wait_end()
assert(final and final.state == "complete", "the running answer was cut off")
fleet.assert_whole((answer:tokens()), 100)
assert(f.vms[1].process:wait() == 0, "the daemon did not exit with status 0")
