#include "daemon/store/platformclient.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <mutex>

namespace daisystream
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

constexpr auto kCallTimeout = std::chrono::seconds(2);
// Bounds what one VM can ask of the platform at the same time; further calls fail at once, since they would only wait.
constexpr unsigned kMaxCalls = 64;
constexpr std::size_t kIdleConnections = 8;
constexpr std::uint64_t kBodyLimit = 16U << 20U;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// The outcome of one call.
// The move of Beast's response is not declared noexcept, although it does not throw.
struct Exchange // NOLINT(bugprone-exception-escape)
{
    std::optional<Response> response;
    bool sent = false; ///< Some byte of the request may have arrived.
    std::string reason;
};

std::uint64_t versionOf(const Response &response)
{
    const auto etag = response[http::field::etag];
    std::uint64_t version = 0;
    if (etag.size() > 2) {
        std::from_chars(etag.data() + 1, etag.data() + etag.size() - 1, version);
    }
    return version;
}

Error unavailable(const std::string &reason)
{
    return {ResultCode::PlatformUnavailable, "platform: " + reason, kCallTimeout};
}

/// @return the error of a write that was not confirmed.
Error failedWrite(const Exchange &exchange)
{
    if (!exchange.response) {
        return exchange.sent ? Error{ResultCode::OutcomeOfWriteUnknown, "platform: no reply to a write: " + exchange.reason, kCallTimeout}
                             : unavailable(exchange.reason);
    }
    if (exchange.response->result() == http::status::precondition_failed) {
        return {ResultCode::WriteConflict, "platform: the row has another version", {}};
    }
    // A server error does not prove that nothing was written.
    const bool mayHaveTakenEffect = exchange.response->result_int() >= 500;
    const std::string reason = "status " + std::to_string(exchange.response->result_int());
    return mayHaveTakenEffect ? Error{ResultCode::OutcomeOfWriteUnknown, "platform: " + reason, kCallTimeout} : unavailable(reason);
}

TableReply toReply(const Error &error)
{
    switch (error.code) {
    case ResultCode::WriteConflict:
        return RowConflict{};
    case ResultCode::OutcomeOfWriteUnknown:
        return TableLost{};
    default:
        return TableRefused{};
    }
}

/// @return table and key of a row such as "lists/plans".
std::pair<std::string, std::string> splitKey(const std::string &key)
{
    const auto slash = key.find('/');
    return {key.substr(0, slash), slash == std::string::npos ? "" : key.substr(slash + 1)};
}

std::string rowTarget(const std::string &table, const std::string &key)
{
    return "/v1/tables/" + table + "/rows/" + key;
}

} // namespace

class PlatformClient::Private
{
public:
    Private(asio::io_context &loop, std::optional<SocketAddress> platform)
        : io(loop)
        , address(std::move(platform))
    {
    }

    using Stream = std::shared_ptr<beast::tcp_stream>;

    Stream takeIdle()
    {
        const std::lock_guard lock(mutex);
        if (idle.empty()) {
            return nullptr;
        }
        auto stream = std::move(idle.back());
        idle.pop_back();
        return stream;
    }

    void putIdle(Stream stream)
    {
        const std::lock_guard lock(mutex);
        if (idle.size() < kIdleConnections) {
            idle.push_back(std::move(stream));
        }
    }

    void dropIdle()
    {
        const std::lock_guard lock(mutex);
        idle.clear();
    }

    bool beginCall()
    {
        const std::lock_guard lock(mutex);
        if (calls == kMaxCalls) {
            return false;
        }
        ++calls;
        return true;
    }

    void endCall()
    {
        const std::lock_guard lock(mutex);
        --calls;
    }

