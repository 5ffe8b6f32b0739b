#pragma once

#include "daisystream/base/ids.h"

#include <optional>
#include <string_view>
#include <vector>

/// @file
/// Assigns names to VMs so that all VMs with the same view agree, and so that the loss of a VM moves only its own names.
///
/// Example:
/// @code
///   const auto order = rendezvousOrder("cell/assistant-0", table.live(now));
///   ask(order.front()); // After a timeout: order[1].
/// @endcode

namespace daisystream
{

/// @return the VMs by falling score for the name: the owner first, then those that replace it in turn. Each score is a
///     SHA-256, so a caller keeps the result until the set of VMs changes.
[[nodiscard]] std::vector<VmId> rendezvousOrder(std::string_view name, const std::vector<VmId> &vms);

/// @return the first VM of rendezvousOrder(), or nothing if there is no VM.
[[nodiscard]] std::optional<VmId> rendezvousOwner(std::string_view name, const std::vector<VmId> &vms);

} // namespace daisystream
