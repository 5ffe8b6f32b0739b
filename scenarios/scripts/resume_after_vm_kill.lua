-- Guards R1 and R2: a VM is killed while it relays an answer; the caller continues it at another VM and has every token
-- once, in order, from the same generation.
local fleet = require("fleet")

local f = fleet.start{vms = 3, engines = 2}
local answer = f.vms[1]:ask{tokens = 60}
answer:wait_tokens(5)
f.vms[1].process:signal("KILL")
answer:wait_end()
local first, last = answer:tokens()
assert(#first < 60, "the answer was complete before the VM was killed")

local rest = f.vms[2]:resume(last)
local final = rest:wait_end()
assert(final and final.state == "complete", "the resumed answer did not complete")
fleet.assert_whole(fleet.join(first, (rest:tokens())), 60)
