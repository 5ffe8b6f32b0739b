#pragma once

#include "daemon/frontend/clientmemory.h"
#include "daemon/frontend/frontendoptions.h"
#include "daemon/frontend/httpreply.h"
#include "daemon/http/messageframing.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>

/// @file
/// One connection of a caller: bounded reads, bounded writes, streamed responses.
///
/// Example:
/// @code
///   HttpConnection connection(std::move(socket), nullptr, options, account);
///   while (const auto request = connection.read(refusal, yield)) { connection.write(reply(*request), yield); }
/// @endcode

namespace daisystream
{

/// A caller's connection. Use it from one strand only.
class HttpConnection
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// Decides on a request before its body is read.
    /// @return the refusal, nothing if the body is to be read.
    using EarlyRefusal = std::function<std::optional<HttpResponse>(const HttpRequest &withoutBody)>;

    /// @return the memory that a connection needs before it has read anything.
    [[nodiscard]] static std::uint64_t baseBytes(bool withTls);

    /// @param tls null for plain TCP.
    /// @param isStopping whether the VM shuts down, so that each response that begins is the last one on its connection; may be empty.
    HttpConnection(Socket socket, std::shared_ptr<boost::asio::ssl::context> tls, const FrontendOptions &options, std::function<bool()> isStopping = {});

    /// Sets the account that all memory of the connection is charged to; not null. Call it before any other function.
    void setAccount(std::shared_ptr<ClientAccount> account);

    /// Performs the TLS handshake, if there is one.
    /// @return false if the connection is of no use.
    [[nodiscard]] bool handshake(boost::asio::yield_context yield);

    /// Reads the next request. Requests that are malformed, too large, too slow or without room in memory are answered here, and so are
    /// those whose end is not clear. Trailers are dropped.
    /// @param refusal asked for requests with a body before it is read; the rest of a refused request is dropped. May be empty.
    /// @return the request, or nothing when the connection is at its end.
    [[nodiscard]] std::optional<HttpRequest> read(const EarlyRefusal &refusal, boost::asio::yield_context yield);

    /// Writes a whole response. If the request is a HEAD request, the body is left out; a length that the response states stays.
    /// @return false if the caller has gone away.
    bool write(HttpResponse response, boost::asio::yield_context yield);

    /// Writes the header of a streamed response with server-sent events.
    /// @return false if the caller has gone away.
    bool startEvents(boost::asio::yield_context yield);

    /// Writes the header of a streamed response.
    /// @param header its fields that concern the connection are replaced.
    /// @return false if the caller has gone away.
    bool startStream(HttpResponse header, boost::asio::yield_context yield);

    /// Writes a part of a streamed response.
    /// @param bytes not empty.
    /// @return false if the caller has gone away or does not read.
    bool writeEvents(std::string_view bytes, boost::asio::yield_context yield);

    /// Ends a streamed response.
    void endEvents(boost::asio::yield_context yield);

    /// @return true if the caller has closed at least its side of the connection.
    [[nodiscard]] bool peerClosed();

    /// Calls a function once if the caller closes its side or resets the connection. Call it when a request was read; the
    /// watch ends with `stopWatching` and when the caller sends further bytes.
    void watchPeer(std::function<void()> onLeft);

    void stopWatching();

    /// Closes the connection at once, so that a response that has begun cannot be taken for a whole one. One that ends with its
    /// connection is reset.
    void abort();

    /// Ends the connection. The peer gets the chance to read what was written before.
    void close(boost::asio::yield_context yield);

    [[nodiscard]] Socket::executor_type executor();

private:
    using Plain = boost::beast::tcp_stream;
    using Tls = boost::beast::ssl_stream<boost::beast::tcp_stream>;

    [[nodiscard]] Plain &tcp();
    template<class Function>
    auto with(Function &&function);
    using HeaderParser = boost::beast::http::request_parser<boost::beast::http::empty_body>;
    using BodyParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// @return nothing if the request was refused.
    [[nodiscard]] std::optional<HttpRequest> readOne(const EarlyRefusal &refusal, boost::asio::yield_context yield);
    [[nodiscard]] bool waitForRequest(boost::asio::yield_context yield);
    /// Drops the rest of the body of a refused request.
    /// @return false if it does not come.
    [[nodiscard]] bool dropBody(boost::asio::yield_context yield);
    /// Reads further bytes into the buffer.
    [[nodiscard]] boost::system::error_code readMore(std::size_t most, boost::asio::yield_context yield);
    [[nodiscard]] std::optional<Error> readHeader(HeaderParser &parser, boost::system::error_code &error, boost::asio::yield_context yield);
    [[nodiscard]] std::optional<Error> readBody(BodyParser &parser, boost::system::error_code &error, boost::asio::yield_context yield);
    /// Refuses a request whose body has not been read.
    void refuseEarly(HttpResponse response, const BodyParser &parser, boost::asio::yield_context yield);
    /// Waits a short time for room, during which nothing is read.
    /// @return false if there is none.
    [[nodiscard]] bool chargeBody(std::uint64_t bytes, boost::asio::yield_context yield);
    void releaseBuffers();
    void setPhase(ClientPhase phase);
    void refuse(const Error &refusal, boost::asio::yield_context yield);
    void refuse(const boost::system::error_code &error, boost::asio::yield_context yield);
    void refuse(const FramingFault &fault, boost::asio::yield_context yield);
    /// Determines how a streamed response ends.
    void beginStream();
    /// Sets whether the end of the connection is a reset, however it comes about: by a time limit, or with the process.
    void resetOnClose(bool isReset);
    void closeIfStopping();
    void waitForPeer();
    bool writeRaw(std::string_view first, std::string_view second, std::string_view third, boost::asio::yield_context yield);

    FrontendOptions options_;
    std::shared_ptr<ClientAccount> account_;
    std::shared_ptr<boost::asio::ssl::context> tls_;
    std::function<bool()> isStopping_;
    std::variant<Plain, Tls> stream_;
    boost::beast::flat_buffer buffer_;
    std::uint64_t toDrop_ = 0; ///< Rest of the body of a refused request.
    unsigned version_ = 11;
    bool keepAlive_ = true;
    bool isHead_ = false;                          ///< The request is a HEAD request, whose response has no body.
    bool endsWithConnection_ = false;              ///< The response that is being written has neither length nor chunks.
    std::shared_ptr<std::function<void()>> watch_; ///< Its address tells one watch from the next.
    bool broken_ = false;                          ///< A read or write failed: only an abrupt end is possible.
};

} // namespace daisystream
