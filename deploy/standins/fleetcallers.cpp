#include "deploy/standins/fleetcallers.h"

#include "daisystream/base/random.h"
#include "deploy/standins/fleetconfiguration.h"
#include "deploy/standins/fleetcontent.h"
#include "platform/names.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>

namespace daisystream::standins
{

namespace names = platform::names;

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using soak::Exchange;
using soak::Kind;
using soak::Moment;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds kConnectLimit{1000}; // As the platform's callers.
constexpr milliseconds kReconnectPause{50};
// How much longer than the route allows a caller of the soak waits, to see whether the final answer comes in time.
constexpr milliseconds kPatience{3000};
// What callers draw from. The shares make each rare thing happen some hundred times in a soak.
constexpr milliseconds kLongestThought{120};
constexpr milliseconds kLongestReturn{1000};
constexpr unsigned kMostRequestsOfConnection = 20;
constexpr std::size_t kMostFiller = 3000;
constexpr double kLeavingShare = 0.06;
constexpr double kChunkedShare = 0.2;
constexpr double kOtherKeyShare = 0.15;
constexpr double kImpatientShare = 0.1; // Of callers that come back at once after a refusal.

} // namespace

class FleetCallers::Private
{
public:
    Private(asio::io_context &loop, const soak::CallerPlan &with)
        : io(loop)
        , plan(with)
        , random(with.seed)
    {
    }

