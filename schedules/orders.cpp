#include "schedules/platformfake.h"
#include "schedules/properties.h"

#include <array>
#include <map>
#include <memory>
#include <set>

namespace daisystream::schedules
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t kVms = 3;

/// The plain service: counts how often each order ran, and by which attempt.
class ServiceFake
{
public:
    ServiceFake(EventQueue &queue, double loss)
        : queue_(queue)
        , loss_(loss)
    {
    }

    /// Sends an order; the outcome is what the sending VM can know.
    void send(const std::string &order, const std::string &attempt, Process &sender, const std::function<void(const OrderOutcome &)> &done)
    {
        if (queue_.chance(loss_)) {
            // No connection: no byte was sent.
            queue_.after(5ms, sender, [done] { done(OrderNotRun{}); });
            return;
        }
        const bool requestLost = queue_.chance(loss_);
        const bool replyLost = queue_.chance(loss_);
        const Duration work = queue_.between(1ms, 3s);
        if (!requestLost) {
            queue_.after(work, [this, order, attempt] {
                ++runs[order];
                ++runsOfAttempt[attempt];
            });
        }
        const bool known = !requestLost && !replyLost;
        queue_.after(known ? work + 1ms : 4s, sender, [done, known, order] {
            done(known ? OrderOutcome(OrderDone{.status = 201, .contentType = "text/plain", .body = order}) : OrderOutcome(OrderUnknown{}));
        });
    }

    std::map<std::string, int> runs;
    std::map<std::string, int> runsOfAttempt;

private:
    EventQueue &queue_;
    double loss_;
};

/// VMs that are killed and paused at random times.
class Fleet
{
public:
    explicit Fleet(EventQueue &queue)
        : queue_(queue)
    {
    }

    void disturb(Duration span, std::uint64_t events, const std::function<void(std::size_t)> &onKill)
    {
        for (std::uint64_t i = 0; i < events; ++i) {
            const std::size_t vm = queue_.random.below(kVms);
            if (queue_.chance(0.5)) {
                queue_.after(queue_.between(0ms, span), [this, vm, onKill] {
                    ++processes[vm].incarnation;
                    processes[vm].pausedUntil = {};
                    onKill(vm);
                });
            } else {
                queue_.after(queue_.between(0ms, span), [this, vm] { queue_.pause(processes[vm], queue_.between(1s, 61s)); });
            }
        }
    }

    [[nodiscard]] static VmId idOf(std::size_t vm)
    {
        return VmId("vm" + std::to_string(vm));
    }

    std::array<Process, kVms> processes;

private:
    EventQueue &queue_;
};

void checkRuns(EventQueue &queue, const ServiceFake &service)
{
    for (const auto &[order, count] : service.runs) {
        if (count > 1) {
            queue.fail("R4: order " + order + " ran " + std::to_string(count) + " times");
        }
    }
}

void checkNotRun(EventQueue &queue, const ServiceFake &service, const std::set<std::string> &toldNotRun)
{
    for (const std::string &attempt : toldNotRun) {
        if (service.runsOfAttempt.contains(attempt)) {
            queue.fail("R3: attempt " + attempt + " was reported as not run and ran");
        }
    }
}

// Tickets ------------------------------------------------------------------------------------------------------------

class TicketWorld
{
public:
    TicketWorld(std::uint64_t seed, const Faults &faults)
        : faults_(faults)
        , queue_(seed)
        , service_(queue_, static_cast<double>(queue_.random.below(3)) * 0.15)
        , fleet_(queue_)
        , sealer_({SealingKey{.number = 1, .bytes = {7}}}, Random(seed))
    {
        for (std::size_t vm = 0; vm < kVms; ++vm) {
            restart(vm);
        }
    }

