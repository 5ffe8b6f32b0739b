#pragma once

#include "daemon/frontend/httpreply.h"
#include "daemon/store/listtable.h"

#include <memory>

/// @file
/// Who a caller is and what its plan lets it use.
///
/// Example:
/// @code
///   const auto grant = authorize(lists, request);
///   if (const auto *error = std::get_if<Error>(&grant)) { ... }
/// @endcode

namespace daisystream
{

/// An authenticated team with its plan and limits, as they were when the request arrived.
struct CallerGrant
{
    TeamId team;
    Plan plan;
    Limit limit;
};

/// Authenticates the bearer key of a request.
/// @return the grant; `NoLists` before any list was obtained; `MissingKey` or `UnknownKey`.
[[nodiscard]] Result<CallerGrant> authorize(const ListTable &lists, const HttpRequest &request);

/// @return `ModelNotAllowed` if the plan may not use the model.
[[nodiscard]] std::optional<Error> checkModel(const CallerGrant &grant, const ModelId &model);

/// @return `ServiceNotAllowed` if the plan may not use the service.
[[nodiscard]] std::optional<Error> checkService(const CallerGrant &grant, const ServiceId &service);

} // namespace daisystream
