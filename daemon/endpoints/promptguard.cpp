#include "daemon/endpoints/promptguard.h"

#include "daemon/http/responsereader.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace daisystream
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace
{

// How often what is blocked is repeated to the other VMs.
constexpr milliseconds kRepeatInterval{2000};
// An engine that runs answers a probe within this time.
constexpr milliseconds kProbeTimeout{400};
// Limit of the header of the answer to a probe.
constexpr std::size_t kProbeBufferBytes = 65536;
// No trial is due before this time, and a caller that comes back at once would only be refused again.
constexpr milliseconds kMinRetryAfter{100};

/// @return whether a process answers at the address of an engine, even if its response is malformed.
bool answers(const EndpointSettings &engine, const std::string &target, asio::yield_context yield)
{
    boost::system::error_code error;
    beast::tcp_stream stream(yield.get_executor());
    stream.expires_after(kProbeTimeout);
    const auto ip = asio::ip::make_address(engine.address.ip, error);
    if (!error) {
        stream.async_connect(asio::ip::tcp::endpoint(ip, engine.address.port), yield[error]);
    }
    if (error) {
        return false;
    }
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, "engine");
    request.keep_alive(false);
    if (!engine.authorizationHeader.empty()) {
        request.set(http::field::authorization, engine.authorizationHeader);
    }
    http::async_write(stream, request, yield[error]);
    ResponseReader reader(request.method(), {.unparsedBytes = kProbeBufferBytes});
    if (!error) {
        error = reader.readHeader(stream, yield);
    }
    return !error || isMalformed(error);
}

} // namespace

class PromptGuard::Private : public std::enable_shared_from_this<Private>
{
public:
    /// A request that failed at an engine.
    struct Failure
    {
        std::vector<PartId> parts;
        TimePoint sentAt;
        TimePoint failedAt;
    };

    Private(asio::io_context &context, VmId vm, const Clock &source, Metrics &metrics, std::string target, std::uint64_t seed)
        : io(context)
        , clock(source)
        , probeTarget(std::move(target))
        , crashes(metrics.counter("daisystream_engine_crashes_total", "Requests that had not begun at an engine that crashed."))
        , refused(metrics.counter("daisystream_quarantine_refused_total", "Requests refused because of a part of their prompts that crashes engines."))
        , trials(metrics.counter("daisystream_quarantine_trials_total", "Requests let through to find out whether a part still crashes engines."))
        , blocked(metrics.gauge("daisystream_quarantined_parts", "Parts of prompts that are blocked."))
        , quarantine(std::move(vm), Random(seed))
        , timer(context)
    {
    }

    /// Calls a function with the quarantine and the current time under the lock.
    template<class Function>
    auto locked(Function function)
    {
        const std::lock_guard lock(mutex);
        return function(quarantine, clock.now());
    }

    /// Logs what has changed and tells the other VMs what is due. Called without the lock.
    void publish()
    {
        std::vector<PartChange> changes;
        QuarantineNews news;
        std::vector<std::shared_ptr<std::function<void()>>> called;
        {
            const std::lock_guard lock(mutex);
            changes = quarantine.takeChanges();
            news = quarantine.takeNews(clock.now());
            blocked.set(static_cast<double>(quarantine.blockedParts()));
            if (std::any_of(changes.begin(), changes.end(), [](const PartChange &change) { return change.isBlocked; })) {
                std::erase_if(watches, [](const auto &watch) { return watch.expired(); });
                for (const auto &weak : watches) {
                    called.push_back(weak.lock());
                }
            }
        }
        for (const auto &change : changes) {
            LOG(INFO) << (change.isBlocked ? "event=part_blocked" : "event=part_cleared") << " part=" << std::hex << change.part << std::dec
                      << " crashes=" << change.crashes << " for_ms=" << std::chrono::duration_cast<milliseconds>(change.blockedFor).count();
        }
        if (!news.empty() && announcer) {
            announcer(news);
        }
        for (const auto &watch : called) {
            if (watch) {
                (*watch)();
            }
        }
        schedule();
    }

    /// Starts the timer for news that are due later, unless it runs.
    void schedule()
    {
        const std::lock_guard lock(mutex);
        const auto next = quarantine.nextNews();
        if (timerRuns || !next) {
            return;
        }
        timerRuns = true;
        timer.expires_after(std::max(*next - clock.now(), Duration::zero()));
        timer.async_wait([weak = weak_from_this()](const boost::system::error_code &cancelled) {
            const auto self = weak.lock();
            if (cancelled || !self) {
                return;
            }
            {
                const std::lock_guard inner(self->mutex);
                self->timerRuns = false;
            }
            self->publish();
        });
    }

    void probe(const EndpointSettings &engine, Failure failure)
    {
        {
            const std::lock_guard lock(mutex);
            auto &waiting = probed[engine.id];
            waiting.push_back(std::move(failure));
            if (waiting.size() > 1) {
                return; // The request that is under way tells for all.
            }
        }
        asio::spawn(
            asio::make_strand(io),
            [self = shared_from_this(), engine](asio::yield_context yield) {
                const bool isAlive = answers(engine, self->probeTarget, yield);
                std::vector<Failure> failures;
                {
                    const std::lock_guard lock(self->mutex);
                    failures = std::move(self->probed[engine.id]);
                    self->probed.erase(engine.id);
                    for (const auto &failure : failures) {
                        if (!isAlive) {
                            self->quarantine.onCrash(engine.id, failure.parts, failure.sentAt, failure.failedAt, self->clock.now());
                        }
                    }
                }
                LOG(INFO) << "event=engine_probed endpoint=" << engine.id << " alive=" << (isAlive ? "true" : "false") << " failed=" << failures.size();
                if (!isAlive) {
                    self->crashes.add(failures.size());
                    self->publish();
                }
            },
            asio::detached);
    }

