#pragma once

#include "daemon/control/settings.h"
#include "daisystream/base/result.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// @file
/// A small HTTP server for operators. It has its own address, because it shows the load of every team, which callers must not see.
///
/// Example:
/// @code
///   OperatorApi api(io, clock, {{"/metrics", {"text/plain; version=0.0.4", [&] { return metrics.text(); }}}});
///   api.start(*settings.listenOperators);
/// @endcode

namespace daisystream
{

/// A page whose content is generated for each request.
struct OperatorPage
{
    std::string contentType;
    std::function<std::string()> content; ///< Called on any thread. If the text is empty, the response has status 503.
};

/// Serves a fixed set of pages to `GET` requests; other requests get status 404. Thread-safe.
class OperatorApi
{
public:
    /// @param io the event loop; must outlive the object.
    /// @param pages the pages by their paths.
    OperatorApi(boost::asio::io_context &io, const Clock &clock, std::map<std::string, OperatorPage> pages);
    ~OperatorApi();

    /// Starts listening.
    /// @return nothing, or the error if the address cannot be used.
    [[nodiscard]] std::optional<Error> start(const SocketAddress &listen);

    /// @return the port on which the server listens, which the system chooses if the port passed to `start` is 0.
    [[nodiscard]] std::uint16_t port() const;

    /// Stops listening asynchronously. Open connections are not closed.
    void stop();

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream
