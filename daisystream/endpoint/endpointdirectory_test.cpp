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

StoreRevision rev(std::uint64_t number)
{
    return {.epoch = 1, .number = number};
}

/// @return a revision after a restore of the store.
StoreRevision restored(std::uint64_t number)
{
    return {.epoch = 2, .number = number};
}

TEST_CASE("an entry that is removed while the store is available disappears at once")
{
    EndpointDirectory directory;
    directory.replace({entry("a"), entry("b")}, rev(5), kNow);
    directory.remove("a", rev(6), kNow);
    REQUIRE(directory.entries(kNow).size() == 1);
    CHECK(directory.entries(kNow).front().name == "b");
    CHECK_FALSE(directory.nextChange(kNow));
}

TEST_CASE("an entry that expired during an outage of the store is kept until its endpoint could register again")
{
    EndpointDirectory directory;
    directory.replace({entry("a"), entry("b")}, rev(5), kNow);
    directory.onStoreLost();
    const TimePoint storeReturn = kNow + milliseconds(4000);
    directory.onStoreReturned(storeReturn, true);
    directory.replace({}, rev(9), storeReturn);
    CHECK(directory.entries(storeReturn + milliseconds(2000)).size() == 2);
    CHECK(directory.registered(storeReturn).empty()); // Other VMs must not regard the kept entries as registered.
    REQUIRE(directory.nextChange(storeReturn));
    directory.put(entry("b"), rev(10), storeReturn + milliseconds(1000));
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
    directory.replace({leaving}, rev(5), kNow);
    directory.onStoreLost();
    directory.onStoreReturned(kNow, true);
    directory.replace({}, rev(6), kNow);
    CHECK(directory.entries(kNow).empty());
}

// Guards against entries that are kept forever because a single lost reply of the store is handled as an outage.
TEST_CASE("a removed entry is not kept after a single lost reply of the store")
{
    EndpointDirectory directory;
    directory.replace({entry("a")}, rev(5), kNow);
    directory.onStoreLost();
    directory.remove("a", rev(6), kNow);
    CHECK(directory.entries(kNow).size() == 1);
    directory.onStoreReturned(kNow, false);
    CHECK(directory.entries(kNow).empty());
}

TEST_CASE("an older revision changes nothing")
{
    EndpointDirectory directory;
    directory.replace({entry("a")}, rev(5), kNow);
    CHECK_FALSE(directory.replace({}, rev(4), kNow));
    directory.remove("a", rev(5), kNow);
    auto draining = entry("a");
    draining.state = EndpointState::Draining;
    directory.put(draining, rev(4), kNow);
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
    REQUIRE(directory.replace({named("a"), named("b")}, rev(10), now));
    const EndpointChanges next{.after = rev(10),
                               .upTo = rev(14),
                               .changes = {{.name = "c", .entry = named("c"), .revision = rev(12)}, {.name = "a", .entry = {}, .revision = rev(14)}}};
    const EndpointChanges later{.after = rev(14), .upTo = rev(15), .changes = {{.name = "c", .entry = {}, .revision = rev(15)}}};
    CHECK((directory.apply(later, now) == ChangesResult::Gap));
    CHECK((directory.apply(next, now) == ChangesResult::Applied));
    CHECK(directory.entries(now) == std::vector<EndpointEntry>{named("b"), named("c")});
    CHECK((directory.apply(next, now) == ChangesResult::Known));
    CHECK((directory.apply(later, now) == ChangesResult::Applied));
    CHECK((directory.apply(next, now) == ChangesResult::Known));
    CHECK(directory.entries(now) == std::vector<EndpointEntry>{named("b")});
    // A VM that read the store from an older revision sends changes of which this VM has a part.
    const EndpointChanges overlapping{.after = rev(11),
                                      .upTo = rev(18),
                                      .changes
                                      = {{.name = "c", .entry = named("c"), .revision = rev(12)}, {.name = "d", .entry = named("d"), .revision = rev(18)}}};
    CHECK((directory.apply(overlapping, now) == ChangesResult::Applied));
    CHECK(directory.entries(now) == std::vector<EndpointEntry>{named("b"), named("d")});
}

