#include "daemon/endpoints/permitclient.h"

#include "daisystream/base/overloaded.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <mutex>
#include <set>

namespace daisystream
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

// How often limits are repeated to the other VMs, for those that have just started.
constexpr milliseconds kRepeatInterval{2000};
// Interval of the check for issuers that have not replied.
constexpr milliseconds kExpiryCheck{20};
// Retry time when no endpoint that could be waited for has a limit any more.
constexpr milliseconds kRetryAfterChange{200};

} // namespace

class PermitClient::Private : public std::enable_shared_from_this<PermitClient::Private>
{
public:
    using Handler = std::function<void(const PermitOutcome &)>;

    Private(asio::io_context &context, VmId vm, const Clock &source, Metrics &metrics, Sender send)
        : io(context)
        , self(std::move(vm))
        , clock(source)
        , sender(std::move(send))
        , granted(metrics.counter("daisystream_permits_total", "Permits for endpoints with a request limit.", {{"outcome", "granted"}}))
        , denied(metrics.counter("daisystream_permits_total", "Permits for endpoints with a request limit.", {{"outcome", "denied"}}))
        , noReply(metrics.counter("daisystream_permit_timeouts_total", "Requests for permits without a reply of the issuer."))
        , permits(self)
        , live{self}
        , timer(context)
    {
    }

    /// Calls a function with the current time under the lock.
    template<class Change>
    auto locked(Change change)
    {
        const std::lock_guard lock(mutex);
        return change(clock.now());
    }

    /// Sends messages and calls handlers as decided. Called without the lock.
    void perform(std::vector<PermitAction> actions)
    {
        while (!actions.empty()) {
            std::vector<PermitAction> more;
            for (auto &action : actions) {
                std::visit(Overloaded{[&](const AskForPermit &ask) {
                                          if (!sender(ask.to, PermitAskMessage{ask.ask})) {
                                              auto next = locked([&](TimePoint now) { return permits.onSendFailed(ask.ask.number, now); });
                                              std::move(next.begin(), next.end(), std::back_inserter(more));
                                          }
                                      },
                                      [&](const PermitDecided &decided) {
                                          decide(decided);
                                      }},
                           action);
            }
            actions = std::move(more);
        }
    }

    void decide(const PermitDecided &decided)
    {
        (std::holds_alternative<PermitGranted>(decided.outcome) ? granted : denied).add(1);
        Handler handler;
        {
            const std::lock_guard lock(mutex);
            const auto found = handlers.find(decided.number);
            if (found == handlers.end()) {
                return;
            }
            handler = std::move(found->second);
            handlers.erase(found);
        }
        handler(decided.outcome);
    }

    void ask(const PermitRequest &request, Handler handler)
    {
        auto actions = locked([&](TimePoint now) {
            const auto number = ++lastNumber;
            handlers.emplace(number, std::move(handler));
            return permits.ask(number, request, now);
        });
        perform(std::move(actions));
        scheduleExpiry();
    }

    /// Starts the timer for issuers that do not reply, unless it runs or nothing is pending.
    void scheduleExpiry()
    {
        {
            const std::lock_guard lock(mutex);
            if (timerRuns || !permits.nextWake()) {
                return;
            }
            timerRuns = true;
        }
        timer.expires_after(kExpiryCheck);
        timer.async_wait([weak = weak_from_this()](const boost::system::error_code &cancelled) {
            const auto client = weak.lock();
            if (cancelled || !client) {
                return;
            }
            auto actions = client->locked([&](TimePoint now) {
                client->timerRuns = false;
                return client->permits.expire(now);
            });
            client->noReply.add(actions.size());
            client->perform(std::move(actions));
            client->scheduleExpiry();
        });
    }

    /// Passes on the live VMs that issue permits. The caller holds the lock.
    void applyVms(TimePoint now)
    {
        std::vector<VmId> issuers;
        std::copy_if(live.begin(), live.end(), std::back_inserter(issuers), [&](const VmId &vm) { return vm == self || issuing.contains(vm); });
        permits.setVms(issuers, now);
    }

    void repeatStatements()
    {
        asio::spawn(
            io,
            [weak = weak_from_this(), &context = io](asio::yield_context yield) {
                asio::steady_timer pause(context);
                boost::system::error_code error;
                for (;;) {
                    pause.expires_after(kRepeatInterval);
                    pause.async_wait(yield[error]);
                    const auto client = weak.lock();
                    if (error || !client) {
                        return;
                    }
                    client->announce(client->locked([&](TimePoint now) { return client->permits.ownStatements(now); }));
                }
            },
            asio::detached);
    }

    void announce(const std::vector<LimitStatement> &statements) const
    {
        if (!statements.empty() && announcer) {
            announcer(statements);
        }
    }

    static void logChange(const EndpointId &endpoint, std::optional<double> perSecond, const char *source)
    {
        LOG(INFO) << "event=endpoint_limit endpoint=" << endpoint << " per_second=" << perSecond.value_or(0.0) << " source=" << source;
    }

    asio::io_context &io;
    const VmId self;
    const Clock &clock;
    const Sender sender;
    Counter &granted;
    Counter &denied;
    Counter &noReply;
    std::function<void(const std::vector<LimitStatement> &)> announcer;

    mutable std::mutex mutex; // Position 5 in the lock order.
    EndpointPermits permits;
    std::vector<VmId> live;
    std::set<VmId> issuing;                    ///< Other VMs that have stated that they issue permits, live or not.
    std::map<std::uint64_t, Handler> handlers; ///< Of requests without an outcome, by number.
    std::uint64_t lastNumber = 0;
    bool timerRuns = false;
    asio::steady_timer timer;
};

