#include "daisystream/membership/rendezvous.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <functional>
#include <string>
#include <utility>

namespace daisystream
{
namespace
{

std::uint64_t score(std::string_view name, const VmId &vm)
{
    // The length separates name and VM, so that no two pairs hash the same bytes.
    std::string text = std::to_string(name.size()) + ":";
    text += name;
    text += vm.value();
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(value); ++i) {
        value = (value << 8U) | digest[i];
    }
    return value;
}

} // namespace

std::vector<VmId> rendezvousOrder(std::string_view name, const std::vector<VmId> &vms)
{
    std::vector<std::pair<std::uint64_t, VmId>> scored;
    scored.reserve(vms.size());
    for (const VmId &vm : vms) {
        scored.emplace_back(score(name, vm), vm);
    }
    std::sort(scored.begin(), scored.end(), std::greater<>());
    std::vector<VmId> order;
    order.reserve(scored.size());
    for (auto &[unused, vm] : scored) {
        order.push_back(std::move(vm));
    }
    return order;
}

std::optional<VmId> rendezvousOwner(std::string_view name, const std::vector<VmId> &vms)
{
    const auto order = rendezvousOrder(name, vms);
    return order.empty() ? std::nullopt : std::optional(order.front());
}

} // namespace daisystream
