#include "standins/engine/engineserver.h"

#include "daemon/frontend/completionrequest.h"
#include "standins/http/standinserver.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdio>
#include <deque>
#include <set>

namespace daisystream
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;

namespace
{

constexpr auto kKeepAlive = std::chrono::milliseconds(500);
// The driver looks at the model at least this often, so that new work does not wait for a timer that was set before it.
constexpr auto kIdlePause = std::chrono::milliseconds(1);
constexpr auto kHang = std::chrono::hours(1);
constexpr std::size_t kBytesPerToken = 4;
constexpr std::uint32_t kPrefixTokens = 64;
constexpr std::size_t kLoadsKept = 1000;

const char *toString(EndReason reason)
{
    return reason == EndReason::Stop ? "stop" : (reason == EndReason::Length ? "length" : "cancelled");
}

struct Generation
{
    GenerationNumber number = 0;
    std::string requestId;
    std::string reader; ///< The last one that followed it.
    std::uint32_t generated = 0;
    std::uint32_t faultedBelow = 0; ///< Events before this one are sent without faults.
    EndReason end = EndReason::None;
    std::set<asio::steady_timer *> waiters;
};

struct FaultState
{
    EngineFaults faults;
    std::uint64_t events = 0;
    std::uint64_t silentBefore = 0; ///< Streams with a lower number are silent.
};

bool isDue(std::uint32_t every, std::uint64_t count)
{
    return every > 0 && count % every == 0;
}

} // namespace

class EngineServer::Private
{
public:
    Private(asio::io_context &io, const EngineServerOptions &options)
        : options_(options)
        , model_(options.model)
        , server_(io, options.port, [this](beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield) {
            return serve(stream, request, yield);
        })
    {
        server_.spawn([this](asio::yield_context yield) { drive(yield); });
    }

    static TimePoint now()
    {
        return std::chrono::steady_clock::now();
    }

    void drive(asio::yield_context yield);
    void step();
    bool serve(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield);
    bool start(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield);
    bool follow(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield);
    bool cancel(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield);
    bool order(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield);
    bool switchFaults(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield);
    bool streamFrom(const std::shared_ptr<Generation> &generation,
                    std::uint32_t offset,
                    beast::tcp_stream &stream,
                    const StandInRequest &request,
                    asio::yield_context yield);
    void wait(Generation &generation, asio::yield_context yield);
    void wake(Generation &generation);
    void appendEvent(std::string &out, std::string &held, Generation &generation, std::uint32_t sequence, bool &cut);
    [[nodiscard]] std::string eventText(GenerationNumber number, std::uint32_t sequence, const std::string &text, const char *reason) const;
    [[nodiscard]] std::string loadText();
    [[nodiscard]] std::string cacheText(std::uint64_t after);
    [[nodiscard]] std::string nameOf(GenerationNumber number) const;
    [[nodiscard]] std::shared_ptr<Generation> find(const std::string &name) const;
    void applyFaults(const EngineFaults &faults);
    void crash(asio::yield_context yield);
    void die();
    void restart();

    EngineServerOptions options_;
    EngineModel model_;
    FaultState fault_;
    std::map<GenerationNumber, std::shared_ptr<Generation>> generations_;
    std::map<std::string, GenerationNumber> byRequest_;
    std::deque<EngineLoad> loads_;
    std::uint64_t nextStream_ = 1;
    std::uint64_t fencing_ = 0;
    std::string order_ = "{}";
    std::atomic<std::size_t> started_{0};
    std::atomic<std::size_t> crashes_{0};
    std::atomic<std::size_t> cancelled_{0};
    StandInServer server_; // Last: its handlers use the members above.
};

std::string EngineServer::Private::nameOf(GenerationNumber number) const
{
    return options_.name + "-" + std::to_string(number);
}

std::shared_ptr<Generation> EngineServer::Private::find(const std::string &name) const
{
    auto number = GenerationNumber{0};
    const auto byRequest = byRequest_.find(name);
    if (byRequest != byRequest_.end()) {
        number = byRequest->second;
    } else if (name.starts_with(options_.name + "-")) {
        number = std::strtoull(name.c_str() + options_.name.size() + 1, nullptr, 10);
    }
    const auto found = generations_.find(number);
    return found == generations_.end() ? nullptr : found->second;
}

void EngineServer::Private::wake(Generation &generation)
{
    for (auto *timer : generation.waiters) {
        timer->cancel();
    }
}

void EngineServer::Private::wait(Generation &generation, asio::yield_context yield)
{
    error_code ignored;
    asio::steady_timer timer(yield.get_executor(), kKeepAlive);
    generation.waiters.insert(&timer);
    timer.async_wait(yield[ignored]);
    generation.waiters.erase(&timer);
}

void EngineServer::Private::step()
{
    for (const auto &token : model_.advance(now())) {
        const auto found = generations_.find(token.generation);
        if (found != generations_.end()) {
            found->second->generated = token.sequence + 1;
            found->second->end = token.end;
            wake(*found->second);
        }
    }
    const auto load = model_.load(now());
    if (loads_.empty() || load.measuredAt - loads_.back().measuredAt >= std::chrono::milliseconds(10)) {
        loads_.push_back(load);
    }
    while (loads_.size() > kLoadsKept || (loads_.size() > 1 && loads_[1].measuredAt + options_.reportLag <= now())) {
        loads_.pop_front();
    }
}

void EngineServer::Private::drive(asio::yield_context yield)
{
    asio::steady_timer timer(yield.get_executor());
    for (;;) {
        step();
        error_code ignored;
        const auto next = model_.nextEvent();
        const auto latest = now() + kIdlePause;
        timer.expires_at(next ? std::min(*next, latest) : latest);
        timer.async_wait(yield[ignored]);
    }
}

bool EngineServer::Private::serve(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield)
{
    const std::string target(request.target());
    const auto path = target.substr(0, target.find('?'));
    const bool get = request.method() == http::verb::get;
    if (path == "/faults") {
        return get
            ? sendJson(stream, request, 200, json{{"started", started_.load()}, {"cancelled", cancelled_.load()}, {"crashes", crashes_.load()}}.dump(), yield)
            : switchFaults(stream, request, yield);
    }
    while (fault_.faults.frozen) {
        error_code ignored;
        asio::steady_timer timer(yield.get_executor(), kKeepAlive);
        timer.async_wait(yield[ignored]);
    }
    if (path == "/v1/completions") {
        return start(stream, request, yield);
    }
    if (path.starts_with("/v1/generations/")) {
        return get ? follow(stream, request, yield) : cancel(stream, request, yield);
    }
    if (path == "/v1/load") {
        return sendJson(stream, request, 200, loadText(), yield);
    }
    if (path == "/v1/cache-events") {
        return sendJson(stream, request, 200, cacheText(queryNumber(target, "after", 0)), yield);
    }
    if (path == "/v1/orders") {
        return get ? sendJson(stream, request, 200, json{{"fencingNumber", fencing_}, {"order", json::parse(order_, nullptr, false)}}.dump(), yield)
                   : order(stream, request, yield);
    }
    return sendJson(stream, request, 404, "{}", yield);
}

bool EngineServer::Private::start(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield)
{
    if (fault_.faults.refuse) {
        return sendJson(stream, request, 503, R"({"error":{"state":"notRun"}})", yield);
    }
    if (fault_.faults.failStart) {
        return sendJson(stream, request, 503, R"({"error":{}})", yield);
    }
    if (fault_.faults.foreignRefusal) {
        http::response<http::string_body> refusal(http::status::service_unavailable, request.version(), R"({"error":{"state":"notRun"}})");
        refusal.set("X-Request-Id", "another");
        refusal.prepare_payload();
        error_code error;
        http::async_write(stream, refusal, yield[error]);
        return false;
    }
    if (fault_.faults.hangStart) {
        error_code ignored;
        asio::steady_timer timer(yield.get_executor(), kHang);
        timer.async_wait(yield[ignored]);
        return false;
    }
    const auto body = json::parse(request.body(), nullptr, false);
    if (!body.is_object()) {
        return sendJson(stream, request, 400, "{}", yield);
    }
    const auto prompt = body.value("prompt", std::string());
    if (!options_.crashText.empty() && prompt.find(options_.crashText) != std::string::npos) {
        crash(yield);
        return false;
    }
    const auto prefix = prefixHashOf(prompt);
    const auto promptTokens = static_cast<std::uint32_t>(prompt.size() / kBytesPerToken + 1);
    const auto priority = std::strtoul(std::string(request["X-Priority"]).c_str(), nullptr, 10);
    const auto number = model_.start({.priority = static_cast<std::uint8_t>(255 - std::min(priority, 255UL)), // X-Priority: lower goes first.
                                      .promptTokens = promptTokens,
                                      .maxOutputTokens = body.value("max_tokens", 0U),
                                      .outputTokens = body.value("standin_tokens", options_.defaultTokens),
                                      .prefixHash = prefix,
                                      .prefixTokens = prefix == 0 ? 0 : std::min(promptTokens, kPrefixTokens)},
                                     now());
    if (!number) {
        return sendJson(stream, request, 503, R"({"error":{"state":"notRun"}})", yield);
    }
    ++started_;
    auto generation = std::make_shared<Generation>();
    generation->number = *number;
    generation->requestId = std::string(request["X-Request-Id"]);
    generation->reader = std::string(request["X-Reader"]);
    generations_[*number] = generation;
    byRequest_[generation->requestId] = *number;
    return streamFrom(generation, 0, stream, request, yield);
}

