#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

/// @file
/// Which endpoints have a prompt prefix in their cache, as far as late and incomplete events tell.
///
/// Example:
/// @code
///   prefixes.insert(endpoint, hash);
///   for (std::uint32_t candidate : prefixes.endpointsOf(hash)) { ... }
/// @endcode

namespace daisystream
{

/// Thread-compatible.
class PrefixIndex
{
public:
    /// @param perEndpoint prefixes remembered of each endpoint. The oldest is forgotten first, since the event of its
    ///   eviction may have been lost.
    explicit PrefixIndex(std::size_t perEndpoint);

    void insert(std::uint32_t endpoint, std::uint64_t hash);
    void evict(std::uint32_t endpoint, std::uint64_t hash);

    /// Forgets everything about an endpoint.
    void clear(std::uint32_t endpoint);

    [[nodiscard]] const std::vector<std::uint32_t> &endpointsOf(std::uint64_t hash) const;

private:
    std::size_t perEndpoint_;
    std::unordered_map<std::uint64_t, std::vector<std::uint32_t>> endpoints_;
    std::unordered_map<std::uint32_t, std::deque<std::uint64_t>> order_;
};

} // namespace daisystream
