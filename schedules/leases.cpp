#include "schedules/platformfake.h"
#include "schedules/properties.h"

#include <array>
#include <memory>

namespace daisystream::schedules
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t kVms = 3;
constexpr std::size_t kEngines = 2; // The first checks fencing numbers, the second ignores them.

/// An engine that takes the wanted state with the highest fencing number, or the latest to arrive.
struct EngineFake
{
    bool checksFencing = true;
    std::uint64_t highestSeen = 0;
    std::uint64_t fencing = 0; ///< Of the order in force.
};

class LeaseWorld
{
public:
    LeaseWorld(std::uint64_t seed, const Faults &faults)
        : faults_(faults)
        , queue_(seed)
        , platform_(queue_)
    {
        engines_[1].checksFencing = false;
        for (std::size_t vm = 0; vm < kVms; ++vm) {
            restart(vm);
        }
    }

    std::optional<std::string> run()
    {
        constexpr Duration kSpan = 2min;
        platform_.loss = static_cast<double>(queue_.random.below(4)) * 0.1;
        platform_.staleness = queue_.chance(0.5) ? 3s : 0s;
        for (int i = 0; i < 2; ++i) {
            queue_.after(queue_.between(0ms, kSpan), [this] { platform_.outage = queue_.chance(0.4); });
            queue_.after(queue_.between(0ms, kSpan), [this] { platform_.slow = queue_.chance(0.5); });
        }
        const std::uint64_t disturbances = queue_.random.below(8);
        for (std::uint64_t i = 0; i < disturbances; ++i) {
            queue_.after(queue_.between(0ms, kSpan), [this] { disturb(); });
        }
        queue_.after(kSpan, [this] {
            platform_.outage = false;
            platform_.slow = false;
            platform_.loss = 0;
            platform_.staleness = {};
        });
        queue_.run(kSpan + 100s, [this] { check(); });
        checkEnd();
        return queue_.violation;
    }

private:
    struct Vm
    {
        Process process;
        std::unique_ptr<LeaseHolder> lease;
    };

    void restart(std::size_t index)
    {
        Vm &vm = vms_[index];
        LeaseOptions options;
        options.faults = faults_.lease;
        vm.lease = std::make_unique<LeaseHolder>("placement", VmId("vm" + std::to_string(index)), vm.process.incarnation, options);
        tick(vm);
        orderAll(vm);
    }

    void disturb()
    {
        // The holder is hit more often than the others.
        std::size_t index = queue_.random.below(kVms);
        for (std::size_t i = 0; i < kVms; ++i) {
            if (vms_[i].lease->fencingNumber(queue_.now()) && queue_.chance(0.7)) {
                index = i;
            }
        }
        if (queue_.chance(0.3)) {
            ++vms_[index].process.incarnation;
            vms_[index].process.pausedUntil = {};
            restart(index);
        } else {
            queue_.pause(vms_[index].process, queue_.between(500ms, 61s));
        }
    }

    void tick(Vm &vm)
    {
        if (const auto action = vm.lease->poll(queue_.now())) {
            // A pause can fall between the decision to send and the sending.
            queue_.after(queue_.between(0ms, 2ms), vm.process, [this, &vm, action] {
                platform_.perform(*action, vm.process, [this, &vm](const TableReply &reply) { vm.lease->onReply(reply, queue_.now()); });
            });
        }
        queue_.after(100ms, vm.process, [this, &vm] { tick(vm); });
    }

    /// The holder declares the wanted state to each engine and repeats it, which is the check that follows an order.
    void orderAll(Vm &vm)
    {
        for (EngineFake &engine : engines_) {
            const auto fencing = engine.checksFencing ? vm.lease->fencingNumber(queue_.now()) : vm.lease->fencingNumberForUnfencedEngines(queue_.now());
            if (!fencing) {
                continue;
            }
            if (engine.checksFencing && queue_.chance(0.2)) {
                // A pause can fall between the check and the sending; the fencing number covers that.
                queue_.after(queue_.between(0ms, 5ms), vm.process, [this, &engine, fencing] { deliver(engine, *fencing); });
            } else {
                deliver(engine, *fencing);
            }
        }
        queue_.after(queue_.between(100ms, 1500ms), vm.process, [this, &vm] { orderAll(vm); });
    }

    void deliver(EngineFake &engine, std::uint64_t fencing)
    {
        // An order takes effect within its lifetime or not at all.
        queue_.after(queue_.between(1ms, LeaseOptions().orderLifetime), [this, &engine, fencing] {
            if (engine.checksFencing && fencing < engine.highestSeen) {
                return;
            }
            if (fencing < engine.fencing) {
                queue_.fail("an order of an earlier lease took effect after one of a later lease");
            }
            engine.highestSeen = std::max(engine.highestSeen, fencing);
            engine.fencing = fencing;
        });
    }

    void check()
    {
        int holders = 0;
        for (std::size_t i = 0; i < kVms; ++i) {
            const auto fencing = vms_[i].lease->fencingNumber(queue_.now());
            holders += fencing ? 1 : 0;
            if (fencing && seen_[*fencing].insert({i, vms_[i].process.incarnation}).second) {
                ++holderOf_[*fencing];
            }
            if (fencing && holderOf_[*fencing] > 1) {
                queue_.fail("the fencing number " + std::to_string(*fencing) + " was used by two holders");
            }
        }
        if (holders > 1) {
            queue_.fail("two VMs hold the lease");
        }
    }

    void checkEnd()
    {
        std::uint64_t current = 0;
        for (const Vm &vm : vms_) {
            current = std::max(current, vm.lease->fencingNumber(queue_.now()).value_or(0));
        }
        if (current == 0) {
            queue_.fail("no VM holds the lease although the platform has been well for 100 s");
        }
        for (const EngineFake &engine : engines_) {
            if (engine.fencing != current) {
                queue_.fail("an engine does not have the state that the holder wants");
            }
        }
    }

    Faults faults_;
    EventQueue queue_;
    PlatformFake platform_;
    std::array<Vm, kVms> vms_;
    std::array<EngineFake, kEngines> engines_;
    std::map<std::uint64_t, std::set<std::pair<std::size_t, std::uint64_t>>> seen_;
    std::map<std::uint64_t, int> holderOf_;
};

} // namespace

Property leasesProperty()
{
    return {.name = "leases",
            .run = [](std::uint64_t seed, const Faults &faults) { return LeaseWorld(seed, faults).run(); },
            .mutations = {{"countFromReply",
                           [](Faults &faults) {
                               faults.lease.countFromReply = true;
                           }},
                          {"neverExpires",
                           [](Faults &faults) {
                               faults.lease.neverExpires = true;
                           }},
                          {"sameFencingNumber",
                           [](Faults &faults) {
                               faults.lease.sameFencingNumber = true;
                           }},
                          {"takeOverAtOnce",
                           [](Faults &faults) {
                               faults.lease.takeOverAtOnce = true;
                           }},
                          {"neverTakeOver",
                           [](Faults &faults) {
                               faults.lease.neverTakeOver = true;
                           }},
                          {"neverSettled",
                           [](Faults &faults) {
                               faults.lease.neverSettled = true;
                           }},
                          {"noSettling",
                           [](Faults &faults) {
                               faults.lease.noSettling = true;
                           }},
                          {"unconditional", [](Faults &faults) {
                               faults.lease.unconditional = true;
                           }}}};
}

} // namespace daisystream::schedules
