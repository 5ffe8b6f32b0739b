#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

/// @file
/// A server that responds before it has read the body of the request, for the tests of everything that reads responses.
///
/// Example:
/// @code
///   EarlyServer server(loop.io, "HTTP/1.1 200 OK\r\n\r\npart", ConnectionEnd::Reset);
///   send(server.port(), longBody());
/// @endcode

namespace daisystream
{

/// How a server ends a connection after its response.
enum class ConnectionEnd : std::uint8_t {
    Reset,         ///< Resets the connection.
    Ended,         ///< Ends its side in order and then reads the rest of the request.
    EndedAndReset, ///< Ends its side in order and resets the connection right afterwards.
};

/// @return a body that is longer than what the sockets of a connection over loopback hold, so that its write waits until the server reads.
///     It is shorter than the largest body that VMs accept.
inline std::string longBody()
{
    constexpr std::size_t kBytes = 4'150'000;
    return std::string(kBytes, 'x');
}

/// Responds to each connection with given bytes after the header of the request, and ends it when its receive buffer is full. Serves until
/// its event loop ends. Thread-safe.
class EarlyServer
{
public:
    EarlyServer(boost::asio::io_context &io, std::string response, ConnectionEnd end)
        : state_(std::make_shared<State>(io, std::move(response), end))
    {
        boost::asio::spawn(
            state_->strand, [state = state_](boost::asio::yield_context yield) { state->accept(yield); }, boost::asio::detached);
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return state_->port;
    }

    /// @return the number of requests so far.
    [[nodiscard]] unsigned requests() const
    {
        return state_->requests;
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct State : std::enable_shared_from_this<State>
    {
        State(boost::asio::io_context &io, std::string bytes, ConnectionEnd how)
            : strand(boost::asio::make_strand(io))
            , acceptor(strand, {boost::asio::ip::address_v4::loopback(), 0})
            , port(acceptor.local_endpoint().port())
            , response(std::move(bytes))
            , end(how)
        {
            acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
        }

        void accept(boost::asio::yield_context yield)
        {
            boost::system::error_code error;
            while (!error) {
                auto socket = std::make_shared<Socket>(strand);
                acceptor.async_accept(*socket, yield[error]);
                if (!error) {
                    boost::asio::spawn(
                        strand, [self = shared_from_this(), socket](boost::asio::yield_context inner) { self->serve(*socket, inner); }, boost::asio::detached);
                }
            }
        }

        void serve(Socket &socket, boost::asio::yield_context yield)
        {
            boost::system::error_code error;
            std::string request;
            boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request, kMaxHeaderBytes), "\r\n\r\n", yield[error]);
            if (error) {
                return;
            }
            ++requests;
            boost::asio::async_write(socket, boost::asio::buffer(response), yield[error]);
            waitUntilFull(socket, yield);
            if (end != ConnectionEnd::Reset) {
                socket.shutdown(Socket::shutdown_send, error);
            }
            std::array<char, kReceiveBufferBytes> dropped{};
            while (end == ConnectionEnd::Ended && !error) {
                socket.async_read_some(boost::asio::buffer(dropped), yield[error]);
            }
            socket.set_option(boost::asio::socket_base::linger(true, 0), error);
            socket.close(error);
        }

        /// Waits until no more bytes of the request arrive.
        void waitUntilFull(Socket &socket, boost::asio::yield_context yield)
        {
            boost::system::error_code ignored;
            boost::asio::steady_timer timer(strand);
            for (std::size_t before = 0, now = 1; before != now;) {
                before = socket.available(ignored);
                timer.expires_after(std::chrono::milliseconds(20));
                timer.async_wait(yield[ignored]);
                now = socket.available(ignored);
            }
        }

        static constexpr int kReceiveBufferBytes = 16'384;
        static constexpr std::size_t kMaxHeaderBytes = 65'536;

        boost::asio::strand<boost::asio::io_context::executor_type> strand;
        boost::asio::ip::tcp::acceptor acceptor;
        const std::uint16_t port;
        const std::string response;
        const ConnectionEnd end;
        std::atomic<unsigned> requests{0};
    };

    const std::shared_ptr<State> state_;
};

} // namespace daisystream
