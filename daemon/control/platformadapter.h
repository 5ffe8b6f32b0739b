#pragma once

#include "daemon/endpoints/loadpoller.h"
#include "daemon/gateway/gatewaydialect.h"
#include "daemon/store/listtable.h"
#include "daemon/store/owndialect.h"
#include "daemon/store/storecall.h"
#include "daemon/store/storewatch.h"

#include <memory>
#include <optional>

/// @file
/// The set of protocol implementations that connect the daemon to one kind of platform.
///
/// Example:
/// @code
///   const auto adapter = findAdapter(settings.platformProtocol);
///   PlatformClient client(io, settings.platform, adapter->store);
/// @endcode

namespace daisystream
{

/// The protocols of one kind of platform. The defaults are those of the product's own protocol.
struct PlatformAdapter
{
    std::shared_ptr<const StoreDialect> store = ownStoreDialect();
    ListTable::RouteParser parseRoutes{}; ///< Parser of the route configuration; set if the platform stores it.
    std::optional<WatchSource> watch{};   ///< How to watch the platform's store; set if and only if `parseRoutes` is.
    LoadProtocol load{};
    std::shared_ptr<const GatewayDialect> gateway = nullptr; ///< Set if requests of callers are forwarded by routes.
};

} // namespace daisystream
