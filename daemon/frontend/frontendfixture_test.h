#pragma once

#include "daemon/endpoints/permitclient.h"
#include "daemon/endpoints/promptguard.h"
#include "daemon/endpoints/ssereader.h"
#include "daemon/frontend/httpfrontend.h"
#include "daisystream/lists/planlist.h"
#include "standins/engine/engineserver.h"
#include "standins/service/serviceserver.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// @file
/// What the tests of the data part share: VMs with a front end, a dispatcher that takes endpoints in turn, records in
/// memory, and a caller. Everything runs in this process on free loopback ports.

namespace daisystream::frontendtest
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using nlohmann::json;
using tcp = asio::ip::tcp;

using Headers = std::vector<std::pair<std::string, std::string>>;

const Headers kNorth = {{"Authorization", "Bearer ds_k1_north-secret"}};
const Headers kSouth = {{"Authorization", "Bearer ds_k2_south-secret"}};

inline Headers with(Headers headers, const std::string &name, const std::string &value)
{
    headers.emplace_back(name, value);
    return headers;
}

class SteadyClock : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override
    {
        return std::chrono::steady_clock::now();
    }
};

/// Takes endpoints in turn, or refuses.
class TurnDispatcher : public Dispatcher
{
public:
    explicit TurnDispatcher(asio::io_context &io)
        : io_(io)
    {
    }

    void ask(const WorkRequest &work, AskHandler handler) override
    {
        const std::lock_guard lock(mutex);
        Result<Assign> reply = Error{ResultCode::PromiseCannotBeMet, "no room", std::chrono::milliseconds(1500)};
        if (!refuse && !engines.empty()) {
            reply = Assign{.request = work.id, .endpoint = engines[asked % engines.size()].id, .priority = 1};
        }
        ++asked;
        lastRequest = work.id;
        asio::post(io_, [handler = std::move(handler), reply] { handler(reply); });
    }
    void setCancelHandler(CancelHandler handler) override
    {
        const std::lock_guard lock(mutex);
        cancel = std::move(handler);
    }
    void withdraw(const RequestId & /*request*/) override
    {
    }
    void onFirstToken(const RequestId & /*request*/, std::uint32_t /*slownessPercent*/, Duration /*slownessAge*/) override
    {
    }
    void onProgress(const RequestId & /*request*/, std::uint32_t /*tokens*/) override
    {
    }
    void onFinished(const RequestId & /*request*/, std::uint32_t tokens, FinishReason reason) override
    {
        const std::lock_guard lock(mutex);
        finished.emplace_back(tokens, reason);
        changed.notify_all();
    }
    [[nodiscard]] std::vector<EndpointSettings> serviceEndpoints(const ServiceId & /*service*/) const override
    {
        return services;
    }
    [[nodiscard]] std::vector<EndpointSettings> enginesFor(const ModelId & /*model*/) const override
    {
        return engines;
    }
    [[nodiscard]] std::optional<EndpointSettings> findEndpoint(const EndpointId &endpoint) const override
    {
        for (const auto &engine : engines) {
            if (engine.id == endpoint) {
                return engine;
            }
        }
        return std::nullopt;
    }

    /// Waits until so many attempts have ended.
    std::vector<std::pair<std::uint32_t, FinishReason>> waitFinished(std::size_t count)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return finished.size() >= count; });
        return finished;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<EndpointSettings> engines;
    std::vector<EndpointSettings> services;
    bool refuse = false;
    std::size_t asked = 0;
    RequestId lastRequest;
    CancelHandler cancel;
    std::vector<std::pair<std::uint32_t, FinishReason>> finished;

private:
    asio::io_context &io_;
};

/// Records in memory, with faults of the platform.
class MemoryRecords : public OrderRecords
{
public:
    Result<std::optional<OrderRecord>> read(const std::string &name, asio::yield_context /*yield*/) override
    {
        const std::lock_guard lock(mutex);
        if (down) {
            return Error{ResultCode::PlatformUnavailable, "down", {}};
        }
        const auto found = rows.find(name);
        return found == rows.end() ? std::optional<OrderRecord>() : found->second;
    }
    Result<std::uint64_t> insert(const std::string &name, const std::string &text, asio::yield_context /*yield*/) override
    {
        return write(name, 0, text);
    }
    Result<std::uint64_t> replace(const std::string &name, std::uint64_t version, const std::string &text, asio::yield_context /*yield*/) override
    {
        return write(name, version, text);
    }

