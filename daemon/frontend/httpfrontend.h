#pragma once

#include "daemon/cells/dispatcher.h"
#include "daemon/control/settings.h"
#include "daemon/frontend/frontendoptions.h"
#include "daemon/peers/peerlink.h"
#include "daemon/status/metrics.h"
#include "daemon/store/listtable.h"
#include "daemon/store/orderrecords.h"
#include "daisystream/base/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>

#include <cstdint>
#include <memory>
#include <optional>

/// @file
/// Serves callers over HTTP/1.1.
///
/// Example:
/// @code
///   HttpFrontend frontend(io, settings.listen, {}, {lists, dispatcher, peers, records, metrics, clock});
///   if (const auto error = frontend.start()) { ... }
///   io.run();
/// @endcode

namespace daisystream
{

class CellDispatcher;
class GatewayContext;
class GatewayDialect;
class PermitClient;
class PromptGuard;

/// What the front end needs beside its other parts where callers are forwarded by routes.
struct GatewayParts
{
    CellDispatcher &dispatcher;
    const GatewayDialect &dialect;
    GatewaySettings settings;
    ZoneId zone; ///< Of this VM.
};

/// The parts of the daemon that the front end needs. All of them must outlive the event loop.
struct FrontendParts
{
    ListTable &lists;                      ///< Plans, limits and sealing keys.
    Dispatcher &dispatcher;                ///< Chooses endpoints. The front end sets its cancel handler.
    OrderForwarding &peers;                ///< Forwards orders with a ticket to its issuer. The front end sets its order handler.
    OrderRecords &records;                 ///< Records of orders with a caller's own key.
    PermitClient &permits;                 ///< Keeps requests within the limits that endpoints state.
    PromptGuard &promptGuard;              ///< Keeps prompts that crash engines from them.
    Metrics &metrics;                      ///< Shown at `/metrics`.
    const Clock &clock;                    ///< Time of deadlines.
    std::uint64_t seed = 1;                ///< Of request ids and jitter; must differ between two runs.
    std::optional<GatewayParts> gateway{}; ///< Set: callers are forwarded by routes instead of using the own API.
};

/// Accepts callers' connections, relays answers from engines and routes orders to plain services. Thread-safe.
class HttpFrontend
{
public:
    HttpFrontend(boost::asio::io_context &io, const SocketAddress &listen, const FrontendOptions &options, const FrontendParts &parts);
    ~HttpFrontend();

    HttpFrontend(const HttpFrontend &) = delete;
    HttpFrontend &operator=(const HttpFrontend &) = delete;

    /// Starts to listen.
    /// @return nothing, or `MalformedRequest` with the reason why the address cannot be bound.
    [[nodiscard]] std::optional<Error> start();

    /// Serves connections that are accepted from now on over TLS; running connections keep their certificate. Call it again
    /// to put a renewed certificate in force.
    /// @param tls null for plain TCP.
    void setTls(std::shared_ptr<boost::asio::ssl::context> tls);

    /// @return the port that callers connect to; differs from the setting if that was 0.
    [[nodiscard]] std::uint16_t port() const;

    /// @return requests in progress, including answers whose caller may still resume. A graceful shutdown ends when the
    ///     lists refuse new work as `Stopping` and this is 0.
    [[nodiscard]] std::size_t running() const;

    /// Stops to accept connections, and to admit requests that come over open ones. Requests that were admitted before go
    /// on; wait for `running` once more.
    void close();

    /// @return the gateway, null if callers use the own API.
    [[nodiscard]] GatewayContext *gateway();

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream
