#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

/// @file
/// Index of the endpoints that have a prompt prefix in their cache. It is built from cache events and only approximate, because
/// some events are lost and the others arrive late.
///
/// Example:
/// @code
///   prefixes.insert(endpoint, hash);
///   for (std::uint32_t candidate : prefixes.endpointsOf(hash)) { ... }
/// @endcode

namespace daisystream
{

/// Maps hashes of prompt prefixes to endpoints. Thread-compatible.
class PrefixIndex
{
public:
    /// @param maxPerEndpoint maximum number of prefixes stored per endpoint. The oldest is removed first, because the event of
    ///     its eviction may have been lost.
    explicit PrefixIndex(std::size_t maxPerEndpoint);

    /// Adds a prefix to those of an endpoint.
    /// @param endpoint number of the endpoint, chosen by the caller.
    /// @param hash hash of the prefix.
    void insert(std::uint32_t endpoint, std::uint64_t hash);
    /// Removes a prefix from those of an endpoint, if present.
    void evict(std::uint32_t endpoint, std::uint64_t hash);

    /// Removes all prefixes of an endpoint.
    void clear(std::uint32_t endpoint);

    /// @return the endpoints that have the prefix, in the order of insertion; valid until the index changes.
    [[nodiscard]] const std::vector<std::uint32_t> &endpointsOf(std::uint64_t hash) const;

private:
    std::size_t maxPerEndpoint_;
    std::unordered_map<std::uint64_t, std::vector<std::uint32_t>> endpoints_;
    std::unordered_map<std::uint32_t, std::deque<std::uint64_t>> insertionOrder_; ///< Hashes per endpoint, oldest first.
};

} // namespace daisystream
