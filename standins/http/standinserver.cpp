#include "standins/http/standinserver.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <set>

namespace daisystream
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

class StandInServer::Private : public std::enable_shared_from_this<StandInServer::Private>
{
public:
    using Strand = asio::strand<asio::io_context::executor_type>;

    Private(asio::io_context &io, Handler handler)
        : strand_(asio::make_strand(io))
        , acceptor_(strand_)
        , handler_(std::move(handler))
    {
    }

    void listen(std::uint16_t port)
    {
        const tcp::endpoint address(asio::ip::address_v4::loopback(), port);
        acceptor_.open(address.protocol());
        acceptor_.set_option(asio::socket_base::reuse_address(true));
        acceptor_.bind(address);
        acceptor_.listen();
        port_ = acceptor_.local_endpoint().port();
        asio::spawn(
            strand_, [self = shared_from_this()](asio::yield_context yield) { self->accept(yield); }, asio::detached);
    }

    void accept(asio::yield_context yield)
    {
        for (;;) {
            error_code error;
            auto stream = std::make_shared<beast::tcp_stream>(strand_);
            acceptor_.async_accept(stream->socket(), yield[error]);
            if (error) {
                return;
            }
            stream->socket().set_option(tcp::no_delay(true), error);
            streams_.insert(stream);
            asio::spawn(
                strand_,
                [self = shared_from_this(), stream](asio::yield_context inner) {
                    self->serve(*stream, inner);
                    self->streams_.erase(stream);
                },
                asio::detached);
        }
    }

    void serve(beast::tcp_stream &stream, asio::yield_context yield)
    {
        error_code error;
        beast::flat_buffer buffer;
        for (bool more = true; more;) {
            StandInRequest request;
            http::async_read(stream, buffer, request, yield[error]);
            more = !error && handler_(stream, request, yield) && request.keep_alive();
        }
        stream.socket().shutdown(tcp::socket::shutdown_both, error);
    }

    Strand strand_;
    tcp::acceptor acceptor_;
    Handler handler_;
    std::set<std::shared_ptr<beast::tcp_stream>> streams_;
    std::uint16_t port_ = 0;
};

StandInServer::StandInServer(asio::io_context &io, std::uint16_t port, Handler handler)
    : d_(std::make_shared<Private>(io, std::move(handler)))
{
    d_->listen(port);
}

StandInServer::~StandInServer() = default;

std::uint16_t StandInServer::port() const
{
    return d_->port_;
}

void StandInServer::post(std::function<void()> function)
{
    asio::post(d_->strand_, std::move(function));
}

void StandInServer::spawn(std::function<void(asio::yield_context)> function)
{
    asio::spawn(
        d_->strand_, [function = std::move(function)](asio::yield_context yield) { function(yield); }, asio::detached);
}

void StandInServer::closeAll(bool refuse)
{
    error_code ignored;
    if (refuse) {
        d_->acceptor_.close(ignored);
    }
    for (const auto &stream : d_->streams_) {
        stream->close();
    }
}

void StandInServer::listen()
{
    if (!d_->acceptor_.is_open()) {
        d_->listen(d_->port_);
    }
}

bool sendJson(beast::tcp_stream &stream, const StandInRequest &request, unsigned status, std::string body, asio::yield_context yield)
{
    http::response<http::string_body> response(static_cast<http::status>(status), request.version());
    response.set(http::field::content_type, "application/json");
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    error_code error;
    http::async_write(stream, response, yield[error]);
    return !error;
}

std::uint64_t queryNumber(const std::string &target, const std::string &name, std::uint64_t fallback)
{
    const auto query = target.find('?');
    const auto at = query == std::string::npos ? query : target.find(name + "=", query);
    if (at != std::string::npos) {
        std::from_chars(target.data() + at + name.size() + 1, target.data() + target.size(), fallback);
    }
    return fallback;
}

} // namespace daisystream
