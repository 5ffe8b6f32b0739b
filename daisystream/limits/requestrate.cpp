#include "daisystream/limits/requestrate.h"

#include <charconv>
#include <cmath>

namespace daisystream
{

std::optional<double> parseRequestRate(std::string_view text)
{
    double perSecond = 0;
    const auto *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, perSecond);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == end;
    return isWhole && std::isfinite(perSecond) && perSecond > 0 ? std::optional(perSecond) : std::nullopt;
}

} // namespace daisystream
