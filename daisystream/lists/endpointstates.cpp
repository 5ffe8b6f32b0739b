#include "daisystream/lists/endpointstates.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace daisystream
{
namespace
{

using nlohmann::json;

constexpr int kMaxFailures = 16; // Includes conflicts, each of which means that another change succeeded.

std::optional<std::map<EndpointId, bool>> parseStates(const std::string &text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return std::nullopt;
    }
    std::map<EndpointId, bool> states;
    for (const auto &[endpoint, state] : document.items()) {
        states[EndpointId(endpoint)] = state == "draining";
    }
    return states;
}

} // namespace

EndpointStateList::EndpointStateList(internal::EndpointStateFaults faults)
    : faults_(faults)
{
}

bool EndpointStateList::offer(std::uint64_t number, const std::string &value)
{
    if (number <= number_ && !faults_.acceptLower) {
        return false;
    }
    const auto row = decodeVersionedRow(value);
    auto states = row ? parseStates(row->text) : std::nullopt;
    if (!states) {
        return false;
    }
    number_ = number;
    value_ = value;
    draining_ = std::move(*states);
    return true;
}

bool EndpointStateList::isDraining(const EndpointId &endpoint) const
{
    const auto found = draining_.find(endpoint);
    return found != draining_.end() && found->second;
}

std::vector<EndpointId> EndpointStateList::draining() const
{
    std::vector<EndpointId> endpoints;
    for (const auto &[endpoint, isDraining] : draining_) {
        if (isDraining) {
            endpoints.push_back(endpoint);
        }
    }
    return endpoints;
}

EndpointStateEdit::EndpointStateEdit(EndpointStateChange change, std::string changeId, internal::EndpointStateFaults faults)
    : change_(std::move(change))
    , changeId_(std::move(changeId))
    , faults_(faults)
{
}

EndpointStateStep EndpointStateEdit::start()
{
    return read();
}

EndpointStateStep EndpointStateEdit::read()
{
    writing_ = false;
    return TableRead{.key = kEndpointStateKey};
}

EndpointStateStep EndpointStateEdit::write(std::uint64_t number, const std::string &value)
{
    VersionedRow row;
    if (number > 0) {
        auto decoded = decodeVersionedRow(value);
        if (!decoded) {
            return EndpointStateOutcome(Error{ResultCode::InvalidDocument, std::string("the row ") + kEndpointStateKey + " is not valid", {}});
        }
        row = std::move(*decoded);
    }
    json states = json::parse(row.text, nullptr, false);
    if (!states.is_object() || faults_.overwrite) {
        states = json::object();
    }
    for (const EndpointId &endpoint : change_.endpoints) {
        if (change_.drain) {
            states[endpoint.value()] = "draining";
        } else {
            states.erase(endpoint.value());
        }
    }
    row.text = states.dump(-1, ' ', false, json::error_handler_t::replace);
    row.appendChange(changeId_);
    writing_ = true;
    return TableWrite{.key = kEndpointStateKey, .ifNumber = number, .value = encode(row)};
}

EndpointStateStep EndpointStateEdit::onReply(const TableReply &reply)
{
    if (const auto *written = std::get_if<RowWritten>(&reply)) {
        return EndpointStateOutcome(written->number);
    }
    if (const auto *found = std::get_if<RowFound>(&reply)) {
        const auto row = decodeVersionedRow(found->value);
        if (row && row->contains(changeId_) && !faults_.repeatAfterLoss) {
            return EndpointStateOutcome(found->number);
        }
        return write(found->number, found->value);
    }
    if (std::holds_alternative<RowAbsent>(reply)) {
        return write(0, {});
    }
    if (faults_.lostMeansAccepted && writing_ && std::holds_alternative<TableNoReply>(reply)) {
        return EndpointStateOutcome(std::uint64_t{1});
    }
    writeMayTakeEffect_ = writeMayTakeEffect_ || (writing_ && std::holds_alternative<TableNoReply>(reply));
    if (++failures_ < kMaxFailures) {
        return read();
    }
    if (writeMayTakeEffect_) {
        return EndpointStateOutcome(
            Error{ResultCode::OutcomeOfWriteUnknown, "it is not known whether change " + changeId_ + " took effect, because its write got no reply", {}});
    }
    return EndpointStateOutcome(Error{ResultCode::PlatformUnavailable, "the platform's table cannot be reached; nothing was changed", {}});
}

} // namespace daisystream
