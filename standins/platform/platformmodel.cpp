#include "standins/platform/platformmodel.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <mutex>
#include <optional>

namespace daisystream::standins
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

namespace
{

constexpr std::size_t kWeightChunkBytes = 65536;
constexpr std::size_t kWeightChunks = 16;
constexpr auto kWeightChunkInterval = std::chrono::milliseconds(20); // About 3 MB/s.
constexpr std::uint64_t kBodyLimit = 16U << 20U;

/// A value with its former states, for reads that lag.
struct History
{
    struct State
    {
        Clock::time_point since;
        std::optional<std::string> text;
    };

    void set(std::optional<std::string> text)
    {
        constexpr std::size_t kStatesKept = 64;
        states.push_back({Clock::now(), std::move(text)});
        ++version;
        if (states.size() > kStatesKept) {
            states.pop_front();
        }
    }

    /// @return the state that was in force the given time ago, and its version.
    [[nodiscard]] std::pair<std::optional<std::string>, std::uint64_t> at(std::chrono::milliseconds ago) const
    {
        const auto moment = Clock::now() - ago;
        std::uint64_t number = version;
        for (auto state = states.rbegin(); state != states.rend(); ++state, --number) {
            if (state->since <= moment) {
                return {state->text, number};
            }
        }
        return {std::nullopt, 0};
    }

