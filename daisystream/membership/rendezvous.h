#pragma once

#include "daisystream/base/ids.h"

#include <optional>
#include <string_view>
#include <vector>

/// @file
/// Rendezvous hashing: assigns names, such as those of cells, to VMs. All VMs with the same list of VMs compute the same
/// assignment, and the loss of a VM moves only the names that were assigned to it.
///
/// Example:
/// @code
///   const auto order = rendezvousOrder("cell/assistant-0", table.live(now));
///   ask(order.front()); // If it does not reply in time: order[1].
/// @endcode

namespace daisystream
{

/// Orders VMs by their score for a name. Each score costs one SHA-256, so callers should keep the result until the set of VMs
/// changes.
/// @param name what is assigned.
/// @param vms the candidates, in any order.
/// @return the VMs by decreasing score: the owner first, then those that replace it in turn.
[[nodiscard]] std::vector<VmId> rendezvousOrder(std::string_view name, const std::vector<VmId> &vms);

/// @return the first VM of rendezvousOrder(), or nothing if `vms` is empty.
[[nodiscard]] std::optional<VmId> rendezvousOwner(std::string_view name, const std::vector<VmId> &vms);

} // namespace daisystream
