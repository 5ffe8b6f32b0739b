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
    if (requestOpen_ || (nextPoll_ && now < *nextPoll_)) {
        return std::nullopt;
    }
    requestOpen_ = true;
    const bool ours = rowKnown_ && holder_ == self_ && holderIncarnation_ == incarnation_;
    if (!readBack_ && ours) {
        // Renewal: nobody else has held the lease since, or the row would have another number.
        return write(fencing_, now);
    }
    const auto patience = std::chrono::duration_cast<Duration>(options_.duration * (1 + options_.clockDrift));
    const bool expired = rowKnown_ && !ours && !options_.faults.neverTakeOver && (now - firstSeen_ >= patience || options_.faults.takeOverAtOnce);
    if (!readBack_ && (expired || absent_)) {
        return write(options_.faults.sameFencingNumber ? std::max<std::uint64_t>(fencing_, 1) : fencing_ + 1, now);
    }
    return TableRead{.key = key_};
}

TableAction LeaseHolder::write(std::uint64_t fencing, TimePoint now)
{
    sentAt_ = now;
    writeFencing_ = fencing;
    writeId_ = self_.value() + "/" + std::to_string(incarnation_) + "/" + std::to_string(++writes_);
    const json row{{"holder", self_.value()},
                   {"incarnation", incarnation_},
                   {"fencing", fencing},
                   {"durationMs", std::chrono::duration_cast<std::chrono::milliseconds>(options_.duration).count()},
                   {"write", writeId_}};
    return TableWrite{.key = key_, .ifNumber = absent_ ? 0 : number_, .value = row.dump()};
}

void LeaseHolder::onReply(const TableReply &reply, TimePoint now)
{
    requestOpen_ = false;
    nextPoll_ = now + options_.renewEvery;
    if (const auto *written = std::get_if<RowWritten>(&reply)) {
        onWritten(written->number, now);
    } else if (const auto *row = std::get_if<RowFound>(&reply)) {
        onRow(*row, now);
    } else if (std::holds_alternative<RowAbsent>(reply)) {
        absent_ = !rowKnown_;
        readBack_ = false;
        nextPoll_ = now;
    } else if (std::holds_alternative<RowConflict>(reply)) {
        if (options_.faults.unconditional) {
            onWritten(number_ + 1, now);
            return;
        }
        // Another VM won, or an earlier copy of this write took effect: the row tells.
        absent_ = false;
        readBack_ = true;
        nextPoll_ = now;
    } else {
        const bool wrote = !writeId_.empty() && std::holds_alternative<TableLost>(reply);
        readBack_ = readBack_ || wrote;
        nextPoll_ = now + kRetryAfterFailure;
    }
}

void LeaseHolder::onWritten(std::uint64_t number, TimePoint now)
{
    const bool continued = heldFencing_ == writeFencing_ && rowKnown_ && holder_ == self_;
    const TimePoint from = options_.faults.countFromReply ? now : sentAt_;
    validUntil_ = from + options_.duration;
    if (!continued) {
        heldSince_ = sentAt_;
    }
    heldFencing_ = writeFencing_;
    fencing_ = writeFencing_;
    number_ = number;
    holder_ = self_;
    holderIncarnation_ = incarnation_;
    firstSeen_ = now;
    rowKnown_ = true;
    absent_ = false;
    readBack_ = false;
    writeId_.clear();
    nextPoll_ = sentAt_ + options_.renewEvery;
}

void LeaseHolder::onRow(const RowFound &row, TimePoint now)
{
    if (rowKnown_ && row.number < number_) {
        return; // A stale read.
    }
    const json value = json::parse(row.value, nullptr, false);
    if (!value.is_object()) {
        return;
    }
    const std::string lastWrite = value.value("write", "");
    if (readBack_ && lastWrite == writeId_) {
        // The reply was lost, the write was not.
        onWritten(row.number, now);
        return;
    }
    if (readBack_ && row.number == number_) {
        // The write may still take effect. The next one has the same condition, so at most one of them does, and whichever
        // does was sent no earlier than this one.
        readBack_ = false;
        nextPoll_ = now;
        return;
    }
    readBack_ = false;
    if (!rowKnown_ || row.number != number_) {
        number_ = row.number;
        firstSeen_ = now;
    }
    rowKnown_ = true;
    absent_ = false;
    fencing_ = value.value("fencing", std::uint64_t{0});
    holder_ = VmId(value.value("holder", ""));
    holderIncarnation_ = value.value("incarnation", std::uint64_t{0});
    if (holder_ != self_ || holderIncarnation_ != incarnation_) {
        heldFencing_ = options_.faults.neverExpires ? heldFencing_ : 0;
    }
}

std::optional<TimePoint> LeaseHolder::nextWake() const
{
    return requestOpen_ ? std::nullopt : nextPoll_;
}

std::optional<std::uint64_t> LeaseHolder::fencingNumber(TimePoint now) const
{
    if (heldFencing_ == 0 || (now >= validUntil_ && !options_.faults.neverExpires)) {
        return std::nullopt;
    }
    return heldFencing_;
}

std::optional<std::uint64_t> LeaseHolder::fencingNumberForUnfenced(TimePoint now) const
{
    // The earlier holder's lease had ended when this one began, so its last order was sent before heldSince_.
    const bool settled = now >= heldSince_ + options_.orderLifetime || options_.faults.noSettling;
    return settled && !options_.faults.neverSettled ? fencingNumber(now) : std::nullopt;
}

} // namespace daisystream
