#include "daisystream/speed/slownesscollector.h"

#include "daisystream/membership/rendezvous.h"
#include "daisystream/speed/speedtable.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace daisystream
{
namespace
{

constexpr double kMaxLogarithm = 2.3; // A factor of ten: bound of the effect of a single report on the gain.

struct Entry
{
    std::optional<SlownessReport> known;     ///< Latest report that this VM has read or received.
    std::optional<SlownessReport> pending;   ///< Not announced yet; set at the collector only.
    std::optional<SlownessReport> announced; ///< Latest report that is known to the whole fleet.
    std::optional<TimePoint> announcedAt;    ///< When this VM last announced a report.
    double gainNumerator = 0;                ///< Regression of the logarithm of the durations on that of the slowness.
    double gainDenominator = 0;
    TimePoint gainAt{};                    ///< When both were last decayed.
    mutable std::optional<VmId> collector; ///< Computed when needed, since a rendezvous hash is expensive.
};

} // namespace

class SlownessCollector::Private
{
public:
    Private(VmId selfId, SlownessCollectorOptions collectorOptions)
        : self(std::move(selfId))
        , options(collectorOptions)
    {
    }

    /// @return whether a report differs from an earlier one, which loses its effect with age.
    [[nodiscard]] bool differs(const SlownessReport &report, const std::optional<SlownessReport> &before) const
    {
        const double expected = before ? decayedSlowness(before->percent, report.at - before->at) : 100.0;
        return std::abs(report.percent - expected) >= options.minChange * expected;
    }

    [[nodiscard]] bool isUsable(const SlownessReport &report, const std::optional<SlownessReport> &before, TimePoint now) const
    {
        return now - report.at <= options.maxAge && (!before || report.at > before->at);
    }

    void collect(Entry &entry, const SlownessReport &report) const
    {
        if (report.relativePercent && *report.relativePercent > 0 && report.percent > 0) {
            const double factor = std::exp2(-std::chrono::duration<double>(report.at - entry.gainAt) / speed.halfLife);
            const double slowness = std::clamp(std::log(report.percent / 100.0), -kMaxLogarithm, kMaxLogarithm);
            const double relative = std::clamp(std::log(*report.relativePercent / 100.0), -kMaxLogarithm, kMaxLogarithm);
            entry.gainNumerator = entry.gainNumerator * factor + slowness * relative;
            entry.gainDenominator = entry.gainDenominator * factor + slowness * slowness;
            entry.gainAt = report.at;
        }
        // A report that takes back a change which is not announced yet replaces it.
        if (differs(report, entry.announced)) {
            entry.pending = report;
        } else {
            entry.pending.reset();
        }
    }

    [[nodiscard]] std::uint32_t gainPercent(const Entry &entry) const
    {
        const double gain = (entry.gainNumerator + speed.priorGain * speed.priorGainWeight) / (entry.gainDenominator + speed.priorGainWeight);
        return static_cast<std::uint32_t>(std::lround(100 * std::clamp(gain, 0.0, 1.0)));
    }

    [[nodiscard]] const VmId &collectorOf(const EndpointId &endpoint, const Entry &entry) const
    {
        if (!entry.collector) {
            entry.collector = rendezvousOwner("slowness/" + endpoint.value(), vms).value_or(self);
        }
        return *entry.collector;
    }

    VmId self;
    SlownessCollectorOptions options;
    SpeedTableOptions speed; ///< For the prior of the gain and its half-life.
    std::vector<VmId> vms;
    std::unordered_map<EndpointId, Entry> entries;
};

SlownessCollector::SlownessCollector(VmId self, SlownessCollectorOptions options)
    : d_(std::make_unique<Private>(std::move(self), options))
{
}

SlownessCollector::~SlownessCollector() = default;
SlownessCollector::SlownessCollector(SlownessCollector &&) noexcept = default;
SlownessCollector &SlownessCollector::operator=(SlownessCollector &&) noexcept = default;

void SlownessCollector::setVms(const std::vector<VmId> &live)
{
    if (d_->vms == live) {
        return;
    }
    d_->vms = live;
    for (auto &[endpoint, entry] : d_->entries) {
        const auto before = std::exchange(entry.collector, std::nullopt);
        if (before && *before != d_->collectorOf(endpoint, entry)) {
            entry.known.reset(); // Whether the former collector announced it is not known.
        }
    }
}

VmId SlownessCollector::collector(const EndpointId &endpoint) const
{
    const auto found = d_->entries.find(endpoint);
    return found == d_->entries.end() ? d_->collectorOf(endpoint, Entry{}) : d_->collectorOf(endpoint, found->second);
}

std::optional<VmId> SlownessCollector::onRead(const SlownessReport &report, TimePoint now)
{
    Entry &entry = d_->entries[report.endpoint];
    if (!d_->isUsable(report, entry.known, now)) {
        return std::nullopt;
    }
    const bool isChange = d_->differs(report, entry.known);
    const VmId &to = d_->collectorOf(report.endpoint, entry);
    if (to == d_->self) {
        entry.known = report;
        d_->collect(entry, report);
        return std::nullopt;
    }
    if (!isChange) {
        return std::nullopt;
    }
    entry.known = report;
    return to;
}

void SlownessCollector::onReport(const SlownessReport &report, TimePoint now)
{
    Entry &entry = d_->entries[report.endpoint];
    if (d_->isUsable(report, entry.known, now)) {
        entry.known = report;
        d_->collect(entry, report);
    }
}

void SlownessCollector::onNews(const SlownessReport &report, TimePoint now)
{
    Entry &entry = d_->entries[report.endpoint];
    if (d_->isUsable(report, entry.announced, now)) {
        entry.announced = report;
    }
    if (d_->isUsable(report, entry.known, now)) {
        entry.known = report;
    }
}

std::vector<SlownessReport> SlownessCollector::takeNews(TimePoint now)
{
    std::vector<SlownessReport> news;
    for (auto &[endpoint, entry] : d_->entries) {
        if (!entry.pending || (entry.announcedAt && now - *entry.announcedAt < d_->options.newsInterval)) {
            continue;
        }
        if (now - entry.pending->at <= d_->options.maxAge && d_->differs(*entry.pending, entry.announced)) {
            entry.pending->relativePercent.reset();
            entry.pending->gainPercent = d_->gainPercent(entry);
            news.push_back(*entry.pending);
            entry.announced = entry.pending;
            entry.announcedAt = now;
        }
        entry.pending.reset();
    }
    return news;
}

std::optional<TimePoint> SlownessCollector::nextNews() const
{
    std::optional<TimePoint> next;
    for (const auto &[endpoint, entry] : d_->entries) {
        if (entry.pending) {
            const auto due = entry.announcedAt ? std::max(entry.pending->at, *entry.announcedAt + d_->options.newsInterval) : entry.pending->at;
            next = std::min(next.value_or(due), due);
        }
    }
    return next;
}

void SlownessCollector::retain(const std::vector<EndpointId> &endpoints)
{
    std::erase_if(d_->entries, [&](const auto &entry) { return std::find(endpoints.begin(), endpoints.end(), entry.first) == endpoints.end(); });
}

} // namespace daisystream
