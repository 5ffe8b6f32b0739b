#include "daemon/frontend/frontendcontext.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <stdexcept>
#include <thread>

namespace daisystream
{

namespace asio = boost::asio;

namespace
{

// Several sealers, so that workers seldom wait for each other's events to be sealed.
constexpr std::size_t kSealerShards = 8;
// A team or VM with little traffic may retry three times before the budget of a tenth of its requests binds.
constexpr RetryBudgetOptions kRetryOptions{.teamAllowance = 3, .vmAllowance = 3};

std::string hex(std::uint64_t value)
{
    std::array<char, 17> text{};
    return {text.data(), std::to_chars(text.data(), text.data() + 16, value, 16).ptr};
}

bool parseKeyBytes(const std::string &digits, SealingKey &key)
{
    if (digits.size() != 2 * key.bytes.size()) {
        return false;
    }
    for (std::size_t i = 0; i < key.bytes.size(); ++i) {
        const char *begin = digits.data() + 2 * i;
        if (std::from_chars(begin, begin + 2, key.bytes[i], 16).ptr != begin + 2) {
            return false;
        }
    }
    return true;
}

} // namespace

std::vector<SealingKey> parseSealingKeys(const std::string &text)
{
    std::vector<SealingKey> keys;
    try {
        const auto document = nlohmann::json::parse(text, nullptr, true, true);
        for (const auto &entry : document.at("keys")) {
            SealingKey key;
            key.number = entry.at("number").get<std::uint32_t>();
            if (parseKeyBytes(entry.at("key").get<std::string>(), key)) {
                keys.push_back(key);
            }
        }
    } catch (const nlohmann::json::exception &) {
        return {};
    }
    return keys;
}

std::chrono::sys_seconds wallClock()
{
    return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
}

class FrontendContext::Sealers
{
public:
    Sealers(ListTable &lists, Random &random)
        : lists_(lists)
    {
        for (auto &shard : shards_) {
            shard.sealer = std::make_unique<ResumeSealer>(std::vector<SealingKey>(), Random(random.bits()));
        }
    }

    template<class Function>
    auto with(Function &&function)
    {
        auto &shard = shards_[std::hash<std::thread::id>()(std::this_thread::get_id()) % kSealerShards];
        // The document is only read once a second: the check must not cost a copy of it for each token.
        const auto now = std::chrono::steady_clock::now();
        bool due = false;
        {
            const std::lock_guard lock(shard.mutex);
            due = now >= shard.nextCheck;
            shard.nextCheck = due ? now + kKeyCheckInterval : shard.nextCheck;
        }
        if (due) {
            refresh(shard);
        }
        const std::lock_guard lock(shard.mutex);
        return function(*shard.sealer);
    }

private:
    struct Shard
    {
        std::mutex mutex;
        std::unique_ptr<ResumeSealer> sealer;
        std::uint64_t version = 0;
        std::chrono::steady_clock::time_point nextCheck{};
    };

    static constexpr auto kKeyCheckInterval = std::chrono::seconds(1);

    void refresh(Shard &shard)
    {
        const auto document = lists_.document(DocumentKind::SealKeys); // Takes a lock of level 1: not under the shard's lock.
        const std::lock_guard lock(shard.mutex);
        if (document.version.number > shard.version) {
            shard.version = document.version.number;
            shard.sealer->setKeys(parseSealingKeys(document.text));
        } else if (document.version.number == 0) {
            shard.nextCheck = {}; // Without a key, look again at the next event.
        }
    }

    ListTable &lists_;
    std::array<Shard, kSealerShards> shards_;
};

FrontendContext::FrontendContext(asio::io_context &io, const FrontendOptions &options, const FrontendParts &parts)
    : io(io)
    , options(options)
    , parts(parts)
    , clients({.bytes = options.memoryBytes, .connections = options.maxConnections}, parts.clock)
    , random_(parts.seed)
    , idPrefix_(hex(random_.bits()))
    , retries_(kRetryOptions)
    , sealers_(std::make_unique<Sealers>(parts.lists, random_))
{
    parts.dispatcher.setCancelHandler([this](const Cancel &cancel) { onCancel(cancel); });
}

FrontendContext::~FrontendContext() = default;

void FrontendContext::countRequest(const TeamId &team)
{
    const std::lock_guard lock(mutex_);
    retries_.onRequest(team, parts.clock.now());
}

bool FrontendContext::takeRetry(const TeamId &team)
{
    const std::lock_guard lock(mutex_);
    return retries_.tryRetry(team, parts.clock.now());
}

FrontendStrand strandOf(const asio::any_io_executor &executor)
{
    const auto *strand = executor.target<FrontendStrand>();
    if (strand == nullptr) {
        throw std::logic_error("a coroutine of the front end runs outside a strand");
    }
    return *strand;
}

RequestId FrontendContext::newRequestId()
{
    const std::lock_guard lock(mutex_);
    return RequestId(idPrefix_ + "-" + std::to_string(++serial_));
}

double FrontendContext::uniform()
{
    const std::lock_guard lock(mutex_);
    return random_.uniform();
}

std::string FrontendContext::sealResume(const ResumePoint &point)
{
    return sealers_->with([&](ResumeSealer &sealer) { return sealer.seal(point); });
}

Result<ResumePoint> FrontendContext::openResume(std::string_view id, const TeamId &team)
{
    return sealers_->with([&](ResumeSealer &sealer) { return sealer.open(id, team, wallClock()); });
}

void FrontendContext::setCancel(const RequestId &request, std::function<void()> cancel)
{
    const std::lock_guard lock(mutex_);
    cancels_[request] = std::move(cancel);
}

void FrontendContext::clearCancel(const RequestId &request)
{
    const std::lock_guard lock(mutex_);
    cancels_.erase(request);
}

void FrontendContext::onCancel(const Cancel &cancel)
{
    std::function<void()> function;
    {
        const std::lock_guard lock(mutex_);
        const auto found = cancels_.find(cancel.request);
        if (found != cancels_.end()) {
            function = found->second;
        }
    }
    if (function) {
        function();
    }
}

void FrontendContext::spawn(std::function<void(asio::yield_context)> function)
{
    auto guard = std::make_shared<RunningGuard>(*this);
    asio::spawn(
        asio::make_strand(io), [guard = std::move(guard), function = std::move(function)](asio::yield_context yield) { function(yield); }, asio::detached);
}

} // namespace daisystream
