#pragma once

#include "daemon/control/settings.h"
#include "daemon/status/metrics.h"
#include "daisystream/base/clock.h"
#include "daisystream/base/result.h"
#include "daisystream/quarantine/partquarantine.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Keeps requests from the engines whose prompts have a part that crashes engines. Finds out whether an engine crashed when a request
/// failed there, and exchanges with the other VMs what they saw.
///
/// Example:
/// @code
///   const auto verdict = guard.admit(parts);
///   if (const auto *refusal = std::get_if<Error>(&verdict)) { refuse(*refusal); }
///   ...
///   guard.onFailed(engine, parts, sentAt);
///   if (!guard.mayRepeat(parts, engine.id)) { giveUp(); }
/// @endcode

namespace daisystream
{

/// Thread-safe. Its lock has position 5 in the lock order. Messages are sent and handlers called after it is released.
class PromptGuard
{
public:
    /// @param probeTarget path of a request that engines answer at once, whatever their load.
    /// @param seed of the delays that spread the messages of the VMs.
    PromptGuard(boost::asio::io_context &io, const VmId &self, const Clock &clock, Metrics &metrics, std::string probeTarget, std::uint64_t seed);
    ~PromptGuard();

    PromptGuard(const PromptGuard &) = delete;
    PromptGuard &operator=(const PromptGuard &) = delete;

    /// Sets the function that tells news to all other VMs. Call it before the first request.
    void setAnnouncer(std::function<void(const QuarantineNews &)> announcer);

    /// Starts to repeat to the other VMs from time to time what is blocked.
    void start();

    /// Replaces the set of live VMs, which includes this one.
    void setVms(const std::vector<VmId> &live);

    /// Handles what other VMs saw.
    void onNews(const QuarantineNews &news);

    /// Decides whether a new request may be sent to an engine.
    /// @param parts of its prompt that other requests may have in common with it.
    /// @return whether it may; `PromptQuarantined` with the time until a trial is due if it may not.
    [[nodiscard]] Result<PartsAdmitted> admit(const std::vector<PartId> &parts);

    /// Decides whether a request that was admitted, not as a trial, and has waited since may still be sent.
    /// @return nothing if it may; else the error as of `admit`.
    [[nodiscard]] std::optional<Error> check(const std::vector<PartId> &parts) const;

    /// @return whether a request that failed at an engine may be sent to another one.
    [[nodiscard]] bool mayRepeat(const std::vector<PartId> &parts, const EndpointId &failed) const;

    /// Handles the failure of a request that was sent to an engine and had not begun. Asks the engine whether it still runs, without
    /// waiting for the reply.
    void onFailed(const EndpointSettings &engine, const std::vector<PartId> &parts, TimePoint sentAt);

    /// Handles the beginning of an answer.
    /// @param sentAt when the request was sent to the engine.
    void onBegun(const std::vector<PartId> &parts, TimePoint sentAt);

    /// Registers a callback for waiting requests.
    /// @param onBlocked called on any thread, without locks, when a part was blocked.
    /// @return keeps the callback registered.
    [[nodiscard]] std::shared_ptr<void> watchBlocks(std::function<void()> onBlocked);

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream
