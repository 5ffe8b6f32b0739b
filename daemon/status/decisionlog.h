#pragma once

#include <string>
#include <string_view>

/// @file
/// Log lines for routing decisions, such as `decision=assign request=… team=… rank=… choice=… reason=… key=value…`.
///
/// Example:
/// @code
///   DecisionLine("assign").field("request", id).field("team", team).field("choice", endpoint).write();
/// @endcode

namespace daisystream
{

/// Builds one log line. Values are percent-encoded, so that text from a caller cannot add fields or lines. Thread-compatible.
class DecisionLine
{
public:
    /// @param decision name of the decision, a single word.
    explicit DecisionLine(std::string_view decision);

    /// Appends `name=value`. The value must not be an API key or other secret.
    /// @return this object.
    DecisionLine &field(std::string_view name, std::string_view value);

    /// @return the line as built so far.
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
