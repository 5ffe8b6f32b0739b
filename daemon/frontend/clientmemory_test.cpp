#include "daemon/frontend/clientmemory.h"

#include <doctest/doctest.h>

#include <vector>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t kConnection = 20'000;
constexpr std::uint64_t kBudget = 800'000;

class Clients
{
public:
    std::shared_ptr<ClientAccount> open(int number)
    {
        return memory.open(kConnection, [this, number] { evicted.push_back(number); });
    }

    ManualClock clock;
    ClientMemory memory{{.bytes = kBudget, .connections = 10}, clock};
    std::vector<int> evicted;
};

// Guards against bytes that stay counted after a connection has ended.
TEST_CASE("an account returns all that it holds")
{
    Clients clients;
    {
        const auto account = clients.open(1);
        REQUIRE(account);
        CHECK(account->charge(300'000));
        CHECK(clients.memory.budget().held() == kConnection + 300'000);
        CHECK_FALSE(account->charge(kBudget));
        CHECK(account->charge(10));
        CHECK(clients.memory.budget().held() == kConnection + 10);
    }
    CHECK(clients.memory.budget().held() == 0);
    CHECK(clients.memory.connections() == 0);
}

// Guards against room that is made by closing clients that make progress, or one that holds little.
TEST_CASE("the connection that has held most for longest is closed first")
{
    Clients clients;
    const auto served = clients.open(1);
    const auto small = clients.open(2);
    const auto large = clients.open(3);
    const auto idle = clients.open(4);
    CHECK(served->charge(200'000));
    CHECK(large->charge(300'000));
    served->setPhase(ClientPhase::Serving);
    idle->setPhase(ClientPhase::Idle);
    clients.clock.advance(milliseconds(100));
    small->makeRoom(1);
    CHECK(clients.evicted.empty());
    clients.clock.advance(milliseconds(5'000));
    small->makeRoom(1);
    CHECK(clients.evicted == std::vector<int>{3});
    small->makeRoom(1);
    CHECK(clients.evicted == std::vector<int>{3, 2});
    small->makeRoom(1'000'000);
    CHECK(clients.evicted == std::vector<int>{3, 2, 4});
    CHECK(clients.memory.evicted() == 3);
}

// Guards against many stalled clients that shut out all new ones.
TEST_CASE("beyond the limit of connections stalled ones are closed")
{
    Clients clients;
    std::vector<std::shared_ptr<ClientAccount>> accounts;
    for (int i = 0; i < 10; ++i) {
        accounts.push_back(clients.open(i));
        REQUIRE(accounts.back());
    }
    CHECK_FALSE(clients.open(10));
    CHECK(clients.evicted.empty());
    clients.clock.advance(milliseconds(600));
    CHECK_FALSE(clients.open(10));
    REQUIRE(clients.evicted.size() == 10);
    accounts[static_cast<std::size_t>(clients.evicted.front())].reset();
    CHECK(clients.open(10));
}

} // namespace
} // namespace daisystream
