#include "daemon/status/metrics.h"

#include <map>
#include <mutex>
#include <sstream>
#include <variant>

namespace daisystream
{
namespace
{

constexpr double kMicrosecondsPerSecond = 1e6;

/// All time series with the same metric name. Only the map for `type` has entries; its keys are formatted labels.
struct Family
{
    std::string help;
    const char *type = "counter";
    std::map<std::string, std::unique_ptr<Counter>> counters;
    std::map<std::string, std::unique_ptr<Gauge>> gauges;
    std::map<std::string, std::unique_ptr<Histogram>> histograms;
};

/// @return the labels in the Prometheus text format, without the enclosing braces.
std::string format(const Labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += (text.empty() ? "" : ",") + name + "=\"";
        for (const char letter : value) {
            if (letter == '\n') {
                text += "\\n";
                continue;
            }
            if (letter == '\\' || letter == '"') {
                text += '\\';
            }
            text += letter;
        }
        text += '"';
    }
    return text;
}

std::string inBraces(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

/// Writes a histogram in the Prometheus text format, which has cumulative buckets.
void print(std::ostream &out, const std::string &name, const std::string &labels, const Histogram &histogram)
{
    const std::string prefix = labels.empty() ? "" : labels + ",";
    std::uint64_t total = 0;
    for (std::size_t i = 0; i <= Histogram::bounds().size(); ++i) {
        total += histogram.count(i);
        out << name << "_bucket{" << prefix << "le=\"";
        if (i < Histogram::bounds().size()) {
            out << Histogram::bounds()[i];
        } else {
            out << "+Inf";
        }
        out << "\"} " << total << '\n';
    }
    out << name << "_sum" << inBraces(labels) << ' ' << histogram.sum() << '\n';
    out << name << "_count" << inBraces(labels) << ' ' << total << '\n';
}

} // namespace

Histogram::Histogram()
    : buckets_(bounds().size() + 1)
{
}

const std::vector<double> &Histogram::bounds()
{
    static const std::vector<double> kBounds{0.001, 0.002, 0.005, 0.01, 0.02, 0.029, 0.05, 0.1, 0.2, 0.5, 0.66, 1, 2, 5, 10, 20, 60};
    return kBounds;
}

void Histogram::observe(double seconds)
{
    std::size_t bucket = 0;
    while (bucket < bounds().size() && seconds > bounds()[bucket]) {
        ++bucket;
    }
    buckets_[bucket].fetch_add(1, std::memory_order_relaxed);
    sumMicroseconds_.fetch_add(static_cast<std::uint64_t>(seconds * kMicrosecondsPerSecond), std::memory_order_relaxed);
}

std::uint64_t Histogram::count(std::size_t bucket) const
{
    return buckets_[bucket].load(std::memory_order_relaxed);
}

double Histogram::sum() const
{
    return static_cast<double>(sumMicroseconds_.load(std::memory_order_relaxed)) / kMicrosecondsPerSecond;
}

class Metrics::Private
{
public:
    Family &family(std::string_view name, std::string_view help, const char *type)
    {
        Family &found = families[std::string(name)];
        found.help = help;
        found.type = type;
        return found;
    }

    mutable std::mutex mutex;
    std::map<std::string, Family> families;
};

Metrics::Metrics()
    : d_(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

Counter &Metrics::counter(std::string_view name, std::string_view help, const Labels &labels)
{
    const std::lock_guard lock(d_->mutex);
    auto &series = d_->family(name, help, "counter").counters[format(labels)];
    if (!series) {
        series = std::make_unique<Counter>();
    }
    return *series;
}

Gauge &Metrics::gauge(std::string_view name, std::string_view help, const Labels &labels)
{
    const std::lock_guard lock(d_->mutex);
    auto &series = d_->family(name, help, "gauge").gauges[format(labels)];
    if (!series) {
        series = std::make_unique<Gauge>();
    }
    return *series;
}

Histogram &Metrics::histogram(std::string_view name, std::string_view help, const Labels &labels)
{
    const std::lock_guard lock(d_->mutex);
    auto &series = d_->family(name, help, "histogram").histograms[format(labels)];
    if (!series) {
        series = std::make_unique<Histogram>();
    }
    return *series;
}

std::string Metrics::text() const
{
    const std::lock_guard lock(d_->mutex);
    std::ostringstream out;
    for (const auto &[name, family] : d_->families) {
        out << "# HELP " << name << ' ' << family.help << "\n# TYPE " << name << ' ' << family.type << '\n';
        for (const auto &[labels, counter] : family.counters) {
            out << name << inBraces(labels) << ' ' << counter->value() << '\n';
        }
        for (const auto &[labels, gauge] : family.gauges) {
            out << name << inBraces(labels) << ' ' << gauge->value() << '\n';
        }
        for (const auto &[labels, histogram] : family.histograms) {
            print(out, name, labels, *histogram);
        }
    }
    return out.str();
}

} // namespace daisystream
