#pragma once

#include "soak/configuration.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

/// @file
/// Callers of a soak: connections that send one request after the other, keep going until their VM is gone, leave early now
/// and then, and write down what they saw.
///
/// Example:
/// @code
///   FleetCallers callers(io, plan);
///   callers.start();
///   callers.stop([&] { io.stop(); });
/// @endcode

namespace daisystream::standins
{

/// The callers. Thread-compatible; `io` must run on one thread.
class FleetCallers
{
public:
    FleetCallers(boost::asio::io_context &io, const soak::CallerPlan &plan);
    ~FleetCallers();

    void start();

    /// Sends no further requests.
    /// @param onDone called when all answers have come or are given up.
    void stop(std::function<void()> onDone);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream::standins
