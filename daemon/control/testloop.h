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
/// An event loop on a thread of its own, for tests. Not part of the daemon.
///
/// Example:
/// @code
///   TestLoop loop;
///   const auto row = loop.run([&](asio::yield_context yield) { return client.getRow("lists", "plans", yield); });
///   REQUIRE(loop.waitUntil([&] { return counter.value() > 0; }));
/// @endcode

namespace daisystream
{

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

    /// Ends the thread, so that objects which the loop uses can be destroyed.
    void stop()
    {
        io.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    /// Runs a coroutine to its end.
    template<class Work>
    auto run(Work work)
    {
        std::promise<decltype(work(std::declval<boost::asio::yield_context>()))> promise;
        auto future = promise.get_future();
        boost::asio::spawn(
            io, [&](boost::asio::yield_context yield) { promise.set_value(work(yield)); }, boost::asio::detached);
        return future.get();
    }

    /// @return whether the condition came true. The limit only ends a run that hangs; no verdict depends on speed.
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
