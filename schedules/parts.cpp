#include "schedules/eventqueue.h"
#include "schedules/properties.h"

#include "daisystream/quarantine/partquarantine.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>

namespace daisystream::schedules
{
namespace
{

using namespace std::chrono_literals;

// What deadly parts may cost: crashes, and requests that reach engines later than the learning time after the last of these.
constexpr std::size_t kFreeCrashes = 5;
constexpr std::size_t kFreeRequests = 3;
constexpr Duration kLearning = 3s;
// A disturbed VM is not counted for so long.
constexpr Duration kExcused = 3s;
// Largest share of the sound requests that may be refused, and from how many requests on it is checked.
constexpr double kRefusedSound = 0.02;
// The same where no part crashes engines, and requests beside that.
constexpr double kRefusedWithoutDeadly = 0.002;
constexpr double kRefusedAllowance = 5;
// Largest share of the sound requests that may be refused of those with a part that deadly requests have as well.
constexpr double kRefusedMates = 0.5;
constexpr std::size_t kFewestMates = 20;
constexpr std::size_t kFewestSound = 200;
// Largest part of the requests that need a popular part in any span of this length; half as many must be served.
constexpr double kRefusedPopular = 0.5;
constexpr Duration kPopularSpan = 2s;
constexpr std::size_t kFewestPopular = 20;
// Messages between VMs for each VM and second, so that they keep to 3 KB a second.
constexpr double kMaxMessages = 30;
// How often VMs repeat what is blocked.
constexpr Duration kRepeat = 2s;
// An engine that crashed is back after this time.
constexpr Duration kDownTime = 3s;
// A caller comes back once with the same prompt.
constexpr Duration kReturnTime = 800ms;

constexpr PartId kFirstDeadly = 1'000'000;
constexpr PartId kFirstSubject = 1000;
constexpr std::size_t kPopularParts = 20;
constexpr std::size_t kSubjects = 300;
constexpr double kMateShare = 0.02; // Of the requests that have the first subject, as some deadly ones.
constexpr std::size_t kZones = 3;
// A blocked part is tried again and cleared by then, after five crashes in a row at most.
constexpr Duration kCleared = 15min;

struct WorldSize
{
    std::size_t vms = 4;
    std::size_t engines = 12;
    double rate = 40; ///< Requests a second.
    double deadlyShare = 0.1;
    std::size_t deadlyParts = 1;
    Duration length = 60s;
    bool disturbsVms = true;
    bool crashesEngines = true; ///< Also for other reasons.
    bool turnsDeadly = false;   ///< Requests with the deadly parts are served before.
    bool heals = false;         ///< The deadly parts become sound, and requests with them must be served in the end.
};

/// VMs before engines that crash when they begin an answer on a prompt with a deadly part, and for other reasons, such as all engines
/// of an availability zone at once.
class PartWorld
{
public:
    PartWorld(std::uint64_t seed, const Faults &faults, const WorldSize &size)
        : queue_(seed)
        , size_(size)
        , faults_(faults)
        , fixedCompanions_(queue_.chance(0.5))
    {
        for (std::size_t i = 0; i < size_.vms; ++i) {
            names_.emplace_back("vm" + std::to_string(i));
        }
        for (std::size_t i = 0; i < size_.vms; ++i) {
            vms_.push_back(std::make_unique<VmFake>());
            startVm(i);
        }
        engines_.resize(size_.engines);
        crashesUnder_.resize(size_.deadlyParts);
        lateRequests_.resize(size_.deadlyParts);
    }

