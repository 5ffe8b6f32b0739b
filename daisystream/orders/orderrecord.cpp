#include "daisystream/orders/orderrecord.h"

#include "daisystream/base/base64.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace daisystream
{
namespace
{

using nlohmann::json;

// The caller is waiting for the decision, so this number of unsuccessful requests ends the attempt. Recording an outcome is
// retried without this limit.
constexpr int kMaxFailures = 3;

const char *stateNameOf(const OrderRow &row)
{
    constexpr const char *kNames[] = {"running", "done", "notRun", "unknown"};
    return kNames[row.state.index()];
}

OrderRow withOutcome(OrderRow row, const OrderOutcome &outcome)
{
    std::visit([&row](const auto &state) { row.state = state; }, outcome);
    return row;
}

} // namespace

std::string rowKeyOf(const OrderKey &order)
{
    return "orders/" + order.team.value() + "/" + order.service.value() + "/" + toBase64Url(order.key);
}

std::string encode(const OrderRow &row)
{
    json value{{"attempt", row.attempt.id},
               {"vm", row.attempt.vm.value()},
               {"incarnation", row.attempt.incarnation},
               {"digest", row.attempt.digest},
               {"state", stateNameOf(row)}};
    if (const auto *done = std::get_if<OrderDone>(&row.state)) {
        value["status"] = done->status;
        value["contentType"] = done->contentType;
        value["body"] = toBase64Url(done->body); // The body may contain any bytes, which JSON strings cannot.
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<OrderRow> decodeOrderRow(std::string_view value)
{
    try {
        const json document = json::parse(value);
        OrderRow row;
        row.attempt = {.id = document.at("attempt").get<std::string>(),
                       .vm = VmId(document.at("vm").get<std::string>()),
                       .incarnation = document.at("incarnation").get<std::uint64_t>(),
                       .digest = document.at("digest").get<std::string>()};
        const auto state = document.at("state").get<std::string>();
        if (state == "done") {
            auto body = fromBase64Url(document.at("body").get<std::string>());
            if (!body) {
                return std::nullopt;
            }
            row.state = OrderDone{
                .status = document.at("status").get<std::uint16_t>(), .contentType = document.at("contentType").get<std::string>(), .body = std::move(*body)};
        } else if (state == "notRun") {
            row.state = OrderNotRun{};
        } else if (state == "unknown") {
            row.state = OrderUnknown{};
        } else if (state != "running") {
            return std::nullopt;
        }
        return row;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

OrderRecord::OrderRecord(OrderKey order, OrderAttempt attempt, internal::OrderRecordFaults faults)
    : order_(std::move(order))
    , attempt_(std::move(attempt))
    , faults_(faults)
{
    if (faults_.ignoreKey) {
        order_.key.clear();
    }
}

OrderStep OrderRecord::start()
{
    return insert();
}

OrderStep OrderRecord::insert()
{
    phase_ = Phase::Insert;
    return TableWrite{.key = rowKeyOf(order_), .ifNumber = number_, .value = encode({.attempt = attempt_, .state = OrderRunning{}})};
}

OrderStep OrderRecord::readBack()
{
    phase_ = Phase::ReadBack;
    return TableRead{.key = rowKeyOf(order_)};
}

OrderStep OrderRecord::decide(Phase phase, OrderBegin decision)
{
    phase_ = phase;
    failures_ = 0;
    return decision;
}

OrderStep OrderRecord::abandon()
{
    const bool cleanUpNeeded = insertMayTakeEffect_ && !faults_.abandonWithoutTrace;
    return decide(
        cleanUpNeeded ? Phase::Abandoned : Phase::Decided,
        Error{ResultCode::PlatformUnavailable, "the platform's table cannot be reached; this attempt has not run the order", std::chrono::seconds(1)});
}

OrderStep OrderRecord::onReply(const TableReply &reply)
{
    switch (phase_) {
    case Phase::Insert:
        return onInsertReply(reply);
    case Phase::ReadBack:
        return onReadBack(reply);
    case Phase::Record:
    case Phase::RecordReadBack:
        return onRecordReply(reply);
    case Phase::Running:
    case Phase::Abandoned:
    case Phase::Decided:
        break;
    }
    return OrderRecorded{};
}

OrderStep OrderRecord::onInsertReply(const TableReply &reply)
{
    if (const auto *written = std::get_if<RowWritten>(&reply)) {
        number_ = written->number;
        return decide(Phase::Running, OrderRun{});
    }
    if (std::holds_alternative<RowConflict>(reply)) {
        return faults_.ignoreConflict ? decide(Phase::Running, OrderRun{}) : readBack();
    }
    if (std::holds_alternative<TableNoReply>(reply)) {
        insertMayTakeEffect_ = true;
        if (faults_.lostMeansInserted) {
            return decide(Phase::Running, OrderRun{});
        }
    }
    return ++failures_ < kMaxFailures ? readBack() : abandon();
}

OrderStep OrderRecord::onReadBack(const TableReply &reply)
{
    if (const auto *found = std::get_if<RowFound>(&reply)) {
        return onRow(*found);
    }
    if (std::holds_alternative<RowAbsent>(reply)) {
        // The insert has not taken effect yet, or the read was stale. The insert is conditional, so repeating it is safe.
        return ++failures_ < kMaxFailures ? insert() : abandon();
    }
    return ++failures_ < kMaxFailures ? readBack() : abandon();
}

OrderStep OrderRecord::onRow(const RowFound &found)
{
    auto row = decodeOrderRow(found.value);
    if (!row) {
        return decide(Phase::Decided, Error{ResultCode::OrderOutcomeUnknown, "the order's row in the table is not valid", {}});
    }
    foundNumber_ = found.number;
    found_ = row;
    if (row->attempt.id == attempt_.id && std::holds_alternative<OrderRunning>(row->state)) {
        number_ = found.number;
        return decide(Phase::Running, OrderRun{});
    }
    if (row->attempt.digest != attempt_.digest) {
        return decide(Phase::Decided, Error{ResultCode::MalformedRequest, "the key was used for an order with other content", {}});
    }
    if (const auto *done = std::get_if<OrderDone>(&row->state)) {
        return decide(Phase::Decided, OrderReplay{*done});
    }
    if (std::holds_alternative<OrderUnknown>(row->state)) {
        return decide(Phase::Decided, Error{ResultCode::OrderOutcomeUnknown, "the service's response was lost", {}});
    }
    const bool reusable = std::holds_alternative<OrderNotRun>(row->state) || faults_.rerunUnfinished;
    if (reusable && ++failures_ < kMaxFailures) {
        // The earlier attempt did not send the order, so this attempt may replace the row if it has not changed since the read.
        number_ = found.number;
        return insert();
    }
    return reusable ? abandon() : decide(Phase::Decided, OrderInProgress{});
}

OrderStep OrderRecord::finish(const OrderOutcome &outcome)
{
    OrderOutcome recorded = outcome;
    if (std::holds_alternative<OrderUnknown>(outcome) && faults_.unknownMeansNotRun) {
        recorded = OrderNotRun{};
    } else if (std::holds_alternative<OrderUnknown>(outcome) && faults_.unknownMeansDone) {
        recorded = OrderDone{};
    }
    outcome_ = withOutcome({.attempt = attempt_, .state = {}}, recorded);
    return record();
}

OrderStep OrderRecord::settle(std::uint64_t number, const OrderRow &row, const std::variant<OrderDone, OrderUnknown> &outcome)
{
    number_ = number;
    outcome_ = row;
    std::visit([this](const auto &state) { outcome_.state = state; }, outcome);
    return record();
}

OrderStep OrderRecord::cleanUp()
{
    outcome_ = withOutcome({.attempt = attempt_, .state = {}}, OrderNotRun{});
    return record();
}

OrderStep OrderRecord::record()
{
    phase_ = Phase::Record;
    return TableWrite{.key = rowKeyOf(order_), .ifNumber = number_, .value = encode(outcome_)};
}

OrderStep OrderRecord::onRecordReply(const TableReply &reply)
{
    if (std::holds_alternative<RowWritten>(reply)) {
        phase_ = Phase::Decided;
        return OrderRecorded{};
    }
    if (phase_ == Phase::Record && (std::holds_alternative<RowConflict>(reply) || std::holds_alternative<TableNoReply>(reply))) {
        phase_ = Phase::RecordReadBack;
        return TableRead{.key = rowKeyOf(order_)};
    }
    // If the row's number is not above the expected one, the read was stale or the write has not taken effect yet.
    if (const auto *found = std::get_if<RowFound>(&reply); found != nullptr && found->number > number_) {
        const auto row = decodeOrderRow(found->value);
        const bool ofOtherAttempt = !row || row->attempt.id != outcome_.attempt.id;
        if (ofOtherAttempt || std::holds_alternative<OrderDone>(row->state) || row->state.index() == outcome_.state.index()) {
            // The outcome is already recorded, or the row belongs to another attempt.
            phase_ = Phase::Decided;
            return OrderRecorded{};
        }
        number_ = found->number;
    }
    return record();
}

} // namespace daisystream
