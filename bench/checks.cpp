#include "bench/checks.h"

#include "bench/harness.h"

#include <algorithm>
#include <functional>

namespace daisystream::bench
{
namespace
{

using Measure = std::function<double(const SeedRuns &)>;

// Bounds are the targets of design section 2.4.
constexpr double kWithinSlo = 0.99;
constexpr double kGapRatio = 1.1;
constexpr double kOrdinaryFloor = 0.10 - 0.01; // The configured floor, within 1 point.
constexpr double kJain = 0.95;
constexpr double kPreemptionRatio = 1.0 / 20;
constexpr double kGoodputRatio = 0.98;
constexpr double kRetryShare = 0.10;
constexpr double kHeldRefusals = 0.01; // Section 1.6: refusals are never held until near the deadline; 99 in 100 as elsewhere.

const std::string kCells = toString(Policy::Cells);

Measure figure(const std::string &name)
{
    return [name](const SeedRuns &runs) {
        return runs.at(kCells).at(name);
    };
}

class Builder
{
public:
    explicit Builder(const std::vector<SeedRuns> &seeds)
        : seeds_(seeds)
    {
    }

    void add(const std::string &name, const std::string &target, bool atLeast, double bound, const Measure &measure)
    {
        Check check{name, target, atLeast, bound};
        for (const SeedRuns &runs : seeds_) {
            check.values.push_back(measure(runs));
        }
        checks_.push_back(std::move(check));
    }

    void urgentSlo()
    {
        add("urgentslo", "urgent requests within their SLO", true, kWithinSlo, figure("urgent within SLO"));
    }

    void always()
    {
        add("retries", "extra load by retries", false, kRetryShare, figure("retries / requests begun"));
        for (const std::string rank : {"urgent", "ordinary"}) {
            add("held" + rank,
                "refused requests of the rank that waited for more than 80% of their promised first-token time",
                false,
                kHeldRefusals,
                figure(rank + " refused near the deadline"));
        }
        add("deadline",
            "longest wait of a refused request, as a share of its promised first-token time",
            false,
            1,
            figure("longest wait of refused / promise"));
    }

    // Compared with the baselines of the same run.
    void baselines()
    {
        add("preemptions", "preemptions relative to least-outstanding", false, kPreemptionRatio, [](const SeedRuns &runs) {
            const double others = runs.at(toString(Policy::LeastOutstanding)).at("preemptions");
            const double own = runs.at(kCells).at("preemptions");
            return own == 0 ? 0 : own / std::max(others, 1.0);
        });
        add("goodput", "goodput relative to the best baseline", true, kGoodputRatio, [](const SeedRuns &runs) {
            double best = 1;
            for (const Policy policy : {Policy::RoundRobin, Policy::LeastOutstanding, Policy::FirstCome}) {
                best = std::max(best, runs.at(toString(policy)).at("goodput tokens/s"));
            }
            return runs.at(kCells).at("goodput tokens/s") / best;
        });
    }

    void gapRatio()
    {
        add("tokengap", "urgent p99 time between tokens relative to the run without overload", false, kGapRatio, [](const SeedRuns &runs) {
            return runs.at(kCells).at("urgent token gap p99 ms") / runs.at("normal").at("urgent token gap p99 ms");
        });
    }

    void floorKept()
    {
        add("floor", "ordinary work's share of tokens", true, kOrdinaryFloor, figure("ordinary share of tokens"));
    }

    void jain(const std::string &rank)
    {
        add("jain" + rank, "Jain's index over backlogged teams of the rank, by weight", true, kJain, figure(rank + " Jain index (worse model)"));
    }

    void recovered()
    {
        add("recovered",
            "urgent requests within SLO from 5 s after the loss could be detected",
            true,
            kWithinSlo,
            figure("urgent within SLO 5 s after detection"));
    }

    void probation()
    {
        add("slowstart", "answers at once on the faulty engine from 5 s after the fault", false, 1, figure("answers at once on the faulty engine"));
    }

    std::vector<Check> take()
    {
        return std::move(checks_);
    }

private:
    const std::vector<SeedRuns> &seeds_;
    std::vector<Check> checks_;
};

} // namespace

bool Check::holds() const
{
    return std::all_of(values.begin(), values.end(), [this](double value) { return atLeast ? value >= bound : value <= bound; });
}

bool needsNormalRun(const std::string &scenario)
{
    return scenario == "ordinary10";
}

std::vector<Check> checksFor(const std::string &scenario, const std::vector<SeedRuns> &seeds)
{
    Builder builder(seeds);
    builder.always();
    if (scenario == "normal" || scenario == "ordinary10") {
        builder.urgentSlo();
        builder.baselines();
    }
    if (scenario == "ordinary10") {
        builder.gapRatio();
        builder.jain("ordinary");
    }
    if (scenario == "urgent10" || scenario == "both10" || scenario == "predawn") {
        builder.baselines();
        builder.floorKept();
    }
    if (scenario == "urgent10" || scenario == "both10") {
        builder.jain("urgent");
    }
    if (scenario == "both10") {
        builder.jain("ordinary");
    }
    if (scenario == "greedy") {
        builder.add("modestteams", "requests of teams below their share within SLO", true, kWithinSlo, figure("modest teams within SLO"));
        builder.urgentSlo();
    }
    if (scenario.ends_with("loss") || scenario == "ownerpause" || scenario == "twoowners") {
        builder.recovered();
    }
    if (scenario == "slowengine" || scenario == "frozenreport") {
        builder.probation();
    }
    if (scenario == "platform") {
        builder.add("decisions", "decisions that differ from the run without the outage", false, 0, figure("decisions differ"));
        builder.urgentSlo();
    }
    return builder.take();
}

} // namespace daisystream::bench
