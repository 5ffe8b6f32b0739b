#include "soak/timeline.h"

#include <algorithm>
#include <utility>

namespace daisystream::soak
{
namespace
{

bool overlaps(const DisturbedSpan &span, Moment from, Moment to)
{
    return span.from <= to && span.to >= from;
}

} // namespace

std::size_t Timeline::begin(std::string name, Disturbance kind, Moment at)
{
    spans_.push_back({.name = std::move(name), .kind = kind, .from = at});
    return spans_.size() - 1;
}

void Timeline::end(std::size_t span, Moment at)
{
    spans_.at(span).to = at;
}

bool Timeline::isCalm(const std::string &name, Moment from, Moment to) const
{
    return isCalmButPlanned(name, from, to) && !hasPlanned(name, from, to);
}

bool Timeline::isCalmButPlanned(const std::string &name, Moment from, Moment to) const
{
    return std::none_of(spans_.begin(), spans_.end(), [&](const DisturbedSpan &span) {
        const bool concerns = span.name == kEverything || (span.name == name && span.kind == Disturbance::Unplanned);
        return concerns && overlaps(span, from, to);
    });
}

bool Timeline::hasPlanned(const std::string &name, Moment from, Moment to) const
{
    return std::any_of(spans_.begin(), spans_.end(), [&](const DisturbedSpan &span) {
        return span.name == name && span.kind == Disturbance::Planned && overlaps(span, from, to);
    });
}

const std::vector<DisturbedSpan> &Timeline::spans() const
{
    return spans_;
}

} // namespace daisystream::soak
