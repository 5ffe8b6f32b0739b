#include "scenarios/scratchfolder.h"

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <system_error>

namespace daisystream::scenarios
{

ScratchFolder::ScratchFolder(const std::string &prefix)
    : path_((std::filesystem::temp_directory_path() / (prefix + "-XXXXXX")).string())
{
    if (::mkdtemp(path_.data()) == nullptr) {
        throw std::system_error(errno, std::generic_category(), "cannot create " + path_);
    }
}

ScratchFolder::~ScratchFolder()
{
    if (isKept_) {
        std::cerr << "kept " << path_ << '\n';
        return;
    }
    std::error_code error;
    std::filesystem::remove_all(path_, error);
    if (error) {
        std::cerr << "cannot remove " << path_ << ": " << error.message() << '\n';
    }
}

const std::string &ScratchFolder::path() const
{
    return path_;
}

void ScratchFolder::keep()
{
    isKept_ = true;
}

} // namespace daisystream::scenarios
