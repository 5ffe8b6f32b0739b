-- Guards against a cell that stands still with its owner: each VM in turn, one of them the owner, is paused; the others
-- go on serving. The resumed VM serves again.
local fleet = require("fleet")

local f = fleet.start{vms = 3, engines = 2}
for paused = 1, 3 do
    f.vms[paused].process:signal("STOP")
    for number, vm in ipairs(f.vms) do
        if number ~= paused then
            for _ = 1, 3 do
                local answer = vm:ask{tokens = 3}
                local final = answer:wait_end()
                assert(final and final.state == "complete", vm.name .. " did not serve while vm" .. paused .. " was paused")
                fleet.assert_whole((answer:tokens()), 3)
            end
        end
    end
    f.vms[paused].process:signal("CONT")
    f.vms[paused]:wait_ready()
    local final = f.vms[paused]:ask{tokens = 3}:wait_end()
    assert(final and final.state == "complete", "the resumed VM does not serve")
end
