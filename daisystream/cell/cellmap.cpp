#include "daisystream/cell/cellmap.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <map>
#include <string>
#include <unordered_map>

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

class CellMap::Private
{
public:
    CellMapOptions options;
    std::vector<VmId> vms;
    std::map<CellId, std::vector<EndpointInfo>> cells;
    std::map<ModelId, std::vector<CellId>> byModel;
    std::unordered_map<EndpointId, CellId> byEndpoint;
    mutable std::unordered_map<CellId, std::vector<VmId>> owners; // Filled on demand.
};

CellMap::CellMap(CellMapOptions options)
    : d_(std::make_unique<Private>())
{
    d_->options = options;
}

CellMap::~CellMap() = default;
CellMap::CellMap(CellMap &&) noexcept = default;
CellMap &CellMap::operator=(CellMap &&) noexcept = default;

void CellMap::setEndpoints(const std::vector<EndpointInfo> &endpoints)
{
    d_->cells.clear();
    d_->byModel.clear();
    d_->byEndpoint.clear();
    std::map<ModelId, std::map<EndpointId, const EndpointInfo *>> models;
    for (const EndpointInfo &info : endpoints) {
        models[info.model].insert_or_assign(info.id, &info);
    }
    for (const auto &[model, members] : models) {
        const std::size_t cellSize = std::max<std::size_t>(1, d_->options.cellSize);
        const std::size_t count = std::max<std::size_t>(1, (members.size() + cellSize - 1) / cellSize);
        std::vector<CellId> &names = d_->byModel[model];
        for (std::size_t i = 0; i < count; ++i) {
            names.emplace_back(model.value() + "/" + std::to_string(i));
        }
        // A Gone endpoint keeps its position, so that the loss of one endpoint does not move the others to other cells.
        std::size_t position = 0;
        for (const auto &[id, info] : members) {
            const CellId &cell = names[position++ % count];
            if (info->state != EndpointState::Gone) {
                d_->cells[cell].push_back(*info);
                d_->byEndpoint.emplace(id, cell);
            }
        }
        std::erase_if(names, [&](const CellId &name) { return d_->cells.count(name) == 0; });
    }
}

void CellMap::setVms(const std::vector<VmId> &vms)
{
    if (vms != d_->vms) {
        d_->vms = vms;
        d_->owners.clear();
    }
}

std::vector<CellId> CellMap::cellsOf(const ModelId &model) const
{
    const auto found = d_->byModel.find(model);
    return found == d_->byModel.end() ? std::vector<CellId>{} : found->second;
}

CellId CellMap::cellOf(const EndpointId &endpoint) const
{
    const auto found = d_->byEndpoint.find(endpoint);
    return found == d_->byEndpoint.end() ? CellId{} : found->second;
}

std::vector<EndpointInfo> CellMap::endpointsOf(const CellId &cell) const
{
    const auto found = d_->cells.find(cell);
    return found == d_->cells.end() ? std::vector<EndpointInfo>{} : found->second;
}

const std::vector<VmId> &CellMap::owners(const CellId &cell) const
{
    const auto found = d_->owners.find(cell);
    if (found != d_->owners.end()) {
        return found->second;
    }
    return d_->owners.emplace(cell, rendezvousOrder(cell.value(), d_->vms)).first->second;
}

std::vector<CellId> CellMap::ownedBy(const VmId &vm) const
{
    std::vector<CellId> owned;
    for (const auto &[cell, members] : d_->cells) {
        const std::vector<VmId> &order = owners(cell);
        if (!order.empty() && order.front() == vm) {
            owned.push_back(cell);
        }
    }
    return owned;
}

} // namespace daisystream
