-- Guards R7: a VM cut off from the platform and from the other VMs stops taking new work, finishes what runs, and
-- serves again once the links are back. The other VMs go on.
local fleet = require("fleet")

local f = fleet.start{vms = 3, engines = 1}
local running = f.vms[1]:ask{tokens = 300}
running:wait_tokens(2)

f.vms[1].platform_relay:mode("refuse")
f.vms[1].peer_relay:mode("refuse")
f.vms[2].peer_relay:mode("refuse") -- The links from vm1 to the others pass through their relays.
f.vms[3].peer_relay:mode("refuse")
fleet.eventually("the isolated VM refuses work", function()
    local answer = f.vms[1]:ask{tokens = 1}
    answer:wait_end()
    local status, body = answer.call:result()
    return status == 503 and body:find("notRun", 1, true)
end)
local other = f.vms[2]:ask{tokens = 3}
local final = other:wait_end()
assert(final and final.state == "complete", "a VM with the platform in reach stopped serving")

final = running:wait_end()
assert(final and final.state == "complete", "the running answer was cut off")
fleet.assert_whole((running:tokens()), 300)

for _, vm in ipairs(f.vms) do
    vm.platform_relay:mode("pass")
    vm.peer_relay:mode("pass")
end
f.vms[1]:wait_ready()
