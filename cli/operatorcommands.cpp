#include "cli/commands.h"
#include "cli/exitcodes.h"
#include "cli/httpcall.h"

#include "daemon/store/platformclient.h"
#include "daisystream/lists/endpointstates.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

namespace daisystream::cli
{

namespace asio = boost::asio;
using nlohmann::json;

namespace
{

constexpr auto kRetryDelay = std::chrono::milliseconds(300);

/// @return the status that the first reachable VM reports, or nothing if none does; each failure was printed.
std::optional<json> fetchStatus(const Options &options, Context &context, asio::yield_context yield)
{
    for (const auto &address : options.operatorAddresses) {
        const auto reply = httpCall(context.io, address, HttpCall{.method = "GET", .target = "/v1/status"}, yield);
        const json status = reply.status == 200 ? json::parse(reply.body, nullptr, false) : json();
        if (status.is_object()) {
            return status;
        }
        context.err << toString(address) << ": " << (reply.reason.empty() ? "status " + std::to_string(reply.status) : reply.reason) << '\n';
    }
    return std::nullopt;
}

void printStatus(const json &status, std::ostream &out)
{
    out << "asked " << status.value("vm", "") << ", admission " << status.value("admission", "") << "\n\nVM            state      versions in force\n";
    for (const auto &vm : status.value("vms", json::array())) {
        out << std::left << std::setw(14) << vm.value("vm", "") << std::setw(11) << vm.value("state", "");
        for (const auto &[name, version] : vm.value("versions", json::object()).items()) {
            out << name << '=' << version << ' ';
        }
        out << '\n';
    }
    out << "\ncell                    owner\n";
    for (const auto &cell : status.value("cells", json::array())) {
        out << std::left << std::setw(24) << cell.value("cell", "") << cell.value("owner", "") << '\n';
    }
    out << "\nrank       team                    queued  running (cells that this VM owns)\n";
    for (const auto &load : status.value("load", json::array())) {
        out << std::left << std::setw(11) << load.value("rank", "") << std::setw(24) << load.value("team", "") << std::setw(8) << load.value("queued", 0)
            << load.value("running", 0) << '\n';
    }
}

int listEndpoints(const Options &options, Context &context, asio::yield_context yield)
{
    const auto status = fetchStatus(options, context, yield);
    if (!status) {
        context.err << "no VM can be reached; --operators must have the addresses of VMs for operators\n";
        return Unavailable;
    }
    const json endpoints = status->value("endpoints", json::array());
    if (options.json) {
        context.out << endpoints.dump(2) << '\n';
        return Success;
    }
    for (const auto &endpoint : endpoints) {
        context.out << std::left << std::setw(24) << endpoint.value("id", "") << std::setw(9) << endpoint.value("kind", "") << std::setw(16)
                    << endpoint.value("runs", "") << endpoint.value("state", "") << '\n';
    }
    return Success;
}

/// @return whether the status of a VM has every endpoint; also true if no VM reported its status, so that the ids could
/// not be checked.
bool areKnownEndpoints(const std::vector<EndpointId> &ids, const Options &options, Context &context, asio::yield_context yield)
{
    const auto status = options.operatorAddresses.empty() ? std::nullopt : fetchStatus(options, context, yield);
    if (!status) {
        return true;
    }
    bool known = true;
    const json endpoints = status->value("endpoints", json::array());
    for (const auto &id : ids) {
        if (std::none_of(endpoints.begin(), endpoints.end(), [&](const json &endpoint) { return endpoint.value("id", "") == id.value(); })) {
            context.err << id << " is not an endpoint\n";
            known = false;
        }
    }
    return known;
}

/// Writes the new states of endpoints to the platform and retries after failures.
/// @return the exit code.
int changeEndpoints(const EndpointStateChange &change, const Options &options, Context &context, asio::yield_context yield)
{
    PlatformClient platform(context.io, options.platform);
    std::random_device device;
    std::ostringstream changeId;
    changeId << "e-" << std::hex << device() << device();
    EndpointStateEdit edit(change, changeId.str());
    EndpointStateStep step = edit.start();
    while (const auto *action = std::get_if<TableAction>(&step)) {
        const TableReply reply = platform.perform(*action, yield);
        if (std::holds_alternative<TableNoReply>(reply) || std::holds_alternative<TableRefused>(reply)) {
            asio::steady_timer timer(context.io, kRetryDelay);
            timer.async_wait(yield);
        }
        step = edit.onReply(reply);
    }
    const auto &outcome = std::get<EndpointStateOutcome>(step);
    if (const auto *error = std::get_if<Error>(&outcome)) {
        context.err << error->detail << " (code " << static_cast<int>(error->code) << ")\n";
        return error->code == ResultCode::OutcomeOfWriteUnknown ? UnknownOutcome : Unavailable;
    }
    const auto version = std::get<std::uint64_t>(outcome);
    if (options.json) {
        context.out << json{{"version", version}, {"state", change.drain ? "draining" : "inService"}}.dump(2) << '\n';
    } else {
        context.out << (change.drain ? "draining" : "in service") << ": endpoints/state version " << version << '\n';
    }
    return Success;
}

} // namespace

int runEndpointsCommand(const std::vector<std::string> &arguments, const Options &options, Context &context, asio::yield_context yield)
{
    const std::string action = arguments.empty() ? "" : arguments[0];
    if (action == "list" && arguments.size() == 1) {
        return listEndpoints(options, context, yield);
    }
    if ((action != "drain" && action != "restore") || arguments.size() < 2) {
        context.err << "usage: daisystream endpoints list | drain ID... | restore ID...\n";
        return Usage;
    }
    if (!options.platform) {
        context.err << "--platform is missing\n";
        return Usage;
    }
    EndpointStateChange change{.endpoints = {}, .drain = action == "drain"};
    for (std::size_t i = 1; i < arguments.size(); ++i) {
        change.endpoints.emplace_back(arguments[i]);
    }
    return areKnownEndpoints(change.endpoints, options, context, yield) ? changeEndpoints(change, options, context, yield) : Usage;
}

int runStatusCommand(const Options &options, Context &context, asio::yield_context yield)
{
    if (options.operatorAddresses.empty()) {
        context.err << "--operators is missing\n";
        return Usage;
    }
    const auto status = fetchStatus(options, context, yield);
    if (!status) {
        return Unavailable;
    }
    if (options.json) {
        context.out << status->dump(2) << '\n';
    } else {
        printStatus(*status, context.out);
    }
    return Success;
}

} // namespace daisystream::cli
