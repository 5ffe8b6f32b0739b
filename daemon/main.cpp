#include "daemon/control/bootclock.h"
#include "daemon/control/controlplane.h"
#include "daemon/control/settings.h"
#include "daemon/frontend/httpfrontend.h"
#include "daemon/frontend/tlscontext.h"
#include "daemon/gateway/gatewaycontext.h"
#include "daemon/status/logoutput.h"
#include "daemon/status/operatorapi.h"
#include "daemon/store/orderrecords.h"

#include "platform/adapter.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <random>
#include <thread>
#include <vector>

DEFINE_string(settings, "", "path of the settings file (JSON with comments)");
DEFINE_bool(check, false, "only check the settings file and exit");

namespace
{

namespace asio = boost::asio;
using namespace daisystream;

// Documented in docs/settings.md.
// Larger blocks, which are bodies of requests and responses, go back to the system when they are freed.
constexpr int kMappedBlockBytes = 131'072;
constexpr int kExitFailure = 1;
constexpr int kExitInvalidSettings = 2;
constexpr int kExitCannotStart = 3;

constexpr auto kShutdownCheck = std::chrono::milliseconds(50);
constexpr auto kCertificateCheck = std::chrono::seconds(10);
// The balancer asks every second and stops after two refusals.
constexpr auto kRotationTime = std::chrono::milliseconds(3200);
// Leaves time for messages to other VMs, such as the last Done, to be sent before connections are closed.
constexpr auto kLastLinesTime = std::chrono::milliseconds(200);
constexpr auto kFarewellTime = std::chrono::milliseconds(200);
// Before the platform kills the process, so that its last lines of log are written.
constexpr auto kKillMargin = std::chrono::milliseconds(250);
// For breaking off the answers that are still running.
constexpr auto kCutTime = std::chrono::milliseconds(50);

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Rises with each start, because VMs keep no state and their clocks are set.
std::uint64_t makeIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

/// @return the memory and the descriptors of the machine, where the settings do not state those of the VM.
MachineLimits machineLimits()
{
    MachineLimits limits;
    limits.memoryBytes = static_cast<std::uint64_t>(::sysconf(_SC_PHYS_PAGES)) * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
    rlimit descriptors{};
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0) {
        limits.descriptors = descriptors.rlim_cur;
    }
    return limits;
}

FrontendOptions toOptions(const Settings &settings)
{
    const CallerResourceLimits &bounds = settings.callers;
    const auto total = totalCallerLimits(settings, machineLimits());
    FrontendOptions options;
    options.memoryBytes = total.memoryBytes;
    options.maxConnections = total.connections;
    options.fieldLimit = bounds.fields;
    options.receiveBufferBytes = static_cast<int>(bounds.receiveBufferBytes);
    options.bodyStallTimeout = bounds.bodyStallTime;
    options.bodyBytesPerSecond = bounds.bodyBytesPerSecond;
    options.headerLimitBytes = bounds.headerBytes;
    options.bodyLimitBytes = bounds.bodyBytes;
    options.idleTimeout = bounds.idleTime;
    options.headerTimeout = bounds.headerTime;
    options.bodyTimeout = bounds.bodyTime;
    options.writeTimeout = bounds.writeTime;
    options.resumeWindow = bounds.resumeWindow;
    options.serviceTimeout = bounds.serviceTime;
    return options;
}

/// @return the adapter that the settings name, nothing if there is none of that name.
std::optional<PlatformAdapter> adapterOf(const Settings &settings)
{
    if (settings.platformProtocol == platform::kProtocol) {
        return platform::adapter();
    }
    return settings.platformProtocol == "own" ? std::optional(PlatformAdapter{}) : std::nullopt;
}

/// @return the page by which the balancer learns whether this VM takes requests.
std::map<std::string, OperatorPage> readinessPages(ControlPlane &control)
{
    return {{"/readyz", {"text/plain", [&control] {
                             const bool isReady = !control.lists().isStopping() && !control.lists().routeAdmission();
                             return isReady ? "ready\n" : "";
                         }}}};
}

std::map<std::string, OperatorPage> operatorPages(ControlPlane &control)
{
    return {{"/healthz",
             {"text/plain",
              [] {
                  return "ok\n";
              }}},
            {"/readyz",
             {"text/plain",
              [&control] {
                  return control.lists().admission() ? "" : "ok\n";
              }}},
            {"/metrics",
             {"text/plain; version=0.0.4",
              [&control] {
                  return control.metrics().text();
              }}},
            {"/v1/status", {"application/json", [&control] {
                                return control.status().dump();
                            }}}};
}

