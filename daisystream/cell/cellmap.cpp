#include "daisystream/cell/cellmap.h"

#include "daisystream/base/stablehash.h"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>

namespace daisystream
{

namespace
{

/// Rendezvous hashing: selects the cell with the highest score for the endpoint, so that an additional cell takes only its own
/// share of the endpoints and the others stay where they are.
/// @return the index of the cell in `cells`, which must not be empty.
std::size_t cellIndex(const EndpointId &endpoint, const std::vector<CellId> &cells)
{
    std::size_t best = 0;
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        const std::uint64_t score = stableHash(endpoint.value() + '/' + cells[i].value());
        if (i == 0 || score > bestScore) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

} // namespace

class CellMap::Private
{
public:
    CellMapOptions options;
    std::vector<VmId> vms;
    std::map<CellId, std::vector<EndpointInfo>> cells;
    std::map<ModelId, std::vector<CellId>> byModel;
    std::unordered_map<EndpointId, CellId> byEndpoint;
    mutable std::unordered_map<CellId, std::vector<VmId>> owners; ///< Cache, filled on demand by CellMap::owners().
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
        std::vector<CellId> &cellIds = d_->byModel[model];
        for (std::size_t i = 0; i < count; ++i) {
            cellIds.emplace_back(model.value() + "/" + std::to_string(i));
        }
        for (const auto &[id, info] : members) {
            // The cell depends only on the endpoint's id and the number of cells, so endpoints that appear or disappear do not
            // move the others to cells whose owners do not know what runs on them.
            const CellId &cell = cellIds[cellIndex(id, cellIds)];
            if (info->state != EndpointState::Gone) {
                d_->cells[cell].push_back(*info);
                d_->byEndpoint.emplace(id, cell);
            }
        }
        std::erase_if(cellIds, [&](const CellId &cellId) { return d_->cells.count(cellId) == 0; });
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

std::size_t CellMap::countInService(const CellId &cell) const
{
    const auto found = d_->cells.find(cell);
    if (found == d_->cells.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(), [](const EndpointInfo &info) { return info.state == EndpointState::InService; }));
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
