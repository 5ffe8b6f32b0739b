#include "daisystream/balancing/servicebalancer.h"
#include "daisystream/speed/slownesscollector.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numbers>
#include <queue>

// Loads of plain services in virtual time: a fleet of VMs, each with its own balancer, sends calls to endpoints with slow periods,
// unequal speeds or a capacity below their slots. The balancer without speeds is run with the same load for comparison.

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

constexpr double kCallsPerSecond = 137;
constexpr double kMedianMs = 30;
constexpr double kSigma = 0.5;
constexpr std::uint32_t kSlots = 6;
constexpr milliseconds kTarget{150};
constexpr milliseconds kNewsDelay{5}; // Time of a message between VMs, including the relay.

/// Figure that an endpoint reports.
enum class Figure : std::uint8_t {
    True,
    Missing,
    AlwaysSlow, ///< 250, whatever the speed.
    Frozen,     ///< The value of its first report.
    Inverted,   ///< Slow when it is not.
};

struct LoadOptions
{
    std::size_t vms = 75;
    std::uint64_t seed = 1;
    bool usesSpeed = true;
    bool shares = true;      ///< Whether the VMs share reported slowness.
    double slowShare = 0.15; ///< Share of the time in which an endpoint is slow.
    double slowFactor = 2.5;
    double slowPeriodMs = 600;
    std::vector<double> base{1, 1, 1, 1};               ///< Base speeds.
    std::vector<std::uint32_t> knees{};                 ///< Concurrency beyond which work takes longer in proportion; empty: none.
    std::vector<Figure> figures{};                      ///< Empty: all are true.
    std::optional<std::pair<double, double>> allSlow{}; ///< Times in seconds between which every endpoint is slow.
    double callsPerSecond = kCallsPerSecond;
    double seconds = 120;
    double warmUpSeconds = 20; ///< Calls that begin before are not counted.
};

struct LoadResult
{
    std::size_t calls = 0;
    std::size_t late = 0;
    std::vector<std::size_t> callsAt;                        ///< By endpoint.
    std::vector<std::vector<std::size_t>> callsAtInInterval; ///< By interval of 100 ms and endpoint.
    std::size_t reports = 0;                                 ///< Messages to collectors.
    std::size_t news = 0;                                    ///< Announcements to the fleet.

    [[nodiscard]] double lateShare() const
    {
        return static_cast<double>(late) / static_cast<double>(std::max<std::size_t>(1, calls));
    }
};

class LoadRun
{
public:
    explicit LoadRun(LoadOptions options)
        : options_(std::move(options))
        , random_(options_.seed)
        , end_(at(options_.seconds))
    {
        for (std::size_t i = 0; i < options_.base.size(); ++i) {
            candidates_.push_back({.id = EndpointId("e" + std::to_string(i)), .slots = kSlots, .isNear = true});
            endpoints_.push_back({});
            schedulePeriod(i, kStart);
        }
        std::vector<VmId> ids;
        for (std::size_t i = 0; i < options_.vms; ++i) {
            ids.emplace_back("vm" + std::to_string(i));
        }
        for (const auto &id : ids) {
            vms_.push_back({.balancer = ServiceBalancer({.usesSpeed = options_.usesSpeed}),
                            .collector = SlownessCollector(id),
                            .random = Random(random_.bits()),
                            .nextNews = {}});
            vms_.back().collector.setVms(ids);
        }
        result_.callsAt.resize(candidates_.size());
    }

