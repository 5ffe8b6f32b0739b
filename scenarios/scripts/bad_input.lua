-- Guards against callers that send nonsense: each gets the right status, and another caller's answer is not disturbed.
local fleet = require("fleet")
local scenario = require("scenario")

local f = fleet.start{vms = 2, engines = 1}
local vm = f.vms[1]
local witness = vm:ask{tokens = 80}
witness:wait_tokens(1)

local function expect(wanted, status, body)
    assert(status == wanted, "expected " .. wanted .. ", got " .. status .. " " .. tostring(body))
end

local function raw(headers, body, target)
    local status, text = scenario.call{method = "POST", port = vm.port, target = target or "/v1/completions", headers = headers, body = body}
    return status, text
end

local good = {["Authorization"] = "Bearer " .. fleet.urgent_key}
local request = scenario.encode{model = "assistant", prompt = "x", max_tokens = 1}
expect(401, raw({}, request))
expect(401, raw({["Authorization"] = "Bearer ds_k1_wrong"}, request))
expect(401, raw({["Authorization"] = "Bearer nonsense"}, request))
expect(403, raw(good, scenario.encode{model = "forbidden", prompt = "x"}))
expect(403, raw(good, "{}", "/v1/services/forbidden/order"))
expect(400, raw(good, "{ not json"))
expect(400, raw(good, "[]"))
expect(400, raw(good, scenario.encode{prompt = "no model"}))
expect(404, raw(good, request, "/v2/nothing"))
expect(413, raw(good, string.rep("x", 6000000)))
expect(431, raw({["Authorization"] = "Bearer " .. fleet.urgent_key, ["X-Long"] = string.rep("x", 20000)}, request))
expect(403, raw({["Authorization"] = "Bearer " .. fleet.urgent_key, ["Last-Event-ID"] = "forged"}, request))

-- A resume id of another team.
local _, id = witness:tokens()
local foreign = f.vms[2]:resume(id, {key = fleet.ordinary_key})
foreign:wait_end()
expect(403, foreign:status())

local final = witness:wait_end()
assert(final and final.state == "complete", "another caller's answer was disturbed")
fleet.assert_whole((witness:tokens()), 80)
