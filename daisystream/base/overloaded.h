#pragma once

/// @file
/// A visitor of a `std::variant` made of one function for each alternative.
///
/// Example:
/// @code
///   std::visit(Overloaded{[](const Cat &cat) { cat.purr(); }, [](const auto &) {}}, animal);
/// @endcode

namespace daisystream
{

template<class... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace daisystream
