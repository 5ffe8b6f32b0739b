#include "daisystream/scheduler/scheduler.h"

#include <doctest/doctest.h>

#include <map>
#include <utility>
#include <vector>

// Guards against an endpoint that resets every request while its load reports and its health look good.

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

const EndpointId kBad("e0");

/// Four endpoints, one of which fails every request, and requests that may or may not be repeated.
class Cell
{
public:
    Cell()
    {
        std::vector<EndpointInfo> engines;
        for (int i = 0; i < 4; ++i) {
            EndpointInfo info;
            info.id = EndpointId("e" + std::to_string(i));
            info.model = ModelId("assistant");
            info.memoryCapacityTokens = 200000;
            info.maxBatch = 64;
            engines.push_back(info);
        }
        scheduler_.setEndpoints(engines, now_);
    }

    /// Sends a request until it is complete, at most twice if it may be repeated and once otherwise.
    void serve(bool mayRepeat)
    {
        WorkRequest work;
        work.team = TeamId("team");
        work.model = ModelId("assistant");
        work.promptTokens = 100;
        work.mayRepeat = mayRepeat;
        for (int attempt = 0; attempt < (mayRepeat ? 2 : 1); ++attempt) {
            work.id = RequestId("r" + std::to_string(next_++));
            work.arrival = now_;
            work.firstTokenDeadline = now_ + milliseconds(2000);
            scheduler_.submit(work, now_);
            const auto endpoint = assigned(work.id);
            REQUIRE(endpoint);
            if (*endpoint != kBad) {
                scheduler_.onFirstToken(work.id, now_);
                scheduler_.onFinished(work.id, 10, FinishReason::Complete, now_);
                return;
            }
            ++failures[mayRepeat];
            failedTwice += attempt;
            scheduler_.onFinished(work.id, 0, FinishReason::Failed, now_);
            work.avoids = *endpoint;
        }
    }

    /// Advances the time, in which all probed endpoints send load reports without a fault.
    void pass(milliseconds time)
    {
        now_ += time;
        for (const EndpointId &endpoint : std::exchange(probed_, {})) {
            LoadReport report;
            report.endpoint = endpoint;
            report.measuredAt = now_;
            report.generatedTokens = static_cast<std::uint64_t>(probes);
            scheduler_.onLoadReport(report, now_);
        }
        decide();
    }

    std::map<bool, int> failures; ///< Failed attempts, by whether the request may be repeated.
    int failedTwice = 0;          ///< Second attempts that failed as well.
    int probes = 0;

private:
    std::optional<EndpointId> assigned(const RequestId &id)
    {
        for (const auto &assign : decide()) {
            if (assign.request == id) {
                return assign.endpoint;
            }
        }
        return std::nullopt;
    }

    std::vector<Assign> decide()
    {
        std::vector<Assign> assigns;
        for (const Action &action : scheduler_.decide(now_)) {
            if (const auto *probe = std::get_if<Probe>(&action)) {
                ++probes;
                probed_.push_back(probe->endpoint);
            } else if (const auto *assign = std::get_if<Assign>(&action)) {
                assigns.push_back(*assign);
            }
        }
        return assigns;
    }

    TimePoint now_{std::chrono::hours(1)};
    Scheduler scheduler_{{.reservesEndpoints = false, .reportTimeout = std::chrono::hours(1000)}, Random(1)};
    std::vector<EndpointId> probed_; ///< Endpoints that report their load in the next step.
    int next_ = 0;
};

TEST_CASE("an endpoint with good reports that resets requests fails one request per trial, and none that cannot be repeated")
{
    Cell cell;
    constexpr int kRounds = 1000; // Ten seconds of scheduler time.
    for (int i = 0; i < kRounds; ++i) {
        cell.serve(false);
        cell.serve(true);
        cell.pass(milliseconds(10));
    }
    REQUIRE(cell.probes > 0);
    // The endpoint is suspected after two failures, which may be of either kind.
    CHECK(cell.failures[false] <= 2);
    CHECK(cell.failures[false] + cell.failures[true] <= 2 + cell.probes);
    CHECK(cell.failedTwice == 0);
}

TEST_CASE("if no request can be repeated, a recovering endpoint is tried with requests that cannot be repeated")
{
    Cell cell;
    constexpr int kRounds = 1000;
    for (int i = 0; i < kRounds; ++i) {
        cell.serve(false);
        cell.pass(milliseconds(10));
    }
    REQUIRE(cell.probes > 0);
    CHECK(cell.failures[false] > 2);
    CHECK(cell.failures[false] <= 2 + cell.probes);
}

} // namespace
} // namespace daisystream
