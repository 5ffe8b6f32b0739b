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
/// A small HTTP server for operators, apart from the callers' address because it shows the load of every team.
///
/// Example:
/// @code
///   OperatorApi api(io, {{"/metrics", {"text/plain; version=0.0.4", [&] { return metrics.text(); }}}});
///   api.start(*settings.listenOperators);
/// @endcode

namespace daisystream
{

/// A page that is made at each request.
struct OperatorPage
{
    std::string contentType;
    std::function<std::string()> content; ///< An empty text is answered with status 503.
};

/// Serves `GET` of a few pages. Thread-safe.
class OperatorApi
{
public:
    /// @param pages by path.
    OperatorApi(boost::asio::io_context &io, std::map<std::string, OperatorPage> pages);
    ~OperatorApi();

    /// Listens.
    /// @return nothing, or why the address cannot be used.
    [[nodiscard]] std::optional<Error> start(const SocketAddress &listen);

    /// @return the port in use.
    [[nodiscard]] std::uint16_t port() const;

    /// Stops listening.
    void stop();

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream
