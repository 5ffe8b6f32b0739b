#include "daemon/endpoints/loadpoller.h"

#include "daemon/http/responsereader.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <map>
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

// Largest body of a response.
constexpr std::uint64_t kMaxReportBytes = 1U << 20U;

/// Determines when a report was measured. For reports with a time by the engine's clock, that is when the time was first seen to change.
struct ReportAge
{
    double engineTimeMs = -1; ///< Time of the last report by the engine's clock; negative: none.
    TimePoint firstSeen{};    ///< When this VM received the first report with that time.

    TimePoint measuredAt(const json &report, TimePoint now)
    {
        const double timeMs = report.value("measuredAtMs", -1.0);
        if (timeMs < 0) {
            constexpr std::int64_t kMaxAgeMs = 3600000;
            return now - std::chrono::milliseconds(std::clamp<std::int64_t>(report.value("ageMs", std::int64_t{0}), 0, kMaxAgeMs));
        }
        if (timeMs != engineTimeMs) {
            engineTimeMs = timeMs;
            firstSeen = now;
        }
        return firstSeen;
    }
};

} // namespace

class LoadPoller::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &context, CellDispatcher &target, const Clock &source, Metrics &metrics, const LoadPollerOptions &pollerOptions)
        : io(context)
        , strand(asio::make_strand(context))
        , dispatcher(target)
        , clock(source)
        , options(pollerOptions)
        , failures(metrics.counter("daisystream_load_poll_failures_total", "Load reports that could not be read."))
        , reports(metrics.counter("daisystream_load_reports_total", "Load reports read."))
    {
    }

    /// Starts a polling coroutine for each engine that needs one, and repeats this for new engines until the poller stops.
    void startPollers(asio::yield_context yield)
    {
        asio::steady_timer timer(strand);
        error_code error;
        while (!stopped) {
            for (const auto &engine : dispatcher.enginesToPoll()) {
                if (polledEngines.insert(engine.id).second) {
                    asio::spawn(
                        strand, [self = shared_from_this(), engine](asio::yield_context inner) { self->poll(engine, inner); }, asio::detached);
                }
            }
            timer.expires_after(options.interval);
            timer.async_wait(yield[error]);
        }
    }

    [[nodiscard]] bool needsPolling(const EndpointId &engine) const
    {
        const auto engines = dispatcher.enginesToPoll();
        return std::any_of(engines.begin(), engines.end(), [&](const auto &candidate) { return candidate.id == engine; });
    }

    void poll(const EndpointSettings &engine, asio::yield_context yield)
    {
        asio::steady_timer timer(strand);
        error_code error;
        ReportAge age;
        std::uint64_t cacheSequence = 0;
        beast::tcp_stream stream(strand);
        for (unsigned round = 0; !stopped && needsPolling(engine.id); ++round) {
            const auto report = get(stream, engine, options.protocol.target, yield);
            if (report) {
                deliver(engine.id, *report, age);
            } else {
                failures.add(1);
            }
            if (report && round % options.reportsPerCacheRead == 0) {
                readCacheEvents(stream, engine, cacheSequence, yield);
            }
            timer.expires_after(options.interval);
            timer.async_wait(yield[error]);
        }
        polledEngines.erase(engine.id);
    }

    void watchLeaving(const std::function<std::vector<EndpointSettings>()> &needed,
                      const std::function<void(const EndpointId &)> &onLeaving,
                      asio::yield_context yield)
    {
        asio::steady_timer timer(strand);
        error_code error;
        while (!stopped) {
            for (const auto &engine : needed()) {
                if (!awaitingReply.insert(engine.id).second) {
                    continue; // The response to the previous request has not arrived yet.
                }
                asio::spawn(
                    strand,
                    [self = shared_from_this(), engine, onLeaving](asio::yield_context inner) {
                        beast::tcp_stream stream(self->strand);
                        const auto report = self->report(stream, engine, inner);
                        self->awaitingReply.erase(engine.id);
                        if (report && report->leaving) {
                            onLeaving(engine.id);
                        }
                    },
                    asio::detached);
            }
            timer.expires_after(options.leavingCheckInterval);
            timer.async_wait(yield[error]);
        }
    }

    /// Requests a report and parses it with the configured protocol.
    /// @return the report; nothing if there is no parser, no response or the response is malformed.
    std::optional<LoadReport> report(beast::tcp_stream &stream, const EndpointSettings &engine, asio::yield_context yield)
    {
        const auto content = get(stream, engine, options.protocol.target, yield);
        auto report = content && options.protocol.parse ? options.protocol.parse(*content) : std::nullopt;
        if (!report) {
            failures.add(1);
        }
        return report;
    }

    void probe(const EndpointSettings &engine, asio::yield_context yield)
    {
        beast::tcp_stream stream(strand);
        auto report = this->report(stream, engine, yield);
        if (!report) {
            return;
        }
        report->endpoint = engine.id;
        report->measuredAt = clock.now();
        dispatcher.onLoadReport(*report);
        reports.add(1);
    }

    /// Sends a GET request, after connecting if necessary. The connection is closed unless a response with status 200 allows keeping it.
    /// @return the body; nothing if the request is not allowed or fails, or the response is not JSON with status 200.
    std::optional<json> get(beast::tcp_stream &stream, const EndpointSettings &engine, const std::string &target, asio::yield_context yield)
    {
        if (mayAsk && !mayAsk(engine.id)) {
            return std::nullopt;
        }
        error_code error;
        if (stream.socket().is_open() && !isReusable(stream)) {
            stream.close();
        }
        stream.expires_after(options.timeout);
        if (!stream.socket().is_open()) {
            stream.async_connect(asio::ip::tcp::endpoint(asio::ip::make_address(engine.address.ip), engine.address.port), yield[error]);
        }
        http::request<http::empty_body> request(http::verb::get, target, 11);
        request.set(http::field::host, toString(engine.address));
        if (engine.checksCaller) {
            request.set(http::field::authorization, engine.authorizationHeader);
        }
        if (!error) {
            http::async_write(stream, request, yield[error]);
        }
        ResponseReader reader(request.method(), {.bodyBytes = kMaxReportBytes});
        if (!error) {
            error = reader.readAll(stream, yield);
        }
        stream.expires_never();
        const auto &response = reader.response();
        if (!error && onResponse) {
            onResponse(engine.id, response);
        }
        json content = error ? json() : json::parse(response.body(), nullptr, false);
        if (error || !response.keep_alive() || reader.hasExtraBytes() || response.result() != http::status::ok) {
            stream.close();
        }
        if (error || response.result() != http::status::ok || content.is_discarded()) {
            return std::nullopt;
        }
        return content;
    }

    /// Passes a report in the format of `LoadPoller` to the dispatcher.
    void deliver(const EndpointId &engine, const json &content, ReportAge &age)
    {
        try {
            LoadReport report;
            report.endpoint = engine;
            report.measuredAt = age.measuredAt(content, clock.now());
            report.running = content.at("running").get<std::uint32_t>();
            report.waiting = content.at("waiting").get<std::uint32_t>();
            report.memoryUsedTokens = content.at("memoryUsedTokens").get<std::uint64_t>();
            report.memoryCapacityTokens = content.at("memoryCapacityTokens").get<std::uint64_t>();
            report.stepMilliseconds = content.value("stepMilliseconds", 0.0);
            report.preemptions = content.value("preemptions", std::uint64_t{0});
            report.generatedTokens = content.value("generatedTokens", std::uint64_t{0});
            dispatcher.onLoadReport(report);
            reports.add(1);
        } catch (const json::exception &) {
            failures.add(1);
        }
    }

    /// Reads the cache events after a sequence number and passes them to the dispatcher.
    /// @param sequence of the last event read; updated.
    void readCacheEvents(beast::tcp_stream &stream, const EndpointSettings &engine, std::uint64_t &sequence, asio::yield_context yield)
    {
        const auto content = get(stream, engine, "/v1/cache-events?after=" + std::to_string(sequence), yield);
        if (!content) {
            return;
        }
        try {
            for (const auto &entry : content->is_array() ? *content : content->at("events")) {
                CacheEvent event{.endpoint = engine.id, .sequence = entry.at("sequence").get<std::uint64_t>()};
                event.prefixHash = entry.at("prefixHash").get<std::uint64_t>();
                event.kind = entry.value("stored", true) ? CacheEvent::Kind::Inserted : CacheEvent::Kind::Evicted;
                sequence = std::max(sequence, event.sequence);
                dispatcher.onCacheEvent(event);
            }
        } catch (const json::exception &) {
            failures.add(1);
        }
    }

    asio::io_context &io;
    asio::strand<asio::io_context::executor_type> strand;
    CellDispatcher &dispatcher;
    const Clock &clock;
    const LoadPollerOptions options;
    std::function<bool(const EndpointId &)> mayAsk;
    std::function<void(const EndpointId &, const Response &)> onResponse;
    Counter &failures;
    Counter &reports;
    std::atomic<bool> stopped{false};
    std::set<EndpointId> polledEngines; ///< Engines with a polling coroutine. Used on the strand only.
    std::set<EndpointId> awaitingReply; ///< Engines with an open request of `watchLeaving`. Used on the strand only.
};

