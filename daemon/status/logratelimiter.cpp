#include "daemon/status/logratelimiter.h"

#include <algorithm>
#include <utility>

namespace daisystream
{

LogRateLimiter::LogRateLimiter(LogRateLimiterOptions options)
    : options_(options)
{
}

std::optional<std::uint64_t> LogRateLimiter::admit(std::string_view kind, TimePoint now)
{
    const auto [entry, isNew] = buckets_.try_emplace(std::string(kind));
    Bucket &bucket = entry->second;
    if (isNew) {
        bucket = {.tokens = options_.burst, .filledAt = now};
    }
    const double elapsed = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.tokens = std::min(options_.burst, bucket.tokens + elapsed * options_.linesPerSecond);
    bucket.filledAt = now;
    if (bucket.tokens < 1) {
        ++bucket.suppressed;
        return std::nullopt;
    }
    bucket.tokens -= 1;
    return std::exchange(bucket.suppressed, 0);
}

std::string_view lineKind(std::string_view line)
{
    return line.substr(0, line.find(' '));
}

} // namespace daisystream
