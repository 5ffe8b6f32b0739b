#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// @file
/// The HTTP part that the engine and the plain service have in common.
///
/// Example:
/// @code
///   StandInServer server(io, 0, [](boost::beast::tcp_stream &stream, const StandInRequest &request, auto yield) {
///       return sendJson(stream, request, 200, "{}", yield);
///   });
/// @endcode

namespace daisystream
{

using StandInRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// Accepts connections on a loopback address and passes requests on. All of it runs in one strand, so that handlers
/// need no locks. Thread-safe.
class StandInServer
{
public:
    /// Serves one request. @return whether the connection can serve another one.
    using Handler = std::function<bool(boost::beast::tcp_stream &, const StandInRequest &, boost::asio::yield_context)>;

    /// @param port 0: any free port.
    StandInServer(boost::asio::io_context &io, std::uint16_t port, Handler handler);
    ~StandInServer();

    StandInServer(const StandInServer &) = delete;
    StandInServer &operator=(const StandInServer &) = delete;

    [[nodiscard]] std::uint16_t port() const;

    /// Runs a function in the strand of the handlers.
    void post(std::function<void()> function);

    /// Starts a coroutine in the strand of the handlers.
    void spawn(std::function<void(boost::asio::yield_context)> function);

    /// Closes all connections; with `refuse`, new ones are refused until `listen`. Call it in the strand.
    void closeAll(bool refuse);

    /// Accepts connections on the same port again. Call it in the strand.
    void listen();

private:
    class Private;
    std::shared_ptr<Private> d_;
};

/// Writes a response with a JSON body. @return as `StandInServer::Handler`.
bool sendJson(boost::beast::tcp_stream &stream, const StandInRequest &request, unsigned status, std::string body, boost::asio::yield_context yield);

/// @return the value of a number in the query of a target, or the fallback.
[[nodiscard]] std::uint64_t queryNumber(const std::string &target, const std::string &name, std::uint64_t fallback);

} // namespace daisystream
