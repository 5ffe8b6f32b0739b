#include "daisystream/limits/permitissuer.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

namespace daisystream
{
namespace
{

using namespace std::chrono_literals;

// Unused permits add up to this many, and those of this time.
constexpr double kBurstPermits = 2;
constexpr double kBurstSeconds = 0.25;
// Permits that ordinary requests leave for urgent ones.
constexpr double kUrgentReserve = 1;
// Part of the rate that places in the line take.
constexpr double kLineShare = 0.75;
// Part of the rate that a VM issues while it stands in for the issuer, which may still be issuing at the whole rate to other VMs.
constexpr double kStandInShare = 0.25;
// How much earlier or later than at its time a place can be used. Callers' timers and connections take some time, and the own
// interface rounds the time up to whole seconds.
constexpr Duration kEarly = 20ms;
constexpr Duration kGrace = 1500ms;
constexpr std::size_t kMaxPlaces = 4096;
// Requests a second that an issuer handles for one endpoint before it asks VMs to pause, and the same for each permit.
constexpr double kMinAsksPerSecond = 1000;
constexpr double kAsksPerPermit = 8;
constexpr Duration kRateWindow = 1s;
constexpr Duration kDeniedRetention = 5s;
constexpr Duration kMaxFullFor = 1s;
constexpr Duration kIdleTimeout = 60s;

Duration seconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

} // namespace

/// The permits of one endpoint.
class PermitIssuer::Line
{
public:
    Line(const PermitTerms &terms, TimePoint now)
        : terms_(terms)
        , usedAt_(now)
        , next_(now) // Another VM may have issued permits until now.
        , nextPlace_(now)
    {
    }

    [[nodiscard]] TimePoint usedAt() const
    {
        return usedAt_;
    }

    [[nodiscard]] PermitOutcome request(const PermitRequest &request, const PermitTerms &terms, const internal::PermitIssuerFaults &faults, TimePoint now)
    {
        usedAt_ = now;
        countAsk(now);
        setTerms(terms, now);
        next_ = std::max(next_, now - burst());
        while (!places_.empty() && places_.front().at + kGrace < now) {
            places_.pop_front();
        }
        const auto place = findPlace(request, now);
        if (faults.issuesFreely || isDue(place, now) || now >= freeAt(request)) {
            if (place != places_.end()) {
                places_.erase(place);
            }
            next_ += interval();
            return PermitGranted{};
        }
        noteDenied(request.vm, now);
        PermitDenied denied{.fullFor = std::max(freeAt(request) - now, fullFor()), .pause = pauseTime()};
        if (place != places_.end()) {
            denied.retryAfter = std::max(place->at, next_ - interval()) - now;
            denied.isPlaceKept = true;
            return denied;
        }
        const auto at = std::max(nextPlace_, freeAt(request));
        denied.retryAfter = at - now;
        if (!terms_.isStandIn && denied.retryAfter <= request.patience && places_.size() < kMaxPlaces) {
            if (!faults.forgetsPlaces) {
                places_.push_back({.attempt = request.attempt, .request = request.request, .at = at});
            }
            nextPlace_ = at + std::chrono::duration_cast<Duration>(interval() / kLineShare);
            denied.isPlaceKept = true;
        }
        return denied;
    }

private:
    /// A permit that is kept for a request.
    struct Place
    {
        std::uint64_t attempt = 0;
        std::uint64_t request = 0;
        TimePoint at;
    };
    using Places = std::deque<Place>; ///< In the order of their times.

    [[nodiscard]] Duration interval() const
    {
        return seconds(1 / terms_.perSecond);
    }

    [[nodiscard]] Duration burst() const
    {
        return terms_.isStandIn ? Duration::zero() : seconds((kBurstPermits - 1) / terms_.perSecond + kBurstSeconds);
    }