bool EngineServer::Private::follow(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield)
{
    const std::string target(request.target());
    const auto name = target.substr(target.rfind('/') + 1);
    const auto generation = find(name.substr(0, name.find('?')));
    const auto offset = static_cast<std::uint32_t>(queryNumber(target, "offset", 0));
    if (!generation || !model_.resume(generation->number, offset, now())) {
        return sendJson(stream, request, 404, "{}", yield);
    }
    if (request.count("X-Reader") > 0) {
        generation->reader = std::string(request["X-Reader"]);
    }
    return streamFrom(generation, offset, stream, request, yield);
}

bool EngineServer::Private::cancel(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield)
{
    const std::string target(request.target());
    const auto generation = find(target.substr(target.rfind('/') + 1));
    if (!generation) {
        return sendJson(stream, request, 404, "{}", yield);
    }
    if (request.count("X-Reader") > 0 && generation->reader != request["X-Reader"]) {
        return sendJson(stream, request, 409, "{}", yield);
    }
    if (model_.cancel(generation->number, now())) {
        ++cancelled_;
        generation->end = EndReason::Cancelled;
        wake(*generation);
    }
    return sendJson(stream, request, 200, "{}", yield);
}

bool EngineServer::Private::streamFrom(
    const std::shared_ptr<Generation> &generation, std::uint32_t offset, beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield)
{
    const auto number = nextStream_++;
    error_code error;
    http::response<http::empty_body> head(http::status::ok, 11);
    head.set(http::field::content_type, "text/event-stream");
    head.set("X-Generation-Id", nameOf(generation->number));
    if (fault_.faults.requestsPerSecond > 0) {
        head.set("X-Requests-Per-Second", std::to_string(fault_.faults.requestsPerSecond));
    }
    if (!generation->requestId.empty() && request.method() == http::verb::post) {
        head.set("X-Request-Id", generation->requestId);
    }
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    http::async_write_header(stream, serializer, yield[error]);
    bool cut = false;
    std::string out;
    std::string held; // Event that is sent after its successor.
    while (!error && !cut) {
        const bool silent = fault_.faults.frozen || number < fault_.silentBefore;
        if (!silent) {
            for (; offset < generation->generated && !cut; ++offset) {
                appendEvent(out, held, *generation, offset, cut);
            }
            if (out.empty()) {
                out = ":\n\n";
            }
            const bool ended = !cut && generation->end != EndReason::None && offset >= generation->generated;
            if (ended) {
                out += eventText(generation->number, generation->generated, "", toString(generation->end)) + "data: [DONE]\n\n";
            }
            asio::async_write(stream, http::make_chunk(asio::buffer(out)), yield[error]);
            out.clear();
            if (ended && !error) {
                asio::async_write(stream, http::make_chunk_last(), yield[error]);
                return !error;
            }
        }
        if (!error && !cut) {
            wait(*generation, yield);
        }
    }
    return false;
}

std::string EngineServer::Private::eventText(GenerationNumber number, std::uint32_t sequence, const std::string &text, const char *reason) const
{
    // The token texts of the model need no escapes.
    return "id: " + nameOf(number) + "/" + std::to_string(sequence) + "\ndata: {\"choices\":[{\"index\":0,\"text\":\"" + text
        + "\",\"finish_reason\":" + (reason == nullptr ? std::string("null") : "\"" + std::string(reason) + "\"") + "}]}\n\n";
}

void EngineServer::Private::appendEvent(std::string &out, std::string &held, Generation &generation, std::uint32_t sequence, bool &cut)
{
    // An event is faulty at most once. Otherwise a resume whose backlog is a multiple of a fault's period would meet the
    // same fault at the same event for ever, whatever the system under test does.
    const bool clean = sequence < generation.faultedBelow;
    const auto faults = clean ? EngineFaults() : fault_.faults;
    const auto count = ++fault_.events;
    if (isDue(faults.malformedEvery, count) || isDue(faults.reorderEvery, count)) {
        generation.faultedBelow = sequence + 1;
    }
    auto event = eventText(generation.number, sequence, EngineModel::tokenText(generation.number, sequence), nullptr);
    if (isDue(faults.foreignEvery, count)) {
        out += eventText(generation.number + 1, sequence, "foreign ", nullptr);
    }
    if (isDue(faults.malformedEvery, count)) {
        event = event.substr(0, event.size() / 2) + "\n\n";
    }
    if (isDue(faults.reorderEvery, count) && held.empty()) {
        held = event;
        return;
    }
    out += event;
    if (isDue(faults.duplicateEvery, count)) {
        out += event;
    }
    out += std::exchange(held, {});
    cut = isDue(faults.cutEvery, count);
}