    std::deque<State> states;
    std::uint64_t version = 0;
};

Response reply(http::status status, std::string body = {}, std::uint64_t version = 0)
{
    Response response(status, 11);
    if (version > 0) {
        response.set(http::field::etag, '"' + std::to_string(version) + '"');
    }
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

} // namespace

class PlatformStandIn::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &io, std::uint16_t port)
        : acceptor(io, {asio::ip::make_address("127.0.0.1"), port})
    {
        vms.set("[]");
    }

    void accept(asio::yield_context yield)
    {
        for (;;) {
            error_code error;
            auto stream = std::make_shared<beast::tcp_stream>(acceptor.get_executor());
            acceptor.async_accept(stream->socket(), yield[error]);
            if (error) {
                return;
            }
            asio::spawn(
                acceptor.get_executor(), [self = shared_from_this(), stream](asio::yield_context inner) { self->serve(*stream, inner); }, asio::detached);
        }
    }

    void serve(beast::tcp_stream &stream, asio::yield_context yield)
    {
        beast::flat_buffer buffer;
        error_code error;
        while (!error) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(kBodyLimit);
            http::async_read(stream, buffer, parser, yield[error]);
            if (error) {
                return;
            }
            const Request request = parser.release();
            ++counts[std::string(request.method_string()) + " " + std::string(request.target())];
            const bool isControl = request.target() == "/faults" || request.target() == "/vms";
            if (faults.outage && !isControl) {
                return;
            }
            const bool isWrite = request.method() == http::verb::put || request.method() == http::verb::delete_;
            if (isWrite && faults.dropWrites > 0) {
                --faults.dropWrites;
                return;
            }
            if (request.target().starts_with("/v1/weights/")) {
                sendWeights(stream, yield);
                return;
            }
            Response response = handle(request);
            if (isWrite && faults.loseReplies > 0) {
                --faults.loseReplies;
                return;
            }
            if (faults.slow.count() > 0 && !isControl) {
                asio::steady_timer timer(stream.get_executor(), faults.slow);
                timer.async_wait(yield[error]);
            }
            response.keep_alive(request.keep_alive());
            http::async_write(stream, response, yield[error]);
            if (!request.keep_alive()) {
                stream.socket().shutdown(asio::socket_base::shutdown_send, error);
                return;
            }
        }
    }

    static void sendWeights(beast::tcp_stream &stream, asio::yield_context yield)
    {
        error_code error;
        http::response<http::empty_body> head(http::status::ok, 11);
        head.content_length(kWeightChunkBytes * kWeightChunks);
        http::response_serializer<http::empty_body> serializer(head);
        http::async_write_header(stream, serializer, yield[error]);
        const std::string chunk(kWeightChunkBytes, 'w');
        asio::steady_timer timer(stream.get_executor());
        for (std::size_t i = 0; i < kWeightChunks && !error; ++i) {
            asio::async_write(stream, asio::buffer(chunk), yield[error]);
            timer.expires_after(kWeightChunkInterval);
            timer.async_wait(yield[error]);
        }
    }

    Response handle(const Request &request)
    {
        const std::string target(request.target());
        if (target == "/faults" && request.method() == http::verb::post) {
            return changeFaults(request.body());
        }
        if (target == "/vms" && request.method() == http::verb::post) {
            vms.set(request.body());
            return reply(http::status::ok);
        }
        if (target == "/v1/vms") {
            return reply(http::status::ok, vms.at(faults.vmLag).first.value_or("[]"));
        }
        if (target.starts_with("/v1/tables/")) {
            return handleRow(request, rows[target]);
        }
        if (target.starts_with("/v1/objects/")) {
            return handleObject(request, objects[target]);
        }
        return reply(http::status::not_found);
    }

    Response changeFaults(const std::string &body)
    {
        const json change = json::parse(body, nullptr, false);
        if (!change.is_object()) {
            return reply(http::status::bad_request);
        }
        faults.outage = change.value("outage", faults.outage);
        faults.slow = std::chrono::milliseconds(change.value("slowMs", faults.slow.count()));
        faults.loseReplies = change.value("loseReplies", faults.loseReplies);
        faults.dropWrites = change.value("dropWrites", faults.dropWrites);
        faults.stale = std::chrono::milliseconds(change.value("staleMs", faults.stale.count()));
        faults.vmLag = std::chrono::milliseconds(change.value("vmLagMs", faults.vmLag.count()));
        return reply(http::status::ok);
    }

    Response handleRow(const Request &request, History &row) const
    {
        const auto [text, version] = row.at(std::chrono::milliseconds(0));
        if (request.method() == http::verb::get) {
            const auto [shown, number] = row.at(faults.stale);
            return shown ? reply(http::status::ok, *shown, number) : reply(http::status::not_found);
        }
        const auto match = request.find(http::field::if_match);
        const auto noneMatch = request.find(http::field::if_none_match);
        if (match != request.end() && (!text || match->value() != '"' + std::to_string(version) + '"')) {
            return reply(http::status::precondition_failed);
        }
        if (noneMatch != request.end() && text) {
            return reply(http::status::precondition_failed);
        }
        if (request.method() == http::verb::put) {
            row.set(request.body());
        } else if (request.method() == http::verb::delete_) {
            row.set(std::nullopt);
        } else {
            return reply(http::status::method_not_allowed);
        }
        return reply(http::status::ok, {}, row.version);
    }

    static Response handleObject(const Request &request, std::optional<std::string> &object)
    {
        if (request.method() == http::verb::put) {
            object = request.body();
            return reply(http::status::ok);
        }
        return object ? reply(http::status::ok, *object) : reply(http::status::not_found);
    }

    asio::ip::tcp::acceptor acceptor;
    Faults faults;
    History vms;
    std::map<std::string, History> rows;
    std::map<std::string, std::optional<std::string>> objects;
    std::map<std::string, std::uint64_t> counts;
};

PlatformStandIn::PlatformStandIn(asio::io_context &io, std::uint16_t port)
    : d_(std::make_shared<Private>(io, port))
{
    asio::spawn(
        io, [self = d_](asio::yield_context yield) { self->accept(yield); }, asio::detached);
}

PlatformStandIn::~PlatformStandIn()
{
    error_code error;
    d_->acceptor.close(error);
}

std::uint16_t PlatformStandIn::port() const
{
    return d_->acceptor.local_endpoint().port();
}

void PlatformStandIn::setFaults(const Faults &faults)
{
    d_->faults = faults;
}

void PlatformStandIn::setVms(const std::string &text)
{
    d_->vms.set(text);
}

std::uint64_t PlatformStandIn::served(const std::string &prefix) const
{
    std::uint64_t sum = 0;
    for (const auto &[path, count] : d_->counts) {
        sum += path.starts_with(prefix) ? count : 0;
    }
    return sum;
}

} // namespace daisystream::standins
