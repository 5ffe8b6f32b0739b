#include "schedules/platformfake.h"
#include "schedules/properties.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>

namespace daisystream::schedules
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t kVms = 5;
constexpr std::size_t kEndpoints = 4;
constexpr Duration kPollPeriod = 2s;
constexpr Duration kHeartbeatPeriod = 500ms;
constexpr Duration kListBound = 5s;  // R7
constexpr Duration kDrainBound = 3s; // R5
// After this long without a disturbance a VM must admit work again.
constexpr Duration kRecovery = 10s;
constexpr const char *kListKey = "lists/plans";

struct Vm
{
    Process process;
    bool stopping = false;
    std::unique_ptr<VmTable> vms;
    std::unique_ptr<ListFreshness> freshness;
    std::unique_ptr<LatestListVersion> plans;
    std::unique_ptr<EndpointStateList> states;
    std::uint64_t sequence = 0;
    std::array<TimePoint, kVms> heardSent{}; // When each peer sent the latest heartbeat received here.
    TimePoint disturbed;                     // When it was last started, paused or cut off.
};

/// A change that an operator was told to be in force.
struct AcceptedChange
{
    std::uint64_t number = 0;
    TimePoint at;
};

class ListWorld
{
public:
    ListWorld(std::uint64_t seed, const Faults &faults)
        : faults_(faults)
        , queue_(seed)
        , platform_(queue_)
        , wellSince_(queue_.now())
    {
        platform_.onWrite = [this](const std::string &key, std::uint64_t number, const std::string &value) {
            onWrite(key, number, value);
        };
        for (std::size_t i = 0; i < kVms; ++i) {
            start(i);
        }
    }

    std::optional<std::string> run()
    {
        constexpr Duration kSpan = 90s;
        platform_.staleness = queue_.chance(0.5) ? 400ms : 0ms;
        operatorLoss_ = static_cast<double>(queue_.random.below(3)) * 0.15;
        const std::uint64_t operators = 1 + queue_.random.below(3);
        for (std::uint64_t i = 0; i < operators; ++i) {
            queue_.after(queue_.between(0ms, 5s), [this, i] { editList(i); });
            queue_.after(queue_.between(0ms, 5s), [this, i] { editStates(i); });
        }
        const std::uint64_t disturbances = queue_.random.below(6);
        for (std::uint64_t i = 0; i < disturbances; ++i) {
            queue_.after(queue_.between(3s, kSpan), [this] { disturb(); });
        }
        queue_.run(kSpan, [this] { check(); });
        return queue_.violation;
    }

private:
    [[nodiscard]] static VmId idOf(std::size_t vm)
    {
        return VmId("vm" + std::to_string(vm));
    }

    [[nodiscard]] static EndpointId endpointOf(std::size_t endpoint)
    {
        return EndpointId("e" + std::to_string(endpoint));
    }

    // Disturbances ---------------------------------------------------------------------------------------------------

    void start(std::size_t index)
    {
        Vm &vm = vms_[index];
        vm.stopping = false;
        VmTableOptions options;
        options.faults = faults_.vms;
        vm.vms = std::make_unique<VmTable>(idOf(index), options);
        FreshnessOptions freshness;
        freshness.faults = faults_.freshness;
        vm.freshness = std::make_unique<ListFreshness>(freshness);
        vm.plans = std::make_unique<LatestListVersion>(faults_.keeper);
        vm.states = std::make_unique<EndpointStateList>(faults_.states);
        vm.sequence = 0;
        vm.heardSent = {};
        vm.disturbed = queue_.now();
        queue_.after(queue_.between(0ms, kPollPeriod), vm.process, [this, index] { poll(index); });
        queue_.after(queue_.between(0ms, kHeartbeatPeriod), vm.process, [this, index] { beat(index); });
        queue_.after(queue_.between(0ms, 100ms), vm.process, [this, index] { admit(index); });
    }

