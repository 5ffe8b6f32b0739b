#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

/// @file
/// A TCP relay between two processes whose link a test disturbs. Stand-in for the network; never installed.
///
/// Example:
/// @code
///   Relay relay(enginePort);
///   connectTo(relay.port());
///   relay.setMode(Relay::Mode::ForgetOpen); // Open connections go silent, new ones work.
/// @endcode

namespace daisystream::standins
{

/// Forwards connections from a port of its own on 127.0.0.1 to a target port. Thread-safe; runs its own thread.
class Relay
{
public:
    enum class Mode : std::uint8_t {
        Pass,         ///< Forwards everything.
        Stall,        ///< Holds all bytes back, those of new connections too; `Pass` delivers them.
        ForgetOpen,   ///< Drops all bytes of the connections open now without closing them; new ones are forwarded.
        Refuse,       ///< Closes all connections and every new one at once.
        DropRequests, ///< Drops all bytes towards the target. A connection that lost some stays silent for good.
        DropReplies,  ///< Drops all bytes from the target, likewise.
        Slow,         ///< Forwards each part some time after it came.
    };

    /// Listens on a free port.
    /// @param targetPort port on 127.0.0.1 that connections are forwarded to.
    explicit Relay(std::uint16_t targetPort);
    ~Relay();

    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;
    Relay(Relay &&) = delete;
    Relay &operator=(Relay &&) = delete;

    /// @return the port to connect to.
    [[nodiscard]] std::uint16_t port() const;

    void setMode(Mode mode);

    /// Delay of each part in the mode `Slow`.
    static constexpr std::chrono::milliseconds kSlowDelay{60};

    /// Resets all open connections; new ones are treated by the mode in force.
    void cutOpen();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream::standins
