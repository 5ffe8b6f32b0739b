#pragma once

#include <cstdint>
#include <memory>
#include <string>

/// @file
/// One daemon with the stand-ins of the platform's store and of an endpoint, as processes on loopback.
///
/// Example:
/// @code
///   Site site("build", scratch.path());
///   site.start();
///   const auto usage = site.usage();
/// @endcode

namespace daisystream::crowd
{

/// Memory and descriptors of a process at one moment.
struct Usage
{
    std::uint64_t memoryBytes = 0; ///< Anonymous resident memory (`RssAnon`).
    unsigned descriptors = 0;

    friend bool operator==(const Usage &, const Usage &) = default;
};

/// The processes of a test. Thread-compatible.
class Site
{
public:
    /// @param programs build folder with the executables.
    /// @param scratch folder for settings and logs.
    /// @throws std::runtime_error if no ports are left.
    Site(std::string programs, std::string scratch);
    ~Site();

    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;
    Site(Site &&) = delete;
    Site &operator=(Site &&) = delete;

    /// Starts everything and waits until a request of a client is served.
    /// @throws std::runtime_error if that takes too long.
    void start();

    /// @return the port for clients.
    [[nodiscard]] std::uint16_t port() const;

    [[nodiscard]] bool isRunning();

    /// @return what the daemon uses now; zeros if it has ended.
    [[nodiscard]] Usage usage() const;

    /// Sends one normal request on a connection of its own.
    /// @return its status, 0 if there was none.
    [[nodiscard]] int ask();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream::crowd
