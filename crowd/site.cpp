#include "crowd/site.h"

#include "crowd/clientload.h"
#include "deploy/standins/fleetconfiguration.h"
#include "platform/names.h"
#include "scenarios/httpcall.h"
#include "scenarios/portblock.h"
#include "scenarios/process.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <stdexcept>
#include <thread>

namespace daisystream::crowd
{

using nlohmann::json;
using scenarios::HttpCall;
using scenarios::HttpRequest;
using scenarios::Process;

namespace
{

constexpr milliseconds kStartLimit{20'000};
constexpr milliseconds kCallLimit{4'000};
constexpr milliseconds kCheckPause{50};
constexpr std::uint64_t kKilobyte = 1'024;

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// @return the row of the store that has the routes and the limits of clients.
std::string configurationRow()
{
    auto document = json::parse(standins::configurationText(soak::firstConfiguration()));
    document["limits"] = {
        {"max_header_bytes", kHeaderLimit}, {"max_body_bytes", kBodyLimit}, {"header_timeout_ms", kHeaderTime.count()}, {"idle_timeout_ms", kIdleTime.count()}};
    return json{{"table", platform::names::kConfigTable}, {"key", platform::names::kConfigKey}, {"text", document.dump()}}.dump();
}

} // namespace

class Site::Private
{
public:
    Private(std::string programFolder, std::string scratchFolder)
        : programs(std::move(programFolder))
        , scratch(std::move(scratchFolder))
        , storePort(ports.next())
        , clientPort(ports.next())
    {
    }

    void startStandIn(std::optional<Process> &process, const std::string &name, const std::vector<std::string> &arguments) const
    {
        process.emplace(programs + "/deploy/standin_fleet", arguments, scratch + "/" + name + ".log");
    }

    void startDaemon()
    {
        const json settings{{"vm", "vm1"},
                            {"zone", "a"},
                            {"listen", address(clientPort)},
                            {"listenPeers", address(ports.next())},
                            {"listenReadiness", address(ports.next())},
                            {"workers", 1},
                            {"platform", address(storePort)},
                            {"platformProtocol", "fleet"},
                            // 12 MB for clients, half of what the test allows, and 512 connections.
                            {"memoryMb", 55},
                            {"descriptors", 1024},
                            {"gateway", json::object()}};
        const std::string path = scratch + "/vm1.json";
        std::ofstream(path) << settings.dump(2);
        daemon.emplace(programs + "/daemon/daisystreamd", std::vector<std::string>{"--settings", path}, scratch + "/vm1.log");
    }

    static void waitFor(const std::string &what, const std::function<bool()> &condition)
    {
        const auto limit = std::chrono::steady_clock::now() + kStartLimit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > limit) {
                throw std::runtime_error("not reached: " + what);
            }
            std::this_thread::sleep_for(kCheckPause);
        }
    }

    [[nodiscard]] bool writeConfiguration() const
    {
        const HttpCall call(HttpRequest{.method = "POST", .port = storePort, .target = "/standin/row", .headers = {}, .body = configurationRow()});
        return call.waitFinished(kCallLimit) && call.status() == 200;
    }

    [[nodiscard]] int ask()
    {
        const HttpCall call(HttpRequest{
            .method = "POST",
            .port = clientPort,
            .target = "/lookup/normal",
            .headers = {{"Host", "soak.example"}, {platform::names::kKey, "key-cafe"}, {platform::names::kAttempt, "normal-" + std::to_string(++requests)}},
            .body = "{}"});
        return call.waitFinished(kCallLimit) ? call.status() : 0;
    }

    const std::string programs;
    const std::string scratch;
    scenarios::PortBlock ports;
    const std::uint16_t storePort;
    const std::uint16_t clientPort;
    unsigned requests = 0;
    std::optional<Process> store;
    std::optional<Process> endpoint;
    std::optional<Process> daemon;
};

Site::Site(std::string programs, std::string scratch)
    : d_(std::make_unique<Private>(std::move(programs), std::move(scratch)))
{
}

Site::~Site() = default;

void Site::start()
{
    const auto storePort = std::to_string(d_->storePort);
    d_->startStandIn(d_->store, "store", {"--role", "store", "--port", storePort});
    Private::waitFor("the store takes the configuration", [this] { return d_->writeConfiguration(); });
    const auto endpointPort = std::to_string(d_->ports.next());
    d_->startStandIn(
        d_->endpoint, "desk1", {"--role", "service", "--name", "desk1", "--service", soak::kDeskService, "--port", endpointPort, "--store_port", storePort});
    d_->startDaemon();
    Private::waitFor("a request is served", [this] { return d_->ask() == 200; });
}

std::uint16_t Site::port() const
{
    return d_->clientPort;
}

bool Site::isRunning()
{
    return d_->daemon && d_->daemon->running();
}

Usage Site::usage() const
{
    Usage usage;
    const std::string folder = "/proc/" + std::to_string(d_->daemon->id());
    std::ifstream status(folder + "/status");
    for (std::string word; status >> word;) {
        if (word == "RssAnon:") {
            status >> usage.memoryBytes;
            usage.memoryBytes *= kKilobyte;
            break;
        }
    }
    std::error_code error;
    for (std::filesystem::directory_iterator entry(folder + "/fd", error), end; !error && entry != end; entry.increment(error)) {
        ++usage.descriptors;
    }
    return usage;
}

int Site::ask()
{
    return d_->ask();
}

} // namespace daisystream::crowd
