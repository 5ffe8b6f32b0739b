#pragma once

#include <string>
#include <string_view>
#include <vector>

/// @file
/// Server-sent events out of a stream of bytes.
///
/// Example:
/// @code
///   EventParser parser;
///   for (const ServerEvent &event : parser.feed(bytes)) { ... }
/// @endcode

namespace daisystream::cli
{

/// One event.
struct ServerEvent
{
    std::string id;
    std::string name; ///< Empty for the default.
    std::string data;
};

/// Thread-compatible.
class EventParser
{
public:
    /// @return the events that are complete now.
    [[nodiscard]] std::vector<ServerEvent> feed(std::string_view bytes);

private:
    void takeLine(std::string_view line, std::vector<ServerEvent> &events);

    std::string rest_;
    ServerEvent current_;
};

} // namespace daisystream::cli
