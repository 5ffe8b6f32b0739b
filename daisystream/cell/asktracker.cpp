#include "daisystream/cell/asktracker.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace daisystream
{

class AskTracker::Private
{
public:
    struct PendingAsk
    {
        WorkRequest request;
        CellId cell;
        std::vector<VmId> owners;
        std::size_t current = 0; ///< Index in `owners` of the VM that is being asked.
        TimePoint timeout;
        bool queued = false; ///< The current owner has replied Queued.
    };

    AskTrackerOptions options;
    std::unordered_map<RequestId, PendingAsk> pending;
    std::set<std::pair<TimePoint, RequestId>> timeouts; ///< Those of all pending asks, the earliest first.

    void setTimeout(PendingAsk &ask, TimePoint timeout)
    {
        timeouts.erase({ask.timeout, ask.request.id});
        ask.timeout = timeout;
        timeouts.emplace(timeout, ask.request.id);
    }

    void removeAsk(const RequestId &request)
    {
        const auto found = pending.find(request);
        timeouts.erase({found->second.timeout, request});
        pending.erase(found);
    }

    void setReplyTimeout(PendingAsk &ask, TimePoint now)
    {
        setTimeout(ask, now + (ask.request.rank == Rank::Urgent ? options.urgentReplyTimeout : options.ordinaryReplyTimeout));
    }

    /// @return the timeout of an ask whose request is queued. A restarted owner has lost its queue, so the ask of a request that
    ///     may wait past its first-token deadline is repeated every `repeatInterval`; an owner that still has the request queued
    ///     ignores the repetition.
    [[nodiscard]] TimePoint queuedTimeout(const PendingAsk &ask, TimePoint now) const
    {
        const TimePoint latest = ask.request.latestFirstToken();
        return ask.request.lastUsefulFirstToken ? std::min<TimePoint>(latest, now + options.repeatInterval) : latest;
    }

    /// Asks the current owner. If all owners have been asked, removes the ask and returns DecideLocally.
    void askCurrent(PendingAsk &ask, TimePoint now, std::vector<AskAction> &actions)
    {
        ask.queued = false;
        if (ask.current < std::min<std::size_t>(ask.owners.size(), options.maxOwnersAsked)) {
            actions.emplace_back(SendAsk{ask.owners[ask.current], ask.cell, ask.request});
            setReplyTimeout(ask, now);
            return;
        }
        actions.emplace_back(DecideLocally{ask.cell, ask.request});
        removeAsk(RequestId(ask.request.id));
    }

    /// Withdraws the ask from the current owner and asks the next one.
    void askNext(PendingAsk &ask, TimePoint now, std::vector<AskAction> &actions)
    {
        actions.emplace_back(SendWithdraw{ask.owners[ask.current], ask.cell, ask.request.id});
        ++ask.current;
        askCurrent(ask, now, actions);
    }

    /// @return the requests whose asks are pending at a VM, in an order that does not depend on the hash table.
    [[nodiscard]] std::vector<RequestId> pendingAt(const VmId &vm) const
    {
        std::vector<RequestId> requests;
        for (const auto &[id, ask] : pending) {
            if (ask.owners[ask.current] == vm) {
                requests.push_back(id);
            }
        }
        std::sort(requests.begin(), requests.end());
        return requests;
    }

    /// @return the ask if it is pending at this owner, otherwise nullptr.
    PendingAsk *findPendingAt(const VmId &owner, const RequestId &request)
    {
        const auto found = pending.find(request);
        const bool asked = found != pending.end() && found->second.owners[found->second.current] == owner;
        return asked ? &found->second : nullptr;
    }
};

AskTracker::AskTracker(AskTrackerOptions options)
    : d_(std::make_unique<Private>())
{
    d_->options = options;
}

AskTracker::~AskTracker() = default;
AskTracker::AskTracker(AskTracker &&) noexcept = default;
AskTracker &AskTracker::operator=(AskTracker &&) noexcept = default;

std::vector<AskAction> AskTracker::ask(const WorkRequest &request, const CellId &cell, const std::vector<VmId> &owners, TimePoint now)
{
    std::vector<AskAction> actions;
    const auto [found, isNew] = d_->pending.emplace(request.id, Private::PendingAsk{request, cell, owners, 0, now, false});
    if (isNew) {
        d_->askCurrent(found->second, now, actions);
    }
    return actions;
}

void AskTracker::onQueued(const VmId &from, const RequestId &request, TimePoint now)
{
    if (Private::PendingAsk *ask = d_->findPendingAt(from, request)) {
        ask->queued = true;
        d_->setTimeout(*ask, d_->queuedTimeout(*ask, now));
    }
}

std::vector<AskAction> AskTracker::onAssign(const VmId &from, const Assign &assign, TimePoint)
{
    if (d_->findPendingAt(from, assign.request) == nullptr) {
        const auto found = d_->pending.find(assign.request);
        return {SendAssignNotUsed{from, found == d_->pending.end() ? CellId{} : found->second.cell, assign.request}};
    }
    d_->removeAsk(assign.request);
    return {CompleteAsk{assign.request, from, assign}};
}

std::vector<AskAction> AskTracker::onRefuse(const VmId &from, const Refuse &refuse, TimePoint)
{
    if (d_->findPendingAt(from, refuse.request) == nullptr) {
        return {};
    }
    d_->removeAsk(refuse.request);
    return {CompleteAsk{refuse.request, from, refuse.error}};
}

void AskTracker::onCancelled(const WorkRequest &request, const CellId &cell, const VmId &owner, const std::vector<VmId> &owners, TimePoint now)
{
    Private::PendingAsk ask{request, cell, owners, 0, now, true};
    const auto position = std::find(owners.begin(), owners.end(), owner);
    if (position == owners.end()) {
        ask.owners.insert(ask.owners.begin(), owner);
    } else {
        ask.current = static_cast<std::size_t>(position - owners.begin());
    }
    const auto [found, isNew] = d_->pending.emplace(request.id, std::move(ask));
    if (isNew) {
        d_->setTimeout(found->second, request.latestFirstToken());
    }
}

std::vector<AskAction> AskTracker::withdraw(const RequestId &request, TimePoint)
{
    const auto found = d_->pending.find(request);
    if (found == d_->pending.end()) {
        return {};
    }
    const Private::PendingAsk &ask = found->second;
    std::vector<AskAction> actions{SendWithdraw{ask.owners[ask.current], ask.cell, request}};
    d_->removeAsk(request);
    return actions;
}

std::vector<AskAction> AskTracker::onVmLost(const VmId &vm, TimePoint now)
{
    std::vector<AskAction> actions;
    for (const RequestId &id : d_->pendingAt(vm)) {
        d_->askNext(d_->pending.at(id), now, actions);
    }
    return actions;
}

std::vector<AskAction> AskTracker::onVmRestarted(const VmId &vm, TimePoint now)
{
    std::vector<AskAction> actions;
    for (const RequestId &id : d_->pendingAt(vm)) {
        d_->askCurrent(d_->pending.at(id), now, actions);
    }
    return actions;
}

bool AskTracker::isPendingAt(const VmId &vm, const RequestId &request) const
{
    return d_->findPendingAt(vm, request) != nullptr;
}

std::vector<AskAction> AskTracker::expire(TimePoint now)
{
    std::vector<AskAction> actions;
    while (!d_->timeouts.empty() && d_->timeouts.begin()->first <= now) {
        const RequestId id = d_->timeouts.begin()->second;
        Private::PendingAsk &ask = d_->pending.at(id);
        if (ask.queued && now < ask.request.latestFirstToken()) {
            // The owner now has to reply within the reply timeout, or the next owner is asked.
            ask.queued = false;
            actions.emplace_back(SendAsk{ask.owners[ask.current], ask.cell, ask.request});
            d_->setReplyTimeout(ask, now);
        } else if (ask.queued) {
            const Error error{ResultCode::QueueDeadlinePassed,
                              "the owner of the cell assigned no endpoint before the latest useful time of the first token",
                              std::chrono::milliseconds(1000)};
            actions.emplace_back(SendWithdraw{ask.owners[ask.current], ask.cell, id});
            actions.emplace_back(CompleteAsk{id, {}, error});
            d_->removeAsk(id);
        } else {
            d_->askNext(ask, now, actions);
        }
    }
    return actions;
}

std::optional<TimePoint> AskTracker::nextWake() const
{
    return d_->timeouts.empty() ? std::nullopt : std::optional(d_->timeouts.begin()->first);
}

std::size_t AskTracker::pending() const
{
    return d_->pending.size();
}

} // namespace daisystream
