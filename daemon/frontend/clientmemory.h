#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/forwarding/bytebudget.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

/// @file
/// The memory and the connections that clients make this process hold, with one limit for all of them.
///
/// Example:
/// @code
///   ClientMemory clients({.bytes = 24'000'000, .connections = 1'800}, clock);
///   if (const auto account = clients.open(kConnectionBytes, [weak] { abort(weak); })) {
///       account->setPhase(ClientPhase::Receiving);
///       if (!account->charge(kConnectionBytes + length)) { ... } // Refuse the request.
///   }
/// @endcode

namespace daisystream
{

/// What a connection waits for.
enum class ClientPhase : std::uint8_t {
    Idle,      ///< For the next request of the client.
    Receiving, ///< For the rest of a request, or of a TLS handshake.
    Serving,   ///< For this VM.
    Sending,   ///< For the client to read a response.
};

/// Limits of all connections together.
struct ClientMemoryOptions
{
    std::uint64_t bytes = 0;
    std::size_t connections = 0;

    friend auto operator<=>(const ClientMemoryOptions &, const ClientMemoryOptions &) = default;
};

class ClientMemory;

/// What one connection holds; its destructor returns it. Use it from the connection's strand. Must not outlive its `ClientMemory`.
class ClientAccount
{
public:
    ~ClientAccount();

    ClientAccount(const ClientAccount &) = delete;
    ClientAccount &operator=(const ClientAccount &) = delete;
    ClientAccount(ClientAccount &&) = delete;
    ClientAccount &operator=(ClientAccount &&) = delete;

    /// Sets what the connection holds beside its first charge. Call it before the memory is allocated.
    /// @return whether there is room for it; if not, nothing changes. A smaller charge always succeeds.
    [[nodiscard]] bool charge(std::uint64_t bytes);

    /// Starts a phase. The time since then tells which connections stall.
    void setPhase(ClientPhase phase);

    /// Closes the connections that have held most for longest without progress, until `bytes` more fit or no candidate is left. They
    /// return their memory soon, not at once.
    void makeRoom(std::uint64_t bytes);

    /// @return the time of the clock of the `ClientMemory`.
    [[nodiscard]] TimePoint now() const;

private:
    friend class ClientMemory;

    ClientAccount(ClientMemory &owner, ByteLease lease, std::function<void()> evict);

    ClientMemory &owner_;
    ByteLease lease_;
    const std::uint64_t base_;
    const std::function<void()> evict_;
    // Read by other strands when they make room.
    std::atomic<std::uint64_t> held_;
    std::atomic<ClientPhase> phase_{ClientPhase::Receiving};
    std::atomic<TimePoint> since_;
    std::atomic<bool> isEvicted_{false};
};

/// Thread-safe. Its mutex has level 7 (connections) in the lock order; nothing is called while it is held.
class ClientMemory
{
public:
    /// @param clock must outlive the object.
    ClientMemory(const ClientMemoryOptions &options, const Clock &clock);
    ~ClientMemory();

    ClientMemory(const ClientMemory &) = delete;
    ClientMemory &operator=(const ClientMemory &) = delete;
    ClientMemory(ClientMemory &&) = delete;
    ClientMemory &operator=(ClientMemory &&) = delete;

    /// Admits a connection. If there is no room, the connections that stall most are closed, so that a later one is admitted.
    /// @param bytes what the connection needs before it has read anything.
    /// @param evict closes the connection soon; called from any thread, at most once, possibly while the account is destroyed.
    /// @return the account, null if there is no room.
    [[nodiscard]] std::shared_ptr<ClientAccount> open(std::uint64_t bytes, std::function<void()> evict);

    /// @return the budget, for buffers that belong to a request but not to its connection.
    [[nodiscard]] ByteBudget &budget();

    [[nodiscard]] std::size_t connections() const;

    /// @return the number of connections that were closed to make room.
    [[nodiscard]] std::uint64_t evicted() const;

private:
    friend class ClientAccount;
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
