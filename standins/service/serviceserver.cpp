#include "standins/service/serviceserver.h"

#include "standins/http/standinserver.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <mutex>

namespace daisystream
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using nlohmann::json;

namespace
{

// Longer than any time-out of a caller.
constexpr auto kHang = std::chrono::hours(1);

bool takeOne(unsigned &left)
{
    if (left == 0) {
        return false;
    }
    --left;
    return true;
}

bool sendRefusal(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield)
{
    http::response<http::string_body> response(http::status::service_unavailable, request.version());
    response.set("X-Order-State", "notRun");
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    boost::system::error_code error;
    http::async_write(stream, response, yield[error]);
    return !error;
}

} // namespace

class ServiceServer::Private
{
public:
    Private(asio::io_context &io, std::uint16_t port)
        : server_(
            io, port, [this](beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield) { return serve(stream, request, yield); })
    {
    }

    bool serve(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield)
    {
        if (request.method() == http::verb::get && request.target() == "/counts") {
            return sendJson(stream, request, 200, json(counts()).dump(), yield);
        }
        if (request.method() == http::verb::post && request.target() == "/faults") {
            const auto wanted = json::parse(request.body(), nullptr, false);
            if (!wanted.is_object()) {
                return sendJson(stream, request, 400, "{}", yield);
            }
            setFaults({.hangs = wanted.value("hangs", 0U),
                       .loseReplies = wanted.value("loseReplies", 0U),
                       .refusals = wanted.value("refusals", 0U),
                       .drops = wanted.value("drops", 0U),
                       .failures = wanted.value("failures", 0U),
                       .requestsPerSecond = wanted.value("requestsPerSecond", 0.0)});
            return sendJson(stream, request, 200, "{}", yield);
        }
        if (request.method() == http::verb::get) {
            return sendJson(stream, request, 200, R"({"free":7})", yield);
        }
        return runOrder(stream, request, yield);
    }

    bool runOrder(beast::tcp_stream &stream, const StandInRequest &request, asio::yield_context yield)
    {
        const auto body = json::parse(request.body(), nullptr, false);
        const auto name = body.is_object() ? body.value("order", std::string("unnamed")) : std::string("unnamed");
        bool hang = false;
        bool lose = false;
        bool fail = false;
        unsigned count = 0;
        {
            const std::lock_guard lock(mutex_);
            if (takeOne(faults_.drops)) {
                return false;
            }
            if (faults_.refusals == 0) {
                count = ++counts_[name];
                hang = takeOne(faults_.hangs);
                lose = !hang && takeOne(faults_.loseReplies);
                fail = !hang && !lose && takeOne(faults_.failures);
            } else {
                --faults_.refusals;
            }
        }
        if (count == 0) {
            return sendRefusal(stream, request, yield);
        }
        if (fail) {
            return sendJson(stream, request, 503, "{}", yield);
        }
        if (hang) {
            boost::system::error_code ignored;
            asio::steady_timer timer(yield.get_executor(), kHang);
            timer.async_wait(yield[ignored]);
        }
        return !hang && !lose && sendResult(stream, request, json{{"order", name}, {"count", count}}.dump(), yield);
    }

    bool sendResult(beast::tcp_stream &stream, const StandInRequest &request, const std::string &body, asio::yield_context yield)
    {
        http::response<http::string_body> response(http::status::created, request.version(), body);
        response.set(http::field::content_type, "application/json");
        {
            const std::lock_guard lock(mutex_);
            if (faults_.requestsPerSecond > 0) {
                response.set("X-Requests-Per-Second", std::to_string(faults_.requestsPerSecond));
            }
        }
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        boost::system::error_code error;
        http::async_write(stream, response, yield[error]);
        return !error;
    }

    [[nodiscard]] std::map<std::string, unsigned> counts() const
    {
        const std::lock_guard lock(mutex_);
        return counts_;
    }

    void setFaults(const ServiceFaults &faults)
    {
        const std::lock_guard lock(mutex_);
        faults_ = faults;
    }

    mutable std::mutex mutex_;
    std::map<std::string, unsigned> counts_;
    ServiceFaults faults_;
    StandInServer server_;
};

ServiceServer::ServiceServer(asio::io_context &io, std::uint16_t port)
    : d_(std::make_unique<Private>(io, port))
{
}

ServiceServer::~ServiceServer() = default;

std::uint16_t ServiceServer::port() const
{
    return d_->server_.port();
}

std::map<std::string, unsigned> ServiceServer::counts() const
{
    return d_->counts();
}

void ServiceServer::setFaults(const ServiceFaults &faults)
{
    d_->setFaults(faults);
}

} // namespace daisystream
