#pragma once

#include <cstdint>
#include <memory>

/// @file
/// Ports on 127.0.0.1 for the processes that a test starts.
///
/// A port that is merely free when it is chosen may be taken before the started process listens on it: by another test, or
/// as the local end of any outgoing connection. Ports of a block are below those of outgoing connections, and no other
/// block holds them.
///
/// Example:
/// @code
///   PortBlock ports;
///   startServer(ports.next());
/// @endcode

namespace daisystream::scenarios
{

/// Holds a range of ports for as long as it exists, also against other processes that use blocks. Thread-compatible.
class PortBlock
{
public:
    /// @throws std::runtime_error if all blocks are in use.
    PortBlock();
    ~PortBlock();

    PortBlock(const PortBlock &) = delete;
    PortBlock &operator=(const PortBlock &) = delete;
    PortBlock(PortBlock &&) = delete;
    PortBlock &operator=(PortBlock &&) = delete;

    /// @return a port of the block that was not handed out before and that nobody listens on.
    /// @throws std::runtime_error if none is left.
    [[nodiscard]] std::uint16_t next();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream::scenarios
