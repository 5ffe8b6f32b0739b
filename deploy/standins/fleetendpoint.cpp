#include "deploy/standins/fleetendpoint.h"

#include "deploy/standins/fleetcall.h"
#include "deploy/standins/fleetconfiguration.h"
#include "deploy/standins/fleetcontent.h"
#include "platform/names.h"
#include "soak/configuration.h"
#include "soak/observation.h"
#include "standins/http/standinserver.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <map>

namespace daisystream::standins
{

namespace names = platform::names;

namespace asio = boost::asio;
using nlohmann::json;
using soak::Ending;
using std::chrono::milliseconds;
using Stream = boost::beast::tcp_stream;

namespace
{

// How often an endpoint writes its entry; the platform's deployments use some hundred milliseconds.
constexpr milliseconds kHeartbeat{500};
// Statuses of calls that fail after they have run, in turn. All but the first mean "not run" to callers.
constexpr std::array kFailures{"500 Internal Server Error", "503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"};
// The store removes an entry after three intervals of silence.
constexpr milliseconds kEntryLife = 3 * kHeartbeat;
// Longer than a slow store takes, shorter than the life of an entry.
constexpr milliseconds kStoreLimit{1000};
// The bound `drain_ms` of the platform, and how much longer the stand-in stays to see who comes late.
constexpr milliseconds kDrainTime{2000};
constexpr milliseconds kStaysLonger{700};
// Speeds of a small engine and of a plain service: a long answer takes 3.2 s, longer than the time that an engine which leaves
// stays, so that it has to move.
constexpr milliseconds kPrompt{30};
constexpr milliseconds kEventTime{20};
constexpr milliseconds kCallTime{30};
constexpr milliseconds kCopyTime{20};
constexpr milliseconds kStopCheck{2};
// Sizes that the deployments' sheets give for their engines and services.
constexpr unsigned kSlotsOfEngine = 24;
constexpr unsigned kSlotsOfService = 6;
constexpr unsigned kMemoryTokens = 34000;
constexpr unsigned kPromptTokens = 1000;
constexpr unsigned kMisdirected = 421;
// Every so many answers of a plain service one has neither a length nor chunks.
constexpr unsigned kUnframedEvery = 5;

/// An answer that an engine makes.
struct Run
{
    std::string segment;
    std::string name; ///< The same at all engines between which it moves.
    std::string attempt;
    unsigned made = 0;
    unsigned last = 0;
    std::size_t padding = 0;    ///< Bytes that the response of a call has in addition.
    bool isUnframed = false;    ///< The answer has neither a length nor chunks and ends with its connection.
    bool crashesEngine = false; ///< Its prompt has a part that crashes engines.
    bool isCopied = false;      ///< A copy is under way.
    bool mustStop = false;
    bool hasStopped = false;
};

/// How an answer is garbled.
enum class Garbling : std::uint8_t {
    ExtraAnswer, ///< Another answer follows it.
    Status,      ///< Its status is 000.
    Blank,       ///< The name of a field has a blank.
    ControlByte, ///< The name of a field has a control byte.
    Folding,     ///< A line begins with a blank.
};
constexpr std::array kGarblings{Garbling::ExtraAnswer, Garbling::Status, Garbling::Blank, Garbling::ControlByte, Garbling::Folding};

/// @return whether an answer that is garbled so has a malformed header.
bool isMalformed(const std::optional<Garbling> &garbled)
{
    return garbled && garbled != Garbling::ExtraAnswer;
}

/// @param header with a proof.
/// @return the header, malformed as told.
std::string malformed(std::string header, Garbling how)
{
    constexpr std::size_t kStatusAt = 9;
    const auto afterProof = header.find("\r\n", header.find(names::kProof)) + 2;
    switch (how) {
    case Garbling::ExtraAnswer:
        break;
    case Garbling::Status:
        return header.replace(kStatusAt, 3, "000");
    case Garbling::Blank:
        return header.insert(afterProof, "Bad Name: a\r\n");
    case Garbling::ControlByte:
        return header.insert(afterProof, "Bad\x01Name: a\r\n");
    case Garbling::Folding:
        return header.insert(afterProof, " Bad-Name: a\r\n");
    }
    return header;
}

/// @return the number in the query `bytes=` of a target, 0 if there is none.
std::size_t paddingOf(std::string_view target)
{
    constexpr std::string_view kQuery = "?bytes=";
    std::size_t bytes = 0;
    if (const auto at = target.find(kQuery); at != std::string_view::npos) {
        std::from_chars(target.data() + at + kQuery.size(), target.data() + target.size(), bytes);
    }
    return bytes;
}

/// The memory of a run, to go on from.
struct Copy
{
    std::string run;
    std::string attempt;
    unsigned last = 0;
};

} // namespace

class FleetEndpoint::Private
{
public:
    Private(asio::io_context &io, const FleetEndpointOptions &options)
        : options_(options)
        , startedAt_(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , server_(io, options.port, [this](Stream &stream, const StandInRequest &request, asio::yield_context yield) { return handle(stream, request, yield); })
    {
        server_.spawn([this](asio::yield_context yield) { keepRegistered(yield); });
    }

    void leave(std::function<void()> onGone)
    {
        server_.spawn([this, onGone = std::move(onGone)](asio::yield_context yield) {
            isLeaving_ = true;
            while (!registerSelf(yield)) {
                pause(kHeartbeat, yield);
            }
            soak::write(soak::LeaveAnnounced{.endpoint = options_.name, .start = startName(), .at = soak::now()});
            pause(kDrainTime + kStaysLonger, yield);
            isGone_ = true;
            const json row{{"table", names::kEndpointTable}, {"key", options_.name}, {"remove", true}};
            if (postJson(options_.storePort, "/standin/row", row.dump(), kStoreLimit, yield) == 0) {
                std::fprintf(stderr, "%s: the store did not answer; its entry lapses\n", options_.name.c_str());
            }
            onGone();
        });
    }

private:
    static void pause(milliseconds time, asio::yield_context yield)
    {
        boost::system::error_code ignored;
        asio::steady_timer timer(yield.get_executor(), time);
        timer.async_wait(yield[ignored]);
    }

    [[nodiscard]] milliseconds scaled(milliseconds time) const
    {
        return std::chrono::duration_cast<milliseconds>(time * slowFactor_);
    }

    bool registerSelf(asio::yield_context yield)
    {
        const auto port = options_.advertisedPort == 0 ? server_.port() : options_.advertisedPort;
        const json entry{{"service", options_.service},
                         {"address", "127.0.0.1:" + std::to_string(port)},
                         {"zone", options_.zone},
                         {"version", "1"},
                         {"slots", slots()},
                         {"state", isLeaving_ ? "draining" : "ready"},
                         {"cold_remaining_ms", 0},
                         {"sequence", 1},
                         {"born", startedAt_}};
        const json row{{"table", names::kEndpointTable}, {"key", options_.name}, {"text", entry.dump()}, {"lapseMs", kEntryLife.count()}};
        return postJson(options_.storePort, "/standin/row", row.dump(), kStoreLimit, yield) == 200;
    }

    void keepRegistered(asio::yield_context yield)
    {
        while (!isGone_) {
            (void)registerSelf(yield); // The next one comes soon; the store's outages are part of the test.
            pause(kHeartbeat, yield);
        }
    }

    /// @return a name for this start of the endpoint.
    [[nodiscard]] std::string startName() const
    {
        return options_.name + "@" + std::to_string(startedAt_);
    }

    [[nodiscard]] unsigned slots() const
    {
        return options_.isEngine ? kSlotsOfEngine : kSlotsOfService;
    }

    bool handle(Stream &stream, const StandInRequest &request, asio::yield_context yield)
    {
        const std::string target(request.target());
        if (target == "/standin/faults") {
            const auto faults = json::parse(request.body());
            loseEvery_ = faults.value("loseEvery", 0U);
            failEvery_ = faults.value("failEvery", 0U);
            garbleEvery_ = faults.value("garbleEvery", 0U);
            slowFactor_ = faults.value("slowFactor", 1.0);
            return sendJson(stream, request, 200, "{}", yield);
        }
        if (target == "/standin/limit") {
            const auto perSecond = json::parse(request.body()).value("perSecond", 0.0);
            limitPeriods_ += limitPerSecond_ == 0 && perSecond > 0 ? 1 : 0;
            limitPerSecond_ = perSecond;
            return sendJson(stream, request, 200, "{}", yield);
        }
        if (target == "/standin/copy") {
            return takeCopy(stream, request, yield);
        }
        if (target == "/health") {
            return sendJson(stream, request, isLeaving_ ? 503 : 200, "{}", yield);
        }
        if (target == names::kReportCall) {
            return sendJson(stream, request, 200, report().dump(), yield);
        }
        if (target == names::kMoveCall) {
            return move(stream, request, yield);
        }
        if (target.starts_with(names::kDropCall)) {
            copies_.erase(target.substr(std::string(names::kDropCall).size()));
            return sendJson(stream, request, 200, "{}", yield);
        }
        return serve(stream, request, yield);
    }

    [[nodiscard]] json report() const
    {
        json runs = json::array();
        for (const auto &[attempt, run] : runs_) {
            runs.push_back({attempt, memoryOf(*run), run->made, 0});
        }
        json report{{"stage", "both"},
                    {"models", {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}}},
                    {"busy", false},
                    {"sequence", 0},
                    {"queued", 0},
                    {"active", active_},
                    {"kv_used", memoryUsed()},
                    {"kv_total", kMemoryTokens},
                    {"kv_handles", copies_.size()},
                    {"state", isLeaving_ ? "draining" : "ready"},
                    {"next", 0},
                    {"runs", runs}};
        return report;
    }

