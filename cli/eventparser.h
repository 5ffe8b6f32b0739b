#pragma once

#include <string>
#include <string_view>
#include <vector>

/// @file
/// Parser for server-sent events that arrive as a stream of bytes.
///
/// Example:
/// @code
///   EventParser parser;
///   for (const ServerEvent &event : parser.feed(bytes)) { ... }
/// @endcode

namespace daisystream::cli
{

/// One server-sent event.
struct ServerEvent
{
    std::string id;   ///< Empty if the event has none.
    std::string name; ///< Value of the `event` field; empty if the event has none.
    std::string data; ///< Values of the `data` fields, joined by line feeds.
};

/// Parses events incrementally. Drops comments and events without data. Thread-compatible.
class EventParser
{
public:
    /// @param bytes the next piece of the stream; it may end anywhere in an event.
    /// @return the events that this piece completes, in order.
    [[nodiscard]] std::vector<ServerEvent> feed(std::string_view bytes);

private:
    void parseLine(std::string_view line, std::vector<ServerEvent> &events);

    std::string partialLine_;  ///< Bytes after the last line feed.
    ServerEvent currentEvent_; ///< Fields since the last empty line.
};

} // namespace daisystream::cli
