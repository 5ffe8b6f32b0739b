#include "daisystream/cell/cellmap.h"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>

namespace daisystream
{

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
