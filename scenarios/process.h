#pragma once

#include <memory>
#include <string>
#include <vector>

/// @file
/// A process that a scenario starts and disturbs.
///
/// Example:
/// @code
///   Process vm("daemon/daisystreamd", {"--settings", path}, logPath);
///   vm.signal(SIGSTOP);
/// @endcode

namespace daisystream::scenarios
{

/// A running program. Killed and reaped on destruction; killed also when the thread that started it ends in any other way.
/// Thread-compatible.
class Process
{
public:
    /// @param program path of the executable.
    /// @param logPath file that receives standard output and standard error.
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logPath);
    ~Process();

    /// Sends a signal; does nothing once the process has ended.
    void signal(int number);

    [[nodiscard]] bool running();

    /// @return the process id; after the end, the one that it had.
    [[nodiscard]] int id() const;

    /// Waits for the end.
    /// @return the exit code, or 128 and the signal number.
    int wait();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream::scenarios
