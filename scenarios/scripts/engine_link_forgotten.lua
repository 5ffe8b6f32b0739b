-- Guards against silent connections: something on the path forgets the open connection to the engine while new ones
-- work. The VM must notice and resume the same generation; the caller sees no gap and no duplicate.
local fleet = require("fleet")

local f = fleet.start{vms = 1, engines = 1}
local answer = f.vms[1]:ask{tokens = 60}
answer:wait_tokens(5)
f.engines[1].relay:mode("forget_open")
f.engines[1].relay:mode("pass")
local final = answer:wait_end()
assert(final and final.state == "complete", "the answer did not complete")
fleet.assert_whole((answer:tokens()), 60)
