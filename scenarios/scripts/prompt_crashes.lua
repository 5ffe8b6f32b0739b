-- Guards against a paragraph of prompts that crashes one engine after the other, at whichever VM it arrives, and against the refusal of
-- prompts that share their other paragraphs with it.
local fleet = require("fleet")
local scenario = require("scenario")

local kDeadly = "clause that no engine survives"
local kQuarantined = 208
-- What a deadly paragraph may cost all VMs together.
local kCrashes, kRequests = 5, 3
local kInterval, kSeconds = 0.1, 9

local f = fleet.start{vms = 3, engines = 6, engine_arguments = {"--crash_text", kDeadly}}
local asked = 0

local function prompt(is_deadly)
    asked = asked + 1
    local paragraphs = {"You help at a refill desk.", "Depot number " .. asked % 4 .. "."}
    if is_deadly then
        table.insert(paragraphs, kDeadly)
    end
    table.insert(paragraphs, "Question " .. asked)
    return table.concat(paragraphs, "\n\n")
end

local function crashes()
    local total = 0
    for _, engine in ipairs(f.engines) do
        local status, body = scenario.call{port = engine.port, target = "/faults"}
        total = total + (status == 200 and scenario.decode(body).crashes or 0)
    end
    return total
end

--- Asks through VMs in turn. Returns the answers to sound and to deadly prompts.
local function ask_for(seconds, vms)
    local sound, deadly = {}, {}
    local limit = scenario.now() + seconds
    while scenario.now() < limit do
        local is_deadly = asked % 4 == 0
        local vm = vms[asked % #vms + 1]
        table.insert(is_deadly and deadly or sound, vm:ask{tokens = 10, prompt = prompt(is_deadly)})
        scenario.sleep(kInterval)
    end
    return sound, deadly
end

-- All engines are back before their crashes are counted.
local function count_crashes()
    scenario.sleep(1.5)
    return crashes()
end

local sound, deadly = ask_for(kSeconds, f.vms)
local total = count_crashes()
assert(total >= 1, "no engine crashed")
assert(total <= kCrashes + kRequests, total .. " crashes")

local refused = 0
for _, answer in ipairs(deadly) do
    answer:wait_end()
    local status, body, headers = answer.call:result()
    local error = scenario.decode(body).error
    if status == 503 then
        refused = refused + 1
        assert(error.code == kQuarantined and error.state == "notRun", body)
        assert(headers["retry-after"] or headers["Retry-After"], "refused without a time to come back")
    end
end
assert(refused >= #deadly / 2, "only " .. refused .. " of " .. #deadly .. " deadly prompts were refused")

local served = 0
for _, answer in ipairs(sound) do
    local final = answer:wait_end()
    served = served + (final and final.state == "complete" and 1 or 0)
end
assert(served >= 0.8 * #sound, "only " .. served .. " of " .. #sound .. " sound prompts were served")

-- A VM that starts later knows what the others have seen.
f.vms[3].process:signal("KILL")
f.vms[3].process:wait()
f.vms[3]:start()
f.vms[3]:wait_ready()
local blocks = function() return f.vms[3]:log_count("event=part_blocked") > 0 end
fleet.eventually("the VM that has started knows what is blocked", blocks)
local before = count_crashes()
ask_for(2, {f.vms[3]})
total = count_crashes()
print(total .. " crashes, " .. #deadly .. " deadly prompts, " .. refused .. " refused, " .. served .. " of " .. #sound .. " sound ones served")
assert(total - before <= 1, "a VM that started later crashed " .. total - before .. " engines")
assert(total <= kCrashes + kRequests, total .. " crashes")