    static unsigned memoryOf(const Run &run)
    {
        return kPromptTokens + kTokensPerEvent * run.made;
    }

    [[nodiscard]] unsigned memoryUsed() const
    {
        unsigned used = 0;
        for (const auto &[attempt, run] : runs_) {
            used += memoryOf(*run);
        }
        return used;
    }

    [[nodiscard]] std::string loadText() const
    {
        return std::to_string(active_) + ",0," + std::to_string(slots());
    }

    /// @return a name for the span in which this start of the endpoint states a limit.
    [[nodiscard]] std::string limitPeriod() const
    {
        return startName() + "-" + std::to_string(limitPeriods_);
    }

    void noteArrival(const std::string &attempt) const
    {
        if (limitPerSecond_ > 0) {
            soak::write(
                soak::LimitedArrival{.endpoint = options_.name, .period = limitPeriod(), .attempt = attempt, .at = soak::now(), .perSecond = limitPerSecond_});
        }
    }

    void noteTold(const std::string &attempt) const
    {
        soak::write(soak::LimitTold{.endpoint = options_.name, .period = limitPeriod(), .attempt = attempt, .at = soak::now()});
    }

    /// @return the header line that states the limit; empty if there is none, or the VM cannot read the header.
    [[nodiscard]] std::string limitLine(const std::string &attempt, const std::optional<Garbling> &garbled) const
    {
        if (limitPerSecond_ == 0 || isMalformed(garbled)) {
            return "";
        }
        noteTold(attempt);
        return std::string(names::kLimit) + ": " + limitText() + "\r\n";
    }

