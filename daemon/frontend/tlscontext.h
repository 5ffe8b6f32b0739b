#pragma once

#include "daemon/control/settings.h"
#include "daisystream/base/result.h"

#include <boost/asio/ssl/context.hpp>

#include <memory>

/// @file
/// TLS contexts whose certificates are reloaded when their files change.
///
/// Example:
/// @code
///   TlsContexts contexts(*settings.peerTls);
///   if (const auto error = contexts.load()) { ... }
///   boost::asio::ssl::stream<tcp::socket> stream(std::move(socket), *contexts.current());
/// @endcode

namespace daisystream
{

/// The context for new connections. Connections that are open keep theirs. Thread-safe.
class TlsContexts
{
public:
    explicit TlsContexts(TlsSettings settings);
    ~TlsContexts();

    /// Reads the files.
    /// @return nothing, or `InvalidDocument` with the file at fault.
    [[nodiscard]] std::optional<Error> load();

    /// Reads the files again if one of them changed; if they are not valid, the former context stays in use.
    /// @return the context, or null if `load` never succeeded.
    [[nodiscard]] std::shared_ptr<boost::asio::ssl::context> current();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
