-- A deployment of stand-ins and daemons on free loopback ports, and callers for it.
--
--   local fleet = require("fleet")
--   local f = fleet.start{vms = 3, engines = 2}
--   local answer = f.vms[1]:ask{prompt = "hello"}
--   answer:wait_tokens(5)

local scenario = require("scenario")

local fleet = {}

-- Limit of every wait. Generous, because it only bounds how long a failing run takes.
local kWaitLimit = 60

-- Bearer keys of the two teams; the lists hold the SHA-256 of salt and secret.
local kSalt = "00112233445566778899aabbccddeeff"
local kHash = "8d5a81abe7cadfd86234f79e6bf1f8c336db421070a0f361b3309b7b67ea9ce7"
fleet.urgent_key = "ds_k1_secret"
fleet.ordinary_key = "ds_k2_secret"

--- Waits until `condition` returns a true value and returns it.
function fleet.eventually(what, condition)
    local limit = scenario.now() + kWaitLimit
    repeat
        local value = condition()
        if value then
            return value
        end
        scenario.sleep(0.05)
    until scenario.now() > limit
    error("not reached: " .. what, 2)
end

--- Parses server-sent events into a list of {id=, event=, data=}.
function fleet.events(body)
    local events = {}
    for block in body:gmatch("(.-)\n\n") do
        local event = {}
        for line in block:gmatch("[^\n]+") do
            local name, value = line:match("^(%a+): ?(.*)$")
            if name then
                event[name] = value
            end
        end
        if event.data then
            table.insert(events, event)
        end
    end
    return events
end

--- The lists that a fleet starts with.
function fleet.plans()
    return {
        plans = {
            {name = "trail", rank = "urgent", firstTokenMs = 5000, tokensPerSecond = 5, weight = 1.0},
            {name = "office", rank = "ordinary", firstTokenMs = 20000, tokensPerSecond = 2, weight = 1.0},
        },
        teams = {
            {team = "guides", plan = "trail", keys = {{id = "k1", salt = kSalt, hash = kHash}}},
            {team = "desk", plan = "office", keys = {{id = "k2", salt = kSalt, hash = kHash}}},
        },
    }
end

function fleet.limits()
    local function limit(plan)
        return {
            plan = plan,
            models = {"assistant"},
            services = {"booking"},
            concurrency = 64,
            tokensPerSecond = 4000,
            maxOutputTokens = 32768,
        }
    end
    return {limits = {limit("trail"), limit("office")}}
end

-- An answer that streams in the background.
local Answer = {}
Answer.__index = Answer

--- All events so far.
function Answer:events()
    local _, body = self.call:result()
    return fleet.events(body)
end

--- The texts of the tokens so far, and the id of the last event.
function Answer:tokens()
    local texts, last = {}, self.resumed_from
    for _, event in ipairs(self:events()) do
        local data = event.event ~= "final" and scenario.decode(event.data)
        local choice = data and data.choices and data.choices[1]
        if choice and choice.text and choice.text ~= "" then
            table.insert(texts, choice.text)
            last = event.id or last
        end
    end
    return texts, last
end

--- The final event's object, or nil.
function Answer:final()
    for _, event in ipairs(self:events()) do
        if event.event == "final" then
            return scenario.decode(event.data)
        end
    end
    return nil
end

function Answer:wait_tokens(count)
    fleet.eventually(count .. " tokens", function()
        return #self:tokens() >= count or self.call:finished()
    end)
    local got = #self:tokens()
    assert(got >= count, "the answer ended after " .. got .. " tokens")
end

--- Waits for the end of the exchange and returns the final event's object, if any.
function Answer:wait_end()
    fleet.eventually("the end of an answer", function()
        return self.call:finished()
    end)
    return self:final()
end

function Answer:close()
    self.call:close()
end

function Answer:status()
    return (self.call:result())
end

-- One VM with its daemon.
local Vm = {}
Vm.__index = Vm

function Vm:start()
    self.process, self.log = scenario.start("daemon/daisystreamd", {"--settings", self.settings}, self.name .. "-" .. self.starts)
    self.starts = self.starts + 1
end

function Vm:wait_ready()
    fleet.eventually(self.name .. " is ready", function()
        if not self.process:running() then
            error(self.name .. " has ended:\n" .. scenario.read_file(self.log):sub(-2000))
        end
        return scenario.call{port = self.port, target = "/readyz"} == 200
    end)
end

--- Sends a completion request. Options: prompt, tokens, key, headers, stream.
function Vm:ask(options)
    options = options or {}
    local body = {
        model = options.model or "assistant",
        prompt = options.prompt or "hello",
        max_tokens = 4096,
        standin_tokens = options.tokens or 40, -- Read by the stand-in engine only.
        stream = options.stream ~= false,
    }
    local headers = {
        ["Authorization"] = "Bearer " .. (options.key or fleet.urgent_key),
        ["Content-Type"] = "application/json",
    }
    for name, value in pairs(options.headers or {}) do
        headers[name] = value
    end
    local call = scenario.open{
        method = "POST",
        port = self.port,
        target = "/v1/completions",
        headers = headers,
        body = scenario.encode(body),
    }
    return setmetatable({call = call}, Answer)
end

--- Runs an order at the service "booking"; returns status, body, headers, failure.
function Vm:order(name, headers)
    return self:call("POST", "/v1/services/booking/reserve", scenario.encode{order = name}, headers)
end

--- Continues an answer of any VM behind the event with the given id.
function Vm:resume(id, options)
    options = options or {}
    options.headers = {["Last-Event-ID"] = id}
    local answer = self:ask(options)
    answer.resumed_from = id
    return answer
end

--- One exchange with a bearer key; returns status, body, headers, failure.
function Vm:call(method, target, body, headers)
    headers = headers or {}
    headers["Authorization"] = headers["Authorization"] or ("Bearer " .. fleet.urgent_key)
    return scenario.call{method = method, port = self.port, target = target, body = body or "", headers = headers}
end

--- Number of lines in the log that contain a text.
function Vm:log_count(text)
    local _, count = scenario.read_file(self.log):gsub(text:gsub("%p", "%%%0"), "")
    return count
end

local Fleet = {}
Fleet.__index = Fleet

--- Starts the command-line tool; returns its exit code and its output.
function Fleet:cli(arguments)
    self.cli_runs = (self.cli_runs or 0) + 1
    local process, log = scenario.start("cli/daisystream", arguments, "cli-" .. self.cli_runs)
    local code = process:wait()
    return code, scenario.read_file(log)
end

--- Replaces a list ("plans" or "limits") through the command-line tool.
function Fleet:apply(list, value)
    local path = scenario.write_file(list .. ".json", scenario.encode(value))
    return self:cli{"--platform", "127.0.0.1:" .. self.platform_port, list, "apply", path}
end

local function post_faults(port, faults)
    local status = scenario.call{method = "POST", port = port, target = "/faults", body = scenario.encode(faults)}
    assert(status == 200 or status == 204, "faults were not taken: " .. status)
end

function Fleet:platform_faults(faults)
    post_faults(self.platform_port, faults)
end

--- Faults of one engine or service, by its place in the list.
function Fleet:engine_faults(number, faults)
    post_faults(self.engines[number].port, faults)
end

function Fleet:service_faults(number, faults)
    post_faults(self.services[number].port, faults)
end

--- How many generations an engine has started.
function Fleet:started(number)
    local _, body = scenario.call{port = self.engines[number].port, target = "/faults"}
    return scenario.decode(body).started
end

--- Waits until a round of requests through every VM starts nothing at an engine.
function Fleet:wait_no_new_work(number)
    fleet.eventually("no VM sends new work to " .. self.engines[number].id, function()
        local before = self:started(number)
        for _, vm in ipairs(self.vms) do
            for _ = 1, 4 do
                vm:ask{tokens = 1}:wait_end()
            end
        end
        return self:started(number) == before
    end)
end

