#include "crowd/clientload.h"
#include "crowd/crowd.h"
#include "crowd/site.h"
#include "scenarios/scratchfolder.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <thread>

DEFINE_string(programs, "build", "build folder with the executables");
DEFINE_string(load, "", "name of the client load");
DEFINE_string(place, "route", "route, unrouted or ready");

namespace
{

using namespace daisystream::crowd;
using daisystream::scenarios::ScratchFolder;
using Clock = std::chrono::steady_clock;

// Memory that clients may make the daemon use beyond what it uses when idle. The smallest VM has 88 MB, of which the program, its
// lists and the traffic between VMs need about 40 MB; the test's body limit is a quarter of the platform's, so that half of the
// rest has to do.
constexpr std::uint64_t kMemoryAllowance = 24'000'000;
// Descriptors that clients may make the daemon use beyond those of the idle daemon: a third of those of the smallest VM.
constexpr unsigned kDescriptorAllowance = 1'024;
// How long clients send at most, and how long their connections stay open afterwards.
constexpr std::chrono::milliseconds kSendTime{8'000};
constexpr std::chrono::milliseconds kHoldTime{1'500};
constexpr std::chrono::milliseconds kTick{20};
// Longer than the time after which any incomplete request is given up.
constexpr std::chrono::milliseconds kAnswerLimit{45'000};

struct Peak
{
    Usage usage;

    void add(const Usage &now)
    {
        usage.memoryBytes = std::max(usage.memoryBytes, now.memoryBytes);
        usage.descriptors = std::max(usage.descriptors, now.descriptors);
    }
};

void runFor(boost::asio::io_context &io, std::chrono::milliseconds time, Site &site, Peak &peak)
{
    for (const auto until = Clock::now() + time; Clock::now() < until;) {
        io.restart();
        io.run_for(kTick);
        peak.add(site.usage());
    }
}

/// Asks until an answer comes, while the clients keep their connections open.
bool asksInVain(boost::asio::io_context &io, Site &site, Peak &peak)
{
    std::atomic<bool> isDone{false};
    std::atomic<bool> isServed{false};
    std::jthread caller([&] {
        for (const auto until = Clock::now() + kAnswerLimit; Clock::now() < until && !isServed && site.isRunning();) {
            isServed = site.ask() == 200;
        }
        isDone = true;
    });
    while (!isDone) {
        runFor(io, kTick, site, peak);
    }
    return !isServed;
}

/// @return whether the daemon kept its bounds.
bool play(const ClientLoad &load, const std::string &scratch)
{
    Site site(FLAGS_programs, scratch);
    site.start();
    const auto idle = site.usage();
    boost::asio::io_context io;
    Crowd crowd(io, load, site.port());
    Peak peak;
    for (const auto until = Clock::now() + kSendTime; Clock::now() < until && !crowd.hasSentAll();) {
        runFor(io, kTick, site, peak);
    }
    runFor(io, kHoldTime, site, peak);
    const bool isUnserved = asksInVain(io, site, peak);
    const bool hasEnded = !site.isRunning();
    const auto sent = crowd.sentBytes();
    const auto closed = crowd.closed();
    crowd.close();
    io.restart();
    io.run_for(kTick);
    const bool isOverMemory = peak.usage.memoryBytes > idle.memoryBytes + kMemoryAllowance;
    const bool isOverDescriptors = peak.usage.descriptors > idle.descriptors + kDescriptorAllowance;
    constexpr std::uint64_t kThousand = 1'000;
    std::cout << load.name << '.' << FLAGS_place << ": " << load.clients << " clients sent " << sent / kThousand << " kB, " << closed << " closed; memory "
              << idle.memoryBytes / kThousand << " kB idle, " << peak.usage.memoryBytes / kThousand << " kB at most" << (isOverMemory ? ", over the bound" : "")
              << "; descriptors " << idle.descriptors << " idle, " << peak.usage.descriptors << " at most" << (isOverDescriptors ? ", over the bound" : "")
              << (hasEnded ? "; the daemon ended" : "") << (isUnserved ? "; a normal request was not served" : "") << std::endl;
    return !isOverMemory && !isOverDescriptors && !hasEnded && !isUnserved;
}

} // namespace

int main(int argc, char **argv)
try {
    gflags::SetUsageMessage("crowd --load NAME --place route|unrouted|ready");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto place = findPlace(FLAGS_place);
    const auto load = place ? findLoad(FLAGS_load, *place) : std::nullopt;
    if (!load) {
        std::fprintf(stderr, "crowd: no such load or place; loads:");
        for (const auto &name : loadNames()) {
            std::fprintf(stderr, " %s", name.c_str());
        }
        std::fprintf(stderr, "\n");
        return 2;
    }
    ScratchFolder scratch("crowd");
    const bool isGood = play(*load, scratch.path());
    if (!isGood) {
        scratch.keep();
    }
    return isGood ? 0 : 1;
} catch (const std::exception &fault) {
    std::fprintf(stderr, "crowd: %s\n", fault.what());
    return 2;
}
