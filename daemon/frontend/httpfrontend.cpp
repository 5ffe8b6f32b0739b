#include "daemon/frontend/httpfrontend.h"

#include "daemon/frontend/frontendcontext.h"
#include "daemon/frontend/httpconnection.h"
#include "daemon/frontend/orderrouter.h"
#include "daemon/frontend/requesthandler.h"
#include "daemon/gateway/gatewayhandler.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <glog/logging.h>

#include <atomic>

namespace daisystream
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace
{

// Pause after a failed accept: without file descriptors the failure would repeat at once.
constexpr auto kAcceptPause = std::chrono::milliseconds(100);
// Time for the coroutines of closed connections to end.
constexpr auto kRoomPause = std::chrono::milliseconds(10);

} // namespace

class HttpFrontend::Private : public std::enable_shared_from_this<HttpFrontend::Private>
{
public:
    Private(asio::io_context &io, SocketAddress listen, const FrontendOptions &options, const FrontendParts &parts)
        : listen_(std::move(listen))
        , context_(io, options, parts)
        , orders_(std::make_shared<OrderRouter>(context_))
        , handler_(context_, *orders_)
        , acceptor_(asio::make_strand(io))
        , clientBytes_(parts.metrics.gauge("daisystream_client_bytes", "Memory that callers made this VM hold when the last connection came."))
        , clientConnections_(parts.metrics.gauge("daisystream_client_connections", "Connections of callers when the last one came."))
        , clientsEvicted_(parts.metrics.counter("daisystream_clients_evicted_total", "Connections closed to make room for others."))
        , clientsRefused_(parts.metrics.counter("daisystream_clients_refused_total", "New connections closed for lack of room."))
    {
        if (parts.gateway) {
            gateway_
                = std::make_unique<GatewayContext>(context_, parts.gateway->dispatcher, parts.gateway->dialect, parts.gateway->settings, parts.gateway->zone);
            forwarder_ = std::make_unique<GatewayHandler>(*gateway_);
        }
    }

    void accept(asio::yield_context yield)
    {
        while (acceptor_.is_open()) {
            error_code error;
            tcp::socket socket(asio::make_strand(context_.io));
            acceptor_.async_accept(socket, yield[error]);
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                LOG(WARNING) << "accepting a connection failed: " << error.message();
                asio::steady_timer timer(yield.get_executor(), kAcceptPause);
                timer.async_wait(yield[error]);
                continue;
            }
            startConnection(std::move(socket), yield);
        }
    }

    /// Closes the connection instead if there is no room for it.
    void startConnection(tcp::socket socket, asio::yield_context yield)
    {
        auto executor = socket.get_executor();
        auto tls = std::atomic_load(&tls_);
        const auto bytes = HttpConnection::baseBytes(tls != nullptr);
        auto connection
            = std::make_shared<HttpConnection>(std::move(socket), std::move(tls), optionsNow(), [&lists = context_.parts.lists] { return lists.isStopping(); });
        const auto evict = [executor, weak = std::weak_ptr(connection)] {
            asio::post(executor, [weak] {
                if (const auto evicted = weak.lock()) {
                    evicted->abort();
                }
            });
        };
        auto account = context_.clients.open(bytes, evict);
        if (!account) {
            // Connections that were closed to make room return it when their coroutines have run.
            error_code ignored;
            asio::steady_timer timer(yield.get_executor(), kRoomPause);
            timer.async_wait(yield[ignored]);
            account = context_.clients.open(bytes, evict);
        }
        clientBytes_.set(static_cast<double>(context_.clients.budget().held()));
        clientConnections_.set(static_cast<double>(context_.clients.connections()));
        clientsEvicted_.add(context_.clients.evicted() - clientsEvicted_.value());
        if (!account) {
            countRefusedConnection();
            return;
        }
        connection->setAccount(std::move(account));
        asio::spawn(
            executor, [self = shared_from_this(), connection](asio::yield_context yield) { self->serve(*connection, yield); }, asio::detached);
    }

    /// Logs the 1st, 2nd, 4th, 8th, ... refused connection, so that a flood of them does not fill the log.
    void countRefusedConnection()
    {
        clientsRefused_.add(1);
        const auto count = clientsRefused_.value();
        if ((count & (count - 1)) == 0) {
            LOG(WARNING) << "event=client_refused connections=" << context_.clients.connections() << " held=" << context_.clients.budget().held()
                         << " refused=" << count;
        }
    }

    /// @return the bounds of the settings or, where they set some, of the routes in force.
    [[nodiscard]] FrontendOptions optionsNow() const
    {
        FrontendOptions options = context_.options;
        if (const auto routes = forwarder_ ? context_.parts.lists.routes() : nullptr) {
            const CallerLimits &limits = routes->limits();
            options.headerLimitBytes = limits.headerBytes;
            options.bodyLimitBytes = limits.bodyBytes;
            options.headerTimeout = limits.headerTime;
            options.idleTimeout = limits.idleTime;
        }
        return options;
    }

    void serve(HttpConnection &connection, asio::yield_context yield)
    {
        if (!connection.handshake(yield)) {
            return;
        }
        const HttpConnection::EarlyRefusal refusal = [this](const HttpRequest &request) {
            return forwarder_ ? forwarder_->refuseEarly(request) : handler_.refuseEarly(request);
        };
        while (const auto request = connection.read(refusal, yield)) {
            if (forwarder_) {
                forwarder_->serve(connection, *request, yield);
            } else {
                handler_.serve(connection, *request, yield);
            }
        }
        connection.close(yield);
    }

    const SocketAddress listen_;
    FrontendContext context_;
    std::shared_ptr<OrderRouter> orders_;
    RequestHandler handler_;
    std::unique_ptr<GatewayContext> gateway_; ///< Null if callers use the own API.
    std::unique_ptr<GatewayHandler> forwarder_;
    tcp::acceptor acceptor_;
    std::shared_ptr<asio::ssl::context> tls_;
    // Written by the coroutine that accepts connections.
    Gauge &clientBytes_;
    Gauge &clientConnections_;
    Counter &clientsEvicted_;
    Counter &clientsRefused_;
    std::uint16_t port_ = 0;
};

