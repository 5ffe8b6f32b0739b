#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

/// @file
/// Distinct types for the names of things, so that one cannot be passed for another.
///
/// Example:
/// @code
///   const TeamId team("guides-north");
///   LOG(INFO) << "team=" << team;
/// @endcode

namespace daisystream
{

/// An immutable name of one kind of thing. `Tag` only tells the kinds apart.
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

using VmId = Id<struct VmTag>;                 ///< One of our own VMs.
using ZoneId = Id<struct ZoneTag>;             ///< An availability zone.
using EndpointId = Id<struct EndpointTag>;     ///< An engine or a plain service instance.
using TeamId = Id<struct TeamTag>;             ///< A customer.
using RequestId = Id<struct RequestTag>;       ///< One request of a caller.
using ModelId = Id<struct ModelTag>;           ///< A model that engines run.
using ServiceId = Id<struct ServiceTag>;       ///< A plain service.
using GenerationId = Id<struct GenerationTag>; ///< One generation at an engine.
using PlanName = Id<struct PlanTag>;           ///< A plan that teams hold.

/// Order of service. Urgent work goes first.
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