    Exchange call(Request request, asio::yield_context yield)
    {
        if (!address) {
            return {.response = {}, .sent = false, .reason = "no address is set"};
        }
        if (!beginCall()) {
            return {.response = {}, .sent = false, .reason = "too many calls at the same time"};
        }
        request.set(http::field::host, toString(*address));
        request.prepare_payload();
        // An idle connection may have gone silent or been closed. A read is repeated once on a new connection; a write
        // always uses a new one, so that its outcome is not in doubt for this reason.
        const bool isRead = request.method() == http::verb::get;
        Exchange exchange;
        auto stream = isRead ? takeIdle() : nullptr;
        if (stream) {
            exchange = onStrandOf(*stream, yield, [&](asio::yield_context inner) { return roundTrip(stream, request, inner); });
            if (!exchange.response) {
                dropIdle();
            }
        }
        if (!exchange.response) {
            stream = std::make_shared<beast::tcp_stream>(asio::make_strand(io));
            exchange = onStrandOf(*stream, yield, [&](asio::yield_context inner) { return connectAndSend(stream, request, inner); });
        }
        endCall();
        return exchange;
    }

    /// Each connection has a strand, on which its operations and its timeout run, whichever coroutine uses it.
    template<class Work>
    static Exchange onStrandOf(beast::tcp_stream &stream, asio::yield_context yield, Work work)
    {
        const auto start = [&](auto handler) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            asio::spawn(
                stream.get_executor(),
                [shared, work](asio::yield_context inner) {
                    Exchange exchange = work(inner);
                    asio::post(asio::get_associated_executor(*shared), [shared, result = std::move(exchange)]() mutable { (*shared)(std::move(result)); });
                },
                asio::detached);
        };
        return asio::async_initiate<asio::yield_context, void(Exchange)>(start, yield);
    }

    Exchange connectAndSend(const Stream &stream, const Request &request, asio::yield_context yield)
    {
        error_code error;
        stream->expires_after(kCallTimeout);
        stream->async_connect(asio::ip::tcp::endpoint(asio::ip::make_address(address->ip), address->port), yield[error]);
        if (error) {
            return {.response = {}, .sent = false, .reason = error.message()};
        }
        return roundTrip(stream, request, yield);
    }

    Exchange roundTrip(const Stream &stream, const Request &request, asio::yield_context yield)
    {
        error_code error;
        stream->expires_after(kCallTimeout);
        http::async_write(*stream, request, yield[error]);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(kBodyLimit);
        if (!error) {
            http::async_read(*stream, buffer, parser, yield[error]);
        }
        if (error) {
            return {.response = {}, .sent = true, .reason = error.message()};
        }
        stream->expires_never();
        Response response = parser.release();
        if (response.keep_alive()) {
            putIdle(stream);
        }
        return {.response = std::move(response), .sent = true, .reason = {}};
    }

    asio::io_context &io;
    const std::optional<SocketAddress> address;
    std::mutex mutex; // Lock order 7.
    std::vector<Stream> idle;
    unsigned calls = 0;
};

PlatformClient::PlatformClient(asio::io_context &io, std::optional<SocketAddress> address)
    : d_(std::make_shared<Private>(io, std::move(address)))
{
}

PlatformClient::~PlatformClient() = default;

bool PlatformClient::isConfigured() const
{
    return d_->address.has_value();
}

Result<std::optional<Row>> PlatformClient::getRow(const std::string &table, const std::string &key, asio::yield_context yield)
{
    const auto exchange = d_->call(Request(http::verb::get, rowTarget(table, key), 11), yield);
    if (!exchange.response) {
        return unavailable(exchange.reason);
    }
    if (exchange.response->result() == http::status::not_found) {
        return std::optional<Row>();
    }
    if (exchange.response->result() != http::status::ok) {
        return unavailable("status " + std::to_string(exchange.response->result_int()));
    }
    return std::optional<Row>(Row{.text = exchange.response->body(), .version = versionOf(*exchange.response)});
}

Result<std::uint64_t>
PlatformClient::putRow(const std::string &table, const std::string &key, const std::string &text, const RowCondition &condition, asio::yield_context yield)
{
    Request request(http::verb::put, rowTarget(table, key), 11);
    if (const auto *match = std::get_if<IfMatch>(&condition)) {
        request.set(http::field::if_match, '"' + std::to_string(match->version) + '"');
    } else {
        request.set(http::field::if_none_match, "*");
    }
    request.body() = text;
    const auto exchange = d_->call(std::move(request), yield);
    if (exchange.response && exchange.response->result() == http::status::ok) {
        return versionOf(*exchange.response);
    }
    return failedWrite(exchange);
}