--- Starts answers through all VMs in turn and waits until each streams.
function Fleet:start_answers(count, tokens)
    local answers = {}
    for i = 1, count do
        answers[i] = self.vms[i % #self.vms + 1]:ask{tokens = tokens}
    end
    for _, answer in ipairs(answers) do
        answer:wait_tokens(2)
    end
    return answers
end

--- How often each order ran, over all service instances: a table from the order's body to a count.
function Fleet:order_counts()
    local counts = {}
    for _, service in ipairs(self.services) do
        local _, body = scenario.call{port = service.port, target = "/counts"}
        for order, count in pairs(scenario.decode(body) or {}) do
            counts[order] = (counts[order] or 0) + count
        end
    end
    return counts
end

local function start_backend(f, kind, number, options)
    local backend = {id = kind .. "-" .. number, port = scenario.free_port()}
    local arguments = {"--port", tostring(backend.port)}
    if kind == "engine" then
        table.insert(arguments, "--name")
        table.insert(arguments, backend.id)
    end
    for _, argument in ipairs(options[kind .. "_arguments"] or {}) do
        table.insert(arguments, argument)
    end
    backend.process, backend.log = scenario.start("standins/standin_" .. kind, arguments, backend.id)
    backend.relay = scenario.relay(backend.port)
    return backend
end

local function endpoint_settings(f)
    local endpoints = {}
    for _, engine in ipairs(f.engines) do
        table.insert(endpoints, {
            id = engine.id,
            kind = "engine",
            model = "assistant",
            zone = "a",
            address = "127.0.0.1:" .. engine.relay:port(),
        })
    end
    for _, service in ipairs(f.services) do
        table.insert(endpoints, {
            id = service.id,
            kind = "service",
            service = "booking",
            zone = "a",
            address = "127.0.0.1:" .. service.relay:port(),
        })
    end
    return endpoints
end

--- Prepares a VM without starting it. Its links to the platform and to the other VMs pass through relays.
function Fleet:prepare_vm(number)
    local vm = setmetatable({name = "vm" .. number, starts = 1, port = scenario.free_port(), peer_port = scenario.free_port()}, Vm)
    vm.peer_relay = scenario.relay(vm.peer_port)
    vm.platform_relay = scenario.relay(self.platform_port)
    self.vms[number] = vm
    return vm
end

--- Writes the settings of a VM; all VMs must be prepared.
function Fleet:write_settings(vm)
    local peers = {}
    for _, other in ipairs(self.vms) do
        if other ~= vm then
            table.insert(peers, {vm = other.name, zone = "a", address = "127.0.0.1:" .. other.peer_relay:port()})
        end
    end
    local settings = {
        vm = vm.name,
        zone = "a",
        listen = "127.0.0.1:" .. vm.port,
        listenPeers = "127.0.0.1:" .. vm.peer_port,
        platform = "127.0.0.1:" .. vm.platform_relay:port(),
        workers = 2,
        endpoints = endpoint_settings(self),
    }
    if #peers > 0 then
        settings.peers = peers
    end
    vm.settings = scenario.write_file(vm.name .. ".json", scenario.encode(settings))
end

--- Starts a deployment and waits until every VM is ready.
-- Options: vms (3), engines (2), services (0), engine_arguments, service_arguments.
function fleet.start(options)
    local f = setmetatable({engines = {}, services = {}, vms = {}}, Fleet)
    f.platform_port = scenario.free_port()
    f.platform = scenario.start("standins/standin_platform", {"--port", tostring(f.platform_port)}, "platform")
    fleet.eventually("the platform answers", function()
        return scenario.call{port = f.platform_port, target = "/v1/vms"} ~= 0
    end)
    for i = 1, options.engines or 2 do
        f.engines[i] = start_backend(f, "engine", i, options)
    end
    for i = 1, options.services or 0 do
        f.services[i] = start_backend(f, "service", i, options)
    end
    for _, list in ipairs{"plans", "limits"} do
        local code, output = f:apply(list, fleet[list]())
        assert(code == 0, output)
    end
    for i = 1, options.vms or 3 do
        f:prepare_vm(i)
    end
    for _, vm in ipairs(f.vms) do
        f:write_settings(vm)
        vm:start()
    end
    for _, vm in ipairs(f.vms) do
        vm:wait_ready()
    end
    return f
end

--- The concatenated texts of several parts of one answer.
function fleet.join(...)
    local texts = {}
    for _, part in ipairs{...} do
        for _, text in ipairs(part) do
            table.insert(texts, text)
        end
    end
    return texts
end

--- Checks that the tokens are those of one generation, each once and in order. The stand-in engine numbers its tokens.
function fleet.assert_whole(texts, count)
    assert(#texts == count, "expected " .. count .. " tokens, got " .. #texts)
    for i, text in ipairs(texts) do
        local number = tonumber(text:match("(%d+)%s*$"))
        assert(number == i - 1, "token " .. i .. " is '" .. text .. "'")
    end
end

--- Waits for the end of answers and checks that each is complete.
function fleet.assert_all_complete(answers, tokens)
    for _, answer in ipairs(answers) do
        local final = answer:wait_end()
        assert(final and final.state == "complete", "a running answer was cut off")
        fleet.assert_whole((answer:tokens()), tokens)
    end
end

return fleet
