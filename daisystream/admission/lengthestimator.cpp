#include "daisystream/admission/lengthestimator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_map>
#include <vector>

namespace daisystream
{

namespace
{

constexpr std::size_t kRanges = 29;         // Half octaves from 8 to 2^17 tokens, after a first range below 8.
constexpr double kFirstEdge = 8;            // Tokens.
constexpr double kMaxHazard = 0.98;         // Keeps a little probability beyond the longest answer seen.
constexpr std::uint32_t kRefreshEvery = 32; // Observations of a model after which its teams' tables are recomputed.

const std::array<double, kRanges + 1> &edges()
{
    static const std::array<double, kRanges + 1> kEdges = [] {
        std::array<double, kRanges + 1> result{};
        for (std::size_t i = 1; i <= kRanges; ++i) {
            result[i] = kFirstEdge * std::exp2(0.5 * static_cast<double>(i - 1));
        }
        return result;
    }();
    return kEdges;
}

std::size_t rangeOf(double tokens)
{
    if (tokens < kFirstEdge) {
        return 0;
    }
    const auto range = static_cast<std::size_t>(2.0 * std::log2(tokens / kFirstEdge)) + 1;
    return std::min(range, kRanges - 1);
}

// Share of a range that lies below `tokens`.
double fractionOf(std::size_t range, double tokens)
{
    return (tokens - edges()[range]) / (edges()[range + 1] - edges()[range]);
}

struct Table
{
    std::array<float, kRanges> entered{};
    std::array<float, kRanges> ended{};
    TimePoint agedAt{};

    void age(double factor)
    {
        for (std::size_t i = 0; i < kRanges; ++i) {
            entered[i] *= static_cast<float>(factor);
            ended[i] *= static_cast<float>(factor);
        }
    }

    void add(std::uint32_t tokens, bool isEnd)
    {
        const std::size_t last = rangeOf(tokens);
        for (std::size_t i = 0; i < last; ++i) {
            entered[i] += 1;
        }
        entered[last] += isEnd ? 1.0F : static_cast<float>(std::min(1.0, fractionOf(last, tokens)));
        ended[last] += isEnd ? 1.0F : 0.0F;
    }

    [[nodiscard]] double hazard(std::size_t range, double prior, double priorWeight) const
    {
        return std::min(kMaxHazard, (ended[range] + priorWeight * prior) / (entered[range] + priorWeight));
    }
};

} // namespace

class LengthEstimator::Private
{
public:
    struct Model
    {
        Table table;
        std::array<double, kRanges> hazard{};
        std::uint32_t version = 0;
    };

    struct Entry
    {
        Table table;
        std::uint32_t model = 0;
        std::uint32_t modelVersion = 0;
        std::array<double, kRanges + 1> logSurvival{}; // At the edges.
    };

    LengthEstimatorOptions options;
    std::unordered_map<ModelId, std::uint32_t> modelIndex;
    std::vector<Model> models;
    std::unordered_map<TeamId, std::unordered_map<std::uint32_t, Profile>> index;
    std::vector<Entry> entries;

    // The survival function of the prior is 1 / (1 + x / median): a heavy tail without a typical length.
    [[nodiscard]] double priorHazard(std::size_t range) const
    {
        const double from = 1.0 + edges()[range] / options.priorMedianTokens;
        const double to = 1.0 + edges()[range + 1] / options.priorMedianTokens;
        return 1.0 - from / to;
    }

    void refreshModel(Model &model) const
    {
        for (std::size_t i = 0; i < kRanges; ++i) {
            model.hazard[i] = model.table.hazard(i, priorHazard(i), options.blendWeight);
        }
    }

    void refresh(Entry &entry) const
    {
        const Model &model = models[entry.model];
        entry.modelVersion = model.version;
        for (std::size_t i = 0; i < kRanges; ++i) {
            entry.logSurvival[i + 1] = entry.logSurvival[i] + std::log1p(-entry.table.hazard(i, model.hazard[i], options.blendWeight));
        }
    }

    void record(Table &table, std::uint32_t tokens, bool ended, TimePoint now) const
    {
        const double elapsed = std::chrono::duration<double>(now - table.agedAt).count();
        const double halfLife = std::chrono::duration<double>(options.halfLife).count();
        table.age(std::exp2(-std::max(0.0, elapsed) / halfLife) * (1.0 - 1.0 / options.memoryAnswers));
        table.agedAt = now;
        table.add(tokens, ended);
    }

    [[nodiscard]] static double logSurvivalAt(const Entry &entry, double tokens)
    {
        const std::size_t range = rangeOf(tokens);
        const double slope = entry.logSurvival[range + 1] - entry.logSurvival[range];
        return entry.logSurvival[range] + slope * fractionOf(range, tokens); // Continues the last range beyond its end.
    }
};

LengthEstimator::LengthEstimator(LengthEstimatorOptions options)
    : d_(std::make_unique<Private>())
{
    d_->options = options;
}

LengthEstimator::~LengthEstimator() = default;
LengthEstimator::LengthEstimator(LengthEstimator &&) noexcept = default;
LengthEstimator &LengthEstimator::operator=(LengthEstimator &&) noexcept = default;

LengthEstimator::Profile LengthEstimator::profileOf(const TeamId &team, const ModelId &model)
{
    const auto [modelFound, newModel] = d_->modelIndex.try_emplace(model, static_cast<std::uint32_t>(d_->models.size()));
    if (newModel) {
        d_->models.emplace_back();
        d_->refreshModel(d_->models.back());
    }
    const auto [found, isNew] = d_->index[team].try_emplace(modelFound->second, static_cast<Profile>(d_->entries.size()));
    if (isNew) {
        d_->entries.emplace_back();
        d_->entries.back().model = modelFound->second;
        d_->refresh(d_->entries.back());
    }
    return found->second;
}

void LengthEstimator::observe(Profile profile, std::uint32_t tokens, bool ended, TimePoint now)
{
    Private::Entry &entry = d_->entries[profile];
    Private::Model &model = d_->models[entry.model];
    d_->record(entry.table, tokens, ended, now);
    d_->record(model.table, tokens, ended, now);
    ++model.version;
    d_->refreshModel(model);
    d_->refresh(entry);
}

double LengthEstimator::survival(Profile profile, double from, double to) const
{
    Private::Entry &entry = d_->entries[profile];
    if (d_->models[entry.model].version - entry.modelVersion >= kRefreshEvery) {
        d_->refresh(entry);
    }
    return to <= from ? 1.0 : std::exp(Private::logSurvivalAt(entry, to) - Private::logSurvivalAt(entry, from));
}

double LengthEstimator::expectedRemaining(Profile profile, double from, double limit) const
{
    double expected = 0;
    double at = from;
    double alive = 1;
    for (std::size_t range = rangeOf(from); range < kRanges && at < limit && alive > 0.001; ++range) {
        const double to = std::min(limit, std::max(at, edges()[range + 1]));
        const double aliveAtEnd = survival(profile, from, to);
        expected += (to - at) * 0.5 * (alive + aliveAtEnd);
        at = to;
        alive = aliveAtEnd;
    }
    return std::max(1.0, expected);
}

std::size_t LengthEstimator::profiles() const
{
    return d_->entries.size();
}

} // namespace daisystream
