#pragma once

#include "daisystream/base/clock.h"
#include "daisystream/base/ids.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

/// @file
/// Shares the slowness that endpoints report between the VMs. For each endpoint, the first live VM by rendezvous hash is the
/// collector: the others send it a reported slowness that differs from what they knew, and it announces changes to all VMs. It also
/// measures with the calls of all VMs how far the reports are true, since a VM of a large fleet makes too few calls to find out.
///
/// Example:
/// @code
///   SlownessCollector slowness(self);
///   slowness.setVms(live);
///   if (const auto collector = slowness.onRead(report, now)) { send(*collector, report); }
///   for (const auto &report : slowness.takeNews(now)) { broadcast(report); }
/// @endcode

namespace daisystream
{

/// A slowness that an endpoint reported in a response.
struct SlownessReport
{
    EndpointId endpoint;
    std::uint32_t percent = 100;                    ///< As ReportedLoad::slownessPercent.
    TimePoint at{};                                 ///< When it was read.
    std::optional<std::uint32_t> relativePercent{}; ///< Duration of the call, in percent of the usual, as SpeedTable::onCall; sent to collectors.
    std::optional<std::uint32_t> gainPercent{};     ///< Part of the slowness that calls of all VMs have confirmed; set in announcements.

    friend auto operator<=>(const SlownessReport &, const SlownessReport &) = default;
};

struct SlownessCollectorOptions
{
    double minChange = 0.25;                     ///< Relative change from which on a report is sent.
    std::chrono::milliseconds newsInterval{100}; ///< Minimum time between two announcements of an endpoint.
    std::chrono::milliseconds maxAge{600};       ///< Older reports are dropped; they have no effect any more.

    friend auto operator<=>(const SlownessCollectorOptions &, const SlownessCollectorOptions &) = default;
};

/// What one VM knows of the reported slowness, and what it announces as collector. Sends nothing itself. Thread-compatible.
class SlownessCollector
{
public:
    explicit SlownessCollector(VmId self, SlownessCollectorOptions options = {});
    ~SlownessCollector();
    SlownessCollector(SlownessCollector &&) noexcept;
    SlownessCollector &operator=(SlownessCollector &&) noexcept;

    /// Replaces the live VMs, which include this one. Reports that were sent to a collector that has failed are sent again to
    /// its successor when they are read again.
    void setVms(const std::vector<VmId> &live);

    /// @return the VM that collects the reports of an endpoint; this VM if no VM is known.
    [[nodiscard]] VmId collector(const EndpointId &endpoint) const;

    /// Handles a slowness that this VM read in a response.
    /// @return the VM to which the report has to be sent; nothing if it does not differ by `minChange` from what this VM knew, or if
    ///     this VM is the collector.
    [[nodiscard]] std::optional<VmId> onRead(const SlownessReport &report, TimePoint now);

    /// Handles a report that another VM sent to this one as the collector. Older reports than the latest one change nothing. A VM
    /// that does not regard itself as the collector handles it in the same way, since the sender may know of a failed VM earlier.
    void onReport(const SlownessReport &report, TimePoint now);

    /// Handles an announcement of another VM.
    void onNews(const SlownessReport &report, TimePoint now);

    /// @return the reports that have to be announced to all VMs now.
    [[nodiscard]] std::vector<SlownessReport> takeNews(TimePoint now);

    /// @return when `takeNews` has something to return, or nothing if there is nothing to announce.
    [[nodiscard]] std::optional<TimePoint> nextNews() const;

    /// Removes all endpoints but these.
    void retain(const std::vector<EndpointId> &endpoints);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
