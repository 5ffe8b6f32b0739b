#include "daemon/store/platformclient.h"

#include "daemon/http/responsereader.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <mutex>
#include <set>

namespace daisystream
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

constexpr auto kCallTimeout = std::chrono::seconds(2);
constexpr auto kConnectTimeout = std::chrono::seconds(1);
// Limits the concurrent calls of one VM to the platform. Further calls fail at once, since they would only be queued.
constexpr unsigned kMaxCalls = 64;
constexpr std::size_t kIdleConnections = 8;
// A page of rows holds 1 MB, which grows by half when encoded as base64 and JSON; objects written by this system are smaller.
constexpr std::uint64_t kBodyLimit = 4U << 20U;
// Limit for received bytes that are not parsed yet. No reply uses chunk extensions.
constexpr std::size_t kBufferLimit = 65536;
constexpr std::uint32_t kHeaderLimit = 8192;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// The outcome of one HTTP request.
// Beast's response has a move constructor that does not throw but is not declared noexcept.
struct Exchange // NOLINT(bugprone-exception-escape)
{
    std::optional<Response> response;
    bool sent = false; ///< True if some bytes of the request may have reached the platform.
    std::string reason;
    bool wasClosedForResend = false; ///< True if `resendWatches` closed the connection.
};

Error unavailable(const std::string &reason)
{
    return {ResultCode::PlatformUnavailable, "platform: " + reason, kCallTimeout};
}

/// @return the error for a write that was not confirmed.
Error writeError(const StoreReply &reply)
{
    if (std::holds_alternative<StoreConflict>(reply)) {
        return {ResultCode::WriteConflict, "platform: the row has another version", {}};
    }
    if (const auto *refused = std::get_if<StoreRefused>(&reply)) {
        return unavailable(refused->reason);
    }
    const auto *unclear = std::get_if<StoreUnclear>(&reply);
    return {ResultCode::OutcomeOfWriteUnknown, "platform: no reply to a write: " + (unclear != nullptr ? unclear->reason : "unexpected reply"), kCallTimeout};
}

/// @return the error for a read without a usable reply.
Error readError(const StoreReply &reply)
{
    if (const auto *refused = std::get_if<StoreRefused>(&reply)) {
        return unavailable(refused->reason);
    }
    const auto *unclear = std::get_if<StoreUnclear>(&reply);
    return unavailable(unclear != nullptr ? unclear->reason : "unexpected reply");
}

TableReply toReply(const Error &error)
{
    switch (error.code) {
    case ResultCode::WriteConflict:
        return RowConflict{};
    case ResultCode::OutcomeOfWriteUnknown:
        return TableNoReply{};
    default:
        return TableRefused{};
    }
}

/// @return the table and the key from a row name such as "lists/plans".
std::pair<std::string, std::string> splitKey(const std::string &key)
{
    const auto slash = key.find('/');
    return {key.substr(0, slash), slash == std::string::npos ? "" : key.substr(slash + 1)};
}

/// @return the reply to a call whose response is of an earlier epoch than one seen before, so that it does not show the store's state.
StoreReply outdatedReply(const StoreCall &call, std::uint64_t epoch)
{
    auto reason = "reply of the earlier epoch " + std::to_string(epoch);
    return isRead(call) ? StoreReply(StoreRefused{std::move(reason)}) : StoreReply(StoreUnclear{std::move(reason)});
}

/// @return how long the platform may delay the reply to a call.
std::chrono::milliseconds waitOf(const StoreCall &call)
{
    const auto *watch = std::get_if<WatchTable>(&call);
    return watch == nullptr ? std::chrono::milliseconds(0) : watch->wait;
}

} // namespace

class PlatformClient::Private
{
public:
    Private(asio::io_context &loop, std::optional<SocketAddress> platform, std::shared_ptr<const StoreDialect> protocol)
        : io(loop)
        , address(std::move(platform))
        , dialect(std::move(protocol))
    {
    }

    using Stream = std::shared_ptr<beast::tcp_stream>;

    Stream takeIdleConnection()
    {
        const std::lock_guard lock(mutex);
        while (!idle.empty()) {
            auto stream = std::move(idle.back());
            idle.pop_back();
            if (isReusable(*stream)) {
                return stream;
            }
        }
        return nullptr;
    }

    void storeIdleConnection(Stream stream)
    {
        const std::lock_guard lock(mutex);
        if (idle.size() < kIdleConnections) {
            idle.push_back(std::move(stream));
        }
    }

    void clearIdleConnections()
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

    StoreReply call(const StoreCall &call, asio::yield_context yield)
    {
        auto request = dialect->encode(call);
        if (!request) {
            return StoreRefused{"this platform has no such call"};
        }
        const auto timeout = kCallTimeout + waitOf(call);
        auto exchange = send(*request, isRead(call), timeout, yield);
        // `resendWatches` closes the connections of pending watches only, and each of these must be sent again.
        while (!exchange.response && exchange.wasClosedForResend && !isOfEarlierEpoch(call)) {
            exchange = send(*request, true, timeout, yield);
        }
        if (exchange.response) {
            return decode(call, *exchange.response);
        }
        if (isOfEarlierEpoch(call)) {
            return StoreHistoryGone{};
        }
        return exchange.sent ? StoreReply(StoreUnclear{exchange.reason}) : StoreReply(StoreRefused{exchange.reason});
    }