    void disturb()
    {
        const std::size_t index = queue_.random.below(kVms);
        Vm &vm = vms_[index];
        const double kind = queue_.random.uniform();
        if (kind < 0.2) {
            // The platform is away or slow for everybody.
            platform_.outage = queue_.chance(0.5);
            platform_.slow = !platform_.outage;
            queue_.after(queue_.between(1s, 40s), [this] {
                platform_.outage = false;
                platform_.slow = false;
                wellSince_ = queue_.now();
            });
        } else if (kind < 0.4) {
            ++vm.process.incarnation;
            vm.process.pausedUntil = {};
            start(index);
        } else if (kind < 0.6) {
            queue_.pause(vm.process, queue_.between(1s, 61s));
            vm.disturbed = vm.process.pausedUntil;
        } else if (kind < 0.7 && !stopped_) {
            // Only one VM stops: with fewer, two VMs that are cut off would be a majority, which serves by design (2.5).
            stopped_ = true;
            vm.stopping = true;
            vm.freshness->stop();
            vm.vms->setSelfLeaving();
        } else if (!cutActive_) {
            cut(index);
        }
    }

    /// Cuts one or two VMs off: from the platform only, or from the platform and all other VMs.
    void cut(std::size_t index)
    {
        cutActive_ = true;
        cutPeersToo_ = queue_.chance(0.6);
        cutVms_ = {index};
        if (queue_.chance(0.4)) {
            cutVms_.insert((index + 1) % kVms);
        }
        queue_.after(queue_.between(1s, 30s), [this] {
            for (const std::size_t vm : cutVms_) {
                vms_[vm].disturbed = std::max(vms_[vm].disturbed, queue_.now());
            }
            cutVms_.clear();
            cutActive_ = false;
        });
    }

    [[nodiscard]] bool linked(std::size_t from, std::size_t to) const
    {
        return !cutPeersToo_ || cutVms_.contains(from) == cutVms_.contains(to);
    }

    [[nodiscard]] bool platformWell() const
    {
        return !platform_.outage && !platform_.slow;
    }

    // VMs ------------------------------------------------------------------------------------------------------------

    void poll(std::size_t index)
    {
        Vm &vm = vms_[index];
        const TimePoint sentAt = queue_.now();
        const bool isCut = cutVms_.contains(index);
        platform_.perform(
            TableRead{kListKey},
            vm.process,
            [this, index, sentAt, isCut](const TableReply &first) {
                platform_.perform(
                    TableRead{kEndpointStateKey},
                    vms_[index].process,
                    [this, index, sentAt, first](const TableReply &second) { onPoll(index, sentAt, first, second); },
                    isCut);
            },
            isCut);
    }

    void onPoll(std::size_t index, TimePoint sentAt, const TableReply &plans, const TableReply &states)
    {
        Vm &vm = vms_[index];
        const auto failed = [](const TableReply &reply) {
            return std::holds_alternative<TableNoReply>(reply) || std::holds_alternative<TableRefused>(reply);
        };
        if (failed(plans) || failed(states)) {
            queue_.after(200ms, vm.process, [this, index] { poll(index); });
            return;
        }
        takePlans(index, plans);
        takeStates(index, states);
        std::vector<PlatformVm> list;
        for (std::size_t i = 0; i < kVms; ++i) {
            list.push_back({.vm = idOf(i), .leaving = false});
        }
        vm.vms->onPlatformList(list, queue_.now());
        vm.freshness->onPlatformContact(sentAt);
        refresh(index);
        const Duration rest = std::max<Duration>(sentAt + kPollPeriod - queue_.now(), 0ms);
        queue_.after(rest, vm.process, [this, index] { poll(index); });
    }

    void takePlans(std::size_t index, const TableReply &reply)
    {
        if (const auto *row = std::get_if<RowFound>(&reply)) {
            const auto decoded = decodeVersionedRow(row->value);
            vms_[index].plans->offer({.number = row->number, .changeId = decoded->changes.back()}, row->value);
        }
    }

