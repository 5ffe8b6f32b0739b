#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Incremental parser of server-sent events.
///
/// Example:
/// @code
///   SseReader reader;
///   reader.feed(bytes);
///   while (const auto event = reader.next()) { use(event->id, event->data); }
///   if (reader.failed()) { ... }
/// @endcode

namespace daisystream
{

/// One event. Fields that this project does not use, such as `retry`, are left out.
struct SseEvent
{
    std::string id;
    std::string event; ///< Type of the event; empty for the default type.
    std::string data;  ///< The values of several `data` lines are joined by line feeds.

    friend auto operator<=>(const SseEvent &, const SseEvent &) = default;
};

/// Splits a byte stream into events and skips comments. Thread-compatible.
class SseReader
{
public:
    /// Appends bytes of the stream.
    void feed(std::string_view bytes);

    /// @return the next complete event, or nothing until more bytes are fed.
    [[nodiscard]] std::optional<SseEvent> next();

    /// @return the unchanged bytes of the stream up to the end of the last event that `next` returned, from the end of the bytes that the
    ///     last call returned. Before the first call, `feed` discards the bytes of earlier events.
    [[nodiscard]] std::string takeRaw();

    /// @return the number of bytes that were fed after the last complete event.
    [[nodiscard]] std::size_t pending() const
    {
        return buffer_.size() - eventEnd_;
    }

    /// @return true if an event was larger than 256 KiB. From then on, `next` returns nothing.
    [[nodiscard]] bool failed() const
    {
        return failed_;
    }

private:
    /// @return the next complete line without its end; nothing if there is none.
    std::optional<std::string_view> takeLine();

    std::string buffer_;
    std::size_t consumed_ = 0; ///< Position up to which lines were read.
    std::size_t eventEnd_ = 0; ///< Position after the last complete event.
    std::size_t rawBegin_ = 0; ///< Position after the bytes that `takeRaw` returned.
    SseEvent current_;
    bool hasFields_ = false; ///< Whether a field of `current_` was set.
    bool rawAsked_ = false;  ///< Whether `takeRaw` was called.
    bool failed_ = false;
};

} // namespace daisystream
