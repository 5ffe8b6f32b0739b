#include "cli/explain.h"

#include "cli/exitcodes.h"
#include "daemon/frontend/httprouter.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

namespace daisystream::cli
{
namespace
{

/// @param line a line about a request that failed.
/// @return an explanation for operators, by the reason in the line.
std::string describeFailure(const LogLine &line)
{
    const std::string reason = line.field("reason");
    const std::string vm = line.field("vm");
    if (reason == "Isolated") {
        return "VM " + vm + " could not know that its routes were in force: it had no contact with the platform, directly or through another VM";
    }
    if (reason == "NoLists") {
        return "VM " + vm + " had just started and had no routes yet";
    }
    if (reason == "Stopping") {
        return "VM " + vm + " was shutting down and sent the caller to another one";
    }
    if (reason == "PromiseCannotBeMet" || reason == "QueueDeadlinePassed") {
        return "the engines were overloaded: " + line.field("detail");
    }
    if (reason == "cut_off") {
        return "the answer was cut off: " + line.field("detail");
    }
    return reason + (line.field("detail").empty() ? "" : ": " + line.field("detail"));
}

bool isFailure(const LogLine &line)
{
    const auto decision = line.field("decision");
    return decision == "give_up" || decision == "refuse";
}

} // namespace

std::string LogLine::field(std::string_view name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
}

std::optional<LogLine> parseLogLine(const std::string &text)
{
    LogLine line;
    const auto begin = text.find("time=");
    line.text = begin == std::string::npos ? text : text.substr(begin);
    std::istringstream words(line.text);
    for (std::string word; words >> word;) {
        const auto equals = word.find('=');
        if (equals != std::string::npos && equals > 0) {
            line.fields[word.substr(0, equals)] = percentDecoded(word.substr(equals + 1));
        }
    }
    line.time = line.field("time");
    const bool isEvent = line.fields.contains("decision") || line.fields.contains("event");
    return isEvent ? std::optional(std::move(line)) : std::nullopt;
}

Explanation::Explanation(std::string request)
    : request_(std::move(request))
{
}

void Explanation::add(const std::string &text)
{
    auto line = parseLogLine(text);
    if (!line) {
        return;
    }
    if (line->field("request") == request_) {
        if (const auto work = line->field("work"); !work.empty()) {
            workIds_.push_back(work);
        }
        for (const char *name : {"choice", "from"}) {
            if (const auto endpoint = line->field(name); !endpoint.empty() && endpoint != "none") {
                endpointIds_.push_back(endpoint);
            }
        }
    }
    lines_.push_back(std::move(*line));
}

bool Explanation::isRelevant(const LogLine &line) const
{
    const auto request = line.field("request");
    if (!request.empty()) {
        return request == request_ || std::find(workIds_.begin(), workIds_.end(), request) != workIds_.end();
    }
    const auto endpoint = line.field("endpoint");
    return !endpoint.empty() && std::find(endpointIds_.begin(), endpointIds_.end(), endpoint) != endpointIds_.end();
}

std::vector<LogLine> Explanation::history() const
{
    std::vector<LogLine> found;
    std::copy_if(lines_.begin(), lines_.end(), std::back_inserter(found), [this](const LogLine &line) { return isRelevant(line); });
    std::stable_sort(found.begin(), found.end(), [](const LogLine &one, const LogLine &other) { return one.time < other.time; });
    // Adds what these VMs logged in the same period about the platform, the lists, other VMs and themselves.
    if (found.empty()) {
        return found;
    }
    std::set<std::string> vms;
    std::transform(found.begin(), found.end(), std::inserter(vms, vms.end()), [](const LogLine &line) { return line.field("vm"); });
    const std::string begin = found.front().time;
    const std::string end = found.back().time;
    for (const auto &line : lines_) {
        const auto event = line.field("event");
        const bool isVmEvent = event == "platform_lost" || event == "platform_regained" || event == "document_in_force" || event == "live_vms"
            || event == "zone_withdrawn" || event == "zone_restored" || event == "shutdown_begun" || event == "lines_left_out";
        if (isVmEvent && vms.contains(line.field("vm")) && line.time >= begin && line.time <= end) {
            found.push_back(line);
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const LogLine &one, const LogLine &other) { return one.time < other.time; });
    return found;
}

bool Explanation::hasRequest() const
{
    return std::any_of(lines_.begin(), lines_.end(), [this](const LogLine &line) { return line.field("request") == request_; });
}

std::string Explanation::withdrawnZones(const LogLine &failure) const
{
    std::map<std::string, std::pair<std::string, bool>> latest; // Time and kind of the last change of each zone.
    for (const auto &line : lines_) {
        const bool isWithdrawal = line.field("event") == "zone_withdrawn";
        const bool isChange = isWithdrawal || line.field("event") == "zone_restored";
        if (!isChange || line.field("vm") != failure.field("vm") || line.time > failure.time) {
            continue;
        }
        auto &change = latest[line.field("zone")];
        if (line.time >= change.first) {
            change = {line.time, isWithdrawal};
        }
    }
    std::string zones;
    for (const auto &[zone, change] : latest) {
        if (change.second) {
            zones += (zones.empty() ? "" : ", ") + zone;
        }
    }
    return zones;
}

std::string Explanation::speedText(const std::vector<LogLine> &lines) const
{
    std::string text;
    const auto differs = [](const std::string &percent) {
        return !percent.empty() && percent != "100";
    };
    for (const auto &line : lines) {
        if (line.field("request") != request_ || line.field("decision") != "send") {
            continue;
        }
        // A later attempt replaces an earlier one, since its endpoint gave the answer.
        text.clear();
        if (differs(line.field("speed"))) {
            text += "; calls there take " + line.field("speed") + "% of the usual time";
        }
        if (differs(line.field("slowness"))) {
            text += "; it reported slowness " + line.field("slowness_ms") + " ms before, expected to take " + line.field("slowness") + "% of its usual time";
        }
        if (const auto limit = line.field("load_limit"); !limit.empty()) {
            text += "; it is slow beyond " + limit + " concurrent calls";
        }
    }
    return text;
}

std::string Explanation::cause() const
{
    const auto lines = history();
    std::string cause;
    for (const auto &line : lines) {
        const bool isOfRequest = line.field("request") == request_;
        if (isOfRequest && isFailure(line)) {
            cause = describeFailure(line);
            if (const auto zones = withdrawnZones(line); line.field("reason") == "NoEndpoint" && !zones.empty()) {
                cause += "; the operator had taken these zones out of service: " + zones;
            }
            break;
        }
    }
    if (cause.empty()) {
        const bool answered = std::any_of(lines.begin(), lines.end(), [this](const LogLine &line) {
            const bool isAnswer = line.field("decision") == "send" || line.field("outcome") == "complete";
            return line.field("request") == request_ && isAnswer;
        });
        return answered ? "the request was answered by its endpoint" + speedText(lines) : "the logs do not show how the request ended";
    }
    for (const auto &line : lines) {
        const bool hasLeft = line.field("event") == "endpoint" && (line.field("state") == "gone" || line.field("state") == "draining");
        if (hasLeft && cause.find(line.field("endpoint")) != std::string::npos) {
            return cause + "; its endpoint " + line.field("endpoint") + " had left at " + line.time;
        }
    }
    return cause;
}

void Explanation::print(std::ostream &out) const
{
    for (const auto &line : history()) {
        out << line.text << '\n';
    }
    out << "cause: " << cause() << '\n';
}

void Explanation::printJson(std::ostream &out) const
{
    auto lines = nlohmann::json::array();
    for (const auto &line : history()) {
        lines.push_back(line.fields);
    }
    out << nlohmann::json{{"request", request_}, {"lines", lines}, {"cause", cause()}}.dump(2) << '\n';
}

int runExplainCommand(const std::string &request, const std::vector<std::string> &logs, bool json, std::istream &in, std::ostream &out, std::ostream &err)
{
    Explanation explanation(request);
    const auto readAll = [&](std::istream &log) {
        for (std::string line; std::getline(log, line);) {
            explanation.add(line);
        }
    };
    for (const auto &name : logs) {
        std::ifstream log(name);
        if (!log) {
            err << name << ": cannot be opened\n";
            return Usage;
        }
        readAll(log);
    }
    if (logs.empty()) {
        readAll(in);
    }
    if (!explanation.hasRequest()) {
        err << "no log line has the request id " << request << '\n';
        return Failure;
    }
    if (json) {
        explanation.printJson(out);
    } else {
        explanation.print(out);
    }
    return Success;
}

} // namespace daisystream::cli