    LoadResult run()
    {
        scheduleArrival();
        while (!events_.empty() && events_.top().at < end_) {
            auto event = std::move(const_cast<Event &>(events_.top()));
            events_.pop();
            now_ = event.at;
            event.run();
        }
        return result_;
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    struct Call
    {
        std::size_t vm;
        TimePoint sentAt;
        double workMs;
    };

    struct Endpoint
    {
        bool isSlow = false;
        std::uint32_t running = 0;
        std::deque<Call> waiting;
        std::optional<std::uint32_t> firstFigure;
    };

    struct Vm
    {
        ServiceBalancer balancer;
        SlownessCollector collector;
        Random random;
        std::optional<TimePoint> nextNews;
    };

    static constexpr TimePoint kStart{std::chrono::hours(1)};

    static TimePoint at(double seconds)
    {
        return kStart + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    void after(double milliseconds, std::function<void()> run)
    {
        events_.push({now_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds)), order_++, std::move(run)});
    }

    double exponential(double mean)
    {
        return -mean * std::log(1 - random_.uniform());
    }

    double normal()
    {
        return std::sqrt(-2 * std::log(1 - random_.uniform())) * std::cos(2 * std::numbers::pi * random_.uniform());
    }

    void schedulePeriod(std::size_t endpoint, TimePoint from)
    {
        now_ = from;
        if (options_.slowShare <= 0) {
            return;
        }
        const bool isSlow = endpoints_[endpoint].isSlow;
        const double mean = isSlow ? options_.slowPeriodMs : options_.slowPeriodMs * (1 - options_.slowShare) / options_.slowShare;
        // Periods vary between half and one and a half of their mean, pauses between them exponentially.
        after(isSlow ? mean * (0.5 + random_.uniform()) : exponential(mean), [this, endpoint] {
            endpoints_[endpoint].isSlow = !endpoints_[endpoint].isSlow;
            schedulePeriod(endpoint, now_);
        });
    }

    [[nodiscard]] double factor(std::size_t endpoint) const
    {
        const bool allSlow = options_.allSlow && now_ >= at(options_.allSlow->first) && now_ < at(options_.allSlow->second);
        return endpoints_[endpoint].isSlow || allSlow ? options_.slowFactor : 1;
    }

    std::optional<std::uint32_t> figure(std::size_t endpoint)
    {
        const auto kind = options_.figures.empty() ? Figure::True : options_.figures[endpoint];
        const auto slow = static_cast<std::uint32_t>(100 * options_.slowFactor);
        const std::uint32_t actual = factor(endpoint) > 1 ? slow : 100;
        auto &first = endpoints_[endpoint].firstFigure;
        first = first.value_or(actual);
        switch (kind) {
        case Figure::True:
            return actual;
        case Figure::Missing:
            return std::nullopt;
        case Figure::AlwaysSlow:
            return slow;
        case Figure::Frozen:
            return *first;
        case Figure::Inverted:
            break;
        }
        return actual == slow ? 100 : slow;
    }

    void scheduleArrival()
    {
        after(exponential(1000 / options_.callsPerSecond), [this] {
            arrive();
            scheduleArrival();
        });
    }

    void arrive()
    {
        const auto vm = random_.below(vms_.size());
        auto &balancer = vms_[vm].balancer;
        const double work = kMedianMs * std::exp(kSigma * normal());
        const auto chosen = balancer.choose(candidates_, {}, vms_[vm].random, now_);
        REQUIRE(chosen);
        balancer.onStarted(*chosen, now_);
        const auto endpoint = static_cast<std::size_t>(std::stoul(chosen->value().substr(1)));
        if (now_ >= at(options_.warmUpSeconds)) {
            ++result_.callsAt[endpoint];
            const auto interval = static_cast<std::size_t>((now_ - at(options_.warmUpSeconds)) / milliseconds(100));
            result_.callsAtInInterval.resize(std::max(result_.callsAtInInterval.size(), interval + 1), std::vector<std::size_t>(candidates_.size()));
            ++result_.callsAtInInterval[interval][endpoint];
        }
        endpoints_[endpoint].waiting.push_back({.vm = vm, .sentAt = now_, .workMs = work});
        startWaiting(endpoint);
    }