/// One daemon from start to the end of its graceful shutdown.
class Daemon
{
public:
    Daemon(const Settings &settings, const PlatformAdapter &adapter)
        : settings_(settings)
        , adapter_(adapter)
        , control_(io_, settings, clock_, {.seed = randomSeed(), .incarnation = makeIncarnation(), .adapter = adapter})
        , records_(control_.platform())
        , frontend_(io_,
                    settings.listen,
                    toOptions(settings),
                    {.lists = control_.lists(),
                     .dispatcher = control_.dispatcher(),
                     .peers = control_.peers(),
                     .records = records_,
                     .permits = control_.permits(),
                     .promptGuard = control_.promptGuard(),
                     .metrics = control_.metrics(),
                     .clock = clock_,
                     .seed = randomSeed(),
                     .gateway = gatewayParts()})
        , operators_(io_, clock_, operatorPages(control_))
        , readiness_(io_, clock_, readinessPages(control_))
    {
        if (auto *gateway = frontend_.gateway()) {
            control_.setEndpointHandler([gateway](const EndpointServiceChanges &changes) {
                gateway->onInService(changes.begun);
                if (!changes.ended.empty()) {
                    gateway->announceLeaving(changes.ended);
                }
            });
            gateway->setLeavingHandler([this](const EndpointId &endpoint) { control_.onEndpointLeaving(endpoint); });
            control_.setLoadPollHandlers([gateway](const EndpointId &engine) { return !gateway->isInCooldown(engine); },
                                         [gateway](const EndpointId &engine, const LoadPoller::Response &response) {
                                             // Without the time of the request, the response can only state a limit or lower it.
                                             gateway->onEndpointHeaders(engine, gateway->dialect.readEndpoint(response), TimePoint::min());
                                         });
            gateway->setContactAge([this] { return control_.monitor().view().contactAge; });
            gateway->setSlownessHandler([this](const SlownessReport &report) { control_.slowness().onRead(report); });
            control_.slowness().setHandler([gateway](const SlownessReport &report) { gateway->onSlowness(report); });
            control_.setVmHandler([gateway](std::size_t count) { gateway->setVms(count); });
        }
    }

    /// @return the exit code.
    int run()
    {
        auto error = loadCallerTls();
        if (!error) {
            error = control_.start();
        }
        if (!error) {
            error = frontend_.start();
        }
        if (!error && settings_.listenOperators) {
            error = operators_.start(*settings_.listenOperators);
        }
        if (!error && settings_.listenReadiness) {
            error = readiness_.start(*settings_.listenReadiness);
        }
        if (error) {
            LOG(ERROR) << error->detail;
            return kExitCannotStart;
        }
        LOG(INFO) << "event=started vm=" << settings_.vm << " zone=" << settings_.zone << " port=" << frontend_.port()
                  << " peer_port=" << (settings_.listenPeers ? control_.peers().port() : 0)
                  << " operator_port=" << (settings_.listenOperators ? operators_.port() : 0);
        asio::spawn(
            io_, [this](asio::yield_context yield) { shutDownOnSignal(yield); }, asio::detached);
        asio::spawn(
            io_, [this](asio::yield_context yield) { checkSettingsOnSignal(yield); }, asio::detached);
        std::vector<std::jthread> workers;
        for (unsigned i = 0; i < settings_.workers; ++i) {
            workers.emplace_back([this] { io_.run(); });
        }
        return 0;
    }

private:
    [[nodiscard]] std::optional<GatewayParts> gatewayParts()
    {
        if (!settings_.gateway || !adapter_.gateway) {
            return std::nullopt;
        }
        return GatewayParts{.dispatcher = control_.dispatcher(), .dialect = *adapter_.gateway, .settings = *settings_.gateway, .zone = settings_.zone};
    }

    std::optional<Error> loadCallerTls()
    {
        if (!settings_.callerTls) {
            return std::nullopt;
        }
        callerTls_.emplace(*settings_.callerTls);
        if (auto error = callerTls_->load()) {
            return error;
        }
        frontend_.setTls(callerTls_->current());
        asio::spawn(
            io_,
            [this](asio::yield_context yield) {
                asio::steady_timer timer(io_);
                for (;;) {
                    timer.expires_after(kCertificateCheck);
                    timer.async_wait(yield);
                    frontend_.setTls(callerTls_->current());
                }
            },
            asio::detached);
        return std::nullopt;
    }

