#include "daisystream/lease/leaseholder.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace daisystream
{
namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds kRetryAfterFailure{500};

} // namespace

LeaseHolder::LeaseHolder(std::string name, VmId self, std::uint64_t incarnation, LeaseOptions options)
    : key_("leases/" + std::move(name))
    , self_(std::move(self))
    , incarnation_(incarnation)
    , options_(options)
{
}

std::optional<TableAction> LeaseHolder::poll(TimePoint now)
{
    if (requestPending_ || (nextPoll_ && now < *nextPoll_)) {
        return std::nullopt;
    }
    requestPending_ = true;
    const bool isHolder = rowKnown_ && rowHolder_ == self_ && rowHolderIncarnation_ == incarnation_;
    if (!writeOutcomeUnknown_ && isHolder) {
        // Renewal with the same fencing number. If another VM has held the lease meanwhile, the row has another number and the
        // conditional write fails.
        return write(rowFencing_, now);
    }
    const auto takeOverDelay = std::chrono::duration_cast<Duration>(options_.duration * (1 + options_.clockDrift));
    const bool expired = rowKnown_ && !isHolder && !options_.faults.neverTakeOver && (now - rowFirstSeenAt_ >= takeOverDelay || options_.faults.takeOverAtOnce);
    if (!writeOutcomeUnknown_ && (expired || rowAbsent_)) {
        return write(options_.faults.sameFencingNumber ? std::max<std::uint64_t>(rowFencing_, 1) : rowFencing_ + 1, now);
    }
    return TableRead{.key = key_};
}

TableAction LeaseHolder::write(std::uint64_t fencing, TimePoint now)
{
    sentAt_ = now;
    writeFencing_ = fencing;
    writeId_ = self_.value() + "/" + std::to_string(incarnation_) + "/" + std::to_string(++writeCount_);
    const json row{{"holder", self_.value()},
                   {"incarnation", incarnation_},
                   {"fencing", fencing},
                   {"durationMs", std::chrono::duration_cast<std::chrono::milliseconds>(options_.duration).count()},
                   {"write", writeId_}};
    return TableWrite{.key = key_, .ifNumber = rowAbsent_ ? 0 : rowNumber_, .value = row.dump()};
}

void LeaseHolder::onReply(const TableReply &reply, TimePoint now)
{
    requestPending_ = false;
    nextPoll_ = now + options_.renewInterval;
    if (const auto *written = std::get_if<RowWritten>(&reply)) {
        onWritten(written->number, now);
    } else if (const auto *row = std::get_if<RowFound>(&reply)) {
        onRow(*row, now);
    } else if (std::holds_alternative<RowAbsent>(reply)) {
        rowAbsent_ = !rowKnown_;
        writeOutcomeUnknown_ = false;
        nextPoll_ = now;
    } else if (std::holds_alternative<RowConflict>(reply)) {
        if (options_.faults.unconditional) {
            onWritten(rowNumber_ + 1, now);
            return;
        }
        // Either another VM has written the row, or an earlier copy of this write took effect. Reading the row shows which.
        rowAbsent_ = false;
        writeOutcomeUnknown_ = true;
        nextPoll_ = now;
    } else {
        const bool writeMayTakeEffect = !writeId_.empty() && std::holds_alternative<TableNoReply>(reply);
        writeOutcomeUnknown_ = writeOutcomeUnknown_ || writeMayTakeEffect;
        nextPoll_ = now + kRetryAfterFailure;
    }
}

void LeaseHolder::onWritten(std::uint64_t number, TimePoint now)
{
    const bool isRenewal = heldFencing_ == writeFencing_ && rowKnown_ && rowHolder_ == self_;
    const TimePoint validFrom = options_.faults.countFromReply ? now : sentAt_;
    validUntil_ = validFrom + options_.duration;
    if (!isRenewal) {
        heldSince_ = sentAt_;
    }
    heldFencing_ = writeFencing_;
    rowFencing_ = writeFencing_;
    rowNumber_ = number;
    rowHolder_ = self_;
    rowHolderIncarnation_ = incarnation_;
    rowFirstSeenAt_ = now;
    rowKnown_ = true;
    rowAbsent_ = false;
    writeOutcomeUnknown_ = false;
    writeId_.clear();
    nextPoll_ = sentAt_ + options_.renewInterval;
}

void LeaseHolder::onRow(const RowFound &row, TimePoint now)
{
    if (rowKnown_ && row.number < rowNumber_) {
        return; // The read returned an older version of the row.
    }
    const json value = json::parse(row.value, nullptr, false);
    if (!value.is_object()) {
        return;
    }
    const std::string lastWrite = value.value("write", "");
    if (writeOutcomeUnknown_ && lastWrite == writeId_) {
        // The reply to the write was lost, but the write took effect.
        onWritten(row.number, now);
        return;
    }
    if (writeOutcomeUnknown_ && row.number == rowNumber_) {
        // The write has not taken effect yet, but still may. The next write has the same condition, so at most one of the two takes
        // effect, and the one that does was sent no earlier than the first.
        writeOutcomeUnknown_ = false;
        nextPoll_ = now;
        return;
    }
    writeOutcomeUnknown_ = false;
    if (!rowKnown_ || row.number != rowNumber_) {
        rowNumber_ = row.number;
        rowFirstSeenAt_ = now;
    }
    rowKnown_ = true;
    rowAbsent_ = false;
    rowFencing_ = value.value("fencing", std::uint64_t{0});
    rowHolder_ = VmId(value.value("holder", ""));
    rowHolderIncarnation_ = value.value("incarnation", std::uint64_t{0});
    if (rowHolder_ != self_ || rowHolderIncarnation_ != incarnation_) {
        heldFencing_ = options_.faults.neverExpires ? heldFencing_ : 0;
    }
}

std::optional<TimePoint> LeaseHolder::nextWake() const
{
    return requestPending_ ? std::nullopt : nextPoll_;
}

std::optional<std::uint64_t> LeaseHolder::fencingNumber(TimePoint now) const
{
    if (heldFencing_ == 0 || (now >= validUntil_ && !options_.faults.neverExpires)) {
        return std::nullopt;
    }
    return heldFencing_;
}

std::optional<std::uint64_t> LeaseHolder::fencingNumberForUnfencedEngines(TimePoint now) const
{
    // The lease of the earlier holder ended before this one began, so its last order was sent before `heldSince_`.
    const bool earlierOrdersEnded = now >= heldSince_ + options_.orderLifetime || options_.faults.noSettling;
    return earlierOrdersEnded && !options_.faults.neverSettled ? fencingNumber(now) : std::nullopt;
}

} // namespace daisystream
