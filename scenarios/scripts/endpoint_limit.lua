-- Guards against VMs that each apply to themselves the limit of requests a second that an endpoint states for all VMs
-- together: an engine and a service state limits while more is asked of them through three VMs, one of which is killed.
local fleet = require("fleet")
local scenario = require("scenario")

local kEngineLimit, kServiceLimit = 3, 5
local kLearning, kWindow, kInterval = 3, 8, 0.1
-- What an endpoint tolerates: so many times its limit, and so many requests.
local kTolerance, kAllowance = 1.5, 5

local f = fleet.start{vms = 3, engines = 1, services = 1}
f:engine_faults(1, {requestsPerSecond = kEngineLimit})
f:service_faults(1, {requestsPerSecond = kServiceLimit})

local calls, next_call = {}, 0

--- Sends an answer's request and an order through one of the VMs in turn, without waiting for either.
local function send_more(vms)
    next_call = next_call + 1
    local vm = vms[next_call % #vms + 1]
    table.insert(calls, vm:ask{tokens = 1, prompt = "question " .. next_call})
    local name = "seat-" .. next_call
    local headers = {["Authorization"] = "Bearer " .. fleet.urgent_key, ["Idempotency-Key"] = name}
    scenario.open{method = "POST", port = vm.port, target = "/v1/services/booking/reserve", headers = headers, body = scenario.encode{order = name}}
end

local function send_for(seconds, vms)
    local limit = scenario.now() + seconds
    while scenario.now() < limit do
        send_more(vms)
        scenario.sleep(kInterval)
    end
end

local function orders_run()
    local total = 0
    for _, count in pairs(f:order_counts()) do
        total = total + count
    end
    return total
end

--- Checks how many requests the endpoints get in a span, while more are asked for.
local function check_span(vms)
    local began, answers, orders = scenario.now(), f:started(1), orders_run()
    send_for(kWindow, vms)
    local span = scenario.now() - began
    answers, orders = f:started(1) - answers, orders_run() - orders
    print(string.format("%.1f s: %d answers, %d orders", span, answers, orders))
    assert(answers <= kTolerance * kEngineLimit * span + kAllowance, answers .. " answers in " .. span .. " s")
    assert(orders <= kTolerance * kServiceLimit * span + kAllowance, orders .. " orders in " .. span .. " s")
    return answers, orders, span
end

send_for(kLearning, f.vms)
local answers, orders, span = check_span(f.vms)
assert(answers >= kEngineLimit * span / 2, "the engine takes more than " .. answers .. " answers")
assert(orders >= kServiceLimit * span / 2, "the service takes more than " .. orders .. " orders")

-- What is refused has not run, and says when to come back.
local refused = 0
for _, answer in ipairs(calls) do
    answer:wait_end()
    local status, body, headers = answer.call:result()
    if status ~= 200 then
        refused = refused + 1
        assert(body:find("notRun", 1, true), "refused without saying that it has not run: " .. status .. " " .. body)
        assert(headers["retry-after"] or headers["Retry-After"], "refused without a time to come back")
    end
end
assert(refused > 0, "nothing was refused")

-- The loss of a VM, which issues the permits of one endpoint or of none, does not raise what the endpoints get.
f.vms[1].process:signal("KILL")
check_span({f.vms[2], f.vms[3]})

-- Without a limit, everything is served again.
f:engine_faults(1, {requestsPerSecond = 0})
fleet.eventually("the end of the limit is known", function()
    local before = f:started(1)
    for _ = 1, 6 do
        f.vms[2]:ask{tokens = 1}
        f.vms[3]:ask{tokens = 1}
    end
    scenario.sleep(0.3)
    return f:started(1) == before + 12
end)