    std::optional<std::string> run()
    {
        queue_.after(0ms, [this] { arrive(); });
        queue_.after(1s, [this] { repeatNews(); });
        queue_.after(kDeadlyFrom, [this] { areDeadly_ = true; });
        if (size_.disturbsVms) {
            queue_.after(4s, [this] { disturb(); });
        }
        if (size_.crashesEngines) {
            queue_.after(queue_.between(4s, 9s), [this] { crashOthers(); });
        }
        if (size_.heals) {
            queue_.after(size_.length / 2, [this] { heal(); });
        }
        queue_.run(size_.length, [] {});
        const auto messages = static_cast<double>(messages_) / static_cast<double>(size_.vms) / std::chrono::duration<double>(size_.length).count();
        if (!size_.crashesEngines && messages > kMaxMessages) {
            queue_.fail("each VM got " + std::to_string(messages) + " messages a second");
        }
        const auto sound = static_cast<double>(sound_);
        const double allowed = size_.deadlyShare > 0 ? kRefusedSound * sound : kRefusedAllowance + kRefusedWithoutDeadly * sound;
        if (sound_ >= kFewestSound && static_cast<double>(refusedSound_) > allowed) {
            queue_.fail(std::to_string(refusedSound_) + " of " + std::to_string(sound_) + " sound requests were refused");
        }
        if (mates_ >= kFewestMates && static_cast<double>(refusedMates_) > kRefusedMates * static_cast<double>(mates_)) {
            queue_.fail(std::to_string(refusedMates_) + " of " + std::to_string(mates_) + " sound requests with a part of deadly ones were refused");
        }
        if (size_.heals && !queue_.violation) {
            queue_.run(kCleared, [] {});
            checkCleared();
        }
        return queue_.violation;
    }

private:
    static constexpr Duration kDeadlyFrom = 2s;

    struct VmFake
    {
        Process process;
        std::unique_ptr<PartQuarantine> quarantine;
        std::set<std::size_t> unreachable; ///< VMs that its messages do not reach.
        TimePoint disturbedUntil{};
        std::optional<TimePoint> wakesAt; ///< For the next news.
    };

    struct Request
    {
        std::vector<PartId> parts;
        std::optional<std::size_t> deadly; ///< Index of its deadly part.
        std::size_t vm = 0;
        TimePoint sentAt;
        unsigned attempts = 0;
        bool mayRepeat = false;
        bool mayReturn = false;
    };

    struct Engine
    {
        std::uint64_t incarnation = 1;
        bool isUp = true;
        std::vector<std::shared_ptr<Request>> waiting; ///< Requests that have not begun.
    };

    // VMs and their messages.

    void startVm(std::size_t index)
    {
        PartQuarantineOptions options;
        options.faults = faults_.parts;
        vms_[index]->quarantine = std::make_unique<PartQuarantine>(names_[index], Random(queue_.random.bits()), options);
        vms_[index]->quarantine->setVms(names_);
        tick(index);
    }

    void tick(std::size_t vm)
    {
        vms_[vm]->quarantine->tick(queue_.now());
        queue_.after(kTickInterval, vms_[vm]->process, [this, vm] { tick(vm); });
    }

    void deliver(std::size_t from, std::size_t to, const QuarantineNews &news)
    {
        if (vms_[from]->unreachable.contains(to) || vms_[to]->unreachable.contains(from)) {
            return;
        }
        queue_.after(queue_.between(500us, 4ms), vms_[to]->process, [this, to, news] {
            ++messages_;
            vms_[to]->quarantine->onNews(news, queue_.now());
            publish(to);
        });
    }

    void tellOthers(std::size_t from, const QuarantineNews &news)
    {
        for (std::size_t to = 0; to < vms_.size() && !news.empty(); ++to) {
            if (to != from) {
                deliver(from, to, news);
            }
        }
    }

    /// Tells the other VMs what is due, and plans the next time.
    void publish(std::size_t vm)
    {
        auto &fake = *vms_[vm];
        (void)fake.quarantine->takeChanges();
        tellOthers(vm, fake.quarantine->takeNews(queue_.now()));
        const auto next = fake.quarantine->nextNews();
        if (next && (!fake.wakesAt || *next < *fake.wakesAt)) {
            fake.wakesAt = *next;
            queue_.after(std::max(*next - queue_.now(), Duration::zero()), fake.process, [this, vm] {
                vms_[vm]->wakesAt.reset();
                publish(vm);
            });
        }
    }

    [[nodiscard]] bool isRunning(std::size_t vm) const
    {
        return vms_[vm]->process.alive && queue_.now() >= vms_[vm]->process.pausedUntil;
    }

    void repeatNews()
    {
        for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
            if (isRunning(vm)) {
                tellOthers(vm, vms_[vm]->quarantine->repeatedNews(queue_.now()));
            }
        }
        queue_.after(kRepeat, [this] { repeatNews(); });
    }

    // Requests.

