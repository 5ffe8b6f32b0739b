#include "daemon/status/logoutput.h"

#include <glog/logging.h>
#include <spdlog/async_logger.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <atomic>
#include <mutex>
#include <string_view>
#include <thread>

namespace daisystream
{
namespace
{

constexpr std::size_t kWriterThreads = 1;
constexpr auto kDrainPollInterval = std::chrono::milliseconds(2);

using FileSink = spdlog::sinks::stdout_sink_base<spdlog::details::console_mutex>;

spdlog::level::level_enum levelOf(google::LogSeverity severity)
{
    switch (severity) {
    case google::GLOG_INFO:
        return spdlog::level::info;
    case google::GLOG_WARNING:
        return spdlog::level::warn;
    default:
        return spdlog::level::err;
    }
}

/// Disables glog's own output to files and standard error.
void disableGlogOutputs()
{
    FLAGS_logtostderr = false;
    FLAGS_alsologtostderr = false;
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    for (const auto severity : {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL}) {
        google::SetLogDestination(severity, "");
    }
}

} // namespace

class LogOutput::Private : public google::LogSink
{
public:
    Private(const LogOutputOptions &outputOptions, const Clock &timeSource)
        : clock(timeSource)
        , limiter(outputOptions.limits)
        , pool(std::make_shared<spdlog::details::thread_pool>(outputOptions.queueLines, kWriterThreads))
        , logger(std::make_shared<spdlog::async_logger>(
              "daisystream", std::make_shared<FileSink>(outputOptions.file), pool, spdlog::async_overflow_policy::overrun_oldest))
    {
        const std::string vm = outputOptions.vm.empty() ? "" : " vm=" + outputOptions.vm;
        logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%fZ level=%l" + vm + " %v", spdlog::pattern_time_type::utc);
        disableGlogOutputs();
        google::AddLogSink(this);
    }

    ~Private() override
    {
        google::RemoveLogSink(this);
    }

    void send(google::LogSeverity severity,
              const char * /*full_filename*/,
              const char * /*base_filename*/,
              int /*line*/,
              const google::LogMessageTime & /*time*/,
              const char *message,
              std::size_t length) override
    {
        const std::string_view line(message, length);
        std::optional<std::uint64_t> suppressedBefore;
        {
            const std::lock_guard lock(mutex);
            suppressedBefore = limiter.admit(lineKind(line), clock.now());
        }
        if (!suppressedBefore) {
            leftOut.fetch_add(1, std::memory_order_relaxed);
            return;
        }
        if (*suppressedBefore > 0) {
            logger->warn("event=lines_left_out kind={} count={}", lineKind(line), *suppressedBefore);
        }
        logger->log(levelOf(severity), spdlog::string_view_t(line.data(), line.size()));
    }

    const Clock &clock;
    std::mutex mutex; // Guards `limiter`. Last in the lock order: no other mutex is locked while it is held.
    LogRateLimiter limiter;
    std::atomic<std::uint64_t> leftOut{0};
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
};

LogOutput::LogOutput(const LogOutputOptions &options, const Clock &clock)
    : d_(std::make_unique<Private>(options, clock))
{
}

LogOutput::~LogOutput()
{
    google::RemoveLogSink(d_.get());
    if (d_->pool->queue_size() > 0) {
        // The writer thread may be blocked in a write because its reader has stopped reading, and the pool's destructor would wait for it.
        (void)d_.release();
    }
}

void LogOutput::drain(std::chrono::milliseconds longest)
{
    const auto end = std::chrono::steady_clock::now() + longest;
    while (d_->pool->queue_size() > 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(kDrainPollInterval);
    }
}

std::uint64_t LogOutput::dropped() const
{
    return d_->pool->overrun_counter();
}

std::uint64_t LogOutput::leftOut() const
{
    return d_->leftOut.load(std::memory_order_relaxed);
}

} // namespace daisystream
