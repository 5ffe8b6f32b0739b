#include "deploy/standins/fleetcontent.h"

#include "platform/names.h"

#include <boost/beast/http/error.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisystream::standins
{

namespace names = platform::names;
namespace http = boost::beast::http;

using nlohmann::json;
using soak::Kind;

namespace
{

constexpr std::size_t kAnswerFiller = 700;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;

/// Judges the events of an answer, each of which names its run and its place.
AnswerCheck checkEvents(Kind kind, std::string_view body, bool isComplete)
{
    AnswerCheck check;
    unsigned expected = 1;
    unsigned last = 0;
    while (!body.empty()) {
        const auto end = body.find("\n\n");
        if (end == std::string_view::npos) {
            break; // The connection ended within an event.
        }
        const auto line = body.find("data: ");
        const auto event = line < end ? json::parse(body.substr(line + 6, end - line - 6), nullptr, false) : json();
        body.remove_prefix(end + 2);
        if (!event.is_object()) {
            return {check.run, "an event cannot be read"};
        }
        const auto number = event.value("number", 0U);
        const auto run = event.value("run", std::string());
        if (number != expected) {
            return {check.run, "event " + std::to_string(number) + " came where " + std::to_string(expected) + " was due"};
        }
        if (!check.run.empty() && run != check.run && kind != Kind::ResumableStream) {
            return {check.run, "event " + std::to_string(number) + " is of another run"};
        }
        check.run = run;
        last = event.value("last", 0U);
        ++expected;
    }
    if (isComplete && (last == 0 || expected != last + 1)) {
        check.fault = "it ends as complete behind event " + std::to_string(expected - 1) + " of " + std::to_string(last);
    } else if (isComplete && !body.empty()) {
        check.fault = "it ends as complete inside an event";
    }
    return check;
}

} // namespace

bool hasDeadlyPart(std::string_view parts)
{
    return parts.starts_with(kDeadlyPart) || parts.find(',' + std::string(kDeadlyPart)) != std::string_view::npos;
}

std::string requestBody(std::string_view attempt, std::string_view target, std::size_t filler)
{
    std::string body;
    body.append(attempt).append("|").append(target).append("|").append(std::to_string(filler)).append("|").append(filler, 'x');
    return body;
}

bool isRequestBody(std::string_view body, std::string_view attempt, std::string_view target)
{
    const auto filler = static_cast<std::size_t>(std::count(body.begin(), body.end(), 'x')) - std::count(attempt.begin(), attempt.end(), 'x')
        - std::count(target.begin(), target.end(), 'x');
    return body == requestBody(attempt, target, filler);
}

std::string answerBody(std::string_view run, std::string_view attempt)
{
    return json{{"run", run}, {"attempt", attempt}, {"filler", std::string(kAnswerFiller, 'y')}}.dump();
}

std::string eventText(std::string_view run, unsigned number, unsigned last)
{
    return "id: " + std::to_string(number) + "\ndata: " + json{{"run", run}, {"number", number}, {"last", last}}.dump() + "\n\n";
}

AnswerCheck checkAnswer(std::string_view attempt, Kind kind, const http::response<http::string_body> &response, bool isComplete)
{
    const auto status = response.result_int();
    const bool isSuccess = status / 100 == 2;
    if (status < kMinFinalStatus || status > kMaxStatus) {
        return {{}, "its status is " + std::to_string(status)};
    }
    const auto named = response[names::kAttempt];
    if (!named.empty() && named != attempt) {
        return {{}, "it is the answer to " + std::string(named)};
    }
    if (!isSuccess) {
        return {};
    }
    if (response[names::kProof] != kProofValue) {
        return {{}, "it is a success without an endpoint's proof"};
    }
    if (kind == Kind::Stream || kind == Kind::ResumableStream) {
        return checkEvents(kind, response.body(), isComplete);
    }
    const auto body = json::parse(response.body(), nullptr, false);
    if (!isComplete) {
        return {};
    }
    const bool isWhole = body.is_object() && response.body() == answerBody(body.value("run", std::string()), attempt);
    return isWhole ? AnswerCheck{body.value("run", std::string()), {}} : AnswerCheck{{}, "its body is not what an endpoint wrote for it"};
}

std::string faultOf(const boost::system::error_code &error)
{
    const bool isMalformed = error.category() == http::make_error_code(http::error::bad_status).category() && error != http::error::end_of_stream
        && error != http::error::partial_message;
    return isMalformed ? "its bytes are no answer: " + error.message() : "";
}

} // namespace daisystream::standins
