#pragma once

#include "daisystream/base/ids.h"
#include "daisystream/endpoint/endpointinfo.h"
#include "daisystream/membership/rendezvous.h"

#include <cstdint>
#include <memory>
#include <vector>

/// @file
/// Divides the endpoints of each model into cells, and orders the VMs that own each cell. The owner of a cell queues the
/// requests for it and assigns them to its endpoints. All VMs that know the same endpoints and the same live VMs compute the
/// same map without exchanging messages.
///
/// Example:
/// @code
///   CellMap cells(CellMapOptions{});
///   cells.setEndpoints(endpoints);
///   cells.setVms(liveVms);
///   for (const CellId &cell : cells.cellsOf(ModelId("assistant"))) {
///       sendAsk(cells.owners(cell).front(), cell, request);
///   }
/// @endcode

namespace daisystream
{

using CellId = Id<struct CellTag>; ///< Name of a cell, a group of endpoints of one model: `<model>/<index>`.

/// Settings of CellMap. They must be the same on all VMs.
struct CellMapOptions
{
    /// Upper bound of the average number of endpoints in a cell. Ranks of requests and fairness between teams are enforced exactly only within
    /// a cell, so this number is large enough that a small fleet has a single cell for each model.
    std::uint32_t cellSize = 64;
};

/// Maps endpoints to cells and cells to VMs. Thread-compatible.
class CellMap
{
public:
    /// @param options settings, fixed for the lifetime of the map.
    explicit CellMap(CellMapOptions options);
    ~CellMap();
    CellMap(CellMap &&) noexcept;
    CellMap &operator=(CellMap &&) noexcept;

    /// Replaces the endpoints. Those in state Draining stay in their cell; those in state Gone belong to no cell.
    /// @param endpoints all known endpoints. If an id occurs twice, the last entry counts.
    void setEndpoints(const std::vector<EndpointInfo> &endpoints);

    /// Replaces the live VMs, which own the cells.
    /// @param vms the ids, in any order.
    void setVms(const std::vector<VmId> &vms);

    /// @return the cells of a model in the order of their index; empty if no endpoint runs the model.
    [[nodiscard]] std::vector<CellId> cellsOf(const ModelId &model) const;

    /// @return the cell of an endpoint; an empty id if the endpoint is unknown or Gone.
    [[nodiscard]] CellId cellOf(const EndpointId &endpoint) const;

    /// @return the endpoints of a cell in the order of their ids; empty if the cell is unknown.
    [[nodiscard]] std::vector<EndpointInfo> endpointsOf(const CellId &cell) const;

    /// @return the number of endpoints of a cell in state InService, which take new work.
    [[nodiscard]] std::size_t countInService(const CellId &cell) const;

    /// @return the live VMs in the order in which they are asked; the first one owns the cell, the others replace it in turn.
    ///     The reference is valid until the next call of setVms().
    [[nodiscard]] const std::vector<VmId> &owners(const CellId &cell) const;

    /// @return all cells that the VM owns, in the order of their ids.
    [[nodiscard]] std::vector<CellId> ownedBy(const VmId &vm) const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
