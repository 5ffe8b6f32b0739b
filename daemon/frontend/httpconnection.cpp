#include "daemon/frontend/httpconnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <glog/logging.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <iterator>

namespace daisystream
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

// A connection over which nothing is acknowledged for this long counts as gone (design 2.8).
constexpr int kUserTimeoutMilliseconds = 10'000;
// After a refusal the rest of the request is read and dropped for a while: closing with unread bytes would reset the
// connection and the caller might never see the refusal.
constexpr auto kLingerTimeout = std::chrono::seconds(1);
constexpr std::size_t kLingerBytes = 8'388'608;
// Measured with 2,000 connections over TCP: 18.6 kB each, most of it the stack of the coroutine.
constexpr std::uint64_t kConnectionBytes = 20'000;
// Added by TLS: two buffers for records of 16 KB, the state of the library and of the handshake.
constexpr std::uint64_t kTlsBytes = 60'000;
// Memory that a header takes for each of its fields beside their bytes.
constexpr std::uint64_t kFieldBytes = 100;
// A connection that waits for a request has a small buffer; headers rarely need more.
constexpr std::size_t kFirstRead = 2'048;
constexpr std::size_t kBodyRead = 32'768;
// Up to this length the rest of a refused request is dropped and the connection kept; a client may still be sending it.
constexpr std::uint64_t kMaxDropped = 65'536;
// How long a body without room in memory waits before it is refused, and how often it tries.
constexpr unsigned kRoomAttempts = 20;
constexpr auto kRoomPause = std::chrono::milliseconds(50);
constexpr auto kRetryAfterRoom = std::chrono::milliseconds(1'000);
constexpr unsigned kHttp11 = 11;
constexpr std::string_view kEventsHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n";

std::variant<beast::tcp_stream, beast::ssl_stream<beast::tcp_stream>> makeStream(HttpConnection::Socket socket, const std::shared_ptr<asio::ssl::context> &tls)
{
    if (tls) {
        return beast::ssl_stream<beast::tcp_stream>(beast::tcp_stream(std::move(socket)), *tls);
    }
    return beast::tcp_stream(std::move(socket));
}

} // namespace