    std::mutex mutex;
    bool down = false;
    unsigned loseReplies = 0; ///< So many of the next writes take effect and lose their reply.
    std::map<std::string, OrderRecord> rows;

private:
    Result<std::uint64_t> write(const std::string &name, std::uint64_t version, const std::string &text)
    {
        const std::lock_guard lock(mutex);
        if (down) {
            return Error{ResultCode::PlatformUnavailable, "down", {}};
        }
        const auto found = rows.find(name);
        if ((found == rows.end() ? 0 : found->second.version) != version) {
            return Error{ResultCode::WriteConflict, "other version", {}};
        }
        rows[name] = {.text = text, .version = version + 1};
        if (loseReplies > 0) {
            --loseReplies;
            return Error{ResultCode::OutcomeOfWriteUnknown, "no reply", {}};
        }
        return version + 1;
    }
};

/// Connects the order routers of the VMs of one test.
class OrderNet
{
public:
    std::mutex mutex;
    std::map<std::pair<VmId, std::uint64_t>, OrderForwarding::OrderHandler> handlers;
};

class NetForwarding : public OrderForwarding
{
public:
    NetForwarding(OrderNet &net, VmId self, std::uint64_t incarnation)
        : net_(net)
        , self_(std::move(self))
        , incarnation_(incarnation)
    {
    }
    ~NetForwarding() override
    {
        const std::lock_guard lock(net_.mutex);
        net_.handlers.erase({self_, incarnation_});
    }
    [[nodiscard]] const VmId &self() const override
    {
        return self_;
    }
    [[nodiscard]] std::uint64_t incarnation() const override
    {
        return incarnation_;
    }
    void forwardOrder(const VmId &issuer, std::uint64_t incarnation, const ForwardedOrder &order, ReplyHandler handler) override
    {
        OrderHandler target;
        {
            const std::lock_guard lock(net_.mutex);
            const auto found = net_.handlers.find({issuer, incarnation});
            target = found == net_.handlers.end() ? nullptr : found->second;
        }
        if (target) {
            target(order, std::move(handler));
        } else {
            handler(Error{ResultCode::TicketIssuerGone, "gone", {}});
        }
    }
    void setOrderHandler(OrderHandler handler) override
    {
        const std::lock_guard lock(net_.mutex);
        net_.handlers[{self_, incarnation_}] = std::move(handler);
    }

private:
    OrderNet &net_;
    VmId self_;
    std::uint64_t incarnation_;
};

/// Plans and limits with two teams: north may use the model assistant and the service booking, south the model only.
inline void offerLists(ListTable &lists)
{
    const auto key = [](const char *id, const char *secret) {
        return json{{"id", id}, {"salt", "0123456789abcdef"}, {"hash", hashSecret("0123456789abcdef", secret)}};
    };
    const json plans = {{"plans",
                         {{{"name", "trail"}, {"rank", "urgent"}, {"firstTokenMs", 60000}, {"tokensPerSecond", 1}, {"weight", 1.0}},
                          {{"name", "office"}, {"rank", "ordinary"}, {"firstTokenMs", 60000}, {"tokensPerSecond", 1}, {"weight", 1.0}}}},
                        {"teams",
                         {{{"team", "north"}, {"plan", "trail"}, {"keys", {key("k1", "north-secret")}}},
                          {{"team", "south"}, {"plan", "office"}, {"keys", {key("k2", "south-secret")}}}}}};
    const json limits = {
        {"limits",
         {{{"plan", "trail"}, {"models", {"assistant"}}, {"services", {"booking"}}, {"concurrency", 64}, {"tokensPerSecond", 4000}, {"maxOutputTokens", 32768}},
          {{"plan", "office"},
           {"models", {"assistant"}},
           {"services", json::array()},
           {"concurrency", 64},
           {"tokensPerSecond", 4000},
           {"maxOutputTokens", 32768}}}}};
    REQUIRE(lists.offer(DocumentKind::Plans, {.number = 1, .changeId = "a"}, plans.dump()));
    REQUIRE(lists.offer(DocumentKind::Limits, {.number = 1, .changeId = "a"}, limits.dump()));
    const json keys = {{"keys", {{{"number", 1}, {"key", std::string(64, 'a')}}}}};
    REQUIRE(lists.offer(DocumentKind::SealKeys, {.number = 1, .changeId = "a"}, keys.dump()));
}