    [[nodiscard]] std::string limitText() const
    {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%g", limitPerSecond_);
        return text.data();
    }

    /// Refuses a request that was not run.
    bool refuse(Stream &stream, const StandInRequest &request, unsigned status, asio::yield_context yield)
    {
        boost::beast::http::response<boost::beast::http::string_body> response(static_cast<boost::beast::http::status>(status), 11);
        response.set(names::kNotRun, "1");
        response.set(names::kAttempt, request[names::kAttempt]);
        response.set(names::kLoad, loadText());
        if (limitPerSecond_ > 0 && status != kMisdirected) {
            noteTold(std::string(request[names::kAttempt]));
            response.set(names::kLimit, limitText());
        }
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        boost::system::error_code error;
        boost::beast::http::async_write(stream, response, yield[error]);
        return !error;
    }

    bool serve(Stream &stream, const StandInRequest &request, asio::yield_context yield)
    {
        if (const auto meant = request[names::kExpectEndpoint]; !meant.empty() && meant != options_.name) {
            return refuse(stream, request, kMisdirected, yield);
        }
        noteArrival(std::string(request[names::kAttempt]));
        if (active_ >= slots()) {
            return refuse(stream, request, 503, yield);
        }
        std::optional<Copy> from;
        if (const std::string memory(request[names::kMemoryFrom]); !memory.empty()) {
            const auto found = copies_.find(memory.substr(memory.find('/') + 1));
            if (found == copies_.end()) {
                return refuse(stream, request, 503, yield);
            }
            from = found->second;
            copies_.erase(found);
        }
        const std::string attempt(request[names::kAttempt]);
        auto run = std::make_shared<Run>();
        run->segment = startName() + "-" + std::to_string(++segments_);
        run->name = from ? from->run : run->segment;
        run->attempt = attempt;
        const auto lastEvent = request[names::kLastEvent];
        std::from_chars(lastEvent.data(), lastEvent.data() + lastEvent.size(), run->made);
        run->last = std::string_view(request.target()).starts_with("/long/") ? kEventsOfLongAnswer : kEventsOfShortAnswer;
        run->padding = paddingOf(std::string_view(request.target()));
        // A stream without framing that a killed process leaves behind a whole event looks complete, which no check may count.
        run->isUnframed = !options_.isEngine && segments_ % kUnframedEvery == 0;
        run->crashesEngine = options_.isEngine && hasDeadlyPart(std::string_view(request[names::kPromptParts]));
        soak::RunStarted started;
        started.segment = run->segment;
        started.run = run->name;
        started.attempt = attempt;
        started.endpoint = options_.name;
        started.service = options_.service;
        started.team = std::string(request[names::kTeam]);
        started.at = soak::now();
        started.behindEvent = run->made;
        started.continuesMemory = from.has_value();
        started.isIntact = isRequestBody(request.body(), attempt, std::string_view(request.target())) && (!from || from->attempt == attempt);
        started.namesKey = request.count(names::kKey) > 0;
        soak::write(started);
        ++active_;
        ++answers_;
        runs_[attempt] = run;
        const Ending ending = options_.isEngine ? streamAnswer(stream, *run, yield) : answerCall(stream, *run, yield);
        --active_;
        run->hasStopped = true;
        if (const auto entry = runs_.find(attempt); entry != runs_.end() && entry->second == run) {
            runs_.erase(entry);
        }
        soak::write(soak::RunEnded{.segment = run->segment, .at = soak::now(), .how = ending});
        return ending == Ending::Done && !run->isUnframed;
    }

