#pragma once

#include <string>

/// @file
/// A temporary folder for the settings and logs of a run.
///
/// Example:
/// @code
///   ScratchFolder scratch("soak");
///   writeFile(scratch.path() + "/settings.json");
///   if (failed) {
///       scratch.keep();
///   }
/// @endcode

namespace daisystream::scenarios
{

/// Removes itself with its content, unless it is to be kept; then it prints its name. Thread-compatible.
class ScratchFolder
{
public:
    /// @param prefix of the folder's name.
    /// @throws std::system_error if it cannot be created.
    explicit ScratchFolder(const std::string &prefix);
    ~ScratchFolder();

    ScratchFolder(const ScratchFolder &) = delete;
    ScratchFolder &operator=(const ScratchFolder &) = delete;
    ScratchFolder(ScratchFolder &&) = delete;
    ScratchFolder &operator=(ScratchFolder &&) = delete;

    [[nodiscard]] const std::string &path() const;

    /// Leaves the folder where it is, because what it holds explains a failure.
    void keep();

private:
    std::string path_;
    bool isKept_ = false;
};

} // namespace daisystream::scenarios
