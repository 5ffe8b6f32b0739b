#include "daemon/http/messageframing.h"

#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>

#include <algorithm>
#include <string_view>
#include <vector>

namespace daisystream
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr unsigned kHttp11 = 11;
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;

/// What the `Transfer-Encoding` headers of a message say.
enum class TransferCoding : std::uint8_t {
    None,        ///< There is no such header.
    Chunked,     ///< Chunked is the only coding.
    Unsupported, ///< Chunked is the last one of several codings, so that the end of the body is known but not its content.
    Ambiguous,   ///< Chunked is not the last coding, or occurs more than once.
};

TransferCoding transferCodingOf(const http::fields &header)
{
    std::vector<std::string> codings;
    const auto [begin, end] = header.equal_range(http::field::transfer_encoding);
    for (auto field = begin; field != end; ++field) {
        std::vector<std::string> listed;
        boost::algorithm::split(listed, std::string(field->value()), [](char c) { return c == ','; });
        for (auto &coding : listed) {
            boost::algorithm::trim(coding);
            codings.push_back(std::move(coding));
        }
    }
    if (codings.empty()) {
        return TransferCoding::None;
    }
    const auto isChunked = [](const std::string &coding) {
        return beast::iequals(coding, "chunked");
    };
    // An empty element or one with parameters is no known coding either.
    if (!isChunked(codings.back()) || std::count_if(codings.begin(), codings.end(), isChunked) != 1) {
        return TransferCoding::Ambiguous;
    }
    return codings.size() == 1 ? TransferCoding::Chunked : TransferCoding::Unsupported;
}

bool isToken(std::string_view text)
{
    constexpr std::string_view kTokenCharacters = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    return !text.empty() && text.find_first_not_of(kTokenCharacters) == std::string_view::npos;
}

bool hasControlByte(std::string_view text)
{
    constexpr unsigned char kDelete = 0x7F;
    return std::any_of(text.begin(), text.end(), [](unsigned char c) { return (c < ' ' && c != '\t') || c == kDelete; });
}

bool hasNonZeroLength(const http::fields &header)
{
    const auto length = header[http::field::content_length];
    return length.find_first_not_of("0") != beast::string_view::npos;
}

} // namespace

std::optional<FramingFault> checkFraming(const RequestHeader &header)
{
    const auto coding = transferCodingOf(header);
    if (coding == TransferCoding::Ambiguous) {
        return FramingFault{.status = http::status::bad_request, .detail = "chunked is not the last transfer coding"};
    }
    if (coding != TransferCoding::None && header.version() < kHttp11) {
        return FramingFault{.status = http::status::bad_request, .detail = "HTTP/1.0 has no transfer codings"};
    }
    if (coding != TransferCoding::None && header.count(http::field::content_length) > 0) {
        return FramingFault{.status = http::status::bad_request, .detail = "the request has both a length and a transfer coding"};
    }
    if (coding == TransferCoding::Unsupported) {
        return FramingFault{.status = http::status::not_implemented, .detail = "chunked is the only supported transfer coding"};
    }
    if (header.count(http::field::host) > 1) {
        return FramingFault{.status = http::status::bad_request, .detail = "the request has more than one host"};
    }
    if (header.method() == http::verb::connect) {
        return FramingFault{.status = http::status::not_implemented, .detail = "CONNECT is not supported"};
    }
    if (header.method() == http::verb::trace && (coding != TransferCoding::None || hasNonZeroLength(header))) {
        return FramingFault{.status = http::status::bad_request, .detail = "a TRACE request has no body"};
    }
    return std::nullopt;
}

boost::system::error_code checkFraming(const ResponseHeader &header)
{
    if (header.result_int() < kMinStatus || header.result_int() > kMaxStatus || header.result() == http::status::switching_protocols) {
        return http::error::bad_status;
    }
    const auto coding = transferCodingOf(header);
    const bool isHttp10 = header.version() < kHttp11;
    const bool hasLength = header.count(http::field::content_length) > 0;
    if ((coding != TransferCoding::None && coding != TransferCoding::Chunked) || (coding == TransferCoding::Chunked && (isHttp10 || hasLength))) {
        return http::error::bad_transfer_encoding;
    }
    return {};
}

bool isWellFormed(const ResponseHeader &header)
{
    if (header.result_int() < kMinFinalStatus || header.result_int() > kMaxStatus) {
        return false;
    }
    return std::all_of(header.begin(), header.end(), [](const auto &field) {
        const auto name = field.name_string();
        const auto value = field.value();
        return isToken({name.data(), name.size()}) && !hasControlByte({value.data(), value.size()});
    });
}

bool isInterim(unsigned status)
{
    return status >= kMinStatus && status < kMinFinalStatus;
}

bool hasNoBody(http::status status)
{
    return isInterim(static_cast<unsigned>(status)) || status == http::status::no_content || status == http::status::not_modified;
}

} // namespace daisystream
