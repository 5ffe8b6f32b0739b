#pragma once

#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

/// @file
/// Reads one HTTP response from a connection. All clients of this program read their responses with it, so that all of them agree on
/// where a response ends.
///
/// Example:
/// @code
///   ResponseReader reader(http::verb::get, {.bodyBytes = 65536});
///   if (const auto error = reader.readAll(stream, yield)) { ... }
///   const bool mayReuse = reader.response().keep_alive() && !reader.hasExtraBytes();
/// @endcode

namespace daisystream
{

/// Limit of a body that is read in parts and not kept, such as a stream of events: more than a fast link transfers in the longest
/// time that a caller waits.
constexpr std::uint64_t kMaxBodyBytes = 1ULL << 30U;

/// Sizes of a response, in bytes. A larger one is read with an error.
struct ResponseLimits
{
    std::uint32_t headerBytes = 65'536;
    std::size_t unparsedBytes = 131'072; ///< Received bytes that are not parsed yet, such as a header or the extension of a chunk.
    std::uint64_t bodyBytes = kMaxBodyBytes;

    friend auto operator<=>(const ResponseLimits &, const ResponseLimits &) = default;
};

/// Must be used from one strand only, for a single response. Interim responses (1xx) are skipped, and trailers are dropped: nothing that
/// follows a body can change what the header says. A header with a line that begins with a blank (obsolete line folding) is an error, and
/// so is one that states a longer body than the limit. The memory in use follows the bytes that were received, whatever length is stated.
class ResponseReader
{
public:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// @param method of the request. The response to HEAD has no body.
    explicit ResponseReader(boost::beast::http::verb method, const ResponseLimits &limits = {});

    /// Reads the header of the final response.
    /// @return an error of the connection or of Beast's HTTP category; the latter if the bytes are no response, or the end of its body
    ///     is not clear.
    [[nodiscard]] boost::system::error_code readHeader(boost::beast::tcp_stream &stream, boost::asio::yield_context yield);

    /// Reads a part of the body after the header was read. The bytes are in `response` until `takeBody` is called.
    /// @return as for `readHeader`.
    [[nodiscard]] boost::system::error_code readSome(boost::beast::tcp_stream &stream, boost::asio::yield_context yield);

    /// Reads the header and the whole body.
    /// @return as for `readHeader`.
    [[nodiscard]] boost::system::error_code readAll(boost::beast::tcp_stream &stream, boost::asio::yield_context yield);

    /// @return the response as far as it was read.
    [[nodiscard]] const Response &response() const;

    /// @return the complete response. The reader must not be used afterwards.
    [[nodiscard]] Response release();

    /// Removes the bytes of the body that were read so far.
    [[nodiscard]] std::string takeBody();

    /// @return whether the header of the final response was read.
    [[nodiscard]] bool hasHeader() const;

    /// @return whether the response was read completely.
    [[nodiscard]] bool isDone() const;

    /// @return whether the body ends with the connection, so that a complete response cannot be told from one that was cut short. A client
    ///     that writes while it reads has to check the write as well: an error of the connection that the write got is not reported here.
    [[nodiscard]] bool endsWithConnection() const;

    /// @param error that a function of this reader returned.
    /// @return the error's text for the log; if the body is too long, with its limit and the stated length.
    [[nodiscard]] std::string describe(const boost::system::error_code &error) const;

    /// @return the length of the body that the header states; nothing if it states none. Must not be called before the header was read.
    [[nodiscard]] std::optional<std::uint64_t> statedLength() const;

    /// @return whether bytes were received that do not belong to the response. The connection must not be used again then.
    [[nodiscard]] bool hasExtraBytes() const;

private:
    /// Beast's parser reserves memory for the stated length of a body before a byte of it has arrived; this one does not.
    class Parser : public boost::beast::http::response_parser<boost::beast::http::string_body>
    {
        void on_body_init_impl(const boost::optional<std::uint64_t> &statedLength, boost::system::error_code &error) override;
    };

    void startMessage();

    /// Reads until the buffer holds a whole header.
    /// @return as for `readHeader`, or `bad_obs_fold` if a line of the header begins with a blank.
    [[nodiscard]] boost::system::error_code fillHeader(boost::beast::tcp_stream &stream, boost::asio::yield_context yield);

    const bool isHead_;
    const ResponseLimits limits_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::optional<boost::beast::http::response_header<>> header_; ///< Header of a chunked response, without the trailers that the parser adds.
    bool hasHeader_ = false;
};

/// @param error of reading a response.
/// @return whether bytes were received that are no response, as opposed to a connection that failed, ended or was silent.
[[nodiscard]] bool isMalformed(const boost::system::error_code &error);

/// @return whether a connection without a request in progress can take the next one: the peer has neither closed it nor sent bytes, which
///     would be taken for the beginning of the next response.
[[nodiscard]] bool isReusable(boost::beast::tcp_stream &stream);

} // namespace daisystream