    std::optional<std::string> run()
    {
        // Some seeds last for days, so that tickets expire and are forgotten.
        const Duration span = queue_.chance(0.5) ? Duration(2min) : queue_.chance(0.5) ? Duration(1h) : Duration(30h);
        fleet_.disturb(span, queue_.random.below(5), [this](std::size_t vm) { restart(vm); });
        const std::uint64_t orders = 1 + queue_.random.below(4);
        for (std::uint64_t i = 0; i < orders; ++i) {
            queue_.after(queue_.between(0ms, 10s), [this, i, span] { fetchTicket("order" + std::to_string(i), span); });
        }
        for (Duration at{}; at < span; at += span / 40) {
            queue_.after(at, [this] {
                for (auto &ledger : ledgers_) {
                    ledger->expire(calendar());
                }
            });
        }
        queue_.run(span + 5min, [this] {
            checkRuns(queue_, service_);
            checkNotRun(queue_, service_, toldNotRun_);
        });
        return queue_.violation;
    }

private:
    [[nodiscard]] std::chrono::sys_seconds calendar() const
    {
        return std::chrono::sys_seconds(std::chrono::duration_cast<std::chrono::seconds>(queue_.now().time_since_epoch()));
    }

    void restart(std::size_t vm)
    {
        ledgers_[vm] = std::make_unique<OrderLedger>(Fleet::idOf(vm), fleet_.processes[vm].incarnation, faults_.ledger);
    }

    void fetchTicket(const std::string &order, Duration span)
    {
        const std::string text = sealer_.seal(ledgers_[queue_.random.below(kVms)]->issueTicket(kTeam, kService, calendar()));
        const std::uint64_t repeats = 1 + queue_.random.below(5);
        for (std::uint64_t i = 0; i < repeats; ++i) {
            // Repeats come close together, or much later.
            const Duration delay = queue_.chance(0.6) ? queue_.between(0ms, 10s) : queue_.between(0ms, span);
            queue_.after(delay, [this, order, text, i] { arrive(order, text, order + "/" + std::to_string(i)); });
        }
    }

    /// The entry VM opens the ticket and forwards the order to the issuer, whichever incarnation is there now.
    void arrive(const std::string &order, const std::string &text, const std::string &attempt)
    {
        const auto opened = std::get<OrderTicket>(sealer_.open(text, kTeam, kService));
        std::size_t issuer = 0;
        while (Fleet::idOf(issuer) != opened.vm) {
            ++issuer;
        }
        // With acceptOtherIssuer the ticket goes to any VM: the routing does not protect, the ledger does.
        issuer = queue_.chance(0.2) ? queue_.random.below(kVms) : issuer;
        queue_.after(
            queue_.between(1ms, 50ms), fleet_.processes[issuer], [this, issuer, order, attempt, ticket = opened] { begin(issuer, order, attempt, ticket); });
    }

    void begin(std::size_t vm, const std::string &order, const std::string &attempt, const OrderTicket &ticket)
    {
        const OrderBegin begun = ledgers_[vm]->begin(ticket, "digest", calendar());
        if (std::holds_alternative<OrderRun>(begun)) {
            // A pause can fall between the decision and the dispatch.
            queue_.after(queue_.between(0ms, 20ms), fleet_.processes[vm], [this, vm, order, attempt, serial = ticket.serial] {
                service_.send(order, attempt, fleet_.processes[vm], [this, vm, attempt, serial](const OrderOutcome &outcome) {
                    ledgers_[vm]->finish(serial, outcome, calendar());
                    if (std::holds_alternative<OrderNotRun>(outcome)) {
                        toldNotRun_.insert(attempt);
                    }
                });
            });
        } else if (const auto *error = std::get_if<Error>(&begun); error != nullptr && error->code == ResultCode::TicketExpired) {
            toldNotRun_.insert(attempt);
            if (service_.runs.contains(order)) {
                queue_.fail("R3: ticket of " + order + " was reported as expired unused and had run");
            }
        }
    }

    inline static const TeamId kTeam{"team"};
    inline static const ServiceId kService{"booking"};

    Faults faults_;
    EventQueue queue_;
    ServiceFake service_;
    Fleet fleet_;
    TicketSealer sealer_;
    std::array<std::unique_ptr<OrderLedger>, kVms> ledgers_;
    std::set<std::string> toldNotRun_;
};

// Orders with the caller's key ---------------------------------------------------------------------------------------

class KeyWorld
{
public:
    KeyWorld(std::uint64_t seed, const Faults &faults)
        : faults_(faults)
        , queue_(seed)
        , service_(queue_, static_cast<double>(queue_.random.below(3)) * 0.1)
        , fleet_(queue_)
        , platform_(queue_)
    {
    }

