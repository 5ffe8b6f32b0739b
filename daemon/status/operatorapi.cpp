#include "daemon/status/operatorapi.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>

namespace daisystream
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr unsigned kMaxConnections = 32;
constexpr auto kExchangeTimeout = std::chrono::seconds(5);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(200);

} // namespace

class OperatorApi::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &loop, std::map<std::string, OperatorPage> content)
        : io(loop)
        , pages(std::move(content))
        , acceptor(asio::make_strand(loop))
    {
    }

    void accept(asio::yield_context yield)
    {
        error_code error;
        while (acceptor.is_open()) {
            auto stream = std::make_shared<beast::tcp_stream>(asio::make_strand(io));
            acceptor.async_accept(stream->socket(), yield[error]);
            if (error) {
                asio::steady_timer timer(acceptor.get_executor(), kAcceptRetryDelay);
                timer.async_wait(yield[error]);
            } else if (connections < kMaxConnections) {
                asio::spawn(
                    stream->get_executor(), [self = shared_from_this(), stream](asio::yield_context inner) { self->serve(*stream, inner); }, asio::detached);
            }
        }
    }

    void serve(beast::tcp_stream &stream, asio::yield_context yield)
    {
        ++connections;
        error_code error;
        beast::flat_buffer buffer;
        bool keepAlive = true;
        while (!error && keepAlive) {
            http::request<http::string_body> request;
            stream.expires_after(kExchangeTimeout);
            http::async_read(stream, buffer, request, yield[error]);
            if (error) {
                break;
            }
            auto response = respond(request);
            keepAlive = request.keep_alive();
            response.keep_alive(keepAlive);
            response.prepare_payload();
            http::async_write(stream, response, yield[error]);
        }
        stream.socket().shutdown(tcp::socket::shutdown_send, error);
        --connections;
    }

    [[nodiscard]] http::response<http::string_body> respond(const http::request<http::string_body> &request) const
    {
        const auto found = pages.find(std::string(request.target()));
        if (found == pages.end() || request.method() != http::verb::get) {
            return {http::status::not_found, 11};
        }
        http::response<http::string_body> response(http::status::ok, 11);
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
    std::atomic<unsigned> connections{0};
};

OperatorApi::OperatorApi(asio::io_context &io, std::map<std::string, OperatorPage> pages)
    : d_(std::make_shared<Private>(io, std::move(pages)))
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