    void setTerms(const PermitTerms &terms, TimePoint now)
    {
        if (terms == terms_) {
            return;
        }
        if (terms.perSecond < kLineShare * terms_.perSecond) {
            places_.clear(); // They are too close to each other for the lower rate.
        }
        terms_ = terms;
        // What a lower rate had put off is due sooner at a higher one.
        next_ = std::min(next_, now + interval());
        nextPlace_ = places_.empty() ? now : places_.back().at + std::chrono::duration_cast<Duration>(interval() / kLineShare);
    }

    /// @return from when on the request gets a permit without a place in the line.
    [[nodiscard]] TimePoint freeAt(const PermitRequest &request) const
    {
        return request.isUrgent || terms_.isStandIn ? next_ : next_ + std::chrono::duration_cast<Duration>(interval() * kUrgentReserve);
    }

    [[nodiscard]] Places::iterator findPlace(const PermitRequest &request, TimePoint now)
    {
        return std::find_if(places_.begin(), places_.end(), [&](const Place &place) {
            return place.attempt == request.attempt || (place.request == request.request && place.at <= now + kEarly);
        });
    }

    /// @return whether a place is due. A place never exceeds the rate by more than one permit.
    [[nodiscard]] bool isDue(const Places::iterator &place, TimePoint now) const
    {
        return place != places_.end() && place->at <= now + kEarly && next_ <= now + interval() + kEarly;
    }

    void countAsk(TimePoint now)
    {
        if (now - windowStart_ >= kRateWindow) {
            asksBefore_ = now - windowStart_ < 2 * kRateWindow ? asks_ : 0;
            asks_ = 0;
            windowStart_ = now;
        }
        ++asks_;
    }

    void noteDenied(const VmId &vm, TimePoint now)
    {
        std::erase_if(deniedAt_, [now](const auto &entry) { return now - entry.second > kDeniedRetention; });
        deniedAt_[vm] = now;
    }

    /// @return how long ordinary requests of a VM need not try, so that all denied VMs together try twice for each permit.
    [[nodiscard]] Duration fullFor() const
    {
        return std::min<Duration>(deniedAt_.size() * interval() / 2, kMaxFullFor);
    }

    /// @return how long a VM should not ask, so that all denied VMs together stay within the rate that the issuer handles.
    [[nodiscard]] Duration pauseTime() const
    {
        const double budget = std::max(kMinAsksPerSecond, kAsksPerPermit * terms_.perSecond);
        if (std::max(asks_, asksBefore_) <= budget) {
            return Duration::zero();
        }
        return seconds(static_cast<double>(deniedAt_.size()) / budget);
    }

    PermitTerms terms_;
    TimePoint usedAt_;
    TimePoint next_;      ///< When the next permit is due; in the past by the permits that were left unused.
    TimePoint nextPlace_; ///< Earliest time of the next place in the line.
    Places places_;
    TimePoint windowStart_{};
    double asks_ = 0;       ///< In the present window.
    double asksBefore_ = 0; ///< In the window before.
    std::map<VmId, TimePoint> deniedAt_;
};

PermitIssuer::PermitIssuer(internal::PermitIssuerFaults faults)
    : faults_(faults)
{
}

PermitIssuer::~PermitIssuer() = default;
PermitIssuer::PermitIssuer(PermitIssuer &&) noexcept = default;
PermitIssuer &PermitIssuer::operator=(PermitIssuer &&) noexcept = default;

PermitOutcome PermitIssuer::request(const PermitRequest &request, const PermitTerms &terms, TimePoint now)
{
    auto applied = terms;
    applied.perSecond *= terms.isStandIn && !faults_.standsInAtFullRate ? kStandInShare : 1;
    auto &line = lines_[request.endpoint];
    if (!line) {
        line = std::make_unique<Line>(applied, now);
    }
    return line->request(request, applied, faults_, now);
}

void PermitIssuer::removeIdle(TimePoint now)
{
    std::erase_if(lines_, [now](const auto &entry) { return now - entry.second->usedAt() > kIdleTimeout; });
}

} // namespace daisystream
