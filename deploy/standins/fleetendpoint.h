#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// @file
/// Stand-in for an endpoint of the platform: an engine that streams answers and moves them, or a plain service. It
/// registers itself in the store and writes what it does as observations.
///
/// `POST /standin/faults` replaces its faults: {"loseEvery": n, "failEvery": n, "garbleEvery": n, "slowFactor": f}; "every"
/// counts its answers, 0 is never; calls that fail have run, and get 500, 503, 429 and 408 in turn; answers that are garbled have further
/// bytes behind them, a status of 000, a field whose name has a blank or a control byte, or a folded line in turn. `POST /standin/limit` with {"perSecond": f}
/// makes it state a limit of requests a second, which it does not enforce; 0 ends that. Its process ends with `kCrashExitCode` when it begins an answer on a
/// prompt with a part for which `hasDeadlyPart` is true.
///
/// Example:
/// @code
///   FleetEndpoint engine(io, {.name = "engine1", .service = "model", .isEngine = true, .port = 9000, .storePort = 9100});
///   engine.leave([&] { io.stop(); });
/// @endcode

namespace daisystream::standins
{

struct FleetEndpointOptions
{
    std::string name;
    std::string service;
    std::string zone = "a";
    bool isEngine = false;
    std::uint16_t port = 0;
    std::uint16_t advertisedPort = 0; ///< The port that it registers; 0: its own.
    std::uint16_t storePort = 0;
};

/// The endpoint. Thread-compatible; `io` must run on one thread.
class FleetEndpoint
{
public:
    FleetEndpoint(boost::asio::io_context &io, const FleetEndpointOptions &options);
    ~FleetEndpoint();

    /// Announces in the store that it leaves, and serves on for the time that is promised.
    /// @param onGone called when that time is over.
    void leave(std::function<void()> onGone);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream::standins
