#include "scenarios/httpcall.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>

namespace daisystream::scenarios
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;

} // namespace

class HttpCall::Private
{
public:
    explicit Private(const HttpRequest &request)
        : socket_(io_)
        , thread_([this, request] { run(request); })
    {
    }

    ~Private()
    {
        close();
    }

    void close()
    {
        std::lock_guard lock(mutex_);
        if (socket_.is_open()) {
            isClosed_ = true;
            boost::system::error_code ignored;
            socket_.shutdown(tcp::socket::shutdown_both, ignored); // Ends the blocking read of the other thread.
        }
    }

    asio::io_context io_;
    tcp::socket socket_;
    mutable std::mutex mutex_; // Guards the members below.
    mutable std::condition_variable changed_;
    int status_ = 0;
    std::string body_;
    std::map<std::string, std::string> headers_;
    std::string failure_;
    bool isClosed_ = false; ///< `close` was called.
    bool finished_ = false;

private:
    void run(const HttpRequest &request)
    {
        try {
            exchange(request);
        } catch (const std::exception &fault) {
            std::lock_guard lock(mutex_);
            failure_ = fault.what();
        }
        std::lock_guard lock(mutex_);
        finished_ = true;
        changed_.notify_all();
    }

    void exchange(const HttpRequest &request)
    {
        socket_.connect({asio::ip::make_address("127.0.0.1"), request.port});
        http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11);
        message.set(http::field::host, "127.0.0.1");
        for (const auto &[name, value] : request.headers) {
            message.set(name, value);
        }
        message.body() = request.body;
        message.prepare_payload();
        http::write(socket_, message);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        while (!parser.is_done()) {
            http::read_some(socket_, buffer, parser);
            if (parser.is_header_done()) {
                const auto status = parser.get().result_int();
                if (status < kMinFinalStatus || status > kMaxStatus) {
                    throw std::runtime_error("the response has status " + std::to_string(status));
                }
                publish(parser.get());
            }
        }
        std::lock_guard lock(mutex_);
        if (isClosed_ && parser.need_eof()) {
            throw std::runtime_error("the call was closed before the end of the response");
        }
    }

    void publish(const http::response<http::string_body> &response)
    {
        std::lock_guard lock(mutex_);
        status_ = static_cast<int>(response.result_int());
        body_ = response.body();
        for (const auto &field : response) {
            headers_[boost::algorithm::to_lower_copy(std::string(field.name_string()))] = std::string(field.value());
        }
    }

    std::jthread thread_; // Last member: joined before the rest is destroyed.
};

HttpCall::HttpCall(const HttpRequest &request)
    : d_(std::make_unique<Private>(request))
{
}

HttpCall::~HttpCall() = default;
HttpCall::HttpCall(HttpCall &&) noexcept = default;
HttpCall &HttpCall::operator=(HttpCall &&) noexcept = default;

int HttpCall::status() const
{
    std::lock_guard lock(d_->mutex_);
    return d_->status_;
}

std::string HttpCall::body() const
{
    std::lock_guard lock(d_->mutex_);
    return d_->body_;
}

std::map<std::string, std::string> HttpCall::headers() const
{
    std::lock_guard lock(d_->mutex_);
    return d_->headers_;
}

std::string HttpCall::failure() const
{
    std::lock_guard lock(d_->mutex_);
    return d_->failure_;
}

bool HttpCall::finished() const
{
    std::lock_guard lock(d_->mutex_);
    return d_->finished_;
}

bool HttpCall::waitFinished(std::chrono::milliseconds limit) const
{
    std::unique_lock lock(d_->mutex_);
    return d_->changed_.wait_for(lock, limit, [this] { return d_->finished_; });
}

void HttpCall::close()
{
    d_->close();
}

} // namespace daisystream::scenarios