EndpointEntry coldEntry(milliseconds left, std::uint64_t revision)
{
    auto cold = entry("a");
    cold.coldDuration = left;
    cold.revision = rev(revision);
    return cold;
}

// An endpoint whose entry is not written again would stay cold, and its share of the work would stay small.
TEST_CASE("the cold time of an endpoint runs from the first arrival of its entry")
{
    EndpointDirectory directory;
    directory.put(coldEntry(milliseconds(3000), 5), rev(5), kNow);
    CHECK(directory.entries(kNow + milliseconds(1000)).front().coldDuration == milliseconds(2000));
    CHECK(directory.registered(kNow + milliseconds(1000)).front().coldDuration == milliseconds(2000)); // As other VMs are told.
    directory.replace({coldEntry(milliseconds(3000), 5)}, rev(8), kNow + milliseconds(2000));          // The same entry, read again.
    CHECK(directory.entries(kNow + milliseconds(2500)).front().coldDuration == milliseconds(500));
    CHECK(directory.entries(kNow + milliseconds(3000)).front().coldDuration == milliseconds(0));
}

// The host of an endpoint may drop its caches again and again. Each time the entry states the same duration, so that the second time
// went unnoticed and the endpoint received requests without a limit.
TEST_CASE("an endpoint that is cold again for the same duration is cold for all of it")
{
    EndpointDirectory directory;
    directory.put(coldEntry(milliseconds(3000), 5), rev(5), kNow);
    directory.put(coldEntry(milliseconds(3000), 9), rev(9), kNow + milliseconds(10000));
    CHECK(directory.entries(kNow + milliseconds(12000)).front().coldDuration == milliseconds(1000));
}

EndpointEntry written(EndpointEntry entry, const StoreRevision &revision, EndpointState state = EndpointState::InService)
{
    entry.revision = revision;
    entry.state = state;
    return entry;
}

/// @return the names of the entries, each followed by a space, or by "- " if it is not in service.
std::string names(const EndpointDirectory &directory, TimePoint at)
{
    std::string text;
    for (const auto &entry : directory.entries(at)) {
        text += entry.name + (entry.state == EndpointState::InService ? " " : "- ");
    }
    return text;
}

// Property DRAIN: after a restore of the store, what it said under versions that had been in use was dropped, so that endpoints which
// began to drain got requests.
TEST_CASE("what a restored store says counts although its revisions are lower")
{
    EndpointDirectory directory;
    directory.replace({written(entry("a"), rev(3)), written(entry("b"), rev(4))}, rev(90), kNow);
    CHECK(directory.replace({written(entry("a"), restored(3)), written(entry("b"), restored(4))}, restored(41), kNow));
    CHECK(directory.revision() == restored(41));
    directory.put(written(entry("a"), restored(42), EndpointState::Draining), restored(42), kNow);
    CHECK(names(directory, kNow) == "a- b ");
    directory.remove("a", restored(43), kNow);
    CHECK(names(directory, kNow) == "b ");
    CHECK_FALSE(directory.replace({written(entry("a"), rev(3))}, rev(91), kNow)); // A late document of the epoch before.
}

// Guards against an endpoint that loses its work because it started after the backup was made.
TEST_CASE("an endpoint that the restored store lacks is kept until it could register again")
{
    EndpointDirectory directory;
    directory.replace({written(entry("a"), rev(3)), written(entry("new"), rev(80)), written(entry("gone"), rev(81))}, rev(90), kNow);
    directory.replace({written(entry("a"), restored(3))}, restored(41), kNow);
    CHECK(names(directory, kNow + milliseconds(2000)) == "a gone new ");
    directory.put(written(entry("new"), restored(44)), restored(44), kNow + milliseconds(1500));
    CHECK(names(directory, kNow + milliseconds(2300)) == "a new ");
    CHECK(directory.nextChange(kNow) == kNow + milliseconds(2200));
}

