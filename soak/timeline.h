#pragma once

#include "soak/observation.h"

#include <string>
#include <vector>

/// @file
/// When what was disturbed. Promises with a time bound hold only for what has been calm for a while.
///
/// Example:
/// @code
///   Timeline timeline;
///   timeline.begin("vm1", Disturbance::Planned, now());
///   timeline.end("vm1", now());
///   const bool isCalm = timeline.isCalm("vm1", from, to);
/// @endcode

namespace daisystream::soak
{

/// Name under which disturbances of the store, and those of everything, are kept.
constexpr const char *kStoreName = "store";
constexpr const char *kEverything = "everything";

enum class Disturbance : std::uint8_t {
    Planned,   ///< A stop or a reload that the process was told of.
    Unplanned, ///< Anything else.
};

/// A span in which a process, or one of its links, was disturbed.
struct DisturbedSpan
{
    std::string name;
    Disturbance kind = Disturbance::Unplanned;
    Moment from{};
    Moment to = Moment::max();

    friend bool operator==(const DisturbedSpan &, const DisturbedSpan &) = default;
};

/// Thread-compatible.
class Timeline
{
public:
    /// @return the place of the new span, for `end`.
    std::size_t begin(std::string name, Disturbance kind, Moment at);
    void end(std::size_t span, Moment at);

    /// @return whether neither a name nor everything was disturbed at any moment of a span.
    [[nodiscard]] bool isCalm(const std::string &name, Moment from, Moment to) const;

    /// @return likewise, but planned disturbances of the name itself are allowed.
    [[nodiscard]] bool isCalmButPlanned(const std::string &name, Moment from, Moment to) const;

    /// @return whether a process was told to stop or to reload in a span.
    [[nodiscard]] bool hasPlanned(const std::string &name, Moment from, Moment to) const;

    [[nodiscard]] const std::vector<DisturbedSpan> &spans() const;

private:
    std::vector<DisturbedSpan> spans_;
};

} // namespace daisystream::soak