    /// @return the error for the caller of a request that is not sent.
    [[nodiscard]] static std::optional<Error> refusalOf(const PartVerdict &verdict)
    {
        const auto *block = std::get_if<PartBlocked>(&verdict);
        if (block == nullptr) {
            return std::nullopt;
        }
        return Error{ResultCode::PromptQuarantined,
                     "engines crashed under requests with a part of this prompt",
                     std::max(kMinRetryAfter, std::chrono::ceil<milliseconds>(block->retryAfter))};
    }

    asio::io_context &io;
    const Clock &clock;
    const std::string probeTarget;
    Counter &crashes;
    Counter &refused;
    Counter &trials;
    Gauge &blocked;
    std::function<void(const QuarantineNews &)> announcer;

    std::mutex mutex; // Position 5 in the lock order.
    PartQuarantine quarantine;
    std::map<EndpointId, std::vector<Failure>> probed; ///< Requests that wait for the reply of the engine at which they failed.
    std::vector<std::weak_ptr<std::function<void()>>> watches;
    bool timerRuns = false;
    asio::steady_timer timer;
};

PromptGuard::PromptGuard(asio::io_context &io, const VmId &self, const Clock &clock, Metrics &metrics, std::string probeTarget, std::uint64_t seed)
    : d_(std::make_shared<Private>(io, self, clock, metrics, std::move(probeTarget), seed))
{
}

PromptGuard::~PromptGuard() = default;

void PromptGuard::setAnnouncer(std::function<void(const QuarantineNews &)> announcer)
{
    d_->announcer = std::move(announcer);
}

void PromptGuard::start()
{
    asio::spawn(
        d_->io,
        [weak = std::weak_ptr(d_), &io = d_->io](asio::yield_context yield) {
            asio::steady_timer pause(io);
            boost::system::error_code error;
            for (unsigned ticks = 1;; ++ticks) {
                pause.expires_after(kTickInterval);
                pause.async_wait(yield[error]);
                const auto self = weak.lock();
                if (error || !self) {
                    return;
                }
                self->locked([](PartQuarantine &quarantine, TimePoint now) { quarantine.tick(now); });
                if (ticks % (kRepeatInterval / kTickInterval) != 0) {
                    continue;
                }
                const auto news = self->locked([](PartQuarantine &quarantine, TimePoint now) { return quarantine.repeatedNews(now); });
                if (!news.empty() && self->announcer) {
                    self->announcer(news);
                }
                self->publish();
            }
        },
        asio::detached);
}

void PromptGuard::setVms(const std::vector<VmId> &live)
{
    d_->locked([&](PartQuarantine &quarantine, TimePoint) { quarantine.setVms(live); });
    d_->schedule();
}

void PromptGuard::onNews(const QuarantineNews &news)
{
    d_->locked([&](PartQuarantine &quarantine, TimePoint now) { quarantine.onNews(news, now); });
    d_->publish();
}

Result<PartsAdmitted> PromptGuard::admit(const std::vector<PartId> &parts)
{
    if (parts.empty()) {
        return PartsAdmitted{};
    }
    const auto verdict = d_->locked([&](PartQuarantine &quarantine, TimePoint now) { return quarantine.admit(parts, now); });
    if (auto refusal = Private::refusalOf(verdict)) {
        d_->refused.add(1);
        return *std::move(refusal);
    }
    const auto admitted = std::get<PartsAdmitted>(verdict);
    if (admitted.isTrial) {
        d_->trials.add(1);
        d_->publish();
    }
    return admitted;
}

std::optional<Error> PromptGuard::check(const std::vector<PartId> &parts) const
{
    auto refusal = Private::refusalOf(d_->locked([&](PartQuarantine &quarantine, TimePoint now) { return quarantine.check(parts, now); }));
    if (refusal) {
        d_->refused.add(1);
    }
    return refusal;
}

bool PromptGuard::mayRepeat(const std::vector<PartId> &parts, const EndpointId &failed) const
{
    return d_->locked([&](PartQuarantine &quarantine, TimePoint) { return quarantine.mayRepeat(parts, failed); });
}

void PromptGuard::onFailed(const EndpointSettings &engine, const std::vector<PartId> &parts, TimePoint sentAt)
{
    if (!parts.empty()) {
        d_->probe(engine, {.parts = parts, .sentAt = sentAt, .failedAt = d_->clock.now()});
    }
}

void PromptGuard::onBegun(const std::vector<PartId> &parts, TimePoint sentAt)
{
    if (!parts.empty()) {
        d_->locked([&](PartQuarantine &quarantine, TimePoint now) { quarantine.onBegun(parts, sentAt, now); });
        d_->publish();
    }
}

std::shared_ptr<void> PromptGuard::watchBlocks(std::function<void()> onBlocked)
{
    auto watch = std::make_shared<std::function<void()>>(std::move(onBlocked));
    const std::lock_guard lock(d_->mutex);
    std::erase_if(d_->watches, [](const auto &entry) { return entry.expired(); });
    d_->watches.push_back(watch);
    return watch;
}

} // namespace daisystream
