#include "daisystream/membership/rendezvous.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace daisystream
{
namespace
{

/// @return the score of a VM for a name: the first 64 bits of a SHA-256. Not std::hash, whose value may differ between builds,
///     while all VMs must compute the same score.
std::uint64_t rendezvousScore(std::string_view name, std::string_view vm)
{
    std::string text;
    text.reserve(name.size() + vm.size() + 1);
    text.append(name).append(1, '\0').append(vm);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::uint64_t score = 0;
    for (std::size_t i = 0; i < sizeof(score); ++i) {
        score = score << 8U | digest[i];
    }
    return score;
}

} // namespace

std::vector<VmId> rendezvousOrder(std::string_view name, const std::vector<VmId> &vms)
{
    std::vector<std::pair<std::uint64_t, const VmId *>> scored;
    scored.reserve(vms.size());
    for (const VmId &vm : vms) {
        scored.emplace_back(rendezvousScore(name, vm.value()), &vm);
    }
    std::sort(scored.begin(), scored.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    });
    std::vector<VmId> order;
    order.reserve(scored.size());
    for (const auto &[score, vm] : scored) {
        order.push_back(*vm);
    }
    return order;
}

std::optional<VmId> rendezvousOwner(std::string_view name, const std::vector<VmId> &vms)
{
    const auto order = rendezvousOrder(name, vms);
    return order.empty() ? std::nullopt : std::optional(order.front());
}

} // namespace daisystream