    /// @return whether the call watches a table from a revision of an earlier epoch than one that the store has stated.
    [[nodiscard]] bool isOfEarlierEpoch(const StoreCall &call) const
    {
        const auto *watch = std::get_if<WatchTable>(&call);
        return watch != nullptr && watch->after.epoch < epoch;
    }

    /// @return whether the epoch is later than the known one.
    bool raiseEpoch(std::uint64_t stated)
    {
        auto known = epoch.load();
        while (stated > known && !epoch.compare_exchange_weak(known, stated)) { }
        return stated > known;
    }

    StoreReply decode(const StoreCall &call, const Response &response)
    {
        const auto stated = dialect->epochOf(response);
        raiseEpoch(stated);
        if (stated < epoch) {
            return outdatedReply(call, stated);
        }
        if (isOfEarlierEpoch(call)) {
            // The restored store has given out the numbers after the watch's revision to other changes, or will.
            return StoreHistoryGone{};
        }
        auto reply = dialect->decode(call, response);
        if (auto *rows = std::get_if<StoreRows>(&reply)) {
            rows->revision.epoch = stated;
        } else if (auto *written = std::get_if<StoreWritten>(&reply)) {
            written->epoch = stated;
        }
        return reply;
    }

    Exchange send(Request request, bool read, std::chrono::milliseconds timeout, asio::yield_context yield)
    {
        if (!address) {
            return {.response = {}, .sent = false, .reason = "no address is set", .wasClosedForResend = false};
        }
        if (!beginCall()) {
            return {.response = {}, .sent = false, .reason = "too many calls at the same time", .wasClosedForResend = false};
        }
        request.set(http::field::host, toString(*address));
        request.prepare_payload();
        // An idle connection may have been closed or have become unresponsive. A read is repeated once on a new connection; a write
        // always uses a new one, so that its outcome is not in doubt for this reason.
        Exchange exchange;
        auto stream = read ? takeIdleConnection() : nullptr;
        if (stream) {
            registerWatch(stream, timeout);
            exchange = onStrandOf(*stream, yield, [&](asio::yield_context inner) { return roundTrip(stream, request, timeout, inner); });
            unregisterWatch(stream, timeout, exchange);
            if (!exchange.response) {
                clearIdleConnections();
            }
        }
        if (!exchange.response) {
            stream = std::make_shared<beast::tcp_stream>(asio::make_strand(io));
            registerWatch(stream, timeout);
            exchange = onStrandOf(*stream, yield, [&](asio::yield_context inner) { return connectAndSend(stream, request, timeout, inner); });
            unregisterWatch(stream, timeout, exchange);
        }
        endCall();
        return exchange;
    }

    /// Registers the connection of a watch. Only watches have a timeout longer than `kCallTimeout`.
    void registerWatch(const Stream &stream, std::chrono::milliseconds timeout)
    {
        if (timeout > kCallTimeout) {
            const std::lock_guard lock(mutex);
            watchStreams.insert(stream);
        }
    }

    void unregisterWatch(const Stream &stream, std::chrono::milliseconds timeout, Exchange &exchange)
    {
        if (timeout > kCallTimeout) {
            const std::lock_guard lock(mutex);
            exchange.wasClosedForResend = watchStreams.erase(stream) == 0;
        }
    }

    void resendWatches()
    {
        std::set<Stream> dropped;
        {
            const std::lock_guard lock(mutex);
            dropped.swap(watchStreams);
        }
        for (const auto &stream : dropped) {
            asio::post(stream->get_executor(), [stream] { stream->close(); });
        }
    }

    /// Runs `work` on the connection's own strand. All operations of a connection and its timeout run there, whichever
    /// coroutine uses the connection.
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

    Exchange connectAndSend(const Stream &stream, const Request &request, std::chrono::milliseconds timeout, asio::yield_context yield)
    {
        error_code error;
        stream->expires_after(kConnectTimeout);
        stream->async_connect(asio::ip::tcp::endpoint(asio::ip::make_address(address->ip), address->port), yield[error]);
        if (error) {
            return {.response = {}, .sent = false, .reason = error.message(), .wasClosedForResend = false};
        }
        return roundTrip(stream, request, timeout, yield);
    }

    Exchange roundTrip(const Stream &stream, const Request &request, std::chrono::milliseconds timeout, asio::yield_context yield)
    {
        error_code error;
        stream->expires_after(timeout);
        http::async_write(*stream, request, yield[error]);
        ResponseReader reader(request.method(), {.headerBytes = kHeaderLimit, .unparsedBytes = kBufferLimit, .bodyBytes = kBodyLimit});
        if (!error) {
            error = reader.readAll(*stream, yield);
        }
        if (error) {
            return {.response = {}, .sent = true, .reason = reader.describe(error), .wasClosedForResend = false};
        }
        stream->expires_never();
        const bool hasExtraBytes = reader.hasExtraBytes();
        Response response = reader.release();
        if (response.keep_alive() && !hasExtraBytes) {
            storeIdleConnection(stream);
        }
        return {.response = std::move(response), .sent = true, .reason = {}, .wasClosedForResend = false};
    }