    void run(asio::yield_context yield)
    {
        while (!isStopping) {
            const auto &target = plan.targets[random.below(plan.targets.size())];
            boost::system::error_code error;
            beast::tcp_stream stream(io);
            stream.expires_after(kConnectLimit);
            stream.async_connect(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), target.port), yield[error]);
            if (error) {
                pause(kReconnectPause, yield);
                continue;
            }
            beast::flat_buffer buffer;
            const auto requests = 1 + random.below(kMostRequestsOfConnection);
            for (std::uint64_t i = 0; i < requests && !isStopping; ++i) {
                if (!exchange(stream, buffer, target.vm, i == 0, yield)) {
                    break;
                }
                pause(milliseconds(random.below(kLongestThought.count())), yield);
            }
        }
        --running;
        if (running == 0 && onDone) {
            onDone();
        }
    }

    /// Sends one request and waits for its answer. @return whether the connection can take another one.
    bool exchange(beast::tcp_stream &stream, beast::flat_buffer &buffer, const std::string &vm, bool isFirst, asio::yield_context yield)
    {
        const auto &route = plan.routes[random.below(plan.routes.size())];
        Exchange seen;
        seen.attempt = plan.name + "-" + std::to_string(++attempts);
        const bool asksForAnswer = route.kind == Kind::Stream || route.kind == Kind::ResumableStream;
        if (plan.deadlyShare > 0 && asksForAnswer && random.uniform() < plan.deadlyShare) {
            seen.crashesEngines = true;
            seen.attempt += '-' + std::string(kDeadlyPart) + std::to_string(random.below(plan.deadlyParts));
        }
        seen.vm = vm;
        seen.route = route.name;
        seen.kind = route.kind;
        seen.limit = route.limit;
        // The first keys are in force all the time.
        constexpr std::size_t kSteadyKeys = 2;
        seen.key = plan.keys[random.uniform() < kOtherKeyShare ? random.below(plan.keys.size()) : random.below(kSteadyKeys)];
        seen.isFirstOnConnection = isFirst;
        auto request = requestFor(route, seen);
        boost::system::error_code error;
        stream.expires_after(route.limit + kPatience);
        http::async_write(stream, request, yield[error]);
        seen.sentAt = soak::now();
        const bool leaves = random.uniform() < kLeavingShare;
        const milliseconds wait = leaves ? milliseconds(random.below(static_cast<std::uint64_t>(route.limit.count() / 8))) : route.limit + kPatience;
        stream.expires_after(wait);
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        while (!error && !parser.is_done()) {
            http::async_read_some(stream, buffer, parser, yield[error]);
        }
        if (error == http::error::end_of_stream && parser.is_header_done() && !parser.need_eof()) {
            error = http::error::partial_message;
        }
        seen.endedAt = soak::now();
        if (error == beast::error::timeout && leaves) {
            seen.leftAt = seen.endedAt;
        }
        seen.status = parser.is_header_done() ? parser.get().result_int() : 0;
        seen.isComplete = parser.is_done();
        seen.fault = faultOf(error);
        if (seen.fault.empty() && parser.is_header_done()) {
            const auto check = checkAnswer(seen.attempt, seen.kind, parser.get(), seen.isComplete);
            seen.run = check.run;
            seen.fault = check.fault;
        }
        if (seen.isComplete && buffer.size() > 0) {
            seen.fault = "bytes follow the answer";
        }
        soak::write(seen);
        if (!seen.isComplete) {
            return false;
        }
        comeBackLater(parser.get(), yield);
        return parser.get().keep_alive();
    }

    /// Waits as a refusal says.
    void comeBackLater(const http::response<http::string_body> &response, asio::yield_context yield)
    {
        const auto text = response[http::field::retry_after];
        double seconds = 0;
        std::from_chars(text.data(), text.data() + text.size(), seconds);
        if (seconds > 0 && random.uniform() >= kImpatientShare) {
            pause(std::min(kLongestReturn, milliseconds(static_cast<std::int64_t>(seconds * 1000))), yield);
        }
    }

    http::request<http::string_body> requestFor(const soak::SoakRoute &route, const Exchange &seen)
    {
        http::request<http::string_body> request(http::verb::post, route.prefix + "item/" + std::to_string(random.below(100)), 11);
        request.set(http::field::host, "soak.example");
        request.set(names::kAttempt, seen.attempt);
        request.set(names::kDeadline, std::to_string(route.limit.count()));
        request.set(names::kKey, seen.key);
        // Only the system may set these.
        request.set(names::kTeam, "forged");
        request.set(names::kMemoryFrom, "127.0.0.1:1/forged");
        if (route.kind == Kind::Stream || route.kind == Kind::ResumableStream) {
            const unsigned events = route.kind == Kind::Stream ? kEventsOfLongAnswer : kEventsOfShortAnswer;
            request.set(names::kModel, "m");
            request.set(names::kTokens, "1000," + std::to_string(kTokensPerEvent * events));
            const std::string part = seen.crashesEngines ? seen.attempt.substr(seen.attempt.rfind('-') + 1) + ":40," : "";
            request.set(names::kPromptParts, "a1:80," + part + "c" + std::to_string(attempts % 10) + ":40,b" + std::to_string(attempts % 50) + ":920");
        }
        request.body() = requestBody(seen.attempt, std::string_view(request.target()), random.below(kMostFiller));
        request.chunked(random.uniform() < kChunkedShare);
        request.prepare_payload();
        return request;
    }

    void pause(milliseconds time, asio::yield_context yield)
    {
        boost::system::error_code ignored;
        asio::steady_timer timer(io, time);
        timer.async_wait(yield[ignored]);
    }

    asio::io_context &io;
    const soak::CallerPlan plan;
    Random random;
    std::uint64_t attempts = 0;
    unsigned running = 0;
    bool isStopping = false;
    std::function<void()> onDone;
};

FleetCallers::FleetCallers(asio::io_context &io, const soak::CallerPlan &plan)
    : d_(std::make_unique<Private>(io, plan))
{
}

FleetCallers::~FleetCallers() = default;

void FleetCallers::start()
{
    for (unsigned i = 0; i < d_->plan.connections; ++i) {
        ++d_->running;
        asio::spawn(
            d_->io, [this](asio::yield_context yield) { d_->run(yield); }, asio::detached);
    }
}

void FleetCallers::stop(std::function<void()> onDone)
{
    d_->isStopping = true;
    d_->onDone = std::move(onDone);
}

} // namespace daisystream::standins
