#include "schedules/eventqueue.h"
#include "schedules/properties.h"

#include "daisystream/base/overloaded.h"
#include "daisystream/limits/endpointpermits.h"
#include "daisystream/membership/rendezvous.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <set>

namespace daisystream::schedules
{
namespace
{

using namespace std::chrono_literals;

// What an endpoint tolerates: so much more than its limit allows, and so many requests, within the window.
constexpr Duration kWindow = 4s;
constexpr double kTolerance = 1.5;
constexpr double kAllowance = 5;
// From when on a limit binds: after an endpoint without one first stated it, and after it first stated another one.
constexpr Duration kLearning = 3s;
constexpr Duration kPassingOn = 500ms;
// A disturbed VM is not counted for so long.
constexpr Duration kExcused = 3s;
// After a disturbance, issuers have to be known to all VMs again.
constexpr Duration kSettling = 14s;
// How often issuers repeat the limits to the other VMs, and until these have heard of them again.
constexpr Duration kRepeat = 2s;
constexpr Duration kRetelling = 3s;
// Least part of a limit that is used while more is asked for, in spans of this length without disturbance.
constexpr double kUsedPart = 0.85;
constexpr Duration kUsedSpan = 6s;
// Least part of the permits that is still issued while the issuer does not reply.
constexpr double kUsedWithoutIssuer = 0.1;
constexpr double kMinCheckedRate = 20;
constexpr Duration kMinFreeze = 2s;
// Least part of those who come back at the time that was stated and then are served.
constexpr double kKeptPlaces = 0.9;
constexpr int kMinReturns = 30;
// For how long a caller can wait before it comes back.
constexpr Duration kPatience = 1300ms;

struct WorldSize
{
    std::size_t vms = 4;
    std::vector<double> rates; ///< Limits, from which each change draws one.
    double demandFactor = 3;   ///< Requests for each one that the limits allow.
    Duration length = 60s;
    bool disturbed = true;
};

/// VMs before endpoints that state limits, change them and end them, and tell them to one VM, some or all.
class LimitWorld
{
public:
    LimitWorld(std::uint64_t seed, const Faults &faults, WorldSize size)
        : queue_(seed)
        , size_(std::move(size))
        , faults_(faults)
    {
        for (std::size_t i = 0; i < size_.vms; ++i) {
            names_.emplace_back("vm" + std::to_string(i));
        }
        for (std::size_t i = 0; i < size_.vms; ++i) {
            vms_.push_back(std::make_unique<VmFake>());
            startVm(i);
        }
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            auto &endpoint = endpoints_[i];
            endpoint.id = EndpointId("e" + std::to_string(i));
            endpoint.told = 1 + static_cast<std::size_t>(queue_.random.below(3));
        }
    }

    std::optional<std::string> run()
    {
        queue_.after(2s, [this] { changeLimit(0); });
        queue_.after(3s, [this] { changeLimit(1); });
        queue_.after(0ms, [this] { arriveAnywhere(); });
        queue_.after(1s, [this] { repeatStatements(); });
        if (size_.disturbed) {
            queue_.after(8s, [this] { disturb(); });
        }
        queue_.run(size_.length, [] {});
        if (!queue_.violation && returned_ >= kMinReturns && servedReturns_ < kKeptPlaces * returned_) {
            queue_.fail("only " + std::to_string(servedReturns_) + " of " + std::to_string(returned_)
                        + " requests that came back when they were told to were served");
        }
        return queue_.violation;
    }

private:
    struct VmFake
    {
        Process process;
        std::unique_ptr<EndpointPermits> permits;
        std::map<std::uint64_t, std::function<void(const PermitOutcome &)>> waiting;
        std::set<std::size_t> unreachable; ///< VMs that its messages do not reach.
        TimePoint disturbedUntil{};
    };

    struct EndpointFake
    {
        EndpointId id;
        double limit = 0;     ///< 0: none.
        std::size_t told = 1; ///< One in so many VMs is told.
        TimePoint statedAt{}; ///< First answer with the present limit, after none.
        TimePoint changedAt{};
        TimePoint learnedAt{}; ///< First answer with the present limit.
        std::deque<std::pair<TimePoint, std::size_t>> arrivals;
        std::vector<TimePoint> served; ///< Arrivals since the last change of the limit.
    };

    // VMs and their messages.

