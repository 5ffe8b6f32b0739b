#include "daisystream/endpoint/endpointdirectory.h"

#include <algorithm>
#include <set>

namespace daisystream
{

EndpointId EndpointEntry::id() const
{
    return EndpointId(name + "@" + std::to_string(startedAt));
}

EndpointDirectory::EndpointDirectory(EndpointDirectoryOptions options)
    : options_(options)
{
}

bool EndpointDirectory::replace(const std::vector<EndpointEntry> &entries, std::uint64_t revision, TimePoint now)
{
    if (revision < revision_) {
        return false;
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

void EndpointDirectory::put(const EndpointEntry &entry, std::uint64_t revision, TimePoint now)
{
    if (isNewChange(revision)) {
        store(entry, now);
        revision_ = revision;
    }
}

void EndpointDirectory::remove(const std::string &name, std::uint64_t revision, TimePoint now)
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
bool EndpointDirectory::isNewChange(std::uint64_t revision) const
{
    return revision > snapshotRevision_ && revision >= revision_;
}

void EndpointDirectory::store(const EndpointEntry &entry, TimePoint now)
{
    StoredEntry stored{.entry = entry, .coldUntil = now + entry.coldDuration};
    const auto known = entries_.find(entry.name);
    const bool isSame = known != entries_.end() && entry.revision != 0 && known->second.entry.revision == entry.revision;
    if (isSame) {
        stored.coldUntil = std::min(stored.coldUntil, known->second.coldUntil);
    }
    entries_[entry.name] = std::move(stored);
}

EndpointEntry EndpointDirectory::aged(const StoredEntry &stored, TimePoint now)
{
    auto entry = stored.entry;
    entry.coldDuration = std::chrono::ceil<std::chrono::milliseconds>(std::max(stored.coldUntil - now, Duration::zero()));
    return entry;
}

void EndpointDirectory::markUnregistered(std::map<std::string, StoredEntry>::iterator entry, TimePoint now)
{
    // A draining endpoint has deregistered itself and does not register again.
    const bool mayRegisterAgain = entry->second.entry.state == EndpointState::InService;
    entry->second.isUnregistered = true;
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
            found.push_back(aged(stored, now));
        }
    }
    return found;
}

std::optional<TimePoint> EndpointDirectory::nextChange(TimePoint now) const
{
    const bool hasKeptEntries
        = std::any_of(entries_.begin(), entries_.end(), [&](const auto &entry) { return entry.second.isUnregistered && isValid(entry.second, now); });
    if (!hasKeptEntries || storeLost_ || !storeReturnedAt_) {
        return std::nullopt;
    }
    return *storeReturnedAt_ + options_.reregistrationTime;
}

} // namespace daisystream
