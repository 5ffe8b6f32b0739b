#pragma once

#include "daemon/control/settings.h"
#include "daemon/endpoints/ssereader.h"
#include "daemon/frontend/frontendoptions.h"
#include "daisystream/answer/sequencer.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>
#include <vector>

/// @file
/// Talks to engines: starts a generation, follows it, resumes it at an offset, cancels it.
///
/// Example:
/// @code
///   EndpointStream stream(executor, endpoint, options);
///   if (const auto error = stream.start(call, yield)) { ... }
///   for (;;) {
///       const auto batch = stream.read(yield);
///       ...
///   }
/// @endcode

namespace daisystream
{

/// A request for a new generation.
struct EngineCall
{
    RequestId attempt; ///< `X-Request-Id`; differs between two attempts of one request.
    unsigned priority = 0;
    std::string reader; ///< `X-Reader`: names who follows the generation.
    std::string body;   ///< JSON.
};

/// One event of an engine.
struct EngineEvent
{
    StreamEvent event;
    /// Set on the last event. If its text is empty, it is no token, and its sequence is the number of tokens.
    std::optional<std::string> finishReason;
};

/// @return the event that the engine's id and data mean, or `EndpointProtocol`.
[[nodiscard]] Result<EngineEvent> parseEngineEvent(const SseEvent &event);

/// One connection on which an engine streams one generation. Use it from one strand only.
class EndpointStream
{
public:
    EndpointStream(const boost::asio::any_io_executor &executor, EndpointSettings endpoint, const FrontendOptions &options);

    /// Starts a new generation.
    /// @return nothing once the engine has accepted it; `EndpointUnreachable`, `EndpointSilent`, `EndpointRefused` or
    ///     `EndpointProtocol`.
    [[nodiscard]] std::optional<Error> start(const EngineCall &call, boost::asio::yield_context yield);

    /// Follows a generation from an offset.
    /// @param reader as in `EngineCall`; empty: the engine does not count this stream as a reader.
    /// @return as `start`; `GenerationLost` if the engine does not know the generation.
    [[nodiscard]] std::optional<Error>
    resume(const GenerationId &generation, std::uint64_t offset, const std::string &reader, boost::asio::yield_context yield);

    /// Waits for bytes of the engine.
    /// @return the events that are complete now, possibly none; `EndpointUnreachable` at the end of the stream,
    ///     `EndpointSilent` after the silence timeout, `EndpointProtocol` for a malformed event. Events before a malformed
    ///     one are returned first.
    [[nodiscard]] Result<std::vector<EngineEvent>> read(boost::asio::yield_context yield);

    /// Ends the connection; a pending call returns `EndpointUnreachable`.
    void abort();

    /// @return true if a byte of the request may have reached the engine.
    [[nodiscard]] bool bytesSent() const
    {
        return bytesSent_;
    }

    /// @return true if the engine's refusal proves that it did not run the request.
    [[nodiscard]] bool provenNotRun() const
    {
        return provenNotRun_;
    }

    /// @return the generation that the engine named in its response header; may be empty.
    [[nodiscard]] const GenerationId &generation() const
    {
        return generation_;
    }

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    [[nodiscard]] std::optional<Error> open(Request request, boost::asio::yield_context yield);
    [[nodiscard]] std::optional<Error> refusal(boost::asio::yield_context yield);
    [[nodiscard]] Error failure(const boost::system::error_code &error, const char *during) const;

    EndpointSettings endpoint_;
    FrontendOptions options_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
    SseReader reader_;
    std::optional<Error> pendingError_;
    GenerationId generation_;
    bool bytesSent_ = false;
    bool provenNotRun_ = false;
    bool aborted_ = false;
};

/// What an engine answered to a cancel.
enum class CancelOutcome : std::uint8_t {
    Cancelled, ///< The generation has stopped, or the engine does not know it.
    TakenOver, ///< Another reader follows the generation; it goes on.
    Unknown,   ///< No answer.
};

/// Cancels a generation.
/// @param name the generation or, before its name is known, the `X-Request-Id` of its attempt.
/// @param onlyReader if not empty, the engine cancels only if this reader was the last one to follow the generation.
[[nodiscard]] CancelOutcome cancelGeneration(
    const EndpointSettings &endpoint, const std::string &name, const std::string &onlyReader, const FrontendOptions &options, boost::asio::yield_context yield);

} // namespace daisystream
