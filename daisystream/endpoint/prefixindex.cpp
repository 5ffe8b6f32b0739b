#include "daisystream/endpoint/prefixindex.h"

#include <algorithm>

namespace daisystream
{

PrefixIndex::PrefixIndex(std::size_t maxPerEndpoint)
    : maxPerEndpoint_(maxPerEndpoint)
{
}

void PrefixIndex::insert(std::uint32_t endpoint, std::uint64_t hash)
{
    std::vector<std::uint32_t> &holders = endpoints_[hash];
    if (std::find(holders.begin(), holders.end(), endpoint) != holders.end()) {
        return;
    }
    holders.push_back(endpoint);
    std::deque<std::uint64_t> &order = insertionOrder_[endpoint];
    order.push_back(hash);
    // An evicted prefix stays in `order` until it is the oldest one.
    if (order.size() > maxPerEndpoint_) {
        const std::uint64_t oldest = order.front();
        order.pop_front();
        evict(endpoint, oldest);
    }
}

void PrefixIndex::evict(std::uint32_t endpoint, std::uint64_t hash)
{
    const auto found = endpoints_.find(hash);
    if (found != endpoints_.end() && std::erase(found->second, endpoint) > 0 && found->second.empty()) {
        endpoints_.erase(found);
    }
}

void PrefixIndex::clear(std::uint32_t endpoint)
{
    for (const std::uint64_t hash : insertionOrder_[endpoint]) {
        evict(endpoint, hash);
    }
    insertionOrder_.erase(endpoint);
}

const std::vector<std::uint32_t> &PrefixIndex::endpointsOf(std::uint64_t hash) const
{
    static const std::vector<std::uint32_t> kNone;
    const auto found = endpoints_.find(hash);
    return found == endpoints_.end() ? kNone : found->second;
}

} // namespace daisystream