    void arrive()
    {
        const double rate = hasHealed_ ? 4.0 : size_.rate;
        const double gap = -std::log(1 - queue_.random.uniform()) / rate;
        queue_.after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)), [this] { arrive(); });
        auto request = std::make_shared<Request>();
        request->parts = {popularPart(), kFirstSubject + (queue_.chance(kMateShare) ? 0 : queue_.random.below(kSubjects))};
        if ((areDeadly_ || hasHealed_ || size_.turnsDeadly) && queue_.chance(size_.deadlyShare)) {
            request->deadly = queue_.random.below(size_.deadlyParts);
            if (fixedCompanions_) {
                request->parts = {1, kFirstSubject};
            }
            request->parts.push_back(kFirstDeadly + *request->deadly);
        }
        request->mayRepeat = queue_.chance(0.7);
        request->mayReturn = queue_.chance(0.5);
        arriveAt(request, static_cast<std::size_t>(queue_.random.below(vms_.size())));
    }

    /// @return the first part of a prompt, of which one is in half of them.
    [[nodiscard]] PartId popularPart()
    {
        return queue_.chance(0.5) ? 1 : 1 + queue_.random.below(kPopularParts);
    }

    /// Requests with a new part come at the same time, of which no VM has seen one begin.
    void arriveWithNewPart()
    {
        const PartId part = kFirstSubject + kSubjects + ++lastNewPart_;
        for (int i = 0; i < 10; ++i) {
            auto request = std::make_shared<Request>();
            request->parts = {popularPart(), part};
            request->mayRepeat = true;
            arriveAt(request, static_cast<std::size_t>(queue_.random.below(vms_.size())));
        }
        for (int i = 0; i < 10; ++i) {
            queue_.after(queue_.between(200ms, 2s), [this, part] {
                auto request = std::make_shared<Request>();
                request->parts = {popularPart(), part};
                arriveAt(request, static_cast<std::size_t>(queue_.random.below(vms_.size())));
            });
        }
    }

    void arriveAt(const std::shared_ptr<Request> &request, std::size_t vm)
    {
        if (!isRunning(vm)) {
            return;
        }
        request->vm = vm;
        request->attempts = 0;
        const bool isRefused = std::holds_alternative<PartBlocked>(vms_[vm]->quarantine->admit(request->parts, queue_.now()));
        publish(vm);
        countSound(*request, isRefused);
        if (!isRefused) {
            send(request);
        }
    }

    void countSound(const Request &request, bool isRefused)
    {
        if (request.deadly) {
            return;
        }
        ++sound_;
        refusedSound_ += isRefused ? 1 : 0;
        if (areDeadly_ && request.parts[1] == kFirstSubject) {
            ++mates_;
            refusedMates_ += isRefused ? 1 : 0;
        }
        if (request.parts.front() != 1) {
            return;
        }
        if (queue_.now() - popularSince_ > kPopularSpan) {
            popularSince_ = queue_.now();
            popular_ = 0;
            refusedPopular_ = 0;
        }
        ++popular_;
        refusedPopular_ += isRefused ? 1 : 0;
        if (popular_ >= kFewestPopular && static_cast<double>(refusedPopular_) > kRefusedPopular * static_cast<double>(popular_)) {
            queue_.fail(std::to_string(refusedPopular_) + " of " + std::to_string(popular_) + " requests with a popular part were refused");
        }
    }

    void send(const std::shared_ptr<Request> &request)
    {
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            if (engines_[i].isUp) {
                up.push_back(i);
            }
        }
        if (up.empty()) {
            return;
        }
        const auto index = up[queue_.random.below(up.size())];
        auto &engine = engines_[index];
        ++request->attempts;
        request->sentAt = queue_.now();
        engine.waiting.push_back(request);
        if (request->deadly && areDeadly_) {
            countDeadly(*request);
        }
        queue_.after(queue_.between(80ms, 1200ms), [this, index, incarnation = engine.incarnation, request] { begin(index, incarnation, request); });
    }

    void countDeadly(const Request &request)
    {
        const auto &crashes = crashesUnder_[*request.deadly];
        const auto &vm = *vms_[request.vm];
        if (crashes.size() < kFreeCrashes || queue_.now() < crashes[kFreeCrashes - 1] + kLearning || queue_.now() < vm.disturbedUntil
            || queue_.now() < partedUntil_) {
            return;
        }
        if (++lateRequests_[*request.deadly] > kFreeRequests) {
            queue_.fail(std::to_string(lateRequests_[*request.deadly]) + " requests with a deadly part reached engines after the fifth crash");
        }
    }

    /// An engine begins an answer, and may crash of it.
    void begin(std::size_t index, std::uint64_t incarnation, const std::shared_ptr<Request> &request)
    {
        auto &engine = engines_[index];
        if (engine.incarnation != incarnation || !engine.isUp) {
            return;
        }
        if (request->deadly && areDeadly_) {
            crashesUnder_[*request->deadly].push_back(queue_.now());
            crash(index, false);
            return;
        }
        std::erase(engine.waiting, request);
        servedDeadly_ += request->deadly && hasHealed_ ? 1 : 0;
        queue_.after(queue_.between(1ms, 40ms), vms_[request->vm]->process, [this, request, sentAt = request->sentAt] {
            vms_[request->vm]->quarantine->onBegun(request->parts, sentAt, queue_.now());
            publish(request->vm);
        });
    }

    /// @param isSilent whether the VMs notice the crash late.
    void crash(std::size_t index, bool isSilent)
    {
        auto &engine = engines_[index];
        engine.isUp = false;
        const EndpointId id("engine" + std::to_string(index) + "@" + std::to_string(engine.incarnation));
        for (const auto &request : std::exchange(engine.waiting, {})) {
            const auto noticed = isSilent ? queue_.between(1s, 3s) : queue_.between(500us, 3ms);
            queue_.after(noticed, vms_[request->vm]->process, [this, id, request, isSilent] { fail(id, request, queue_.now(), isSilent); });
        }
        queue_.after(kDownTime, [this, index] {
            engines_[index].isUp = true;
            ++engines_[index].incarnation;
        });
    }

    /// A VM notices that a request failed; the probe of the engine shows some time later that it crashed.
    void fail(const EndpointId &engine, const std::shared_ptr<Request> &request, TimePoint failedAt, bool isSilent)
    {
        const auto vm = request->vm;
        queue_.after(isSilent ? 400ms : 2ms, vms_[vm]->process, [this, engine, request, failedAt, sentAt = request->sentAt] {
            vms_[request->vm]->quarantine->onCrash(engine, request->parts, sentAt, failedAt, queue_.now());
            publish(request->vm);
        });
        if (request->mayRepeat && request->attempts < 2 && vms_[vm]->quarantine->mayRepeat(request->parts, engine)) {
            send(request);
        } else if (std::exchange(request->mayReturn, false)) {
            queue_.after(kReturnTime, [this, request] { arriveAt(request, static_cast<std::size_t>(queue_.random.below(vms_.size()))); });
        }
    }

    // What happens to engines and VMs.

    void crashOthers()
    {
        const bool isZone = queue_.chance(0.4);
        const bool isSilent = queue_.chance(0.3);
        if (isZone) {
            arriveWithNewPart();
        }
        queue_.after(isZone ? 60ms : 0ms, [this, isZone, isSilent] {
            const auto zone = queue_.random.below(kZones);
            for (std::size_t i = 0; i < engines_.size(); ++i) {
                const bool isHit = isZone ? i % kZones == zone : queue_.chance(0.1);
                if (isHit && engines_[i].isUp) {
                    crash(i, isSilent);
                }
            }
        });
        if (!hasHealed_) {
            queue_.after(queue_.between(2s, 8s), [this] { crashOthers(); });
        }
    }

    void noteDisturbance(std::size_t vm, Duration length)
    {
        vms_[vm]->disturbedUntil = std::max(vms_[vm]->disturbedUntil, queue_.now() + length + kExcused);
    }

    void disturb()
    {
        const auto vm = static_cast<std::size_t>(queue_.random.below(vms_.size()));
        const auto length = queue_.between(300ms, 4s);
        noteDisturbance(vm, length);
        switch (queue_.random.below(3)) {
        case 0:
            vms_[vm]->process.alive = false;
            ++vms_[vm]->process.incarnation;
            queue_.after(length, [this, vm] {
                vms_[vm]->process.alive = true;
                vms_[vm]->wakesAt.reset();
                startVm(vm);
            });
            break;
        case 1:
            queue_.pause(vms_[vm]->process, length);
            break;
        default: // The others do not reach it.
            for (std::size_t other = 0; other < vms_.size(); ++other) {
                if (other != vm && queue_.chance(0.7)) {
                    vms_[vm]->unreachable.insert(other);
                }
            }
            partedUntil_ = std::max(partedUntil_, queue_.now() + length + kExcused);
            queue_.after(length, [this, vm] { vms_[vm]->unreachable.clear(); });
        }
        if (!hasHealed_) {
            queue_.after(queue_.between(1s, 8s), [this] { disturb(); });
        }
    }

    void heal()
    {
        areDeadly_ = false;
        hasHealed_ = true;
    }

    void checkCleared()
    {
        if (servedDeadly_ == 0) {
            queue_.fail("no request with a part that is no longer deadly was served");
        }
        for (const auto &vm : vms_) {
            if (vm->quarantine->blockedParts() > 0) {
                queue_.fail("a part is blocked for ever");
            }
            if (vm->quarantine->suspectedParts() > 0) {
                queue_.fail("a VM remembers " + std::to_string(vm->quarantine->suspectedParts()) + " parts as suspects");
            }
        }
    }

    EventQueue queue_;
    const WorldSize size_;
    const Faults faults_;
    const bool fixedCompanions_; ///< All requests with a deadly part share their other parts.
    std::vector<VmId> names_;
    std::vector<std::unique_ptr<VmFake>> vms_;
    std::vector<Engine> engines_;
    std::vector<std::vector<TimePoint>> crashesUnder_; ///< By deadly part.
    std::vector<std::size_t> lateRequests_;            ///< By deadly part.
    TimePoint partedUntil_{};                          ///< VMs cannot tell each other what they saw.
    TimePoint popularSince_{};
    bool areDeadly_ = false;
    bool hasHealed_ = false;
    PartId lastNewPart_ = 0;
    std::size_t sound_ = 0;
    std::size_t refusedSound_ = 0;
    std::size_t mates_ = 0;
    std::size_t refusedMates_ = 0;
    std::size_t popular_ = 0;
    std::size_t refusedPopular_ = 0;
    std::size_t servedDeadly_ = 0;
    std::size_t messages_ = 0;
};

