#pragma once

#include "daemon/cells/celldispatcher.h"
#include "daemon/status/metrics.h"
#include "daisystream/base/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Polls load reports and cache events of the engines whose cells this VM schedules, and passes them to the dispatcher.
///
/// Example:
/// @code
///   LoadPoller poller(io, dispatcher, clock, metrics, LoadPollerOptions{});
///   poller.start();
/// @endcode

namespace daisystream
{

/// Protocol by which engines report their load.
struct LoadProtocol
{
    std::string target = "/v1/load"; ///< Target of the HTTP request.
    /// Converts a response to a report without `endpoint` and `measuredAt`; returns nothing if the content is malformed. Only `probe` and
    /// `watchLeaving` use it, and get no report if it is null. Polling always expects the format that `LoadPoller` describes.
    std::function<std::optional<LoadReport>(const nlohmann::json &content)> parse{};
};

struct LoadPollerOptions
{
    std::chrono::milliseconds interval{250}; ///< Between two polls of one engine.
    std::chrono::milliseconds timeout{1000}; ///< For one response.
    LoadProtocol protocol{};
    std::chrono::milliseconds leavingCheckInterval{300}; ///< Short, because an engine may shut down 1.5 s after it announces that it leaves.
    unsigned reportsPerCacheRead = 4;                    ///< Cache events are read once for this many reports.
};

/// Polls engines until it is destroyed. `GET /v1/load` returns an object with the fields of `LoadReport` and one of two optional fields:
/// `measuredAtMs` is the time of the measurement by the engine's clock in milliseconds, which reveals a frozen report; without it, `ageMs`
/// is the time since the measurement in milliseconds. Thread-safe.
class LoadPoller
{
public:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    LoadPoller(boost::asio::io_context &io, CellDispatcher &dispatcher, const Clock &clock, Metrics &metrics, const LoadPollerOptions &options);
    ~LoadPoller();

    /// Starts polling the engines that the dispatcher names.
    void start();

    /// Requests the load report of one engine once, for example to find out whether the engine has recovered.
    void probe(const EndpointSettings &engine);

    /// Polls engines for whether they are about to shut down, while no other source reports it.
    /// @param needed returns the engines to poll now, none while it is unnecessary. Called every `leavingCheckInterval`.
    /// @param onLeaving called for each response with which an engine reports that it is about to shut down.
    void watchLeaving(std::function<std::vector<EndpointSettings>()> needed, std::function<void(const EndpointId &)> onLeaving);

    /// Sets functions that are called for each request to an engine. Call it before any request is sent.
    /// @param mayAsk returns whether a request may be sent to the engine.
    /// @param onResponse called with each response, whatever its status.
    void setRequestHooks(std::function<bool(const EndpointId &)> mayAsk, std::function<void(const EndpointId &, const Response &)> onResponse);

    /// Ends all polling.
    void stop();

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream
