#include "daemon/endpoints/endpointclient.h"

#include "daemon/endpoints/requestlimitheader.h"
#include "daisystream/answer/state.h"
#include "daisystream/forwarding/responsemeaning.h"
#include "daisystream/limits/requestrate.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <charconv>

namespace daisystream
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

// Body bytes of a refusal, or of the response to a cancel request, that are read before the connection is given up.
constexpr std::uint64_t kRefusalLimitBytes = 65'536;

asio::ip::tcp::endpoint toTcp(const SocketAddress &address)
{
    error_code error;
    return {asio::ip::make_address(address.ip, error), address.port};
}

Error malformed(const std::string &detail)
{
    return {ResultCode::EndpointProtocol, "malformed event of an engine: " + detail, {}};
}

template<class Message>
void setCommonFields(Message &request, const EndpointSettings &endpoint)
{
    request.set(http::field::host, toString(endpoint.address));
    if (!endpoint.authorizationHeader.empty()) {
        request.set(http::field::authorization, endpoint.authorizationHeader);
    }
}

// Returns whether the body of a refusal states that the engine did not run the request.
bool statesNotRun(const std::string &body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    const auto error = document.is_object() ? document.find("error") : document.end();
    if (!document.is_object() || error == document.end() || !error->is_object()) {
        return false;
    }
    const auto state = error->find("state");
    return state != error->end() && state->is_string() && state->get_ref<const std::string &>() == toString(FinalState::NotRun);
}

