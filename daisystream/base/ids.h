#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

/// @file
/// Strongly typed identifiers: each kind has its own type, so that the compiler rejects, for example, a team's id where a
/// request's is expected.
///
/// Example:
/// @code
///   const TeamId team("guides-north");
///   LOG(INFO) << "team=" << team;
/// @endcode

namespace daisystream
{

/// A string identifier of one kind.
/// @tparam Tag distinguishes the kinds; it is never defined.
template<class Tag>
class Id
{
public:
    Id() = default;

    explicit Id(std::string value)
        : value_(std::move(value))
    {
    }

    [[nodiscard]] const std::string &value() const
    {
        return value_;
    }

    [[nodiscard]] bool empty() const
    {
        return value_.empty();
    }

    friend auto operator<=>(const Id &, const Id &) = default;

    friend std::ostream &operator<<(std::ostream &out, const Id &id)
    {
        return out << id.value_;
    }

private:
    std::string value_;
};

using VmId = Id<struct VmTag>;                 ///< A VM that runs this software.
using ZoneId = Id<struct ZoneTag>;             ///< An availability zone.
using EndpointId = Id<struct EndpointTag>;     ///< An engine, or one instance of a plain service.
using TeamId = Id<struct TeamTag>;             ///< A customer.
using RequestId = Id<struct RequestTag>;       ///< A request of a caller.
using ModelId = Id<struct ModelTag>;           ///< A model that engines run.
using ServiceId = Id<struct ServiceTag>;       ///< A service behind this system that is not an engine.
using GenerationId = Id<struct GenerationTag>; ///< One run of a request at an engine.
using PlanName = Id<struct PlanTag>;           ///< A service plan that teams subscribe to.

/// Priority of a request: urgent requests are served before ordinary ones.
enum class Rank : std::uint8_t {
    Urgent = 0,
    Ordinary = 1,
};

/// @return "urgent" or "ordinary".
[[nodiscard]] constexpr const char *toString(Rank rank)
{
    return rank == Rank::Urgent ? "urgent" : "ordinary";
}

} // namespace daisystream

template<class Tag>
struct std::hash<daisystream::Id<Tag>>
{
    std::size_t operator()(const daisystream::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};
