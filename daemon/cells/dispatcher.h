#pragma once

#include "daemon/control/settings.h"
#include "daisystream/scheduler/scheduler.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

/// @file
/// Finds an endpoint for each request: asks the VM that owns the request's cell, which may be this one.
///
/// Example:
/// @code
///   dispatcher.ask(work, [](Result<Assign> reply) { ... });
///   dispatcher.onFirstToken(work.id);
///   dispatcher.onProgress(work.id, 17);
///   dispatcher.onFinished(work.id, 230, FinishReason::Complete);
/// @endcode

namespace daisystream
{

/// The entry VM's view of routing. Thread-safe. Callbacks run on a thread of the event loop, never within the call that
/// registered them, and without any lock held.
class Dispatcher
{
public:
    using AskHandler = std::function<void(Result<Assign>)>;
    using CancelHandler = std::function<void(const Cancel &)>;

    virtual ~Dispatcher() = default;

    /// Asks for an endpoint.
    /// @param work the request; its id must not be in use.
    /// @param handler called exactly once, with the choice or the refusal (then the request was not run).
    virtual void ask(const WorkRequest &work, AskHandler handler) = 0;

    /// Sets who moves a request away from its endpoint before its first token. If a token has arrived meanwhile, the
    /// handler does nothing. Otherwise it stops the attempt at the endpoint and calls `ask` again with the same request,
    /// which still has its place in the owner's queue; or `onFinished` if the caller has left.
    virtual void setCancelHandler(CancelHandler handler) = 0;

    /// Gives up a request that was asked for. Its handler is not called any more unless it runs already.
    virtual void withdraw(const RequestId &request) = 0;

    /// Reports an answer that another VM began and this one resumed. Afterwards it counts as assigned.
    /// @param tokens generated so far.
    virtual void onResumed(const WorkRequest & /*work*/, const EndpointId & /*endpoint*/, std::uint32_t /*tokens*/)
    {
    }

    /// Reports the first token of an assigned request.
    virtual void onFirstToken(const RequestId &request) = 0;

    /// Reports progress.
    /// @param tokens generated in total so far.
    virtual void onProgress(const RequestId &request, std::uint32_t tokens) = 0;

    /// Reports the end of an assigned request, after which its id is free again.
    /// @param tokens generated in total.
    virtual void onFinished(const RequestId &request, std::uint32_t tokens, FinishReason reason) = 0;

    /// @return the instances of a plain service that are in service, in the order of the settings.
    [[nodiscard]] virtual std::vector<EndpointSettings> serviceEndpoints(const ServiceId &service) const = 0;

    /// @return the settings of an endpoint, or nothing if it is unknown.
    [[nodiscard]] virtual std::optional<EndpointSettings> findEndpoint(const EndpointId &endpoint) const = 0;
};

} // namespace daisystream
