#pragma once

/// @file
/// Combines function objects into one overload set, for use as the visitor of a `std::variant`.
///
/// Example:
/// @code
///   std::visit(Overloaded{[](const Cat &cat) { cat.purr(); }, [](const auto &) {}}, animal);
/// @endcode

namespace daisystream
{

/// Inherits the call operators of all handlers.
template<class... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace daisystream
