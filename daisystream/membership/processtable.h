#pragma once

#include "daisystream/base/ids.h"

#include <cstdint>
#include <deque>
#include <map>

/// @file
/// Tells which process of each VM is the present one, by the incarnations in the messages of the VM.
///
/// What a process of a VM holds at other VMs ends with the process, also if the VM is back before its silence is noticed. Incarnations
/// are not compared with each other, because the clock of a VM may be set back before it restarts: the process whose first message came
/// last is the present one.
///
/// Example:
/// @code
///   if (processes.onMessage(from, incarnation) == SenderProcess::Replacement) {
///       releaseAllOf(from);
///   }
/// @endcode

namespace daisystream
{

/// What a message says about the process that sent it.
enum class SenderProcess : std::uint8_t {
    Known,       ///< It is the present process of its VM, or the first one that is heard.
    Replacement, ///< It has replaced the process that was the present one.
    Former,      ///< It was replaced before; the message arrived late.
};

/// Thread-compatible.
class ProcessTable
{
public:
    /// Handles any message of a VM.
    SenderProcess onMessage(const VmId &from, std::uint64_t incarnation);

private:
    struct Processes
    {
        std::uint64_t present = 0;
        std::deque<std::uint64_t> former; ///< The latest ones. Connections of earlier ones have ended.
    };

    std::map<VmId, Processes> vms_;
};

} // namespace daisystream
