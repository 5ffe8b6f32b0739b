#pragma once

#include "daemon/settings.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

/// @file
/// Serves callers over HTTP/1.1.
///
/// Example:
/// @code
///   HttpFrontend frontend(io, settings);
///   frontend.start();
///   io.run();
/// @endcode

namespace daisystream
{

/// Accepts callers' connections and relays answers from endpoints. Thread-safe.
class HttpFrontend
{
public:
    HttpFrontend(boost::asio::io_context &io, const Settings &settings);
    ~HttpFrontend();

    /// Starts to listen.
    /// @return nothing, or `MalformedRequest` with the reason why the address cannot be bound.
    [[nodiscard]] std::optional<Error> start();

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream
