#include "schedules/platformfake.h"

#include <memory>

namespace daisystream::schedules
{

using namespace std::chrono_literals;

void PlatformFake::perform(const TableAction &action, Process &client, std::function<void(const TableReply &)> done, bool cut)
{
    if (outage || cut) {
        const bool refused = queue_.chance(0.5);
        queue_.after(refused ? 10ms : Duration(kClientTimeout), client, [done = std::move(done), refused] {
            done(refused ? TableReply(TableRefused{}) : TableReply(TableNoReply{}));
        });
        return;
    }
    const Duration longest = slow ? 3s : 30ms;
    const Duration there = queue_.between(1ms, longest);
    const Duration back = queue_.between(1ms, longest);
    const bool requestLost = queue_.chance(loss / 2);
    const bool replyLost = queue_.chance(loss / 2) || there + back >= kClientTimeout;
    auto reply = std::make_shared<TableReply>(TableNoReply{});
    if (!requestLost) {
        // The effect does not depend on the client: it may be dead or have given up by then.
        queue_.after(there, [this, action, reply] { *reply = apply(action); });
    }
    if (requestLost || replyLost) {
        queue_.after(kClientTimeout, client, [done = std::move(done)] { done(TableNoReply{}); });
    } else {
        queue_.after(there + back, client, [done = std::move(done), reply] { done(*reply); });
    }
}

TableReply PlatformFake::apply(const TableAction &action)
{
    if (const auto *object = std::get_if<ObjectWrite>(&action)) {
        objects_.insert(object->key);
        if (onObject) {
            onObject(object->key);
        }
        return ObjectWritten{};
    }
    if (const auto *write = std::get_if<TableWrite>(&action)) {
        auto &versions = rows_[write->key];
        if (versions.size() != write->ifNumber) {
            return RowConflict{};
        }
        versions.push_back({.at = queue_.now(), .value = write->value});
        if (onWrite) {
            onWrite(write->key, versions.size(), write->value);
        }
        return RowWritten{versions.size()};
    }
    return read(std::get<TableRead>(action).key);
}

TableReply PlatformFake::read(const std::string &key)
{
    const auto found = rows_.find(key);
    if (found == rows_.end()) {
        return RowAbsent{};
    }
    const TimePoint asOf = queue_.now() - (queue_.chance(0.3) ? queue_.between(0ms, staleness + 1ns) : Duration(0));
    std::size_t number = found->second.size();
    while (number > 0 && found->second[number - 1].at > asOf) {
        --number;
    }
    return number == 0 ? TableReply(RowAbsent{}) : TableReply(RowFound{.number = number, .value = found->second[number - 1].value});
}

RowFound PlatformFake::row(const std::string &key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() || found->second.empty() ? RowFound{} : RowFound{.number = found->second.size(), .value = found->second.back().value};
}

std::vector<std::string> PlatformFake::keys() const
{
    std::vector<std::string> keys;
    for (const auto &[key, versions] : rows_) {
        if (!versions.empty()) {
            keys.push_back(key);
        }
    }
    return keys;
}

} // namespace daisystream::schedules
