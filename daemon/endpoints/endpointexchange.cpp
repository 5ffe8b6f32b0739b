#include "daemon/endpoints/endpointexchange.h"

#include "daemon/http/responsereader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace daisystream
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

// With these settings, TCP keep-alive probes on an idle connection detect within 3 s that the endpoint has lost power.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr int kUserTimeoutMilliseconds = 3000;

void enableDeadPeerDetection(asio::ip::tcp::socket &socket)
{
    const auto set = [handle = socket.native_handle()](int level, int name, int value) {
        ::setsockopt(handle, level, name, &value, sizeof value);
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMilliseconds);
}

/// @param error of a write.
/// @return whether the connection failed before the other side had ended its stream, so that bytes of that stream may be missing.
bool isConnectionFailure(const error_code &error)
{
    const bool isEndedHere = error == asio::error::operation_aborted || error == asio::error::bad_descriptor || error == beast::error::timeout;
    // After the end of the other side's stream, a reset is reported as a broken pipe.
    return error && !isEndedHere && error != asio::error::broken_pipe;
}

ExchangeFault tooLong(std::uint64_t bytes, std::uint64_t limitBytes)
{
    return {.kind = ExchangeFault::Kind::Malformed, .detail = "body: " + std::to_string(bytes) + " bytes exceed the limit of " + std::to_string(limitBytes)};
}

} // namespace

const char *toString(ExchangeFault::Kind kind)
{
    switch (kind) {
    case ExchangeFault::Kind::Unreachable:
        return "unreachable";
    case ExchangeFault::Kind::Silent:
        return "silent";
    case ExchangeFault::Kind::Broken:
        return "broken";
    case ExchangeFault::Kind::Malformed:
        return "malformed";
    case ExchangeFault::Kind::Aborted:
        break;
    }
    return "aborted";
}

class EndpointExchange::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(const asio::any_io_executor &executor, SocketAddress target)
        : address(std::move(target))
        , stream(executor)
        , writeEnd(executor)
    {
        reader.emplace(http::verb::get);
    }

    /// Maps an error to a fault.
    /// @param failedStep for the fault's detail.
    [[nodiscard]] ExchangeFault faultOf(const error_code &error, const char *failedStep) const
    {
        auto kind = ExchangeFault::Kind::Broken;
        if (aborted) {
            kind = ExchangeFault::Kind::Aborted;
        } else if (error == beast::error::timeout) {
            kind = ExchangeFault::Kind::Silent;
        } else if (isMalformed(error)) {
            kind = ExchangeFault::Kind::Malformed;
        }
        return {.kind = kind, .detail = std::string(failedStep) + ": " + reader->describe(error)};
    }

    /// Starts to write the request without waiting for the end of the write.
    void startWriting()
    {
        bytesSent = true;
        writeEnd.expires_at(asio::steady_timer::time_point::max());
        http::async_write(stream, request, [self = shared_from_this()](const error_code &error, std::size_t) {
            self->writeResult = error;
            self->writeEnd.cancel();
        });
    }

    /// Reads a part of the body.
    /// @return as for `ResponseReader::readSome`; also the error of the connection if its end would complete a response without length.
    [[nodiscard]] error_code readBody(asio::yield_context yield)
    {
        if (connectionError) {
            return connectionError;
        }
        const auto error = reader->readSome(stream, yield);
        if (!error && reader->isDone() && reader->endsWithConnection()) {
            // A socket reports the error of its connection to one operation only. If that was the write, the read sees an orderly end.
            const auto result = endWrite(yield);
            connectionError = isConnectionFailure(result) ? result : error_code();
        }
        return error ? error : connectionError;
    }

    /// Closes the connection, which cancels a write that is still in progress.
    /// @return the result of the write.
    [[nodiscard]] error_code endWrite(asio::yield_context yield)
    {
        stream.close();
        if (!writeResult) {
            error_code ignored;
            writeEnd.async_wait(yield[ignored]);
        }
        return writeResult.value_or(error_code());
    }

    [[nodiscard]] bool isComplete() const
    {
        return reader->isDone() && !connectionError;
    }

    const SocketAddress address;
    beast::tcp_stream stream;
    Request request;
    std::optional<ResponseReader> reader;  ///< Replaced when the method of the request is known; never empty.
    ByteLease lease;                       ///< Share of the byte budget that the body uses.
    asio::steady_timer writeEnd;           ///< Cancelled at the end of the write.
    std::optional<error_code> writeResult; ///< Of the finished write.
    error_code connectionError;            ///< Why the end of the connection did not complete the response.
    bool bytesSent = false;
    bool aborted = false;
};

