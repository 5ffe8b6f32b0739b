#include "daisystream/endpoint/endpointdirectory.h"

#include <algorithm>
#include <set>

namespace daisystream
{

namespace
{

// Longer than the age of a backup, which is some seconds.
constexpr std::chrono::minutes kDepartureRetention{2};

} // namespace

EndpointId EndpointEntry::id() const
{
    return EndpointId(name + "@" + std::to_string(startedAt));
}

EndpointDirectory::EndpointDirectory(EndpointDirectoryOptions options)
    : options_(options)
{
}

bool EndpointDirectory::replace(const std::vector<EndpointEntry> &entries, const StoreRevision &revision, TimePoint now)
{
    if (revision < revision_) {
        return false;
    }
    if (revision.epoch > revision_.epoch && snapshotRevision_ != StoreRevision()) {
        onRestored(revision, now);
    }
    std::set<std::string> names;
    for (const auto &entry : entries) {
        names.insert(entry.name);
        store(entry, now);
    }
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const auto next = std::next(entry);
        if (!names.contains(entry->first)) {
            markUnregistered(entry, now);
        }
        entry = next;
    }
    revision_ = revision;
    snapshotRevision_ = revision;
    return true;
}

void EndpointDirectory::put(const EndpointEntry &entry, const StoreRevision &revision, TimePoint now)
{
    if (isNewChange(revision)) {
        store(entry, now);
        revision_ = revision;
    }
}

void EndpointDirectory::remove(const std::string &name, const StoreRevision &revision, TimePoint now)
{
    if (!isNewChange(revision)) {
        return;
    }
    revision_ = revision;
    if (const auto entry = entries_.find(name); entry != entries_.end()) {
        markUnregistered(entry, now);
    }
}

ChangesResult EndpointDirectory::apply(const EndpointChanges &changes, TimePoint now)
{
    const auto previousRevision = revision_;
    if (changes.upTo <= previousRevision) {
        return ChangesResult::Known;
    }
    if (changes.after > previousRevision) {
        return ChangesResult::Gap;
    }
    for (const EndpointChange &change : changes.changes) {
        if (change.revision <= previousRevision) {
            continue;
        }
        if (change.entry) {
            put(*change.entry, change.revision, now);
        } else {
            remove(change.name, change.revision, now);
        }
    }
    revision_ = changes.upTo;
    return ChangesResult::Applied;
}

// An equal revision counts as new, because all changes of one transaction of the store have the same revision.
bool EndpointDirectory::isNewChange(const StoreRevision &revision) const
{
    return revision > snapshotRevision_ && revision >= revision_;
}

void EndpointDirectory::store(const EndpointEntry &entry, TimePoint now)
{
    StoredEntry stored{.entry = entry, .coldUntil = now + entry.coldDuration};
    const auto known = entries_.find(entry.name);
    const bool isSame = known != entries_.end() && entry.revision != StoreRevision() && known->second.entry.revision == entry.revision;
    if (isSame) {
        stored.coldUntil = std::min(stored.coldUntil, known->second.coldUntil);
    }
    if (known != entries_.end() && known->second.entry.id() != entry.id()) {
        noteDeparture(known->second.entry.id(), now);
    }
    if (mayHaveLeft(entry)) {
        stored.outOfServiceUntil = restoredAt_ + options_.expiryTime;
    } else if (entry.state == EndpointState::InService) {
        departed_.erase(entry.id());
    }
    entries_[entry.name] = std::move(stored);
}

void EndpointDirectory::onRestored(const StoreRevision &revision, TimePoint now)
{
    restoredAs_ = revision;
    restoredAt_ = now;
    storeReturnedAt_ = now;
    for (const auto &[name, stored] : entries_) {
        if (stored.entry.state != EndpointState::InService || now < stored.outOfServiceUntil) {
            noteDeparture(stored.entry.id(), now);
        }
    }
}

bool EndpointDirectory::mayHaveLeft(const EndpointEntry &entry) const
{
    return restoredAs_ && entry.revision <= *restoredAs_ && entry.state == EndpointState::InService && departed_.contains(entry.id());
}

void EndpointDirectory::noteDeparture(const EndpointId &endpoint, TimePoint now)
{
    std::erase_if(departed_, [now](const auto &entry) { return now - entry.second > kDepartureRetention; });
    departed_[endpoint] = now;
}

EndpointEntry EndpointDirectory::aged(const StoredEntry &stored, TimePoint now)
{
    auto entry = stored.entry;
    entry.state = now < stored.outOfServiceUntil ? EndpointState::Draining : entry.state;
    entry.coldDuration = std::chrono::ceil<std::chrono::milliseconds>(std::max(stored.coldUntil - now, Duration::zero()));
    return entry;
}

void EndpointDirectory::markUnregistered(std::map<std::string, StoredEntry>::iterator entry, TimePoint now)
{
    // A draining endpoint has deregistered itself and does not register again.
    const bool mayRegisterAgain = entry->second.entry.state == EndpointState::InService && now >= entry->second.outOfServiceUntil;
    entry->second.isUnregistered = true;
    noteDeparture(entry->second.entry.id(), now);
    if (!mayRegisterAgain || !isValid(entry->second, now)) {
        entries_.erase(entry);
    }
}

bool EndpointDirectory::isValid(const StoredEntry &stored, TimePoint now) const
{
    return !stored.isUnregistered || storeLost_ || (storeReturnedAt_ && now < *storeReturnedAt_ + options_.reregistrationTime);
}

void EndpointDirectory::onStoreReturned(TimePoint now, bool afterOutage)
{
    storeLost_ = false;
    if (afterOutage) {
        storeReturnedAt_ = now;
    }
}

void EndpointDirectory::onStoreLost()
{
    storeLost_ = true;
}

std::vector<EndpointEntry> EndpointDirectory::entries(TimePoint now) const
{
    std::vector<EndpointEntry> found;
    for (const auto &[name, stored] : entries_) {
        if (isValid(stored, now)) {
            found.push_back(aged(stored, now));
        }
    }
    return found;
}

std::vector<EndpointEntry> EndpointDirectory::registered(TimePoint now) const
{
    std::vector<EndpointEntry> found;
    for (const auto &[name, stored] : entries_) {
        if (!stored.isUnregistered) {
            auto entry = aged(stored, now);
            entry.state = stored.entry.state;
            found.push_back(std::move(entry));
        }
    }
    return found;
}

std::optional<TimePoint> EndpointDirectory::nextChange(TimePoint now) const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint at) {
        next = std::min(next.value_or(at), at);
    };
    for (const auto &[name, stored] : entries_) {
        if (stored.isUnregistered && isValid(stored, now) && !storeLost_ && storeReturnedAt_) {
            consider(*storeReturnedAt_ + options_.reregistrationTime);
        }
        if (now < stored.outOfServiceUntil) {
            consider(stored.outOfServiceUntil);
        }
    }
    return next;
}

} // namespace daisystream