    void takeStates(std::size_t index, const TableReply &reply)
    {
        if (const auto *row = std::get_if<RowFound>(&reply)) {
            vms_[index].states->offer(row->number, row->value);
        }
    }

    void refresh(std::size_t index)
    {
        Vm &vm = vms_[index];
        vm.freshness->setPeers(vm.vms->quorumPeers(queue_.now()));
        vm.freshness->setListsKnown(vm.plans->current().has_value());
    }

    [[nodiscard]] static std::uint64_t plansOf(const Vm &vm)
    {
        return vm.plans->current() ? vm.plans->current()->version.number : 0;
    }

    void beat(std::size_t index)
    {
        Vm &vm = vms_[index];
        const VmHeartbeat heartbeat{.vm = idOf(index), .incarnation = vm.process.incarnation, .sequence = ++vm.sequence, .leaving = vm.stopping};
        for (std::size_t peer = 0; peer < kVms; ++peer) {
            if (peer == index || !linked(index, peer)) {
                continue;
            }
            const TimePoint sentAt = queue_.now();
            const TimePoint confirms = vm.heardSent[peer];
            const std::uint64_t plans = plansOf(vm);
            const std::uint64_t states = vm.states->number();
            queue_.after(queue_.between(1ms, 20ms), vms_[peer].process, [=, this] {
                if (vms_[peer].vms->onHeartbeat(heartbeat, queue_.now())) {
                    onHeartbeat(peer, index, sentAt, confirms, plans, states);
                }
            });
        }
        queue_.after(kHeartbeatPeriod, vm.process, [this, index] { beat(index); });
    }

    void onHeartbeat(std::size_t index, std::size_t from, TimePoint sentAt, TimePoint confirms, std::uint64_t plans, std::uint64_t states)
    {
        Vm &vm = vms_[index];
        vm.heardSent[from] = std::max(vm.heardSent[from], sentAt);
        refresh(index);
        const bool newer = plansOf(vm) < plans || vm.states->number() < states;
        if (confirms != TimePoint()) {
            vm.freshness->onPeerContact(idOf(from), confirms, newer);
        }
        if (newer) {
            fetch(index, from);
        }
    }

    /// Fetches both rows from a peer that announced a newer version of one.
    void fetch(std::size_t index, std::size_t from)
    {
        if (!linked(index, from)) {
            return;
        }
        queue_.after(queue_.between(1ms, 20ms), vms_[from].process, [this, index, from] {
            const auto plans = vms_[from].plans->current();
            const std::uint64_t number = vms_[from].states->number();
            const std::string states = vms_[from].states->value();
            std::vector<VmId> known = vms_[from].vms->quorumPeers(queue_.now());
            known.push_back(idOf(from));
            queue_.after(queue_.between(1ms, 20ms), vms_[index].process, [this, index, plans, number, states, known] {
                vms_[index].vms->onPeerList(known, queue_.now());
                if (plans) {
                    vms_[index].plans->offer(plans->version, plans->text);
                }
                vms_[index].states->offer(number, states);
                refresh(index);
            });
        });
    }

    /// Work arrives all the time; what is admitted goes to any endpoint that is not draining.
    void admit(std::size_t index)
    {
        Vm &vm = vms_[index];
        const auto refusal = vm.freshness->admission(queue_.now());
        if (!refusal) {
            checkAdmission(index);
            if (!vm.freshness->assignment(queue_.now())) {
                checkAssignments(vm);
            }
        } else if (!vm.stopping && mustAdmit(index)) {
            queue_.fail("R7: " + idOf(index).value() + " refuses work without need: " + refusal->detail);
        }
        queue_.after(queue_.between(20ms, 150ms), vm.process, [this, index] { admit(index); });
    }

    // Operators ------------------------------------------------------------------------------------------------------

