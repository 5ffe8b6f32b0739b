#pragma once

#include "crowd/clientload.h"

#include <boost/asio/io_context.hpp>

#include <memory>

/// @file
/// The connections of a client load.
///
/// Example:
/// @code
///   Crowd crowd(io, load, port);
///   while (!crowd.hasSentAll()) { io.run_for(std::chrono::milliseconds(20)); }
/// @endcode

namespace daisystream::crowd
{

/// Connects all clients of a load to a port of 127.0.0.1 and keeps their connections open. Thread-compatible.
class Crowd
{
public:
    /// @param io runs the clients; must outlive the object.
    Crowd(boost::asio::io_context &io, const ClientLoad &load, std::uint16_t port);
    ~Crowd();

    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;
    Crowd(Crowd &&) = delete;
    Crowd &operator=(Crowd &&) = delete;

    /// @return whether each client has sent everything or was closed.
    [[nodiscard]] bool hasSentAll() const;

    /// @return the number of bytes that the clients have sent.
    [[nodiscard]] std::uint64_t sentBytes() const;

    /// @return the number of clients whose connection the other side has closed.
    [[nodiscard]] unsigned closed() const;

    /// Closes all connections.
    void close();

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream::crowd
