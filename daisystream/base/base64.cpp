#include "daisystream/base/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace daisystream
{
namespace
{

unsigned char *bytesOf(std::string &text)
{
    return reinterpret_cast<unsigned char *>(text.data());
}

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

constexpr std::size_t kGroupChars = 4; // Number of characters that encode three bytes.

} // namespace

std::string toBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * kGroupChars + 1, '\0'); // EVP_EncodeBlock appends a zero byte.
    text.resize(static_cast<std::size_t>(EVP_EncodeBlock(bytesOf(text), bytesOf(bytes), static_cast<int>(bytes.size()))));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.size() % kGroupChars != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / kGroupChars * 3 + 1, '\0');
    const int size = EVP_DecodeBlock(bytesOf(bytes), bytesOf(text), static_cast<int>(text.size()));
    // EVP_DecodeBlock decodes the padding characters to zero bytes and counts them.
    const int padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
    if (size < padding) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(size - padding));
    return bytes;
}

std::string toBase64Url(std::string_view bytes)
{
    std::string text = toBase64(bytes);
    while (text.ends_with('=')) {
        text.pop_back();
    }
    std::replace(text.begin(), text.end(), '+', '-');
    std::replace(text.begin(), text.end(), '/', '_');
    return text;
}

std::optional<std::string> fromBase64Url(std::string_view text)
{
    std::string padded(text);
    // Accepts only what toBase64Url() returns: no padding and no characters of the standard alphabet.
    if (padded.find_first_of("+/=") != std::string::npos || padded.size() % kGroupChars == 1) {
        return std::nullopt;
    }
    std::replace(padded.begin(), padded.end(), '-', '+');
    std::replace(padded.begin(), padded.end(), '_', '/');
    padded.append((kGroupChars - padded.size() % kGroupChars) % kGroupChars, '=');
    return fromBase64(padded);
}

} // namespace daisystream
