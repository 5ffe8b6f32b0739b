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

// SHA-256, because every VM must compute the same number whatever its build, which std::hash does not promise.
std::uint64_t rendezvousWeight(std::string_view name, std::string_view vm)
{
    std::string text;
    text.reserve(name.size() + vm.size() + 1);
    text.append(name).append(1, '\0').append(vm);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::uint64_t weight = 0;
    for (std::size_t i = 0; i < sizeof(weight); ++i) {
        weight = weight << 8U | digest[i];
    }
    return weight;
}

} // namespace

std::vector<VmId> rendezvousOrder(std::string_view name, const std::vector<VmId> &vms)
{
    std::vector<std::pair<std::uint64_t, const VmId *>> weighted;
    weighted.reserve(vms.size());
    for (const VmId &vm : vms) {
        weighted.emplace_back(rendezvousWeight(name, vm.value()), &vm);
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    });
    std::vector<VmId> order;
    order.reserve(weighted.size());
    for (const auto &[weight, vm] : weighted) {
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
