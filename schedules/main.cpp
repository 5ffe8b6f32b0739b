#include "schedules/properties.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(property, "", "property to check; without it, properties and mutations are listed");
DEFINE_string(seeds, "1..100", "range of seeds, FROM..TO");
DEFINE_string(mutation, "", "break the product in this way; the run succeeds if some seed shows it");

namespace
{

using namespace daisystream::schedules;

constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;

std::vector<Property> allProperties()
{
    std::vector<Property> properties{answersProperty(), ticketsProperty(), keyedOrdersProperty(), listsProperty(), leasesProperty(), restsProperty()};
    for (Property &property : fleetProperties()) {
        properties.push_back(std::move(property));
    }
    for (Property &property : limitProperties()) {
        properties.push_back(std::move(property));
    }
    for (Property &property : partProperties()) {
        properties.push_back(std::move(property));
    }
    for (Property &property : zoneProperties()) {
        properties.push_back(std::move(property));
    }
    return properties;
}

int list()
{
    for (const Property &property : allProperties()) {
        std::printf("%s\n", property.name.c_str());
        for (const Mutation &mutation : property.mutations) {
            std::printf("  --mutation %s\n", mutation.name.c_str());
        }
    }
    return 0;
}

int check(const Property &property, std::uint64_t from, std::uint64_t to)
{
    Faults faults;
    const bool mutated = !FLAGS_mutation.empty();
    bool known = !mutated;
    for (const Mutation &mutation : property.mutations) {
        if (mutation.name == FLAGS_mutation) {
            mutation.apply(faults);
            known = true;
        }
    }
    if (!known) {
        std::fprintf(stderr, "property %s has no mutation %s\n", property.name.c_str(), FLAGS_mutation.c_str());
        return kExitUsage;
    }
    for (std::uint64_t seed = from; seed <= to; ++seed) {
        const auto violation = property.run(seed, faults);
        if (violation && mutated) {
            std::printf("property %s: mutation %s noticed by seed %llu %s\n",
                        property.name.c_str(),
                        FLAGS_mutation.c_str(),
                        static_cast<unsigned long long>(seed),
                        violation->c_str());
            return 0;
        }
        if (violation) {
            const auto number = static_cast<unsigned long long>(seed);
            std::printf("property %s violated by seed %llu %s\n", property.name.c_str(), number, violation->c_str());
            std::printf("replay: schedules --property %s --seeds %llu..%llu\n", property.name.c_str(), number, number);
            return kExitViolation;
        }
    }
    const std::string count = std::to_string(to - from + 1);
    std::printf("property %s: %s seeds, %s\n", property.name.c_str(), count.c_str(), mutated ? "mutation not noticed" : "no violation");
    return mutated ? kExitViolation : 0;
}

} // namespace

int main(int argc, char **argv)
try {
    gflags::SetUsageMessage("schedules --property NAME --seeds FROM..TO [--mutation NAME]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_property.empty()) {
        return list();
    }
    const auto dots = FLAGS_seeds.find("..");
    if (dots == std::string::npos) {
        std::fprintf(stderr, "--seeds must be FROM..TO\n");
        return kExitUsage;
    }
    for (const Property &property : allProperties()) {
        if (property.name == FLAGS_property) {
            return check(property, std::stoull(FLAGS_seeds.substr(0, dots)), std::stoull(FLAGS_seeds.substr(dots + 2)));
        }
    }
    std::fprintf(stderr, "there is no property %s\n", FLAGS_property.c_str());
    return kExitUsage;
} catch (const std::exception &fault) {
    std::fprintf(stderr, "schedules: %s\n", fault.what());
    return kExitUsage;
}