    void startWaiting(std::size_t endpoint)
    {
        auto &state = endpoints_[endpoint];
        while (state.running < kSlots && !state.waiting.empty()) {
            const auto call = state.waiting.front();
            state.waiting.pop_front();
            ++state.running;
            double overload = 1;
            if (!options_.knees.empty() && state.running > options_.knees[endpoint]) {
                const double ratio = static_cast<double>(state.running) / options_.knees[endpoint];
                overload = ratio * ratio;
            }
            after(call.workMs * options_.base[endpoint] * factor(endpoint) * overload, [this, endpoint, call] { finish(endpoint, call); });
        }
    }

    void finish(std::size_t endpoint, const Call &call)
    {
        auto &state = endpoints_[endpoint];
        const ReportedLoad load{
            .running = state.running, .waiting = static_cast<std::uint32_t>(state.waiting.size()), .slots = kSlots, .slownessPercent = figure(endpoint)};
        --state.running;
        startWaiting(endpoint);
        const auto took = now_ - call.sentAt;
        if (call.sentAt >= at(options_.warmUpSeconds)) {
            ++result_.calls;
            result_.late += took > kTarget ? 1 : 0;
        }
        auto &vm = vms_[call.vm];
        const auto &id = candidates_[endpoint].id;
        vm.balancer.onEnded(id, CallResult::Answered, now_);
        vm.balancer.onReportedLoad(id, load, now_);
        const auto relative = vm.balancer.onSpeedSample(id,
                                                        {.service = ServiceId("s"),
                                                         .route = RouteName("r"),
                                                         .took = took,
                                                         .goal = kTarget,
                                                         .calls = load.running + load.waiting,
                                                         .slots = load.slots,
                                                         .slownessPercent = load.slownessPercent},
                                                        now_);
        if (load.slownessPercent && options_.shares) {
            report(call.vm,
                   {.endpoint = id,
                    .percent = *load.slownessPercent,
                    .at = now_,
                    .relativePercent = relative ? std::optional<std::uint32_t>(std::lround(100 * *relative)) : std::nullopt});
        }
    }

    void report(std::size_t from, const SlownessReport &report)
    {
        const auto to = vms_[from].collector.onRead(report, now_);
        if (!to) {
            announce(from);
            return;
        }
        ++result_.reports;
        after(kNewsDelay.count(), [this, report, collector = std::stoul(to->value().substr(2))] {
            vms_[collector].collector.onReport(report, now_);
            vms_[collector].balancer.onSlowness(report.endpoint, report.percent, report.at, {});
            announce(collector);
        });
    }

    void announce(std::size_t from)
    {
        for (const auto &report : vms_[from].collector.takeNews(now_)) {
            ++result_.news;
            after(kNewsDelay.count(), [this, report] {
                for (auto &vm : vms_) {
                    vm.collector.onNews(report, now_);
                    vm.balancer.onSlowness(
                        report.endpoint, report.percent, report.at, report.gainPercent ? std::optional(*report.gainPercent / 100.0) : std::nullopt);
                }
            });
        }
        auto &vm = vms_[from];
        const auto next = vm.collector.nextNews();
        if (next && (!vm.nextNews || *vm.nextNews <= now_)) {
            vm.nextNews = std::max(*next, now_ + milliseconds(1));
            events_.push({*vm.nextNews, order_++, [this, from] {
                              vms_[from].nextNews.reset();
                              announce(from);
                          }});
        }
    }

    LoadOptions options_;
    Random random_;
    TimePoint end_;
    TimePoint now_ = kStart;
    std::uint64_t order_ = 0;
    std::priority_queue<Event> events_;
    std::vector<ServiceCandidate> candidates_;
    std::vector<Endpoint> endpoints_;
    std::vector<Vm> vms_;
    LoadResult result_;
};

/// Runs a load with several seeds and adds up the results.
constexpr std::size_t kSeeds = 3;