    void shutDownOnSignal(asio::yield_context yield)
    {
        stopSignals_.async_wait(yield);
        const auto begunAt = clock_.now();
        LOG(INFO) << "event=shutdown_begun running=" << frontend_.running();
        control_.beginShutdown();
        auto *gateway = frontend_.gateway();
        const auto lastAnswer = gateway != nullptr ? gateway->beginShutdown() : TimePoint::max();
        const auto lastMoment = gateway != nullptr ? begunAt + settings_.gateway->graceTime - kKillMargin : TimePoint::max();
        asio::steady_timer timer(io_);
        if (settings_.listenReadiness) {
            // Until the balancer has noticed, new connections still come here.
            timer.expires_after(std::min<Duration>(kRotationTime, lastAnswer - clock_.now()));
            timer.async_wait(yield);
        }
        waitForAnswers(lastAnswer, timer, yield);
        frontend_.close();
        if (clock_.now() < lastAnswer) {
            timer.expires_after(kFarewellTime);
            timer.async_wait(yield);
        }
        waitForAnswers(lastMoment, timer, yield);
        if (const auto running = frontend_.running(); running > 0) {
            LOG(WARNING) << "event=shutdown_cut running=" << running << " reason=grace_time_over";
            if (gateway != nullptr) {
                gateway->cutAnswers();
            }
            timer.expires_after(kCutTime);
            timer.async_wait(yield);
        }
        control_.stop();
        LOG(INFO) << "event=shutdown_done refused=" << (gateway != nullptr ? gateway->stopRefusals() : 0);
        io_.stop();
    }

    /// Waits until no request is in progress, at most until a moment at which the process has to end.
    void waitForAnswers(TimePoint lastMoment, asio::steady_timer &timer, asio::yield_context yield)
    {
        while (frontend_.running() > 0 && clock_.now() < lastMoment) {
            timer.expires_after(kShutdownCheck);
            timer.async_wait(yield);
        }
    }

    /// Settings take effect at the next start; SIGHUP shows in the log whether the file can be used then.
    void checkSettingsOnSignal(asio::yield_context yield)
    {
        for (;;) {
            reloadSignals_.async_wait(yield);
            const auto result = readSettings(FLAGS_settings);
            const auto *fault = std::get_if<Error>(&result);
            LOG(INFO) << "event=settings_checked valid=" << (fault == nullptr) << (fault == nullptr ? "" : " reason=\"" + fault->detail + '"');
        }
    }

    const Settings settings_;
    const PlatformAdapter adapter_;
    const BootClock clock_;
    asio::io_context io_;
    // Created before any thread runs: two threads that both create their first signal set leave one without its pipe.
    asio::signal_set stopSignals_{io_, SIGTERM, SIGINT};
    asio::signal_set reloadSignals_{io_, SIGHUP};
    ControlPlane control_;
    PlatformOrderRecords records_;
    HttpFrontend frontend_;
    OperatorApi operators_;
    OperatorApi readiness_;
    std::optional<TlsContexts> callerTls_;
};

} // namespace

int main(int argc, char **argv)
try {
    gflags::SetUsageMessage("daisystreamd --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    // By default the allocator raises this threshold up to 32 MB, after which freed bodies stay in the heap.
    ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
    const auto result = readSettings(FLAGS_settings);
    if (const auto *error = std::get_if<Error>(&result)) {
        std::fprintf(stderr, "%s\n", error->detail.c_str());
        return kExitInvalidSettings;
    }
    if (FLAGS_check) {
        return 0;
    }
    const auto &settings = std::get<Settings>(result);
    const auto adapter = adapterOf(settings);
    if (!adapter) {
        std::fprintf(stderr, "%s: platformProtocol: \"%s\" is not a known protocol\n", FLAGS_settings.c_str(), settings.platformProtocol.c_str());
        return kExitInvalidSettings;
    }
    const BootClock clock;
    LogOutput output({.vm = settings.vm.value()}, clock);
    Daemon daemon(settings, *adapter);
    const int status = daemon.run();
    LOG(INFO) << "event=stopped status=" << status << " dropped=" << output.dropped() << " left_out=" << output.leftOut();
    output.drain(kLastLinesTime);
    // Suspended coroutines of the event loop refer to members that would be destroyed before it. All threads have ended and
    // there is nothing to save, so that the process ends without destroying them.
    std::_Exit(status);
} catch (const std::exception &fault) {
    std::fprintf(stderr, "daisystreamd: %s\n", fault.what());
    return kExitFailure;
}
