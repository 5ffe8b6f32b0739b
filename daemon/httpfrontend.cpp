#include "daemon/httpfrontend.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <glog/logging.h>

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

constexpr std::size_t kRelayBufferBytes = 16384;

tcp::endpoint toTcp(const SocketAddress &address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

} // namespace

class HttpFrontend::Private : public std::enable_shared_from_this<HttpFrontend::Private>
{
public:
    Private(asio::io_context &io, const Settings &settings)
        : io_(io)
        , settings_(settings)
        , acceptor_(io)
    {
    }

    void accept(asio::yield_context yield)
    {
        for (;;) {
            error_code error;
            tcp::socket socket(asio::make_strand(io_));
            acceptor_.async_accept(socket, yield[error]);
            if (error) {
                return;
            }
            auto executor = socket.get_executor();
            asio::spawn(
                executor,
                [self = shared_from_this(), stream = std::make_shared<beast::tcp_stream>(std::move(socket))](asio::yield_context inner) {
                    self->serve(*stream, inner);
                },
                asio::detached);
        }
    }

    void serve(beast::tcp_stream &caller, asio::yield_context yield)
    {
        error_code error;
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::async_read(caller, buffer, request, yield[error]);
        if (error) {
            return;
        }
        if (request.method() == http::verb::post && request.target() == "/v1/completions") {
            relay(caller, request, yield);
        } else {
            respond(caller, http::status::not_found, yield);
        }
        caller.socket().shutdown(tcp::socket::shutdown_send, error);
    }

    void relay(beast::tcp_stream &caller, http::request<http::string_body> &request, asio::yield_context yield)
    {
        error_code error;
        const auto &choice = settings_.endpoints[next_++ % settings_.endpoints.size()];
        LOG(INFO) << "decision=assign choice=" << choice.id << " reason=round_robin";
        beast::tcp_stream engine(caller.get_executor());
        engine.async_connect(toTcp(choice.address), yield[error]);
        if (error) {
            respond(caller, http::status::service_unavailable, yield);
            return;
        }
        http::async_write(engine, request, yield[error]);
        std::array<char, kRelayBufferBytes> bytes{};
        while (!error) {
            const std::size_t count = engine.async_read_some(asio::buffer(bytes), yield[error]);
            if (count > 0) {
                asio::async_write(caller, asio::buffer(bytes.data(), count), yield[error]);
            }
        }
    }

    static void respond(beast::tcp_stream &caller, http::status status, asio::yield_context yield)
    {
        error_code error;
        http::response<http::string_body> response(status, 11);
        response.prepare_payload();
        http::async_write(caller, response, yield[error]);
    }

    asio::io_context &io_;
    const Settings settings_;
    tcp::acceptor acceptor_;
    std::atomic<std::size_t> next_{0};
};

HttpFrontend::HttpFrontend(asio::io_context &io, const Settings &settings)
    : d_(std::make_shared<Private>(io, settings))
{
}

HttpFrontend::~HttpFrontend() = default;

std::optional<Error> HttpFrontend::start()
{
    error_code error;
    const auto address = toTcp(d_->settings_.listen);
    d_->acceptor_.open(address.protocol(), error);
    d_->acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    d_->acceptor_.bind(address, error);
    if (!error) {
        d_->acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error{ResultCode::MalformedRequest, "cannot listen on " + d_->settings_.listen.ip + ": " + error.message(), {}};
    }
    asio::spawn(
        d_->io_, [self = d_](asio::yield_context yield) { self->accept(yield); }, asio::detached);
    return std::nullopt;
}

} // namespace daisystream
