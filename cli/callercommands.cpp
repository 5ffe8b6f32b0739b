#include "cli/commands.h"
#include "cli/eventparser.h"
#include "cli/exitcodes.h"
#include "cli/httpcall.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace daisystream::cli
{

namespace asio = boost::asio;
using nlohmann::json;

namespace
{

constexpr auto kRetryDelay = std::chrono::milliseconds(300);
/// A command gives up after it has failed at every VM this many times. A streamed answer counts only consecutive attempts
/// without a new event.
constexpr unsigned kMaxFailedRounds = 5;

/// Final state of a request, as reported by a VM or, if none reported it, as determined by the tool.
struct FinalEvent
{
    std::string state;
    unsigned code = 0;
    std::string message;
};

/// @return the final state in the data of a `final` event or in an `error` object; "outcomeUnknown" if it has no state.
FinalEvent parseFinalEvent(const json &data)
{
    return {.state = data.value("state", "outcomeUnknown"), .code = data.value("code", 0U), .message = data.value("message", "")};
}

/// @return the final state in the `error` object of a response, or "outcomeUnknown" with the HTTP status if there is no
/// such object.
FinalEvent parseError(const HttpResult &reply)
{
    const json body = json::parse(reply.body, nullptr, false);
    if (body.is_object() && body.contains("error") && body["error"].is_object()) {
        return parseFinalEvent(body["error"]);
    }
    return {.state = "outcomeUnknown", .code = 0, .message = "status " + std::to_string(reply.status)};
}

/// @return whether the result code reports a condition of the VM that replied, so that another VM can serve the request.
bool canRetryOnAnotherVm(unsigned code)
{
    // Codes 301 to 303: Stopping, NoLists, Isolated.
    return code >= 301 && code <= 303;
}

/// Requests one streamed answer and prints it. After a lost connection it resumes the answer at the next VM.
class CompletionRequest
{
public:
    CompletionRequest(const std::string &prompt, const Options &options, Context &context, asio::yield_context yield)
        : options_(options)
        , context_(context)
        , yield_(yield)
    {
        json body{{"model", options.model}, {"prompt", prompt}, {"stream", true}};
        if (options.maxTokens > 0) {
            body["max_tokens"] = options.maxTokens;
        }
        body_ = body.dump();
    }

    /// @return the exit code.
    int run()
    {
        unsigned failures = 0;
        for (std::size_t i = 0; !finalEvent_ && failures < kMaxFailedRounds * options_.vmAddresses.size(); ++i) {
            const auto eventsBefore = eventCount_;
            attempt(options_.vmAddresses[i % options_.vmAddresses.size()]);
            failures = eventCount_ > eventsBefore ? 0 : failures + 1;
            if (!finalEvent_) {
                asio::steady_timer timer(context_.io, kRetryDelay);
                timer.async_wait(yield_);
            }
        }
        return finish();
    }

private:
    /// Sends the request to one VM, or resumes the answer there after the last event that was received.
    void attempt(const SocketAddress &vm)
    {
        HttpCall call{
            .method = "POST", .target = "/v1/completions", .headers = {{"Authorization", "Bearer " + options_.key}, {"Content-Type", "application/json"}}};
        if (lastEventId_.empty()) {
            if (mayHaveRun_) {
                // The answer cannot be resumed without an event id, and a second request could generate a second answer.
                finalEvent_ = FinalEvent{.state = "outcomeUnknown", .code = 0, .message = "the connection was lost before the first event"};
                return;
            }
            call.body = body_;
        } else {
            call.method = "GET";
            call.headers.emplace_back("Last-Event-ID", lastEventId_);
            context_.err << "resuming at " << toString(vm) << " after " << eventCount_ << " events\n";
        }
        EventParser parser;
        call.onBodyChunk = [&](std::string_view bytes) {
            for (const auto &event : parser.feed(bytes)) {
                onServerEvent(event);
            }
        };
        const auto reply = httpCall(context_.io, vm, call, yield_);
        if (reply.status != 0 && reply.status != 200) {
            onErrorResponse(parseError(reply));
        } else if (reply.sent && lastEventId_.empty()) {
            mayHaveRun_ = true;
        }
        if (!finalEvent_ && !reply.reason.empty()) {
            context_.err << toString(vm) << ": " << reply.reason << '\n';
        }
    }

    void onErrorResponse(const FinalEvent &error)
    {
        if (canRetryOnAnotherVm(error.code)) {
            context_.err << error.message << '\n';
        } else if (eventCount_ > 0) {
            finalEvent_ = FinalEvent{.state = "incomplete", .code = error.code, .message = error.message};
        } else {
            finalEvent_ = error;
        }
    }

    void onServerEvent(const ServerEvent &event)
    {
        if (!event.id.empty()) {
            lastEventId_ = event.id;
            ++eventCount_;
        }
        if (event.data == "[DONE]") {
            return;
        }
        const json data = json::parse(event.data, nullptr, false);
        if (!data.is_object()) {
            return;
        }
        if (event.name == "final") {
            finalEvent_ = parseFinalEvent(data);
            return;
        }
        for (const auto &choice : data.value("choices", json::array())) {
            const std::string text = choice.value("text", "");
            answer_ += text;
            if (!options_.json) {
                context_.out << text << std::flush;
            }
        }
    }

    /// Prints the final state.
    /// @return the exit code.
    int finish()
    {
        if (!finalEvent_) {
            const std::string state = eventCount_ > 0 ? "incomplete" : mayHaveRun_ ? "outcomeUnknown" : "notRun";
            finalEvent_ = FinalEvent{.state = state, .code = 0, .message = "no VM can be reached"};
        }
        if (options_.json) {
            context_.out << json{{"state", finalEvent_->state},
                                 {"code", finalEvent_->code},
                                 {"message", finalEvent_->message},
                                 {"events", eventCount_},
                                 {"text", answer_}}
                                .dump(2)
                         << '\n';
        } else {
            context_.out << '\n';
            context_.err << "state=" << finalEvent_->state << " code=" << finalEvent_->code << " events=" << eventCount_
                         << (finalEvent_->message.empty() ? "" : " message=\"" + finalEvent_->message + "\"") << '\n';
        }
        return exitCodeOf(finalEvent_->state);
    }

    const Options &options_;
    Context &context_;
    asio::yield_context yield_;
    std::string body_;
    std::string lastEventId_; ///< Empty until the first event with an id.
    std::string answer_;
    std::uint64_t eventCount_ = 0; ///< Received events with an id.
    bool mayHaveRun_ = false;      ///< A VM may have received the request, although no event has arrived.
    std::optional<FinalEvent> finalEvent_;
};

/// Reads the body of an order from `Options::file`; without a file the body is empty.
/// @return false if the file cannot be opened; a message was printed.
bool readRequestBody(const Options &options, Context &context, std::string &body)
{
    std::ostringstream content;
    if (options.file == "-") {
        content << context.in.rdbuf();
    } else if (!options.file.empty()) {
        const std::ifstream file(options.file);
        if (!file) {
            context.err << options.file << ": cannot be opened\n";
            return false;
        }
        content << file.rdbuf();
    }
    body = content.str();
    return true;
}

/// @return a ticket from the first VM that issues one, or nothing if none does; each failure was printed.
std::optional<std::string> fetchTicket(const std::string &service, const Options &options, Context &context, asio::yield_context yield)
{
    for (const auto &vm : options.vmAddresses) {
        const HttpCall call{.method = "POST", .target = "/v1/services/" + service + "/tickets", .headers = {{"Authorization", "Bearer " + options.key}}};
        const auto reply = httpCall(context.io, vm, call, yield);
        const json body = json::parse(reply.body, nullptr, false);
        if ((reply.status == 200 || reply.status == 201) && body.is_object() && body.contains("ticket")) {
            return body["ticket"].get<std::string>();
        }
        context.err << toString(vm) << ": " << (reply.status == 0 ? reply.reason : parseError(reply).message) << '\n';
    }
    return std::nullopt;
}

/// Prints the response to an order.
/// @return the exit code.
int printOrderResult(const HttpResult &reply, const Options &options, Context &context)
{
    const bool succeeded = reply.status >= 200 && reply.status < 300;
    const FinalEvent error = succeeded ? FinalEvent{.state = "complete", .code = 0, .message = {}} : parseError(reply);
    if (options.json) {
        context.out << json{{"status", reply.status}, {"state", error.state}, {"code", error.code}, {"body", reply.body}}.dump(2) << '\n';
    } else {
        context.out << reply.body << '\n';
        context.err << "state=" << error.state << " status=" << reply.status << " code=" << error.code << '\n';
    }
    return exitCodeOf(error.state);
}

/// @return whether the addresses of VMs and a key are given; if not, a message was printed.
bool hasVmsAndKey(const Options &options, Context &context)
{
    if (options.vmAddresses.empty() || options.key.empty()) {
        context.err << "--vms or --key is missing\n";
        return false;
    }
    return true;
}

} // namespace

int runAskCommand(const std::vector<std::string> &arguments, const Options &options, Context &context, asio::yield_context yield)
{
    if (arguments.size() != 1) {
        context.err << "usage: daisystream ask PROMPT\n";
        return Usage;
    }
    return hasVmsAndKey(options, context) ? CompletionRequest(arguments[0], options, context, yield).run() : Usage;
}

int runOrderCommand(const std::vector<std::string> &arguments, const Options &options, Context &context, asio::yield_context yield)
{
    std::string body;
    if (arguments.size() != 2 || !arguments[1].starts_with('/')) {
        context.err << "usage: daisystream order SERVICE /PATH [--file BODY]\n";
        return Usage;
    }
    if (!hasVmsAndKey(options, context) || !readRequestBody(options, context, body)) {
        return Usage;
    }
    const auto ticket = fetchTicket(arguments[0], options, context, yield);
    if (!ticket) {
        return NotRun;
    }
    const HttpCall call{.method = "POST",
                        .target = "/v1/services/" + arguments[0] + arguments[1],
                        .headers = {{"Authorization", "Bearer " + options.key}, {"X-Order-Ticket", *ticket}, {"Content-Type", "application/json"}},
                        .body = body};
    // Retries are safe because an order runs at most once per ticket.
    for (std::size_t i = 0; i < kMaxFailedRounds * options.vmAddresses.size(); ++i) {
        const auto &vm = options.vmAddresses[i % options.vmAddresses.size()];
        const auto reply = httpCall(context.io, vm, call, yield);
        if (reply.status != 0 && reply.complete && !canRetryOnAnotherVm(parseError(reply).code)) {
            return printOrderResult(reply, options, context);
        }
        context.err << toString(vm) << ": " << (reply.reason.empty() ? parseError(reply).message : reply.reason) << '\n';
        asio::steady_timer timer(context.io, kRetryDelay);
        timer.async_wait(yield);
    }
    context.err << "state=outcomeUnknown\n";
    return UnknownOutcome;
}

} // namespace daisystream::cli
