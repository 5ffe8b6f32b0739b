#include "daisystream/cell/asktracker.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace daisystream
{

class AskTracker::Private
{
public:
    struct Pending
    {
        WorkRequest request;
        CellId cell;
        std::vector<VmId> owners;
        std::size_t current = 0;
        TimePoint timeout;
        bool queued = false; ///< The current owner has answered that the request waits there.
    };

    AskTrackerOptions options;
    std::unordered_map<RequestId, Pending> pending;
    std::set<std::pair<TimePoint, RequestId>> timeouts;

    void arm(Pending &ask, TimePoint timeout)
    {
        timeouts.erase({ask.timeout, ask.request.id});
        ask.timeout = timeout;
        timeouts.emplace(timeout, ask.request.id);
    }

    void forget(const RequestId &request)
    {
        const auto found = pending.find(request);
        timeouts.erase({found->second.timeout, request});
        pending.erase(found);
    }

    void armReplyTimeout(Pending &ask, TimePoint now)
    {
        arm(ask, now + (ask.request.rank == Rank::Urgent ? options.urgentTimeout : options.ordinaryTimeout));
    }

    // An owner that was restarted has lost its queue. A request that may wait long is asked for again, which its owner ignores if
    // it still knows it.
    [[nodiscard]] TimePoint nextLook(const Pending &ask, TimePoint now) const
    {
        const TimePoint last = ask.request.latestFirstToken();
        return ask.request.lastUsefulFirstToken ? std::min<TimePoint>(last, now + options.askAgain) : last;
    }

    // Asks the current owner, or decides alone if there is none left.
    void askCurrent(Pending &ask, TimePoint now, std::vector<AskAction> &actions)
    {
        ask.queued = false;
        if (ask.current < std::min<std::size_t>(ask.owners.size(), options.ownersAsked)) {
            actions.emplace_back(SendAsk{ask.owners[ask.current], ask.cell, ask.request});
            armReplyTimeout(ask, now);
            return;
        }
        actions.emplace_back(DecideAlone{ask.cell, ask.request});
        forget(RequestId(ask.request.id));
    }

    void askNext(Pending &ask, TimePoint now, std::vector<AskAction> &actions)
    {
        actions.emplace_back(SendWithdraw{ask.owners[ask.current], ask.cell, ask.request.id});
        ++ask.current;
        askCurrent(ask, now, actions);
    }

    // @return the ask if it is pending at this owner, otherwise nullptr.
    Pending *pendingAt(const VmId &owner, const RequestId &request)
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
    const auto [found, isNew] = d_->pending.emplace(request.id, Private::Pending{request, cell, owners, 0, now, false});
    if (isNew) {
        d_->askCurrent(found->second, now, actions);
    }
    return actions;
}

void AskTracker::onQueued(const VmId &from, const RequestId &request, TimePoint now)
{
    if (Private::Pending *ask = d_->pendingAt(from, request)) {
        ask->queued = true;
        d_->arm(*ask, d_->nextLook(*ask, now));
    }
}

std::vector<AskAction> AskTracker::onAssign(const VmId &from, const Assign &assign, TimePoint)
{
    if (d_->pendingAt(from, assign.request) == nullptr) {
        const auto found = d_->pending.find(assign.request);
        return {SendUnused{from, found == d_->pending.end() ? CellId{} : found->second.cell, assign.request}};
    }
    d_->forget(assign.request);
    return {Settle{assign.request, from, assign}};
}

std::vector<AskAction> AskTracker::onRefuse(const VmId &from, const Refuse &refuse, TimePoint)
{
    if (d_->pendingAt(from, refuse.request) == nullptr) {
        return {};
    }
    d_->forget(refuse.request);
    return {Settle{refuse.request, from, refuse.error}};
}

void AskTracker::onCancelled(const WorkRequest &request, const CellId &cell, const VmId &owner, const std::vector<VmId> &owners, TimePoint now)
{
    Private::Pending ask{request, cell, owners, 0, now, true};
    const auto position = std::find(owners.begin(), owners.end(), owner);
    if (position == owners.end()) {
        ask.owners.insert(ask.owners.begin(), owner);
    } else {
        ask.current = static_cast<std::size_t>(position - owners.begin());
    }
    const auto [found, isNew] = d_->pending.emplace(request.id, std::move(ask));
    if (isNew) {
        d_->arm(found->second, request.latestFirstToken());
    }
}

std::vector<AskAction> AskTracker::withdraw(const RequestId &request, TimePoint)
{
    const auto found = d_->pending.find(request);
    if (found == d_->pending.end()) {
        return {};
    }
    const Private::Pending &ask = found->second;
    std::vector<AskAction> actions{SendWithdraw{ask.owners[ask.current], ask.cell, request}};
    d_->forget(request);
    return actions;
}

std::vector<AskAction> AskTracker::onVmLost(const VmId &vm, TimePoint now)
{
    std::vector<RequestId> affected;
    for (const auto &[id, ask] : d_->pending) {
        if (ask.owners[ask.current] == vm) {
            affected.push_back(id);
        }
    }
    std::sort(affected.begin(), affected.end()); // The order of actions must not depend on the hash table.
    std::vector<AskAction> actions;
    for (const RequestId &id : affected) {
        d_->askNext(d_->pending.at(id), now, actions);
    }
    return actions;
}

std::vector<AskAction> AskTracker::expire(TimePoint now)
{
    std::vector<AskAction> actions;
    while (!d_->timeouts.empty() && d_->timeouts.begin()->first <= now) {
        const RequestId id = d_->timeouts.begin()->second;
        Private::Pending &ask = d_->pending.at(id);
        if (ask.queued && now < ask.request.latestFirstToken()) {
            ask.queued = false;
            actions.emplace_back(SendAsk{ask.owners[ask.current], ask.cell, ask.request});
            d_->armReplyTimeout(ask, now);
        } else if (ask.queued) {
            const Error error{ResultCode::QueueDeadlinePassed, "the owner of the cell gave no endpoint in time", std::chrono::milliseconds(1000)};
            actions.emplace_back(SendWithdraw{ask.owners[ask.current], ask.cell, id});
            actions.emplace_back(Settle{id, {}, error});
            d_->forget(id);
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
