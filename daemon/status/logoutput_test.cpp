#include "daemon/status/logoutput.h"

#include "daemon/status/decisionlog.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <array>
#include <optional>
#include <string>
#include <thread>

namespace daisystream
{
namespace
{

/// A pipe whose write end is a `FILE`. Tests read from the other end or leave the pipe full.
class Pipe
{
public:
    Pipe()
    {
        REQUIRE(pipe(ends_.data()) == 0);
        file_ = fdopen(ends_[1], "w");
    }

    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    // Does not close the file, because the log writer may be blocked in a write. The test process ends soon.
    ~Pipe() = default;

    [[nodiscard]] std::FILE *file() const
    {
        return file_;
    }

    /// Closes the write end, so that `read` returns an empty string after all data was read.
    void closeWriting()
    {
        std::fclose(file_);
        file_ = nullptr;
    }

    /// @return the available data, of which there is at least one byte unless the write end is closed.
    [[nodiscard]] std::string read() const
    {
        std::array<char, 65536> buffer{};
        const auto count = ::read(ends_[0], buffer.data(), buffer.size());
        return {buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0};
    }

private:
    std::array<int, 2> ends_{};
    std::FILE *file_ = nullptr;
};

TEST_CASE("a line contains its time, level and VM")
{
    const Pipe pipe;
    const ManualClock clock;
    LogOutput output({.vm = "vm1", .file = pipe.file()}, clock);
    DecisionLine("send").field("request", "x").write();
    output.drain(std::chrono::milliseconds(60000)); // Limits only a test that hangs.
    const auto text = pipe.read();
    CHECK(text.find("time=20") == 0);
    CHECK(text.find(" level=info vm=vm1 decision=send request=x\n") != std::string::npos);
}

// Guards against blocking the threads that log when the output is not read.
TEST_CASE("lines are dropped and counted when the output is not read")
{
    Pipe pipe;
    const ManualClock clock;
    std::optional<LogOutput> output;
    output.emplace(LogOutputOptions{.vm = {}, .file = pipe.file(), .queueLines = 64, .limits = {.linesPerSecond = 1e9, .burst = 1e9}}, clock);
    const std::string filler(1000, 'x');
    for (int i = 0; i < 2000; ++i) { // Far more than the capacity of a pipe.
        DecisionLine("send").field("request", std::to_string(i)).field("filler", filler).write();
    }
    CHECK(output->dropped() > 1000);
    // Unblocks the writer thread, because the process would otherwise wait for it at its end.
    const std::jthread reader([&] {
        while (!pipe.read().empty()) { }
    });
    output->drain(std::chrono::milliseconds(60000)); // Limits only a test that hangs.
    output.reset();                                  // Waits for the writer thread.
    pipe.closeWriting();
}

TEST_CASE("lines of one kind are limited, suppressed lines are counted, and other kinds are not affected")
{
    LogRateLimiter limiter({.linesPerSecond = 10, .burst = 20});
    const TimePoint now{std::chrono::hours(1)};
    std::uint64_t admitted = 0;
    for (int i = 0; i < 1000; ++i) {
        admitted += limiter.admit("decision=send", now) ? 1 : 0;
    }
    CHECK(admitted == 20);
    CHECK(limiter.admit("decision=give_up", now) == 0U);
    CHECK(limiter.admit("decision=send", now + std::chrono::seconds(1)) == 980U);
    CHECK(limiter.admit("decision=send", now + std::chrono::seconds(1)) == 0U);
    CHECK(lineKind("decision=send request=1") == "decision=send");
}

} // namespace
} // namespace daisystream
