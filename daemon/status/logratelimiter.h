#pragma once

#include "daisystream/base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

/// @file
/// Limits the rate of log lines separately for each kind of line, so that many lines of one kind neither cost much nor displace
/// other kinds.
///
/// Example:
/// @code
///   if (const auto suppressed = limiter.admit(lineKind(line), now)) { write(line, *suppressed); }
/// @endcode

namespace daisystream
{

/// Parameters of the token buckets.
struct LogRateLimiterOptions
{
    double linesPerSecond = 100; ///< Rate for one kind. At the target size a VM receives about 20 requests per second.
    double burst = 300;          ///< Lines of one kind that are admitted at once after a pause.

    friend auto operator<=>(const LogRateLimiterOptions &, const LogRateLimiterOptions &) = default;
};

/// A token bucket for each kind of line. Thread-compatible.
class LogRateLimiter
{
public:
    explicit LogRateLimiter(LogRateLimiterOptions options = {});

    /// Decides whether a line is written.
    /// @param kind result of `lineKind` for the line.
    /// @return nothing if the line must be suppressed; else the number of lines of this kind that were suppressed since the
    ///     last admitted one.
    [[nodiscard]] std::optional<std::uint64_t> admit(std::string_view kind, TimePoint now);

private:
    struct Bucket
    {
        double tokens = 0;    ///< Lines that may be written now.
        TimePoint filledAt{}; ///< When `tokens` was last updated.
        std::uint64_t suppressed = 0;
    };

    LogRateLimiterOptions options_;
    std::unordered_map<std::string, Bucket> buckets_;
};

/// @return the kind of a line, which is its first field, such as "decision=send". Failures have kinds of their own, so that they
///     are not suppressed together with lines of successful requests.
[[nodiscard]] std::string_view lineKind(std::string_view line);

} // namespace daisystream
