#include "daemon/http/responsereader.h"

#include "daemon/http/messageframing.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <string_view>
#include <utility>

namespace daisystream
{

namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

// An endpoint that sends interim responses without end must not keep the connection busy until the time limit.
constexpr unsigned kMaxInterimResponses = 8;
constexpr std::size_t kMaxReadBytes = 65'536;
constexpr std::string_view kHeaderEnd = "\r\n\r\n";

std::string_view bytesOf(const boost::beast::flat_buffer &buffer)
{
    return {static_cast<const char *>(buffer.data().data()), buffer.size()};
}

/// @return whether a line of a header begins with a blank.
bool hasFoldedLine(std::string_view header)
{
    return header.find("\r\n ") != std::string_view::npos || header.find("\r\n\t") != std::string_view::npos;
}

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
    parser_->body_limit(limits_.bodyBytes);
}

void ResponseReader::Parser::on_body_init_impl(const boost::optional<std::uint64_t> & /*statedLength*/, error_code &error)
{
    error = {};
}

error_code ResponseReader::fillHeader(boost::beast::tcp_stream &stream, boost::asio::yield_context yield)
{
    const std::size_t limit = std::min<std::size_t>(limits_.headerBytes, limits_.unparsedBytes);
    std::size_t searched = 0;
    for (;;) {
        const auto received = bytesOf(buffer_);
        const auto end = received.find(kHeaderEnd, searched);
        if (end != std::string_view::npos) {
            // The parser would make such a line a part of the value before it, although its sender may have meant a field.
            return hasFoldedLine(received.substr(0, end)) ? error_code(http::error::bad_obs_fold) : error_code();
        }
        if (received.size() >= limit) {
            return http::error::header_limit;
        }
        searched = received.size() - std::min(received.size(), kHeaderEnd.size() - 1);
        error_code error;
        const auto size = stream.async_read_some(buffer_.prepare(boost::beast::read_size(buffer_, kMaxReadBytes)), yield[error]);
        buffer_.commit(size);
        if (error == boost::asio::error::eof) {
            return buffer_.size() == 0 ? http::error::end_of_stream : http::error::partial_message;
        }
        if (error) {
            return error;
        }
    }
}

error_code ResponseReader::readHeader(boost::beast::tcp_stream &stream, boost::asio::yield_context yield)
{
    for (unsigned interim = 0; interim <= kMaxInterimResponses; ++interim) {
        auto error = fillHeader(stream, yield);
        if (!error) {
            http::async_read_header(stream, buffer_, *parser_, yield[error]);
        }
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

std::string ResponseReader::describe(const error_code &error) const
{
    if (error != http::error::body_limit) {
        return error.message();
    }
    const auto limit = std::to_string(limits_.bodyBytes);
    const auto stated = parser_->get().find(http::field::content_length);
    return stated != parser_->get().end() ? "the stated length of " + std::string(stated->value()) + " bytes exceeds the limit of " + limit
                                          : "body longer than " + limit + " bytes";
}

std::optional<std::uint64_t> ResponseReader::statedLength() const
{
    const auto length = parser_->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

bool ResponseReader::hasExtraBytes() const
{
    return buffer_.size() > 0;
}

bool isMalformed(const error_code &error)
{
    return error.category() == http::make_error_code(http::error::bad_status).category() && error != http::error::end_of_stream
        && error != http::error::partial_message;
}

bool isReusable(boost::beast::tcp_stream &stream)
{
    char byte = 0;
    const auto count = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace daisystream
