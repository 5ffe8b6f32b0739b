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

constexpr auto kPauseBetweenVms = std::chrono::milliseconds(300);
constexpr unsigned kRounds = 5; // Through all VMs without any progress, after which the tool gives up.

/// The end of a request as a VM stated it.
struct FinalEvent
{
    std::string state;
    unsigned code = 0;
    std::string message;
};

FinalEvent parseFinal(const json &data)
{
    return {.state = data.value("state", "outcomeUnknown"), .code = data.value("code", 0U), .message = data.value("message", "")};
}

/// @return what an error response states.
FinalEvent parseError(const HttpResult &reply)
{
    const json body = json::parse(reply.body, nullptr, false);
    if (body.is_object() && body.contains("error") && body["error"].is_object()) {
        return parseFinal(body["error"]);
    }
    return {.state = "outcomeUnknown", .code = 0, .message = "status " + std::to_string(reply.status)};
}

bool isAboutThisVm(unsigned code)
{
    // Stopping, NoLists, Isolated: another VM can serve the request.
    return code >= 301 && code <= 303;
}

/// One streamed answer over as many connections as it takes.
class Asking
{
public:
    Asking(const std::string &prompt, const Options &options, Context &context, asio::yield_context yield)
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

    int run()
    {
        unsigned failures = 0;
        for (std::size_t i = 0; !final_ && failures < kRounds * options_.vms.size(); ++i) {
            const auto tokens = tokens_;
            attempt(options_.vms[i % options_.vms.size()]);
            failures = tokens_ > tokens ? 0 : failures + 1;
            if (!final_) {
                asio::steady_timer timer(context_.io, kPauseBetweenVms);
                timer.async_wait(yield_);
            }
        }
        return finish();
    }

private:
    void attempt(const SocketAddress &vm)
    {
        HttpCall call{
            .method = "POST", .target = "/v1/completions", .headers = {{"Authorization", "Bearer " + options_.key}, {"Content-Type", "application/json"}}};
        if (lastId_.empty()) {
            if (mayHaveRun_) {
                // Without an event id the answer cannot be resumed, and asking anew would generate a second one.
                final_ = FinalEvent{.state = "outcomeUnknown", .code = 0, .message = "the connection was lost before the first event"};
                return;
            }
            call.body = body_;
        } else {
            call.method = "GET";
            call.headers.emplace_back("Last-Event-ID", lastId_);
            context_.err << "resuming at " << toString(vm) << " after " << tokens_ << " events\n";
        }
        EventParser parser;
        call.onBody = [&](std::string_view bytes) {
            for (const auto &event : parser.feed(bytes)) {
                take(event);
            }
        };
        const auto reply = httpCall(context_.io, vm, call, yield_);
        if (reply.status != 0 && reply.status != 200) {
            takeError(parseError(reply));
        } else if (reply.sent && lastId_.empty()) {
            mayHaveRun_ = true;
        }
        if (!final_ && !reply.reason.empty()) {
            context_.err << toString(vm) << ": " << reply.reason << '\n';
        }
    }

    void takeError(const FinalEvent &error)
    {
        if (isAboutThisVm(error.code)) {
            context_.err << error.message << '\n';
        } else if (tokens_ > 0) {
            final_ = FinalEvent{.state = "incomplete", .code = error.code, .message = error.message};
        } else {
            final_ = error;
        }
    }

    void take(const ServerEvent &event)
    {
        if (!event.id.empty()) {
            lastId_ = event.id;
            ++tokens_;
        }
        if (event.data == "[DONE]") {
            return;
        }
        const json data = json::parse(event.data, nullptr, false);
        if (!data.is_object()) {
            return;
        }
        if (event.name == "final") {
            final_ = parseFinal(data);
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

    int finish()
    {
        if (!final_) {
            const std::string state = tokens_ > 0 ? "incomplete" : mayHaveRun_ ? "outcomeUnknown" : "notRun";
            final_ = FinalEvent{.state = state, .code = 0, .message = "no VM can be reached"};
        }
        if (options_.json) {
            context_.out << json{{"state", final_->state}, {"code", final_->code}, {"message", final_->message}, {"events", tokens_}, {"text", answer_}}.dump(2)
                         << '\n';
        } else {
            context_.out << '\n';
            context_.err << "state=" << final_->state << " code=" << final_->code << " events=" << tokens_
                         << (final_->message.empty() ? "" : " message=\"" + final_->message + "\"") << '\n';
        }
        return exitCodeOf(final_->state);
    }

    const Options &options_;
    Context &context_;
    asio::yield_context yield_;
    std::string body_;
    std::string lastId_;
    std::string answer_;
    std::uint64_t tokens_ = 0;
    bool mayHaveRun_ = false;
    std::optional<FinalEvent> final_;
};

bool readBody(const Options &options, Context &context, std::string &body)
{
    std::ostringstream read;
    if (options.file == "-") {
        read << context.in.rdbuf();
    } else if (!options.file.empty()) {
        const std::ifstream file(options.file);
        if (!file) {
            context.err << options.file << ": cannot be opened\n";
            return false;
        }
        read << file.rdbuf();
    }
    body = read.str();
    return true;
}

/// @return a ticket from the first VM that gives one, or nothing after a message.
std::optional<std::string> fetchTicket(const std::string &service, const Options &options, Context &context, asio::yield_context yield)
{
    for (const auto &vm : options.vms) {
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

int reportOrder(const HttpResult &reply, const Options &options, Context &context)
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

bool canCall(const Options &options, Context &context)
{
    if (options.vms.empty() || options.key.empty()) {
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
    return canCall(options, context) ? Asking(arguments[0], options, context, yield).run() : Usage;
}

int runOrderCommand(const std::vector<std::string> &arguments, const Options &options, Context &context, asio::yield_context yield)
{
    std::string body;
    if (arguments.size() != 2 || !arguments[1].starts_with('/')) {
        context.err << "usage: daisystream order SERVICE /PATH [--file BODY]\n";
        return Usage;
    }
    if (!canCall(options, context) || !readBody(options, context, body)) {
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
    // The ticket makes it safe to send the order again: it runs at most once.
    for (std::size_t i = 0; i < kRounds * options.vms.size(); ++i) {
        const auto &vm = options.vms[i % options.vms.size()];
        const auto reply = httpCall(context.io, vm, call, yield);
        if (reply.status != 0 && reply.whole && !(reply.status == 503 && isAboutThisVm(parseError(reply).code))) {
            return reportOrder(reply, options, context);
        }
        context.err << toString(vm) << ": " << (reply.reason.empty() ? parseError(reply).message : reply.reason) << '\n';
        asio::steady_timer timer(context.io, kPauseBetweenVms);
        timer.async_wait(yield);
    }
    context.err << "state=outcomeUnknown\n";
    return UnknownOutcome;
}

} // namespace daisystream::cli