LoadResult runLoad(LoadOptions options)
{
    LoadResult sum;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        options.seed = seed;
        const auto result = LoadRun(options).run();
        sum.calls += result.calls;
        sum.late += result.late;
        sum.reports += result.reports;
        sum.news += result.news;
        sum.callsAt.resize(result.callsAt.size());
        for (std::size_t i = 0; i < result.callsAt.size(); ++i) {
            sum.callsAt[i] += result.callsAt[i];
        }
        sum.callsAtInInterval.insert(sum.callsAtInInterval.end(), result.callsAtInInterval.begin(), result.callsAtInInterval.end());
    }
    return sum;
}

LoadResult runWithoutSpeed(LoadOptions options)
{
    options.usesSpeed = false;
    return runLoad(std::move(options));
}

/// A load with and without the use of speeds. Shows the shares of late calls.
struct Comparison
{
    LoadResult with;
    LoadResult without;
};

Comparison compare(const char *name, const LoadOptions &options)
{
    Comparison result{.with = runLoad(options), .without = runWithoutSpeed(options)};
    MESSAGE(std::string(name),
            ", ",
            options.vms,
            " VMs: ",
            100 * result.with.lateShare(),
            "% late; without speeds ",
            100 * result.without.lateShare(),
            "%; ",
            static_cast<double>(result.with.reports) / (kSeeds * options.seconds),
            " reports/s; ",
            static_cast<double>(result.with.news) / (kSeeds * options.seconds),
            " announcements/s");
    return result;
}

/// @return the variance of the number of calls of an endpoint in a second, relative to that of independent calls.
double dispersion(const LoadResult &result, std::size_t endpoint)
{
    double sum = 0;
    double squares = 0;
    double count = 0;
    constexpr std::size_t kIntervalsPerSecond = 10;
    for (std::size_t i = 0; i + kIntervalsPerSecond <= result.callsAtInInterval.size(); i += kIntervalsPerSecond) {
        double here = 0;
        for (std::size_t j = i; j < i + kIntervalsPerSecond; ++j) {
            here += static_cast<double>(result.callsAtInInterval[j][endpoint]);
        }
        sum += here;
        squares += here * here;
        ++count;
    }
    const double mean = sum / count;
    return (squares / count - mean * mean) / mean;
}

const std::vector<std::size_t> kFleets{4, 75, 300};

TEST_CASE("calls avoid endpoints in slow periods, in fleets of every size")
{
    for (const auto vms : kFleets) {
        const auto result = compare("slow periods", {.vms = vms});
        CHECK(result.with.lateShare() < 0.005);
        CHECK(result.with.lateShare() < 0.4 * result.without.lateShare());
    }
}

TEST_CASE("calls prefer fast endpoints, also in slow periods")
{
    for (const auto vms : kFleets) {
        const auto result = compare("unequal base speeds and slow periods", {.vms = vms, .base = {0.55, 1.2, 1.2, 1.2}});
        CHECK(result.with.lateShare() < 0.008);
        CHECK(result.with.lateShare() < 0.4 * result.without.lateShare());
    }
}

// Guards against limits that are learnt from too few calls, so that they cost more than they save.
TEST_CASE("an endpoint that is slow before it is full is used less where its load is known")
{
    for (const auto vms : kFleets) {
        const auto result = compare("slow before full", {.vms = vms, .slowShare = 0, .knees = {1, 6, 6, 6}, .callsPerSecond = 200});
        CHECK(result.with.lateShare() < 1.1 * result.without.lateShare());
        if (vms == 4) {
            CHECK(result.with.lateShare() < 0.7 * result.without.lateShare());
        }
    }
}

