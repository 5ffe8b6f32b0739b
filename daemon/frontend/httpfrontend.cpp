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
            if (connections_ >= context_.options.maxConnections) {
                continue; // Closes the socket.
            }
            startConnection(std::move(socket));
        }
    }

    void startConnection(tcp::socket socket)
    {
        auto executor = socket.get_executor();
        auto tls = std::atomic_load(&tls_);
        auto connection
            = std::make_shared<HttpConnection>(std::move(socket), std::move(tls), optionsNow(), [&lists = context_.parts.lists] { return lists.isStopping(); });
        // Counts the connection until its coroutine ends, also by an exception.
        ++connections_;
        auto counted = std::shared_ptr<Private>(this, [self = shared_from_this()](Private *frontend) { --frontend->connections_; });
        asio::spawn(
            executor, [self = std::move(counted), connection](asio::yield_context yield) { self->serve(*connection, yield); }, asio::detached);
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
        while (const auto request = connection.read(yield)) {
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
    std::atomic<std::size_t> connections_{0};
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