    void editList(std::size_t who)
    {
        const std::string change = "list-" + std::to_string(who) + "-" + std::to_string(++changes_);
        platform_.perform(TableRead{kListKey}, console_, [this, who, change](const TableReply &reply) {
            ListBase base;
            if (const auto *row = std::get_if<RowFound>(&reply)) {
                base = {.number = row->number, .row = *decodeVersionedRow(row->value)};
            } else if (!std::holds_alternative<RowAbsent>(reply)) {
                queue_.after(1s, [this, who] { editList(who); });
                return;
            }
            // An operator looks at the text for a while before the change is sent.
            queue_.after(queue_.between(0ms, 3s), [this, who, change, base] {
                const std::string text = nlohmann::json{{"teams", {{{"team", change}, {"plan", "x"}}}}}.dump();
                auto edit = std::make_shared<ListEdit>("plans", base, text, change, faults_.edit);
                followEdit(who, change, edit, edit->start());
            });
        });
    }

    void followEdit(std::size_t who, const std::string &change, const std::shared_ptr<ListEdit> &edit, const ListEditStep &step)
    {
        if (const auto *action = std::get_if<TableAction>(&step)) {
            perform(*action, [this, who, change, edit](const TableReply &reply) { followEdit(who, change, edit, edit->onReply(reply)); });
            return;
        }
        const auto &outcome = std::get<ListEditOutcome>(step);
        if (const auto *accepted = std::get_if<ListAccepted>(&outcome)) {
            const auto found = effective_.find(change);
            if (found == effective_.end()) {
                queue_.fail("R7: change " + change + " was accepted without effect");
            } else if (found->second != accepted->version.number) {
                queue_.fail("R7: change " + change + " was accepted under the wrong number");
            }
            acceptedLists_.push_back({.number = accepted->version.number, .at = queue_.now()});
        } else if (std::holds_alternative<ListConflict>(outcome) || std::get<Error>(outcome).code == ResultCode::PlatformUnavailable) {
            refuse(change);
        }
        queue_.after(queue_.between(1s, 8s), [this, who] { editList(who); });
    }

    void editStates(std::size_t who)
    {
        const std::string change = "state-" + std::to_string(who) + "-" + std::to_string(++changes_);
        const EndpointId endpoint = endpointOf(queue_.random.below(kEndpoints));
        const bool drain = queue_.chance(0.5);
        wanted_[change] = {endpoint, drain};
        auto edit = std::make_shared<EndpointStateEdit>(EndpointStateChange{.endpoints = {endpoint}, .drain = drain}, change, faults_.states);
        followStates(who, change, edit, edit->start());
    }

    void followStates(std::size_t who, const std::string &change, const std::shared_ptr<EndpointStateEdit> &edit, const EndpointStateStep &step)
    {
        if (const auto *action = std::get_if<TableAction>(&step)) {
            perform(*action, [this, who, change, edit](const TableReply &reply) { followStates(who, change, edit, edit->onReply(reply)); });
            return;
        }
        const auto &outcome = std::get<EndpointStateOutcome>(step);
        if (std::holds_alternative<std::uint64_t>(outcome)) {
            if (!effective_.contains(change)) {
                queue_.fail("R5: change " + change + " was accepted without effect");
            }
            const auto &[endpoint, drain] = wanted_[change];
            // Another operator may have restored it since; the row that was read back tells.
            if (drain && statesNow_.contains(endpoint)) {
                drainedAt_.try_emplace(endpoint, queue_.now());
            }
        } else if (std::get<Error>(outcome).code == ResultCode::PlatformUnavailable) {
            refuse(change);
        }
        queue_.after(queue_.between(1s, 10s), [this, who] { editStates(who); });
    }

    /// Operators' requests are lost now and then, those of the VMs only while the platform is not well.
    void perform(const TableAction &action, const std::function<void(const TableReply &)> &done)
    {
        platform_.loss = operatorLoss_;
        platform_.perform(action, console_, [this, done](const TableReply &reply) {
            const bool failed = std::holds_alternative<TableRefused>(reply) || std::holds_alternative<TableNoReply>(reply);
            queue_.after(failed ? 200ms : 0ms, [done, reply] { done(reply); });
        });
        platform_.loss = 0;
    }