HttpConnection::HttpConnection(Socket socket, std::shared_ptr<asio::ssl::context> tls, const FrontendOptions &options, std::function<bool()> isStopping)
    : options_(options)
    , tls_(std::move(tls))
    , isStopping_(std::move(isStopping))
    , stream_(makeStream(std::move(socket), tls_))
{
    error_code ignored;
    tcp().socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    const int timeout = kUserTimeoutMilliseconds;
    ::setsockopt(tcp().socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

std::uint64_t HttpConnection::baseBytes(bool withTls)
{
    return withTls ? kConnectionBytes + kTlsBytes : kConnectionBytes;
}

void HttpConnection::setAccount(std::shared_ptr<ClientAccount> account)
{
    account_ = std::move(account);
}

void HttpConnection::setPhase(ClientPhase phase)
{
    if (account_) {
        account_->setPhase(phase);
    }
}

HttpConnection::Plain &HttpConnection::tcp()
{
    if (auto *plain = std::get_if<Plain>(&stream_)) {
        return *plain;
    }
    return std::get<Tls>(stream_).next_layer();
}

template<class Function>
auto HttpConnection::with(Function &&function)
{
    if (auto *plain = std::get_if<Plain>(&stream_)) {
        return function(*plain);
    }
    return function(std::get<Tls>(stream_));
}

HttpConnection::Socket::executor_type HttpConnection::executor()
{
    return tcp().socket().get_executor();
}

bool HttpConnection::handshake(asio::yield_context yield)
{
    auto *tls = std::get_if<Tls>(&stream_);
    if (tls == nullptr) {
        return true;
    }
    error_code error;
    tcp().expires_after(options_.headerTimeout);
    tls->async_handshake(asio::ssl::stream_base::server, yield[error]);
    broken_ = static_cast<bool>(error);
    return !broken_;
}

bool HttpConnection::waitForRequest(asio::yield_context yield)
{
    if (!dropBody(yield)) {
        return false;
    }
    releaseBuffers();
    if (buffer_.size() > 0) {
        return true;
    }
    setPhase(ClientPhase::Idle);
    tcp().expires_after(options_.idleTimeout);
    return !readMore(std::min(kFirstRead, options_.headerLimitBytes), yield);
}

error_code HttpConnection::readMore(std::size_t most, asio::yield_context yield)
{
    error_code error;
    const std::size_t count = with([&](auto &stream) { return stream.async_read_some(buffer_.prepare(most), yield[error]); });
    buffer_.commit(count);
    return error == asio::error::eof ? http::make_error_code(http::error::partial_message) : error;
}

bool HttpConnection::dropBody(asio::yield_context yield)
{
    tcp().expires_after(options_.bodyTimeout);
    while (toDrop_ > 0) {
        const auto count = std::min<std::uint64_t>(toDrop_, buffer_.size());
        buffer_.consume(count);
        toDrop_ -= count;
        if (toDrop_ > 0 && readMore(kFirstRead, yield)) {
            return false;
        }
    }
    return true;
}

void HttpConnection::releaseBuffers()
{
    if (buffer_.size() == 0 && buffer_.capacity() > kFirstRead) {
        buffer_.shrink_to_fit();
    }
    if (account_) {
        (void)account_->charge(buffer_.capacity());
    }
}

std::optional<HttpRequest> HttpConnection::read(const EarlyRefusal &refusal, asio::yield_context yield)
{
    while (!broken_ && keepAlive_ && waitForRequest(yield)) {
        if (auto request = readOne(refusal, yield)) {
            return request;
        }
    }
    return std::nullopt;
}

std::optional<HttpRequest> HttpConnection::readOne(const EarlyRefusal &refusal, asio::yield_context yield)
{
    setPhase(ClientPhase::Receiving);
    HeaderParser head;
    head.header_limit(static_cast<std::uint32_t>(options_.headerLimitBytes));
    head.body_limit(options_.bodyLimitBytes);
    error_code error;
    isHead_ = false;
    if (const auto fault = readHeader(head, error, yield)) {
        refuse(*fault, yield);
        return std::nullopt;
    }
    if (error) {
        refuse(error, yield);
        return std::nullopt;
    }
    const auto &header = head.get().base();
    version_ = header.version();
    isHead_ = header.method() == http::verb::head;
    if (const auto fault = checkFraming(header)) {
        refuse(*fault, yield);
        return std::nullopt;
    }
    BodyParser parser(std::move(head));
    if (!parser.is_done()) {
        keepAlive_ = parser.get().keep_alive();
        if (auto refused = refusal ? refusal(parser.get()) : std::nullopt) {
            refuseEarly(std::move(*refused), parser, yield);
            return std::nullopt;
        }
        const auto fault = readBody(parser, error, yield);
        if (fault) {
            refuse(*fault, yield);
            return std::nullopt;
        }
        if (error) {
            refuse(error, yield);
            return std::nullopt;
        }
    }
    setPhase(ClientPhase::Serving);
    auto request = parser.release();
    keepAlive_ = request.keep_alive();
    return request;
}

std::optional<Error> HttpConnection::readHeader(HeaderParser &parser, error_code &error, asio::yield_context yield)
{
    const Error tooManyFields{ResultCode::HeaderTooLarge, "the header has more than " + std::to_string(options_.fieldLimit) + " fields", {}};
    tcp().expires_after(options_.headerTimeout);
    std::size_t lineBegin = 0; // In the buffer, of the line that has not ended.
    std::size_t lines = 0;
    bool hasEnded = false;
    for (;;) {
        // Lines are counted before they are parsed, because a parsed field takes several times its bytes.
        const auto *bytes = static_cast<const char *>(buffer_.data().data());
        while (!hasEnded && lineBegin < buffer_.size()) {
            const auto *end = static_cast<const char *>(std::memchr(bytes + lineBegin, '\n', buffer_.size() - lineBegin));
            if (end == nullptr) {
                break;
            }
            const auto next = static_cast<std::size_t>(end - bytes) + 1;
            hasEnded = lines > 0 && next - lineBegin <= 2;
            lineBegin = next;
            ++lines;
        }
        // Beside the fields there are the request line and the empty line.
        if (lines > options_.fieldLimit + 2) {
            return tooManyFields;
        }
        if (account_ && !account_->charge(buffer_.capacity() + lines * kFieldBytes)) {
            account_->makeRoom(options_.headerLimitBytes);
            return Error{ResultCode::NoMemory, "there is no memory for the header of the request", kRetryAfterRoom};
        }
        const auto consumed = parser.put(buffer_.data(), error);
        buffer_.consume(consumed);
        lineBegin -= std::min(consumed, lineBegin);
        if (error != http::error::need_more) {
            return std::nullopt;
        }
        if (buffer_.size() > options_.headerLimitBytes) {
            error = http::error::header_limit;
            return std::nullopt;
        }
        error = readMore(std::max(kFirstRead, std::min(buffer_.size(), options_.headerLimitBytes)), yield);
        if (error) {
            return std::nullopt;
        }
    }
}

bool HttpConnection::chargeBody(std::uint64_t bytes, asio::yield_context yield)
{
    if (!account_) {
        return true;
    }
    if (account_->charge(bytes)) {
        return true;
    }
    // While it waits for this VM, the connection is not one of those that are closed to make room.
    setPhase(ClientPhase::Serving);
    asio::steady_timer timer(tcp().get_executor());
    for (unsigned i = 0; !account_->charge(bytes); ++i) {
        if (i >= kRoomAttempts || broken_) {
            return false;
        }
        account_->makeRoom(bytes);
        error_code ignored;
        timer.expires_after(kRoomPause);
        timer.async_wait(yield[ignored]);
    }
    setPhase(ClientPhase::Receiving);
    return true;
}

std::optional<Error> HttpConnection::readBody(BodyParser &parser, error_code &error, asio::yield_context yield)
{
    const Error noRoom{ResultCode::NoMemory, "there is no memory for the body of the request", kRetryAfterRoom};
    const auto length = parser.content_length();
    // A body of known length is charged at once: several that each wait for the room of the others would never end.
    if (!chargeBody(kBodyRead + length.value_or(0), yield)) {
        return noRoom;
    }
    // The parser adds trailers to the header, where they would count like fields that the caller sent before the body.
    std::optional<RequestHeader> withoutTrailers;
    if (parser.chunked()) {
        withoutTrailers = parser.get().base();
    }
    if (version_ == kHttp11 && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        writeRaw("HTTP/1.1 100 Continue\r\n\r\n", {}, {}, yield);
    }
    using Steady = std::chrono::steady_clock;
    const auto begin = Steady::now();
    std::uint64_t received = 0;
    std::uint64_t progressAt = kBodyRead;
    parser.eager(true);
    auto &body = parser.get().body();
    for (;;) {
        if (const auto needed = body.size() + buffer_.size(); !length && needed > body.capacity()) {
            // Both blocks exist while the content moves to the larger one.
            const auto larger = std::min<std::uint64_t>(std::max<std::uint64_t>(needed, 2 * body.capacity()), options_.bodyLimitBytes + kBodyRead);
            if (!chargeBody(kBodyRead + body.capacity() + larger, yield)) {
                return noRoom;
            }
            body.reserve(larger);
            (void)chargeBody(kBodyRead + body.capacity(), yield);
        }
        if (buffer_.size() > 0) {
            const auto consumed = parser.put(buffer_.data(), error);
            buffer_.consume(consumed);
            received += consumed;
            if (!error && parser.is_done()) {
                break;
            }
            if (error && error != http::error::need_more) {
                return std::nullopt;
            }
            if (buffer_.size() > options_.headerLimitBytes) {
                error = http::error::header_limit; // A chunk's extension or a trailer without end.
                return std::nullopt;
            }
            const auto fields = parser.chunked() ? std::distance(parser.get().begin(), parser.get().end()) : 0;
            if (static_cast<std::size_t>(fields) > 2 * options_.fieldLimit) {
                return Error{ResultCode::HeaderTooLarge, "the request has too many trailers", {}};
            }
        }
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - begin);
        const auto needed = static_cast<std::uint64_t>(elapsed.count()) * options_.bodyBytesPerSecond / 1'000;
        if (elapsed > options_.bodyStallTimeout && received < needed) {
            return Error{ResultCode::CallerTooSlow, "the body of the request comes too slowly", {}};
        }
        const auto left = options_.bodyTimeout - elapsed;
        tcp().expires_after(std::clamp(left, std::chrono::milliseconds(1), options_.bodyStallTimeout));
        error = readMore(kBodyRead, yield);
        if (error) {
            return std::nullopt;
        }
        // Few bytes are no progress: clients that send slowly are the first to be closed.
        if (received >= progressAt) {
            setPhase(ClientPhase::Receiving);
            progressAt = received + kBodyRead;
        }
    }
    // Requests that are forwarded exist twice.
    if (!chargeBody(kBodyRead + 2 * body.size(), yield)) {
        return noRoom;
    }
    if (withoutTrailers) {
        parser.get().base() = *withoutTrailers;
    }
    return std::nullopt;
}

void HttpConnection::refuseEarly(HttpResponse response, const BodyParser &parser, asio::yield_context yield)
{
    const auto length = parser.content_length();
    const bool isWaiting = beast::iequals(parser.get()[http::field::expect], "100-continue");
    const bool isShort = length && *length <= kMaxDropped && !isWaiting;
    keepAlive_ = keepAlive_ && isShort;
    write(std::move(response), yield);
    toDrop_ = isShort ? *length : 0;
}

void HttpConnection::refuse(const Error &refusal, asio::yield_context yield)
{
    keepAlive_ = false;
    auto response = errorReply(refusal, FinalState::NotRun);
    LOG(INFO) << "event=request_malformed status=" << response.result_int() << " reason=\"" << refusal.detail << '"';
    write(std::move(response), yield);
}

void HttpConnection::refuse(const FramingFault &fault, asio::yield_context yield)
{
    keepAlive_ = false;
    LOG(INFO) << "event=request_malformed status=" << static_cast<unsigned>(fault.status) << " reason=\"" << fault.detail << '"';
    auto response = errorReply({ResultCode::MalformedRequest, "the request is malformed: " + fault.detail, {}}, FinalState::NotRun);
    response.result(fault.status);
    write(std::move(response), yield);
}

void HttpConnection::refuse(const error_code &error, asio::yield_context yield)
{
    keepAlive_ = false;
    if (error == http::error::end_of_stream || error == beast::error::timeout || error.category() == asio::error::get_system_category()) {
        broken_ = true; // Nobody is there to read a refusal, or the time-out has closed the socket.
        return;
    }
    Error refusal{ResultCode::MalformedRequest, "the request is malformed: " + error.message(), {}};
    if (error == http::error::header_limit) {
        refusal = {ResultCode::HeaderTooLarge, "the header is larger than " + std::to_string(options_.headerLimitBytes) + " bytes", {}};
    } else if (error == http::error::body_limit) {
        refusal = {ResultCode::RequestTooLarge, "the body is larger than " + std::to_string(options_.bodyLimitBytes) + " bytes", {}};
    }
    refuse(refusal, yield);
}

bool HttpConnection::write(HttpResponse response, asio::yield_context yield)
{
    if (broken_) {
        return false;
    }
    closeIfStopping();
    response.version(version_);
    response.keep_alive(keepAlive_);
    const bool isHeaderOnly = isHead_ || hasNoBody(response.result());
    if (!isHeaderOnly) {
        response.prepare_payload();
    } else if (!response.body().empty()) {
        response.content_length(response.body().size());
    }
    if (response.result() == http::status::no_content) {
        response.content_length(boost::none);
    }
    error_code error;
    setPhase(ClientPhase::Sending);
    tcp().expires_after(options_.writeTimeout);
    if (isHeaderOnly) {
        http::response_serializer<http::string_body> serializer(response);
        with([&](auto &stream) { return http::async_write_header(stream, serializer, yield[error]); });
    } else {
        with([&](auto &stream) { return http::async_write(stream, response, yield[error]); });
    }
    setPhase(ClientPhase::Serving);
    broken_ = static_cast<bool>(error);
    return !broken_;
}

bool HttpConnection::writeRaw(std::string_view first, std::string_view second, std::string_view third, asio::yield_context yield)
{
    if (broken_) {
        return false;
    }
    const std::array<asio::const_buffer, 3> parts = {asio::buffer(first), asio::buffer(second), asio::buffer(third)};
    error_code error;
    setPhase(ClientPhase::Sending);
    tcp().expires_after(options_.writeTimeout);
    with([&](auto &stream) { return asio::async_write(stream, parts, yield[error]); });
    setPhase(ClientPhase::Serving);
    broken_ = static_cast<bool>(error);
    return !broken_;
}

void HttpConnection::beginStream()
{
    // HTTP/1.0 has no chunks: the end of the connection is the end of the answer.
    closeIfStopping();
    endsWithConnection_ = version_ != kHttp11;
    keepAlive_ = keepAlive_ && !endsWithConnection_;
    resetOnClose(endsWithConnection_);
}

void HttpConnection::resetOnClose(bool isReset)
{
    error_code ignored;
    tcp().socket().set_option(asio::socket_base::linger(isReset, 0), ignored);
}

bool HttpConnection::startEvents(asio::yield_context yield)
{
    beginStream();
    const std::string_view framing = endsWithConnection_ ? "" : "Transfer-Encoding: chunked\r\n";
    return writeRaw(kEventsHeader, framing, keepAlive_ ? "\r\n" : "Connection: close\r\n\r\n", yield);
}

bool HttpConnection::startStream(HttpResponse header, asio::yield_context yield)
{
    if (broken_) {
        return false;
    }
    header.version(version_);
    beginStream();
    header.keep_alive(keepAlive_);
    header.chunked(!endsWithConnection_);
    error_code error;
    tcp().expires_after(options_.writeTimeout);
    http::response_serializer<http::string_body> serializer(header);
    with([&](auto &stream) { return http::async_write_header(stream, serializer, yield[error]); });
    broken_ = static_cast<bool>(error);
    return !broken_;
}

bool HttpConnection::writeEvents(std::string_view bytes, asio::yield_context yield)
{
    if (endsWithConnection_) {
        return writeRaw(bytes, {}, {}, yield);
    }
    std::array<char, 20> size{};
    char *end = std::to_chars(size.data(), size.data() + 16, bytes.size(), 16).ptr;
    *end++ = '\r';
    *end++ = '\n';
    return writeRaw({size.data(), static_cast<std::size_t>(end - size.data())}, bytes, "\r\n", yield);
}

void HttpConnection::endEvents(asio::yield_context yield)
{
    if (!endsWithConnection_) {
        writeRaw("0\r\n\r\n", {}, {}, yield);
    } else if (!broken_) {
        resetOnClose(false);
    }
    endsWithConnection_ = false;
}

bool HttpConnection::peerClosed()
{
    if (broken_) {
        return true;
    }
    char byte = 0;
    return ::recv(tcp().socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void HttpConnection::watchPeer(std::function<void()> onLeft)
{
    watch_ = std::make_shared<std::function<void()>>(std::move(onLeft));
    waitForPeer();
}

void HttpConnection::waitForPeer()
{
    tcp().socket().async_wait(Socket::wait_read, [this, weak = std::weak_ptr(watch_)](const error_code &error) {
        const auto watch = weak.lock();
        if (!watch || watch != watch_) {
            return; // The connection is gone or serves another request.
        }
        char byte = 0;
        const auto count = error ? -1 : ::recv(tcp().socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (count > 0) {
            return;
        }
        if (count < 0 && !error && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            waitForPeer();
            return;
        }
        watch_.reset();
        (*watch)();
    });
}

void HttpConnection::stopWatching()
{
    watch_.reset();
}

void HttpConnection::closeIfStopping()
{
    keepAlive_ = keepAlive_ && !(isStopping_ && isStopping_());
}

void HttpConnection::abort()
{
    broken_ = true;
    error_code ignored;
    tcp().socket().close(ignored);
}

void HttpConnection::close(asio::yield_context yield)
{
    error_code error;
    if (!broken_) {
        tcp().expires_after(kLingerTimeout);
        if (auto *tls = std::get_if<Tls>(&stream_)) {
            tls->async_shutdown(yield[error]);
        }
        tcp().socket().shutdown(Socket::shutdown_send, error);
        // Small, because it lies on the stack of the coroutine.
        std::array<char, 2048> dropped{};
        for (std::size_t total = 0; !error && total < kLingerBytes;) {
            total += tcp().async_read_some(asio::buffer(dropped), yield[error]);
        }
    }
    tcp().socket().close(error);
}

} // namespace daisystream
