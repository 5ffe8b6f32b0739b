#include "daisystream/lists/listedit.h"

#include "daisystream/lists/document.h"

#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace daisystream
{
namespace
{

using nlohmann::json;

constexpr int kFailuresAllowed = 8;

std::string elementName(const json &element, std::size_t index)
{
    for (const char *field : {"name", "team", "id", "plan"}) {
        if (element.is_object() && element.contains(field) && element[field].is_string()) {
            return element[field].get<std::string>();
        }
    }
    // Elements that are plain values are sets of names: their order does not matter.
    return element.is_string() ? element.get<std::string>() : std::to_string(index);
}

void flatten(const json &value, const std::string &path, std::map<std::string, std::string> &fields)
{
    if (value.is_object()) {
        for (const auto &[name, member] : value.items()) {
            flatten(member, Document::join(path, name), fields);
        }
    } else if (value.is_array()) {
        for (std::size_t i = 0; i < value.size(); ++i) {
            flatten(value[i], path + "[" + elementName(value[i], i) + "]", fields);
        }
    } else {
        fields[path] = value.dump(-1, ' ', false, json::error_handler_t::replace);
    }
}

std::map<std::string, std::string> fieldsOf(std::string_view text)
{
    std::map<std::string, std::string> fields;
    const json document = json::parse(text, nullptr, false, true);
    if (document.is_discarded()) {
        fields[""] = std::string(text);
    } else {
        flatten(document, "", fields);
    }
    return fields;
}

} // namespace

std::vector<FieldDifference> differencesBetween(std::string_view before, std::string_view after)
{
    const auto old = fieldsOf(before);
    auto fresh = fieldsOf(after);
    std::map<std::string, FieldDifference> differences;
    for (const auto &[path, value] : old) {
        const auto found = fresh.find(path);
        const std::string now = found == fresh.end() ? std::string() : found->second;
        if (now != value) {
            differences[path] = {.path = path, .before = value, .after = now};
        }
    }
    for (const auto &[path, value] : fresh) {
        if (!old.contains(path)) {
            differences[path] = {.path = path, .before = {}, .after = value};
        }
    }
    std::vector<FieldDifference> sorted;
    sorted.reserve(differences.size());
    for (auto &[path, difference] : differences) {
        sorted.push_back(std::move(difference));
    }
    return sorted;
}

std::string historyKey(const std::string &list, std::uint64_t number, const std::string &changeId)
{
    return "history/" + list + "/" + std::to_string(number) + "-" + changeId;
}

ListEdit::ListEdit(std::string list, ListBase base, std::string text, std::string changeId, internal::ListEditFaults faults)
    : list_(std::move(list))
    , base_(std::move(base))
    , changeId_(std::move(changeId))
    , faults_(faults)
{
    proposal_ = {.text = std::move(text), .changes = base_.row.changes};
    proposal_.appendChange(changeId_);
}

ListEditStep ListEdit::start()
{
    return send(faults_.rowBeforeHistory ? Phase::Write : Phase::History);
}

ListEditStep ListEdit::send(Phase phase)
{
    phase_ = phase;
    switch (phase) {
    case Phase::History:
        // The object comes first: a version in force always has its history. That of a change that loses is never linked
        // from a row's changes and does no harm.
        return ObjectWrite{.key = historyKey(list_, base_.number + 1, changeId_), .value = encode(proposal_)};
    case Phase::Write:
        return TableWrite{.key = "lists/" + list_, .ifNumber = base_.number, .value = encode(proposal_)};
    case Phase::ReadBack:
    case Phase::Done:
        break;
    }
    return TableRead{.key = "lists/" + list_};
}

ListEditStep ListEdit::retry(Phase phase)
{
    if (++failures_ < kFailuresAllowed) {
        return send(phase);
    }
    if (mayTakeEffect_) {
        return end(Error{ResultCode::OutcomeOfWriteUnknown, "no reply tells whether change " + changeId_ + " of " + list_ + " took effect", {}});
    }
    return end(Error{ResultCode::PlatformUnavailable, "the platform cannot be reached; nothing was changed", {}});
}

ListEditStep ListEdit::end(ListEditOutcome outcome)
{
    phase_ = Phase::Done;
    return outcome;
}

ListEditStep ListEdit::onReply(const TableReply &reply)
{
    if (const auto *written = std::get_if<RowWritten>(&reply)) {
        return end(ListAccepted{.version = {.number = written->number, .changeId = changeId_}, .superseded = false});
    }
    if (const auto *found = std::get_if<RowFound>(&reply)) {
        return onRow(*found);
    }
    if (std::holds_alternative<ObjectWritten>(reply)) {
        return send(Phase::Write);
    }
    if (std::holds_alternative<RowConflict>(reply)) {
        // Either another change won, or an earlier copy of this write took effect.
        return send(Phase::ReadBack);
    }
    if (std::holds_alternative<RowAbsent>(reply)) {
        return retry(Phase::Write);
    }
    if (std::holds_alternative<TableLost>(reply) && phase_ == Phase::Write) {
        mayTakeEffect_ = true;
        if (faults_.lostMeansAccepted) {
            return end(ListAccepted{.version = {.number = base_.number + 1, .changeId = changeId_}, .superseded = false});
        }
        if (faults_.lostMeansRefused) {
            return end(Error{ResultCode::PlatformUnavailable, "the platform cannot be reached; nothing was changed", {}});
        }
        return retry(Phase::ReadBack);
    }
    return retry(phase_);
}

ListEditStep ListEdit::onRow(const RowFound &found)
{
    const auto row = decodeVersionedRow(found.value);
    if (!row) {
        return end(Error{ResultCode::InvalidDocument, "the row lists/" + list_ + " is not a list", {}});
    }
    if (faults_.unconditional && found.number > base_.number && !row->contains(changeId_)) {
        base_.number = found.number;
        return send(Phase::Write);
    }
    if (faults_.supersededIsLost && found.number > base_.number && row->changes.back() != changeId_) {
        return conflict(found, *row);
    }
    switch (fateOf(changeId_, base_.number, base_.row.changes, found.number, *row)) {
    case ChangeFate::Effective: {
        std::uint64_t later = 0;
        while (row->changes[row->changes.size() - 1 - later] != changeId_) {
            ++later;
        }
        return end(ListAccepted{.version = {.number = found.number - (faults_.wrongNumber ? 0 : later), .changeId = changeId_}, .superseded = later > 0});
    }
    case ChangeFate::Open:
        return retry(Phase::Write);
    case ChangeFate::Lost:
        return conflict(found, *row);
    case ChangeFate::Untold:
        break;
    }
    return end(Error{ResultCode::OutcomeOfWriteUnknown, "too many changes have passed to tell whether " + changeId_ + " took effect", {}});
}

ListEditStep ListEdit::conflict(const RowFound &found, const VersionedRow &row)
{
    return end(ListConflict{.winner = {.number = found.number, .changeId = row.changes.empty() ? std::string() : row.changes.back()},
                            .text = row.text,
                            .fromBase = differencesBetween(base_.row.text, row.text),
                            .fromProposal = differencesBetween(proposal_.text, row.text)});
}

} // namespace daisystream
