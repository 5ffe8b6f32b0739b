#include "schedules/platformfake.h"
#include "schedules/properties.h"

namespace daisystream::schedules
{
Property listsProperty()
{
    return {.name = "lists", .run = [](std::uint64_t, const Faults &) { return std::optional<std::string>(); }, .mutations = {}};
}
} // namespace daisystream::schedules
