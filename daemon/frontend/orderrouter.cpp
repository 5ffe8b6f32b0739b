#include "daemon/frontend/orderrouter.h"

#include "daemon/endpoints/permitclient.h"
#include "daemon/endpoints/requestlimitheader.h"
#include "daemon/endpoints/serviceclient.h"
#include "daemon/frontend/httprouter.h"
#include "daemon/http/messageframing.h"
#include "daemon/status/decisionlog.h"
#include "daisystream/base/base64.h"
#include "daisystream/base/stablehash.h"
#include "daisystream/forwarding/responsemeaning.h"
#include "daisystream/limits/requestrate.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <mutex>

namespace daisystream
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

namespace
{

constexpr const char *kKeyHeader = "Idempotency-Key";
constexpr std::size_t kMaxKeyBytes = 128;
constexpr auto kInProgressRetry = std::chrono::seconds(1);
constexpr auto kPlatformRetry = std::chrono::seconds(5);
// How long an order waits for a permit of an instance whose request limit is used up, and for how long a permit is kept for a
// caller that comes back.
constexpr auto kMaxPermitWait = std::chrono::milliseconds(250);
constexpr auto kReturnTime = std::chrono::seconds(5);
// The outcome of an order is written until the platform takes it: 12 attempts with doubling pauses up to 32 s are about
// four minutes.
constexpr unsigned kRecordAttempts = 12;
constexpr unsigned kRecordBackoffDoublings = 5;
constexpr auto kRecordBackoff = std::chrono::seconds(1);
// Headers that belong to the caller's connection or to this system, not to the order.
constexpr std::array<std::string_view, 11> kDroppedHeaders = {"Authorization",
                                                              "Connection",
                                                              "Expect",
                                                              "Keep-Alive",
                                                              "Proxy-Authorization",
                                                              "Proxy-Connection",
                                                              "TE",
                                                              "Trailer",
                                                              "Transfer-Encoding",
                                                              "Upgrade",
                                                              kTicketHeader};

std::string hex(const unsigned char *bytes, unsigned count)
{
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string text;
    for (unsigned i = 0; i < count; ++i) {
        text += kDigits[bytes[i] >> 4U];
        text += kDigits[bytes[i] & 0xFU];
    }
    return text;
}

std::string digestOf(const HttpRequest &request)
{
    std::string content = std::string(request.method_string()) + '\n' + std::string(request.target()) + '\n' + request.body();
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(content.data(), content.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return hex(digest.data(), size);
}

HttpResponse withState(HttpResponse response, FinalState state)
{
    response.set(kOrderStateHeader, toString(state));
    return response;
}

HttpResponse responseOf(const OrderDone &done, FinalState state)
{
    HttpResponse response(static_cast<http::status>(done.status), 11);
    if (!done.contentType.empty()) {
        response.set(http::field::content_type, done.contentType);
    }
    response.body() = done.body;
    return withState(std::move(response), state);
}

HttpResponse unknownOutcome(const std::string &detail)
{
    return errorReply({ResultCode::OrderOutcomeUnknown, detail, {}}, FinalState::OutcomeUnknown);
}

/// @param source who gave the response, for the error's detail.
HttpResponse unprovenOutcome(const std::string &source, unsigned status)
{
    return unknownOutcome(source + " has status " + std::to_string(status) + ", which does not prove whether the order has run");
}

HttpResponse replyOf(const OrderDone &done)
{
    // Earlier versions recorded such responses as complete.
    return impliesNotRun(done.status) ? unprovenOutcome("the recorded response", done.status) : responseOf(done, FinalState::Complete);
}

HttpResponse inProgress()
{
    return errorReply({ResultCode::OrderInProgress, "the order is being run", kInProgressRetry}, FinalState::OutcomeUnknown);
}

/// How one dispatch ended, with the response for the caller.
struct Dispatched
{
    OrderOutcome outcome;
    HttpResponse response;
};

/// @return whether a service or another VM states with this response that the order has not run.
bool statesNotRun(const HttpResponse &response)
{
    return response[kOrderStateHeader] == toString(FinalState::NotRun);
}

bool isSafe(http::verb method)
{
    return method == http::verb::get || method == http::verb::head;
}

bool isValidKey(std::string_view key)
{
    return !key.empty() && key.size() <= kMaxKeyBytes && std::all_of(key.begin(), key.end(), [](char c) { return c >= ' ' && c < 0x7F; });
}

std::string recordName(const CallerGrant &grant, const ServiceId &service, const std::string &key)
{
    return percentEncoded(grant.team.value()) + "/" + percentEncoded(service.value()) + "/" + percentEncoded(key);
}

/// A row of the table `orders`.
struct Record
{
    std::string state; ///< "running" or the name of a final state.
    std::string vm;
    std::uint64_t incarnation = 0;
    std::string attempt;
    std::string digest;
    OrderDone done;
};

std::string toText(const Record &record)
{
    return json{{"state", record.state},
                {"vm", record.vm},
                {"incarnation", record.incarnation},
                {"attempt", record.attempt},
                {"digest", record.digest},
                {"status", record.done.status},
                {"contentType", record.done.contentType},
                {"body", toBase64(record.done.body)}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<Record> toRecord(const std::string &text)
{
    try {
        const auto document = json::parse(text);
        Record record;
        record.state = document.at("state").get<std::string>();
        record.vm = document.at("vm").get<std::string>();
        record.incarnation = document.at("incarnation").get<std::uint64_t>();
        record.attempt = document.at("attempt").get<std::string>();
        record.digest = document.at("digest").get<std::string>();
        record.done.status = document.at("status").get<std::uint16_t>();
        record.done.contentType = document.at("contentType").get<std::string>();
        auto body = fromBase64(document.at("body").get<std::string>());
        if (!body) {
            return std::nullopt;
        }
        record.done.body = std::move(*body);
        // A record without a response has the status 0.
        if (record.state == toString(FinalState::Complete) && !isWellFormed(responseOf(record.done, FinalState::Complete))) {
            return std::nullopt;
        }
        return record;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

HttpRequest toRequest(const ForwardedOrder &order)
{
    HttpRequest request(http::string_to_verb(order.method), order.target, 11);
    for (const auto &[name, value] : order.headers) {
        request.insert(name, value);
    }
    request.body() = order.body;
    return request;
}

ForwardedOrder toForwarded(const CallerGrant &grant, const ServiceId &service, const std::string &ticket, const HttpRequest &request)
{
    ForwardedOrder order{.ticket = ticket,
                         .team = grant.team,
                         .service = service,
                         .method = std::string(request.method_string()),
                         .target = std::string(request.target()),
                         .headers = {},
                         .body = request.body()};
    for (const auto &field : request) {
        order.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return order;
}

HttpResponse toResponse(const OrderReply &reply)
{
    HttpResponse response(static_cast<http::status>(reply.status), 11);
    for (const auto &[name, value] : reply.headers) {
        response.set(name, value);
    }
    response.body() = reply.body;
    return response;
}

OrderReply toReply(const HttpResponse &response)
{
    OrderReply reply{.status = response.result_int(), .headers = {}, .body = response.body()};
    for (const auto &field : response) {
        reply.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return reply;
}

// A request without what concerns the caller's connection, and never with the caller's key.
HttpRequest cleaned(const HttpRequest &request)
{
    HttpRequest copy = request;
    for (const auto &name : kDroppedHeaders) {
        copy.erase(boost::beast::string_view(name.data(), name.size()));
    }
    return copy;
}

void pauseBefore(unsigned attempt, asio::yield_context yield)
{
    if (attempt == 0) {
        return;
    }
    boost::system::error_code ignored;
    asio::steady_timer timer(yield.get_executor(), kRecordBackoff * (1U << std::min(attempt - 1, kRecordBackoffDoublings)));
    timer.async_wait(yield[ignored]);
}

} // namespace

class OrderRouter::Private
{
public:
    explicit Private(FrontendContext &context)
        : context_(context)
        , ledger_(context.parts.peers.self(), context.parts.peers.incarnation())
        , sealer_({}, Random(context.parts.seed + 1))
    {
    }

    HttpResponse
    callWithTicket(const CallerGrant &grant, const ServiceId &service, const std::string &ticket, const HttpRequest &request, asio::yield_context yield);
    HttpResponse callWithKey(const CallerGrant &grant, const ServiceId &service, const std::string &key, const HttpRequest &request, asio::yield_context yield);
    HttpResponse runTicket(const OrderTicket &ticket, const HttpRequest &request, asio::yield_context yield);
    HttpResponse forward(const OrderTicket &ticket, const ForwardedOrder &order, asio::yield_context yield);
    HttpResponse existing(
        const CallerGrant &grant, const ServiceId &service, const std::string &name, const Record &mine, const HttpRequest &request, asio::yield_context yield);
    HttpResponse dispatchKeyed(const CallerGrant &grant,
                               const ServiceId &service,
                               const std::string &name,
                               std::uint64_t version,
                               Record record,
                               const HttpRequest &request,
                               asio::yield_context yield);
    Dispatched dispatch(const TeamId &team, const ServiceId &service, const HttpRequest &request, asio::yield_context yield);
    void saveOutcome(const std::string &name, std::uint64_t version, Record record, const OrderOutcome &outcome);
    void releaseLater(const std::string &name, Record mine);
    Result<OrderTicket> openTicket(const std::string &text, const TeamId &team, const ServiceId &service);
    std::string sealTicket(const OrderTicket &ticket);
    void refreshKeys();

    FrontendContext &context_;
    std::mutex mutex_; // Level 6 (orders); nothing is called while it is held.
    OrderLedger ledger_;
    TicketSealer sealer_;
    std::uint64_t keysVersion_ = 0;
    std::size_t nextInstance_ = 0;
};

void OrderRouter::Private::refreshKeys()
{
    const auto document = context_.parts.lists.document(DocumentKind::SealKeys);
    const std::lock_guard lock(mutex_);
    if (document.version.number > keysVersion_) {
        keysVersion_ = document.version.number;
        sealer_.setKeys(parseSealingKeys(document.text));
    }
}

Result<OrderTicket> OrderRouter::Private::openTicket(const std::string &text, const TeamId &team, const ServiceId &service)
{
    refreshKeys();
    const std::lock_guard lock(mutex_);
    return sealer_.open(text, team, service);
}

std::string OrderRouter::Private::sealTicket(const OrderTicket &ticket)
{
    refreshKeys();
    const std::lock_guard lock(mutex_);
    return sealer_.seal(ticket);
}

Dispatched OrderRouter::Private::dispatch(const TeamId &team, const ServiceId &service, const HttpRequest &request, asio::yield_context yield)
{
    const auto instances = context_.parts.dispatcher.serviceEndpoints(service);
    std::size_t first = 0;
    {
        const std::lock_guard lock(mutex_);
        first = nextInstance_++;
    }
    Error error{ResultCode::NoEndpoint, "no instance of the service is in service", std::chrono::seconds(1)};
    auto &permits = context_.parts.permits;
    LineRequest line{.endpoints = {},
                     .attempt = stableHash(context_.newRequestId().value()),
                     .request = stableHash(team.value() + '\n' + std::string(request.target()) + '\n' + request.body())};
    line.maxWait = kMaxPermitWait;
    line.patience = kReturnTime;
    // Instances whose request limit is used up come last, by a place in the line.
    for (std::size_t i = 0; i <= instances.size(); ++i) {
        std::optional<EndpointSettings> chosen;
        if (i < instances.size()) {
            const auto &instance = instances[(first + i) % instances.size()];
            const PermitRequest permit{.endpoint = instance.id, .attempt = line.attempt, .request = line.request};
            if (permits.isFull(instance.id, false) || permits.acquire(permit, yield)) {
                line.endpoints.push_back(instance.id);
                continue;
            }
            chosen = instance;
        } else if (!line.endpoints.empty()) {
            const auto reply = permits.waitInLine(line, yield);
            if (const auto *full = std::get_if<Error>(&reply)) {
                error = *full;
                break;
            }
            chosen = context_.parts.dispatcher.findEndpoint(std::get<EndpointId>(reply));
        }
        if (!chosen) {
            break;
        }
        const auto &instance = *chosen;
        DecisionLine("order")
            .field("request", context_.newRequestId().value())
            .field("team", team.value())
            .field("service", service.value())
            .field("choice", instance.id.value())
            .field("reason", i == 0 ? "rotation" : "unreachable_before_a_byte")
            .write();
        const auto sentAt = context_.parts.clock.now();
        auto result = callService(instance, cleaned(request), context_.options, yield);
        if (result.response) {
            permits.onAnswer(instance.id, parseRequestRate(std::string((*result.response)[kRequestLimitHeader])), true, sentAt);
            const auto meaning = meaningOf({.status = result.response->result_int(), .statesNotRun = statesNotRun(*result.response), .isVerified = true});
            if (meaning == ResponseMeaning::Unproven) {
                return {.outcome = OrderUnknown{},
                        .response = unprovenOutcome("the response of service instance " + instance.id.value(), result.response->result_int())};
            }
            OrderDone done{.status = static_cast<std::uint16_t>(result.response->result_int()),
                           .contentType = std::string((*result.response)[http::field::content_type]),
                           .body = result.response->body()};
            if (meaning == ResponseMeaning::NotRun) {
                return {.outcome = OrderNotRun{}, .response = responseOf(done, FinalState::NotRun)};
            }
            auto response = replyOf(done);
            return {.outcome = std::move(done), .response = std::move(response)};
        }
        if (result.bytesSent) {
            return {.outcome = OrderUnknown{}, .response = unknownOutcome(result.error.detail)};
        }
        error = result.error; // Not a byte was sent: the next instance is no second dispatch.
    }
    return {.outcome = OrderNotRun{}, .response = errorReply(error, FinalState::NotRun)};
}

HttpResponse OrderRouter::Private::runTicket(const OrderTicket &ticket, const HttpRequest &request, asio::yield_context yield)
{
    OrderBegin begun;
    {
        const std::lock_guard lock(mutex_);
        ledger_.expire(wallClock());
        begun = ledger_.begin(ticket, digestOf(request), wallClock());
    }
    if (const auto *replay = std::get_if<OrderReplay>(&begun)) {
        return replyOf(replay->response);
    }
    if (std::holds_alternative<OrderInProgress>(begun)) {
        return inProgress();
    }
    if (const auto *error = std::get_if<Error>(&begun)) {
        const bool unknown = error->code == ResultCode::TicketIssuerGone || error->code == ResultCode::OrderOutcomeUnknown;
        return errorReply(*error, unknown ? FinalState::OutcomeUnknown : FinalState::NotRun);
    }
    // Only now is it known that the ticket is unused, so that a refusal may say "not run".
    const auto refusal = context_.parts.lists.admission();
    auto dispatched = refusal ? Dispatched{.outcome = OrderNotRun{}, .response = errorReply(*refusal, FinalState::NotRun)}
                              : dispatch(ticket.team, ticket.service, request, yield);
    const std::lock_guard lock(mutex_);
    ledger_.finish(ticket.serial, std::move(dispatched.outcome), wallClock());
    return std::move(dispatched.response);
}

HttpResponse OrderRouter::Private::forward(const OrderTicket &ticket, const ForwardedOrder &order, asio::yield_context yield)
{
    const auto executor = strandOf(yield.get_executor());
    auto &peers = context_.parts.peers;
    DecisionLine("forward")
        .field("team", order.team.value())
        .field("service", order.service.value())
        .field("choice", ticket.vm.value())
        .field("reason", "ticket_issuer")
        .write();
    const auto reply = asio::async_initiate<asio::yield_context, void(Result<OrderReply>)>(
        [&](auto handler) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            peers.forwardOrder(ticket.vm, ticket.incarnation, order, [shared, executor](Result<OrderReply> result) {
                asio::post(executor, [shared, result = std::move(result)]() mutable { (*shared)(std::move(result)); });
            });
        },
        yield);
    if (const auto *error = std::get_if<Error>(&reply)) {
        // An earlier attempt with this ticket may have run at the issuer, so only a reachable issuer can say "not run".
        return errorReply(*error, FinalState::OutcomeUnknown);
    }
    auto response = toResponse(std::get<OrderReply>(reply));
    const auto source = "the response of VM " + ticket.vm.value();
    if (!isWellFormed(response)) {
        return unknownOutcome(source + " is malformed");
    }
    if (!statesNotRun(response) && impliesNotRun(response.result_int())) {
        return unprovenOutcome(source, response.result_int());
    }
    return response;
}

HttpResponse OrderRouter::Private::callWithTicket(
    const CallerGrant &grant, const ServiceId &service, const std::string &ticket, const HttpRequest &request, asio::yield_context yield)
{
    const auto opened = openTicket(ticket, grant.team, service);
    if (const auto *error = std::get_if<Error>(&opened)) {
        return errorReply(*error, FinalState::OutcomeUnknown); // The ticket may be sound, and this VM lacks the key that sealed it.
    }
    const auto &known = std::get<OrderTicket>(opened);
    const auto &peers = context_.parts.peers;
    if (known.vm == peers.self() && known.incarnation == peers.incarnation()) {
        return runTicket(known, request, yield);
    }
    if (known.vm == peers.self()) {
        return errorReply({ResultCode::TicketIssuerGone, "the VM that issued the ticket was restarted", {}}, FinalState::OutcomeUnknown);
    }
    return forward(known, toForwarded(grant, service, ticket, cleaned(request)), yield);
}

HttpResponse OrderRouter::Private::callWithKey(
    const CallerGrant &grant, const ServiceId &service, const std::string &key, const HttpRequest &request, asio::yield_context yield)
{
    if (!isValidKey(key)) {
        return errorReply({ResultCode::MalformedRequest, "Idempotency-Key must have 1 to 128 printable characters", {}}, FinalState::NotRun);
    }
    const auto &peers = context_.parts.peers;
    const auto name = recordName(grant, service, key);
    const Record mine{.state = "running",
                      .vm = peers.self().value(),
                      .incarnation = peers.incarnation(),
                      .attempt = context_.newRequestId().value(),
                      .digest = digestOf(request),
                      .done = {}};
    const auto inserted = context_.parts.records.insert(name, toText(mine), yield);
    if (const auto *version = std::get_if<std::uint64_t>(&inserted)) {
        return dispatchKeyed(grant, service, name, *version, mine, request, yield);
    }
    const auto &error = std::get<Error>(inserted);
    if (error.code == ResultCode::PlatformUnavailable) {
        return errorReply({error.code, "the order was not run by this attempt; an earlier one may have run: " + error.detail, kPlatformRetry},
                          FinalState::OutcomeUnknown);
    }
    return existing(grant, service, name, mine, request, yield);
}

// There is a record, or the insert's reply was lost.
HttpResponse OrderRouter::Private::existing(
    const CallerGrant &grant, const ServiceId &service, const std::string &name, const Record &mine, const HttpRequest &request, asio::yield_context yield)
{
    const auto read = context_.parts.records.read(name, yield);
    if (std::holds_alternative<Error>(read)) {
        // If the insert took effect, the record names this attempt, which never dispatches: no other attempt will either.
        releaseLater(name, mine);
        return errorReply({ResultCode::PlatformUnavailable, "the order was not run by this attempt; an earlier one may have run", kPlatformRetry},
                          FinalState::OutcomeUnknown);
    }
    const auto &row = std::get<std::optional<OrderRecord>>(read);
    if (!row) {
        return errorReply({ResultCode::PlatformUnavailable, "the platform did not take the order's record", kPlatformRetry}, FinalState::OutcomeUnknown);
    }
    const auto record = toRecord(row->text);
    if (!record) {
        return unknownOutcome("the order's record cannot be read");
    }
    if (record->digest != mine.digest) {
        return errorReply({ResultCode::WriteConflict, "the key was used for an order with other content", {}}, FinalState::NotRun);
    }
    if (record->attempt == mine.attempt) {
        return dispatchKeyed(grant, service, name, row->version, mine, request, yield);
    }
    if (record->state == toString(FinalState::Complete)) {
        return replyOf(record->done);
    }
    if (record->state == toString(FinalState::NotRun)) {
        const auto replaced = context_.parts.records.replace(name, row->version, toText(mine), yield);
        if (const auto *version = std::get_if<std::uint64_t>(&replaced)) {
            return dispatchKeyed(grant, service, name, *version, mine, request, yield);
        }
        return inProgress(); // Another attempt has replaced it, or ours may have: a repeat finds out.
    }
    const bool ownPast = record->vm == mine.vm && record->incarnation != mine.incarnation;
    if (record->state == "running" && !ownPast) {
        return inProgress();
    }
    return unknownOutcome("an earlier attempt may have run and its response was lost");
}

HttpResponse OrderRouter::Private::dispatchKeyed(const CallerGrant &grant,
                                                 const ServiceId &service,
                                                 const std::string &name,
                                                 std::uint64_t version,
                                                 Record record,
                                                 const HttpRequest &request,
                                                 asio::yield_context yield)
{
    auto dispatched = dispatch(grant.team, service, request, yield);
    saveOutcome(name, version, std::move(record), dispatched.outcome);
    return std::move(dispatched.response);
}

void OrderRouter::Private::saveOutcome(const std::string &name, std::uint64_t version, Record record, const OrderOutcome &outcome)
{
    if (const auto *done = std::get_if<OrderDone>(&outcome)) {
        record.state = toString(FinalState::Complete);
        record.done = *done;
    } else {
        record.state = toString(std::holds_alternative<OrderNotRun>(outcome) ? FinalState::NotRun : FinalState::OutcomeUnknown);
    }
    context_.spawn([&records = context_.parts.records, name, version, text = toText(record)](asio::yield_context yield) {
        for (unsigned i = 0; i < kRecordAttempts; ++i) {
            const auto written = records.replace(name, version, text, yield);
            const auto *error = std::get_if<Error>(&written);
            if (error == nullptr || error->code == ResultCode::WriteConflict) {
                return; // A conflict after a lost reply means that the earlier write took effect.
            }
            pauseBefore(i + 1, yield);
        }
    });
}

// Frees a key whose record names an attempt that was not dispatched.
void OrderRouter::Private::releaseLater(const std::string &name, Record mine)
{
    mine.state = toString(FinalState::NotRun);
    context_.spawn([&records = context_.parts.records, name, mine](asio::yield_context yield) {
        for (unsigned i = 0; i < kRecordAttempts; ++i) {
            pauseBefore(i, yield);
            const auto read = records.read(name, yield);
            const auto *row = std::get_if<std::optional<OrderRecord>>(&read);
            if (row == nullptr) {
                continue;
            }
            const auto record = *row ? toRecord((*row)->text) : std::nullopt;
            if (!record || record->attempt != mine.attempt) {
                return;
            }
            if (std::holds_alternative<std::uint64_t>(records.replace(name, (*row)->version, toText(mine), yield))) {
                return;
            }
        }
    });
}

FinalState stateOfRefused(const HttpRequest &request)
{
    const bool mayRepeat = request.count(kTicketHeader) > 0 || request.count(kKeyHeader) > 0;
    return mayRepeat ? FinalState::OutcomeUnknown : FinalState::NotRun;
}

OrderRouter::OrderRouter(FrontendContext &context)
    : d_(std::make_unique<Private>(context))
{
}

OrderRouter::~OrderRouter() = default;

void OrderRouter::start()
{
    d_->context_.parts.peers.setOrderHandler([self = shared_from_this()](const ForwardedOrder &order, const OrderForwarding::ReplyHandler &reply) {
        self->d_->context_.spawn([self, order, reply](asio::yield_context yield) {
            const auto ticket = self->d_->openTicket(order.ticket, order.team, order.service);
            if (const auto *error = std::get_if<Error>(&ticket)) {
                reply(toReply(errorReply(*error, FinalState::OutcomeUnknown)));
                return;
            }
            reply(toReply(self->d_->runTicket(std::get<OrderTicket>(ticket), toRequest(order), yield)));
        });
    });
}

HttpResponse OrderRouter::issueTicket(const CallerGrant &grant, const ServiceId &service)
{
    OrderTicket ticket;
    {
        const std::lock_guard lock(d_->mutex_);
        ticket = d_->ledger_.issueTicket(grant.team, service, wallClock());
    }
    const auto text = d_->sealTicket(ticket);
    if (text.empty()) {
        return errorReply({ResultCode::NoLists, "this VM has no sealing key yet", std::chrono::seconds(2)}, FinalState::NotRun);
    }
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(kTicketLifetime).count();
    auto response = jsonReply(json{{"ticket", text}, {"expiresInSeconds", seconds}}.dump());
    response.result(http::status::created);
    return response;
}

HttpResponse OrderRouter::query(const CallerGrant &grant, const ServiceId &service, const std::string &key, asio::yield_context yield)
{
    const auto read = d_->context_.parts.records.read(recordName(grant, service, key), yield);
    if (const auto *error = std::get_if<Error>(&read)) {
        return errorReply({error->code, error->detail, kPlatformRetry}, FinalState::OutcomeUnknown);
    }
    const auto &row = std::get<std::optional<OrderRecord>>(read);
    if (!row) {
        // No proof that the order never runs: an attempt may be about to insert its record.
        auto response = errorReply({ResultCode::OrderOutcomeUnknown, "no attempt with this key has begun", {}}, FinalState::OutcomeUnknown);
        response.result(http::status::not_found);
        return response;
    }
    const auto record = toRecord(row->text);
    if (!record) {
        return unknownOutcome("the order's record cannot be read");
    }
    json body = {{"key", key}, {"state", record->state}};
    if (record->state == toString(FinalState::Complete)) {
        body["status"] = record->done.status;
        body["contentType"] = record->done.contentType;
        body["body"] = record->done.body;
    }
    return jsonReply(body.dump(-1, ' ', false, json::error_handler_t::replace));
}

HttpResponse OrderRouter::call(const CallerGrant &grant, const ServiceId &service, const HttpRequest &request, asio::yield_context yield)
{
    const std::string ticket(request[kTicketHeader]);
    if (!ticket.empty()) {
        return d_->callWithTicket(grant, service, ticket, request, yield);
    }
    if (const auto refusal = d_->context_.parts.lists.admission()) {
        return errorReply(*refusal, stateOfRefused(request));
    }
    const auto key = request.find(kKeyHeader);
    if (key != request.end()) {
        return d_->callWithKey(grant, service, std::string(key->value()), request, yield);
    }
    if (!isSafe(request.method())) {
        return errorReply({ResultCode::OrderNeedsKey, "an order needs the header X-Order-Ticket or Idempotency-Key", {}}, FinalState::NotRun);
    }
    return d_->dispatch(grant.team, service, request, yield).response;
}

} // namespace daisystream
