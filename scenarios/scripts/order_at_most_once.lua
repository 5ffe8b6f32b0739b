-- Guards R4: the VM that issued a ticket is paused, the caller repeats the order at another VM, the paused VM resumes;
-- and the service loses a reply after the order took effect. The order runs at most once in all.
local fleet = require("fleet")
local scenario = require("scenario")

local f = fleet.start{vms = 3, engines = 0, services = 2}

local function ticket(vm)
    local status, body = vm:call("POST", "/v1/services/booking/tickets")
    assert(status == 200 or status == 201, "no ticket: " .. status .. " " .. body)
    return scenario.decode(body).ticket
end

local function order(vm, ticket_text, name)
    return vm:order(name, {["X-Order-Ticket"] = ticket_text})
end

local function assert_at_most_once(name)
    local count = f:order_counts()[name] or 0
    assert(count <= 1, name .. " ran " .. count .. " times")
    return count
end

-- A repeat through every VM returns the first outcome.
local plain = ticket(f.vms[1])
for _, vm in ipairs(f.vms) do
    local status, body = order(vm, plain, "bench-1")
    assert(status == 201, "order failed: " .. status .. " " .. body)
end
assert(assert_at_most_once("bench-1") == 1, "the order did not run")

-- The issuing VM is paused between two attempts.
local paused = ticket(f.vms[1])
f.vms[1].process:signal("STOP")
local status, body = order(f.vms[2], paused, "bench-2")
assert(status >= 400, "an order ran while its issuer was paused")
assert(not body:find("notRun", 1, true), "a paused issuer may still run the order: " .. body)
f.vms[1].process:signal("CONT")
fleet.eventually("the issuer answers again", function()
    return order(f.vms[2], paused, "bench-2") == 201
end)
assert(assert_at_most_once("bench-2") == 1, "the order did not run")

-- The reply is lost after the effect: the outcome is unknown, and a repeat must not run it again.
local lost = ticket(f.vms[2])
for i = 1, 2 do
    f:service_faults(i, {loseReplies = 1})
end
order(f.vms[2], lost, "bench-3")
order(f.vms[3], lost, "bench-3")
order(f.vms[1], lost, "bench-3")
assert_at_most_once("bench-3")

-- The issuing VM is killed: nobody else runs its tickets.
local orphan = ticket(f.vms[3])
f.vms[3].process:signal("KILL")
f.vms[3].process:wait()
assert(order(f.vms[1], orphan, "bench-4") >= 400, "an order ran without its issuer")
assert(assert_at_most_once("bench-4") == 0, "an order ran without its issuer")
