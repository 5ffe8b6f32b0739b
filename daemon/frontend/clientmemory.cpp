#include "daemon/frontend/clientmemory.h"

#include <glog/logging.h>

#include <algorithm>
#include <mutex>
#include <unordered_set>
#include <vector>

namespace daisystream
{

namespace
{

// Part of the budget that only small buffers may use: small requests, their responses and new connections.
constexpr std::uint64_t kReserveDivisor = 8;
// A phase that is younger is no stall: a request of a few packets, a response within the round-trip time of a mobile link.
constexpr std::chrono::milliseconds kReceivingStall{500};
constexpr std::chrono::milliseconds kSendingStall{2'000};
constexpr std::chrono::milliseconds kIdleStall{2'000};
// Most connections that one refused demand closes.
constexpr std::size_t kMaxEvictedTogether = 16;

/// @return how long a phase lasts before its connection may be closed to make room, nothing if it may not.
std::optional<Duration> stallOf(ClientPhase phase)
{
    switch (phase) {
    case ClientPhase::Idle:
        return kIdleStall;
    case ClientPhase::Receiving:
        return kReceivingStall;
    case ClientPhase::Sending:
        return kSendingStall;
    case ClientPhase::Serving:
        break;
    }
    return std::nullopt;
}

} // namespace

class ClientMemory::Private
{
public:
    Private(const ClientMemoryOptions &with, const Clock &source)
        : options(with)
        , clock(source)
        , budget(with.bytes, with.bytes / kReserveDivisor)
    {
    }

    /// A connection that may be closed, with its weight in the choice.
    struct Candidate
    {
        bool isIdle = false;
        double weight = 0;
        std::uint64_t held = 0;
        ClientAccount *account = nullptr;
    };

    /// @return the accounts that may be closed, the one that stalls most first.
    [[nodiscard]] std::vector<Candidate> candidates() const
    {
        std::vector<Candidate> found;
        const auto now = clock.now();
        for (auto *account : accounts) {
            const ClientPhase phase = account->phase_;
            const auto stall = stallOf(phase);
            const auto age = now - account->since_.load();
            if (stall && age >= *stall && !account->isEvicted_) {
                const std::uint64_t held = account->held_;
                const auto seconds = std::chrono::duration<double>(age).count();
                found.push_back({.isIdle = phase == ClientPhase::Idle, .weight = static_cast<double>(held) * seconds, .held = held, .account = account});
            }
        }
        // Idle connections wait for nothing that this VM holds for them, so that they are the last to be closed.
        std::sort(found.begin(), found.end(), [](const Candidate &a, const Candidate &b) { return a.isIdle != b.isIdle ? b.isIdle : a.weight > b.weight; });
        return found;
    }

    void makeRoom(std::uint64_t bytes)
    {
        std::vector<std::function<void()>> closers;
        std::uint64_t freed = 0;
        {
            const std::lock_guard lock(mutex);
            for (const auto &candidate : candidates()) {
                if (closers.size() >= kMaxEvictedTogether || (!closers.empty() && freed >= bytes)) {
                    break;
                }
                candidate.account->isEvicted_ = true;
                closers.push_back(candidate.account->evict_);
                freed += candidate.held;
            }
        }
        if (closers.empty()) {
            return;
        }
        evicted += closers.size();
        LOG(WARNING) << "event=client_evicted connections=" << closers.size() << " bytes=" << freed << " held=" << budget.held() << " limit=" << budget.limit();
        for (const auto &closer : closers) {
            closer();
        }
    }

    const ClientMemoryOptions options;
    const Clock &clock;
    ByteBudget budget;
    std::atomic<std::uint64_t> evicted{0};
    mutable std::mutex mutex; // Guards the accounts.
    std::unordered_set<ClientAccount *> accounts;
};

ClientAccount::ClientAccount(ClientMemory &owner, ByteLease lease, std::function<void()> evict)
    : owner_(owner)
    , lease_(std::move(lease))
    , base_(lease_.bytes())
    , evict_(std::move(evict))
    , held_(base_)
    , since_(owner.d_->clock.now())
{
}

ClientAccount::~ClientAccount()
{
    const std::lock_guard lock(owner_.d_->mutex);
    owner_.d_->accounts.erase(this);
}

bool ClientAccount::charge(std::uint64_t bytes)
{
    const auto total = base_ + bytes;
    if (!lease_.grow(total)) {
        return false;
    }
    lease_.shrink(total);
    held_ = total;
    return true;
}

void ClientAccount::setPhase(ClientPhase phase)
{
    phase_ = phase;
    since_ = now();
}

void ClientAccount::makeRoom(std::uint64_t bytes)
{
    owner_.d_->makeRoom(bytes);
}

TimePoint ClientAccount::now() const
{
    return owner_.d_->clock.now();
}

ClientMemory::ClientMemory(const ClientMemoryOptions &options, const Clock &clock)
    : d_(std::make_unique<Private>(options, clock))
{
}

ClientMemory::~ClientMemory() = default;

std::shared_ptr<ClientAccount> ClientMemory::open(std::uint64_t bytes, std::function<void()> evict)
{
    ByteLease lease(d_->budget);
    if (connections() >= d_->options.connections || !lease.grow(bytes)) {
        d_->makeRoom(bytes * kMaxEvictedTogether);
        return nullptr;
    }
    std::shared_ptr<ClientAccount> account(new ClientAccount(*this, std::move(lease), std::move(evict)));
    const std::lock_guard lock(d_->mutex);
    d_->accounts.insert(account.get());
    return account;
}

ByteBudget &ClientMemory::budget()
{
    return d_->budget;
}

std::size_t ClientMemory::connections() const
{
    const std::lock_guard lock(d_->mutex);
    return d_->accounts.size();
}

std::uint64_t ClientMemory::evicted() const
{
    return d_->evicted;
}

} // namespace daisystream