// Property DRAIN: an endpoint that had left, or began to, was in the backup as one in service.
TEST_CASE("an endpoint that had left before the restore stays out of service until its entry is written again")
{
    EndpointDirectory directory;
    directory.replace({written(entry("draining"), rev(3)), written(entry("gone"), rev(4)), written(entry("restarted"), rev(5))}, rev(60), kNow);
    directory.put(written(entry("draining"), rev(61), EndpointState::Draining), rev(61), kNow);
    directory.remove("gone", rev(62), kNow);
    directory.put(written(entry("restarted", 2), rev(63)), rev(63), kNow);
    const std::vector<EndpointEntry> backup{
        written(entry("draining"), restored(3)), written(entry("gone"), restored(4)), written(entry("restarted"), restored(5))};
    directory.replace(backup, restored(41), kNow);
    CHECK(names(directory, kNow) == "draining- gone- restarted- ");
    CHECK((directory.registered(kNow).front().state == EndpointState::InService)); // Other VMs decide for themselves.
    directory.replace(backup, restored(43), kNow + milliseconds(500));             // The same rows, read by another VM.
    CHECK(names(directory, kNow + milliseconds(500)) == "draining- gone- restarted- ");
    directory.put(written(entry("restarted", 2), restored(44)), restored(44), kNow + milliseconds(600));
    directory.put(written(entry("gone"), restored(45)), restored(45), kNow + milliseconds(700)); // It had only lost the store.
    CHECK(names(directory, kNow + milliseconds(700)) == "draining- gone restarted ");
    // An endpoint that has ended has no entry any more by then.
    CHECK(names(directory, kNow + milliseconds(9999)) == "draining- gone restarted ");
    CHECK(directory.nextChange(kNow + milliseconds(5000)) == kNow + milliseconds(10'000));
    CHECK(names(directory, kNow + milliseconds(10'000)) == "draining gone restarted ");
}

// Guards against an endpoint that is kept as one which may register again although it had left.
TEST_CASE("an endpoint that had left is not kept when its entry expires in the restored store")
{
    EndpointDirectory directory;
    directory.replace({written(entry("a"), rev(3)), written(entry("b"), rev(4))}, rev(60), kNow);
    directory.remove("a", rev(61), kNow);
    directory.replace({written(entry("a"), restored(3)), written(entry("b"), restored(4))}, restored(41), kNow);
    directory.remove("a", restored(42), kNow + milliseconds(1000));
    CHECK(names(directory, kNow + milliseconds(1000)) == "b ");
}

// Guards against a second restore within seconds, and against an endpoint that is back in service after a lapse and then counts as left.
TEST_CASE("what was known before a restore holds through several of them, and a return ends it")
{
    EndpointDirectory directory;
    directory.replace({written(entry("a"), rev(3)), written(entry("b"), rev(4))}, rev(60), kNow);
    directory.remove("a", rev(61), kNow);
    directory.remove("b", rev(62), kNow);
    directory.put(written(entry("b"), rev(63)), rev(63), kNow);
    const auto backup = [](std::uint64_t epoch) {
        return std::vector<EndpointEntry>{written(entry("a"), {.epoch = epoch, .number = 3}), written(entry("b"), {.epoch = epoch, .number = 4})};
    };
    directory.replace(backup(2), {.epoch = 2, .number = 41}, kNow);
    directory.replace(backup(3), {.epoch = 3, .number = 30}, kNow + milliseconds(4000));
    CHECK(names(directory, kNow + milliseconds(4000)) == "a- b ");
    CHECK(names(directory, kNow + milliseconds(13'000)) == "a- b ");
    CHECK(names(directory, kNow + milliseconds(14'000)) == "a b ");
}

// Guards against changes from another VM that continue another epoch.
TEST_CASE("changes of a restored store need its whole set first")
{
    EndpointDirectory directory;
    directory.replace({written(entry("a"), rev(3))}, rev(90), kNow);
    const EndpointChanges changes{.after = restored(41), .upTo = restored(42), .changes = {{.name = "a", .entry = {}, .revision = restored(42)}}};
    CHECK((directory.apply(changes, kNow) == ChangesResult::Gap));
    directory.replace({written(entry("a"), restored(3))}, restored(41), kNow);
    CHECK((directory.apply(changes, kNow) == ChangesResult::Applied));
    const EndpointChanges late{.after = rev(90), .upTo = rev(95), .changes = {{.name = "b", .entry = entry("b"), .revision = rev(95)}}};
    CHECK((directory.apply(late, kNow) == ChangesResult::Known));
}

} // namespace
} // namespace daisystream
