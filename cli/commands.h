#pragma once

#include "daemon/control/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The commands of the command-line tool, except `explain`. Each command runs in a coroutine, writes to the given streams
/// and returns the exit code.
///
/// Example:
/// @code
///   const int code = runListCommand("plans", {"show"}, options, context, yield);
/// @endcode

namespace daisystream::cli
{

/// Values of the command-line flags.
struct Options
{
    std::optional<SocketAddress> platform;        ///< Address of the platform.
    std::vector<SocketAddress> vmAddresses;       ///< Addresses at which VMs accept requests of callers, tried in turn.
    std::vector<SocketAddress> operatorAddresses; ///< Addresses at which VMs accept requests of operators, tried in turn.
    std::string key;                              ///< Bearer key of a caller.
    std::string model;                            ///< Model that is asked.
    std::string file;                             ///< File with the new list or the body of an order; "-" for standard input.
    std::optional<std::uint64_t> baseVersion;     ///< Version of the list that the new text was made from.
    std::optional<std::uint64_t> version;         ///< Version of the list to show; if not set, the one in force.
    std::uint32_t maxTokens = 0;                  ///< Longest answer in tokens; 0 for the limit of the plan.
    bool json = false;                            ///< Print JSON instead of text.
};

/// The event loop and the streams of a command.
struct Context
{
    boost::asio::io_context &io;
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
};

/// Runs `plans|limits show|edit|apply|history`: prints or replaces a list on the platform.
/// @param list "plans" or "limits".
/// @param arguments the action, followed by a file name for `apply`.
/// @return the exit code.
[[nodiscard]] int
runListCommand(const std::string &list, const std::vector<std::string> &arguments, const Options &options, Context &context, boost::asio::yield_context yield);

/// Runs `endpoints list|drain|restore`: prints the endpoints, takes some out of service or puts them back.
/// @param arguments the action, followed by the ids of endpoints.
/// @return the exit code.
[[nodiscard]] int runEndpointsCommand(const std::vector<std::string> &arguments, const Options &options, Context &context, boost::asio::yield_context yield);

/// Runs `status`: prints the status that the first reachable VM reports.
/// @return the exit code.
[[nodiscard]] int runStatusCommand(const Options &options, Context &context, boost::asio::yield_context yield);

/// Runs `ask PROMPT`: prints an answer while it is generated.
/// @param arguments the prompt.
/// @return the exit code.
[[nodiscard]] int runAskCommand(const std::vector<std::string> &arguments, const Options &options, Context &context, boost::asio::yield_context yield);

/// Runs `order SERVICE PATH`: fetches a ticket and sends an order with it.
/// @param arguments the service and the path.
/// @return the exit code.
[[nodiscard]] int runOrderCommand(const std::vector<std::string> &arguments, const Options &options, Context &context, boost::asio::yield_context yield);

} // namespace daisystream::cli
