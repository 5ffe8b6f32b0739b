#pragma once

#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <chrono>
#include <future>
#include <thread>
#include <utility>

/// @file
/// An event loop with its own thread, for tests only.
///
/// Example:
/// @code
///   TestLoop loop;
///   const auto row = loop.run([&](asio::yield_context yield) { return client.getRow("lists", "plans", yield); });
///   REQUIRE(loop.waitUntil([&] { return counter.value() > 0; }));
/// @endcode

namespace daisystream
{

/// Runs an `io_context` on its own thread from construction until `stop`.
class TestLoop
{
public:
    TestLoop()
        : guard_(boost::asio::make_work_guard(io))
        , thread_([this] { io.run(); })
    {
    }

    ~TestLoop()
    {
        stop();
    }

    TestLoop(const TestLoop &) = delete;
    TestLoop &operator=(const TestLoop &) = delete;

    /// Stops the event loop and joins its thread. Objects that the loop uses can be destroyed afterwards.
    void stop()
    {
        io.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    /// Runs `work` as a coroutine on the event loop and waits for its end.
    /// @return the result of `work`.
    template<class Work>
    auto run(Work work)
    {
        std::promise<decltype(work(std::declval<boost::asio::yield_context>()))> promise;
        auto future = promise.get_future();
        boost::asio::spawn(
            io, [&](boost::asio::yield_context yield) { promise.set_value(work(yield)); }, boost::asio::detached);
        return future.get();
    }

    /// Polls `condition` until it is true.
    /// @return true; or false after 60 s. This limit only ends tests that hang, so that results do not depend on the speed of
    ///     the machine.
    template<class Condition>
    static bool waitUntil(Condition condition)
    {
        constexpr auto kHangLimit = std::chrono::seconds(60);
        const auto end = std::chrono::steady_clock::now() + kHangLimit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return true;
    }

    boost::asio::io_context io;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    std::thread thread_;
};

} // namespace daisystream
