#include "cli/eventparser.h"

#include <utility>

namespace daisystream::cli
{

std::vector<ServerEvent> EventParser::feed(std::string_view bytes)
{
    std::vector<ServerEvent> events;
    rest_ += bytes;
    std::size_t begin = 0;
    for (std::size_t end = rest_.find('\n'); end != std::string::npos; end = rest_.find('\n', begin)) {
        std::string_view line(rest_.data() + begin, end - begin);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        takeLine(line, events);
        begin = end + 1;
    }
    rest_.erase(0, begin);
    return events;
}

void EventParser::takeLine(std::string_view line, std::vector<ServerEvent> &events)
{
    if (line.empty()) {
        if (!current_.data.empty()) {
            events.push_back(std::exchange(current_, {}));
        }
        current_ = {};
        return;
    }
    const auto colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (field == "data") {
        current_.data += (current_.data.empty() ? "" : "\n") + std::string(value);
    } else if (field == "id") {
        current_.id = value;
    } else if (field == "event") {
        current_.name = value;
    }
}

} // namespace daisystream::cli