std::optional<Error> PlatformClient::deleteRow(const std::string &table, const std::string &key, IfMatch condition, asio::yield_context yield)
{
    Request request(http::verb::delete_, rowTarget(table, key), 11);
    request.set(http::field::if_match, '"' + std::to_string(condition.version) + '"');
    const auto exchange = d_->call(std::move(request), yield);
    if (exchange.response && exchange.response->result() == http::status::ok) {
        return std::nullopt;
    }
    return failedWrite(exchange);
}

Result<std::optional<std::string>> PlatformClient::getObject(const std::string &key, asio::yield_context yield)
{
    const auto exchange = d_->call(Request(http::verb::get, "/v1/objects/" + key, 11), yield);
    if (!exchange.response) {
        return unavailable(exchange.reason);
    }
    if (exchange.response->result() == http::status::not_found) {
        return std::optional<std::string>();
    }
    if (exchange.response->result() != http::status::ok) {
        return unavailable("status " + std::to_string(exchange.response->result_int()));
    }
    return std::optional<std::string>(exchange.response->body());
}

std::optional<Error> PlatformClient::putObject(const std::string &key, const std::string &content, asio::yield_context yield)
{
    Request request(http::verb::put, "/v1/objects/" + key, 11);
    request.body() = content;
    const auto exchange = d_->call(std::move(request), yield);
    if (exchange.response && exchange.response->result() == http::status::ok) {
        return std::nullopt;
    }
    return failedWrite(exchange);
}

TableReply PlatformClient::perform(const TableAction &action, asio::yield_context yield)
{
    if (const auto *write = std::get_if<TableWrite>(&action)) {
        const auto [table, key] = splitKey(write->key);
        const RowCondition condition = write->ifNumber == 0 ? RowCondition(IfNoneMatch{}) : RowCondition(IfMatch{write->ifNumber});
        const auto written = putRow(table, key, write->value, condition, yield);
        if (const auto *number = std::get_if<std::uint64_t>(&written)) {
            return RowWritten{*number};
        }
        return toReply(std::get<Error>(written));
    }
    if (const auto *read = std::get_if<TableRead>(&action)) {
        const auto [table, key] = splitKey(read->key);
        const auto found = getRow(table, key, yield);
        if (std::holds_alternative<Error>(found)) {
            return TableRefused{};
        }
        const auto &row = std::get<std::optional<Row>>(found);
        return row ? TableReply(RowFound{.number = row->version, .value = row->text}) : TableReply(RowAbsent{});
    }
    const auto &object = std::get<ObjectWrite>(action);
    const auto error = putObject(object.key, object.value, yield);
    return error ? toReply(*error) : TableReply(ObjectWritten{});
}

Result<std::vector<ListedVm>> PlatformClient::listVms(asio::yield_context yield)
{
    const auto exchange = d_->call(Request(http::verb::get, "/v1/vms", 11), yield);
    if (!exchange.response || exchange.response->result() != http::status::ok) {
        return unavailable(exchange.response ? "status " + std::to_string(exchange.response->result_int()) : exchange.reason);
    }
    std::vector<ListedVm> vms;
    try {
        for (const auto &entry : nlohmann::json::parse(exchange.response->body())) {
            const auto peerAddress = parseSocketAddress(entry.value("peerAddress", std::string()));
            vms.push_back({.vm = VmId(entry.at("vm").get<std::string>()),
                           .zone = ZoneId(entry.value("zone", std::string())),
                           .peerAddress = peerAddress,
                           .leaving = entry.value("leaving", false)});
        }
    } catch (const nlohmann::json::exception &fault) {
        return unavailable(std::string("the list of VMs is malformed: ") + fault.what());
    }
    return vms;
}

} // namespace daisystream
