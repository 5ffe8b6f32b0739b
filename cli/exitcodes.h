#pragma once

#include "daisystream/base/result.h"

#include <string_view>

/// @file
/// Exit codes of the command-line tool, documented in docs/operators.md.

namespace daisystream::cli
{

enum ExitCode : int {
    Success = 0,
    Failure = 1,        ///< Anything without a code of its own.
    Usage = 2,          ///< The command line is not valid.
    InvalidText = 3,    ///< A list does not pass its checks; nothing was written.
    Conflict = 4,       ///< Another change took precedence; nothing was written.
    Unavailable = 5,    ///< The platform or every VM cannot be reached; nothing was changed.
    UnknownOutcome = 6, ///< A write, an order or a request may or may not have taken effect.
    Incomplete = 7,     ///< The answer ended early; what was printed remains valid.
    NotRun = 8,         ///< The request or order was not run.
};

/// @return the exit code for a final state such as "complete" or "notRun".
[[nodiscard]] constexpr ExitCode exitCodeOf(std::string_view state)
{
    if (state == "complete") {
        return Success;
    }
    if (state == "incomplete") {
        return Incomplete;
    }
    return state == "notRun" ? NotRun : UnknownOutcome;
}

} // namespace daisystream::cli
