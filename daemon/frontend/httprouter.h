#pragma once

#include "daisystream/base/ids.h"

#include <string>
#include <string_view>
#include <variant>

/// @file
/// Maps the path of a request to what serves it.
///
/// Example:
/// @code
///   const ApiRoute route = routeOf("/v1/services/booking/seats");
///   if (const auto *call = std::get_if<ServiceCall>(&route)) { ... }
/// @endcode

namespace daisystream
{

/// `/healthz`: the process runs.
struct HealthRoute
{
};

/// `/readyz`: the VM takes new work.
struct ReadyRoute
{
};

/// `/metrics`.
struct MetricsRoute
{
};

/// `/v1/models`.
struct ModelsRoute
{
};

/// `/v1/completions` or `/v1/chat/completions`.
struct CompletionRoute
{
    bool chat = false;
};

/// `/v1/services/NAME/tickets`.
struct TicketRoute
{
    ServiceId service;
};

/// `/v1/services/NAME/orders/KEY`.
struct OrderQueryRoute
{
    ServiceId service;
    std::string key; ///< Decoded.
};

/// Any other path below `/v1/services/NAME`.
struct ServiceCall
{
    ServiceId service;
};

/// Anything else.
struct UnknownRoute
{
};

using ApiRoute = std::variant<UnknownRoute, HealthRoute, ReadyRoute, MetricsRoute, ModelsRoute, CompletionRoute, TicketRoute, OrderQueryRoute, ServiceCall>;

/// @param target path of a request, with or without a query.
/// @return what serves it.
[[nodiscard]] ApiRoute routeOf(std::string_view target);

/// @return the text with every byte other than letters, digits, '-', '_' and '.' as %XX, so that it is safe in a path,
///     a row name and a log line.
[[nodiscard]] std::string percentEncoded(std::string_view text);

/// @return the text with %XX replaced; faulty sequences stay as they are.
[[nodiscard]] std::string percentDecoded(std::string_view text);

} // namespace daisystream