    // Checks ---------------------------------------------------------------------------------------------------------

    void refuse(const std::string &change)
    {
        refused_.insert(change);
        if (effective_.contains(change)) {
            queue_.fail("R7: change " + change + " was reported as refused and took effect");
        }
    }

    void onWrite(const std::string &key, std::uint64_t number, const std::string &value)
    {
        const auto row = decodeVersionedRow(value);
        const std::string &change = row->changes.back();
        if (!effective_.emplace(change, number).second) {
            queue_.fail("R7: change " + change + " took effect twice");
        }
        if (refused_.contains(change)) {
            queue_.fail("R7: change " + change + " was reported as refused and took effect");
        }
        auto &last = lastChanges_[key];
        last.push_back(change);
        // Every change is made on top of the one before: none reverts another unseen.
        const std::size_t kept = std::min(last.size(), VersionedRow::kChangesKept);
        if (!std::equal(last.end() - static_cast<std::ptrdiff_t>(kept), last.end(), row->changes.begin(), row->changes.end())) {
            queue_.fail("R7: change " + change + " reverted a change that its writer had not seen");
        }
        if (key == kListKey && !platform_.objects().contains(historyKey("plans", number, change))) {
            queue_.fail("R7: change " + change + " is in force without history");
        }
        if (key == kEndpointStateKey) {
            onStates(change, *row);
        }
    }

    void onStates(const std::string &change, const VersionedRow &row)
    {
        const auto &[endpoint, drain] = wanted_.at(change);
        std::set<EndpointId> expected = statesNow_;
        if (drain) {
            expected.insert(endpoint);
        } else {
            expected.erase(endpoint);
            drainedAt_.erase(endpoint);
        }
        std::set<EndpointId> written;
        const auto states = nlohmann::json::parse(row.text);
        for (const auto &[name, state] : states.items()) {
            written.insert(EndpointId(name));
        }
        if (written != expected) {
            queue_.fail("R5: change " + change + " changed the state of other endpoints");
        }
        statesNow_ = std::move(expected);
    }

    void check()
    {
        for (std::size_t i = 0; i < kVms; ++i) {
            const auto seen = std::pair(vms_[i].process.incarnation, plansOf(vms_[i]));
            const auto seenStates = std::pair(vms_[i].process.incarnation, vms_[i].states->number());
            if (seen < seenPlans_[i] || seenStates < seenStates_[i]) {
                queue_.fail("R7: the version in force at " + idOf(i).value() + " fell");
            }
            seenPlans_[i] = seen;
            seenStates_[i] = seenStates;
        }
        if (!platformWell()) {
            wellSince_ = queue_.now();
        }
    }

    void checkAdmission(std::size_t index)
    {
        const Vm &vm = vms_[index];
        if (vm.stopping) {
            queue_.fail("R6: a VM admits work after its shutdown began");
        }
        for (const AcceptedChange &change : acceptedLists_) {
            // The bound counts from the acceptance, with the platform up since.
            const TimePoint from = std::max(change.at, wellSince_);
            if (queue_.now() - from > kListBound && plansOf(vm) < change.number) {
                queue_.fail("R7: " + idOf(index).value() + " admitted work under version " + std::to_string(plansOf(vm)) + " although "
                            + std::to_string(change.number) + " had been accepted for more than 5 s");
            }
        }
    }

    void checkAssignments(const Vm &vm)
    {
        for (const auto &[endpoint, at] : drainedAt_) {
            if (queue_.now() - std::max(at, wellSince_) > kDrainBound && !vm.states->isDraining(endpoint)) {
                queue_.fail("R5: " + endpoint.value() + " got new work more than 3 s after its drain was accepted");
            }
        }
    }