    void startVm(std::size_t index)
    {
        EndpointPermitOptions options;
        options.faults = faults_.permits;
        vms_[index]->permits = std::make_unique<EndpointPermits>(names_[index], options);
        vms_[index]->permits->setVms(names_, queue_.now());
        vms_[index]->waiting.clear();
    }

    void deliver(std::size_t from, std::size_t to, std::function<void()> event)
    {
        if (!vms_[from]->unreachable.contains(to) && !vms_[to]->unreachable.contains(from)) {
            queue_.after(queue_.between(500us, 4ms), vms_[to]->process, std::move(event));
        }
    }

    [[nodiscard]] std::size_t indexOf(const VmId &vm) const
    {
        return static_cast<std::size_t>(std::stoul(vm.value().substr(2)));
    }

    void perform(std::size_t vm, const std::vector<PermitAction> &actions)
    {
        for (const auto &action : actions) {
            std::visit(Overloaded{[&](const AskForPermit &ask) {
                                      const auto to = indexOf(ask.to);
                                      deliver(vm, to, [this, vm, to, asked = ask.ask] {
                                          auto reply = vms_[to]->permits->onAsk(asked, queue_.now());
                                          deliver(to, vm, [this, vm, to, reply] { perform(vm, vms_[vm]->permits->onReply(names_[to], reply, queue_.now())); });
                                      });
                                      queue_.after(101ms, vms_[vm]->process, [this, vm] { perform(vm, vms_[vm]->permits->expire(queue_.now())); });
                                  },
                                  [&](const PermitDecided &decided) {
                                      const auto node = vms_[vm]->waiting.extract(decided.number);
                                      if (!node.empty()) {
                                          node.mapped()(decided.outcome);
                                      }
                                  }},
                       action);
        }
    }

    void tellOthers(std::size_t from, const LimitStatement &statement)
    {
        for (std::size_t to = 0; to < vms_.size(); ++to) {
            if (to != from) {
                deliver(from, to, [this, to, statement] { vms_[to]->permits->limits().onStatement(statement, queue_.now()); });
            }
        }
    }

    void repeatStatements()
    {
        for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
            if (vms_[vm]->process.alive && queue_.now() >= vms_[vm]->process.pausedUntil) {
                for (const auto &statement : vms_[vm]->permits->ownStatements(queue_.now())) {
                    tellOthers(vm, statement);
                }
            }
        }
        queue_.after(kRepeat, [this] { repeatStatements(); });
    }

    // Requests.

    [[nodiscard]] double totalLimit() const
    {
        double total = 0;
        for (const auto &endpoint : endpoints_) {
            total += endpoint.limit;
        }
        return std::max(total, 1.0);
    }

