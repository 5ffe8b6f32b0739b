#pragma once

#include "daemon/store/storecall.h"

#include <memory>

/// @file
/// The store protocol of docs/design.md section 3.
///
/// Example:
/// @code
///   PlatformClient client(io, address, ownStoreDialect());
/// @endcode

namespace daisystream
{

/// @return the dialect; it has no `WatchTable` and no `ReadTable`.
[[nodiscard]] std::shared_ptr<const StoreDialect> ownStoreDialect();

} // namespace daisystream
