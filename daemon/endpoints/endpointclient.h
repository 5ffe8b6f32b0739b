#pragma once

#include "daemon/control/settings.h"
#include "daemon/endpoints/ssereader.h"
#include "daemon/frontend/frontendoptions.h"
#include "daemon/http/responsereader.h"
#include "daisystream/answer/sequencer.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>
#include <vector>

/// @file
/// Client of the engines' HTTP interface: starts a generation, reads its events, resumes reading at an offset, and cancels it.
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

/// A request to an engine for a new generation.
struct EngineCall
{
    RequestId attempt;     ///< `X-Request-Id`; differs between two attempts of one request.
    unsigned priority = 0; ///< `X-Priority`.
    std::string reader;    ///< `X-Reader`: identifies the reader of the generation's events.
    std::string body;      ///< JSON document of the completion request.
};

/// One event of an engine's stream.
struct EngineEvent
{
    StreamEvent event;
    /// Set only on the last event. If the text of that event is empty, it is not a token, and its sequence is the number of tokens.
    std::optional<std::string> finishReason;
};

/// Parses the id and data of an engine's event.
/// @return the event, or `EndpointProtocol` if it is malformed.
[[nodiscard]] Result<EngineEvent> parseEngineEvent(const SseEvent &event);

/// A connection on which an engine streams one generation. It must be used from one strand only.
class EndpointStream
{
public:
    EndpointStream(const boost::asio::any_io_executor &executor, EndpointSettings endpoint, const FrontendOptions &options);

    /// Starts a new generation.
    /// @return nothing if the engine has accepted it; else `EndpointUnreachable` if the connection fails, `EndpointSilent` after the
    ///     silence timeout, `EndpointRefused` for a status other than 200, or `EndpointProtocol` if the response is for another request.
    [[nodiscard]] std::optional<Error> start(const EngineCall &call, boost::asio::yield_context yield);

    /// Reads an existing generation from an offset.
    /// @param offset sequence number of the first event to be sent.
    /// @param reader as in `EngineCall`. If it is empty, the engine does not register this stream as a reader.
    /// @return as for `start`; in addition, `GenerationLost` if the engine does not know the generation.
    [[nodiscard]] std::optional<Error>
    resume(const GenerationId &generation, std::uint64_t offset, const std::string &reader, boost::asio::yield_context yield);

    /// Waits for bytes from the engine.
    /// @return the events that are complete, possibly none; `EndpointUnreachable` at the end of the stream, `EndpointSilent` after the
    ///     silence timeout, or `EndpointProtocol` for a malformed event. Events before an error are returned first, and the error is
    ///     returned by the next call.
    [[nodiscard]] Result<std::vector<EngineEvent>> read(boost::asio::yield_context yield);

    /// Closes the connection. A pending call returns `EndpointUnreachable`.
    void abort();

    /// @return true if a byte of the request may have reached the engine.
    [[nodiscard]] bool bytesSent() const
    {
        return bytesSent_;
    }

    /// @return true if the engine refused the request and stated in its response that it did not run it.
    [[nodiscard]] bool provenNotRun() const
    {
        return provenNotRun_;
    }

    /// @return true if the engine's response header was received, so that `requestsPerSecond` is what the engine states now.
    [[nodiscard]] bool hasResponse() const
    {
        return response_.hasHeader();
    }

    /// @return the limit in the `X-Requests-Per-Second` header of the response, for the requests of all VMs together; nothing if
    ///     there is none.
    [[nodiscard]] std::optional<double> requestsPerSecond() const;

    /// @return the id in the `X-Generation-Id` header of the response; empty if there is none.
    [[nodiscard]] const GenerationId &generation() const
    {
        return generation_;
    }

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    [[nodiscard]] std::optional<Error> open(Request request, boost::asio::yield_context yield);
    [[nodiscard]] std::optional<Error> refusal(boost::asio::yield_context yield);
    [[nodiscard]] Error failure(const boost::system::error_code &error, const char *problem) const;

    EndpointSettings endpoint_;
    FrontendOptions options_;
    boost::beast::tcp_stream stream_;
    ResponseReader response_;
    SseReader reader_;
    std::optional<Error> pendingError_;
    GenerationId generation_;
    bool bytesSent_ = false;
    bool statesNotRun_ = false; ///< The refusal states that the request to which it belongs was not run.
    bool provenNotRun_ = false;
    bool aborted_ = false;
};

/// Result of a request to cancel a generation.
enum class CancelOutcome : std::uint8_t {
    Cancelled, ///< The generation has stopped, or the engine does not know it.
    TakenOver, ///< The generation continues, because another reader has connected to it.
    Unknown,   ///< The engine sent no response.
};

/// Cancels a generation.
/// @param name id of the generation or, before that is known, the `X-Request-Id` of its attempt.
/// @param onlyReader if not empty, the engine cancels the generation only if this was the last reader to connect to it.
/// @return whether the generation was cancelled.
[[nodiscard]] CancelOutcome cancelGeneration(
    const EndpointSettings &endpoint, const std::string &name, const std::string &onlyReader, const FrontendOptions &options, boost::asio::yield_context yield);

} // namespace daisystream
