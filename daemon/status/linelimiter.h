#pragma once

#include "daisystream/base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

/// @file
/// Bounds the log lines a second of each kind, so that a flood of one kind costs little and hides no other.
///
/// Example:
/// @code
///   if (const auto leftOut = limiter.admit(lineKind(line), now)) { write(line, *leftOut); }
/// @endcode

namespace daisystream
{

struct LineLimiterOptions
{
    double linesPerSecond = 100; ///< Of one kind; a VM takes some 20 requests a second at the target size.
    double burst = 300;          ///< Lines of one kind that may come at once.

    friend auto operator<=>(const LineLimiterOptions &, const LineLimiterOptions &) = default;
};

/// Thread-compatible.
class LineLimiter
{
public:
    explicit LineLimiter(LineLimiterOptions options = {});

    /// @return nothing if the line is left out; else how many of its kind were left out since the last one that was not.
    [[nodiscard]] std::optional<std::uint64_t> admit(std::string_view kind, TimePoint now);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint filledAt{};
        std::uint64_t leftOut = 0;
    };

    LineLimiterOptions options_;
    std::unordered_map<std::string, Bucket> buckets_;
};

/// @return what the line is about: its first field, as in "decision=send". Lines of failures are kinds of their own, so
///     that they are kept when others are left out.
[[nodiscard]] std::string_view lineKind(std::string_view line);

} // namespace daisystream
