#pragma once

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Joins log lines of several VMs into the history of one request.
///
/// Example:
/// @code
///   Explanation explanation("9c41d07be2a35f68");
///   for (std::string line; std::getline(log, line);) { explanation.add(line); }
///   explanation.print(std::cout);
/// @endcode

namespace daisystream::cli
{

/// One line of a daemon's log: `key=value…`.
struct LogLine
{
    std::string text;
    std::string time; ///< Sorts as text.
    std::map<std::string, std::string, std::less<>> fields;

    /// @return the value of a field, empty if there is none.
    [[nodiscard]] std::string field(std::string_view name) const;
};

/// @return the line, nothing if the text has no `decision=` or `event=`. What precedes `time=` is ignored.
[[nodiscard]] std::optional<LogLine> parseLogLine(const std::string &text);

/// The history of one request.
class Explanation
{
public:
    /// @param request id of the caller's attempt.
    explicit Explanation(std::string request);

    /// Takes a line of any VM's log, in any order.
    void add(const std::string &text);

    /// @return whether any line names the request.
    [[nodiscard]] bool found() const;

    /// @return what went wrong first, in one sentence; that it was answered if nothing did.
    [[nodiscard]] std::string cause() const;

    /// Prints the lines that concern the request, by time, and the cause.
    void print(std::ostream &out) const;

    /// Prints the same as JSON.
    void printJson(std::ostream &out) const;

private:
    [[nodiscard]] std::vector<LogLine> history() const;
    [[nodiscard]] bool concerns(const LogLine &line) const;

    std::string request_;
    std::vector<std::string> works_;     ///< Ids under which owners of cells know the request.
    std::vector<std::string> endpoints_; ///< Where it was sent.
    std::vector<LogLine> lines_;
};

/// `explain ID [LOG...]`.
/// @param logs names of files; none: standard input.
/// @return the exit code.
[[nodiscard]] int
runExplainCommand(const std::string &request, const std::vector<std::string> &logs, bool json, std::istream &in, std::ostream &out, std::ostream &err);

} // namespace daisystream::cli
