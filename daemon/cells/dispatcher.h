#pragma once

#include "daemon/control/settings.h"
#include "daisystream/scheduler/scheduler.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

/// @file
/// Interface that assigns an endpoint to each request of this VM's callers. The VM that owns the request's cell decides; it can be this
/// VM.
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

/// Routing as seen by the entry VM, which is the VM that a caller sent its request to. Thread-safe. Callbacks run on a thread of the
/// event loop, never within the call that registered them, and without any lock held.
class Dispatcher
{
public:
    using AskHandler = std::function<void(Result<Assign>)>;
    using CancelHandler = std::function<void(const Cancel &)>;

    virtual ~Dispatcher() = default;

    /// Asks for an endpoint.
    /// @param work the request; its id must not be in use.
    /// @param handler called exactly once unless `withdraw` is called: with the assignment or, if the request is refused and was not run,
    ///     with the error.
    virtual void ask(const WorkRequest &work, AskHandler handler) = 0;

    /// Sets the function that is called when the owner cancels an assignment before the first token.
    /// @param handler must do nothing if a token has arrived in the meantime. Otherwise it must stop the attempt at the endpoint and
    ///     call `ask` again with the same request, which keeps its place in the owner's queue, or call `onFinished` if the caller has
    ///     disconnected.
    virtual void setCancelHandler(CancelHandler handler) = 0;

    /// Withdraws a request that was passed to `ask`. Its handler is not called any more unless the call has already been queued or
    /// started.
    virtual void withdraw(const RequestId &request) = 0;

    /// Reports an answer that another VM started and this VM resumed. From then on, its request is handled as assigned.
    /// @param endpoint the engine that generates the answer.
    /// @param tokens number of tokens generated so far.
    virtual void onResumed(const WorkRequest & /*work*/, const EndpointId & /*endpoint*/, std::uint32_t /*tokens*/)
    {
    }

    /// Reports the first token of an assigned request.
    /// @param slownessPercent duration of work at the engine, as it stated it with the response, in percent of the usual; 0: not stated.
    /// @param slownessAge time since the engine stated it.
    virtual void onFirstToken(const RequestId &request, std::uint32_t slownessPercent = 0, Duration slownessAge = {}) = 0;

    /// Reports the progress of an assigned request.
    /// @param tokens number of tokens generated so far, in total.
    virtual void onProgress(const RequestId &request, std::uint32_t tokens) = 0;

    /// Reports the end of an assigned request. Its id can be used again afterwards.
    /// @param tokens number of tokens generated in total.
    /// @param reason why the request ended.
    virtual void onFinished(const RequestId &request, std::uint32_t tokens, FinishReason reason) = 0;

    /// @return the instances of a plain (non-engine) service that accept new requests, in the order of the settings.
    [[nodiscard]] virtual std::vector<EndpointSettings> serviceEndpoints(const ServiceId &service) const = 0;

    /// @return the engines of a model that accept new requests.
    [[nodiscard]] virtual std::vector<EndpointSettings> enginesFor(const ModelId &model) const = 0;

    /// @return the settings of an endpoint, or nothing if it is unknown.
    [[nodiscard]] virtual std::optional<EndpointSettings> findEndpoint(const EndpointId &endpoint) const = 0;
};

} // namespace daisystream
