#include "soak/plan.h"

#include "daisystream/base/overloaded.h"
#include "daisystream/base/random.h"

#include <algorithm>
#include <array>

namespace daisystream::soak
{
namespace
{

// Shortest and longest time of a disturbance: from below any of the system's timeouts to beyond most of them.
constexpr milliseconds kShortest{150};
constexpr milliseconds kLongest{5000};
// Actions may begin together; this is how often one follows another at once.
constexpr double kBurstShare = 0.3;
constexpr milliseconds kBurstGap{200};
constexpr const char *kFirstZone = "a";
constexpr const char *kSecondZone = "b";

class Planner
{
public:
    Planner(std::uint64_t seed, const PlanSize &size)
        : random_(seed)
        , size_(size)
    {
        plan_.configurations.push_back(firstConfiguration());
    }

    Plan make()
    {
        milliseconds at{0};
        for (unsigned i = 0; i < size_.steps; ++i) {
            at = random_.uniform() < kBurstShare ? std::min(size_.length, at + upTo(kBurstGap)) : upTo(size_.length);
            plan_.steps.push_back({at, action()});
        }
        sortSteps();
        writeConfigurations();
        for (unsigned i = 0; i < size_.limits; ++i) {
            plan_.steps.push_back({upTo(size_.length), limit()});
        }
        for (unsigned i = 0; i < size_.withdrawals; ++i) {
            plan_.steps.push_back({upTo(size_.length), withdrawal()});
        }
        sortSteps();
        return std::move(plan_);
    }

private:
    void sortSteps()
    {
        std::stable_sort(plan_.steps.begin(), plan_.steps.end(), [](const Step &a, const Step &b) { return a.at < b.at; });
    }

    milliseconds upTo(milliseconds most)
    {
        return milliseconds(random_.below(static_cast<std::uint64_t>(most.count())));
    }

    milliseconds length()
    {
        return kShortest + upTo(kLongest - kShortest);
    }

    std::string vm()
    {
        return vmName(1 + static_cast<unsigned>(random_.below(size_.vms)));
    }

    std::string endpoint()
    {
        const auto place = static_cast<unsigned>(random_.below(size_.engines + size_.services));
        return place < size_.engines ? engineName(1 + place) : serviceName(1 + place - size_.engines);
    }

    std::string anyProcess()
    {
        return random_.uniform() < 0.5 ? vm() : endpoint();
    }

    template<class Fault>
    Fault faultUpTo(Fault last)
    {
        return static_cast<Fault>(random_.below(static_cast<std::uint64_t>(last) + 1));
    }

    Action action()
    {
        constexpr unsigned kKinds = 12; // Some kinds are drawn from more than one number.
        switch (random_.below(kKinds)) {
        case 0:
            return FreezeProcess{anyProcess(), length()};
        case 1:
        case 2:
            return KillProcess{anyProcess(), length()};
        case 3:
        case 4:
            return StopProcess{anyProcess(), length()};
        case 5:
            return ReloadProcess{vm()};
        case 6:
        case 7: {
            const auto kind = faultUpTo(LinkKind::Endpoint);
            return DisturbLink{kind, kind == LinkKind::Endpoint ? endpoint() : vm(), faultUpTo(LinkFault::Slow), length()};
        }
        case 8:
            return DisturbStore{faultUpTo(StoreFault::ClockJumps), length()};
        case 9:
            return DisturbEndpoint{endpoint(), faultUpTo(EndpointFault::Slow), length()};
        default:
            return ChangeConfiguration{};
        }
    }

    /// @return a limit of an endpoint. Limits are drawn last, so that the other steps of a seed do not depend on their number.
    Action limit()
    {
        constexpr std::array kRates{0.4, 1.0, 2.7, 3.7, 8.0, 20.0, 200.0};
        // Longer than a VM is given to learn of the limit and the window in which requests are counted.
        constexpr milliseconds kShortestLimit{8000};
        constexpr milliseconds kLongestLimit{16000};
        return LimitEndpoint{endpoint(), kRates.at(random_.below(kRates.size())), kShortestLimit + upTo(kLongestLimit - kShortestLimit)};
    }

    /// @return a withdrawal of a zone. Drawn after all other steps, as limits are.
    Action withdrawal()
    {
        // Longer than a VM is given to learn of it.
        constexpr milliseconds kShortestWithdrawal{7000};
        constexpr milliseconds kLongestWithdrawal{12000};
        return WithdrawZone{random_.below(2) == 0 ? kFirstZone : kSecondZone, kShortestWithdrawal + upTo(kLongestWithdrawal - kShortestWithdrawal)};
    }

    /// Fills the changes in, once their order in time is known.
    void writeConfigurations()
    {
        for (auto &step : plan_.steps) {
            if (auto *change = std::get_if<ChangeConfiguration>(&step.action)) {
                change->next = nextConfiguration();
                plan_.configurations.push_back(change->next);
            }
        }
    }

