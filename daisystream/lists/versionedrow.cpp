#include "daisystream/lists/versionedrow.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace daisystream
{

using nlohmann::json;

void VersionedRow::appendChange(std::string changeId)
{
    changes.push_back(std::move(changeId));
    if (changes.size() > kChangesKept) {
        changes.erase(changes.begin());
    }
}

bool VersionedRow::contains(std::string_view changeId) const
{
    return std::find(changes.begin(), changes.end(), changeId) != changes.end();
}

std::string encode(const VersionedRow &row)
{
    return json{{"changes", row.changes}, {"text", row.text}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<VersionedRow> decodeVersionedRow(std::string_view value)
{
    try {
        const json document = json::parse(value);
        return VersionedRow{.text = document.at("text").get<std::string>(), .changes = document.at("changes").get<std::vector<std::string>>()};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

ChangeStatus
changeStatus(const std::string &changeId, std::uint64_t baseNumber, const std::vector<std::string> &baseChanges, std::uint64_t number, const VersionedRow &row)
{
    if (row.contains(changeId)) {
        return ChangeStatus::Applied;
    }
    // The read was stale, or the row has not been changed since.
    if (number <= baseNumber) {
        return ChangeStatus::Pending;
    }
    const bool includesBase = baseChanges.empty() ? row.changes.size() < VersionedRow::kChangesKept : row.contains(baseChanges.back());
    return includesBase ? ChangeStatus::Rejected : ChangeStatus::Unknown;
}

} // namespace daisystream
