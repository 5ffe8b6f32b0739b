#include "daisystream/routes/configurationorder.h"

#include <doctest/doctest.h>

// The configuration in force after the store was restored from a backup. Texts contain the number, as those of the operator do.

namespace daisystream
{
namespace
{

using Version = std::optional<StoreRevision>;

/// A VM that reads configurations and puts in force what the order allows.
class Vm
{
public:
    /// @return whether the configuration was put in force.
    bool read(std::uint64_t number, const std::string &text, std::uint64_t epoch, bool isWrittenInEpoch)
    {
        const auto version = order_.versionOf({.number = number, .text = text, .epoch = epoch, .isWrittenInEpoch = isWrittenInEpoch});
        if (version && *version > inForce) {
            putInForce(*version, text, epoch);
            return true;
        }
        return false;
    }

    void putInForce(const StoreRevision &version, const std::string &text, std::uint64_t epoch)
    {
        inForce = version;
        this->text = text;
        order_.onInForce(version, text, epoch);
    }

    StoreRevision inForce;
    std::string text;

private:
    ConfigurationOrder order_;
};

constexpr bool kWholeTable = false; // A read that may show what the backup contains.
constexpr bool kChange = true;      // A change that the store reported after such a read.

/// @return a VM that has seen the configurations 10, 11 and 13 in epoch 1.
Vm vmInUse()
{
    Vm vm;
    CHECK(vm.read(10, "10", 1, kWholeTable));
    CHECK(vm.read(11, "11", 1, kChange));
    CHECK(vm.read(13, "13", 1, kChange));
    return vm;
}

TEST_CASE("a configuration is replaced only by one with a higher number while the store is not restored")
{
    auto vm = vmInUse();
    CHECK_FALSE(vm.read(13, "13", 1, kWholeTable));
    CHECK_FALSE(vm.read(13, "13 changed", 1, kChange));
    CHECK_FALSE(vm.read(12, "12", 1, kChange));
    CHECK_FALSE(vm.read(10, "10", 1, kWholeTable));
    CHECK(vm.read(14, "14", 1, kWholeTable));
}

// Property CONFIG: a key that was revoked in a configuration which the backup lacks was admitted again.
TEST_CASE("the older configuration of a backup does not come back into force")
{
    auto vm = vmInUse();
    CHECK_FALSE(vm.read(10, "10", 2, kWholeTable));
    CHECK_FALSE(vm.read(11, "11", 2, kChange)); // Written again on the way to the newest one.
    CHECK_FALSE(vm.read(13, "13", 2, kChange));
    CHECK(vm.text == "13");
    CHECK(vm.read(15, "15", 2, kChange));
}

// Property CONFIG: a configuration that was written again under numbers that had been in use was never in force.
TEST_CASE("a new configuration under a number that was in use is in force after a restore")
{
    for (const bool isChange : {kWholeTable, kChange}) {
        for (const std::uint64_t number : {11, 12, 13}) {
            CAPTURE(isChange);
            CAPTURE(number);
            auto vm = vmInUse();
            if (isChange) {
                CHECK_FALSE(vm.read(10, "10", 2, kWholeTable));
            }
            CHECK(vm.read(number, "new", 2, isChange));
            CHECK(vm.inForce == StoreRevision{.epoch = 2, .number = number});
            CHECK_FALSE(vm.read(number - 1, "newer", 2, kChange)); // The numbers rise again in the new epoch.
            CHECK(vm.read(number + 1, "newer", 2, kChange));
        }
    }
}

// Guards against a VM that started after the backup was made and takes the backup's configuration for a new one.
TEST_CASE("an unknown configuration that may be older than the first one in force here waits until it is written again")
{
    Vm vm;
    CHECK(vm.read(13, "13", 1, kWholeTable));
    CHECK_FALSE(vm.read(10, "10", 2, kWholeTable));
    CHECK(vm.read(11, "new", 2, kChange));
}

// Guards against a VM that starts during the restore and makes the others return to the configuration of the backup.
TEST_CASE("what a VM reads first does not replace what others know to be newer")
{
    Vm started;
    CHECK(started.read(10, "10", 2, kWholeTable));
    CHECK(started.inForce < vmInUse().inForce);
    auto other = vmInUse();
    CHECK(other.read(11, "new", 2, kWholeTable));
    CHECK(started.inForce < other.inForce);
}

// Guards against a VM that ignores the operator because another VM told it that its configuration is of the new epoch.
TEST_CASE("a version from another VM does not hide what is written afterwards")
{
    for (const bool isChange : {kWholeTable, kChange}) {
        auto vm = vmInUse();
        vm.putInForce({.epoch = 2, .number = 13}, "13", 2);
        CHECK(vm.read(14, "14", 2, isChange));
        CHECK(vm.inForce == StoreRevision{.epoch = 2, .number = 14});
    }
}

} // namespace
} // namespace daisystream
