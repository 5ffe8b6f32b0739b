#pragma once

#include "soak/observation.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include <string>
#include <string_view>

/// @file
/// What stand-in callers send and stand-in endpoints answer, so that each side can tell whether it got exactly that.
///
/// Example:
/// @code
///   send(requestBody(attempt, path, 400));
///   const bool isIntact = isRequestBody(received, attempt, path);
/// @endcode

namespace daisystream::standins
{

/// What the header of each answer of an endpoint has as its proof.
constexpr std::string_view kProofValue = "seal";

/// Parts of prompts whose ids begin so crash each engine that begins an answer on them.
constexpr std::string_view kDeadlyPart = "dead";

/// @param parts the parts of a prompt, as a request names them.
[[nodiscard]] bool hasDeadlyPart(std::string_view parts);

/// @return a body that names its request and has about `filler` bytes more.
[[nodiscard]] std::string requestBody(std::string_view attempt, std::string_view target, std::size_t filler);

/// @return whether a body is that of a request, whole and unchanged.
[[nodiscard]] bool isRequestBody(std::string_view body, std::string_view attempt, std::string_view target);

/// @return the body of the answer to a call.
[[nodiscard]] std::string answerBody(std::string_view run, std::string_view attempt);

/// @return one event of an answer that is streamed.
[[nodiscard]] std::string eventText(std::string_view run, unsigned number, unsigned last);

/// What an answer turned out to be.
struct AnswerCheck
{
    std::string run;   ///< The run that it is the answer of, empty if it names none.
    std::string fault; ///< What is wrong with it, empty if nothing.

    friend bool operator==(const AnswerCheck &, const AnswerCheck &) = default;
};

/// Judges an answer as its caller does.
/// @param isComplete whether its end was seen. One that breaks off may lack its last part, but nothing before it.
[[nodiscard]] AnswerCheck
checkAnswer(std::string_view attempt, soak::Kind kind, const boost::beast::http::response<boost::beast::http::string_body> &response, bool isComplete);

/// @param error with which a caller's read of an answer ended.
/// @return what is wrong with the bytes that came; empty if they only ended too soon, or none came in time.
[[nodiscard]] std::string faultOf(const boost::system::error_code &error);

} // namespace daisystream::standins
