#include "daemon/frontend/completionrequest.h"

#include "daisystream/base/stablehash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace daisystream
{
namespace
{

using nlohmann::json;

// English text has about four bytes a token. The estimate only has to be good enough to forecast memory.
constexpr std::size_t kBytesPerToken = 4;
// Engines cache prefixes in blocks; 64 tokens are a common block.
constexpr std::size_t kPrefixBlockBytes = 64 * kBytesPerToken;
constexpr std::uint32_t kMaxTokensAccepted = 10'000'000;

Error fault(const std::string &detail)
{
    return {ResultCode::MalformedRequest, detail, {}};
}

// The hash must be the same at all VMs, hence not std::hash.
std::uint64_t fnv1a(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    return hash == 0 ? 1 : hash;
}

Result<std::string> promptOf(const json &document)
{
    const auto prompt = document.find("prompt");
    if (prompt == document.end() || !prompt->is_string()) {
        return fault("\"prompt\" must be a text");
    }
    return prompt->get<std::string>();
}

/// @return the ids of the paragraphs of a text, which empty lines separate.
std::vector<std::uint64_t> paragraphIds(std::string_view text)
{
    constexpr std::string_view kSeparator = "\n\n";
    std::vector<std::uint64_t> ids;
    while (!text.empty()) {
        const auto end = std::min(text.find(kSeparator), text.size());
        if (end > 0) {
            ids.push_back(stableHash(text.substr(0, end)));
        }
        text.remove_prefix(std::min(end + kSeparator.size(), text.size()));
    }
    return ids;
}

/// @param messages checked by `promptOfMessages`.
std::vector<std::uint64_t> messageIds(const json &messages)
{
    std::vector<std::uint64_t> ids;
    for (const auto &message : messages) {
        ids.push_back(stableHash(message.at("role").get_ref<const std::string &>() + '\n' + message.at("content").get_ref<const std::string &>()));
    }
    return ids;
}

Result<std::string> promptOfMessages(const json &document)
{
    const auto messages = document.find("messages");
    if (messages == document.end() || !messages->is_array() || messages->empty()) {
        return fault("\"messages\" must be a list with at least one message");
    }
    std::string prompt;
    for (const auto &message : *messages) {
        const auto role = message.is_object() ? message.find("role") : message.end();
        const auto content = message.is_object() ? message.find("content") : message.end();
        if (!message.is_object() || role == message.end() || !role->is_string() || content == message.end() || !content->is_string()) {
            return fault("each of \"messages\" must have the texts \"role\" and \"content\"");
        }
        prompt += role->get_ref<const std::string &>() + ": " + content->get_ref<const std::string &>() + "\n";
    }
    return prompt + "assistant:";
}

Result<std::uint32_t> maxTokensOf(const json &document, const Limit &limit)
{
    std::uint32_t wanted = 0;
    for (const char *name : {"max_tokens", "max_completion_tokens"}) {
        const auto field = document.find(name);
        if (field == document.end() || field->is_null()) {
            continue;
        }
        if (!field->is_number_unsigned() || field->get<std::uint64_t>() == 0 || field->get<std::uint64_t>() > kMaxTokensAccepted) {
            return fault(std::string("\"") + name + "\" must be a whole number from 1");
        }
        wanted = field->get<std::uint32_t>();
    }
    if (limit.maxOutputTokens == 0) {
        return wanted;
    }
    return wanted == 0 ? limit.maxOutputTokens : std::min(wanted, limit.maxOutputTokens);
}

} // namespace

std::uint64_t prefixHashOf(std::string_view prompt)
{
    return prompt.size() < kPrefixBlockBytes ? 0 : fnv1a(prompt.substr(0, kPrefixBlockBytes));
}

Result<CompletionRequest> parseCompletion(const std::string &body, bool chat, const CallerGrant &grant)
{
    auto document = json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return fault("the body is not a JSON object");
    }
    const auto model = document.find("model");
    if (model == document.end() || !model->is_string()) {
        return fault("\"model\" must be a text");
    }
    const auto stream = document.find("stream");
    if (stream != document.end() && !stream->is_boolean() && !stream->is_null()) {
        return fault("\"stream\" must be true or false");
    }
    CompletionRequest request;
    request.model = ModelId(model->get<std::string>());
    request.chat = chat;
    request.stream = stream != document.end() && stream->is_boolean() && stream->get<bool>();
    if (const auto refusal = checkModel(grant, request.model)) {
        return *refusal;
    }
    auto prompt = chat ? promptOfMessages(document) : promptOf(document);
    if (const auto *error = std::get_if<Error>(&prompt)) {
        return *error;
    }
    const auto maxTokens = maxTokensOf(document, grant.limit);
    if (const auto *error = std::get_if<Error>(&maxTokens)) {
        return *error;
    }
    const auto &text = std::get<std::string>(prompt);
    request.maxOutputTokens = std::get<std::uint32_t>(maxTokens);
    request.promptTokens = static_cast<std::uint32_t>(text.size() / kBytesPerToken + 1);
    request.prefixHash = prefixHashOf(text);
    request.parts = chat ? messageIds(document.at("messages")) : paragraphIds(text);
    document.erase("messages");
    document.erase("max_completion_tokens");
    document["prompt"] = text;
    document["stream"] = true;
    if (request.maxOutputTokens > 0) {
        document["max_tokens"] = request.maxOutputTokens;
    }
    request.engineBody = document.dump();
    return request;
}

} // namespace daisystream