Property partsOf(const std::string &name, const WorldSize &size)
{
    return {.name = name, .run = [size](std::uint64_t seed, const Faults &faults) { return PartWorld(seed, faults, size).run(); }, .mutations = {}};
}

} // namespace

std::vector<Property> partProperties()
{
    auto parts = partsOf("parts", {.vms = 4, .engines = 12, .rate = 40, .deadlyParts = 2});
    parts.mutations = {{"ignoresCompanions",
                        [](Faults &faults) {
                            faults.parts.ignoresCompanions = true;
                        }},
                       {"ignoresBegun", [](Faults &faults) {
                            faults.parts.ignoresBegun = true;
                        }}};
    auto many = partsOf("parts30", {.vms = 30, .engines = 50, .rate = 200, .deadlyShare = 0.05});
    many.mutations = {{"ignoresNews",
                       [](Faults &faults) {
                           faults.parts.ignoresNews = true;
                       }},
                      {"everyoneTries",
                       [](Faults &faults) {
                           faults.parts.everyoneTries = true;
                       }},
                      {"tellsNoLatecomers", [](Faults &faults) {
                           faults.parts.tellsNoLatecomers = true;
                       }}};
    auto sound = partsOf("partssound", {.vms = 4, .engines = 12, .rate = 40, .deadlyShare = 0});
    sound.mutations = {{"countsOverlapping", [](Faults &faults) {
                            faults.parts.countsOverlapping = true;
                        }}};
    auto ends = partsOf("partsend", {.vms = 4, .engines = 12, .rate = 20, .length = 40s, .heals = true});
    ends.mutations = {{"neverEnds",
                       [](Faults &faults) {
                           faults.parts.neverEnds = true;
                       }},
                      {"forgetsNothing", [](Faults &faults) {
                           faults.parts.forgetsNothing = true;
                       }}};
    return {parts,
            many,
            sound,
            ends,
            partsOf("partsturn", {.vms = 4, .engines = 24, .rate = 40, .deadlyShare = 0.04, .turnsDeadly = true}),
            partsOf("parts420", {.vms = 420, .engines = 1100, .rate = 1500, .deadlyShare = 0.03, .length = 20s, .crashesEngines = false})};
}

} // namespace daisystream::schedules
