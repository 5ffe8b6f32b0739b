#pragma once

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Collects the log lines of several VMs about one request and determines why the request failed.
///
/// Example:
/// @code
///   Explanation explanation("9c41d07be2a35f68");
///   for (std::string line; std::getline(log, line);) { explanation.add(line); }
///   explanation.print(std::cout);
/// @endcode

namespace daisystream::cli
{

/// One line of a daemon's log, which consists of `key=value` fields.
struct LogLine
{
    std::string text;                                       ///< The line from `time=` on.
    std::string time;                                       ///< Value of the `time` field; sorting these strings sorts by time.
    std::map<std::string, std::string, std::less<>> fields; ///< Percent-decoded values by key.

    /// @return the value of a field, empty if there is none.
    [[nodiscard]] std::string field(std::string_view name) const;
};

/// @param text a line of a log; anything before `time=` is ignored.
/// @return the parsed line, or nothing if it has neither a `decision` nor an `event` field.
[[nodiscard]] std::optional<LogLine> parseLogLine(const std::string &text);

/// The history of one request and the cause of its failure.
class Explanation
{
public:
    /// @param request id that the VM connected to the caller logs for the request.
    explicit Explanation(std::string request);

    /// Adds a line of the log of any VM. The logs of the VMs may be added in any order.
    void add(const std::string &text);

    /// @return whether any line has the id of the request.
    [[nodiscard]] bool hasRequest() const;

    /// @return the first failure of the request, in one sentence; if there is none, whether the request was answered.
    [[nodiscard]] std::string cause() const;

    /// Prints the relevant lines, ordered by time, and the cause.
    void print(std::ostream &out) const;

    /// Prints the same as JSON.
    void printJson(std::ostream &out) const;

private:
    /// @return the relevant lines and the events of the VMs that logged them, ordered by time.
    [[nodiscard]] std::vector<LogLine> history() const;
    /// @return whether the line is about the request or an endpoint that it was sent to.
    /// @return what the VM knew of the speed of the endpoint that answered the request, if it differed from the usual; else empty.
    [[nodiscard]] std::string speedText(const std::vector<LogLine> &lines) const;
    [[nodiscard]] bool isRelevant(const LogLine &line) const;
    /// @return the zones that the VM of a failed request knew to be out of service at that time, separated by commas.
    [[nodiscard]] std::string withdrawnZones(const LogLine &failure) const;

    std::string request_;
    std::vector<std::string> workIds_;     ///< Ids that the owners of cells log for the request.
    std::vector<std::string> endpointIds_; ///< Endpoints that the request was sent to.
    std::vector<LogLine> lines_;
};

/// Runs `explain ID [LOG...]`: prints the history of a request and the cause of its failure.
/// @param request id of the request.
/// @param logs names of log files; if empty, the log is read from `in`.
/// @param json whether to print JSON instead of text.
/// @return the exit code.
[[nodiscard]] int
runExplainCommand(const std::string &request, const std::vector<std::string> &logs, bool json, std::istream &in, std::ostream &out, std::ostream &err);

} // namespace daisystream::cli