HttpFrontend::HttpFrontend(asio::io_context &io, const SocketAddress &listen, const FrontendOptions &options, const FrontendParts &parts)
    : d_(std::make_shared<Private>(io, listen, options, parts))
{
}

HttpFrontend::~HttpFrontend()
{
    try {
        close();
    } catch (const std::exception &fault) {
        LOG(ERROR) << "the front end could not be closed: " << fault.what();
    }
}

std::optional<Error> HttpFrontend::start()
{
    error_code error;
    const auto ip = asio::ip::make_address(d_->listen_.ip, error);
    const tcp::endpoint address(ip, d_->listen_.port);
    auto &acceptor = d_->acceptor_;
    if (!error) {
        acceptor.open(address.protocol(), error);
    }
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
        // Accepted sockets inherit it. What the kernel has received counts towards the memory of this process.
        if (const int bytes = d_->context_.options.receiveBufferBytes; bytes > 0) {
            acceptor.set_option(asio::socket_base::receive_buffer_size(bytes), error);
        }
        acceptor.bind(address, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error{ResultCode::MalformedRequest, "cannot listen on " + toString(d_->listen_) + ": " + error.message(), {}};
    }
    d_->port_ = acceptor.local_endpoint().port();
    d_->orders_->start();
    asio::spawn(
        acceptor.get_executor(), [self = d_](asio::yield_context yield) { self->accept(yield); }, asio::detached);
    return std::nullopt;
}

void HttpFrontend::setTls(std::shared_ptr<asio::ssl::context> tls)
{
    std::atomic_store(&d_->tls_, std::move(tls));
}

std::uint16_t HttpFrontend::port() const
{
    return d_->port_;
}

std::size_t HttpFrontend::running() const
{
    return *d_->context_.running;
}

GatewayContext *HttpFrontend::gateway()
{
    return d_->gateway_.get();
}

void HttpFrontend::close()
{
    if (d_->gateway_) {
        d_->gateway_->endAdmission();
    }
    asio::post(strandOf(d_->acceptor_.get_executor()), [self = d_] {
        error_code ignored;
        self->acceptor_.close(ignored);
    });
}

} // namespace daisystream
