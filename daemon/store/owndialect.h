#pragma once

#include "daemon/store/storecall.h"

#include <memory>

/// @file
/// Encodes and decodes the store protocol of docs/design.md section 3.
///
/// Example:
/// @code
///   PlatformClient client(io, address, ownStoreDialect());
/// @endcode

namespace daisystream
{

/// @return the shared protocol implementation, which does not support `WatchTable` and `ReadTable`.
[[nodiscard]] std::shared_ptr<const StoreDialect> ownStoreDialect();

} // namespace daisystream
