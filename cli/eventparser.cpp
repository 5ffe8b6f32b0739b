#include "cli/eventparser.h"

#include <utility>

namespace daisystream::cli
{

std::vector<ServerEvent> EventParser::feed(std::string_view bytes)
{
    std::vector<ServerEvent> events;
    partialLine_ += bytes;
    std::size_t begin = 0;
    for (std::size_t end = partialLine_.find('\n'); end != std::string::npos; end = partialLine_.find('\n', begin)) {
        std::string_view line(partialLine_.data() + begin, end - begin);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        parseLine(line, events);
        begin = end + 1;
    }
    partialLine_.erase(0, begin);
    return events;
}

void EventParser::parseLine(std::string_view line, std::vector<ServerEvent> &events)
{
    if (line.empty()) {
        if (!currentEvent_.data.empty()) {
            events.push_back(std::exchange(currentEvent_, {}));
        }
        currentEvent_ = {};
        return;
    }
    const auto colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (field == "data") {
        currentEvent_.data += (currentEvent_.data.empty() ? "" : "\n") + std::string(value);
    } else if (field == "id") {
        currentEvent_.id = value;
    } else if (field == "event") {
        currentEvent_.name = value;
    }
}

} // namespace daisystream::cli
