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

constexpr std::size_t kBuckets = 29; // One below 8 tokens, then two per power of two up to 2^17 tokens.
constexpr double kFirstEdgeTokens = 8;
constexpr double kMaxHazard = 0.98;                // Below 1, so that answers may become longer than the longest one seen.
constexpr std::uint32_t kRefreshObservations = 32; // Number of observations of a model after which the survival functions of its teams are recomputed.

const std::array<double, kBuckets + 1> &edges()
{
    static const std::array<double, kBuckets + 1> kEdges = [] {
        std::array<double, kBuckets + 1> result{};
        for (std::size_t i = 1; i <= kBuckets; ++i) {
            result[i] = kFirstEdgeTokens * std::exp2(0.5 * static_cast<double>(i - 1));
        }
        return result;
    }();
    return kEdges;
}

std::size_t bucketOf(double tokens)
{
    if (tokens < kFirstEdgeTokens) {
        return 0;
    }
    const auto bucket = static_cast<std::size_t>(2.0 * std::log2(tokens / kFirstEdgeTokens)) + 1;
    return std::min(bucket, kBuckets - 1);
}

// Returns the share of a bucket that is below `tokens`.
double fractionOf(std::size_t bucket, double tokens)
{
    return (tokens - edges()[bucket]) / (edges()[bucket + 1] - edges()[bucket]);
}

struct Table
{
    std::array<float, kBuckets> reached{};
    std::array<float, kBuckets> ended{};
    TimePoint decayedAt{};

    void decay(double factor)
    {
        for (std::size_t i = 0; i < kBuckets; ++i) {
            reached[i] *= static_cast<float>(factor);
            ended[i] *= static_cast<float>(factor);
        }
    }

    void add(std::uint32_t tokens, bool isEnd)
    {
        const std::size_t last = bucketOf(tokens);
        for (std::size_t i = 0; i < last; ++i) {
            reached[i] += 1;
        }
        reached[last] += isEnd ? 1.0F : static_cast<float>(std::min(1.0, fractionOf(last, tokens)));
        ended[last] += isEnd ? 1.0F : 0.0F;
    }

    [[nodiscard]] double hazard(std::size_t bucket, double prior, double priorWeight) const
    {
        return std::min(kMaxHazard, (ended[bucket] + priorWeight * prior) / (reached[bucket] + priorWeight));
    }
};

} // namespace

class LengthEstimator::Private
{
public:
    struct Model
    {
        Table table;
        std::array<double, kBuckets> hazard{};
        std::uint32_t version = 0;
    };

    struct Entry
    {
        Table table;
        std::uint32_t model = 0;
        std::uint32_t modelVersion = 0;
        std::array<double, kBuckets + 1> logSurvival{}; // At the bucket edges.
    };

    LengthEstimatorOptions options;
    std::unordered_map<ModelId, std::uint32_t> modelIndex;
    std::vector<Model> models;
    std::unordered_map<TeamId, std::unordered_map<std::uint32_t, Profile>> index;
    std::vector<Entry> entries;

    // The survival function of the fixed prior is 1 / (1 + x / median), which has a heavy tail and assumes no typical length.
    [[nodiscard]] double priorHazard(std::size_t bucket) const
    {
        const double from = 1.0 + edges()[bucket] / options.priorMedianTokens;
        const double to = 1.0 + edges()[bucket + 1] / options.priorMedianTokens;
        return 1.0 - from / to;
    }

    void refreshModel(Model &model) const
    {
        for (std::size_t i = 0; i < kBuckets; ++i) {
            model.hazard[i] = model.table.hazard(i, priorHazard(i), options.priorWeightAnswers);
        }
    }

    void refresh(Entry &entry) const
    {
        const Model &model = models[entry.model];
        entry.modelVersion = model.version;
        for (std::size_t i = 0; i < kBuckets; ++i) {
            entry.logSurvival[i + 1] = entry.logSurvival[i] + std::log1p(-entry.table.hazard(i, model.hazard[i], options.priorWeightAnswers));
        }
    }

    void record(Table &table, std::uint32_t tokens, bool ended, TimePoint now) const
    {
        const double elapsed = std::chrono::duration<double>(now - table.decayedAt).count();
        const double halfLife = std::chrono::duration<double>(options.halfLife).count();
        table.decay(std::exp2(-std::max(0.0, elapsed) / halfLife) * (1.0 - 1.0 / options.decayAnswers));
        table.decayedAt = now;
        table.add(tokens, ended);
    }

    [[nodiscard]] static double logSurvivalAt(const Entry &entry, double tokens)
    {
        const std::size_t bucket = bucketOf(tokens);
        const double slope = entry.logSurvival[bucket + 1] - entry.logSurvival[bucket];
        return entry.logSurvival[bucket] + slope * fractionOf(bucket, tokens); // Extrapolates the last bucket beyond its end.
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
    if (d_->models[entry.model].version - entry.modelVersion >= kRefreshObservations) {
        d_->refresh(entry);
    }
    return to <= from ? 1.0 : std::exp(Private::logSurvivalAt(entry, to) - Private::logSurvivalAt(entry, from));
}

double LengthEstimator::expectedRemaining(Profile profile, double from, double limit) const
{
    double expected = 0;
    double at = from;
    double survivalSoFar = 1;
    for (std::size_t bucket = bucketOf(from); bucket < kBuckets && at < limit && survivalSoFar > 0.001; ++bucket) {
        const double to = std::min(limit, std::max(at, edges()[bucket + 1]));
        const double survivalAtEnd = survival(profile, from, to);
        expected += (to - at) * 0.5 * (survivalSoFar + survivalAtEnd);
        at = to;
        survivalSoFar = survivalAtEnd;
    }
    return std::max(1.0, expected);
}

std::size_t LengthEstimator::profiles() const
{
    return d_->entries.size();
}

} // namespace daisystream
