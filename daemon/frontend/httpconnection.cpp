#include "daemon/frontend/httpconnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <glog/logging.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <charconv>

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
    if (buffer_.size() > 0) {
        return true;
    }
    error_code error;
    tcp().expires_after(options_.idleTimeout);
    const std::size_t count = with([&](auto &stream) { return stream.async_read_some(buffer_.prepare(options_.headerLimitBytes), yield[error]); });
    buffer_.commit(count);
    return !error;
}

std::optional<HttpRequest> HttpConnection::read(asio::yield_context yield)
{
    if (broken_ || !keepAlive_ || !waitForRequest(yield)) {
        return std::nullopt;
    }
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(options_.headerLimitBytes));
    parser.body_limit(options_.bodyLimitBytes);
    error_code error;
    isHead_ = false;
    tcp().expires_after(options_.headerTimeout);
    with([&](auto &stream) { return http::async_read_header(stream, buffer_, parser, yield[error]); });
    if (error) {
        refuse(error, yield);
        return std::nullopt;
    }
    const auto &header = parser.get().base();
    version_ = header.version();
    isHead_ = header.method() == http::verb::head;
    if (const auto fault = checkFraming(header)) {
        refuse(*fault, yield);
        return std::nullopt;
    }
    if (!parser.is_done()) {
        // The parser adds trailers to the header, where they would count like fields that the caller sent before the body.
        std::optional<RequestHeader> withoutTrailers;
        if (parser.chunked()) {
            withoutTrailers = header;
        }
        if (version_ == kHttp11 && beast::iequals(header[http::field::expect], "100-continue")) {
            writeRaw("HTTP/1.1 100 Continue\r\n\r\n", {}, {}, yield);
        }
        tcp().expires_after(options_.bodyTimeout);
        with([&](auto &stream) { return http::async_read(stream, buffer_, parser, yield[error]); });
        if (error) {
            refuse(error, yield);
            return std::nullopt;
        }
        if (withoutTrailers) {
            parser.get().base() = *withoutTrailers;
        }
    }
    auto request = parser.release();
    keepAlive_ = request.keep_alive();
    return request;
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
    auto response = errorReply(refusal, FinalState::NotRun);
    LOG(INFO) << "event=request_malformed status=" << response.result_int() << " reason=\"" << error.message() << '"';
    write(std::move(response), yield);
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
    tcp().expires_after(options_.writeTimeout);
    if (isHeaderOnly) {
        http::response_serializer<http::string_body> serializer(response);
        with([&](auto &stream) { return http::async_write_header(stream, serializer, yield[error]); });
    } else {
        with([&](auto &stream) { return http::async_write(stream, response, yield[error]); });
    }
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
    tcp().expires_after(options_.writeTimeout);
    with([&](auto &stream) { return asio::async_write(stream, parts, yield[error]); });
    broken_ = static_cast<bool>(error);
    return !broken_;
}

void HttpConnection::beginStream()
{
    // HTTP/1.0 has no chunks: the end of the connection is the end of the answer.
    closeIfStopping();
    endsWithConnection_ = version_ != kHttp11;
    keepAlive_ = keepAlive_ && !endsWithConnection_;
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
    if (endsWithConnection_) {
        tcp().socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
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
        std::array<char, 16384> dropped{};
        for (std::size_t total = 0; !error && total < kLingerBytes;) {
            total += tcp().async_read_some(asio::buffer(dropped), yield[error]);
        }
    }
    tcp().socket().close(error);
}

} // namespace daisystream
