-- Guards R7: an accepted change is in force on every VM, also on one that cannot reach the platform; it stays in force
-- when the platform serves stale rows; and a VM that starts during an outage learns it from its peers.
local fleet = require("fleet")

local f = fleet.start{vms = 3, engines = 1}
local function status_of(vm)
    local answer = vm:ask{tokens = 2}
    answer:wait_end()
    return answer:status()
end

for _, vm in ipairs(f.vms) do
    assert(status_of(vm) == 200)
end

f.vms[3].platform_relay:mode("refuse")
local limits = fleet.limits()
limits.limits[1].models = {"other"}
local code, output = f:apply("limits", limits)
assert(code == 0, output)
for _, vm in ipairs(f.vms) do
    fleet.eventually("the change is in force on " .. vm.name, function()
        return status_of(vm) == 403
    end)
end

f:platform_faults{staleMs = 600000}
for _ = 1, 30 do
    for _, vm in ipairs(f.vms) do
        assert(status_of(vm) == 403, "the change was reverted on " .. vm.name)
    end
end

f:platform_faults{outage = true}
f.vms[2].process:signal("KILL")
f.vms[2].process:wait()
f.vms[2]:start()
fleet.eventually("the restarted VM learns the lists from its peers", function()
    return status_of(f.vms[2]) == 403
end)
