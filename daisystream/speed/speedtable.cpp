#include "daisystream/speed/speedtable.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace daisystream
{
namespace
{

constexpr std::uint32_t kMinSlowness = 25;   // Percent. Limits the effect of a single false report.
constexpr std::uint32_t kMaxSlowness = 1000; // Percent.
constexpr std::uint32_t kUsual = 100;        // Percent.
// Reports within this distance of 100% (as a logarithm) count as none: calls made under them say nothing about the gain.
constexpr double kNoSlowness = 0.1;
// Bound of the logarithm of a call's duration relative to the expected one, so that a single outlier (a retransmission, a pause of
// this VM) counts at most like a call that took three times as long.
constexpr double kMaxDeviation = 1.1;
constexpr double kUsualGain = 0.02;     // Weight of the latest call in a route's usual duration: about the last 50 calls.
constexpr double kPriorVariance = 0.25; // Of the logarithm of durations, until calls show another value.
constexpr double kVarianceWeight = 10;  // Weight of that prior, in calls.

// A smaller gain counts as none: it is the remainder of the prior where calls contradict the reports.
constexpr double kMinGain = 0.2;

// Load limit. The excess of an endpoint is the moving average of the logarithm of (duration / expected duration) of its calls.
constexpr double kExcessGain = 0.15;
// Difference to the other endpoints from which on an endpoint is overloaded: 1.8 times as slow. Where durations vary by a factor of
// 1.65 (sigma 0.5), this is 3.4 standard deviations of the difference; a lower threshold limited equal endpoints.
constexpr double kOverloadExcess = 0.6;
constexpr double kDecrease = 0.7;
// Share of the slots from which on a call counts as made under load.
constexpr double kLoadedShare = 0.5;
constexpr std::uint32_t kMinOthersCalls = 4; // Calls from which on the excess of another endpoint is used for comparison.

struct Report
{
    std::uint32_t percent = kUsual;
    TimePoint at{};
};

struct UsualDuration
{
    double logarithm = 0; ///< Of the duration in seconds.
    double calls = 0;
};

struct Entry
{
    ServiceId service{};
    // Sums over calls without queue and slowness, of the logarithm of (duration / usual duration); decayed at `decayedAt`.
    double weight = 0;
    double sum = 0;
    double squares = 0;
    double logBase = 0;
    double base = 1;
    // Regression of the logarithm of the duration on that of the reported slowness.
    double gainNumerator = 0;
    double gainDenominator = 0;
    double gain = 0;
    std::optional<double> sharedGain;
    TimePoint decayedAt{};
    std::optional<Report> report;
    double excess = 0;
    std::uint32_t calls = 0;
    std::optional<double> loadLimit;
};

} // namespace

double decayedSlowness(std::uint32_t percent, Duration age, const SpeedTableOptions &options)
{
    const double part = std::chrono::duration<double>(options.expiryTime - age) / (options.expiryTime - options.freshTime);
    return kUsual + std::clamp(part, 0.0, 1.0) * (static_cast<double>(percent) - kUsual);
}

class SpeedTable::Private
{
public:
    explicit Private(SpeedTableOptions tableOptions)
        : options(tableOptions)
    {
    }

    Entry &entry(const EndpointId &endpoint, TimePoint now)
    {
        const auto [found, isNew] = entries.try_emplace(endpoint);
        if (isNew) {
            found->second.gain = options.priorGain;
            found->second.decayedAt = now;
        }
        return found->second;
    }

    void decay(Entry &entry, TimePoint now) const
    {
        const double factor = std::exp2(-std::chrono::duration<double>(now - entry.decayedAt) / options.halfLife);
        for (auto *value : {&entry.weight, &entry.sum, &entry.squares, &entry.gainNumerator, &entry.gainDenominator}) {
            *value *= factor;
        }
        entry.decayedAt = std::max(entry.decayedAt, now);
    }

    // A base speed that does not differ significantly from the usual is 1, so that equal endpoints are treated equally.
    void updateBase(Entry &entry) const
    {
        const double mean = entry.sum / (entry.weight + options.priorCalls);
        const double rawMean = entry.weight > 0 ? entry.sum / entry.weight : 0;
        const double deviations = std::max(0.0, entry.squares - entry.weight * rawMean * rawMean);
        const double variance = (deviations + kVarianceWeight * kPriorVariance) / (entry.weight + kVarianceWeight);
        const double tolerance = options.significance * std::sqrt(variance / (entry.weight + options.priorCalls));
        entry.logBase = std::copysign(std::max(0.0, std::abs(mean) - tolerance), mean);
        entry.base = std::exp(entry.logBase);
    }

    void updateGain(Entry &entry) const
    {
        const double weight = entry.sharedGain ? options.sharedGainWeight : options.priorGainWeight;
        const double prior = entry.sharedGain.value_or(options.priorGain);
        entry.gain = std::clamp((entry.gainNumerator + prior * weight) / (entry.gainDenominator + weight), 0.0, 1.0);
    }

    /// @return the average excess of the other endpoints of a service; nothing if none has enough calls.
    [[nodiscard]] std::optional<double> excessOfOthers(const Entry &self) const
    {
        double sum = 0;
        std::size_t count = 0;
        for (const auto &[id, other] : entries) {
            if (&other != &self && other.service == self.service && other.calls >= kMinOthersCalls) {
                sum += other.excess;
                ++count;
            }
        }
        return count == 0 ? std::nullopt : std::optional(sum / static_cast<double>(count));
    }

    void updateLoadLimit(Entry &entry, const SpeedSample &sample) const
    {
        if (!sample.calls || sample.slots == 0) {
            return;
        }
        const double load = *sample.calls;
        const double most = std::max<double>(load, sample.slots);
        const auto others = excessOfOthers(entry);
        const bool isLoaded = load >= kLoadedShare * sample.slots;
        if (isLoaded && others && entry.excess - *others > kOverloadExcess) {
            entry.loadLimit = std::max(1.0, kDecrease * std::min(entry.loadLimit.value_or(most), load));
            entry.excess = *others; // The next decrease needs calls made under the lower limit.
            return;
        }
        const bool isInTime = sample.goal.count() == 0 || sample.took <= sample.goal;
        if (entry.loadLimit && isInTime && load >= *entry.loadLimit - 1) {
            *entry.loadLimit += 1 / *entry.loadLimit;
            if (*entry.loadLimit >= sample.slots) {
                entry.loadLimit.reset();
            }
        }
    }

    SpeedTableOptions options;
    std::unordered_map<EndpointId, Entry> entries;
    std::unordered_map<RouteName, UsualDuration> usual;
};

SpeedTable::SpeedTable(SpeedTableOptions options)
    : d_(std::make_unique<Private>(options))
{
}

SpeedTable::~SpeedTable() = default;
SpeedTable::SpeedTable(SpeedTable &&) noexcept = default;
SpeedTable &SpeedTable::operator=(SpeedTable &&) noexcept = default;

std::optional<double> SpeedTable::onCall(const EndpointId &endpoint, const SpeedSample &sample, TimePoint now)
{
    if (sample.took <= Duration::zero()) {
        return std::nullopt;
    }
    Entry &entry = d_->entry(endpoint, now);
    entry.service = sample.service;
    d_->decay(entry, now);
    if (sample.slownessPercent) {
        onSlowness(endpoint, *sample.slownessPercent, now);
    }
    const double slowness = sample.slownessPercent ? std::log(std::clamp(*sample.slownessPercent, kMinSlowness, kMaxSlowness) / double{kUsual}) : 0;
    const bool isSlow = std::abs(slowness) >= kNoSlowness;
    const bool isQueued = sample.calls && sample.slots > 0 && *sample.calls > sample.slots;
    const double duration = std::log(std::chrono::duration<double>(sample.took).count());
    const auto found = d_->usual.try_emplace(sample.route, UsualDuration{.logarithm = duration - entry.gain * slowness}).first;
    UsualDuration &usual = found->second;
    // The relative duration at an endpoint of base speed 1 without slowness.
    const double relative = std::clamp(duration - usual.logarithm, entry.logBase - kMaxDeviation, entry.logBase + kMaxDeviation + std::max(0.0, slowness));
    if (!isSlow && !isQueued) {
        entry.weight += 1;
        entry.sum += relative;
        entry.squares += relative * relative;
        d_->updateBase(entry);
        ++usual.calls;
        usual.logarithm += std::max(kUsualGain, 1 / usual.calls) * (relative - entry.logBase);
    } else if (isSlow && !isQueued) {
        entry.gainNumerator += slowness * (relative - entry.logBase);
        entry.gainDenominator += slowness * slowness;
    }
    d_->updateGain(entry);
    entry.excess += kExcessGain * (relative - entry.logBase - entry.gain * slowness - entry.excess);
    ++entry.calls;
    d_->updateLoadLimit(entry, sample);
    return isQueued ? std::nullopt : std::optional(std::exp(relative - entry.logBase));
}

void SpeedTable::onSlowness(const EndpointId &endpoint, std::uint32_t percent, TimePoint reportedAt, std::optional<double> gain)
{
    Entry &entry = d_->entry(endpoint, reportedAt);
    if (!entry.report || reportedAt >= entry.report->at) {
        entry.report = Report{.percent = std::clamp(percent, kMinSlowness, kMaxSlowness), .at = reportedAt};
        if (gain) {
            entry.sharedGain = std::clamp(*gain, 0.0, 1.0);
            d_->updateGain(entry);
        }
    }
}

EndpointSpeed SpeedTable::speed(const EndpointId &endpoint, TimePoint now, double level) const
{
    const auto found = d_->entries.find(endpoint);
    if (found == d_->entries.end()) {
        return {.gain = d_->options.priorGain};
    }
    const Entry &entry = found->second;
    EndpointSpeed speed{.base = entry.base, .gain = entry.gain, .loadLimit = entry.loadLimit};
    const auto age = entry.report ? now - entry.report->at : Duration::max();
    if (age < d_->options.expiryTime) {
        speed.age = age;
    }
    if (age < d_->options.staleTime && entry.report->percent != kUsual) {
        const double part = (decayedSlowness(entry.report->percent, age, d_->options) - kUsual) / (static_cast<double>(entry.report->percent) - kUsual);
        speed.reported = level + part * (entry.report->percent / double{kUsual} - level);
        speed.isStale = entry.report->percent > kUsual && age >= d_->options.freshTime;
    }
    if (entry.gain >= kMinGain) {
        speed.slowness = 1 + entry.gain * (speed.reported / level - 1);
    }
    return speed;
}

std::optional<Duration> SpeedTable::usualDuration(const RouteName &route) const
{
    const auto found = d_->usual.find(route);
    if (found == d_->usual.end()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exp(found->second.logarithm)));
}

void SpeedTable::remove(const EndpointId &endpoint)
{
    d_->entries.erase(endpoint);
}

void SpeedTable::retain(const std::vector<EndpointId> &endpoints)
{
    std::erase_if(d_->entries, [&](const auto &entry) { return std::find(endpoints.begin(), endpoints.end(), entry.first) == endpoints.end(); });
}

} // namespace daisystream
