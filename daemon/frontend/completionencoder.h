#pragma once

#include "daisystream/answer/state.h"
#include "daisystream/base/ids.h"
#include "daisystream/base/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// Writes answers in the form that clients of the usual completion API read.
///
/// Example:
/// @code
///   CompletionEncoder encoder(false, request, model, now);
///   encoder.appendToken(out, sealedId, 0, "Hello");
///   encoder.appendFinish(out, "stop");
///   CompletionEncoder::appendFinal(out, FinalState::Complete, {});
/// @endcode

namespace daisystream
{

/// Encodes one answer. Thread-compatible.
class CompletionEncoder
{
public:
    /// @param chat whether the caller used /v1/chat/completions.
    /// @param created seconds since 1970.
    CompletionEncoder(bool chat, const RequestId &request, const ModelId &model, std::int64_t created);

    /// Appends the event of one token.
    /// @param id resume id; without one the event has no id.
    void appendToken(std::string &out, std::string_view id, std::uint64_t sequence, std::string_view text) const;

    /// Appends the event that tells why the generation ended.
    void appendFinish(std::string &out, std::string_view reason) const;

    /// Appends the event with the final state and the end mark of the stream.
    static void appendFinal(std::string &out, FinalState state, const std::optional<Error> &error);

    /// @return the body of a whole answer.
    [[nodiscard]] std::string whole(std::string_view text, std::string_view reason, FinalState state, std::uint32_t promptTokens, std::uint64_t tokens) const;

private:
    bool chat_;
    std::string head_;      ///< JSON up to the name of the event's object type.
    std::string eventHead_; ///< JSON of an event up to its choice.
};

} // namespace daisystream
