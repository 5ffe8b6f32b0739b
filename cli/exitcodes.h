#pragma once

#include "daisystream/base/result.h"

#include <string_view>

/// @file
/// Exit codes of the command-line tool, documented in docs/operators.md.

namespace daisystream::cli
{

enum ExitCode : int {
    Success = 0,
    Failure = 1,        ///< Any failure without a code of its own.
    Usage = 2,          ///< The command line is not valid.
    InvalidText = 3,    ///< The new text of a list is not valid; nothing was written.
    Conflict = 4,       ///< Another change took precedence; nothing was written.
    Unavailable = 5,    ///< The platform or every VM cannot be reached; nothing was changed.
    UnknownOutcome = 6, ///< A write, an order or a request may or may not have taken effect.
    Incomplete = 7,     ///< The answer ended early; the printed part is valid.
    NotRun = 8,         ///< The request or order was not run.
};

/// @param state final state of a request or an order, such as "complete" or "notRun".
/// @return the exit code for the state; `UnknownOutcome` for an unknown state.
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
