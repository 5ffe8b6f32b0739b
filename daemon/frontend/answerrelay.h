#pragma once

#include "daemon/endpoints/endpointclient.h"
#include "daemon/frontend/callerauth.h"
#include "daemon/frontend/completionencoder.h"
#include "daemon/frontend/completionrequest.h"
#include "daemon/frontend/frontendcontext.h"
#include "daemon/frontend/httpconnection.h"
#include "daisystream/answer/state.h"

#include <memory>
#include <optional>
#include <string>

/// @file
/// Relays one answer from an engine to its caller.
///
/// Example:
/// @code
///   AnswerRelay relay(context, connection, grant);
///   relay.run(completion, yield);
/// @endcode

namespace daisystream
{

/// One answer, or its continuation on a new connection of the caller. Runs in the strand of the caller's connection.
///
/// The VM that started the generation accounts for it: it reports the tokens to the dispatcher until the generation
/// ends, even if the caller continues at another VM. A VM that continues an answer reports nothing.
class AnswerRelay
{
public:
    /// All parameters must outlive the relay.
    AnswerRelay(FrontendContext &context, HttpConnection &connection, const CallerGrant &grant);
    ~AnswerRelay();

    AnswerRelay(const AnswerRelay &) = delete;
    AnswerRelay &operator=(const AnswerRelay &) = delete;

    /// Serves a new request to its end.
    void run(const CompletionRequest &request, boost::asio::yield_context yield);

    /// Continues an answer after the events that the caller has.
    void resume(const ResumePoint &point, bool chat, boost::asio::yield_context yield);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace daisystream