    Configuration nextConfiguration()
    {
        Configuration next = plan_.configurations.back();
        next.version += 1 + random_.below(5);
        const std::string number = std::to_string(plan_.configurations.size());
        auto &keys = next.teams.front().keys;
        switch (random_.below(4)) {
        case 0:
            if (keys.size() > 1) {
                keys.pop_back();
                break;
            }
            [[fallthrough]];
        case 1:
            keys.push_back("key-extra-" + number);
            break;
        case 2:
            if (next.hasRoute("extra-" + lastExtra_)) {
                std::erase_if(next.routes, [&](const SoakRoute &route) { return route.name == "extra-" + lastExtra_; });
                break;
            }
            [[fallthrough]];
        default:
            lastExtra_ = number;
            next.routes.push_back({.name = "extra-" + number, .prefix = "/extra-" + number + "/", .kind = Kind::Safe, .service = kDeskService, .attempts = 2});
        }
        return next;
    }

    Random random_;
    const PlanSize size_;
    Plan plan_;
    std::string lastExtra_;
};

std::string lengthText(milliseconds length)
{
    return " for " + std::to_string(length.count()) + " ms";
}

const char *nameOf(LinkFault fault)
{
    static constexpr std::array kNames{"cut", "refuse", "stall", "forget", "drop requests of", "drop replies of", "slow"};
    return kNames.at(static_cast<std::size_t>(fault));
}

const char *nameOf(LinkKind link)
{
    static constexpr std::array kNames{"callers", "peers", "store", "endpoint"};
    return kNames.at(static_cast<std::size_t>(link));
}

const char *nameOf(StoreFault fault)
{
    static constexpr std::array kNames{"refuses", "closes connections", "is silent", "is slow", "loses replies", "forgets its history", "has its clock jump"};
    return kNames.at(static_cast<std::size_t>(fault));
}

const char *nameOf(EndpointFault fault)
{
    static constexpr std::array kNames{"loses answers", "fails", "garbles answers", "is slow"};
    return kNames.at(static_cast<std::size_t>(fault));
}

} // namespace

std::vector<SoakRoute> Plan::allRoutes() const
{
    std::vector<SoakRoute> routes;
    for (const auto &configuration : configurations) {
        for (const auto &route : configuration.routes) {
            if (std::find(routes.begin(), routes.end(), route) == routes.end()) {
                routes.push_back(route);
            }
        }
    }
    return routes;
}

std::vector<std::string> Plan::allKeys() const
{
    std::vector<std::string> keys;
    for (const auto &configuration : configurations) {
        for (const auto &team : configuration.teams) {
            for (const auto &key : team.keys) {
                if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
                    keys.push_back(key);
                }
            }
        }
    }
    return keys;
}

std::string vmName(unsigned number)
{
    return "vm" + std::to_string(number);
}

std::string engineName(unsigned number)
{
    return "engine" + std::to_string(number);
}

std::string serviceName(unsigned number)
{
    return "service" + std::to_string(number);
}

std::string zoneOfEndpoint(const std::string &name)
{
    const bool isOdd = !name.empty() && (name.back() - '0') % 2 == 1;
    return isOdd ? kFirstZone : kSecondZone;
}

Plan makePlan(std::uint64_t seed, const PlanSize &size)
{
    return Planner(seed, size).make();
}

std::string describe(const Step &step)
{
    const auto text = std::visit(
        Overloaded{
            [](const FreezeProcess &action) { return "freeze " + action.process + lengthText(action.length); },
            [](const KillProcess &action) { return "kill " + action.process + lengthText(action.downFor); },
            [](const StopProcess &action) { return "stop " + action.process + lengthText(action.downFor); },
            [](const ReloadProcess &action) { return "reload " + action.process; },
            [](const DisturbLink &action) {
                return std::string(nameOf(action.fault)) + " the link " + nameOf(action.link) + " of " + action.process + lengthText(action.length);
            },
            [](const DisturbStore &action) { return std::string("the store ") + nameOf(action.fault) + lengthText(action.length); },
            [](const DisturbEndpoint &action) { return action.process + " " + nameOf(action.fault) + lengthText(action.length); },
            [](const LimitEndpoint &action) {
                return action.process + " takes " + std::to_string(action.perSecond) + " requests a second" + lengthText(action.length);
            },
            [](const WithdrawZone &action) { return "zone " + action.zone + " is out of service" + lengthText(action.length); },
            [](const ChangeConfiguration &action) { return "configuration " + std::to_string(action.next.version); },
        },
        step.action);
    return std::to_string(step.at.count()) + " ms: " + text;
}

} // namespace daisystream::soak