    std::optional<std::string> run()
    {
        constexpr Duration kSpan = 60s;
        platform_.loss = static_cast<double>(queue_.random.below(4)) * 0.1;
        platform_.staleness = queue_.chance(0.5) ? 3s : 0s;
        queue_.after(queue_.between(0ms, kSpan), [this] { platform_.outage = queue_.chance(0.4); });
        queue_.after(queue_.between(0ms, kSpan), [this] { platform_.slow = queue_.chance(0.4); });
        // Afterwards the platform is well, so that outcomes and clean-ups reach the table.
        queue_.after(kSpan, [this] {
            platform_.outage = false;
            platform_.slow = false;
            platform_.loss = 0;
            platform_.staleness = {};
        });
        fleet_.disturb(kSpan, queue_.random.below(4), [](std::size_t) {});
        const std::uint64_t orders = 1 + queue_.random.below(3);
        for (std::uint64_t i = 0; i < orders; ++i) {
            const std::uint64_t repeats = 1 + queue_.random.below(5);
            const Duration spread = queue_.chance(0.5) ? 500ms : 50s;
            for (std::uint64_t j = 0; j < repeats; ++j) {
                queue_.after(queue_.between(0ms, spread), [this, i] { arrive("order" + std::to_string(i)); });
            }
        }
        const auto check = [this] {
            checkRuns(queue_, service_);
            checkNotRun(queue_, service_, toldNotRun_);
        };
        queue_.run(kSpan + 150s, check);
        checkRows();
        return queue_.violation;
    }

private:
    struct Attempt
    {
        std::size_t vm = 0;
        std::uint64_t incarnation = 0;
        std::string order;
        std::string id;
        std::unique_ptr<OrderRecord> record;
        bool finished = false; // Nothing of it remains to be done.
    };

    void arrive(const std::string &order)
    {
        const std::size_t vm = queue_.random.below(kVms);
        Process &process = fleet_.processes[vm];
        const std::uint64_t incarnation = process.incarnation;
        const std::string id = Fleet::idOf(vm).value() + "/" + std::to_string(incarnation) + "/" + std::to_string(attempts_.size());
        auto attempt = std::make_shared<Attempt>();
        *attempt = {.vm = vm, .incarnation = incarnation, .order = order, .id = id, .record = {}, .finished = false};
        attempt->record = std::make_unique<OrderRecord>(OrderKey{TeamId("t"), ServiceId("s"), order},
                                                        OrderAttempt{.id = id, .vm = Fleet::idOf(vm), .incarnation = incarnation, .digest = "d"},
                                                        faults_.record);
        attempts_[id] = attempt;
        queue_.after(0ms, process, [this, attempt] { follow(attempt, attempt->record->start()); });
    }

    void follow(const std::shared_ptr<Attempt> &attempt, const OrderStep &step)
    {
        Process &process = fleet_.processes[attempt->vm];
        if (const auto *action = std::get_if<TableAction>(&step)) {
            platform_.perform(*action, process, [this, attempt, &process](const TableReply &reply) {
                // Pace the repeats of a state machine whose request failed.
                const bool failed = std::holds_alternative<TableRefused>(reply) || std::holds_alternative<TableNoReply>(reply);
                queue_.after(failed ? 200ms : 0ms, process, [this, attempt, reply] { follow(attempt, attempt->record->onReply(reply)); });
            });
            return;
        }
        const auto *decision = std::get_if<OrderBegin>(&step);
        if (decision == nullptr) {
            attempt->finished = true;
            return;
        }
        if (std::holds_alternative<OrderRun>(*decision)) {
            queue_.after(queue_.between(0ms, 20ms), process, [this, attempt, &process] {
                service_.send(attempt->order, attempt->id, process, [this, attempt](const OrderOutcome &outcome) {
                    if (std::holds_alternative<OrderNotRun>(outcome)) {
                        toldNotRun_.insert(attempt->id);
                    }
                    follow(attempt, attempt->record->finish(outcome));
                });
            });
            return;
        }
        onRefused(attempt, *decision);
    }