// Parses a Retry-After header in seconds. Returns nothing if it is empty or not a number.
std::optional<std::chrono::milliseconds> retryAfterOf(std::string_view header)
{
    unsigned seconds = 0;
    if (header.empty() || std::from_chars(header.data(), header.data() + header.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

// Parses an id of the form "GENERATION/SEQUENCE". Returns false if it is malformed.
bool parseEventId(std::string_view id, StreamEvent &event)
{
    const auto slash = id.rfind('/');
    if (slash == std::string_view::npos || slash == 0 || slash + 1 == id.size()) {
        return false;
    }
    const char *end = id.data() + id.size();
    const auto parsed = std::from_chars(id.data() + slash + 1, end, event.sequence);
    event.generation = GenerationId(std::string(id.substr(0, slash)));
    return parsed.ec == std::errc() && parsed.ptr == end;
}

} // namespace

Result<EngineEvent> parseEngineEvent(const SseEvent &event)
{
    EngineEvent parsed;
    if (!parseEventId(event.id, parsed.event)) {
        return malformed("its id is not GENERATION/SEQUENCE");
    }
    const auto data = nlohmann::json::parse(event.data, nullptr, false);
    const auto choices = data.is_object() ? data.find("choices") : data.end();
    if (!data.is_object() || choices == data.end() || !choices->is_array() || choices->empty() || !choices->front().is_object()) {
        return malformed("its data has no completion choice");
    }
    const auto &choice = choices->front();
    const auto text = choice.find("text");
    if (text == choice.end() || !text->is_string()) {
        return malformed("its choice has no text");
    }
    parsed.event.text = text->get_ref<const std::string &>();
    const auto reason = choice.find("finish_reason");
    if (reason != choice.end() && reason->is_string()) {
        parsed.finishReason = reason->get<std::string>();
    }
    return parsed;
}

EndpointStream::EndpointStream(const asio::any_io_executor &executor, EndpointSettings endpoint, const FrontendOptions &options)
    : endpoint_(std::move(endpoint))
    , options_(options)
    , stream_(executor)
    , response_(http::verb::post)
{
}

Error EndpointStream::failure(const error_code &error, const char *problem) const
{
    const auto code = error == beast::error::timeout ? ResultCode::EndpointSilent : ResultCode::EndpointUnreachable;
    return {code, "endpoint " + endpoint_.id.value() + " " + problem + ": " + response_.describe(error), {}};
}

std::optional<Error> EndpointStream::start(const EngineCall &call, asio::yield_context yield)
{
    Request request(http::verb::post, "/v1/completions", 11);
    setCommonFields(request, endpoint_);
    request.set(http::field::content_type, "application/json");
    request.set("X-Request-Id", call.attempt.value());
    request.set("X-Priority", std::to_string(call.priority));
    request.set("X-Reader", call.reader);
    request.body() = call.body;
    auto error = open(std::move(request), yield);
    if (response_.hasHeader()) {
        const auto echoed = response_.response().find("X-Request-Id");
        const bool isForOther = echoed != response_.response().end() && echoed->value() != call.attempt.value();
        const auto meaning
            = meaningOf({.status = response_.response().result_int(), .statesNotRun = statesNotRun_, .isVerified = true, .isForOtherRequest = isForOther});
        provenNotRun_ = meaning == ResponseMeaning::NotRun;
        if (isForOther && !error) {
            error = Error{ResultCode::EndpointProtocol, "endpoint " + endpoint_.id.value() + " returned the X-Request-Id of another request", {}};
        }
    }
    return error;
}

std::optional<Error> EndpointStream::resume(const GenerationId &generation, std::uint64_t offset, const std::string &reader, asio::yield_context yield)
{
    Request request(http::verb::get, "/v1/generations/" + generation.value() + "?offset=" + std::to_string(offset), 11);
    setCommonFields(request, endpoint_);
    if (!reader.empty()) {
        request.set("X-Reader", reader);
    }
    auto error = open(std::move(request), yield);
    const auto status = response_.hasHeader() ? response_.response().result() : http::status::ok;
    if (error && (status == http::status::not_found || status == http::status::gone)) {
        error->code = ResultCode::GenerationLost;
    }
    return error;
}

std::optional<Error> EndpointStream::open(Request request, asio::yield_context yield)
{
    error_code error;
    request.prepare_payload();
    stream_.expires_after(options_.endpointConnectTimeout);
    stream_.async_connect(toTcp(endpoint_.address), yield[error]);
    if (error || aborted_) {
        return Error{ResultCode::EndpointUnreachable, "endpoint " + endpoint_.id.value() + ": " + error.message(), {}};
    }
    error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    stream_.expires_after(options_.endpointSilenceTimeout);
    const std::size_t sent = http::async_write(stream_, request, yield[error]);
    bytesSent_ = sent > 0;
    if (error) {
        return failure(error, "failed while the request was being sent");
    }
    stream_.expires_after(options_.endpointSilenceTimeout);
    error = response_.readHeader(stream_, yield);
    if (error) {
        return failure(error, "sent no response header");
    }
    if (response_.response().result() != http::status::ok) {
        return refusal(yield);
    }
    generation_ = GenerationId(std::string(response_.response()["X-Generation-Id"]));
    return std::nullopt;
}

std::optional<Error> EndpointStream::refusal(asio::yield_context yield)
{
    error_code error;
    stream_.expires_after(options_.endpointSilenceTimeout);
    while (!error && !response_.isDone() && response_.response().body().size() < kRefusalLimitBytes) {
        error = response_.readSome(stream_, yield);
    }
    statesNotRun_ = !error && response_.isDone() && statesNotRun(response_.response().body());
    const auto retryAfter = retryAfterOf(std::string(response_.response()[http::field::retry_after]));
    return Error{ResultCode::EndpointRefused,
                 "endpoint " + endpoint_.id.value() + " answered with status " + std::to_string(response_.response().result_int()),
                 retryAfter};
}

std::optional<double> EndpointStream::requestsPerSecond() const
{
    return hasResponse() ? parseRequestRate(std::string(response_.response()[kRequestLimitHeader])) : std::nullopt;
}

Result<std::vector<EngineEvent>> EndpointStream::read(asio::yield_context yield)
{
    if (pendingError_) {
        return *pendingError_;
    }
    if (response_.isDone()) {
        return Error{ResultCode::EndpointUnreachable, "endpoint " + endpoint_.id.value() + " ended the stream before the last event", {}};
    }
    stream_.expires_after(options_.endpointSilenceTimeout);
    const auto error = response_.readSome(stream_, yield);
    reader_.feed(response_.takeBody());
    if (error) {
        pendingError_ = failure(error, "failed while events were being read");
    }
    std::vector<EngineEvent> batch;
    while (const auto event = reader_.next()) {
        if (event->data == "[DONE]") {
            continue;
        }
        auto parsed = parseEngineEvent(*event);
        if (const auto *fault = std::get_if<Error>(&parsed)) {
            pendingError_ = *fault;
            break;
        }
        batch.push_back(std::move(std::get<EngineEvent>(parsed)));
    }
    if (reader_.failed()) {
        pendingError_ = malformed("it exceeds the size limit");
    }
    if (batch.empty() && pendingError_) {
        return *pendingError_;
    }
    return batch;
}

void EndpointStream::abort()
{
    aborted_ = true;
    stream_.close();
}

CancelOutcome cancelGeneration(
    const EndpointSettings &endpoint, const std::string &name, const std::string &onlyReader, const FrontendOptions &options, asio::yield_context yield)
{
    error_code error;
    beast::tcp_stream stream(yield.get_executor());
    stream.expires_after(options.endpointConnectTimeout);
    stream.async_connect(toTcp(endpoint.address), yield[error]);
    if (error) {
        return CancelOutcome::Unknown;
    }
    http::request<http::empty_body> request(http::verb::delete_, "/v1/generations/" + name, 11);
    setCommonFields(request, endpoint);
    request.keep_alive(false);
    if (!onlyReader.empty()) {
        request.set("X-Reader", onlyReader);
    }
    stream.expires_after(options.endpointSilenceTimeout);
    http::async_write(stream, request, yield[error]);
    if (error) {
        return CancelOutcome::Unknown;
    }
    ResponseReader reader(request.method(), {.bodyBytes = kRefusalLimitBytes});
    if (reader.readAll(stream, yield)) {
        return CancelOutcome::Unknown;
    }
    return reader.response().result() == http::status::conflict ? CancelOutcome::TakenOver : CancelOutcome::Cancelled;
}

} // namespace daisystream
