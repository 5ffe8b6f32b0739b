#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// @file
/// Bounds of the front end. Every wait for a caller, an engine or a plain service has one.
///
/// Example:
/// @code
///   FrontendOptions options;
///   options.resumeWindow = std::chrono::seconds(10);
/// @endcode

namespace daisystream
{

/// Bounds that the settings may change. The defaults suit callers on mobile links.
struct FrontendOptions
{
    std::size_t maxConnections = 20'000;                     ///< Further connections are closed at once.
    std::uint64_t memoryBytes = 256'000'000;                 ///< For all that callers make the VM hold.
    int receiveBufferBytes = 65'536;                         ///< Of each connection, in the kernel, which may use twice as much; 0 leaves the system's.
    std::size_t headerLimitBytes = 16'384;                   ///< Larger request headers get 431.
    std::size_t fieldLimit = 256;                            ///< More fields in a header get 431: each costs several times its bytes.
    std::uint64_t bodyLimitBytes = 4'194'304;                ///< Larger request bodies get 413.
    std::chrono::milliseconds idleTimeout{60'000};           ///< Between two requests on one connection.
    std::chrono::milliseconds headerTimeout{10'000};         ///< From the first byte of a request to the end of its header.
    std::chrono::milliseconds bodyTimeout{30'000};           ///< From the end of the header to the end of the body.
    std::chrono::milliseconds bodyStallTimeout{5'000};       ///< Within a body, without a further byte; also the grace period of `bodyBytesPerSecond`.
    std::uint64_t bodyBytesPerSecond = 1'024;                ///< Slower bodies get 408.
    std::chrono::milliseconds writeTimeout{10'000};          ///< For each write towards a caller.
    std::chrono::milliseconds resumeWindow{30'000};          ///< How long a generation goes on after its caller has gone away.
    std::chrono::milliseconds resumeIdLifetime{900'000};     ///< After this the sealed id of an event is refused.
    std::chrono::milliseconds endpointConnectTimeout{1'000}; ///< For a connection to an endpoint.
    std::chrono::milliseconds endpointSilenceTimeout{2'000}; ///< Engines send a byte at least every 500 ms.
    std::chrono::milliseconds resumeBackoff{100};            ///< Largest pause before the first resume; doubles with each further one.
    unsigned resumeAttempts = 5;                             ///< Resumes in a row that bring no new event.
    std::chrono::milliseconds serviceTimeout{30'000};        ///< For the response of a plain service.
    std::chrono::milliseconds progressInterval{200};         ///< Between two progress reports of one answer.
};

} // namespace daisystream