    void arriveAnywhere()
    {
        const double gap = -std::log(1 - queue_.random.uniform()) / (size_.demandFactor * totalLimit());
        queue_.after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(gap, 5.0))), [this] { arriveAnywhere(); });
        arrive(++lastRequest_, queue_.chance(0.5), false);
    }

    /// A request reaches a VM, which first asks for the endpoints that may be free and then lines up at one.
    void arrive(std::uint64_t request, bool comesBack, bool isBack)
    {
        const auto vm = static_cast<std::size_t>(queue_.random.below(vms_.size()));
        auto &fake = *vms_[vm];
        if (!fake.process.alive || queue_.now() < fake.process.pausedUntil) {
            return;
        }
        const auto first = static_cast<std::size_t>(queue_.random.below(endpoints_.size()));
        // The time that it was told held for the limits of that moment.
        const bool expectsPlace = isBack && isCalm() && areLimitsKnown();
        returned_ += expectsPlace ? 1 : 0;
        tryAt(vm, request, {first, (first + 1) % endpoints_.size()}, comesBack, expectsPlace);
    }

    void tryAt(std::size_t vm, std::uint64_t request, std::vector<std::size_t> left, bool comesBack, bool expectsPlace)
    {
        auto &permits = *vms_[vm]->permits;
        while (!left.empty() && permits.isFull(endpoints_[left.front()].id, false, queue_.now())) {
            left.erase(left.begin());
        }
        const bool linesUp = left.empty();
        std::size_t index = 0;
        if (linesUp) {
            std::vector<EndpointId> ids;
            for (const auto &endpoint : endpoints_) {
                ids.push_back(endpoint.id);
            }
            const auto chosen = permits.lineFor(request, ids);
            if (!chosen) {
                return;
            }
            index = static_cast<std::size_t>(std::stoul(chosen->value().substr(1)));
        } else {
            index = left.front();
            left.erase(left.begin());
        }
        const PermitRequest asked{
            .endpoint = endpoints_[index].id, .attempt = ++lastAttempt_, .request = request, .patience = linesUp && comesBack ? kPatience : Duration(0)};
        const auto number = asked.attempt;
        vms_[vm]->waiting[number] = [=, this](const PermitOutcome &outcome) {
            if (std::holds_alternative<PermitGranted>(outcome)) {
                servedReturns_ += expectsPlace ? 1 : 0;
                send(vm, index);
                return;
            }
            const auto &denied = std::get<PermitDenied>(outcome);
            if (!linesUp) {
                tryAt(vm, request, left, comesBack, expectsPlace);
            } else if (denied.isPlaceKept) {
                // A caller comes back at the time that it was told, once.
                queue_.after(denied.retryAfter + queue_.between(1ms, 60ms), [this, request] { arrive(request, false, true); });
            }
        };
        perform(vm, permits.ask(number, asked, queue_.now()));
    }

    void send(std::size_t vm, std::size_t index)
    {
        const auto sentAt = queue_.now();
        queue_.after(queue_.between(500us, 10ms), [this, vm, index, sentAt] {
            receive(vm, index);
            auto &endpoint = endpoints_[index];
            if (endpoint.limit > 0 && !isToldBy(endpoint, vm)) {
                return; // This VM is not told; its answer neither states nor lifts the limit.
            }
            const auto stated = endpoint.limit > 0 ? std::optional(endpoint.limit) : std::nullopt;
            queue_.after(queue_.between(5ms, 150ms), vms_[vm]->process, [this, vm, index, sentAt, stated] {
                auto &endpoint = endpoints_[index];
                if (stated && endpoint.statedAt == TimePoint()) {
                    endpoint.statedAt = queue_.now();
                }
                if (stated == endpoint.limit && endpoint.learnedAt <= endpoint.changedAt) {
                    endpoint.learnedAt = queue_.now();
                }
                if (vms_[vm]->permits->limits().onAnswer(endpoint.id, stated, sentAt, queue_.now())) {
                    tellOthers(vm, *vms_[vm]->permits->limits().statement(endpoint.id, queue_.now()));
                }
            });
        });
    }

    static bool isToldBy(const EndpointFake &endpoint, std::size_t vm)
    {
        return vm % endpoint.told == 0;
    }

    void receive(std::size_t vm, std::size_t index)
    {
        auto &endpoint = endpoints_[index];
        const auto now = queue_.now();
        const bool binds = endpoint.limit > 0 && endpoint.statedAt != TimePoint() && now >= endpoint.statedAt + kLearning;
        if (!binds || endpoint.learnedAt <= endpoint.changedAt) {
            endpoint.arrivals.clear();
        } else if (now >= vms_[vm]->disturbedUntil && (isToldBy(endpoint, vm) || now >= isolatedUntil_)) {
            endpoint.arrivals.emplace_back(now, vm);
        }
        const auto from = std::max(now - kWindow, endpoint.learnedAt + kPassingOn);
        while (!endpoint.arrivals.empty() && endpoint.arrivals.front().first <= from) {
            endpoint.arrivals.pop_front();
        }
        const double allowed = kTolerance * endpoint.limit * std::chrono::duration<double>(kWindow).count() + kAllowance;
        if (binds && static_cast<double>(endpoint.arrivals.size()) > allowed) {
            queue_.fail(endpoint.id.value() + " got " + std::to_string(endpoint.arrivals.size()) + " requests within its window, allowed "
                        + std::to_string(allowed));
        }
        endpoint.served.push_back(now);
    }

    // What happens to limits and VMs.

    void changeLimit(std::size_t index)
    {
        auto &endpoint = endpoints_[index];
        checkUse(endpoint);
        const double before = endpoint.limit;
        const bool ends = before > 0 && queue_.chance(0.2);
        endpoint.limit = ends ? 0 : size_.rates[static_cast<std::size_t>(queue_.random.below(size_.rates.size()))];
        endpoint.changedAt = queue_.now();
        limitsChangedAt_ = queue_.now();
        if (endpoint.limit == 0 || before == 0) {
            endpoint.statedAt = {};
        }
        endpoint.served.clear();
        queue_.after(queue_.between(12s, 25s), [this, index] { changeLimit(index); });
    }

    [[nodiscard]] bool isCalm() const
    {
        return queue_.now() >= calmFrom_;
    }

    /// @return whether the present limits were stated to some VM long enough ago for all places in lines to be by them.
    [[nodiscard]] bool areLimitsKnown() const
    {
        return std::all_of(endpoints_.begin(), endpoints_.end(), [&](const auto &endpoint) {
            return endpoint.learnedAt > endpoint.changedAt && queue_.now() - endpoint.learnedAt > kLearning;
        });
    }

    /// Checks that the endpoint got what it takes, as far as nothing was disturbed meanwhile.
    void checkUse(EndpointFake &endpoint)
    {
        const auto from = std::max({endpoint.statedAt + kLearning, endpoint.changedAt + kLearning, endpoint.learnedAt + kLearning});
        const auto span = queue_.now() - from;
        if (calmFrom_ > from || span < kUsedSpan) {
            return;
        }
        if (endpoint.limit == 0) {
            checkLifted(endpoint);
            return;
        }
        // Requests that find no permit go to an endpoint without a limit, if there is one.
        const bool allLimited = std::all_of(endpoints_.begin(), endpoints_.end(), [](const auto &other) { return other.limit > 0; });
        if (endpoint.statedAt == TimePoint() || endpoint.learnedAt <= endpoint.changedAt || !allLimited || limitsChangedAt_ > from) {
            return;
        }
        const auto served = std::count_if(endpoint.served.begin(), endpoint.served.end(), [&](TimePoint at) { return at >= from; });
        const double taken = endpoint.limit * std::chrono::duration<double>(span).count();
        if (static_cast<double>(served) < kUsedPart * taken - 2) {
            queue_.fail(endpoint.id.value() + " got " + std::to_string(served) + " requests of " + std::to_string(taken) + " that it takes");
        }
    }

    void checkLifted(const EndpointFake &endpoint)
    {
        for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
            if (vms_[vm]->permits->limits().limit(endpoint.id)) {
                queue_.fail(names_[vm].value() + " still keeps to a limit that " + endpoint.id.value() + " does not state any more");
            }
        }
    }

    /// While an issuer does not reply, another VM stands in for it.
    void checkStandIn(std::size_t frozen, Duration length)
    {
        for (std::size_t index = 0; index < endpoints_.size(); ++index) {
            const auto &endpoint = endpoints_[index];
            const bool isIssuer = rendezvousOwner("permits/" + endpoint.id.value(), names_) == names_[frozen];
            if (!isIssuer || endpoint.limit < kMinCheckedRate || length < kMinFreeze || !isCalm() || !areLimitsKnown()) {
                continue;
            }
            const auto begin = queue_.now();
            queue_.after(length, [this, index, begin, length] {
                const auto &endpoint = endpoints_[index];
                const auto served = std::count_if(endpoint.served.begin(), endpoint.served.end(), [&](TimePoint at) { return at >= begin; });
                const double taken = endpoint.limit * std::chrono::duration<double>(length).count();
                const bool isComparable = limitsChangedAt_ < begin && lastDisturbedAt_ <= begin && endpoints_[1 - index].limit > 0;
                if (isComparable && static_cast<double>(served) < kUsedWithoutIssuer * taken) {
                    queue_.fail(endpoint.id.value() + " got " + std::to_string(served) + " requests while its issuer was frozen");
                }
            });
        }
    }

    void noteDisturbance(std::size_t vm, Duration length)
    {
        vms_[vm]->disturbedUntil = std::max(vms_[vm]->disturbedUntil, queue_.now() + length + kExcused);
        lastDisturbedAt_ = queue_.now();
        calmFrom_ = std::max(calmFrom_, queue_.now() + length + kSettling);
    }

    /// VMs that do not reach each other cannot tell each other what an endpoint told to some of them.
    void noteIsolation(Duration length)
    {
        isolatedUntil_ = std::max(isolatedUntil_, queue_.now() + length + kRetelling);
        lastDisturbedAt_ = queue_.now();
        calmFrom_ = std::max(calmFrom_, queue_.now() + length + kSettling);
    }

    void setViews(const std::vector<std::size_t> &viewers, const std::vector<VmId> &live)
    {
        for (const auto viewer : viewers) {
            queue_.after(queue_.between(2s, 5s), vms_[viewer]->process, [this, viewer, live] { vms_[viewer]->permits->setVms(live, queue_.now()); });
        }
    }

    [[nodiscard]] std::vector<std::size_t> allVms() const
    {
        std::vector<std::size_t> all(vms_.size());
        for (std::size_t i = 0; i < all.size(); ++i) {
            all[i] = i;
        }
        return all;
    }

    void disturb()
    {
        const auto vm = static_cast<std::size_t>(queue_.random.below(vms_.size()));
        const auto length = queue_.between(500ms, 6s);
        switch (queue_.random.below(4)) {
        case 0: // A restart; the others notice its end in most cases.
            noteDisturbance(vm, length);
            vms_[vm]->process.alive = false;
            ++vms_[vm]->process.incarnation;
            queue_.after(length, [this, vm] {
                vms_[vm]->process.alive = true;
                startVm(vm);
            });
            break;
        case 1:
            checkStandIn(vm, length);
            noteDisturbance(vm, length);
            queue_.pause(vms_[vm]->process, length);
            break;
        case 2: // Some VMs do not reach one of the others, which all take for live.
            noteIsolation(length);
            for (std::size_t other = 0; other < vms_.size(); ++other) {
                if (other != vm && queue_.chance(0.5)) {
                    vms_[vm]->unreachable.insert(other);
                }
            }
            queue_.after(length, [this, vm] { vms_[vm]->unreachable.clear(); });
            break;
        default:
            partFleet();
        }
        queue_.after(queue_.between(6s, 30s), [this] { disturb(); });
    }

    /// Parts the VMs from each other for long enough that each side takes the other for dead.
    void partFleet()
    {
        constexpr Duration kParted = 9s;
        noteIsolation(kParted);
        std::array<std::vector<std::size_t>, 2> sides;
        std::array<std::vector<VmId>, 2> names;
        for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
            sides[vm % 2].push_back(vm);
            names[vm % 2].push_back(names_[vm]);
        }
        for (const auto a : sides[0]) {
            vms_[a]->unreachable.insert(sides[1].begin(), sides[1].end());
        }
        setViews(sides[0], names[0]);
        setViews(sides[1], names[1]);
        queue_.after(kParted, [this] {
            for (auto &vm : vms_) {
                vm->unreachable.clear();
            }
            setViews(allVms(), names_);
        });
    }

    EventQueue queue_;
    const WorldSize size_;
    const Faults faults_;
    std::vector<VmId> names_;
    std::vector<std::unique_ptr<VmFake>> vms_;
    std::array<EndpointFake, 2> endpoints_;
    std::uint64_t lastRequest_ = 0;
    std::uint64_t lastAttempt_ = 0;
    TimePoint calmFrom_{};
    TimePoint lastDisturbedAt_{};
    TimePoint limitsChangedAt_{};
    TimePoint isolatedUntil_{};
    int returned_ = 0;
    int servedReturns_ = 0;
};

