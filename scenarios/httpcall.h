#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

/// @file
/// HTTP calls of a scenario, read in the background so that a script can act while an answer streams.
///
/// Example:
/// @code
///   HttpCall call({.method = "GET", .port = port, .target = "/healthz"});
///   call.waitFinished(std::chrono::seconds(5));
///   call.status();
/// @endcode

namespace daisystream::scenarios
{

/// What to send. Immutable once passed on.
struct HttpRequest
{
    std::string method;
    std::uint16_t port = 0; ///< On 127.0.0.1.
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// One exchange over a connection of its own. Thread-safe.
class HttpCall
{
public:
    explicit HttpCall(const HttpRequest &request);
    ~HttpCall();

    HttpCall(HttpCall &&) noexcept;
    HttpCall &operator=(HttpCall &&) noexcept;
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    /// @return the status, 0 before the header has arrived or if the connection failed.
    [[nodiscard]] int status() const;

    /// @return the part of the body that has arrived.
    [[nodiscard]] std::string body() const;

    /// @return the headers, with lower-case names.
    [[nodiscard]] std::map<std::string, std::string> headers() const;

    /// @return why the exchange broke off, empty if it has not.
    [[nodiscard]] std::string failure() const;

    [[nodiscard]] bool finished() const;

    /// @return whether the exchange has ended within the limit.
    [[nodiscard]] bool waitFinished(std::chrono::milliseconds limit) const;

    /// Closes the connection.
    void close();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream::scenarios
