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
/// Everything that translates between a platform and the product.
///
/// Example:
/// @code
///   const auto adapter = findAdapter(settings.platformProtocol);
///   PlatformClient client(io, settings.platform, adapter->store);
/// @endcode

namespace daisystream
{

struct PlatformAdapter
{
    std::shared_ptr<const StoreDialect> store = ownStoreDialect();
    ListTable::RouteParser parseRoutes{}; ///< Set if the platform keeps the configuration.
    std::optional<WatchSource> watch{};   ///< Set together with it.
    LoadProtocol load{};
    std::shared_ptr<const GatewayDialect> gateway = nullptr; ///< Set if callers are forwarded by routes.
};

} // namespace daisystream