EndpointExchange::EndpointExchange(const asio::any_io_executor &executor, SocketAddress address)
    : d_(std::make_shared<Private>(executor, std::move(address)))
{
}

EndpointExchange::~EndpointExchange()
{
    // Ends a write that is still in progress, so that the endpoint receives no other bytes in place of the rest of the body.
    d_->stream.close();
}

std::optional<ExchangeFault> EndpointExchange::open(Request request, const ExchangeTimes &times, asio::yield_context yield)
{
    const auto d = d_;
    d->request = std::move(request);
    d->request.prepare_payload();
    error_code error;
    const auto ip = asio::ip::make_address(d->address.ip, error);
    if (!error) {
        d->stream.expires_after(times.connect);
        d->stream.async_connect(asio::ip::tcp::endpoint(ip, d->address.port), yield[error]);
    }
    if (error || d->aborted) {
        const auto kind = d->aborted ? ExchangeFault::Kind::Aborted : ExchangeFault::Kind::Unreachable;
        return ExchangeFault{.kind = kind, .detail = "connect: " + error.message()};
    }
    enableDeadPeerDetection(d->stream.socket());
    d->stream.expires_after(times.header);
    d->reader.emplace(d->request.method());
    d->startWriting();
    error = d->reader->readHeader(d->stream, yield);
    if (error || d->aborted) {
        return d->faultOf(error, "header");
    }
    return std::nullopt;
}

bool EndpointExchange::hasHeader() const
{
    return d_->reader->hasHeader();
}

const EndpointExchange::Response &EndpointExchange::response() const
{
    return d_->reader->response();
}

std::variant<std::string, ExchangeFault> EndpointExchange::read(std::chrono::milliseconds silence, asio::yield_context yield)
{
    const auto d = d_;
    if (d->isComplete()) {
        return d->reader->takeBody();
    }
    d->stream.expires_after(silence);
    const auto error = d->readBody(yield);
    std::string part = d->reader->takeBody();
    if ((error || d->aborted) && (part.empty() || d->aborted)) {
        return d->faultOf(error, "body");
    }
    return part;
}

std::optional<ExchangeFault> EndpointExchange::readAll(std::chrono::milliseconds time, std::uint64_t limitBytes, asio::yield_context yield, ByteBudget *budget)
{
    const auto d = d_;
    error_code error;
    if (budget != nullptr) {
        d->lease = ByteLease(*budget);
    }
    if (const auto stated = d->reader->statedLength(); stated && *stated > limitBytes && !d->isComplete()) {
        return tooLong(*stated, limitBytes);
    }
    d->stream.expires_after(time);
    while (!error && !d->aborted && !d->reader->isDone()) {
        error = d->readBody(yield);
        const auto size = d->reader->response().body().size();
        if (size > limitBytes) {
            return tooLong(size, limitBytes);
        }
        if (budget != nullptr && !d->lease.grow(size)) {
            return ExchangeFault{.kind = ExchangeFault::Kind::Malformed, .detail = "body: no memory for " + std::to_string(size) + " bytes"};
        }
    }
    // A response that was complete before `abort` was called is not lost.
    if (d->isComplete()) {
        return std::nullopt;
    }
    return d->faultOf(error, "body");
}

ByteLease EndpointExchange::takeLease()
{
    return std::move(d_->lease);
}

bool EndpointExchange::isComplete() const
{
    return d_->isComplete();
}

bool EndpointExchange::isSelfDelimiting() const
{
    return !d_->reader->endsWithConnection();
}

bool EndpointExchange::bytesSent() const
{
    return d_->bytesSent;
}

void EndpointExchange::abort()
{
    d_->aborted = true;
    d_->stream.close();
}

} // namespace daisystream
