#pragma once

#include "daemon/control/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The commands of the tool. Each runs in a coroutine, writes to the given streams and returns the exit code.
///
/// Example:
/// @code
///   const int code = runListCommand("plans", {"show"}, options, context, yield);
/// @endcode

namespace daisystream::cli
{

/// Values of the flags.
struct Options
{
    std::optional<SocketAddress> platform;
    std::vector<SocketAddress> vms;       ///< Callers' addresses, tried in turn.
    std::vector<SocketAddress> operators; ///< Operators' addresses, tried in turn.
    std::string key;                      ///< Bearer key of a caller.
    std::string model;
    std::string file;                     ///< "-": standard input.
    std::optional<std::uint64_t> base;    ///< Version that an edit was made from.
    std::optional<std::uint64_t> version; ///< Version to show.
    std::uint32_t maxTokens = 0;
    bool json = false;
};

/// Where a command runs and what it writes to.
struct Context
{
    boost::asio::io_context &io;
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
};

/// `plans|limits show|edit|apply|history`.
/// @param list "plans" or "limits".
[[nodiscard]] int
runListCommand(const std::string &list, const std::vector<std::string> &arguments, const Options &options, Context &context, boost::asio::yield_context yield);

/// `endpoints list|drain|restore`.
[[nodiscard]] int runEndpointsCommand(const std::vector<std::string> &arguments, const Options &options, Context &context, boost::asio::yield_context yield);

/// `status`.
[[nodiscard]] int runStatusCommand(const Options &options, Context &context, boost::asio::yield_context yield);

/// `ask PROMPT`.
[[nodiscard]] int runAskCommand(const std::vector<std::string> &arguments, const Options &options, Context &context, boost::asio::yield_context yield);

/// `order SERVICE PATH`.
[[nodiscard]] int runOrderCommand(const std::vector<std::string> &arguments, const Options &options, Context &context, boost::asio::yield_context yield);

} // namespace daisystream::cli
