-- Guards R1 and R3: engines are killed. Requests without a token move to another engine; an answer that has begun ends
-- as incomplete with what was sent, never continued by another generation.
local fleet = require("fleet")

local f = fleet.start{vms = 2, engines = 2}
local answers = {}
for i = 1, 8 do
    answers[i] = f.vms[i % 2 + 1]:ask{tokens = 150}
end
for _, answer in ipairs(answers) do
    answer:wait_tokens(3)
end
f.engines[1].process:signal("KILL")
local complete, incomplete = 0, 0
for _, answer in ipairs(answers) do
    local final = answer:wait_end()
    assert(final, "an answer ended without a final event")
    local texts = answer:tokens()
    fleet.assert_whole(texts, #texts)
    if final.state == "complete" then
        assert(#texts == 150, "a complete answer has " .. #texts .. " tokens")
        complete = complete + 1
    else
        assert(final.state == "incomplete", final.state)
        incomplete = incomplete + 1
    end
end
assert(complete > 0 and incomplete > 0, complete .. " complete, " .. incomplete .. " incomplete")

for _ = 1, 6 do
    local final = f.vms[1]:ask{tokens = 5}:wait_end()
    assert(final and final.state == "complete", "a new request was not moved to the engine that is left")
end