std::string EngineServer::Private::loadText()
{
    const auto load = loads_.empty() ? model_.load(now()) : loads_.front();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now() - load.measuredAt).count();
    return json{{"ageMs", age},
                {"running", load.running},
                {"waiting", load.waiting},
                {"memoryUsedTokens", load.memoryUsedTokens},
                {"memoryCapacityTokens", load.memoryCapacityTokens},
                {"stepMilliseconds", load.stepMilliseconds},
                {"preemptions", load.preemptions},
                {"generatedTokens", load.generatedTokens}}
        .dump();
}

std::string EngineServer::Private::cacheText(std::uint64_t after)
{
    auto events = json::array();
    for (const auto &event : model_.cacheEventsAfter(after)) {
        events.push_back({{"sequence", event.sequence}, {"prefixHash", event.prefixHash}, {"stored", event.stored}, {"tokens", event.tokens}});
    }
    return json{{"events", events}}.dump();
}

bool EngineServer::Private::order(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield)
{
    const auto number = std::strtoull(std::string(request["X-Fencing-Number"]).c_str(), nullptr, 10);
    if (options_.fencing && number < fencing_) {
        return sendJson(stream, request, 409, json{{"error", "outdated fencing number"}, {"fencingNumber", fencing_}}.dump(), yield);
    }
    fencing_ = std::max<std::uint64_t>(fencing_, number);
    order_ = request.body();
    return sendJson(stream, request, 200, json{{"fencingNumber", fencing_}}.dump(), yield);
}

bool EngineServer::Private::switchFaults(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield)
{
    const auto wanted = json::parse(request.body(), nullptr, false);
    if (!wanted.is_object()) {
        return sendJson(stream, request, 400, "{}", yield);
    }
    if (wanted.value("die", false)) {
        std::_Exit(1);
    }
    applyFaults({.slowFactor = wanted.value("slowFactor", 1.0),
                 .frozen = wanted.value("frozen", false),
                 .reportFrozen = wanted.value("reportFrozen", false),
                 .silentStreams = wanted.value("silentStreams", false),
                 .refuse = wanted.value("refuse", false),
                 .failStart = wanted.value("failStart", false),
                 .foreignRefusal = wanted.value("foreignRefusal", false),
                 .hangStart = wanted.value("hangStart", false),
                 .requestsPerSecond = wanted.value("requestsPerSecond", 0.0),
                 .malformedEvery = wanted.value("malformedEvery", 0U),
                 .duplicateEvery = wanted.value("duplicateEvery", 0U),
                 .reorderEvery = wanted.value("reorderEvery", 0U),
                 .foreignEvery = wanted.value("foreignEvery", 0U),
                 .cutEvery = wanted.value("cutEvery", 0U),
                 .cacheEventLoss = wanted.value("cacheEventLoss", 0U)});
    return sendJson(stream, request, 200, "{}", yield);
}

void EngineServer::Private::applyFaults(const EngineFaults &faults)
{
    if (faults.silentStreams) {
        fault_.silentBefore = nextStream_;
    }
    fault_.faults = faults;
    model_.setSlowdown(faults.slowFactor);
    model_.setFrozen(faults.frozen, now());
    model_.setReportFrozen(faults.reportFrozen, now());
    model_.setCacheEventLoss(faults.cacheEventLoss);
}

EngineServer::EngineServer(asio::io_context &io, const EngineServerOptions &options)
    : d_(std::make_unique<Private>(io, options))
{
}

/// Dies shortly after, and starts again.
void EngineServer::Private::crash(asio::yield_context yield)
{
    constexpr auto kUntilCrash = std::chrono::milliseconds(50);
    static constexpr auto kDownTime = std::chrono::seconds(1);
    error_code ignored;
    asio::steady_timer timer(yield.get_executor(), kUntilCrash);
    timer.async_wait(yield[ignored]);
    ++crashes_;
    server_.spawn([this](asio::yield_context down) {
        die();
        error_code cancelled;
        asio::steady_timer pause(down.get_executor(), kDownTime);
        pause.async_wait(down[cancelled]);
        restart();
    });
}

void EngineServer::Private::die()
{
    model_.crash(now());
    generations_.clear();
    byRequest_.clear();
    server_.closeAll(true);
}

void EngineServer::Private::restart()
{
    model_.restart(now());
    server_.listen();
}

EngineServer::~EngineServer() = default;

std::uint16_t EngineServer::port() const
{
    return d_->server_.port();
}

void EngineServer::setFaults(const EngineFaults &faults)
{
    d_->server_.post([d = d_.get(), faults] { d->applyFaults(faults); });
}

void EngineServer::die()
{
    d_->server_.post([d = d_.get()] { d->die(); });
}

void EngineServer::restart()
{
    d_->server_.post([d = d_.get()] { d->restart(); });
}

std::size_t EngineServer::started() const
{
    return d_->started_;
}

std::size_t EngineServer::cancelled() const
{
    return d_->cancelled_;
}

} // namespace daisystream
