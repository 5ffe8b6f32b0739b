#include "daemon/frontend/completionencoder.h"

#include <nlohmann/json.hpp>

namespace daisystream
{
namespace
{

void appendQuoted(std::string &out, std::string_view text)
{
    out += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

CompletionEncoder::CompletionEncoder(bool chat, const RequestId &request, const ModelId &model, std::int64_t created)
    : chat_(chat)
    , head_(R"({"id":)")
{
    appendQuoted(head_, (chat ? "chatcmpl-" : "cmpl-") + request.value());
    head_ += R"(,"created":)" + std::to_string(created) + R"(,"model":)";
    appendQuoted(head_, model.value());
    eventHead_
        = "data: " + head_ + (chat ? R"(,"object":"chat.completion.chunk","choices":[{"index":0,)" : R"(,"object":"text_completion","choices":[{"index":0,)");
}

void CompletionEncoder::appendToken(std::string &out, std::string_view id, std::uint64_t sequence, std::string_view text) const
{
    if (!id.empty()) {
        out += "id: ";
        out += id;
        out += '\n';
    }
    out += eventHead_;
    if (chat_) {
        out += sequence == 0 ? R"("delta":{"role":"assistant","content":)" : R"("delta":{"content":)";
    } else {
        out += R"("text":)";
    }
    appendQuoted(out, text);
    out += chat_ ? "}," : ",";
    out += "\"finish_reason\":null}]}\n\n";
}

void CompletionEncoder::appendFinish(std::string &out, std::string_view reason) const
{
    out += eventHead_;
    out += chat_ ? R"("delta":{},"finish_reason":)" : R"("text":"","finish_reason":)";
    appendQuoted(out, reason);
    out += "}]}\n\n";
}

void CompletionEncoder::appendFinal(std::string &out, FinalState state, const std::optional<Error> &error)
{
    nlohmann::json data = {{"state", toString(state)}, {"code", error ? static_cast<unsigned>(error->code) : 0U}};
    if (error) {
        data["message"] = error->detail;
    }
    if (error && error->retryAfter) {
        data["retryAfterMs"] = error->retryAfter->count();
    }
    out += "event: final\ndata: " + data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n\ndata: [DONE]\n\n";
}

std::string CompletionEncoder::whole(std::string_view text, std::string_view reason, FinalState state, std::uint32_t promptTokens, std::uint64_t tokens) const
{
    std::string body = head_;
    if (chat_) {
        body += R"(,"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":)";
    } else {
        body += R"(,"object":"text_completion","choices":[{"index":0,"text":)";
    }
    appendQuoted(body, text);
    body += chat_ ? "}," : ",";
    body += "\"finish_reason\":";
    appendQuoted(body, reason);
    body += "}],\"usage\":{\"prompt_tokens\":" + std::to_string(promptTokens) + ",\"completion_tokens\":" + std::to_string(tokens)
        + ",\"total_tokens\":" + std::to_string(promptTokens + tokens) + "},\"state\":\"" + toString(state) + "\"}";
    return body;
}

} // namespace daisystream