    /// A VM that was not disturbed for a while must admit work if half of the others were not disturbed either.
    [[nodiscard]] bool mustAdmit(std::size_t index) const
    {
        const auto calm = [this](std::size_t vm) {
            return queue_.now() - vms_[vm].disturbed > kRecovery && !cutVms_.contains(vm) && !vms_[vm].stopping;
        };
        std::size_t others = 0;
        for (std::size_t i = 0; i < kVms; ++i) {
            others += i != index && calm(i) ? 1 : 0;
        }
        return calm(index) && 2 * others >= kVms - 1 && !effective_.empty() && plansOf(vms_[index]) > 0;
    }

    Faults faults_;
    EventQueue queue_;
    PlatformFake platform_;
    Process console_;
    std::array<Vm, kVms> vms_;
    TimePoint wellSince_;
    double operatorLoss_ = 0;
    bool stopped_ = false;
    bool cutActive_ = false;
    bool cutPeersToo_ = false;
    std::set<std::size_t> cutVms_;
    std::uint64_t changes_ = 0;
    std::map<std::string, std::uint64_t> effective_;
    std::set<std::string> refused_;
    std::map<std::string, std::vector<std::string>> lastChanges_;
    std::vector<AcceptedChange> acceptedLists_;
    std::map<std::string, std::pair<EndpointId, bool>> wanted_;
    std::set<EndpointId> statesNow_;
    std::map<EndpointId, TimePoint> drainedAt_;
    std::array<std::pair<std::uint64_t, std::uint64_t>, kVms> seenPlans_{};
    std::array<std::pair<std::uint64_t, std::uint64_t>, kVms> seenStates_{};
};

} // namespace

Property listsProperty()
{
    return {.name = "lists",
            .run = [](std::uint64_t seed, const Faults &faults) { return ListWorld(seed, faults).run(); },
            .mutations = {{"unconditional",
                           [](Faults &faults) {
                               faults.edit.unconditional = true;
                           }},
                          {"lostMeansAccepted",
                           [](Faults &faults) {
                               faults.edit.lostMeansAccepted = true;
                           }},
                          {"lostMeansRefused",
                           [](Faults &faults) {
                               faults.edit.lostMeansRefused = true;
                           }},
                          {"rowBeforeHistory",
                           [](Faults &faults) {
                               faults.edit.rowBeforeHistory = true;
                           }},
                          {"supersededIsLost",
                           [](Faults &faults) {
                               faults.edit.supersededIsLost = true;
                           }},
                          {"wrongNumber",
                           [](Faults &faults) {
                               faults.edit.wrongNumber = true;
                           }},
                          {"stateLostMeansAccepted",
                           [](Faults &faults) {
                               faults.states.lostMeansAccepted = true;
                           }},
                          {"stateRepeatAfterLoss",
                           [](Faults &faults) {
                               faults.states.repeatAfterLoss = true;
                           }},
                          {"acceptLowerList",
                           [](Faults &faults) {
                               faults.keeper.acceptLower = true;
                           }},
                          {"acceptLowerState",
                           [](Faults &faults) {
                               faults.states.acceptLower = true;
                           }},
                          {"overwriteStates",
                           [](Faults &faults) {
                               faults.states.overwrite = true;
                           }},
                          {"neverIsolated",
                           [](Faults &faults) {
                               faults.freshness.neverIsolated = true;
                           }},
                          {"forgetContact",
                           [](Faults &faults) {
                               faults.freshness.forgetContact = true;
                           }},
                          {"countNewerPeers",
                           [](Faults &faults) {
                               faults.freshness.countNewerPeers = true;
                           }},
                          {"ignoreStop",
                           [](Faults &faults) {
                               faults.freshness.ignoreStop = true;
                           }},
                          {"ignorePeerLists",
                           [](Faults &faults) {
                               faults.vms.ignorePeerLists = true;
                           }},
                          {"forgetSilent", [](Faults &faults) {
                               faults.vms.forgetSilent = true;
                           }}}};
}

} // namespace daisystream::schedules
