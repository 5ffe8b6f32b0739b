-- Guards R1 when failures come twice and together: the VM that streams is killed, the next one too while the platform is
-- out and the link to the engine forgets its open connections; the last VM completes the same generation.
local fleet = require("fleet")

local f = fleet.start{vms = 3, engines = 1, engine_arguments = {"--step_ms", "30"}}
local first = f.vms[1]:ask{tokens = 120}
first:wait_tokens(5)
f.vms[1].process:signal("KILL")
first:wait_end()
local texts, id = first:tokens()

f:platform_faults{outage = true}
local second = f.vms[2]:resume(id)
second:wait_tokens(5)
f.engines[1].relay:mode("forget_open")
f.engines[1].relay:mode("pass")
second:wait_tokens(20)
f.vms[2].process:signal("KILL")
second:wait_end()
local more
more, id = second:tokens()

local third = f.vms[3]:resume(id)
local final = third:wait_end()
assert(final and final.state == "complete", "the answer did not complete")
fleet.assert_whole(fleet.join(texts, more, (third:tokens())), 120)
