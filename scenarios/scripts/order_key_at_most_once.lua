-- Guards R4 and R3 for orders with a key of the caller's own: repeats through all VMs run once; while the platform is
-- down the order is refused with an unknown outcome and has not run, whereas orders by ticket are still served.
local fleet = require("fleet")
local scenario = require("scenario")

local f = fleet.start{vms = 3, engines = 0, services = 1}

local function order(vm, key, name)
    return vm:order(name, {["Idempotency-Key"] = key})
end

for _, vm in ipairs(f.vms) do
    local status, body = order(vm, "key-1", "seat-1")
    assert(status == 201, "order failed: " .. status .. " " .. body)
end
assert(f:order_counts()["seat-1"] == 1, "seat-1 ran " .. tostring(f:order_counts()["seat-1"]) .. " times")

f:platform_faults{outage = true}
local status, body = order(f.vms[1], "key-2", "seat-2")
-- Another VM may have run the key earlier, so neither status nor state says "not run"; the message says that this attempt ran nothing.
assert(status == 502, "status " .. status .. " " .. body)
assert(body:find("outcomeUnknown", 1, true), body)
assert(body:find("not run by this attempt", 1, true), body)
assert(not f:order_counts()["seat-2"], "a refused order ran")

local served = 0
for i = 1, 10 do
    local vm = f.vms[i % 3 + 1]
    local _, ticket_body = vm:call("POST", "/v1/services/booking/tickets")
    local ticket = scenario.decode(ticket_body).ticket
    if vm:order("hut-" .. i, {["X-Order-Ticket"] = ticket}) == 201 then
        served = served + 1
    end
end
assert(served == 10, served .. " of 10 orders by ticket were served during the outage")

f:platform_faults{outage = false}
fleet.eventually("orders by key are served again", function()
    return order(f.vms[2], "key-2", "seat-2") == 201
end)
assert(f:order_counts()["seat-2"] == 1, "seat-2 ran " .. tostring(f:order_counts()["seat-2"]) .. " times")
