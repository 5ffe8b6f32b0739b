#include "scenarios/process.h"

#include <boost/process.hpp>
#include <boost/process/extend.hpp>

#include <sys/prctl.h>

#include <csignal>

namespace daisystream::scenarios
{

class Process::Private
{
public:
    Private(const std::string &program, const std::vector<std::string> &arguments, const std::string &logPath)
        // The program ends with the process that started it, however that ends. Without limit_handles a program would hold the
        // connections of relays open that the starting process has closed.
        : child_(
            program,
            boost::process::args(arguments),
            boost::process::std_in<boost::process::null, (boost::process::std_out & boost::process::std_err)> logPath,
            boost::process::limit_handles,
            boost::process::extend::on_exec_setup = [](auto &) { ::prctl(PR_SET_PDEATHSIG, SIGKILL); })
    {
    }

    boost::process::child child_;
};

Process::Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logPath)
    : d_(std::make_unique<Private>(program, arguments, logPath))
{
}

Process::~Process()
{
    signal(SIGKILL);
    std::error_code ignored;
    d_->child_.wait(ignored);
}

void Process::signal(int number)
{
    if (running()) {
        ::kill(d_->child_.id(), number);
    }
}

bool Process::running()
{
    std::error_code ignored;
    return d_->child_.running(ignored);
}

int Process::id() const
{
    return d_->child_.id();
}

int Process::wait()
{
    std::error_code ignored;
    d_->child_.wait(ignored);
    constexpr int kSignalBase = 128;
    const int status = d_->child_.native_exit_code();
    return WIFSIGNALED(status) ? kSignalBase + WTERMSIG(status) : WEXITSTATUS(status);
}

} // namespace daisystream::scenarios
