#include "cli/commands.h"
#include "cli/exitcodes.h"
#include "cli/explain.h"

#include <boost/asio/detached.hpp>
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

DEFINE_string(platform, "", "address of the platform (ip:port)");
DEFINE_string(vms, "", "addresses of one or more VMs that callers connect to, separated by commas");
DEFINE_string(operators, "", "addresses of one or more VMs that operators connect to, separated by commas");
DEFINE_string(key, "", "bearer key of a caller; without it the environment variable DAISYSTREAM_KEY is used");
DEFINE_string(model, "assistant", "model that generates the answer");
DEFINE_string(file, "", "file with the new text or the order's body, - for standard input");
DEFINE_int64(base, -1, "version of the list that the new text was made from");
DEFINE_int64(at, -1, "version of the list to show");
DEFINE_uint32(max_tokens, 0, "longest answer in tokens, 0 for the plan's limit");
DEFINE_bool(json, false, "print JSON");

namespace
{

using namespace daisystream;
using namespace daisystream::cli;

constexpr const char *kUsage = R"(daisystream: operate the system and call it.

  daisystream plans|limits show [--at N]            print a list; its version goes to standard error
  daisystream plans|limits edit --base N [--file F] replace version N by the text of F or of standard input
  daisystream plans|limits apply FILE               replace the version in force by the text of FILE
  daisystream plans|limits history                  print versions and their changes
  daisystream endpoints list | drain ID... | restore ID...
  daisystream status                                owners of cells, versions in force per VM, load per rank and team
  daisystream ask PROMPT                            print an answer as it arrives; resume it after a lost connection
  daisystream order SERVICE /PATH [--file BODY]     fetch a ticket and send an order
  daisystream explain ID [LOG...]                   history of one request and cause of its failure, from the logs of all VMs

Examples:
  daisystream --platform 10.0.0.9:9100 plans show >plans.json       # prints "plans version 7" on standard error
  daisystream --platform 10.0.0.9:9100 plans edit --base 7 --file plans.json
  daisystream --platform 10.0.0.9:9100 --operators 10.0.1.1:7300 endpoints drain engine-3
  daisystream --operators 10.0.1.1:7300,10.0.1.2:7300 status --json
  daisystream --vms 10.0.1.1:8080,10.0.1.2:8080 --key ds_k1_secret ask "What is the weather on the trail?"
  daisystream --vms 10.0.1.1:8080 order booking /seats --file order.json
  daisystream explain 9c41d07be2a35f68 vm1.log vm2.log

Exit codes: 0 done, 1 failure, 2 usage, 3 text not valid, 4 another change took precedence, 5 not reachable and nothing
changed, 6 outcome unknown, 7 answer incomplete, 8 not run.
)";

/// Appends comma-separated addresses to `addresses`.
/// @return false if one is not valid; a message was printed.
bool parseAddresses(const std::string &text, std::vector<SocketAddress> &addresses)
{
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ',')) {
        const auto address = parseSocketAddress(part);
        if (!address) {
            std::cerr << part << " is not an address such as 127.0.0.1:8080\n";
            return false;
        }
        addresses.push_back(*address);
    }
    return true;
}

/// Reads the flags and the environment.
/// @return false if a flag is not valid; a message was printed.
bool readOptions(Options &options)
{
    std::vector<SocketAddress> platform;
    if (!parseAddresses(FLAGS_platform, platform) || !parseAddresses(FLAGS_vms, options.vmAddresses)
        || !parseAddresses(FLAGS_operators, options.operatorAddresses)) {
        return false;
    }
    if (!platform.empty()) {
        options.platform = platform.front();
    }
    const char *key = std::getenv("DAISYSTREAM_KEY");
    options.key = FLAGS_key.empty() && key != nullptr ? key : FLAGS_key;
    options.model = FLAGS_model;
    options.file = FLAGS_file;
    options.maxTokens = FLAGS_max_tokens;
    options.json = FLAGS_json;
    if (FLAGS_base >= 0) {
        options.baseVersion = static_cast<std::uint64_t>(FLAGS_base);
    }
    if (FLAGS_at >= 0) {
        options.version = static_cast<std::uint64_t>(FLAGS_at);
    }
    return true;
}

int run(const std::string &command, const std::vector<std::string> &arguments, const Options &options, Context &context, boost::asio::yield_context yield)
{
    if (command == "plans" || command == "limits") {
        return runListCommand(command, arguments, options, context, yield);
    }
    if (command == "endpoints") {
        return runEndpointsCommand(arguments, options, context, yield);
    }
    if (command == "status" && arguments.empty()) {
        return runStatusCommand(options, context, yield);
    }
    if (command == "explain" && !arguments.empty()) {
        return runExplainCommand(arguments.front(), {arguments.begin() + 1, arguments.end()}, options.json, context.in, context.out, context.err);
    }
    if (command == "ask") {
        return runAskCommand(arguments, options, context, yield);
    }
    if (command == "order") {
        return runOrderCommand(arguments, options, context, yield);
    }
    context.err << kUsage;
    return Usage;
}

} // namespace

int main(int argc, char **argv)
try {
    gflags::SetUsageMessage(kUsage);
    for (int i = 1; i < argc; ++i) {
        if (std::string_view(argv[i]) == "--help") {
            std::cout << kUsage;
            return Success;
        }
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Options options;
    if (!readOptions(options)) {
        return Usage;
    }
    const std::string command = argc > 1 ? argv[1] : "";
    std::vector<std::string> arguments;
    for (int i = 2; i < argc; ++i) {
        arguments.emplace_back(argv[i]);
    }
    boost::asio::io_context io;
    Context context{.io = io, .in = std::cin, .out = std::cout, .err = std::cerr};
    int code = Failure;
    boost::asio::spawn(
        io,
        [&](boost::asio::yield_context yield) { code = run(command, arguments, options, context, yield); },
        [](const std::exception_ptr &error) {
            if (error) {
                std::rethrow_exception(error);
            }
        });
    io.run();
    return code;
} catch (const std::exception &error) {
    std::cerr << error.what() << '\n';
    return daisystream::cli::Failure;
}
