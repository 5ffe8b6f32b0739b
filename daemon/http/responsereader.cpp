#include "daemon/http/responsereader.h"

#include "daemon/http/messageframing.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace daisystream
{

namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

// An endpoint that sends interim responses without end must not keep the connection busy until the time limit.
constexpr unsigned kMaxInterimResponses = 8;

} // namespace

ResponseReader::ResponseReader(http::verb method, const ResponseLimits &limits)
    : isHead_(method == http::verb::head)
    , limits_(limits)
    , buffer_(limits.unparsedBytes)
{
    startMessage();
}

void ResponseReader::startMessage()
{
    parser_.emplace();
    parser_->skip(isHead_);
    parser_->eager(true);
    parser_->header_limit(limits_.headerBytes);
    if (limits_.bodyBytes) {
        parser_->body_limit(*limits_.bodyBytes);
    } else {
        parser_->body_limit(boost::none);
    }
}

error_code ResponseReader::readHeader(boost::beast::tcp_stream &stream, boost::asio::yield_context yield)
{
    error_code error;
    for (unsigned interim = 0; interim <= kMaxInterimResponses; ++interim) {
        http::async_read_header(stream, buffer_, *parser_, yield[error]);
        if (!error) {
            error = checkFraming(parser_->get());
        }
        if (error) {
            return error;
        }
        if (!isInterim(parser_->get().result_int())) {
            hasHeader_ = true;
            if (parser_->chunked()) {
                header_ = parser_->get().base();
            }
            return {};
        }
        startMessage();
    }
    return http::error::bad_status;
}

error_code ResponseReader::readSome(boost::beast::tcp_stream &stream, boost::asio::yield_context yield)
{
    error_code error;
    http::async_read_some(stream, buffer_, *parser_, yield[error]);
    if (parser_->is_done() && header_) {
        parser_->get().base() = *header_;
    }
    return error;
}

error_code ResponseReader::readAll(boost::beast::tcp_stream &stream, boost::asio::yield_context yield)
{
    auto error = readHeader(stream, yield);
    while (!error && !isDone()) {
        error = readSome(stream, yield);
    }
    return error;
}

const ResponseReader::Response &ResponseReader::response() const
{
    return parser_->get();
}

ResponseReader::Response ResponseReader::release()
{
    return parser_->release();
}

std::string ResponseReader::takeBody()
{
    return std::exchange(parser_->get().body(), {});
}

bool ResponseReader::hasHeader() const
{
    return hasHeader_;
}

bool ResponseReader::isDone() const
{
    return hasHeader() && parser_->is_done();
}

bool ResponseReader::endsWithConnection() const
{
    return parser_->need_eof();
}

bool ResponseReader::hasExtraBytes() const
{
    return buffer_.size() > 0;
}

bool isReusable(boost::beast::tcp_stream &stream)
{
    char byte = 0;
    const auto count = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace daisystream
