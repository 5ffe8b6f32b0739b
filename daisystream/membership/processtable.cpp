#include "daisystream/membership/processtable.h"

#include <algorithm>

namespace daisystream
{

namespace
{

constexpr std::size_t kFormerProcesses = 16;

} // namespace

SenderProcess ProcessTable::onMessage(const VmId &from, std::uint64_t incarnation)
{
    const auto [entry, isNew] = vms_.try_emplace(from, Processes{.present = incarnation, .former = {}});
    Processes &processes = entry->second;
    if (isNew || processes.present == incarnation) {
        return SenderProcess::Known;
    }
    if (std::find(processes.former.begin(), processes.former.end(), incarnation) != processes.former.end()) {
        return SenderProcess::Former;
    }
    processes.former.push_back(processes.present);
    if (processes.former.size() > kFormerProcesses) {
        processes.former.pop_front();
    }
    processes.present = incarnation;
    return SenderProcess::Replacement;
}

} // namespace daisystream
