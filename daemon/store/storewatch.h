#pragma once

#include "daemon/control/settings.h"
#include "daemon/status/metrics.h"
#include "daemon/store/listtable.h"
#include "daemon/store/platformclient.h"
#include "daisystream/base/clock.h"
#include "daisystream/endpoint/endpointdirectory.h"
#include "daisystream/endpoint/zonewithdrawals.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Follows the configuration, the endpoints and the deployment's VMs on a platform whose store supports watches.
///
/// Example:
/// @code
///   StoreWatch watch(io, settings, source, {lists, platform, metrics, clock}, handlers);
///   watch.start();
/// @endcode

namespace daisystream
{

/// The tables that are watched, and the parsers for their rows.
struct WatchSource
{
    std::string configTable; ///< The row `configKey` of this table holds the configuration.
    std::string configKey;
    std::string zonePrefix;    ///< A row of `configTable` with this prefix and the name of a zone takes that zone out of service.
    std::string endpointTable; ///< Table with one row for each endpoint.
    /// @return the version number in a configuration, or nothing if the configuration is malformed.
    std::function<std::optional<std::uint64_t>(std::string_view text)> configVersion;
    /// @return the endpoint described by a row, or nothing if the row does not describe a usable endpoint.
    std::function<std::optional<EndpointEntry>(const std::string &key, std::string_view text)> parseEndpoint;
};

/// Objects used by the watch. All of them must outlive it.
struct StoreWatchParts
{
    ListTable &lists; ///< Receives the documents that the watch reads, and holds those received from other VMs.
    PlatformClient &platform;
    Metrics &metrics;
    const Clock &clock;
};

/// Callbacks of the watch. They run on a thread of the event loop without locks.
struct StoreWatchHandlers
{
    std::function<void(const std::vector<EndpointEntry> &)> onEndpoints; ///< Receives all endpoints that are valid now.
    std::function<void(const std::vector<ListedVm> &)> onVms;            ///< Receives all registered VMs.
    std::function<void(const ZoneWithdrawals &)> onZones;                ///< Receives the zones that are out of service.
    std::function<void(DocumentKind)> onPublished;                       ///< A document read from the platform was put in force.
    std::function<void(const EndpointChanges &)> onChanges;              ///< Receives endpoint changes that this VM read from the platform.
    std::function<bool()> followsConfig;                                 ///< False while other VMs watch the configuration and forward it.
    std::function<bool()> followsEndpoints;                              ///< False while other VMs watch the endpoints and forward them.
    std::function<bool()> followsVms;                                    ///< False while other VMs watch the VM list and forward it.
    std::function<void(TimePoint asOf)> onContact;                       ///< The configuration was confirmed to be current as of this time.
};

/// @return the text of the document `DocumentKind::Endpoints`.
[[nodiscard]] std::string encodeEndpoints(const std::vector<EndpointEntry> &entries);

/// @return the endpoints in a text from `encodeEndpoints`, or nothing if the text is malformed.
[[nodiscard]] std::optional<std::vector<EndpointEntry>> decodeEndpoints(const std::string &text);

/// @return the text of the document `DocumentKind::Vms`.
[[nodiscard]] std::string encodeVms(const std::vector<ListedVm> &vms);

/// @return the VMs in a text from `encodeVms`, or nothing if the text is malformed. Malformed entries are skipped.
[[nodiscard]] std::optional<std::vector<ListedVm>> decodeVms(const std::string &text);

/// @return the text of the document `DocumentKind::Zones`.
[[nodiscard]] std::string encodeZones(const std::set<ZoneId> &zones);

/// @return the zones in a text from `encodeZones`, or nothing if the text is malformed.
[[nodiscard]] std::optional<std::set<ZoneId>> decodeZones(const std::string &text);

/// Watches the platform's tables and reports changes to the handlers. Thread-safe: its state is used on one strand.
class StoreWatch
{
public:
    StoreWatch(boost::asio::io_context &io, const Settings &settings, WatchSource source, const StoreWatchParts &parts, StoreWatchHandlers handlers);
    ~StoreWatch();

    /// Registers this VM and starts to watch.
    /// @param peerPort port on which other VMs connect to this one.
    void start(std::uint16_t peerPort);

    /// Applies endpoint changes that another VM read from the platform.
    /// @param onGap called if this VM lacks earlier changes and therefore needs the complete set of endpoints.
    void onChanges(const EndpointChanges &changes, std::function<void()> onGap);

    void stop();

    /// @return true if the platform is unreachable: a call got no usable reply and no contact has been confirmed since.
    [[nodiscard]] bool isLost() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace daisystream
