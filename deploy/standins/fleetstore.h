#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>

/// @file
/// Stand-in for the platform's store: rows with versions, transactions, a feed of changes.
///
/// Besides the calls of daemons it takes those of a test:
/// - `POST /standin/row` with {"table", "key", "text", "lapseMs"} writes a row as the operator or an endpoint does; it is
///   removed `lapseMs` after its last write. {"table", "key", "remove": true} removes it.
/// - `POST /standin/faults` replaces the faults.
///
/// Example:
/// @code
///   FleetStore store(io, 0);
///   callers.connect(store.port());
/// @endcode

namespace daisystream::standins
{

/// Faults of the store, all off by default.
struct FleetStoreFaults
{
    enum class Outage : std::uint8_t {
        None,
        Refusing, ///< Each call is answered as not done.
        Closing,  ///< Each call ends with its connection.
        Silent,   ///< No call is answered.
    };

    Outage outage = Outage::None;
    std::chrono::milliseconds slow{};      ///< Added before each reply.
    unsigned loseReplies = 0;              ///< So many calls are done, then their connection closes without a reply.
    bool forgetHistory = false;            ///< Changes so far can no longer be read from the feed.
    std::chrono::milliseconds clockStep{}; ///< Added to the clock that replies state.
};

/// The store. Thread-compatible; `io` must run on one thread.
class FleetStore
{
public:
    /// @param port at 127.0.0.1, 0 for any free one.
    FleetStore(boost::asio::io_context &io, std::uint16_t port);
    ~FleetStore();

    [[nodiscard]] std::uint16_t port() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream::standins
