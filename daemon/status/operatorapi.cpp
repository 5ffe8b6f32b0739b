#include "daemon/status/operatorapi.h"

#include "daemon/frontend/httpconnection.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

namespace daisystream
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr unsigned kMaxConnections = 32;
// For a connection with the longest header and body, which has the number of fields that a header may have.
constexpr std::uint64_t kConnectionBytes = 128'000;
constexpr auto kExchangeTimeout = std::chrono::seconds(5);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(200);
constexpr std::uint64_t kBodyLimitBytes = 4096; // No page needs a body.

FrontendOptions connectionOptions()
{
    FrontendOptions options;
    options.bodyLimitBytes = kBodyLimitBytes;
    options.idleTimeout = kExchangeTimeout;
    options.headerTimeout = kExchangeTimeout;
    options.bodyTimeout = kExchangeTimeout;
    options.writeTimeout = kExchangeTimeout;
    return options;
}

} // namespace

class OperatorApi::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &loop, const Clock &clock, std::map<std::string, OperatorPage> content)
        : io(loop)
        , pages(std::move(content))
        , acceptor(asio::make_strand(loop))
        , clients({.bytes = kMaxConnections * kConnectionBytes, .connections = kMaxConnections}, clock)
    {
    }

    void accept(asio::yield_context yield)
    {
        error_code error;
        while (acceptor.is_open()) {
            tcp::socket socket(asio::make_strand(io));
            acceptor.async_accept(socket, yield[error]);
            if (error) {
                asio::steady_timer timer(acceptor.get_executor(), kAcceptRetryDelay);
                timer.async_wait(yield[error]);
            } else {
                start(std::move(socket));
            }
        }
    }

    void start(tcp::socket socket)
    {
        const auto executor = socket.get_executor();
        auto connection = std::make_shared<HttpConnection>(std::move(socket), nullptr, connectionOptions());
        // If all connections are in use, those that stall most are closed, so that a later check is answered.
        auto account = clients.open(HttpConnection::baseBytes(false), [executor, weak = std::weak_ptr(connection)] {
            asio::post(executor, [weak] {
                if (const auto evicted = weak.lock()) {
                    evicted->abort();
                }
            });
        });
        if (!account) {
            return;
        }
        connection->setAccount(std::move(account));
        asio::spawn(
            executor, [self = shared_from_this(), connection](asio::yield_context yield) { self->serve(*connection, yield); }, asio::detached);
    }

    void serve(HttpConnection &connection, asio::yield_context yield) const
    {
        const HttpConnection::EarlyRefusal refusal = [this](const HttpRequest &request) {
            return respond(request);
        };
        while (const auto request = connection.read(refusal, yield)) {
            connection.write(respond(*request), yield);
        }
        connection.close(yield);
    }

    [[nodiscard]] HttpResponse respond(const HttpRequest &request) const
    {
        const auto found = pages.find(std::string(request.target()));
        if (found == pages.end() || (request.method() != http::verb::get && request.method() != http::verb::head)) {
            return {http::status::not_found, 11};
        }
        HttpResponse response(http::status::ok, 11);
        response.set(http::field::content_type, found->second.contentType);
        response.body() = found->second.content();
        if (response.body().empty()) {
            response.result(http::status::service_unavailable);
        }
        return response;
    }

    asio::io_context &io;
    const std::map<std::string, OperatorPage> pages;
    tcp::acceptor acceptor;
    ClientMemory clients;
};

OperatorApi::OperatorApi(asio::io_context &io, const Clock &clock, std::map<std::string, OperatorPage> pages)
    : d_(std::make_shared<Private>(io, clock, std::move(pages)))
{
}

OperatorApi::~OperatorApi()
{
    try {
        stop();
    } catch (...) {
        // There is no memory to post the closing, so that the listening socket stays open until the process ends.
    }
}

std::optional<Error> OperatorApi::start(const SocketAddress &listen)
{
    error_code error;
    const tcp::endpoint address(asio::ip::make_address(listen.ip), listen.port);
    d_->acceptor.open(address.protocol(), error);
    d_->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    d_->acceptor.bind(address, error);
    if (!error) {
        d_->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error{ResultCode::MalformedRequest, "cannot listen for operators on " + toString(listen) + ": " + error.message(), {}};
    }
    asio::spawn(
        d_->acceptor.get_executor(), [self = d_](asio::yield_context yield) { self->accept(yield); }, asio::detached);
    return std::nullopt;
}

std::uint16_t OperatorApi::port() const
{
    error_code ignored;
    return d_->acceptor.local_endpoint(ignored).port();
}

void OperatorApi::stop()
{
    asio::post(d_->acceptor.get_executor(), [self = d_] {
        error_code ignored;
        self->acceptor.close(ignored);
    });
}

} // namespace daisystream
