#include "soak/observation.h"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace daisystream::soak
{
namespace
{

using nlohmann::json;

json toJson(const Exchange &exchange)
{
    return {{"what", "exchange"},
            {"attempt", exchange.attempt},
            {"vm", exchange.vm},
            {"route", exchange.route},
            {"key", exchange.key},
            {"kind", exchange.kind},
            {"sent", exchange.sentAt.count()},
            {"ended", exchange.endedAt.count()},
            {"limit", exchange.limit.count()},
            {"status", exchange.status},
            {"complete", exchange.isComplete},
            {"run", exchange.run},
            {"fault", exchange.fault},
            {"left", exchange.leftAt ? json(exchange.leftAt->count()) : json()},
            {"first", exchange.isFirstOnConnection},
            {"crashes", exchange.crashesEngines}};
}

json toJson(const RunStarted &run)
{
    return {{"what", "run"},
            {"segment", run.segment},
            {"run", run.run},
            {"attempt", run.attempt},
            {"endpoint", run.endpoint},
            {"service", run.service},
            {"team", run.team},
            {"at", run.at.count()},
            {"behind", run.behindEvent},
            {"continues", run.continuesMemory},
            {"intact", run.isIntact},
            {"names_key", run.namesKey}};
}

json toJson(const RunEnded &end)
{
    return {{"what", "end"}, {"segment", end.segment}, {"at", end.at.count()}, {"how", end.how}};
}

json toJson(const LeaveAnnounced &leave)
{
    return {{"what", "leave"}, {"endpoint", leave.endpoint}, {"start", leave.start}, {"at", leave.at.count()}};
}

json toJson(const LimitedArrival &arrival)
{
    return {{"what", "limited_arrival"},
            {"endpoint", arrival.endpoint},
            {"period", arrival.period},
            {"attempt", arrival.attempt},
            {"at", arrival.at.count()},
            {"per_second", arrival.perSecond}};
}

json toJson(const LimitTold &told)
{
    return {{"what", "limit_told"}, {"endpoint", told.endpoint}, {"period", told.period}, {"attempt", told.attempt}, {"at", told.at.count()}};
}

json toJson(const EngineCrashed &crash)
{
    return {{"what", "crash"}, {"endpoint", crash.endpoint}, {"attempt", crash.attempt}, {"at", crash.at.count()}};
}

Moment momentOf(const json &value)
{
    return Moment(value.get<std::int64_t>());
}

Exchange exchangeOf(const json &line)
{
    Exchange exchange;
    line.at("attempt").get_to(exchange.attempt);
    line.at("vm").get_to(exchange.vm);
    line.at("route").get_to(exchange.route);
    line.at("key").get_to(exchange.key);
    line.at("kind").get_to(exchange.kind);
    exchange.sentAt = momentOf(line.at("sent"));
    exchange.endedAt = momentOf(line.at("ended"));
    exchange.limit = momentOf(line.at("limit"));
    line.at("status").get_to(exchange.status);
    line.at("complete").get_to(exchange.isComplete);
    line.at("run").get_to(exchange.run);
    line.at("fault").get_to(exchange.fault);
    if (!line.at("left").is_null()) {
        exchange.leftAt = momentOf(line.at("left"));
    }
    line.at("first").get_to(exchange.isFirstOnConnection);
    line.at("crashes").get_to(exchange.crashesEngines);
    return exchange;
}

RunStarted runOf(const json &line)
{
    RunStarted run;
    line.at("segment").get_to(run.segment);
    line.at("run").get_to(run.run);
    line.at("attempt").get_to(run.attempt);
    line.at("endpoint").get_to(run.endpoint);
    line.at("service").get_to(run.service);
    line.at("team").get_to(run.team);
    run.at = momentOf(line.at("at"));
    line.at("behind").get_to(run.behindEvent);
    line.at("continues").get_to(run.continuesMemory);
    line.at("intact").get_to(run.isIntact);
    line.at("names_key").get_to(run.namesKey);
    return run;
}

} // namespace

Moment now()
{
    return std::chrono::duration_cast<Moment>(std::chrono::steady_clock::now().time_since_epoch());
}

bool mayRepeat(Kind kind)
{
    return kind == Kind::Safe || kind == Kind::ResumableStream;
}

std::string encode(const Observation &observation)
{
    return std::visit([](const auto &seen) { return toJson(seen).dump(-1, ' ', false, json::error_handler_t::replace); }, observation);
}

std::optional<Observation> decode(std::string_view text)
{
    const auto line = json::parse(text, nullptr, false);
    if (!line.is_object()) {
        return std::nullopt;
    }
    try {
        const auto what = line.at("what").get<std::string>();
        if (what == "exchange") {
            return exchangeOf(line);
        }
        if (what == "run") {
            return runOf(line);
        }
        if (what == "end") {
            return RunEnded{line.at("segment").get<std::string>(), momentOf(line.at("at")), line.at("how").get<Ending>()};
        }
        if (what == "leave") {
            return LeaveAnnounced{line.at("endpoint").get<std::string>(), line.at("start").get<std::string>(), momentOf(line.at("at"))};
        }
        if (what == "limited_arrival") {
            return LimitedArrival{.endpoint = line.at("endpoint").get<std::string>(),
                                  .period = line.at("period").get<std::string>(),
                                  .attempt = line.at("attempt").get<std::string>(),
                                  .at = momentOf(line.at("at")),
                                  .perSecond = line.at("per_second").get<double>()};
        }
        if (what == "limit_told") {
            return LimitTold{.endpoint = line.at("endpoint").get<std::string>(),
                             .period = line.at("period").get<std::string>(),
                             .attempt = line.at("attempt").get<std::string>(),
                             .at = momentOf(line.at("at"))};
        }
        if (what == "crash") {
            return EngineCrashed{
                .endpoint = line.at("endpoint").get<std::string>(), .attempt = line.at("attempt").get<std::string>(), .at = momentOf(line.at("at"))};
        }
        return std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

void write(const Observation &observation)
{
    const std::string line = encode(observation) + '\n';
    std::fwrite(line.data(), 1, line.size(), stdout);
    std::fflush(stdout);
}

} // namespace daisystream::soak
