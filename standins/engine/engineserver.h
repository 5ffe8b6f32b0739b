#pragma once

#include "standins/enginemodel/enginemodel.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// @file
/// Stand-in for a model engine: the HTTP interface of docs/design.md section 3 over an `EngineModel` in real time.
///
/// - `POST /v1/completions` streams a generation; the field "standin_tokens" of the body sets its length.
/// - `GET /v1/generations/ID?offset=N` follows it from an offset; `X-Reader` names who follows it.
/// - `DELETE /v1/generations/ID` cancels it; ID may also be the `X-Request-Id`. With `X-Reader` only if that reader was
///   the last one to follow it, else 409.
/// - `GET /v1/load`, `GET /v1/cache-events?after=SEQ`, `GET` and `POST /v1/orders`, `GET` and `POST /faults`.
///
/// Example:
/// @code
///   EngineServer engine(io, {.name = "e1", .model = {}, .port = 0});
///   engine.setFaults({.duplicateEvery = 3});
/// @endcode

namespace daisystream
{

/// Fault switches. "Every" counts events over all streams of the engine; 0 is off.
struct EngineFaults
{
    double slowFactor = 1;            ///< Each step takes this many times as long.
    bool frozen = false;              ///< No progress, no keep-alive.
    bool reportFrozen = false;        ///< Load reports stay as they are.
    bool silentStreams = false;       ///< Switching it on silences the streams that are open now; new ones work.
    bool refuse = false;              ///< New work gets 503 with the statement that it was not run.
    bool failStart = false;           ///< New work gets 503 without that statement.
    bool foreignRefusal = false;      ///< New work gets a refusal that belongs to another request.
    bool hangStart = false;           ///< New work gets no answer, not even a header.
    double requestsPerSecond = 0;     ///< States this limit for new work of all callers together, without enforcing it.
    std::uint32_t malformedEvery = 0; ///< The event is cut to a half.
    std::uint32_t duplicateEvery = 0; ///< The event is sent twice.
    std::uint32_t reorderEvery = 0;   ///< The event is sent after its successor.
    std::uint32_t foreignEvery = 0;   ///< An event of another generation is sent before it.
    std::uint32_t cutEvery = 0;       ///< The connection is closed after the event.
    std::uint32_t cacheEventLoss = 0; ///< Every so many cache events one is lost.
};

/// Settings of one engine.
struct EngineServerOptions
{
    std::string name = "engine"; ///< Prefix of generation names.
    EngineOptions model{};
    std::uint16_t port = 0;           ///< 0: any free port.
    std::uint32_t defaultTokens = 20; ///< Length of an answer without "standin_tokens".
    bool fencing = true;              ///< Orders with an outdated fencing number are refused.
    Duration reportLag{};             ///< Age of load and cache reports.
    std::string crashText{};          ///< The engine dies when it begins an answer on a prompt with this text; empty: never.
};

/// The engine. Thread-safe.
class EngineServer
{
public:
    EngineServer(boost::asio::io_context &io, const EngineServerOptions &options);
    ~EngineServer();

    EngineServer(const EngineServer &) = delete;
    EngineServer &operator=(const EngineServer &) = delete;

    [[nodiscard]] std::uint16_t port() const;
    void setFaults(const EngineFaults &faults);

    /// Loses all generations, closes all connections and refuses new ones.
    void die();

    /// Starts again after `die`.
    void restart();

    /// @return how many generations were started.
    [[nodiscard]] std::size_t started() const;

    /// @return how many generations were cancelled.
    [[nodiscard]] std::size_t cancelled() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
