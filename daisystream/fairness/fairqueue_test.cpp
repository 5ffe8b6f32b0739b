#include "daisystream/base/random.h"
#include "daisystream/fairness/fairqueue.h"

#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <map>
#include <vector>

namespace daisystream
{
namespace
{

// A server with a fixed number of slots. Each running answer makes a token a step; lengths are unknown to the queue.
struct Server
{
    struct Running
    {
        FairQueue::Team team = 0;
        int left = 0;
        double reserved = 0;
    };

    explicit Server(std::size_t slotCount)
        : slots(slotCount)
    {
    }

    void step()
    {
        const TimePoint now = clock.now();
        while (running.size() < slots) {
            const auto rank = queue.nextRank(now);
            if (!rank) {
                break;
            }
            const auto item = queue.head(*rank);
            queue.remove(item->team, item->order);
            queue.reserve(item->team, 100);
            running.push_back({item->team, static_cast<int>(1 - 100 * std::log(1 - random.uniform())), 100});
            waited[item->team] = std::max(waited[item->team], steps - static_cast<int>(item->ticket));
        }
        std::erase_if(running, [&](Running &answer) {
            queue.generated(answer.team, 1, now);
            tokens[answer.team] += 1;
            if (--answer.left > 0) {
                return false;
            }
            queue.release(answer.team, answer.reserved);
            return true;
        });
        ++steps;
        clock.advance(std::chrono::milliseconds(30));
    }

    void ask(FairQueue::Team team)
    {
        queue.push(team, next++, static_cast<FairQueue::Ticket>(steps));
    }

    void keepBacklogged(FairQueue::Team team)
    {
        while (queue.queued(team) < 5) {
            ask(team);
        }
    }

    std::size_t slots;
    FairQueue queue{0.10};
    Random random{5};
    ManualClock clock;
    std::vector<Running> running;
    std::map<FairQueue::Team, double> tokens;
    std::map<FairQueue::Team, int> waited; // Steps, at most.
    FairQueue::Order next = 0;
    int steps = 0;
};

// Guards against teams being served by the number of their requests instead of by weight.
TEST_CASE("backlogged teams share generated tokens by weight")
{
    Server server(40);
    const auto one = server.queue.team(Rank::Ordinary, TeamId("one"), 1);
    const auto two = server.queue.team(Rank::Ordinary, TeamId("two"), 2);
    for (int i = 0; i < 6000; ++i) {
        server.keepBacklogged(one);
        server.keepBacklogged(two);
        server.step();
    }
    CHECK(server.tokens[two] / server.tokens[one] == doctest::Approx(2).epsilon(0.05));
}

// Guards against the starvation of a small team by a large one with a long queue.
TEST_CASE("a team that asks for little is served at once beside a large one")
{
    Server server(40);
    const auto large = server.queue.team(Rank::Ordinary, TeamId("large"), 1);
    const auto small = server.queue.team(Rank::Ordinary, TeamId("small"), 1);
    for (int i = 0; i < 6000; ++i) {
        server.keepBacklogged(large);
        if (i % 20 == 0) { // 300 answers of 100 tokens; 5 slots of 40, a quarter of its share.
            server.ask(small);
        }
        server.step();
    }
    CHECK(server.waited[small] < 60); // Less than an answer of mean length.
    CHECK(server.tokens[small] == doctest::Approx(30000).epsilon(0.15));
}

// Guards against urgent work not having priority, and against the starvation of ordinary work by it.
TEST_CASE("ordinary work keeps its floor during an overload of urgent work")
{
    Server server(100);
    const auto urgent = server.queue.team(Rank::Urgent, TeamId("guide"), 1);
    const auto ordinary = server.queue.team(Rank::Ordinary, TeamId("office"), 1);
    for (int i = 0; i < 1000; ++i) { // Ordinary work alone, which must not count against it later.
        server.keepBacklogged(ordinary);
        server.step();
    }
    server.tokens.clear();
    for (int i = 0; i < 6000; ++i) {
        server.keepBacklogged(urgent);
        server.keepBacklogged(ordinary);
        server.step();
    }
    CHECK(server.tokens[ordinary] / (server.tokens[ordinary] + server.tokens[urgent]) == doctest::Approx(0.10).epsilon(0.1));
}

} // namespace
} // namespace daisystream