    void onRefused(const std::shared_ptr<Attempt> &attempt, const OrderBegin &decision)
    {
        const auto *error = std::get_if<Error>(&decision);
        if (error != nullptr && error->code == ResultCode::PlatformUnavailable) {
            toldNotRun_.insert(attempt->id);
            if (attempt->record->needsCleanUp()) {
                follow(attempt, attempt->record->cleanUp());
                return;
            }
        }
        if (const auto *replay = std::get_if<OrderReplay>(&decision); replay != nullptr && replay->response.body != attempt->order) {
            queue_.fail("R2: the response of another order was replayed for " + attempt->order);
        }
        // A VM may take a paused one for dead and settle its order as unknown.
        const auto &found = attempt->record->found();
        if (std::holds_alternative<OrderInProgress>(decision) && found && queue_.chance(0.3)) {
            const auto holder = std::find_if(attempts_.begin(), attempts_.end(), [&](const auto &other) { return other.first == found->attempt.id; });
            const Process &process = fleet_.processes[holder->second->vm];
            if (process.incarnation != holder->second->incarnation || queue_.now() < process.pausedUntil) {
                follow(attempt, attempt->record->settle(attempt->record->foundNumber(), *found, OrderUnknown{}));
                return;
            }
        }
        attempt->finished = true;
    }

    /// After the platform has been well for a while, the table tells the truth about every order.
    void checkRows()
    {
        for (const std::string &key : platform_.keys()) {
            const auto row = decodeOrderRow(platform_.row(key).value);
            const Attempt &holder = *attempts_.at(row->attempt.id);
            const bool gone = fleet_.processes[holder.vm].incarnation != holder.incarnation;
            if (std::holds_alternative<OrderNotRun>(row->state) && service_.runsOfAttempt.contains(holder.id)) {
                queue_.fail("R3: the table says not run of attempt " + holder.id + ", which ran");
            }
            if (std::holds_alternative<OrderDone>(row->state) && service_.runs[holder.order] != 1) {
                queue_.fail("R3: the table says done of " + holder.order + ", which did not run");
            }
            if (std::holds_alternative<OrderRunning>(row->state) && !gone) {
                queue_.fail("the table says running of attempt " + holder.id + ", which has ended");
            }
        }
    }

    Faults faults_;
    EventQueue queue_;
    ServiceFake service_;
    Fleet fleet_;
    PlatformFake platform_;
    std::map<std::string, std::shared_ptr<Attempt>> attempts_;
    std::set<std::string> toldNotRun_;
};

} // namespace

Property ticketsProperty()
{
    return {.name = "tickets",
            .run = [](std::uint64_t seed, const Faults &faults) { return TicketWorld(seed, faults).run(); },
            .mutations = {{"runAgain",
                           [](Faults &faults) {
                               faults.ledger.runAgain = true;
                           }},
                          {"acceptOtherIssuer",
                           [](Faults &faults) {
                               faults.ledger.acceptOtherIssuer = true;
                           }},
                          {"reuseAfterUnknown",
                           [](Faults &faults) {
                               faults.ledger.reuseAfterUnknown = true;
                           }},
                          {"forgetAtExpiry", [](Faults &faults) {
                               faults.ledger.forgetAtExpiry = true;
                           }}}};
}

Property keyedOrdersProperty()
{
    return {.name = "keyed-orders",
            .run = [](std::uint64_t seed, const Faults &faults) { return KeyWorld(seed, faults).run(); },
            .mutations = {{"lostMeansInserted",
                           [](Faults &faults) {
                               faults.record.lostMeansInserted = true;
                           }},
                          {"ignoreConflict",
                           [](Faults &faults) {
                               faults.record.ignoreConflict = true;
                           }},
                          {"rerunUnfinished",
                           [](Faults &faults) {
                               faults.record.rerunUnfinished = true;
                           }},
                          {"ignoreKey",
                           [](Faults &faults) {
                               faults.record.ignoreKey = true;
                           }},
                          {"unknownMeansDone",
                           [](Faults &faults) {
                               faults.record.unknownMeansDone = true;
                           }},
                          {"unknownMeansNotRun",
                           [](Faults &faults) {
                               faults.record.unknownMeansNotRun = true;
                           }},
                          {"abandonWithoutTrace", [](Faults &faults) {
                               faults.record.abandonWithoutTrace = true;
                           }}}};
}

} // namespace daisystream::schedules