    [[nodiscard]] bool isDue(unsigned every) const
    {
        return every > 0 && answers_ % every == 0;
    }

    /// @return how to garble the present answer; nothing if it stays as it is.
    [[nodiscard]] std::optional<Garbling> garbling()
    {
        return isDue(garbleEvery_) ? std::optional(kGarblings.at(garblings_++ % kGarblings.size())) : std::nullopt;
    }

    Ending answerCall(Stream &stream, const Run &run, asio::yield_context yield)
    {
        pause(scaled(kCallTime), yield);
        if (isDue(loseEvery_)) {
            return Ending::Broken;
        }
        const bool isFailure = isDue(failEvery_);
        const auto garbled = run.isUnframed ? std::nullopt : garbling();
        const std::string body = answerBody(run.name, run.attempt) + std::string(run.padding, ' ');
        std::string text = "HTTP/1.1 " + std::string(isFailure ? kFailures[failures_++ % kFailures.size()] : "200 OK") + "\r\n";
        text += std::string(names::kAttempt) + ": " + run.attempt + "\r\n" + names::kProof + ": " + std::string(kProofValue) + "\r\n" + names::kLoad + ": "
            + loadText() + "\r\n" + limitLine(run.attempt, garbled) + "Content-Type: application/json\r\n";
        text += run.isUnframed ? "Connection: close\r\n\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (garbled) {
            const std::string extra = garbled == Garbling::ExtraAnswer ? "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad" : "";
            writeText(stream, malformed(text, *garbled) + body + extra, yield);
            return Ending::Broken;
        }
        return writeText(stream, text + body, yield) ? Ending::Done : Ending::Closed;
    }

    Ending streamAnswer(Stream &stream, Run &run, asio::yield_context yield)
    {
        pause(scaled(kPrompt), yield);
        std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
        text += run.isUnframed ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n";
        if (run.mustStop) {
            return Ending::Moved;
        }
        const auto garbled = garbling();
        text += std::string(names::kAttempt) + ": " + run.attempt + "\r\n" + names::kProof + ": " + std::string(kProofValue) + "\r\n"
            + limitLine(run.attempt, garbled) + "\r\n";
        if (run.crashesEngine) {
            crash(stream, run, text, yield);
        }
        if (isMalformed(garbled)) {
            writeText(stream, malformed(text, *garbled) + framed(run, eventText(run.name, 1, run.last)), yield);
            return Ending::Broken;
        }
        if (!writeText(stream, text, yield)) {
            return Ending::Closed;
        }
        const bool breaksOff = isDue(loseEvery_);
        while (run.made < run.last) {
            pause(scaled(kEventTime), yield);
            if (run.mustStop) {
                return Ending::Moved;
            }
            const std::string event = eventText(run.name, run.made + 1, run.last);
            if (breaksOff && run.made > run.last / 2) {
                writeText(stream, framed(run, event.substr(0, event.size() / 2)), yield);
                return Ending::Broken;
            }
            ++run.made;
            if (!writeText(stream, framed(run, event), yield)) {
                return Ending::Closed;
            }
        }
        return run.isUnframed || writeText(stream, "0\r\n\r\n", yield) ? Ending::Done : Ending::Closed;
    }

