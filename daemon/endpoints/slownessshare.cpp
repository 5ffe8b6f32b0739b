#include "daemon/endpoints/slownessshare.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <mutex>

namespace daisystream
{

namespace asio = boost::asio;

class SlownessShare::Private : public std::enable_shared_from_this<SlownessShare::Private>
{
public:
    Private(asio::io_context &io, const VmId &self, const Clock &source, Metrics &metrics, Sender send)
        : clock(source)
        , sender(std::move(send))
        , sent(metrics.counter("daisystream_slowness_reports_total", "Reported slowness of endpoints that was sent to the collecting VM."))
        , announced(metrics.counter("daisystream_slowness_news_total", "Changes of the slowness of endpoints that this VM announced to all VMs."))
        , collector(self)
        , strand(asio::make_strand(io))
        , timer(strand)
    {
    }

    /// Calls a function with the current time under the lock.
    template<class Change>
    auto locked(Change change)
    {
        const std::lock_guard lock(mutex);
        return change(clock.now());
    }

    /// Announces what is due, and waits for what is due later.
    void announceDue()
    {
        const auto news = locked([&](TimePoint now) { return collector.takeNews(now); });
        if (!news.empty() && announcer) {
            announced.add(news.size());
            announcer(news);
        }
        const auto wait = locked([&](TimePoint now) -> std::optional<Duration> {
            const auto next = collector.nextNews();
            if (!next || isWaiting) {
                return std::nullopt;
            }
            isWaiting = true;
            return std::max(*next - now, Duration::zero());
        });
        if (wait) {
            asio::post(strand, [self = shared_from_this(), wait = *wait] {
                self->timer.expires_after(wait);
                self->timer.async_wait([weak = self->weak_from_this()](const boost::system::error_code &error) {
                    const auto share = weak.lock();
                    if (error || !share) {
                        return;
                    }
                    share->locked([&](TimePoint) { share->isWaiting = false; });
                    share->announceDue();
                });
            });
        }
    }

    const Clock &clock;
    const Sender sender;
    Counter &sent;
    Counter &announced;
    std::function<void(const std::vector<SlownessReport> &)> announcer;
    std::function<void(const SlownessReport &)> handler;
    std::mutex mutex;
    SlownessCollector collector; ///< Guarded by `mutex`, like `isWaiting`.
    bool isWaiting = false;      ///< The timer is set.
    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer; ///< Used on `strand`.
};

SlownessShare::SlownessShare(asio::io_context &io, const VmId &self, const Clock &clock, Metrics &metrics, Sender sender)
    : d_(std::make_shared<Private>(io, self, clock, metrics, std::move(sender)))
{
}

SlownessShare::~SlownessShare() = default;

void SlownessShare::setAnnouncer(std::function<void(const std::vector<SlownessReport> &)> announcer)
{
    d_->announcer = std::move(announcer);
}

void SlownessShare::setHandler(std::function<void(const SlownessReport &)> handler)
{
    d_->handler = std::move(handler);
}

void SlownessShare::setVms(const std::vector<VmId> &live)
{
    d_->locked([&](TimePoint) { d_->collector.setVms(live); });
}

void SlownessShare::setEndpoints(const std::vector<EndpointId> &endpoints)
{
    d_->locked([&](TimePoint) { d_->collector.retain(endpoints); });
}

void SlownessShare::onRead(const SlownessReport &report)
{
    const auto to = d_->locked([&](TimePoint now) { return d_->collector.onRead(report, now); });
    if (!to) {
        d_->announceDue();
        return;
    }
    // A report that is lost is sent again when the slowness has changed or what this VM knew of it has expired.
    if (d_->sender(*to, SlownessMessage{report})) {
        d_->sent.add(1);
    }
}

void SlownessShare::onMessage(const PeerMessage &message)
{
    const auto *slowness = std::get_if<SlownessMessage>(&message);
    if (slowness == nullptr) {
        return;
    }
    d_->locked([&](TimePoint now) { d_->collector.onReport(slowness->report, now); });
    if (d_->handler) {
        d_->handler(slowness->report);
    }
    d_->announceDue();
}

void SlownessShare::onNews(const std::vector<SlownessReport> &reports)
{
    for (const auto &report : reports) {
        d_->locked([&](TimePoint now) { d_->collector.onNews(report, now); });
        if (d_->handler) {
            d_->handler(report);
        }
    }
}

} // namespace daisystream
