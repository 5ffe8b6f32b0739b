#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// @file
/// What callers and endpoints of a soak saw, as lines of JSON that each process writes to its standard output.
///
/// Example:
/// @code
///   std::cout << encode(Observation(RunStarted{.segment = "engine1-4", .attempt = "a17"})) << std::endl;
/// @endcode

namespace daisystream::soak
{

/// A moment on the steady clock, which all processes of a machine share.
using Moment = std::chrono::milliseconds;

/// @return the present moment.
[[nodiscard]] Moment now();

/// What may happen to a request of a route.
enum class Kind : std::uint8_t {
    Unsafe,          ///< Runs once at most.
    Safe,            ///< May be repeated.
    Stream,          ///< Answers with events, runs once at most.
    ResumableStream, ///< Answers with events; another run may go on behind an event.
};

/// @return whether requests of a kind may run more than once.
[[nodiscard]] bool mayRepeat(Kind kind);

/// One request as its caller saw it. Written when it is over.
struct Exchange
{
    std::string attempt; ///< Unique.
    std::string vm;
    std::string route;
    std::string key;
    Kind kind = Kind::Unsafe;
    Moment sentAt{};                  ///< When its last byte was written.
    Moment endedAt{};                 ///< When its answer was complete, the connection ended, or the caller left.
    Moment limit{};                   ///< How long the route lets it wait.
    unsigned status = 0;              ///< 0: the connection ended before a status.
    bool isComplete = false;          ///< The answer's end was seen.
    std::string run;                  ///< Run whose answer it got.
    std::string fault;                ///< What was wrong with the answer's content, empty if nothing.
    std::optional<Moment> leftAt;     ///< When the caller closed the connection without waiting for the answer.
    bool isFirstOnConnection = false; ///< Else the connection had served a request before.
    bool crashesEngines = false;      ///< Its prompt has a part that crashes engines.

    friend bool operator==(const Exchange &, const Exchange &) = default;
};

/// An endpoint began to work on a request, or went on with the run of another endpoint.
struct RunStarted
{
    std::string segment; ///< Unique: the part of a run that one endpoint does.
    std::string run;     ///< Shared by all segments of a run that moves.
    std::string attempt;
    std::string endpoint;
    std::string service;
    std::string team;
    Moment at{};
    std::uint64_t behindEvent = 0; ///< Events that the caller had before.
    bool continuesMemory = false;  ///< Goes on from a copy of the run's memory.
    bool isIntact = false;         ///< Path and body are what the caller sent.
    bool namesKey = false;         ///< The caller's key was passed on.

    friend bool operator==(const RunStarted &, const RunStarted &) = default;
};

/// How a segment ended.
enum class Ending : std::uint8_t {
    Done,   ///< The whole answer was written.
    Moved,  ///< Stopped so that another endpoint goes on.
    Closed, ///< The connection was closed from the other side.
    Broken, ///< The endpoint itself broke off.
};

struct RunEnded
{
    std::string segment;
    Moment at{};
    Ending how = Ending::Done;

    friend bool operator==(const RunEnded &, const RunEnded &) = default;
};

/// The store took an endpoint's word that it leaves.
struct LeaveAnnounced
{
    std::string endpoint;
    std::string start; ///< Which start of the endpoint; the names of its segments begin with it and a dash.
    Moment at{};

    friend bool operator==(const LeaveAnnounced &, const LeaveAnnounced &) = default;
};

/// A request reached an endpoint that states a limit of requests a second, whether it ran there or not.
struct LimitedArrival
{
    std::string endpoint;
    std::string period; ///< Unique: one span in which one start of the endpoint states a limit, of whatever rate.
    std::string attempt;
    Moment at{};
    double perSecond = 0; ///< The limit at that moment.

    friend bool operator==(const LimitedArrival &, const LimitedArrival &) = default;
};

/// The limit of an endpoint was written in an answer.
struct LimitTold
{
    std::string endpoint;
    std::string period; ///< As in `LimitedArrival`.
    std::string attempt;
    Moment at{};

    friend bool operator==(const LimitTold &, const LimitTold &) = default;
};

/// An engine ends at the beginning of an answer because of its prompt.
struct EngineCrashed
{
    std::string endpoint;
    std::string attempt;
    Moment at{};

    friend bool operator==(const EngineCrashed &, const EngineCrashed &) = default;
};

using Observation = std::variant<Exchange, RunStarted, RunEnded, LeaveAnnounced, LimitedArrival, LimitTold, EngineCrashed>;

/// @return one line without its end.
[[nodiscard]] std::string encode(const Observation &observation);

/// @return nothing if the line is not an observation; a process that is killed may leave half a line.
[[nodiscard]] std::optional<Observation> decode(std::string_view line);

/// Writes a line and its end to the standard output at once, so that it is kept when the process is killed.
void write(const Observation &observation);

} // namespace daisystream::soak