    /// Ends the process, before the answer, after its header or within its first event.
    [[noreturn]] void crash(Stream &stream, const Run &run, const std::string &header, asio::yield_context yield)
    {
        const std::string event = framed(run, eventText(run.name, 1, run.last));
        const std::array<std::string, 3> written{"", header, header + event.substr(0, event.size() / 2)};
        writeText(stream, written.at(segments_ % written.size()), yield);
        soak::write(soak::EngineCrashed{.endpoint = options_.name, .attempt = run.attempt, .at = soak::now()});
        std::_Exit(soak::kCrashExitCode);
    }

    static std::string framed(const Run &run, const std::string &text)
    {
        return run.isUnframed ? text : chunk(text);
    }

    static std::string chunk(const std::string &text)
    {
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
        return size.data() + text + "\r\n";
    }

    static bool writeText(Stream &stream, const std::string &text, asio::yield_context yield)
    {
        boost::system::error_code error;
        asio::async_write(stream, asio::buffer(text), yield[error]);
        return !error;
    }

    bool move(Stream &stream, const StandInRequest &request, asio::yield_context yield)
    {
        const auto order = json::parse(request.body());
        const auto found = runs_.find(order.at("id").get<std::string>());
        if (found == runs_.end()) {
            return sendJson(stream, request, 404, "{}", yield);
        }
        const auto run = found->second;
        if (run->isCopied) {
            return sendJson(stream, request, 409, "{}", yield);
        }
        run->isCopied = true;
        const bool isLast = order.value("last", false);
        run->mustStop = run->mustStop || isLast;
        while (isLast && !run->hasStopped) {
            pause(kStopCheck, yield);
        }
        const auto handle = run->segment + "-copy" + std::to_string(++handles_);
        const auto to = order.at("to").get<std::string>();
        const auto port = static_cast<std::uint16_t>(std::stoi(to.substr(to.rfind(':') + 1)));
        const json copy{{"handle", handle}, {"run", run->name}, {"attempt", run->attempt}, {"last", run->last}};
        pause(kCopyTime, yield);
        const unsigned status = postJson(port, "/standin/copy", copy.dump(), kStoreLimit, yield);
        run->isCopied = false;
        if (run->hasStopped && !run->mustStop) {
            return sendJson(stream, request, 404, "{}", yield);
        }
        if (isLast) {
            copies_[handle] = {run->name, run->attempt, run->last};
        }
        const json reply{{"kv_handle", handle}, {"created", run->made}};
        return sendJson(stream, request, status == 200 ? 200 : 503, reply.dump(), yield);
    }

    bool takeCopy(Stream &stream, const StandInRequest &request, asio::yield_context yield)
    {
        if (active_ + copies_.size() >= slots()) {
            return sendJson(stream, request, 503, "{}", yield);
        }
        const auto copy = json::parse(request.body());
        copies_[copy.at("handle").get<std::string>()]
            = {copy.at("run").get<std::string>(), copy.at("attempt").get<std::string>(), copy.at("last").get<unsigned>()};
        return sendJson(stream, request, 200, "{}", yield);
    }

    const FleetEndpointOptions options_;
    const std::int64_t startedAt_;
    std::map<std::string, std::shared_ptr<Run>> runs_; // By attempt.
    std::map<std::string, Copy> copies_;               // By handle.
    unsigned active_ = 0;
    std::uint64_t segments_ = 0;
    std::uint64_t handles_ = 0;
    std::uint64_t answers_ = 0;
    unsigned loseEvery_ = 0;
    unsigned failEvery_ = 0;
    std::size_t failures_ = 0; ///< Calls that failed because of `failEvery_`.
    unsigned garbleEvery_ = 0;
    std::size_t garblings_ = 0; ///< Answers that were garbled because of `garbleEvery_`.
    double slowFactor_ = 1;
    double limitPerSecond_ = 0; ///< Requests a second that it states as its limit; 0: it states none.
    unsigned limitPeriods_ = 0;
    bool isLeaving_ = false;
    bool isGone_ = false;
    StandInServer server_;
};

FleetEndpoint::FleetEndpoint(asio::io_context &io, const FleetEndpointOptions &options)
    : d_(std::make_unique<Private>(io, options))
{
}

FleetEndpoint::~FleetEndpoint() = default;

void FleetEndpoint::leave(std::function<void()> onGone)
{
    d_->leave(std::move(onGone));
}

} // namespace daisystream::standins
