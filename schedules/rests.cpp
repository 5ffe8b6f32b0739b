#include "schedules/eventqueue.h"
#include "schedules/properties.h"

#include "daisystream/balancing/endpointcooldowns.h"

#include <array>

namespace daisystream::schedules
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t kEndpoints = 3;
constexpr Duration kGrace = 500ms;       ///< After a refusal, requests that are under way may still arrive.
constexpr unsigned kAllowed = 2;         ///< Requests that may reach an endpoint between the grace and the end of its time.
constexpr Duration kLongestUnused = 30s; ///< An endpoint that takes requests again gets one within this time.

/// Endpoints turn a VM away at times; the VM sends wherever it may.
class RestWorld
{
public:
    RestWorld(std::uint64_t seed, const Faults &faults)
        : queue_(seed)
        , cooldowns_(faults.rests)
    {
        for (auto &endpoint : endpoints_) {
            endpoint.usedAt = queue_.now();
        }
    }

    std::optional<std::string> run()
    {
        queue_.after(0ms, [this] { send(); });
        queue_.run(2min, [this] { check(); });
        return queue_.violation;
    }

private:
    struct EndpointFake
    {
        struct Window
        {
            TimePoint from;
            TimePoint until;
            unsigned arrived = 0;
        };
        std::vector<Window> windows;
        TimePoint wantsAgainAt{};
        TimePoint usedAt{};
    };

    static EndpointId id(std::size_t index)
    {
        return EndpointId("e" + std::to_string(index));
    }

    /// Sends a request to a random endpoint that takes one; it arrives later, and its reply later still.
    void send()
    {
        const auto index = static_cast<std::size_t>(queue_.random.below(kEndpoints));
        if (!cooldowns_.isInCooldown(id(index), queue_.now())) {
            endpoints_[index].usedAt = queue_.now();
            queue_.after(queue_.between(1ms, 200ms), [this, index] { arrive(index); });
        }
        queue_.after(queue_.between(1ms, 100ms), [this] { send(); });
    }

    void arrive(std::size_t index)
    {
        auto &endpoint = endpoints_[index];
        const auto now = queue_.now();
        for (auto &window : endpoint.windows) {
            if (now >= window.from && now < window.until && ++window.arrived > kAllowed) {
                queue_.fail(id(index).value() + " got a request in the time for which it wanted none");
            }
        }
        if (!queue_.chance(0.1)) {
            return;
        }
        // One more refusal, possibly for a shorter time, for requests that were under way.
        const auto wait = queue_.between(600ms, 5s);
        endpoint.windows.push_back({.from = now + kGrace, .until = now + wait});
        endpoint.wantsAgainAt = std::max(endpoint.wantsAgainAt, now + wait);
        queue_.after(queue_.between(1ms, 200ms), [this, index, wait] { cooldowns_.startCooldown(id(index), wait, queue_.now()); });
    }

    void check()
    {
        for (std::size_t index = 0; index < kEndpoints; ++index) {
            const auto &endpoint = endpoints_[index];
            if (queue_.now() - std::max(endpoint.usedAt, endpoint.wantsAgainAt) > kLongestUnused) {
                queue_.fail(id(index).value() + " takes requests and gets none");
            }
        }
    }

    EventQueue queue_;
    EndpointCooldowns cooldowns_;
    std::array<EndpointFake, kEndpoints> endpoints_;
};

} // namespace

Property restsProperty()
{
    return {.name = "rests",
            .run = [](std::uint64_t seed, const Faults &faults) { return RestWorld(seed, faults).run(); },
            .mutations = {{"shortens",
                           [](Faults &faults) {
                               faults.rests.shortens = true;
                           }},
                          {"endsEarly",
                           [](Faults &faults) {
                               faults.rests.endsEarly = true;
                           }},
                          {"neverEnds",
                           [](Faults &faults) {
                               faults.rests.neverEnds = true;
                           }},
                          {"isShared", [](Faults &faults) {
                               faults.rests.isShared = true;
                           }}}};
}

} // namespace daisystream::schedules
