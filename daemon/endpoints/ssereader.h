#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Incremental reader of server-sent events.
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

/// One event with the fields that the protocols here use.
struct SseEvent
{
    std::string id;
    std::string event; ///< Empty: the default type.
    std::string data;  ///< Several data lines are joined by a line feed.

    friend auto operator<=>(const SseEvent &, const SseEvent &) = default;
};

/// Splits a byte stream into events; comments are skipped. Thread-compatible.
class SseReader
{
public:
    /// Appends bytes of the stream.
    void feed(std::string_view bytes);

    /// @return the next complete event, or nothing until more bytes are fed.
    [[nodiscard]] std::optional<SseEvent> next();

    /// @return the bytes of the events that `next` returned since the last call, as they came.
    [[nodiscard]] std::string takeRaw();

    /// @return bytes of an event that is not complete yet.
    [[nodiscard]] std::size_t pending() const
    {
        return buffer_.size() - eventEnd_;
    }

    /// @return true once an event is larger than 256 KiB, after which `next` returns nothing.
    [[nodiscard]] bool failed() const
    {
        return failed_;
    }

private:
    std::optional<std::string_view> takeLine();

    std::string buffer_;
    std::size_t consumed_ = 0; ///< Lines before this position were read.
    std::size_t eventEnd_ = 0; ///< End of the last event that was returned.
    std::size_t rawBegin_ = 0; ///< End of what `takeRaw` returned.
    SseEvent current_;
    bool hasFields_ = false;
    bool rawAsked_ = false;
    bool failed_ = false;
};

} // namespace daisystream