PermitClient::PermitClient(asio::io_context &io, const VmId &self, const Clock &clock, Metrics &metrics, Sender sender)
    : d_(std::make_shared<Private>(io, self, clock, metrics, std::move(sender)))
{
}

PermitClient::~PermitClient() = default;

void PermitClient::setAnnouncer(std::function<void(const std::vector<LimitStatement> &)> announcer)
{
    d_->announcer = std::move(announcer);
}

void PermitClient::start()
{
    d_->repeatStatements();
}

void PermitClient::setVms(const std::vector<VmId> &live)
{
    d_->locked([&](TimePoint now) {
        d_->live = live;
        d_->applyVms(now);
    });
}

void PermitClient::onIssuing(const VmId &vm, bool issuesPermits)
{
    d_->locked([&](TimePoint now) {
        const bool hasChanged = issuesPermits ? d_->issuing.insert(vm).second : d_->issuing.erase(vm) > 0;
        if (hasChanged) {
            d_->applyVms(now);
        }
    });
}

void PermitClient::setEndpoints(const std::vector<EndpointId> &endpoints)
{
    d_->locked([&](TimePoint /*now*/) { d_->permits.retain(endpoints); });
}

void PermitClient::setColdLimits(const std::map<EndpointId, double> &limits)
{
    d_->locked([&](TimePoint /*now*/) { d_->permits.limits().setColdLimits(limits); });
}

void PermitClient::onStatements(const std::vector<LimitStatement> &statements)
{
    for (const auto &statement : statements) {
        const auto changed = d_->locked([&](TimePoint now) { return d_->permits.limits().onStatement(statement, now); });
        if (changed) {
            Private::logChange(statement.endpoint, limit(statement.endpoint), "other_vm");
        }
    }
}

void PermitClient::onMessage(const VmId &from, const PeerMessage &message)
{
    if (const auto *ask = std::get_if<PermitAskMessage>(&message)) {
        auto reply = d_->locked([&](TimePoint now) { return d_->permits.onAsk(ask->ask, now); });
        (void)d_->sender(from, PermitReplyMessage{std::move(reply)}); // The other VM does without a reply that is lost.
    } else if (const auto *reply = std::get_if<PermitReplyMessage>(&message)) {
        d_->perform(d_->locked([&](TimePoint now) { return d_->permits.onReply(from, reply->reply, now); }));
    }
}

void PermitClient::onAnswer(const EndpointId &endpoint, std::optional<double> perSecond, bool isVerified, TimePoint sentAt)
{
    if (!perSecond && !isVerified) {
        return;
    }
    std::optional<LimitStatement> changed;
    d_->locked([&](TimePoint now) {
        if (d_->permits.limits().onAnswer(endpoint, perSecond, sentAt, now)) {
            changed = d_->permits.limits().statement(endpoint, now);
        }
    });
    if (changed) {
        Private::logChange(endpoint, perSecond, "endpoint");
        d_->announce({*changed});
    }
}

std::optional<double> PermitClient::limit(const EndpointId &endpoint) const
{
    return d_->locked([&](TimePoint /*now*/) { return d_->permits.limits().limit(endpoint); });
}

bool PermitClient::isFull(const EndpointId &endpoint, bool isUrgent) const
{
    return d_->locked([&](TimePoint now) { return d_->permits.isFull(endpoint, isUrgent, now); });
}

std::vector<EndpointId> PermitClient::fullEndpoints(bool isUrgent) const
{
    return d_->locked([&](TimePoint now) { return d_->permits.fullEndpoints(isUrgent, now); });
}

std::optional<PermitDenied> PermitClient::acquire(const PermitRequest &request, asio::yield_context yield)
{
    if (!limit(request.endpoint)) {
        return std::nullopt;
    }
    const auto executor = yield.get_executor();
    const auto outcome = asio::async_initiate<asio::yield_context, void(PermitOutcome)>(
        [&](auto handler) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            d_->ask(request, [shared, executor](const PermitOutcome &decided) { asio::post(executor, [shared, decided]() mutable { (*shared)(decided); }); });
        },
        yield);
    const auto *denied = std::get_if<PermitDenied>(&outcome);
    return denied == nullptr ? std::nullopt : std::optional(*denied);
}

Result<EndpointId> PermitClient::waitInLine(const LineRequest &line, asio::yield_context yield)
{
    const auto chosen = d_->locked([&](TimePoint /*now*/) { return d_->permits.lineFor(line.request, line.endpoints); });
    if (!chosen) {
        return Error{ResultCode::EndpointRefused, "the endpoints have changed", kRetryAfterChange};
    }
    PermitRequest request{.endpoint = *chosen,
                          .vm = d_->self,
                          .attempt = line.attempt,
                          .request = line.request,
                          .isUrgent = line.isUrgent,
                          .patience = std::max(line.maxWait, line.patience)};
    const auto latest = d_->clock.now() + line.maxWait;
    for (;;) {
        const auto denied = acquire(request, yield);
        if (!denied) {
            return *chosen;
        }
        if (!denied->isPlaceKept || d_->clock.now() + denied->retryAfter > latest) {
            const auto retryAfter = std::chrono::ceil<milliseconds>(denied->retryAfter);
            return Error{ResultCode::EndpointRefused, "endpoint " + chosen->value() + " takes no more requests a second", retryAfter};
        }
        boost::system::error_code ignored;
        asio::steady_timer timer(yield.get_executor(), denied->retryAfter);
        timer.async_wait(yield[ignored]);
    }
}

} // namespace daisystream