TEST_CASE("no endpoint is penalised while all are slow")
{
    for (const auto vms : kFleets) {
        const auto result = compare("all slow for 30 s", {.vms = vms, .allSlow = std::pair(30.0, 60.0)});
        CHECK(result.with.lateShare() < 1.05 * result.without.lateShare());
        // Interval 0 begins at 20 s.
        std::vector<double> calls(4);
        double all = 0;
        for (std::size_t i = 110; i < 400; ++i) {
            for (std::size_t endpoint = 0; endpoint < calls.size(); ++endpoint) {
                calls[endpoint] += static_cast<double>(result.with.callsAtInInterval[i][endpoint]);
                all += static_cast<double>(result.with.callsAtInInterval[i][endpoint]);
            }
        }
        for (const auto count : calls) {
            CHECK(count > 0.17 * all);
            CHECK(count < 0.33 * all);
        }
    }
}

TEST_CASE("an endpoint that always reports slowness is used again")
{
    for (const auto vms : kFleets) {
        const auto result = compare("one figure always 250", {.vms = vms, .figures = {Figure::AlwaysSlow, Figure::True, Figure::True, Figure::True}});
        CHECK(result.with.lateShare() < 0.008);
        std::size_t all = 0;
        for (const auto calls : result.with.callsAt) {
            all += calls;
        }
        CHECK(static_cast<double>(result.with.callsAt[0]) > 0.1 * static_cast<double>(all));
    }
}

TEST_CASE("frozen and missing figures do no harm")
{
    for (const auto vms : kFleets) {
        for (const auto figure : {Figure::Frozen, Figure::Missing}) {
            const auto result = compare(figure == Figure::Frozen ? "frozen figures" : "missing figures", {.vms = vms, .figures = std::vector(4, figure)});
            CHECK(result.with.lateShare() < 1.15 * result.without.lateShare());
        }
    }
}

// An endpoint that reports the opposite of the truth is the worst case: until the gain has fallen, calls go where they take longest.
TEST_CASE("inverted figures do bounded harm")
{
    for (const auto vms : kFleets) {
        const auto result = compare("inverted figures", {.vms = vms, .figures = std::vector(4, Figure::Inverted)});
        CHECK(result.with.lateShare() < result.without.lateShare() + 0.01);
    }
}

TEST_CASE("equal endpoints are chosen as without speeds")
{
    for (const auto vms : kFleets) {
        const auto result = compare("equal endpoints without slowness", {.vms = vms, .slowShare = 0});
        CHECK(result.with.lateShare() < 1.02 * result.without.lateShare());
        for (std::size_t endpoint = 0; endpoint < 4; ++endpoint) {
            const auto with = static_cast<double>(result.with.callsAt[endpoint]);
            const auto without = static_cast<double>(result.without.callsAt[endpoint]);
            CHECK(std::abs(with - without) < 0.02 * without);
        }
    }
}

// Guards against VMs that all leave and return to an endpoint at the same moment: the number of calls of an endpoint in a second then
// varies far more than that of independent choices. The bound allows for the balancer's reaction to load, which is right.
TEST_CASE("the share of an endpoint does not oscillate")
{
    for (const auto vms : kFleets) {
        for (const auto &base : {std::vector<double>{1, 1, 1, 1}, std::vector<double>{0.8, 1, 1, 1.3}}) {
            const auto result = runLoad({.vms = vms, .slowShare = 0, .base = base});
            for (std::size_t endpoint = 0; endpoint < base.size(); ++endpoint) {
                const double value = dispersion(result, endpoint);
                MESSAGE(vms, " VMs, base speed ", base[endpoint], ": relative variance ", value, ", calls ", result.callsAt[endpoint]);
                CHECK(value < 1.6);
            }
        }
        // Slow periods that all endpoints share are no reason to prefer one of them.
        const auto result = runLoad({.vms = vms, .slowShare = 0, .allSlow = std::pair(20.0, 120.0)});
        for (std::size_t endpoint = 0; endpoint < 4; ++endpoint) {
            const double value = dispersion(result, endpoint);
            MESSAGE(vms, " VMs, all slow: relative variance ", value);
            CHECK(value < 3);
        }
    }
}

} // namespace
} // namespace daisystream