LoadPoller::LoadPoller(asio::io_context &io, CellDispatcher &dispatcher, const Clock &clock, Metrics &metrics, const LoadPollerOptions &options)
    : d_(std::make_shared<Private>(io, dispatcher, clock, metrics, options))
{
}

LoadPoller::~LoadPoller()
{
    stop();
}

void LoadPoller::start()
{
    asio::spawn(
        d_->strand, [self = d_](asio::yield_context yield) { self->startPollers(yield); }, asio::detached);
}

void LoadPoller::probe(const EndpointSettings &engine)
{
    asio::spawn(
        d_->strand, [self = d_, engine](asio::yield_context yield) { self->probe(engine, yield); }, asio::detached);
}

void LoadPoller::watchLeaving(std::function<std::vector<EndpointSettings>()> needed, std::function<void(const EndpointId &)> onLeaving)
{
    asio::spawn(
        d_->strand,
        [self = d_, needed = std::move(needed), onLeaving = std::move(onLeaving)](asio::yield_context yield) { self->watchLeaving(needed, onLeaving, yield); },
        asio::detached);
}

void LoadPoller::setRequestHooks(std::function<bool(const EndpointId &)> mayAsk, std::function<void(const EndpointId &, const Response &)> onResponse)
{
    d_->mayAsk = std::move(mayAsk);
    d_->onResponse = std::move(onResponse);
}

void LoadPoller::stop()
{
    d_->stopped = true;
}

} // namespace daisystream
