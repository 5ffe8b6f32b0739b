#include "daisystream/scheduler/scheduler.h"

#include <gflags/gflags.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <string>
#include <variant>
#include <vector>

/// @file
/// Measures the processor time of a decision and the memory of a scheduler at three sizes of fleet, in an overload so
/// that all teams have queued requests. Prints absolute figures; asserts only that the cost grows less than linearly
/// with the size, by ratios within the run.

DEFINE_uint32(rounds, 3, "measurements of each size; the fastest counts, since other load on the machine only adds time");
DEFINE_uint32(requests, 20000, "requests of each measurement");

DEFINE_bool(forecast, false, "choose by the least added time, with promised paces and engines that are slow at times");
DEFINE_bool(misses, true, "with --forecast: count expected answers that miss their pace");

namespace daisystream
{
namespace
{

// Options of the measured scheduler.
SchedulerOptions schedulerOptions()
{
    SchedulerOptions options;
    if (FLAGS_forecast) {
        options.placement = Placement::LeastAddedTime;
        options.reservesEndpoints = false;
        options.forecastsMissedPace = FLAGS_misses;
    }
    return options;
}

struct Size
{
    std::uint32_t endpoints;
    std::uint32_t teams;
};

// The current deployments, a tenth of the target size, the target size (design section 1.5).
constexpr std::array<Size, 3> kSizes{{{13, 10}, {110, 130}, {1100, 1300}}};
constexpr std::uint32_t kAnswersPerEndpoint = 24;
constexpr std::uint32_t kQueuedPerTeam = 4;
constexpr std::uint32_t kAnswerTokens = 200;
constexpr double kPace = 22;
constexpr double kSlowness = 2.5;

struct Cost
{
    double decision = 0;     // Microseconds to submit a request and decide.
    double microseconds = 0; // Of one request: submit, decide, first token, progress, end.
    double kilobytes = 0;    // Of the scheduler with all running and queued requests.
    std::uint64_t assigned = 0;
};

class Fleet
{
public:
    explicit Fleet(const Size &size)
        : size_(size)
        , scheduler_(schedulerOptions(), Random(1))
    {
        std::vector<EndpointInfo> infos(size.endpoints);
        for (std::uint32_t i = 0; i < size.endpoints; ++i) {
            infos[i].id = EndpointId("e" + std::to_string(i));
            infos[i].model = ModelId("assistant");
            infos[i].memoryCapacityTokens = 120000;
            infos[i].maxBatch = kAnswersPerEndpoint;
        }
        scheduler_.setEndpoints(infos, clock_.now());
        const std::uint32_t places = size.endpoints * kAnswersPerEndpoint;
        for (std::uint32_t i = 0; i < places + kQueuedPerTeam * size.teams; ++i) {
            arrive();
        }
    }

    // Ends the oldest answer for each new request, so that the fleet stays full.
    void turnOver(std::uint32_t requests)
    {
        for (std::uint32_t i = 0; i < requests; ++i) {
            if (!running_.empty()) {
                scheduler_.onFinished(running_.front(), kAnswerTokens, FinishReason::Complete, clock_.now());
                running_.pop_front();
            }
            arrive();
            if (!running_.empty()) {
                scheduler_.onProgress(running_[running_.size() / 2], kAnswerTokens / 2, clock_.now());
            }
            clock_.advance(std::chrono::microseconds(130)); // 7,000 requests a second.
        }
    }

    /// @return the time spent in `submit` and `decide`.
    [[nodiscard]] std::chrono::duration<double, std::micro> deciding() const
    {
        return deciding_;
    }

