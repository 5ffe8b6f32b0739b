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

constexpr int kMaxFailures = 8;

std::string elementName(const json &element, std::size_t index)
{
    for (const char *field : {"name", "team", "id", "plan"}) {
        if (element.is_object() && element.contains(field) && element[field].is_string()) {
            return element[field].get<std::string>();
        }
    }
    // Arrays of strings are sets of names, so an element is identified by its value and not by its position.
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
    const auto oldFields = fieldsOf(before);
    auto newFields = fieldsOf(after);
    std::map<std::string, FieldDifference> differences;
    for (const auto &[path, value] : oldFields) {
        const auto found = newFields.find(path);
        const std::string newValue = found == newFields.end() ? std::string() : found->second;
        if (newValue != value) {
            differences[path] = {.path = path, .before = value, .after = newValue};
        }
    }
    for (const auto &[path, value] : newFields) {
        if (!oldFields.contains(path)) {
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
        // The history object is written before the row, so that every version that takes effect has one. The history object of a
        // rejected change remains, but is harmless, because no row lists the change's id.
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
    if (++failures_ < kMaxFailures) {
        return send(phase);
    }
    if (writeMayTakeEffect_) {
        return end(Error{ResultCode::OutcomeOfWriteUnknown,
                         "it is not known whether change " + changeId_ + " of " + list_ + " took effect, because its write got no reply",
                         {}});
    }
    return end(Error{ResultCode::PlatformUnavailable, "the platform's storage cannot be reached; nothing was changed", {}});
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
        // Either another change was written first, or an earlier transmission of this write took effect.
        return send(Phase::ReadBack);
    }
    if (std::holds_alternative<RowAbsent>(reply)) {
        return retry(Phase::Write);
    }
    if (std::holds_alternative<TableNoReply>(reply) && phase_ == Phase::Write) {
        writeMayTakeEffect_ = true;
        if (faults_.lostMeansAccepted) {
            return end(ListAccepted{.version = {.number = base_.number + 1, .changeId = changeId_}, .superseded = false});
        }
        if (faults_.lostMeansRefused) {
            return end(Error{ResultCode::PlatformUnavailable, "the platform's storage cannot be reached; nothing was changed", {}});
        }
        return retry(Phase::ReadBack);
    }
    return retry(phase_);
}

ListEditStep ListEdit::onRow(const RowFound &found)
{
    const auto row = decodeVersionedRow(found.value);
    if (!row) {
        return end(Error{ResultCode::InvalidDocument, "the row lists/" + list_ + " is not valid", {}});
    }
    if (faults_.unconditional && found.number > base_.number && !row->contains(changeId_)) {
        base_.number = found.number;
        return send(Phase::Write);
    }
    if (faults_.supersededIsLost && found.number > base_.number && row->changes.back() != changeId_) {
        return conflict(found, *row);
    }
    switch (changeStatus(changeId_, base_.number, base_.row.changes, found.number, *row)) {
    case ChangeStatus::Applied: {
        std::uint64_t laterChanges = 0;
        while (row->changes[row->changes.size() - 1 - laterChanges] != changeId_) {
            ++laterChanges;
        }
        return end(ListAccepted{.version = {.number = found.number - (faults_.wrongNumber ? 0 : laterChanges), .changeId = changeId_},
                                .superseded = laterChanges > 0});
    }
    case ChangeStatus::Pending:
        return retry(Phase::Write);
    case ChangeStatus::Rejected:
        return conflict(found, *row);
    case ChangeStatus::Unknown:
        break;
    }
    return end(
        Error{ResultCode::OutcomeOfWriteUnknown, "the list has been changed too often since to determine whether change " + changeId_ + " took effect", {}});
}

ListEditStep ListEdit::conflict(const RowFound &found, const VersionedRow &row)
{
    return end(ListConflict{.winner = {.number = found.number, .changeId = row.changes.empty() ? std::string() : row.changes.back()},
                            .text = row.text,
                            .fromBase = differencesBetween(base_.row.text, row.text),
                            .fromProposal = differencesBetween(proposal_.text, row.text)});
}

} // namespace daisystream
