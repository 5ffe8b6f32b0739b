#include "daisystream/endpoint/endpointdirectory.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

using std::chrono::milliseconds;

EndpointEntry entry(const std::string &name, std::uint64_t startedAt = 1)
{
    return {.name = name, .service = ServiceId("desk"), .address = "10.0.0.1:80", .startedAt = startedAt};
}

const TimePoint kNow{std::chrono::hours(1)};

TEST_CASE("an entry that is removed while the store is available disappears at once")
{
    EndpointDirectory directory;
    directory.replace({entry("a"), entry("b")}, 5, kNow);
    directory.remove("a", 6, kNow);
    REQUIRE(directory.entries(kNow).size() == 1);
    CHECK(directory.entries(kNow).front().name == "b");
    CHECK_FALSE(directory.nextChange(kNow));
}

TEST_CASE("an entry that expired during an outage of the store is kept until its endpoint could register again")
{
    EndpointDirectory directory;
    directory.replace({entry("a"), entry("b")}, 5, kNow);
    directory.onStoreLost();
    const TimePoint storeReturn = kNow + milliseconds(4000);
    directory.onStoreReturned(storeReturn, true);
    directory.replace({}, 9, storeReturn);
    CHECK(directory.entries(storeReturn + milliseconds(2000)).size() == 2);
    CHECK(directory.registered(storeReturn).empty()); // Other VMs must not regard the kept entries as registered.
    REQUIRE(directory.nextChange(storeReturn));
    directory.put(entry("b"), 10, storeReturn + milliseconds(1000));
    const auto later = *directory.nextChange(storeReturn + milliseconds(1000));
    CHECK(later <= storeReturn + milliseconds(2500));
    REQUIRE(directory.entries(later).size() == 1);
    CHECK(directory.entries(later).front().name == "b");
}

TEST_CASE("an endpoint that was draining before an outage of the store is not kept")
{
    EndpointDirectory directory;
    auto leaving = entry("a");
    leaving.state = EndpointState::Draining;
    directory.replace({leaving}, 5, kNow);
    directory.onStoreLost();
    directory.onStoreReturned(kNow, true);
    directory.replace({}, 6, kNow);
    CHECK(directory.entries(kNow).empty());
}

// Guards against entries that are kept forever because a single lost reply of the store is handled as an outage.
TEST_CASE("a removed entry is not kept after a single lost reply of the store")
{
    EndpointDirectory directory;
    directory.replace({entry("a")}, 5, kNow);
    directory.onStoreLost();
    directory.remove("a", 6, kNow);
    CHECK(directory.entries(kNow).size() == 1);
    directory.onStoreReturned(kNow, false);
    CHECK(directory.entries(kNow).empty());
}

TEST_CASE("an older revision changes nothing")
{
    EndpointDirectory directory;
    directory.replace({entry("a")}, 5, kNow);
    CHECK_FALSE(directory.replace({}, 4, kNow));
    directory.remove("a", 5, kNow);
    auto draining = entry("a");
    draining.state = EndpointState::Draining;
    directory.put(draining, 4, kNow);
    REQUIRE(directory.entries(kNow).size() == 1);
    CHECK((directory.entries(kNow).front().state == EndpointState::InService));
}

TEST_CASE("a restart under the same name is another endpoint")
{
    CHECK(entry("a", 1).id() != entry("a", 2).id());
}

// Three VMs read the store on behalf of all others, so their changes arrive more than once and out of order.
TEST_CASE("changes of another VM are applied once, and only to a directory without a gap before them")
{
    EndpointDirectory directory;
    const TimePoint now(std::chrono::hours(1));
    const auto named = [](const std::string &name) {
        EndpointEntry entry;
        entry.name = name;
        return entry;
    };
    REQUIRE(directory.replace({named("a"), named("b")}, 10, now));
    const EndpointChanges next{
        .after = 10, .upTo = 14, .changes = {{.name = "c", .entry = named("c"), .revision = 12}, {.name = "a", .entry = {}, .revision = 14}}};
    const EndpointChanges later{.after = 14, .upTo = 15, .changes = {{.name = "c", .entry = {}, .revision = 15}}};
    CHECK((directory.apply(later, now) == ChangesResult::Gap));
    CHECK((directory.apply(next, now) == ChangesResult::Applied));
    CHECK(directory.entries(now) == std::vector<EndpointEntry>{named("b"), named("c")});
    CHECK((directory.apply(next, now) == ChangesResult::Known));
    CHECK((directory.apply(later, now) == ChangesResult::Applied));
    CHECK((directory.apply(next, now) == ChangesResult::Known));
    CHECK(directory.entries(now) == std::vector<EndpointEntry>{named("b")});
    // A VM that read the store from an older revision sends changes of which this VM has a part.
    const EndpointChanges overlapping{
        .after = 11, .upTo = 18, .changes = {{.name = "c", .entry = named("c"), .revision = 12}, {.name = "d", .entry = named("d"), .revision = 18}}};
    CHECK((directory.apply(overlapping, now) == ChangesResult::Applied));
    CHECK(directory.entries(now) == std::vector<EndpointEntry>{named("b"), named("d")});
}

EndpointEntry coldEntry(milliseconds left, std::uint64_t revision)
{
    auto cold = entry("a");
    cold.coldDuration = left;
    cold.revision = revision;
    return cold;
}

// An endpoint whose entry is not written again would stay cold, and its share of the work would stay small.
TEST_CASE("the cold time of an endpoint runs from the first arrival of its entry")
{
    EndpointDirectory directory;
    directory.put(coldEntry(milliseconds(3000), 5), 5, kNow);
    CHECK(directory.entries(kNow + milliseconds(1000)).front().coldDuration == milliseconds(2000));
    CHECK(directory.registered(kNow + milliseconds(1000)).front().coldDuration == milliseconds(2000)); // As other VMs are told.
    directory.replace({coldEntry(milliseconds(3000), 5)}, 8, kNow + milliseconds(2000));               // The same entry, read again.
    CHECK(directory.entries(kNow + milliseconds(2500)).front().coldDuration == milliseconds(500));
    CHECK(directory.entries(kNow + milliseconds(3000)).front().coldDuration == milliseconds(0));
}

// The host of an endpoint may drop its caches again and again. Each time the entry states the same duration, so that the second time
// went unnoticed and the endpoint received requests without a limit.
TEST_CASE("an endpoint that is cold again for the same duration is cold for all of it")
{
    EndpointDirectory directory;
    directory.put(coldEntry(milliseconds(3000), 5), 5, kNow);
    directory.put(coldEntry(milliseconds(3000), 9), 9, kNow + milliseconds(10000));
    CHECK(directory.entries(kNow + milliseconds(12000)).front().coldDuration == milliseconds(1000));
}

} // namespace
} // namespace daisystream