/// One VM: a front end with its parts.
struct Vm
{
    Vm(asio::io_context &io, OrderNet &net, MemoryRecords &records, const std::string &name, std::uint64_t seed, const FrontendOptions &options)
        : dispatcher(io)
        , peers(net, VmId(name), seed)
        , permits(io, VmId(name), clock, metrics, [](const VmId &, const PeerMessage &) { return false; })
        , promptGuard(io, VmId(name), clock, metrics, "/v1/load", seed)
    {
        offerLists(lists);
        const FrontendParts parts{.lists = lists,
                                  .dispatcher = dispatcher,
                                  .peers = peers,
                                  .records = records,
                                  .permits = permits,
                                  .promptGuard = promptGuard,
                                  .metrics = metrics,
                                  .clock = clock,
                                  .seed = seed};
        frontend = std::make_unique<HttpFrontend>(io, SocketAddress{.ip = "127.0.0.1", .port = 0}, options, parts);
        REQUIRE(!frontend->start());
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return frontend->port();
    }

    ListTable lists;
    TurnDispatcher dispatcher;
    NetForwarding peers;
    Metrics metrics;
    SteadyClock clock;
    PermitClient permits;
    PromptGuard promptGuard;
    std::unique_ptr<HttpFrontend> frontend;
};

/// A fast engine, so that tests do not wait for tokens.
inline EngineServerOptions fastEngine(const std::string &name)
{
    EngineServerOptions options;
    options.name = name;
    options.model.stepBaseMilliseconds = 0.2;
    options.model.stepMillisecondsPerAnswer = 0.01;
    return options;
}

/// Two VMs, two engines and a plain service. Destroyed in the order that the event loop needs.
class Fleet
{
public:
    explicit Fleet(const FrontendOptions &options = {})
        : engine1(std::make_unique<EngineServer>(io, fastEngine("e1")))
        , engine2(std::make_unique<EngineServer>(io, fastEngine("e2")))
        , service(std::make_unique<ServiceServer>(io, std::uint16_t{0}))
        , vm1(std::make_unique<Vm>(io, net, records, "vm1", 11, options))
        , vm2(std::make_unique<Vm>(io, net, records, "vm2", 22, options))
    {
        for (auto *vm : {vm1.get(), vm2.get()}) {
            vm->dispatcher.engines = {engineAt("e1", engine1->port()), engineAt("e2", engine2->port())};
            EndpointSettings instance = engineAt("s1", service->port());
            instance.kind = EndpointKind::Service;
            vm->dispatcher.services = {instance};
        }
        for (int i = 0; i < 2; ++i) {
            workers_.emplace_back([this] { io.run(); });
        }
    }
    ~Fleet()
    {
        io.stop();
        workers_.clear();
    }

    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    static EndpointSettings engineAt(const std::string &id, std::uint16_t port)
    {
        EndpointSettings settings;
        settings.id = EndpointId(id);
        settings.address = {.ip = "127.0.0.1", .port = port};
        settings.model = ModelId("assistant");
        return settings;
    }

    /// Leaves only the first engine.
    void useOneEngine()
    {
        vm1->dispatcher.engines.resize(1);
        vm2->dispatcher.engines.resize(1);
    }

    asio::io_context io;
    OrderNet net;
    MemoryRecords records;
    std::unique_ptr<EngineServer> engine1;
    std::unique_ptr<EngineServer> engine2;
    std::unique_ptr<ServiceServer> service;
    std::unique_ptr<Vm> vm1;
    std::unique_ptr<Vm> vm2;

private:
    asio::executor_work_guard<asio::io_context::executor_type> guard_{asio::make_work_guard(io)};
    std::vector<std::jthread> workers_;
};

struct Reply
{
    unsigned status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] json parsed() const
    {
        return json::parse(body, nullptr, false);
    }
    [[nodiscard]] unsigned code() const
    {
        return parsed().at("error").at("code").get<unsigned>();
    }
    [[nodiscard]] std::string state() const
    {
        return parsed().at("error").at("state").get<std::string>();
    }
};

