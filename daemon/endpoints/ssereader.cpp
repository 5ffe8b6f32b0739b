#include "daemon/endpoints/ssereader.h"

#include <algorithm>
#include <utility>

namespace daisystream
{
namespace
{

// Limits the memory that an engine can use on this VM by an event that does not end.
constexpr std::size_t kEventLimitBytes = 262'144;

} // namespace

void SseReader::feed(std::string_view bytes)
{
    if (failed_) {
        return;
    }
    // Raw bytes of returned events are kept only if `takeRaw` is in use.
    const std::size_t keep = rawAsked_ ? rawBegin_ : eventEnd_;
    const std::size_t drop = std::min(keep, consumed_);
    buffer_.erase(0, drop);
    consumed_ -= drop;
    eventEnd_ -= drop;
    rawBegin_ = rawBegin_ > drop ? rawBegin_ - drop : 0;
    buffer_.append(bytes);
}

std::string SseReader::takeRaw()
{
    rawAsked_ = true;
    std::string raw = buffer_.substr(rawBegin_, eventEnd_ - rawBegin_);
    rawBegin_ = eventEnd_;
    return raw;
}

std::optional<std::string_view> SseReader::takeLine()
{
    const auto end = buffer_.find('\n', consumed_);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    std::string_view line(buffer_.data() + consumed_, end - consumed_);
    consumed_ = end + 1;
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

std::optional<SseEvent> SseReader::next()
{
    while (!failed_) {
        const auto line = takeLine();
        // Comments and all fields count towards the limit, since lines that never complete an event would otherwise fill the memory.
        failed_ = (line ? consumed_ : buffer_.size()) - eventEnd_ > kEventLimitBytes;
        if (!line || failed_) {
            return std::nullopt;
        }
        if (line->empty()) {
            eventEnd_ = consumed_;
            if (std::exchange(hasFields_, false)) {
                return std::exchange(current_, SseEvent());
            }
            continue;
        }
        const auto colon = line->find(':');
        const auto name = line->substr(0, colon);
        auto value = colon == std::string_view::npos ? std::string_view() : line->substr(colon + 1);
        if (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        if (name == "id") {
            current_.id = value;
            hasFields_ = true;
        } else if (name == "event") {
            current_.event = value;
            hasFields_ = true;
        } else if (name == "data") {
            if (!current_.data.empty()) {
                current_.data += '\n';
            }
            current_.data += value;
            hasFields_ = true;
        }
    }
    return std::nullopt;
}

} // namespace daisystream