    asio::io_context &io;
    const std::optional<SocketAddress> address;
    const std::shared_ptr<const StoreDialect> dialect;
    std::mutex mutex; // Lock order 7.
    std::vector<Stream> idle;
    std::set<Stream> watchStreams; ///< Connections of watches that have no reply yet.
    unsigned calls = 0;
    std::atomic<std::uint64_t> epoch{0}; ///< The latest that the store has stated.
};

PlatformClient::PlatformClient(asio::io_context &io, std::optional<SocketAddress> address, std::shared_ptr<const StoreDialect> dialect)
    : d_(std::make_shared<Private>(io, std::move(address), std::move(dialect)))
{
}

PlatformClient::~PlatformClient() = default;

bool PlatformClient::isConfigured() const
{
    return d_->address.has_value();
}

std::uint64_t PlatformClient::epoch() const
{
    return d_->epoch;
}

void PlatformClient::onEpochOfOtherVm(std::uint64_t epoch)
{
    if (d_->raiseEpoch(epoch)) {
        resendWatches();
    }
}

void PlatformClient::resendWatches()
{
    d_->resendWatches();
}

StoreReply PlatformClient::call(const StoreCall &call, asio::yield_context yield)
{
    return d_->call(call, yield);
}

Result<std::optional<Row>> PlatformClient::getRow(const std::string &table, const std::string &key, asio::yield_context yield)
{
    const auto reply = d_->call(ReadRow{.table = table, .key = key}, yield);
    const auto *found = std::get_if<StoreRows>(&reply);
    if (found == nullptr) {
        return readError(reply);
    }
    if (found->rows.empty()) {
        return std::optional<Row>();
    }
    return std::optional<Row>(Row{.text = found->rows.front().text, .version = found->rows.front().version});
}

Result<std::uint64_t>
PlatformClient::putRow(const std::string &table, const std::string &key, const std::string &text, const RowCondition &condition, asio::yield_context yield)
{
    const auto reply = d_->call(WriteRow{.table = table, .key = key, .text = text, .condition = condition}, yield);
    if (const auto *written = std::get_if<StoreWritten>(&reply)) {
        return written->version;
    }
    return writeError(reply);
}

std::optional<Error> PlatformClient::deleteRow(const std::string &table, const std::string &key, IfMatch condition, asio::yield_context yield)
{
    const auto reply = d_->call(DeleteRow{.table = table, .key = key, .condition = condition}, yield);
    return std::holds_alternative<StoreWritten>(reply) ? std::nullopt : std::optional(writeError(reply));
}

Result<std::optional<std::string>> PlatformClient::getObject(const std::string &key, asio::yield_context yield)
{
    const auto reply = d_->call(ReadObject{key}, yield);
    if (const auto *found = std::get_if<StoreObject>(&reply)) {
        return found->content;
    }
    return readError(reply);
}

std::optional<Error> PlatformClient::putObject(const std::string &key, const std::string &content, asio::yield_context yield)
{
    const auto reply = d_->call(WriteObject{.key = key, .content = content}, yield);
    return std::holds_alternative<StoreWritten>(reply) ? std::nullopt : std::optional(writeError(reply));
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
    const auto reply = d_->call(ListVms{}, yield);
    const auto *found = std::get_if<StoreRows>(&reply);
    if (found == nullptr) {
        return readError(reply);
    }
    std::vector<ListedVm> vms;
    for (const auto &row : found->rows) {
        auto vm = parseListedVm(row.text);
        if (!vm) {
            return unavailable("the list of VMs is malformed");
        }
        vms.push_back(std::move(*vm));
    }
    return vms;
}

std::optional<ListedVm> parseListedVm(const std::string &text)
{
    const auto entry = nlohmann::json::parse(text, nullptr, false);
    if (!entry.is_object() || !entry.contains("vm") || !entry["vm"].is_string()) {
        return std::nullopt;
    }
    try {
        return ListedVm{.vm = VmId(entry["vm"].get<std::string>()),
                        .zone = ZoneId(entry.value("zone", std::string())),
                        .peerAddress = parseSocketAddress(entry.value("peerAddress", std::string())),
                        .leaving = entry.value("leaving", false)};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt; // A field has the wrong type.
    }
}

std::string encodeListedVm(const ListedVm &vm)
{
    return nlohmann::json{
        {"vm", vm.vm.value()}, {"zone", vm.zone.value()}, {"peerAddress", vm.peerAddress ? toString(*vm.peerAddress) : ""}, {"leaving", vm.leaving}}
        .dump();
}

} // namespace daisystream