/// A caller's connection with blocking calls.
class Caller
{
public:
    explicit Caller(std::uint16_t port)
        : socket_(io_)
    {
        socket_.connect({asio::ip::address_v4::loopback(), port});
    }

    void send(const std::string &bytes)
    {
        asio::write(socket_, asio::buffer(bytes));
    }

    void send(http::verb method, const std::string &target, const Headers &headers, const std::string &body = {})
    {
        http::request<http::string_body> request(method, target, 11);
        for (const auto &[name, value] : headers) {
            request.set(name, value);
        }
        request.body() = body;
        request.prepare_payload();
        http::write(socket_, request);
    }

    Reply receive()
    {
        http::response<http::string_body> response;
        http::read(socket_, buffer_, response);
        Reply reply{.status = response.result_int(), .headers = {}, .body = response.body()};
        for (const auto &field : response) {
            reply.headers[std::string(field.name_string())] = std::string(field.value());
        }
        return reply;
    }

    /// @return true once the other side has closed the connection without sending anything more.
    bool closedByPeer()
    {
        boost::system::error_code error;
        char byte = 0;
        return socket_.read_some(asio::buffer(&byte, 1), error) == 0 && error;
    }

    tcp::socket &socket()
    {
        return socket_;
    }

private:
    asio::io_context io_;
    tcp::socket socket_;
    beast::flat_buffer buffer_;
};

inline Reply request(std::uint16_t port, http::verb method, const std::string &target, const Headers &headers = {}, const std::string &body = {})
{
    Caller caller(port);
    caller.send(method, target, headers, body);
    return caller.receive();
}

/// Reads a streamed answer.
class EventStream
{
public:
    EventStream(std::uint16_t port, const std::string &target, const Headers &headers, const json &body)
        : caller_(port)
    {
        parser_.body_limit(boost::none);
        parser_.eager(true);
        caller_.send(http::verb::post, target, headers, body.dump());
        http::read_header(caller_.socket(), buffer_, parser_);
    }

    /// @return HTTP status.
    [[nodiscard]] unsigned status() const
    {
        return parser_.get().result_int();
    }

    /// @return the next event, or nothing at the end of the response.
    std::optional<SseEvent> next()
    {
        for (;;) {
            if (auto event = reader_.next()) {
                return event;
            }
            if (parser_.is_done()) {
                return std::nullopt;
            }
            boost::system::error_code error;
            http::read_some(caller_.socket(), buffer_, parser_, error);
            reader_.feed(parser_.get().body());
            parser_.get().body().clear();
            if (error) {
                return std::nullopt;
            }
        }
    }

private:
    Caller caller_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
    SseReader reader_;
};

/// What a caller has of one answer.
struct Answer
{
    std::vector<std::string> tokens;
    std::string lastId;
    std::string state; ///< Of the final event.
    bool done = false; ///< The end mark came.
};

/// Reads events into an answer until the end or until it has so many tokens.
inline void collect(EventStream &stream, Answer &answer, std::size_t limit = SIZE_MAX)
{
    while (answer.tokens.size() < limit) {
        const auto event = stream.next();
        if (!event) {
            return;
        }
        if (event->data == "[DONE]") {
            answer.done = true;
        } else if (event->event == "final") {
            answer.state = json::parse(event->data).at("state").get<std::string>();
        } else if (!event->id.empty()) {
            const auto choice = json::parse(event->data).at("choices").at(0);
            answer.tokens.push_back(choice.contains("delta") ? choice.at("delta").at("content").get<std::string>() : choice.at("text").get<std::string>());
            answer.lastId = event->id;
        }
    }
}

inline json completion(unsigned tokens)
{
    return {{"model", "assistant"}, {"prompt", "marmots"}, {"stream", true}, {"standin_tokens", tokens}};
}

/// Checks that the tokens are exactly the first `count` of one generation. The stand-in's text names both.
inline void checkWhole(const Answer &answer, std::size_t count)
{
    REQUIRE(answer.tokens.size() == count);
    const auto generation = answer.tokens.front().substr(0, answer.tokens.front().find('t'));
    for (std::size_t i = 0; i < count; ++i) {
        REQUIRE(answer.tokens[i] == generation + "t" + std::to_string(i) + " ");
    }
}

} // namespace daisystream::frontendtest
