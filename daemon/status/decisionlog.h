#pragma once

#include <string>
#include <string_view>

/// @file
/// The log line of a routing decision: `decision=assign request=… team=… rank=… choice=… reason=… key=value…`.
///
/// Example:
/// @code
///   DecisionLine("assign").field("request", id).field("team", team).field("choice", endpoint).write();
/// @endcode

namespace daisystream
{

/// Builds one line; values are encoded so that a caller's text can add neither fields nor lines. Thread-compatible.
class DecisionLine
{
public:
    /// @param decision what was decided, one word.
    explicit DecisionLine(std::string_view decision);

    /// Appends a field. Never pass a key or a secret.
    DecisionLine &field(std::string_view name, std::string_view value);

    /// @return the line.
    [[nodiscard]] const std::string &text() const
    {
        return text_;
    }

    /// Writes the line to the log at level INFO.
    void write() const;

private:
    std::string text_;
};

} // namespace daisystream