    [[nodiscard]] std::uint64_t assigned() const
    {
        return assigned_;
    }

private:
    void arrive()
    {
        WorkRequest work;
        work.id = RequestId("r" + std::to_string(next_));
        work.team = TeamId("t" + std::to_string(next_ % size_.teams));
        work.rank = next_ % size_.teams % 2 == 0 ? Rank::Urgent : Rank::Ordinary;
        work.model = ModelId("assistant");
        work.promptTokens = 100;
        work.paceTokensPerSecond = FLAGS_forecast ? kPace : 0;
        work.arrival = clock_.now();
        work.firstTokenDeadline = clock_.now() + std::chrono::hours(1); // Nothing is refused, so the queues stay full.
        ++next_;
        const auto begin = std::chrono::steady_clock::now();
        scheduler_.submit(work, clock_.now());
        const std::vector<Action> actions = scheduler_.decide(clock_.now());
        deciding_ += std::chrono::steady_clock::now() - begin;
        for (const Action &action : actions) {
            if (const auto *assign = std::get_if<Assign>(&action)) {
                if (FLAGS_forecast) {
                    scheduler_.onSlowness(assign->request, next_ % 7 == 0 ? kSlowness : 1.0, clock_.now());
                }
                scheduler_.onFirstToken(assign->request, clock_.now());
                running_.push_back(assign->request);
                ++assigned_;
            }
        }
    }

    Size size_;
    Scheduler scheduler_;
    ManualClock clock_;
    std::deque<RequestId> running_;
    std::uint64_t next_ = 0;
    std::uint64_t assigned_ = 0;
    std::chrono::duration<double, std::micro> deciding_{};
};

Cost measure(const Size &size)
{
    Cost cost;
    cost.microseconds = 1e9;
    cost.decision = 1e9;
    for (std::uint32_t round = 0; round < FLAGS_rounds; ++round) {
        const auto before = mallinfo2().uordblks;
        Fleet fleet(size);
        cost.kilobytes = static_cast<double>(mallinfo2().uordblks - before) / 1024.0;
        fleet.turnOver(FLAGS_requests / 10); // Warms caches up.
        const std::uint64_t assigned = fleet.assigned();
        const auto deciding = fleet.deciding();
        const auto begin = std::chrono::steady_clock::now();
        fleet.turnOver(FLAGS_requests);
        const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - begin;
        cost.microseconds = std::min(cost.microseconds, elapsed.count() / FLAGS_requests);
        cost.decision = std::min(cost.decision, (fleet.deciding() - deciding).count() / FLAGS_requests);
        cost.assigned = fleet.assigned() - assigned;
    }
    return cost;
}

int run()
{
    std::array<Cost, kSizes.size()> costs;
    for (std::size_t i = 0; i < kSizes.size(); ++i) {
        costs[i] = measure(kSizes[i]);
        std::printf("%4u endpoints, %4u teams: %.2f microseconds a decision, %.2f a request (with first token, progress, end), %.0f KiB, %llu assigned\n",
                    kSizes[i].endpoints,
                    kSizes[i].teams,
                    costs[i].decision,
                    costs[i].microseconds,
                    costs[i].kilobytes,
                    static_cast<unsigned long long>(costs[i].assigned));
    }
    int missed = 0;
    for (std::size_t i = 1; i < kSizes.size(); ++i) {
        const double growth = static_cast<double>(kSizes[i].endpoints) / kSizes[i - 1].endpoints;
        const double time = costs[i].decision / costs[i - 1].decision;
        const bool less = time < growth;
        std::printf("%s growth of the cost of a decision from %u to %u endpoints: %.2f, bound %.2f (less than linear)\n",
                    less ? "met   " : "MISSED",
                    kSizes[i - 1].endpoints,
                    kSizes[i].endpoints,
                    time,
                    growth);
        missed += less ? 0 : 1;
        // A fleet that assigns nothing would make the cost meaningless.
        if (costs[i].assigned < FLAGS_requests / 2) {
            std::printf("MISSED only %llu of %u requests were assigned\n", static_cast<unsigned long long>(costs[i].assigned), FLAGS_requests);
            ++missed;
        }
    }
    return missed;
}

} // namespace
} // namespace daisystream

int main(int argc, char **argv)
try {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return daisystream::run();
} catch (const std::exception &fault) {
    std::fprintf(stderr, "decisioncost: %s\n", fault.what());
    return 100;
}