Property limitsOf(const std::string &name, const WorldSize &size)
{
    return {.name = name, .run = [size](std::uint64_t seed, const Faults &faults) { return LimitWorld(seed, faults, size).run(); }, .mutations = {}};
}

} // namespace

std::vector<Property> limitProperties()
{
    const std::vector<double> rates{0.4, 1, 2.7, 3.7, 8, 20, 120};
    auto calm = limitsOf("limitscalm", {.vms = 4, .rates = rates, .length = 120s, .disturbed = false});
    calm.mutations = {{"neverLifted",
                       [](Faults &faults) {
                           faults.permits.limits.neverLifted = true;
                       }},
                      {"forgetsPlaces", [](Faults &faults) {
                           faults.permits.issuer.forgetsPlaces = true;
                       }}};
    auto limits = limitsOf("limits", {.vms = 4, .rates = rates});
    limits.mutations = {{"eachIssuesItself",
                         [](Faults &faults) {
                             faults.permits.eachIssuesItself = true;
                         }},
                        {"ignoresLostVms",
                         [](Faults &faults) {
                             faults.permits.ignoresLostVms = true;
                         }},
                        {"neverStandsIn",
                         [](Faults &faults) {
                             faults.permits.neverStandsIn = true;
                         }},
                        {"ignoresReports",
                         [](Faults &faults) {
                             faults.permits.limits.ignoresReports = true;
                         }},
                        {"issuesFreely",
                         [](Faults &faults) {
                             faults.permits.issuer.issuesFreely = true;
                         }},
                        {"standsInAtFullRate", [](Faults &faults) {
                             faults.permits.issuer.standsInAtFullRate = true;
                         }}};
    return {calm,
            limits,
            limitsOf("limits30", {.vms = 30, .rates = {0.4, 3, 20, 300}}),
            limitsOf("limits420", {.vms = 420, .rates = {3}, .demandFactor = 100, .length = 40s})};
}

} // namespace daisystream::schedules
