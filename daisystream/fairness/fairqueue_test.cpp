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

// A server that runs a fixed number of answers at a time. Each running answer generates one token per step; the queue does not know
// the lengths, whose mean is 100 tokens.
struct Server
{
    struct Running
    {
        FairQueue::Team team = 0;
        int tokensLeft = 0;
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
            longestWaitSteps[item->team] = std::max(longestWaitSteps[item->team], steps - static_cast<int>(item->userData));
        }
        std::erase_if(running, [&](Running &answer) {
            queue.chargeGenerated(answer.team, 1, now);
            tokens[answer.team] += 1;
            if (--answer.tokensLeft > 0) {
                return false;
            }
            queue.release(answer.team, answer.reserved);
            return true;
        });
        ++steps;
        clock.advance(std::chrono::milliseconds(30));
    }

    // Queues an item with the current step as its user data.
    void pushItem(FairQueue::Team team)
    {
        queue.push(team, next++, static_cast<FairQueue::UserData>(steps));
    }

    void keepBacklogged(FairQueue::Team team)
    {
        while (queue.queued(team) < 5) {
            pushItem(team);
        }
    }

    std::size_t slots;
    FairQueue queue{0.10};
    Random random{5};
    ManualClock clock;
    std::vector<Running> running;
    std::map<FairQueue::Team, double> tokens;
    std::map<FairQueue::Team, int> longestWaitSteps; // Longest wait of an item of the team, in steps.
    FairQueue::Order next = 0;
    int steps = 0;
};

// Guards against serving teams in proportion to the number of their requests instead of their weight.
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
TEST_CASE("a team with few requests is served at once beside a team with a long queue")
{
    Server server(40);
    const auto large = server.queue.team(Rank::Ordinary, TeamId("large"), 1);
    const auto small = server.queue.team(Rank::Ordinary, TeamId("small"), 1);
    for (int i = 0; i < 6000; ++i) {
        server.keepBacklogged(large);
        if (i % 20 == 0) { // 300 answers of 100 tokens use 5 of 40 slots, a quarter of the team's share.
            server.pushItem(small);
        }
        server.step();
    }
    CHECK(server.longestWaitSteps[small] < 60); // Less than the steps of an answer of mean length.
    CHECK(server.tokens[small] == doctest::Approx(30000).epsilon(0.15));
}

// Guards against urgent requests without priority, and against the starvation of ordinary requests by urgent ones.
TEST_CASE("ordinary requests keep their floor during an overload of urgent ones")
{
    Server server(100);
    const auto urgent = server.queue.team(Rank::Urgent, TeamId("guide"), 1);
    const auto ordinary = server.queue.team(Rank::Ordinary, TeamId("office"), 1);
    for (int i = 0; i < 1000; ++i) { // Tokens of ordinary requests while they are alone must not count against them later.
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
