#pragma once

#include "daemon/frontend/clientmemory.h"
#include "daemon/frontend/httpfrontend.h"
#include "daisystream/answer/sealer.h"
#include "daisystream/orders/orderledger.h"
#include "daisystream/retry/retrybudget.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

/// @file
/// What the parts of the front end share.
///
/// Example:
/// @code
///   FrontendContext context(io, options, parts);
///   const RequestId id = context.newRequestId();
/// @endcode

namespace daisystream
{

/// Reads the row `keys/seal`: `{"keys": [{"number": 1, "key": "64 hexadecimal digits"}]}`.
/// @return the keys, none if the text is not such a document.
[[nodiscard]] std::vector<SealingKey> parseSealingKeys(const std::string &text);

/// Shared state of the front end. Thread-safe. Its locks belong to level 7 (connections) and nothing is called while one
/// is held.
class FrontendContext
{
public:
    FrontendContext(boost::asio::io_context &io, const FrontendOptions &options, const FrontendParts &parts);
    ~FrontendContext();

    FrontendContext(const FrontendContext &) = delete;
    FrontendContext &operator=(const FrontendContext &) = delete;

    boost::asio::io_context &io;
    const FrontendOptions options;
    const FrontendParts parts;
    ClientMemory clients; ///< All that callers make this VM hold.

    /// @return an id that no other request of any VM has.
    [[nodiscard]] RequestId newRequestId();

    /// @return a number in [0, 1).
    [[nodiscard]] double uniform();

    /// Counts a new request of a team, which the retry budget grows with.
    void countRequest(const TeamId &team);

    /// @return true if one more attempt for this team stays within the retry budget.
    [[nodiscard]] bool takeRetry(const TeamId &team);

    /// @return the sealed id; empty while no key is known.
    [[nodiscard]] std::string sealResume(const ResumePoint &point);

    /// @return as `ResumeSealer::open`.
    [[nodiscard]] Result<ResumePoint> openResume(std::string_view id, const TeamId &team);

    /// Registers who stops the attempt of a request when the scheduler takes it back.
    void setCancel(const RequestId &request, std::function<void()> cancel);

    /// Undoes `setCancel`.
    void clearCancel(const RequestId &request);

    /// Starts a coroutine that counts as running until it ends.
    void spawn(std::function<void(boost::asio::yield_context)> function);

    /// Requests in progress. Shared, because a guard may outlive the front end when the event loop is torn down.
    const std::shared_ptr<std::atomic<std::size_t>> running = std::make_shared<std::atomic<std::size_t>>(0);

private:
    class Sealers;

    void onCancel(const Cancel &cancel);

    std::mutex mutex_;
    Random random_;
    std::uint64_t serial_ = 0;
    std::string idPrefix_;
    std::unordered_map<RequestId, std::function<void()>> cancels_;
    RetryBudget retries_;
    std::unique_ptr<Sealers> sealers_;
};

/// The kind of strand that every coroutine of the front end runs in.
using FrontendStrand = boost::asio::strand<boost::asio::io_context::executor_type>;

/// @return the strand that an executor of the front end wraps.
[[nodiscard]] FrontendStrand strandOf(const boost::asio::any_io_executor &executor);

/// Counts a request as running while it lives.
class RunningGuard
{
public:
    explicit RunningGuard(const FrontendContext &context)
        : running_(context.running)
    {
        ++*running_;
    }
    ~RunningGuard()
    {
        --*running_;
    }
    RunningGuard(const RunningGuard &) = delete;
    RunningGuard &operator=(const RunningGuard &) = delete;

private:
    std::shared_ptr<std::atomic<std::size_t>> running_;
};

/// @return the wall-clock time; only for expiry times that callers carry between VMs.
[[nodiscard]] std::chrono::sys_seconds wallClock();

} // namespace daisystream
